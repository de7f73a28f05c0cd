//! A stand-in for a model engine (see [`wire`]).
//!
//! | call beside the engine's protocol | answer |
//! |---|---|
//! | `PUT /faults` with [`Faults`] | 204; replaces all faults, and acts on `crash` and `silence` |

pub mod batch;
pub mod cache;
mod orders;
mod pages;
pub mod stream;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Notify, time};
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    collections::Map,
    http::client::Client,
    kernel::{
        clock::{self, Clock, Time},
        id::{Incarnation, Model, Request, Version},
    },
    prefix::Chain,
    standin::{
        engine::{
            batch::{Batch, Speed, Step},
            cache::Cache,
            stream::Stream,
        },
        ledger::Ledger,
        port::{self, Switch},
    },
    upstream::wire::{self, Change, Event, Load, Role, State, Weights},
};

/// Ended streams can be read again for this long.
const KEEP_STREAM: Duration = Duration::from_secs(30);

/// Cache events that are kept for readers.
const KEEP_EVENTS: usize = 4_096;

/// The usual speed of an engine.
pub const SPEED: Speed = Speed { batch: 16, step: Duration::from_millis(4), prefill_rate: 100_000 };

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The model that is loaded when it starts.
    pub model: Model,
    /// The version that is loaded when it starts.
    pub version: Version,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// How fast it is.
    pub speed: Speed,
    /// Blocks that its cache holds.
    pub cache_blocks: usize,
    /// Unused blocks stay for this long.
    pub cache_idle: Duration,
    /// Requests that may wait.
    pub queue: usize,
    /// Where the weight store listens.
    pub weights: SocketAddr,
}

impl Settings {
    /// An engine with one model.
    pub fn new(model: Model, version: Version, weights: SocketAddr) -> Settings {
        Settings {
            model,
            version,
            fenced: true,
            speed: SPEED,
            cache_blocks: 2_048,
            cache_idle: Duration::from_secs(10),
            queue: 256,
            weights,
        }
    }
}

/// What goes wrong with an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Crash now. It comes back with another incarnation and an empty cache.
    pub crash: bool,
    /// All connections that are open now go silent; new ones work.
    pub silence: bool,
    /// How long a crashed engine stays away, in milliseconds.
    pub restart_ms: u64,
    /// A prompt with this text crashes the engine when it is computed.
    pub poison: Option<String>,
    /// Age of the newest cache event that is given out, in milliseconds.
    pub event_delay_ms: u64,
    /// Cache events that are lost, in percent.
    pub event_drop_percent: u64,
    /// Cache events that name other blocks than they should, in percent.
    pub event_wrong_percent: u64,
    /// Age of load reports, in milliseconds.
    pub load_lag_ms: u64,
    /// Duration of a step, in percent of the usual.
    pub slow_percent: u32,
    /// It refuses new requests and says that it leaves.
    pub leaving: bool,
    /// It refuses all orders.
    pub refuse_orders: bool,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            crash: false,
            silence: false,
            restart_ms: 500,
            poison: None,
            event_delay_ms: 200,
            event_drop_percent: 1,
            event_wrong_percent: 0,
            load_lag_ms: 100,
            slow_percent: 100,
            leaving: false,
            refuse_orders: false,
        }
    }
}

/// A running engine.
pub struct Engine {
    address: SocketAddr,
    settings: Settings,
    ledger: Arc<Ledger>,
    client: Client,
    clock: clock::System,
    switch: Arc<Switch>,
    work: Notify,
    crash: Notify,
    inner: Mutex<Inner>,
}

struct Inner {
    incarnation: Incarnation,
    batch: Batch,
    cache: Cache,
    streams: Map<Request, Arc<Stream>>,
    events: VecDeque<Published>,
    seq: u64,
    state: State,
    reports: VecDeque<Report>,
    faults: Faults,
}

struct Published {
    time: Time,
    event: Event,
}

struct Report {
    time: Time,
    load: Load,
}

impl Engine {
    /// Starts an engine on a port that the system chooses; it runs until `stop`.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Io`] if no port can be bound.
    pub async fn start(
        settings: Settings,
        ledger: Arc<Ledger>,
        stop: CancellationToken,
    ) -> Result<Arc<Engine>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let clock = clock::System::new();
        let incarnation = Incarnation(clock.wall_micros());
        let mut inner = Inner::new(&settings, incarnation, Faults::default());
        inner.state.loaded.append(&mut inner.state.loading);
        let engine = Arc::new(Engine {
            address: listener.local_addr()?,
            settings,
            ledger,
            client: Client::new(),
            clock,
            switch: Arc::new(Switch::default()),
            work: Notify::new(),
            crash: Notify::new(),
            inner: Mutex::new(inner),
        });
        let pages = Arc::new(pages::Pages(engine.clone()));
        tokio::spawn(port::serve(listener, engine.switch.clone(), pages, stop.clone()));
        let running = engine.clone();
        tokio::spawn(async move { stop.run_until_cancelled(running.run()).await });
        engine.take_report();
        let reporting = engine.clone();
        tokio::spawn(async move { reporting.report().await });
        Ok(engine)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The run of the engine.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().incarnation
    }

    /// How many blocks of `chain`, from the first on, its cache holds.
    pub fn cached_blocks(&self, chain: &Chain) -> usize {
        self.lock().cache.held(&chain.0)
    }

    /// Its load at this moment, which nobody else knows.
    pub fn load_now(&self) -> Load {
        self.lock().load(&self.settings)
    }

    /// How fast it is.
    pub fn speed(&self) -> &Speed {
        &self.settings.speed
    }

    /// What it has loaded.
    pub fn state(&self) -> State {
        self.lock().state.clone()
    }

    /// Its faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces its faults, and acts on those that happen once.
    pub fn set_faults(&self, faults: Faults) {
        let (crash, silence) = (faults.crash, faults.silence);
        self.lock().faults = Faults { crash: false, silence: false, ..faults };
        if silence {
            self.switch.silence();
        }
        if crash {
            self.crash.notify_one();
        }
    }

    /// Computes steps and crashes, for ever.
    async fn run(self: &Arc<Engine>) {
        loop {
            tokio::select! {
                () = self.steps() => {}
                () = self.crash.notified() => {}
            }
            self.restart().await;
        }
    }

    /// Computes steps until a request crashes the engine.
    async fn steps(&self) {
        loop {
            let work = self.work.notified();
            let step = self.plan();
            match step {
                Step::Idle => work.await,
                Step::Crash => return,
                Step::Run(duration) => {
                    time::sleep(duration).await;
                    self.apply();
                }
            }
        }
    }

    fn plan(&self) -> Step {
        let mut inner = self.lock();
        let slow = inner.faults.slow_percent;
        let Inner { batch, cache, .. } = &mut *inner;
        match batch.plan(&self.settings.speed, cache, &self.ledger) {
            Step::Run(duration) => Step::Run(duration * slow / 100),
            other => other,
        }
    }

    fn apply(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let Inner { batch, cache, .. } = &mut *inner;
        for change in batch.apply(cache, &self.ledger, now) {
            inner.publish(change, now);
        }
        inner.streams.retain(|_, it| {
            let progress = it.progress.borrow();
            progress.finish.is_none() || now.since(progress.ended) < KEEP_STREAM
        });
    }

    async fn restart(self: &Arc<Engine>) {
        self.switch.down();
        self.ledger.crashed();
        let restart = {
            let mut inner = self.lock();
            let blocks = inner.cache.clear();
            self.ledger.removed(&blocks);
            let wall = Incarnation(self.clock.wall_micros());
            let incarnation = wall.max(Incarnation(inner.incarnation.0 + 1));
            let faults = inner.faults.clone();
            let restart = Duration::from_millis(faults.restart_ms);
            *inner = Inner::new(&self.settings, incarnation, faults);
            restart
        };
        time::sleep(restart).await;
        self.take_report();
        self.load_missing();
        self.switch.up();
    }

    /// Keeps old load reports, since the load that is given out lags.
    async fn report(&self) {
        let mut interval = time::interval(Duration::from_millis(10));
        loop {
            interval.tick().await;
            self.take_report();
        }
    }

    fn take_report(&self) {
        let now = self.clock.now();
        let mut inner = self.lock();
        let load = inner.load(&self.settings);
        let lag = Duration::from_millis(inner.faults.load_lag_ms);
        inner.reports.push_back(Report { time: now, load });
        let is_old = |it: &Report| now.since(it.time) >= lag;
        while inner.reports.get(1).is_some_and(is_old) {
            inner.reports.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Inner {
    /// An engine that begins to load its model.
    fn new(settings: &Settings, incarnation: Incarnation, faults: Faults) -> Inner {
        let weights = Weights {
            model: settings.model.clone(),
            version: settings.version,
            adapters: Vec::new(),
        };
        Inner {
            incarnation,
            batch: Batch::default(),
            cache: Cache::new(settings.cache_blocks, settings.cache_idle),
            streams: Map::default(),
            events: VecDeque::new(),
            seq: 0,
            state: State {
                incarnation,
                loaded: Vec::new(),
                loading: vec![weights],
                role: Role::Serve,
                fence: 0,
            },
            reports: VecDeque::new(),
            faults,
        }
    }

    fn publish(&mut self, change: Change, now: Time) {
        self.seq += 1;
        let seq = self.seq;
        let event = Event { seq, change };
        self.events.push_back(Published { time: now, event });
        if self.events.len() > KEEP_EVENTS {
            self.events.pop_front();
        }
    }

    fn load(&self, settings: &Settings) -> Load {
        Load {
            incarnation: self.incarnation,
            age_ms: 0,
            running: self.batch.running() as u32,
            queued: self.batch.queued() as u32,
            prefill_tokens: self.batch.prefill_tokens(),
            batch: settings.speed.batch as u32,
            prefill_rate: settings.speed.prefill_rate,
            leaving: self.faults.leaving,
            state: self.state.clone(),
        }
    }

    fn serves(&self, completion: &wire::Completion) -> bool {
        let is_it = |it: &&Weights| {
            it.model == completion.model
                && it.version == completion.version
                && completion.adapter.as_ref().is_none_or(|adapter| it.adapters.contains(adapter))
        };
        self.state.role == Role::Serve && self.state.loaded.iter().find(is_it).is_some()
    }
}
