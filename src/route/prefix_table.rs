//! A bounded table of recently requested prefixes, with the demand for each prefix, its number of
//! homes and the engines expected to hold it.
//!
//! Demand is a number of requests that decays exponentially, counted by this daemon. The table also
//! has an entry for the demand of each pool, with the pool's ID in place of a prefix hash.

use std::{
    array,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    kernel::{clock::Time, id::Incarnation},
    prefix::Hash,
    route::{
        homes,
        recent::{self, lock_ignoring_poison},
    },
};

/// Number of independently locked shards.
const SHARD_COUNT: usize = 64;

/// Maximum number of entries in one generation of a shard.
const SHARD_CAPACITY: usize = 256;

/// Maximum number of engines tracked per prefix.
pub const MAX_HOLDERS: usize = 4;

/// Time constant of the exponential decay of demand.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// Minimum age assumed when projecting the demand for a new prefix.
const MIN_DEMAND_AGE: Duration = Duration::from_secs(1);

/// An engine that is expected to hold a prefix, because this daemon sent a request with the prefix
/// there. The engine may have evicted it since.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// The hash of the engine's name (see [`super::pool::Member::hash`]).
    pub engine_hash: u64,
    /// The incarnation of the engine that holds the prefix.
    pub incarnation: Incarnation,
    /// When a request sent by this daemon, or an answer, last indicated that the engine holds it.
    pub last_seen: Time,
}

/// The state of one prefix, or the demand of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Entry {
    /// The demand as of `counted_at`.
    decayed_count: f64,
    counted_at: Time,
    first_counted_at: Option<Time>,
    /// The number of homes of the prefix.
    pub home_count: homes::Count,
    holders: [Option<Holder>; MAX_HOLDERS],
}

/// A sharded table of prefixes that can be shared between threads.
pub struct Table {
    shards: [Mutex<recent::Cache<Hash, Entry>>; SHARD_COUNT],
}

impl Default for Table {
    fn default() -> Table {
        Table { shards: array::from_fn(|_| Mutex::new(recent::Cache::new(SHARD_CAPACITY))) }
    }
}

impl Table {
    /// Returns a copy of the entry of a prefix, if there is one.
    pub fn get(&self, hash: Hash) -> Option<Entry> {
        self.shard(hash).get(&hash).copied()
    }

    /// Updates the entry of a prefix, inserting it first if needed, and marks it as recently used.
    pub fn update<R>(&self, hash: Hash, change: impl FnOnce(&mut Entry) -> R) -> R {
        change(self.shard(hash).get_or_insert_with(hash, Entry::default))
    }

    /// Updates the entry of a prefix if there is one, without marking it as recently used.
    pub fn update_existing(&self, hash: Hash, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.shard(hash).get_mut(&hash) {
            change(entry);
        }
    }

    /// Returns the number of entries, those of pools included.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|it| lock_ignoring_poison(it).len()).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, hash: Hash) -> MutexGuard<'_, recent::Cache<Hash, Entry>> {
        lock_ignoring_poison(&self.shards[hash.0 as usize % SHARD_COUNT])
    }
}

impl Entry {
    /// Returns the number of requests, decayed exponentially with time constant [`DEMAND_WINDOW`].
    pub fn demand(&self, now: Time) -> f64 {
        let age = now.since(self.counted_at).as_secs_f64();
        self.decayed_count * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the demand that would be reached if the current rate had lasted for the whole
    /// window. This corrects the low demand counted so far for a new prefix.
    pub fn projected_demand(&self, now: Time) -> f64 {
        let age = now.since(self.first_counted_at.unwrap_or(now)).max(MIN_DEMAND_AGE);
        let counted = 1.0 - (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand(now) / counted
    }

    /// Counts a request for the prefix.
    pub fn record_request(&mut self, now: Time) {
        self.first_counted_at.get_or_insert(now);
        self.decayed_count = self.demand(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the engines that are expected to hold the prefix.
    pub fn holders(&self) -> impl Iterator<Item = &Holder> {
        self.holders.iter().flatten()
    }

    /// Returns the holder entry for one incarnation of an engine.
    pub fn holder(&self, engine_hash: u64, incarnation: Incarnation) -> Option<&Holder> {
        self.holders().find(|it| it.engine_hash == engine_hash && it.incarnation == incarnation)
    }

    /// Adds or updates a holder. It replaces an older incarnation of the same engine, or else the
    /// least recently seen holder if there is no free slot.
    pub fn add_holder(&mut self, holder: Holder) {
        let same = |it: &Holder| it.engine_hash == holder.engine_hash;
        let slot = self.holders.iter().position(|it| it.as_ref().is_some_and(same));
        let slot = slot.unwrap_or_else(|| self.oldest_slot());
        let old = self.holders[slot].filter(same);
        if old.is_some_and(|old| old.incarnation > holder.incarnation) {
            return;
        }
        self.holders[slot] = Some(holder);
    }

    /// Removes an engine from the holders unless it was seen after `before`.
    pub fn remove_holder(&mut self, engine_hash: u64, before: Time) {
        for holder in &mut self.holders {
            if holder.is_some_and(|it| it.engine_hash == engine_hash && it.last_seen <= before) {
                *holder = None;
            }
        }
    }

    fn oldest_slot(&self) -> usize {
        let slots = self.holders.iter().enumerate();
        let oldest = slots.min_by_key(|(_, it)| it.map(|it| it.last_seen));
        oldest.map_or(0, |(slot, _)| slot)
    }
}
