//! An engine's prefix cache: blocks by hash, the least recently used evicted first.

use std::{collections::BTreeMap, time::Duration};

use crate::{collections::Map, kernel::clock::Time, prefix::Hash};

/// Cached blocks in bounded memory.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    idle: Duration,
    uses: u64,
    blocks: Map<Hash, Use>,
    order: BTreeMap<u64, Hash>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    count: u64,
    time: Time,
}

impl Cache {
    /// An empty cache of `capacity` blocks that keeps an unused block for `idle`.
    pub fn new(capacity: usize, idle: Duration) -> Cache {
        Cache { capacity, idle, uses: 0, blocks: Map::default(), order: BTreeMap::new() }
    }

    /// How many blocks of `chain`, from the first on, are held.
    pub fn held(&self, chain: &[Hash]) -> usize {
        let held = chain.iter().take_while(|it| self.blocks.contains_key(it));
        held.count()
    }

    /// Stores the blocks, or marks them as used, and returns those that are new. The end of a
    /// chain is evicted before its beginning.
    pub fn store(&mut self, chain: &[Hash], now: Time) -> Vec<Hash> {
        let mut stored = Vec::new();
        for hash in chain.iter().rev() {
            self.uses += 1;
            let latest = Use { count: self.uses, time: now };
            match self.blocks.insert(*hash, latest) {
                Some(earlier) => drop(self.order.remove(&earlier.count)),
                None => stored.push(*hash),
            }
            self.order.insert(self.uses, *hash);
        }
        stored.reverse();
        stored
    }

    /// Removes what is too much or too long unused, and returns it.
    pub fn evict(&mut self, now: Time) -> Vec<Hash> {
        let mut evicted = Vec::new();
        while let Some(oldest) = self.order.first_entry() {
            let used = self.blocks.get(oldest.get()).map(|it| it.time);
            let is_idle = used.is_none_or(|used| now.since(used) > self.idle);
            if self.blocks.len() <= self.capacity && !is_idle {
                break;
            }
            let hash = oldest.remove();
            self.blocks.remove(&hash);
            evicted.push(hash);
        }
        evicted
    }

    /// Removes all blocks, and returns them.
    pub fn clear(&mut self) -> Vec<Hash> {
        self.order.clear();
        self.blocks.drain().map(|(hash, _)| hash).collect()
    }
}
