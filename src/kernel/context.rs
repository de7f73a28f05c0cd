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

/// The shared state of a daemon. Requests read `catalog` and `directory` without a lock: each is
/// replaced atomically as a whole, independently of the other. The other fields that change
/// synchronize access themselves; their locks are held for short operations only.
pub struct Context {
    /// The settings of this process.
    pub settings: Settings,
    /// The addresses that the listeners are bound to.
    pub bound_addrs: Addresses,
    /// The incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// The clock that the daemon's components and request handlers read.
    pub clock: Arc<dyn Clock>,
    /// The ring buffer that records state changes.
    pub ring: Arc<Ring>,
    /// The decisions made for each request.
    pub decisions: Decisions,
    /// The HTTP client for upstreams and the platform.
    pub client: Arc<Client>,
    /// The platform's table service, which stores the configuration, leases and idempotency keys.
    pub table: Arc<dyn Table>,
    /// The platform's list of VMs, from which upstreams and other daemons are discovered.
    pub vms: Arc<dyn List>,
    /// The active configuration, arranged for lookups on the request path. Only replaced by a
    /// configuration with a higher revision.
    pub catalog: ArcSwap<Snapshot>,
    /// The active configuration and the latest changes that led to it, which are sent to other
    /// daemons. Its catalog is what operators read and edit.
    pub configuration: Shared,
    /// The model weights that the requests of each workspace use: the old ones until enough engines
    /// have loaded the new ones.
    pub rollout: Rollout,
    /// The upstreams known to this daemon, with their addresses, state and load.
    pub directory: ArcSwap<Directory>,
    /// The facts that daemons exchange with each other, about upstreams, suspect requests and
    /// demand.
    pub board: Arc<Board>,
    /// The other live daemons of the fleet, and this daemon's own request count.
    pub members: Members,
    /// The time at which the table service or another daemon last confirmed that the configuration
    /// is the latest.
    pub contact: Contact,
    /// The policy that selects an upstream for a request.
    pub policy: Arc<dyn Policy>,
    /// The state shared by requests in progress.
    pub serving: State,
    /// Cancelled when a planned shutdown begins: the daemon is removed from the address lists that
    /// daemons return to callers, but keeps serving.
    pub leaving: CancellationToken,
    /// Whether the daemon may serve requests; set by [`review`](crate::fleet::contact::review).
    /// While it is false, callers' requests are refused and the daemon is not in the address lists.
    pub ready: AtomicBool,
    /// The bound listener for other daemons, until the component in
    /// [`exchange`](crate::fleet::exchange) takes it.
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
    /// The clock that the daemon's components and request handlers read.
    pub clock: Arc<dyn Clock>,
    /// The ring buffer that records state changes.
    pub ring: Arc<Ring>,
    /// The platform's table service, which stores the configuration, leases and idempotency keys.
    pub table: Arc<dyn Table>,
    /// The platform's list of VMs, from which upstreams and other daemons are discovered.
    pub vms: Arc<dyn List>,
    /// The policy that selects an upstream for a request.
    pub policy: Arc<dyn Policy>,
}

impl Context {
    /// Creates a context that has no configuration and knows no upstreams and no other daemons.
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

    /// Returns a new identifier. Its upper 64 bits are this run's incarnation and the lower 64 bits
    /// count the identifiers of this run, so it is unique across all daemons and all their runs if
    /// no two runs have the same incarnation.
    pub fn next_request_id(&self) -> Request {
        let count = self.request_counter.fetch_add(1, Ordering::Relaxed);
        Request(u128::from(self.incarnation.0) << 64 | u128::from(count))
    }
}
