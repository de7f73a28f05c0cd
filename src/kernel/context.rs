//! The state shared by the daemon's components and request handlers.

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

/// The addresses that a daemon's listeners are bound to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// The listener for callers.
    pub caller: SocketAddr,
    /// The listener for other daemons.
    pub peer: SocketAddr,
    /// The listener for operators.
    pub operator: SocketAddr,
}

/// The shared state of a daemon. State on the request path is replaced atomically as a whole; no
/// lock is held for long.
pub struct Context {
    /// The settings of this process.
    pub settings: Settings,
    /// The addresses that the listeners are bound to.
    pub bound_addrs: Addresses,
    /// The incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The ring buffer that records state changes.
    pub ring: Arc<Ring>,
    /// The decisions made for each request.
    pub decisions: Decisions,
    /// The HTTP client for upstreams and the platform.
    pub client: Arc<Client>,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's VM list.
    pub vms: Arc<dyn List>,
    /// The active configuration. Only replaced by one with a higher revision.
    pub catalog: ArcSwap<Snapshot>,
    /// The configuration as shown to operators, with its latest changes.
    pub configuration: Shared,
    /// The weights that serve each workspace while newer ones load.
    pub rollout: Rollout,
    /// The known state of the upstreams.
    pub directory: ArcSwap<Directory>,
    /// The facts that daemons exchange with each other.
    pub board: Arc<Board>,
    /// The daemons in the fleet.
    pub members: Members,
    /// The time at which the configuration was last confirmed.
    pub contact: Contact,
    /// The policy that selects an upstream for a request.
    pub policy: Arc<dyn Policy>,
    /// The state shared by requests in progress.
    pub serving: State,
    /// Cancelled when a planned shutdown begins: the daemon is removed from the address lists but
    /// keeps serving.
    pub leaving: CancellationToken,
    /// Whether the daemon may serve requests; set by [`review`](crate::fleet::contact::review).
    pub ready: AtomicBool,
    /// The bound listener for peers, until the exchange component takes it.
    pub peer_listener: Slot,
    request_counter: AtomicU64,
}

/// Holds a listener until the component that serves it starts.
#[derive(Debug, Default)]
pub struct Slot(Mutex<Option<TcpListener>>);

impl Slot {
    /// Stores a listener.
    pub fn put(&self, listener: TcpListener) {
        *self.0.lock().unwrap_or_else(|it| it.into_inner()) = Some(listener);
    }

    /// Removes and returns the stored listener, if any.
    pub fn take(&self) -> Option<TcpListener> {
        self.0.lock().unwrap_or_else(|it| it.into_inner()).take()
    }
}

/// The dependencies from which a [`Context`] is created.
pub struct Setup {
    /// The settings of this process.
    pub settings: Settings,
    /// The addresses that the listeners are bound to.
    pub bound_addrs: Addresses,
    /// The incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The ring buffer that records state changes.
    pub ring: Arc<Ring>,
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's VM list.
    pub vms: Arc<dyn List>,
    /// The policy that selects an upstream for a request.
    pub policy: Arc<dyn Policy>,
}

impl Context {
    /// Creates a context without a configuration, known upstreams or peers.
    pub fn new(setup: Setup) -> Context {
        let received =
            Now { time: setup.clock.now(), wall_s: setup.clock.wall_micros() / 1_000_000 };
        let serving = State::new(setup.settings.daemon.clone(), setup.incarnation, received);
        Context {
            settings: setup.settings,
            bound_addrs: setup.bound_addrs,
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
            request_counter: AtomicU64::new(0),
        }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns an identifier that is unique across all daemons and all runs of this daemon: the
    /// upper 64 bits are this run's incarnation.
    pub fn next_request_id(&self) -> Request {
        let count = self.request_counter.fetch_add(1, Ordering::Relaxed);
        Request(u128::from(self.incarnation.0) << 64 | u128::from(count))
    }
}
