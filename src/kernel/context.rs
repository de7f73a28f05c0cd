//! What the daemon's parts share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    catalog::{Snapshot, shared::Shared},
    control::rollout::Rollout,
    fleet::{board::Board, contact::Contact, member::Members},
    http::client::Client,
    kernel::{
        clock::{Clock, Time},
        id::{Incarnation, Request},
    },
    platform::{table::Table, vm::List},
    request::once::Now,
    route::Policy,
    serve::state::State,
    settings::Settings,
    timeline::{Ring, decision::Decisions},
    upstream::directory::Directory,
};

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// The shared state of a daemon. What a request reads is swapped whole, never locked for long.
pub struct Context {
    /// The settings of this process.
    pub settings: Settings,
    /// Where it listens.
    pub bound: Bound,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// The record of state changes.
    pub ring: Arc<Ring>,
    /// The decisions taken for each request.
    pub decisions: Decisions,
    /// Connections to upstreams and the platform.
    pub client: Arc<Client>,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's VM list.
    pub vms: Arc<dyn List>,
    /// The configuration in force. Swapped only towards a higher revision.
    pub catalog: ArcSwap<Snapshot>,
    /// The same as the operators see it, with its latest changes.
    pub configuration: Shared,
    /// The weights that each workspace is served by while new ones load.
    pub rollout: Rollout,
    /// What is known of the upstreams.
    pub directory: ArcSwap<Directory>,
    /// What the daemons tell each other.
    pub board: Arc<Board>,
    /// The daemons of the fleet.
    pub members: Members,
    /// When the configuration was confirmed last.
    pub contact: Contact,
    /// The choice of upstreams.
    pub policy: Arc<dyn Policy>,
    /// What the requests in progress share.
    pub serving: State,
    /// Set when a planned stop begins: the daemon leaves the address lists, and goes on serving.
    pub leaving: CancellationToken,
    /// Set by the configuration part when the daemon may serve.
    pub ready: AtomicBool,
    /// The bound listener for peers, until the exchange takes it.
    pub peer_listener: Slot,
    next_request: AtomicU64,
}

/// Holds a listener until the part that serves it starts.
#[derive(Debug, Default)]
pub struct Slot(Mutex<Option<TcpListener>>);

impl Slot {
    /// Puts a listener in.
    pub fn put(&self, listener: TcpListener) {
        *self.0.lock().unwrap_or_else(|it| it.into_inner()) = Some(listener);
    }

    /// Takes the listener out, if there is one.
    pub fn take(&self) -> Option<TcpListener> {
        self.0.lock().unwrap_or_else(|it| it.into_inner()).take()
    }
}

/// The collaborators that a [`Context`] is made from.
pub struct Setup {
    /// The settings of this process.
    pub settings: Settings,
    /// Where it listens.
    pub bound: Bound,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// The record of state changes.
    pub ring: Arc<Ring>,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's VM list.
    pub vms: Arc<dyn List>,
    /// The choice of upstreams.
    pub policy: Arc<dyn Policy>,
}

impl Context {
    /// A context that knows nothing of configuration, upstreams and peers yet.
    pub fn new(setup: Setup) -> Context {
        let received =
            Now { time: setup.clock.now(), wall_s: setup.clock.wall_micros() / 1_000_000 };
        let serving = State::new(setup.settings.daemon.clone(), setup.incarnation, received);
        Context {
            settings: setup.settings,
            bound: setup.bound,
            incarnation: setup.incarnation,
            clock: setup.clock,
            decisions: Decisions::new(setup.ring.clone()),
            ring: setup.ring,
            client: Arc::new(Client::new()),
            table: setup.table,
            vms: setup.vms,
            catalog: ArcSwap::default(),
            configuration: Shared::default(),
            rollout: Rollout::default(),
            directory: ArcSwap::default(),
            board: Arc::new(Board::default()),
            members: Members::default(),
            contact: Contact::default(),
            policy: setup.policy,
            serving,
            leaving: CancellationToken::new(),
            ready: AtomicBool::new(false),
            peer_listener: Slot::default(),
            next_request: AtomicU64::new(0),
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// An identifier that no other daemon, and no other run of this one, gives out: the upper
    /// half is this run's incarnation.
    pub fn next_request(&self) -> Request {
        let count = self.next_request.fetch_add(1, Ordering::Relaxed);
        Request(u128::from(self.incarnation.0) << 64 | u128::from(count))
    }
}
