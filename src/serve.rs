//! The daemon's controller: binds its listeners, starts its components, and stops them in order.

pub mod answer;
pub mod caller;
pub mod completion;
pub mod dispatch;
pub mod drive;
pub mod job;
pub mod limit;
pub mod once;
pub mod place;
pub mod service;
pub mod state;
pub mod suspects;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::{
    Error, Result,
    fleet::roster,
    http::{client::Client, server},
    kernel::{
        clock::{self, Clock},
        context::{Addresses, Context, Setup},
        id::Incarnation,
        registry::{Component, Listener, Registration},
    },
    platform::client::Remote,
    route,
    settings::Settings,
    timeline::{Ring, Subject},
};

/// A daemon whose callers' and operators' listeners are bound.
pub struct Controller {
    /// The context shared by its components.
    pub context: Arc<Context>,
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

impl Controller {
    /// Binds the listeners.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if an address cannot be bound, [`Error::Settings`] if the policy is unknown.
    pub async fn bind(settings: Settings) -> Result<Controller> {
        let caller = TcpListener::bind(settings.listen.caller).await?;
        let peer = TcpListener::bind(settings.listen.peer).await?;
        let operator = TcpListener::bind(settings.listen.operator).await?;
        let bound_addrs = Addresses {
            caller: caller.local_addr()?,
            peer: peer.local_addr()?,
            operator: operator.local_addr()?,
        };
        let policy = route::policy(&settings.policy).ok_or_else(|| {
            Error::Settings(vec![format!("policy: unknown policy {:?}", settings.policy)])
        })?;
        let clock = Arc::new(clock::System::new());
        let remote = Arc::new(Remote::new(
            Arc::new(Client::new()),
            settings.platform.table,
            settings.platform.vms,
        ));
        let context = Arc::new(Context::new(Setup {
            settings,
            bound_addrs,
            incarnation: Incarnation(clock.wall_micros()),
            clock,
            ring: Arc::new(Ring::new(Box::new(clock::System::new()))),
            table: remote.clone(),
            vms: remote,
            policy: Arc::from(policy),
        }));
        Ok(Controller { context, caller, operator, peer })
    }

    /// Serves until `stop`; then leaves the address lists, goes on serving until every list that
    /// named this daemon has run out, lets the requests in progress end, and returns.
    pub async fn run(self, stop: CancellationToken) {
        let Controller { context, caller, operator, peer } = self;
        let (closing, ending) = (CancellationToken::new(), CancellationToken::new());
        context.peer_listener.put(peer);
        let mut components = JoinSet::new();
        for registration in inventory::iter::<Registration> {
            let component = (registration.make)();
            components.spawn(run_component(component, context.clone(), ending.clone()));
        }
        let callers = dispatch::Dispatch::new(context.clone(), Listener::Caller);
        let callers = server::serve(caller, Arc::new(callers), closing.clone());
        let operators = dispatch::Dispatch::new(context.clone(), Listener::Operator);
        let operators = server::serve(operator, Arc::new(operators), ending.clone());
        let (callers, operators) = (tokio::spawn(callers), tokio::spawn(operators));
        context.ring.record(Subject::Process, "started", "");

        // A signal or an operator asks for a planned stop.
        tokio::select! {
            () = stop.cancelled() => (),
            () = context.leaving.cancelled() => (),
        }
        context.ring.record(Subject::Process, "leaving", "");
        context.leaving.cancel();
        // Until it knows better, another daemon may still put this one into a list.
        let left = context.members.left().cancelled();
        drop(time::timeout(roster::MAX_LEAVE, left).await);
        time::sleep(Duration::from_secs(context.settings.address_lifetime_s)).await;
        closing.cancel();
        drop(callers.await);
        ending.cancel();
        drop(operators.await);
        while components.join_next().await.is_some() {}
    }
}

async fn run_component(
    component: Box<dyn Component>,
    context: Arc<Context>,
    stop: CancellationToken,
) {
    component.run(context, stop).await;
}

/// The addresses of a daemon, printed as one JSON line when it listens.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Listening {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl Listening {
    /// The addresses of this daemon.
    pub fn new(bound: &Addresses) -> Listening {
        Listening { caller: bound.caller, peer: bound.peer, operator: bound.operator }
    }

    /// Writes the line to standard output.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] if standard output is closed.
    pub fn print(&self) -> Result<()> {
        let line = serde_json::to_string(self).map_err(io::Error::other)?;
        println!("{line}");
        Ok(())
    }
}
