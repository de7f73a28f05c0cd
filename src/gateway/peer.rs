//! State that daemons exchange with each other: liveness, calls in flight at each engine, prefixes
//! cached by each engine, and the age of each daemon's document.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    fleet::board::Fact,
    gateway::{cache::CacheEntry, gauge::Outcomes, rollout},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Version},
    },
};

/// A peer that has not responded for this long is not offered to callers, which allow one second
/// for a new connection.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Engine loads reported by a peer expire after this time.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_000);

/// Cache updates retained for slow peers; a peer that falls further behind misses the oldest.
const MAX_CACHE_UPDATES: usize = 2_048;

/// A request for a peer's news.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct NewsRequest {
    /// Sequence number of the last cache update received from this run of the peer.
    pub after: u64,
    /// The run of the peer that the sequence number refers to.
    pub incarnation: Incarnation,
}

/// One daemon's load and recent call outcomes at an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Hash of the engine's name.
    pub engine: u64,
    /// Calls in progress.
    pub calls: u32,
    /// Prompt tokens that are not yet prefilled.
    pub tokens: u64,
    /// Cache tokens that the calls occupy.
    pub memory: u64,
    /// Outcomes of the daemon's recent calls.
    pub outcomes: Outcomes,
}

/// Rollout progress of a model's engines, as reported by the lease holder.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RolloutReport {
    /// The model.
    pub model: Model,
    /// Fencing token of the lease holder; a higher one takes precedence.
    pub fence: u64,
    /// Progress of each engine.
    pub marks: rollout::Statuses,
}

/// A peer's response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct News {
    /// The run of the peer.
    pub incarnation: Incarnation,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Version of its document, if it has one.
    pub document: Option<u64>,
    /// Microseconds since its document was known to be the latest.
    pub age_us: Option<u64>,
    /// Configured weights.
    pub weights: Vec<(Model, Version)>,
    /// Rollout progress, if the peer holds the lease.
    #[serde(rename = "told")]
    pub rollouts: Vec<RolloutReport>,
    /// Sequence number of its last cache update.
    #[serde(rename = "last")]
    pub last_update: u64,
    /// Cache updates after the requested sequence number.
    #[serde(rename = "held")]
    pub cache_updates: Vec<CacheEntry>,
    /// Its load at each engine.
    #[serde(rename = "shares")]
    pub engine_loads: Vec<EngineLoad>,
    /// Upstream processes that it found dead: hash of the name, and incarnation.
    pub dead: Vec<(u64, Incarnation)>,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<Fact>,
}

/// Log of this daemon's recent cache updates, with sequence numbers.
#[derive(Debug, Default)]
pub struct CacheUpdates {
    last: u64,
    updates: VecDeque<CacheEntry>,
}

impl CacheUpdates {
    /// Appends an update, dropping the oldest if the log is full.
    pub fn push(&mut self, update: CacheEntry) {
        self.last += 1;
        self.updates.push_back(update);
        if self.updates.len() > MAX_CACHE_UPDATES {
            self.updates.pop_front();
        }
    }

    /// The last sequence number, and the retained updates after `after`.
    pub fn after(&self, after: u64) -> (u64, Vec<CacheEntry>) {
        let missing = self.last.saturating_sub(after) as usize;
        let skipped = self.updates.len().saturating_sub(missing);
        (self.last, self.updates.iter().skip(skipped).copied().collect())
    }
}

/// Last known state of one peer.
#[derive(Clone, Debug)]
struct PeerState {
    incarnation: Incarnation,
    last_update: u64,
    last_response: Time,
    ready: bool,
    engine_loads: Vec<EngineLoad>,
}

/// Combined load of all peers, by the hash of the engine's name.
pub type FleetLoad = Map<u64, EngineLoad>;

/// Last known state of all peers.
#[derive(Debug, Default)]
pub struct Peers {
    states: Mutex<Map<String, PeerState>>,
    /// Combined load of all peers.
    load: ArcSwap<FleetLoad>,
    /// Cache updates of this daemon.
    cache_updates: Mutex<CacheUpdates>,
}

impl Peers {
    /// The next request to a peer.
    pub fn next_request(&self, name: &str) -> NewsRequest {
        let states = self.lock();
        let state = states.get(name);
        state.map_or(NewsRequest { after: 0, incarnation: Incarnation::default() }, |it| {
            NewsRequest { after: it.last_update, incarnation: it.incarnation }
        })
    }

    /// Records a peer's response and recomputes the combined load.
    pub fn record_news(&self, name: &str, news: &News, now: Time) {
        let mut states = self.lock();
        let entry = PeerState {
            incarnation: news.incarnation,
            last_update: news.last_update,
            last_response: now,
            ready: news.ready,
            engine_loads: news.engine_loads.clone(),
        };
        states.insert(name.to_owned(), entry);
        let mut load = FleetLoad::default();
        for peer in states.values().filter(|it| now.since(it.last_response) < PEER_LOAD_TTL) {
            for reported in &peer.engine_loads {
                let sum = load.entry(reported.engine).or_default();
                sum.calls += reported.calls;
                sum.tokens += reported.tokens;
                sum.memory += reported.memory;
                sum.outcomes = sum.outcomes.combined_with(&reported.outcomes);
            }
        }
        self.load.store(Arc::new(load));
    }

    /// Combined load and call outcomes of all peers, by engine.
    pub fn fleet_load(&self) -> Arc<FleetLoad> {
        self.load.load_full()
    }

    /// Whether a peer can be offered to callers: it responded recently and is ready.
    pub fn accepts_callers(&self, name: &str, now: Time) -> bool {
        let states = self.lock();
        states.get(name).is_some_and(|it| it.ready && now.since(it.last_response) < PEER_TIMEOUT)
    }

    /// Whether any peer responded recently.
    pub fn any_responsive(&self, now: Time) -> bool {
        self.lock().values().any(|it| now.since(it.last_response) < PEER_TIMEOUT)
    }

    /// Cache updates of this daemon.
    pub fn cache_updates(&self) -> MutexGuard<'_, CacheUpdates> {
        self.cache_updates.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, PeerState>> {
        self.states.lock().unwrap_or_else(|it| it.into_inner())
    }
}
