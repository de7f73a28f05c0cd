//! A bounded table of the prefixes that were asked for lately: how often, how many homes each
//! has, and which engines are known to hold it.

use std::{
    array,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    kernel::{clock::Time, id::Incarnation},
    prefix::Hash,
    route::{
        homes::HomeCount,
        recent::{RecentMap, lock_ignoring_poison},
    },
};

/// Shards of the table, each under a lock of its own.
const SHARDS: usize = 64;

/// Prefixes in one generation of a shard.
const SHARD_PREFIXES: usize = 256;

/// Engines remembered for one prefix.
pub const MAX_HOLDERS: usize = 4;

/// The time over which demand is averaged.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// The time after which a new prefix's demand is taken to go on as it began.
const DEMAND_AGE_MIN: Duration = Duration::from_secs(1);

/// An engine that is known to hold a prefix.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// The hash of its name (see [`super::pool::Member::hash`]).
    pub engine: u64,
    /// The run that holds it.
    pub incarnation: Incarnation,
    /// When it was known last, by an own send or an answer.
    pub last_seen: Time,
}

/// What is known of a prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefixEntry {
    count: f64,
    counted: Time,
    /// When it was first counted.
    first: Option<Time>,
    /// How many homes it has.
    pub home_count: HomeCount,
    holders: [Option<Holder>; MAX_HOLDERS],
}

/// The table, shared by all threads.
pub struct PrefixTable {
    shards: [Mutex<RecentMap<Hash, PrefixEntry>>; SHARDS],
}

impl Default for PrefixTable {
    fn default() -> PrefixTable {
        PrefixTable { shards: array::from_fn(|_| Mutex::new(RecentMap::new(SHARD_PREFIXES))) }
    }
}

impl PrefixTable {
    /// A copy of what is known of a prefix, if anything is.
    pub fn get(&self, hash: Hash) -> Option<PrefixEntry> {
        self.shard(hash).get(&hash).copied()
    }

    /// Changes what is known of a prefix, and keeps it.
    pub fn update<R>(&self, hash: Hash, change: impl FnOnce(&mut PrefixEntry) -> R) -> R {
        change(self.shard(hash).get_or_insert_with(hash, PrefixEntry::default))
    }

    /// Changes what is known of a prefix, if anything is. It counts as no use of it.
    pub fn update_existing(&self, hash: Hash, change: impl FnOnce(&mut PrefixEntry)) {
        if let Some(entry) = self.shard(hash).get_mut(&hash) {
            change(entry);
        }
    }

    /// Prefixes in the table.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|it| lock_ignoring_poison(it).len()).sum()
    }

    /// Whether it knows no prefix.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, hash: Hash) -> MutexGuard<'_, RecentMap<Hash, PrefixEntry>> {
        lock_ignoring_poison(&self.shards[hash.0 as usize % SHARDS])
    }
}

impl PrefixEntry {
    /// Requests in the last [`DEMAND_WINDOW`], older ones fading out.
    pub fn demand(&self, now: Time) -> f64 {
        let age = now.since(self.counted).as_secs_f64();
        self.count * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// The demand once it will have been counted for the whole window at today's rate.
    pub fn projected_demand(&self, now: Time) -> f64 {
        let age = now.since(self.first.unwrap_or(now)).max(DEMAND_AGE_MIN);
        let counted = 1.0 - (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand(now) / counted
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        self.first.get_or_insert(now);
        self.count = self.demand(now) + 1.0;
        self.counted = now;
    }

    /// The engines that are known to hold it.
    pub fn holders(&self) -> impl Iterator<Item = &Holder> {
        self.holders.iter().flatten()
    }

    /// What is known of one engine's holding it.
    pub fn holder(&self, engine: u64, incarnation: Incarnation) -> Option<&Holder> {
        self.holders().find(|it| it.engine == engine && it.incarnation == incarnation)
    }

    /// Takes note of a holder. An older run of the same engine is forgotten; with no room, the
    /// holder that was known least lately is.
    pub fn add_holder(&mut self, holder: Holder) {
        let same = |it: &Holder| it.engine == holder.engine;
        let place = self.holders.iter().position(|it| it.as_ref().is_some_and(same));
        let place = place.unwrap_or_else(|| self.oldest());
        let old = self.holders[place].filter(same);
        if old.is_some_and(|old| old.incarnation > holder.incarnation) {
            return;
        }
        self.holders[place] = Some(holder);
    }

    /// Forgets that an engine holds it, unless that was known after `before`.
    pub fn remove_holder(&mut self, engine: u64, before: Time) {
        for holder in &mut self.holders {
            if holder.is_some_and(|it| it.engine == engine && it.last_seen <= before) {
                *holder = None;
            }
        }
    }

    fn oldest(&self) -> usize {
        let places = self.holders.iter().enumerate();
        let oldest = places.min_by_key(|(_, it)| it.map(|it| it.last_seen));
        oldest.map_or(0, |(place, _)| place)
    }
}
