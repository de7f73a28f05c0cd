//! Estimates the contents of the engines' prefix caches, and of the KV stores that keep prompts
//! which engines have processed, from the calls sent to the engines.
//!
//! The caches evict the least recently used part. The estimate counts the tokens that entered each
//! cache and treats a part as evicted once the tokens that entered since its last use exceed the
//! cache's capacity. It never queries a cache, and daemons that exchange their entries reach the
//! same estimate.

use serde::{Deserialize, Serialize};

use crate::{
    collections::{Map, Set},
    kernel::id::Incarnation,
};

/// The share of a cache's capacity that the estimate relies on. Reused parts also displace others,
/// which the token count does not include.
const USABLE_CAPACITY_SHARE: f64 = 0.8;

/// The number of parts tracked for one cache above which evicted parts are pruned.
const PRUNE_ABOVE_PARTS: usize = 1_024;

/// Number of shared parts after which the older half of [`Recent`] is forgotten: the long prompts of
/// about 20 s in a deployment with hundreds of calls a second.
const RECENT_PARTS: usize = 16_384;

/// A prompt part that entered a cache or was used there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The cache: the hash of the engine's name, or
    /// [`KvStore::cache`](crate::gateway::document::KvStore::cache).
    pub cache: u64,
    /// The incarnation of the engine, or the default one for a KV store.
    pub incarnation: Incarnation,
    /// The key of the part under its owner and model version.
    pub part: u64,
    /// The number of tokens in the part.
    pub tokens: u64,
    /// Whether other calls may use the part. One that they may not use takes up capacity but is not
    /// tracked.
    pub shared: bool,
}

/// The estimated contents of one cache.
#[derive(Debug, Default)]
struct Cache {
    incarnation: Incarnation,
    /// The total number of tokens that have entered.
    tokens_entered: u64,
    /// The value of `tokens_entered` at the last use of each part.
    parts: Map<u64, u64>,
}

/// Shared parts that were in prompts recently, whether or not a cache still holds them.
#[derive(Debug, Default)]
struct Recent {
    newer: Set<u64>,
    older: Set<u64>,
}

impl Recent {
    fn insert(&mut self, part: u64) {
        if self.newer.len() >= RECENT_PARTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part);
    }

    fn contains(&self, part: u64) -> bool {
        self.newer.contains(&part) || self.older.contains(&part)
    }
}

/// The estimated contents of all caches.
#[derive(Debug, Default)]
pub struct Estimate {
    caches: Map<u64, Cache>,
    recent: Recent,
}

impl Estimate {
    /// Records that a cache of `capacity` tokens received or used a part.
    pub fn record(&mut self, entry: &Entry, capacity: u64) {
        let state = self.caches.entry(entry.cache).or_default();
        if state.incarnation != entry.incarnation {
            *state = Cache { incarnation: entry.incarnation, ..Cache::default() };
        }
        if !state.holds(entry.part, capacity) {
            state.tokens_entered += entry.tokens;
        }
        if !entry.shared {
            return;
        }
        self.recent.insert(entry.part);
        state.parts.insert(entry.part, state.tokens_entered);
        if state.parts.len() > PRUNE_ABOVE_PARTS {
            let tokens_entered = state.tokens_entered;
            state.parts.retain(|_, last_used| is_resident(tokens_entered, *last_used, capacity));
        }
    }

    /// Whether the shared part was in a prompt recently.
    pub fn is_recent(&self, part: u64) -> bool {
        self.recent.contains(part)
    }

    /// Whether a cache of `capacity` tokens is expected to hold a part for this `incarnation`.
    pub fn holds(&self, cache: u64, incarnation: Incarnation, part: u64, capacity: u64) -> bool {
        let state = self.caches.get(&cache).filter(|it| it.incarnation == incarnation);
        state.is_some_and(|it| it.holds(part, capacity))
    }
}

impl Cache {
    fn holds(&self, part: u64, capacity: u64) -> bool {
        self.parts
            .get(&part)
            .is_some_and(|last_used| is_resident(self.tokens_entered, *last_used, capacity))
    }
}

fn is_resident(tokens_entered: u64, last_used: u64, capacity: u64) -> bool {
    tokens_entered.saturating_sub(last_used) <= (capacity as f64 * USABLE_CAPACITY_SHARE) as u64
}
