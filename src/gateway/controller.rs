//! Starts the gateway's tasks and shuts them down in order.

use std::{sync::Arc, time::Duration};

use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    Result,
    gateway::{
        bar,
        context::{Context, Setup},
        entry::Entry,
        exchange, follow, member, operate, record,
        store::Topic,
        watch,
    },
    http::server::{self, Handler},
};

/// Lifetimes of an address list after which no caller uses it any more.
const MAX_LIST_LIFETIMES: u32 = 3;

/// Longest part of the grace period, less [`SHUTDOWN_RESERVE`], during which new calls are accepted.
/// The remainder is for the last calls to finish.
const MAX_ACCEPT_RATIO: f64 = 0.6;

/// Margin before the end of the grace period at which [`Controller::run`] stops waiting for calls
/// to finish, answers the others and returns in any case.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(400);

/// The part of [`SHUTDOWN_RESERVE`] for answers to calls that are given up.
const LAST_ANSWERS_WAIT: Duration = Duration::from_millis(150);

/// A gateway with bound listeners.
pub struct Controller {
    /// State shared by the tasks.
    pub context: Arc<Context>,
    caller: TcpListener,
    peer: TcpListener,
}

impl Controller {
    /// Binds the listeners for callers and peers.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if an address can't be bound.
    pub async fn bind(mut setup: Setup) -> Result<Controller> {
        let caller = TcpListener::bind(setup.settings.caller).await?;
        let peer = TcpListener::bind(setup.settings.peer).await?;
        // Port 0 lets the system choose; record the chosen port.
        setup.settings.caller = caller.local_addr()?;
        setup.settings.peer = peer.local_addr()?;
        Ok(Controller { peer, context: Arc::new(Context::new(setup)), caller })
    }

    /// Serves until `terminate`, then waits for callers to move to other daemons and for calls to
    /// finish, and returns. The handlers of `extra_listeners`, such as readiness checks and
    /// metrics, are served until the end.
    pub async fn run(
        self,
        extra_listeners: Vec<(TcpListener, Arc<dyn Handler>)>,
        terminate: CancellationToken,
    ) {
        let context = self.context;
        let (stop, stop_callers) = (CancellationToken::new(), CancellationToken::new());
        let mut tasks = JoinSet::new();
        for topic in [Topic::Operator, Topic::Upstreams, Topic::Fleet] {
            tasks.spawn(follow::follow(context.clone(), topic, stop.clone()));
        }
        tasks.spawn(follow::expire_upstreams(context.clone(), stop.clone()));
        tasks.spawn(operate::run(context.clone(), stop.clone()));
        tasks.spawn(exchange::serve(context.clone(), self.peer, stop.clone()));
        tasks.spawn(exchange::run(context.clone(), stop.clone()));
        tasks.spawn(watch::probe_endpoints(context.clone(), stop.clone()));
        tasks.spawn(member::announce(context.clone(), stop.clone()));
        tasks.spawn(bar::keep(context.clone(), stop.clone()));
        tasks.spawn(record::keep(context.clone(), stop.clone()));
        for (listener, handler) in extra_listeners {
            tasks.spawn(server::serve(listener, handler, stop.clone()));
        }
        let entry = Arc::new(Entry(context.clone()));
        let mut caller_server =
            tokio::spawn(server::serve(self.caller, entry, stop_callers.clone()));
        info!(daemon = context.settings.daemon.as_str(), "gateway started");
        terminate.cancelled().await;
        info!("gateway is shutting down");
        let grace = context.settings.grace.saturating_sub(SHUTDOWN_RESERVE);
        context.begin_shutdown(context.now() + grace);
        let drain = accept_period(context.settings.grace, context.settings.address_lifetime);
        time::sleep(drain).await;
        stop_callers.cancel();
        let calls_unfinished = time::timeout(grace - drain, &mut caller_server).await.is_err();
        if calls_unfinished {
            context.closing.cancel();
            let _ = time::timeout(LAST_ANSWERS_WAIT, caller_server).await;
        }
        stop.cancel();
        info!(cut = calls_unfinished, "gateway stopped");
    }
}

/// How long new calls are still accepted after a planned shutdown has begun: until callers no longer
/// use address lists that they were given before.
pub fn accept_period(grace: Duration, address_lifetime: Duration) -> Duration {
    let longest = grace.saturating_sub(SHUTDOWN_RESERVE).mul_f64(MAX_ACCEPT_RATIO);
    (address_lifetime * MAX_LIST_LIFETIMES).min(longest)
}
