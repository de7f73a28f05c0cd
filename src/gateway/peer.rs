//! Peer state that daemons exchange with each other: liveness, load at each upstream, prefixes
//! cached by each engine, rollout progress, and the time since each daemon's document was last
//! confirmed to be the latest.
//!
//! Messages are encoded with `bincode`, which writes fields by position. The `serde` renames keep
//! the names of fields that have since been renamed.

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
    gateway::{cache, gauge::Outcomes, rollout},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Version},
    },
};

/// A peer that has not responded for this long is not offered to callers, which allow one second
/// for a new connection.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Upstream loads reported by a peer expire after this time.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_000);

/// Cache updates retained for slow peers; a peer that falls further behind misses the oldest.
const MAX_CACHE_UPDATES: usize = 2_048;

/// A request for a peer's news.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Request {
    /// Sequence number of the last cache update received from this process of the peer.
    pub after: u64,
    /// Incarnation of the peer's process that the sequence number refers to.
    pub incarnation: Incarnation,
}

/// Load and recent call outcomes at one upstream: those of one daemon, or in [`Totals`] the sum
/// over all peers.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Hash of the upstream's name; 0 in [`Totals`], where it is the map's key.
    pub engine: u64,
    /// Calls in progress.
    pub calls: u32,
    /// Prompt tokens that the calls are still expected to prefill.
    pub tokens: u64,
    /// Engine memory reserved for the calls, in tokens.
    pub memory: u64,
    /// Outcomes of recent calls.
    pub outcomes: Outcomes,
}

/// Rollout progress of a model's engines, as reported by the holder of the lease on load orders.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Rollout {
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
    /// Incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// Whether it may be listed in the addresses given to callers.
    pub ready: bool,
    /// Version of its document, if it has one.
    pub document: Option<u64>,
    /// Microseconds since its document was last confirmed to be the latest.
    pub age_us: Option<u64>,
    /// Latest configured version of each model's weights.
    pub weights: Vec<(Model, Version)>,
    /// Rollout progress, if the peer holds the lease on load orders.
    #[serde(rename = "told")]
    pub rollouts: Vec<Rollout>,
    /// Sequence number of its last cache update.
    #[serde(rename = "last")]
    pub last_update: u64,
    /// Cache updates after the requested sequence number.
    #[serde(rename = "held")]
    pub cache_updates: Vec<cache::Entry>,
    /// Its load at each upstream where it has calls in flight, or where it or its peers saw calls
    /// fail recently.
    #[serde(rename = "shares")]
    pub engine_loads: Vec<Load>,
    /// Upstream processes that it found dead: hash of the name, and incarnation.
    pub dead: Vec<(u64, Incarnation)>,
    /// Requests suspected of crashing upstreams.
    pub suspects: Vec<Fact>,
}

/// Log of this daemon's recent cache updates, with sequence numbers.
#[derive(Debug, Default)]
pub struct Updates {
    last: u64,
    updates: VecDeque<cache::Entry>,
}

impl Updates {
    /// Appends an update, dropping the oldest if the log is full.
    pub fn push(&mut self, update: cache::Entry) {
        self.last += 1;
        self.updates.push_back(update);
        if self.updates.len() > MAX_CACHE_UPDATES {
            self.updates.pop_front();
        }
    }

    /// The last sequence number, and the retained updates after `after`.
    pub fn after(&self, after: u64) -> (u64, Vec<cache::Entry>) {
        let missing = self.last.saturating_sub(after) as usize;
        let skipped = self.updates.len().saturating_sub(missing);
        (self.last, self.updates.iter().skip(skipped).copied().collect())
    }
}

/// Last known state of one peer.
#[derive(Clone, Debug)]
struct State {
    incarnation: Incarnation,
    last_update: u64,
    last_response: Time,
    ready: bool,
    engine_loads: Vec<Load>,
}

/// Combined load of all peers, without this daemon, by the hash of the upstream's name.
pub type Totals = Map<u64, Load>;

/// Last known state of all peers.
#[derive(Debug, Default)]
pub struct Peers {
    states: Mutex<Map<String, State>>,
    /// Combined load of all peers.
    load: ArcSwap<Totals>,
    /// Cache updates of this daemon.
    cache_updates: Mutex<Updates>,
}

impl Peers {
    /// The next request to a peer.
    pub fn next_request(&self, name: &str) -> Request {
        let states = self.lock();
        let state = states.get(name);
        state.map_or(Request { after: 0, incarnation: Incarnation::default() }, |it| Request {
            after: it.last_update,
            incarnation: it.incarnation,
        })
    }

    /// Records a peer's response and recomputes the combined load.
    pub fn record_news(&self, name: &str, news: &News, now: Time) {
        let mut states = self.lock();
        let entry = State {
            incarnation: news.incarnation,
            last_update: news.last_update,
            last_response: now,
            ready: news.ready,
            engine_loads: news.engine_loads.clone(),
        };
        states.insert(name.to_owned(), entry);
        let mut load = Totals::default();
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

    /// Combined load and call outcomes of all peers, by upstream.
    pub fn peer_load(&self) -> Arc<Totals> {
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
    pub fn cache_updates(&self) -> MutexGuard<'_, Updates> {
        self.cache_updates.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, State>> {
        self.states.lock().unwrap_or_else(|it| it.into_inner())
    }
}
