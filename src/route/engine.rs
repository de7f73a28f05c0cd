//! Per-engine state that load reports do not include: requests from this daemon that have no first
//! token yet, and estimates of queueing and cache retention.

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

/// Initial estimate of how long a cache keeps a block.
const INITIAL_EVICTION_AGE: Duration = Duration::from_secs(5);

/// Lower and upper bound for the learned eviction age.
const EVICTION_AGE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(120));

/// How long the cache of a restarted engine is assumed to be cold.
const COLD_CACHE_PERIOD: Duration = Duration::from_secs(3);

/// Weight of this daemon's requests in the queue estimate of an engine with a cold cache. It is
/// above 1 because other daemons send requests there at the same time.
const COLD_CACHE_SEND_WEIGHT: f64 = 4.0;

/// Initial estimate of the decode time, used until the first request has ended.
const INITIAL_DECODE_TIME: Duration = Duration::from_millis(500);

/// Weight of the newest sample in the moving average of the decode time.
const DECODE_TIME_WEIGHT: f64 = 0.1;

/// Time constant of the moving average of reported load.
const LOAD_WINDOW: Duration = Duration::from_secs(3);

/// Load above which the estimated wait grows linearly. The queueing formula diverges at 1.
const MAX_QUEUE_LOAD: f64 = 0.95;

/// Engines kept beyond twice the size of the directory before pruning.
const PRUNE_SLACK: usize = 64;

/// The state of all engines that have been candidates, by the hash of their names (see
/// [`super::pool::Member::hash`]).
#[derive(Default)]
pub struct Engines {
    engines: HashMap<u64, Arc<Engine>>,
}

/// The state of one engine behind a lock.
#[derive(Default)]
pub struct Engine {
    state: Mutex<State>,
}

/// The state of one incarnation of an engine, as seen by this daemon.
#[derive(Clone, Debug)]
pub struct State {
    incarnation: Incarnation,
    /// When this incarnation replaced an earlier known one, if it did.
    restarted_at: Option<Time>,
    /// Requests from this daemon that have no first token yet.
    awaiting_prefill: Map<Request, Prefill>,
    /// The age at which the cache is expected to have evicted a block.
    eviction_age: Duration,
    /// The moving average of the time from the first token to the end of a request.
    decode_time: Duration,
    /// The moving average of the reported load, see [`LOAD_WINDOW`].
    average_load: f64,
    /// When the last report in that average arrived.
    reported_at: Time,
}

/// A request that was sent and has no first token yet.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    sent_at: Time,
    /// Prompt tokens that the engine is expected to prefill.
    tokens: u64,
}

impl Engines {
    /// Returns the state of an engine, if it is known.
    pub fn get(&self, engine_hash: u64) -> Option<Arc<Engine>> {
        self.engines.pin().get(&engine_hash).cloned()
    }

    /// Returns the state of an engine, creating it if needed.
    pub fn get_or_insert(&self, engine_hash: u64) -> Arc<Engine> {
        self.engines.pin().get_or_insert_with(engine_hash, Arc::default).clone()
    }

    /// Removes engines that are not in the directory once too many engines are tracked.
    pub fn prune(&self, directory: &Directory) {
        let engines = self.engines.pin();
        if engines.len() <= 2 * directory.upstreams().len() + PRUNE_SLACK {
            return;
        }
        let names = directory.upstreams().iter().map(|it| it.name.as_str());
        let known: Set<u64> = names.map(name_hash).collect();
        engines.retain(|engine, _| known.contains(engine));
    }
}

impl Engine {
    /// Locks the state, and resets it first if it belongs to an earlier incarnation.
    pub fn lock_incarnation(&self, incarnation: Incarnation, now: Time) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(|it| it.into_inner());
        state.reset_if_newer(incarnation, now);
        state
    }
}

impl Default for State {
    fn default() -> State {
        State {
            incarnation: Incarnation(0),
            restarted_at: None,
            awaiting_prefill: Map::default(),
            eviction_age: INITIAL_EVICTION_AGE,
            decode_time: INITIAL_DECODE_TIME,
            average_load: 0.0,
            reported_at: Time::default(),
        }
    }
}

impl State {
    /// Returns the incarnation of the engine that this state describes.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Estimates the time to first token of a fully cached request that is sent now.
    pub fn queue_delay(&mut self, upstream: &Upstream, now: Time) -> Duration {
        let average_load = self.average_load(upstream);
        let Some(load) = &upstream.load else {
            return Duration::ZERO;
        };
        let report_taken_at = upstream.reported - Duration::from_millis(load.age_ms);
        let rate = load.prefill_rate.max(1) as f64;
        let done = rate * now.since(report_taken_at).as_secs_f64();
        let reported_tokens = (load.prefill_tokens as f64 - done).max(0.0);
        let sent = self.awaiting_prefill.values().filter(|it| it.sent_at > report_taken_at);
        let tokens: u64 = sent.map(|it| it.tokens).sum();
        let send_weight = if self.has_cold_cache(now) { COLD_CACHE_SEND_WEIGHT } else { 1.0 };
        let prefill = (reported_tokens + tokens as f64 * send_weight) / rate;
        let slot_delay = self.decode_time.as_secs_f64() * slot_wait(average_load, load.batch);
        Duration::from_secs_f64((prefill + slot_delay).min(3_600.0))
    }

    /// Returns the moving average of the engine's load, updated with its latest report.
    pub fn average_load(&mut self, upstream: &Upstream) -> f64 {
        let passed = upstream.reported.since(self.reported_at).as_secs_f64();
        if passed > 0.0 {
            let known = self.reported_at != Time::default();
            let kept = if known { (-passed / LOAD_WINDOW.as_secs_f64()).exp() } else { 0.0 };
            let weight = 1.0 - kept;
            self.average_load += weight * (engine_load(upstream) - self.average_load);
            self.reported_at = upstream.reported;
        }
        self.average_load
    }

    /// Estimates the probability that the engine still holds a prefix: 1 up to half the eviction
    /// age, then falling linearly to 0 at the eviction age.
    pub fn hit_probability(&self, holder: &Holder, now: Time) -> f64 {
        if holder.incarnation != self.incarnation {
            return 0.0;
        }
        let age = now.since(holder.last_seen).as_secs_f64() / self.eviction_age.as_secs_f64();
        (2.0 - 2.0 * age).clamp(0.0, 1.0)
    }

    /// Returns whether the engine restarted within `COLD_CACHE_PERIOD`.
    pub fn has_cold_cache(&self, now: Time) -> bool {
        self.restarted_at.is_some_and(|it| now.since(it) < COLD_CACHE_PERIOD)
    }

    /// Records a request sent by this daemon.
    pub fn record_sent(&mut self, request: Request, tokens: u64, now: Time) {
        self.awaiting_prefill.insert(request, Prefill { sent_at: now, tokens });
    }

    /// Records that a request no longer waits for its prefill: its first token arrived, or it ended
    /// without one.
    pub fn record_prefill_end(&mut self, request: Request) {
        self.awaiting_prefill.remove(&request);
    }

    /// Records the time from the first token to the end of a request.
    pub fn record_decode_time(&mut self, took: Duration) {
        self.decode_time =
            self.decode_time.mul_f64(1.0 - DECODE_TIME_WEIGHT) + took.mul_f64(DECODE_TIME_WEIGHT);
    }

    /// Records whether the prefix described by `holder` was still cached at `now`.
    pub fn record_lookup(&mut self, holder: &Holder, hit: bool, now: Time) {
        let age = now.since(holder.last_seen);
        if hit == (age <= self.eviction_age) {
            return;
        }
        // Only a hit after the expected age, or a miss before it, changes the estimate.
        let eviction_age = (self.eviction_age + age) / 2;
        self.eviction_age = eviction_age.clamp(EVICTION_AGE_BOUNDS.0, EVICTION_AGE_BOUNDS.1);
    }

    fn reset_if_newer(&mut self, incarnation: Incarnation, now: Time) {
        if incarnation <= self.incarnation {
            return;
        }
        let known = self.incarnation != Incarnation(0);
        *self = State {
            incarnation,
            restarted_at: known.then_some(now),
            eviction_age: self.eviction_age,
            decode_time: self.decode_time,
            ..State::default()
        };
    }
}

/// Estimates how long a request waits for one of `slots` places in the engine's batch at a mean
/// `load`, in units of the time that a request occupies a slot. It is the number of waiting
/// requests in Sakasegawa's approximation for a queue with several servers, divided by the number
/// of slots. The excess of the load over [`MAX_QUEUE_LOAD`] is added.
///
/// Only the mean load is used: a report is about as old as a request takes, so the load in a single
/// report says little.
fn slot_wait(load: f64, slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    let capped_load = load.min(MAX_QUEUE_LOAD);
    let waiting = capped_load.powf((2.0 * (slots + 1.0)).sqrt()) / (slots * (1.0 - capped_load));
    waiting + (load - MAX_QUEUE_LOAD).max(0.0)
}
