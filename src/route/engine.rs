//! What this daemon knows of an engine beside its reports: own sends, and how long its cache
//! keeps a block.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use papaya::HashMap;

use crate::{
    collections::{Map, Set},
    kernel::{
        clock::Time,
        id::{Incarnation, Request},
    },
    route::{
        pool::{engine_load, name_hash},
        prefix_table::Holder,
    },
    upstream::directory::{Directory, Upstream},
};

/// How long a cache is taken to keep a block before answers tell more.
const EVICTION_GUESS: Duration = Duration::from_secs(5);

/// The bounds of the learnt time that a cache keeps a block.
const EVICTION: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(120));

/// The time for which a new run of an engine counts as empty.
const EMPTY: Duration = Duration::from_secs(3);

/// Own sends to an empty engine count this often, since other daemons send there too.
const EMPTY_SENDS: f64 = 4.0;

/// The time that a request is taken to decode before any has ended.
const DECODE_GUESS: Duration = Duration::from_millis(500);

/// The weight of the newest value in a mean.
const WEIGHT: f64 = 0.1;

/// The time over which reported loads are averaged.
const LOAD_WINDOW: Duration = Duration::from_secs(3);

/// The load above which waiting grows in proportion.
const LOAD_MAX: f64 = 0.95;

/// Engines remembered beyond twice those of the directory.
const SPARE_ENGINES: usize = 64;

/// All engines that were candidates, by the hash of their names.
#[derive(Default)]
pub struct Engines {
    engines: HashMap<u64, Arc<Engine>>,
}

/// What is known of one engine.
#[derive(Default)]
pub struct Engine {
    state: Mutex<EngineState>,
}

/// The state of one run of an engine, as this daemon sees it.
#[derive(Clone, Debug)]
pub struct EngineState {
    incarnation: Incarnation,
    /// When this run replaced one that was known, if it did.
    restarted: Option<Time>,
    /// Own requests that have no first token yet.
    sent: Map<Request, Sent>,
    /// How long its cache is expected to keep a block.
    eviction: Duration,
    /// The mean time from first token to end of a request.
    decode: Duration,
    /// Its reported load, averaged over [`LOAD_WINDOW`], and when that report arrived.
    load: f64,
    reported: Time,
}

/// A request on its way.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Time,
    /// Prompt tokens that it is expected to prefill.
    tokens: u64,
}

impl Engines {
    /// One engine.
    pub fn get(&self, engine: u64) -> Option<Arc<Engine>> {
        self.engines.pin().get(&engine).cloned()
    }

    /// One engine, remembered from now on.
    pub fn get_or_insert(&self, engine: u64) -> Arc<Engine> {
        self.engines.pin().get_or_insert_with(engine, Arc::default).clone()
    }

    /// Forgets engines that are not in the directory, when there are many of them.
    pub fn prune(&self, directory: &Directory) {
        let engines = self.engines.pin();
        if engines.len() <= 2 * directory.upstreams().len() + SPARE_ENGINES {
            return;
        }
        let names = directory.upstreams().iter().map(|it| it.name.as_str());
        let known: Set<u64> = names.map(name_hash).collect();
        engines.retain(|engine, _| known.contains(engine));
    }
}

impl Engine {
    /// Locks its state. The state of an earlier run than `incarnation` is emptied first.
    pub fn lock_run(&self, incarnation: Incarnation, now: Time) -> MutexGuard<'_, EngineState> {
        let mut state = self.state.lock().unwrap_or_else(|it| it.into_inner());
        state.renew(incarnation, now);
        state
    }
}

impl Default for EngineState {
    fn default() -> EngineState {
        EngineState {
            incarnation: Incarnation(0),
            restarted: None,
            sent: Map::default(),
            eviction: EVICTION_GUESS,
            decode: DECODE_GUESS,
            load: 0.0,
            reported: Time::default(),
        }
    }
}

impl EngineState {
    /// The run that this is about.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The time until a request that is sent now would be prefilled if it were all cached.
    pub fn queue_delay(&mut self, upstream: &Upstream, now: Time) -> Duration {
        let used = self.average_load(upstream);
        let Some(load) = &upstream.load else {
            return Duration::ZERO;
        };
        let taken = upstream.reported - Duration::from_millis(load.age_ms);
        let rate = load.prefill_rate.max(1) as f64;
        let done = rate * now.since(taken).as_secs_f64();
        let reported = (load.prefill_tokens as f64 - done).max(0.0);
        let sent = self.sent.values().filter(|it| it.at > taken);
        let tokens: u64 = sent.map(|it| it.tokens).sum();
        let sends = if self.has_cold_cache(now) { EMPTY_SENDS } else { 1.0 };
        let prefill = (reported + tokens as f64 * sends) / rate;
        let slots = self.decode.as_secs_f64() * turns(used, load.batch);
        Duration::from_secs_f64((prefill + slots).min(3_600.0))
    }

    /// The part of an engine that is in use, averaged over its last reports.
    pub fn average_load(&mut self, upstream: &Upstream) -> f64 {
        let passed = upstream.reported.since(self.reported).as_secs_f64();
        if passed > 0.0 {
            let known = self.reported != Time::default();
            let kept = if known { (-passed / LOAD_WINDOW.as_secs_f64()).exp() } else { 0.0 };
            let weight = 1.0 - kept;
            self.load += weight * (engine_load(upstream) - self.load);
            self.reported = upstream.reported;
        }
        self.load
    }

    /// How likely it is that the engine still holds a prefix, from 0 to 1.
    pub fn hit_probability(&self, holder: &Holder, now: Time) -> f64 {
        if holder.incarnation != self.incarnation {
            return 0.0;
        }
        let age = now.since(holder.last_seen).as_secs_f64() / self.eviction.as_secs_f64();
        (2.0 - 2.0 * age).clamp(0.0, 1.0)
    }

    /// Whether this run started a short while ago, with an empty cache.
    pub fn has_cold_cache(&self, now: Time) -> bool {
        self.restarted.is_some_and(|it| now.since(it) < EMPTY)
    }

    /// Takes note of an own send.
    pub fn record_sent(&mut self, request: Request, tokens: u64, now: Time) {
        self.sent.insert(request, Sent { at: now, tokens });
    }

    /// Takes note that a request was prefilled or given up.
    pub fn record_prefilled(&mut self, request: Request) {
        self.sent.remove(&request);
    }

    /// Takes note of the time from first token to end of a request.
    pub fn record_decode_time(&mut self, took: Duration) {
        self.decode = self.decode.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT);
    }

    /// Takes note whether a prefix that was known as `holder` was still there `now`.
    pub fn record_lookup(&mut self, holder: &Holder, hit: bool, now: Time) {
        let age = now.since(holder.last_seen);
        if hit == (age <= self.eviction) {
            return;
        }
        // A hit beyond the expected time or a miss within it moves the expectation.
        let eviction = (self.eviction + age) / 2;
        self.eviction = eviction.clamp(EVICTION.0, EVICTION.1);
    }

    fn renew(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        let known = self.incarnation != Incarnation(0);
        *self = EngineState {
            incarnation,
            restarted: known.then_some(now),
            eviction: self.eviction,
            decode: self.decode,
            ..EngineState::default()
        };
    }
}

/// How long a request waits for one of `slots`, in times that a request holds one, at a mean
/// `load`. Reports are as old as requests are long, so that only the mean tells anything
/// (Sakasegawa's approximation of a queue with several servers).
fn turns(load: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let used = load.min(LOAD_MAX);
    let waiting = used.powf((2.0 * (slots + 1.0)).sqrt()) / (slots * (1.0 - used));
    waiting + (load - LOAD_MAX).max(0.0)
}
