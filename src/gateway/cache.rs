//! A model of what engines and the KV store hold, from what was sent to them.
//!
//! A cache drops the parts that were used longest ago. The model counts the tokens that entered
//! each cache: a part is taken to be gone once more tokens have entered since its last use than
//! the cache has room for. Nothing has to be asked for, and all daemons that tell each other
//! their sends come to the same result.

use serde::{Deserialize, Serialize};

use crate::{collections::Map, kernel::id::Incarnation};

/// The share of a cache's room after which a part is taken to be gone: parts that are used again
/// push others out as well, which the model does not count.
const CERTAIN: f64 = 0.8;

/// Parts of one cache that are remembered before those that are gone are dropped.
const MAX_PARTS: usize = 1_024;

/// A part that a cache holds from now on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEntry {
    /// Stands for the cache: the hash of the engine's name, or [`STORE`].
    pub cache: u64,
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Stands for the part, its owner and the weights.
    pub part: u64,
    /// Its tokens.
    pub tokens: u64,
    /// Whether another call may use it.
    pub shared: bool,
}

/// Stands for the KV store.
pub const STORE: u64 = 0;

#[derive(Debug, Default)]
struct Pool {
    incarnation: Incarnation,
    /// Tokens that have entered.
    entered: u64,
    /// For each part, `entered` at its last use.
    parts: Map<u64, u64>,
}

/// What the caches hold.
#[derive(Debug, Default)]
pub struct CacheModel {
    pools: Map<u64, Pool>,
}

impl CacheModel {
    /// Takes note of a part that a cache with `room` tokens was sent or has used.
    pub fn hold(&mut self, held: &CacheEntry, room: u64) {
        let pool = self.pools.entry(held.cache).or_default();
        if pool.incarnation != held.incarnation {
            *pool = Pool { incarnation: held.incarnation, ..Pool::default() };
        }
        if !pool.holds(held.part, room) {
            pool.entered += held.tokens;
        }
        if !held.shared {
            return;
        }
        pool.parts.insert(held.part, pool.entered);
        if pool.parts.len() > MAX_PARTS {
            let entered = pool.entered;
            pool.parts.retain(|_, used| is_there(entered, *used, room));
        }
    }

    /// Whether a run of a cache with `room` tokens holds a part.
    pub fn holds(&self, cache: u64, incarnation: Incarnation, part: u64, room: u64) -> bool {
        let pool = self.pools.get(&cache).filter(|it| it.incarnation == incarnation);
        pool.is_some_and(|it| it.holds(part, room))
    }
}

impl Pool {
    fn holds(&self, part: u64, room: u64) -> bool {
        self.parts.get(&part).is_some_and(|used| is_there(self.entered, *used, room))
    }
}

fn is_there(entered: u64, used: u64, room: u64) -> bool {
    entered.saturating_sub(used) <= (room as f64 * CERTAIN) as u64
}
