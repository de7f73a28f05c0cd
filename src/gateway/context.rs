//! What the gateway's tasks share.

use std::sync::{
    Arc, Mutex, MutexGuard,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::{
        budget::Budget,
        dialect::{Dialect, Engines, Schema},
        document::Document,
        freshness::Freshness,
        member::Members,
        peer::{News, Peers, Told},
        place::Placer,
        rollout::Progress,
        roster::{Roster, View},
        settings::Settings,
        store::{Row, Store},
    },
    http::client::Client,
    kernel::{
        clock::{Clock, Time},
        id::{Incarnation, Request},
    },
    request::suspect::Table,
};

/// What an adapter brings.
pub struct Setup {
    /// The settings.
    pub settings: Settings,
    /// A clock that goes on while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Connections to upstreams.
    pub client: Arc<Client>,
    /// The language of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// The language of rows.
    pub schema: Arc<dyn Schema>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The engines' control calls.
    pub engines: Arc<dyn Engines>,
}

/// The shared state of a gateway. What a call reads is swapped whole.
pub struct Context {
    /// The settings.
    pub settings: Settings,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// The source of time.
    pub clock: Arc<dyn Clock>,
    /// Connections to upstreams.
    pub client: Arc<Client>,
    /// The language of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// The language of rows.
    pub schema: Arc<dyn Schema>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The engines' control calls.
    pub engines: Arc<dyn Engines>,
    /// The document in force; swapped only towards a higher version.
    pub document: ArcSwapOption<Document>,
    /// The row that the document was read from, for other daemons.
    pub source: ArcSwapOption<Row>,
    /// When the document was confirmed.
    pub freshness: Freshness,
    /// The upstreams that may get calls.
    pub view: ArcSwap<View>,
    /// The weights that are wanted, and how far the engines are.
    pub progress: ArcSwap<Progress>,
    /// The daemons.
    pub members: Members,
    /// What the other daemons tell.
    pub peers: Peers,
    /// How far the engines are, while this daemon holds the lease on orders.
    pub told: ArcSwap<Vec<Told>>,
    /// Set when a planned stop begins.
    pub leaving: CancellationToken,
    roster: Mutex<Roster>,
    placer: Mutex<Placer>,
    budget: Mutex<Budget>,
    suspects: Mutex<Table>,
    runs: AtomicU64,
}

impl Context {
    /// A context that knows nothing yet.
    pub fn new(setup: Setup) -> Context {
        let incarnation = Incarnation(setup.clock.wall_micros());
        let placer = Placer::new(setup.settings.read_rate, setup.settings.zone.clone());
        let budget = Budget::new(setup.settings.budget);
        Context {
            incarnation,
            clock: setup.clock,
            client: setup.client,
            dialect: setup.dialect,
            schema: setup.schema,
            store: setup.store,
            engines: setup.engines,
            document: ArcSwapOption::empty(),
            source: ArcSwapOption::empty(),
            freshness: Freshness::default(),
            view: ArcSwap::default(),
            progress: ArcSwap::default(),
            members: Members::default(),
            peers: Peers::default(),
            told: ArcSwap::default(),
            leaving: CancellationToken::new(),
            roster: Mutex::default(),
            placer: Mutex::new(placer),
            budget: Mutex::new(budget),
            suspects: Mutex::default(),
            runs: AtomicU64::new(0),
            settings: setup.settings,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether callers may come: there is a document that is confirmed, and no stop has begun.
    pub fn is_ready(&self) -> bool {
        let fresh = self.freshness.is_within(self.settings.revocation, self.now());
        self.document.load().is_some() && fresh && !self.leaving.is_cancelled()
    }

    /// Takes note of what a peer tells of weights and engines.
    pub fn tell(&self, news: &News) {
        let now = self.now();
        let mut progress = (**self.progress.load()).clone();
        let mut changed = false;
        for (model, version) in &news.weights {
            changed |= progress.set_target(model, *version, now);
        }
        for told in &news.told {
            changed |= progress.update_statuses(&told.model, told.fence, &told.marks);
        }
        if changed {
            self.progress.store(Arc::new(progress));
        }
    }

    /// Changes the roster and shows the result to the calls.
    pub fn change_roster<T>(&self, change: impl FnOnce(&mut Roster) -> T) -> T {
        let mut roster = self.roster.lock().unwrap_or_else(|it| it.into_inner());
        let result = change(&mut roster);
        self.view.store(Arc::new(roster.view()));
        result
    }

    /// The choice of upstreams.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// The requests that crashed upstreams.
    pub fn suspects(&self) -> MutexGuard<'_, Table> {
        self.suspects.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// A number for one sending of a call, unique in this run of the daemon.
    pub fn next_run(&self) -> Request {
        Request(u128::from(self.runs.fetch_add(1, Ordering::Relaxed)))
    }

    /// The count of repeats.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(|it| it.into_inner())
    }
}
