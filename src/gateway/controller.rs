//! Starts the gateway's tasks, and stops them in order.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    Result,
    gateway::{
        context::{Context, Setup},
        entry::Entry,
        follow, member, operate, pulse,
        store::Topic,
        watch,
    },
    http::server::{self, Handler},
};

/// The part of the time after SIGTERM for which callers are still served: their lists must run
/// out, and the last calls must end.
const SERVING: f64 = 0.6;

/// The time before the end of the grace at which the process ends in any case.
const LAST: Duration = Duration::from_millis(400);

/// A gateway whose listeners are bound.
pub struct Controller {
    /// What its tasks share.
    pub context: Arc<Context>,
    caller: TcpListener,
    peer: TcpListener,
}

impl Controller {
    /// Binds the listener for callers.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if the address can't be bound.
    pub async fn bind(mut setup: Setup) -> Result<Controller> {
        let caller = TcpListener::bind(setup.settings.caller).await?;
        let peer = TcpListener::bind(setup.settings.peer).await?;
        // With port 0 the system has chosen one.
        setup.settings.caller = caller.local_addr()?;
        setup.settings.peer = peer.local_addr()?;
        Ok(Controller { peer, context: Arc::new(Context::new(setup)), caller })
    }

    /// Serves until `terminate`, then lets callers go to other daemons and ends. `others` are
    /// served on listeners of their own until the end.
    pub async fn run(
        self,
        others: Vec<(TcpListener, Arc<dyn Handler>)>,
        terminate: CancellationToken,
    ) {
        let context = self.context;
        let (stop, closing) = (CancellationToken::new(), CancellationToken::new());
        let mut tasks = JoinSet::new();
        for topic in [Topic::Operator, Topic::Upstreams, Topic::Fleet] {
            tasks.spawn(follow::follow(context.clone(), topic, stop.clone()));
        }
        tasks.spawn(follow::expire_upstreams(context.clone(), stop.clone()));
        tasks.spawn(operate::run(context.clone(), stop.clone()));
        tasks.spawn(pulse::serve(context.clone(), self.peer, stop.clone()));
        tasks.spawn(pulse::ask(context.clone(), stop.clone()));
        tasks.spawn(watch::watch(context.clone(), stop.clone()));
        tasks.spawn(member::announce(context.clone(), stop.clone()));
        for (listener, handler) in others {
            tasks.spawn(server::serve(listener, handler, stop.clone()));
        }
        let entry = Arc::new(Entry(context.clone()));
        let mut serving = tokio::spawn(server::serve(self.caller, entry, closing.clone()));
        info!(daemon = context.settings.daemon.as_str(), "started");
        terminate.cancelled().await;
        info!("stopping");
        context.leaving.cancel();
        let grace = context.settings.grace.saturating_sub(LAST);
        let serve = grace.mul_f64(SERVING);
        time::sleep(serve).await;
        closing.cancel();
        let cut = time::timeout(grace - serve, &mut serving).await.is_err();
        stop.cancel();
        info!(cut, "stopped");
    }
}
