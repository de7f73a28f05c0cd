//! The levels of a prompt: the prefixes that other requests share.

use crate::{
    kernel::clock::Time,
    prefix::Hash,
    route::{Query, prefix_table::PrefixTable},
};

/// Levels of one prompt that placement looks at.
pub const MAX_LEVELS: usize = 4;

/// A prefix that ends here if the next one is asked for less often than this part of it.
const BRANCH: f64 = 0.7;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Level {
    /// Its hash.
    pub hash: Hash,
    /// Its length in blocks.
    pub blocks: usize,
}

/// The levels of a prompt, shortest first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Levels {
    levels: [Option<Level>; MAX_LEVELS],
    len: usize,
}

impl Levels {
    /// The levels that the caller names, or else those that the demand shows.
    pub fn new(query: &Query<'_>, table: &PrefixTable, now: Time) -> Levels {
        let mut levels = Levels::default();
        if query.levels.is_empty() {
            levels.learn(&query.chain.0, table, now);
            return levels;
        }
        for blocks in query.levels {
            levels.push(&query.chain.0, *blocks);
        }
        levels
    }

    /// The levels, shortest first.
    pub fn iter(&self) -> impl Iterator<Item = &Level> {
        self.levels[..self.len].iter().flatten()
    }

    /// Adds a level if it is longer than the last one. Once there are [`MAX_LEVELS`], the last one
    /// is replaced: the first ones decide the homes, the longest what is cached.
    fn push(&mut self, chain: &[Hash], blocks: usize) {
        let last = self.len.checked_sub(1).and_then(|it| self.levels[it]);
        let Some(hash) = blocks.checked_sub(1).and_then(|it| chain.get(it)) else {
            return;
        };
        if last.is_some_and(|it| it.blocks >= blocks) {
            return;
        }
        self.len = (self.len + 1).min(MAX_LEVELS);
        self.levels[self.len - 1] = Some(Level { hash: *hash, blocks });
    }

    /// Looks for the lengths after which the demand falls. The first block is always a level,
    /// so that daemons that have seen different requests still agree on the first homes.
    fn learn(&mut self, chain: &[Hash], table: &PrefixTable, now: Time) {
        self.push(chain, 1);
        let demand = |blocks: usize| {
            let entry = table.get(chain[blocks - 1]);
            entry.map_or(0.0, |it| it.demand(now))
        };
        let mut places = checkpoints(chain.len()).peekable();
        while let Some(blocks) = places.next() {
            let here = demand(blocks);
            if here < 1.0 {
                break;
            }
            let next = places.peek().map_or(0.0, |it| demand(*it));
            if next < BRANCH * here {
                self.push(chain, blocks);
            }
        }
    }
}

/// The lengths at which the demand of prompts without levels is counted: each block up to 8,
/// then four lengths for each doubling.
pub fn checkpoints(blocks: usize) -> impl Iterator<Item = usize> {
    let mut next = 1_usize;
    std::iter::from_fn(move || {
        let place = next;
        let doubling = place.checked_ilog2().unwrap_or(0);
        next += 1 << doubling.saturating_sub(2);
        (place <= blocks).then_some(place)
    })
}
