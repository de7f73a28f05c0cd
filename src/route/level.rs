//! The levels of a prompt, that is, its prefixes that are shared with other requests.

use crate::{
    kernel::clock::Time,
    prefix::Hash,
    route::{Query, prefix_table::Table},
};

/// Maximum number of levels per prompt that placement considers.
pub const MAX_LEVELS: usize = 4;

/// A checkpoint (see [`checkpoints`]) is a level if the demand at the next checkpoint is below this
/// fraction of its own.
const BRANCH_DEMAND_RATIO: f64 = 0.7;

/// A shared prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Level {
    /// The hash of the prefix.
    pub hash: Hash,
    /// The length of the prefix in blocks.
    pub blocks: usize,
}

/// The levels of a prompt, shortest first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Levels {
    levels: [Option<Level>; MAX_LEVELS],
    len: usize,
}

impl Levels {
    /// Returns the levels that the caller marked, or else levels inferred from demand.
    pub fn new(query: &Query<'_>, table: &Table, now: Time) -> Levels {
        let mut levels = Levels::default();
        if query.levels.is_empty() {
            levels.infer(&query.chain.0, table, now);
            return levels;
        }
        for blocks in query.levels {
            levels.push(&query.chain.0, *blocks);
        }
        levels
    }

    /// Iterates over the levels, shortest first.
    pub fn iter(&self) -> impl Iterator<Item = &Level> {
        self.levels[..self.len].iter().flatten()
    }

    /// Adds a level if it is longer than the last one. Once there are [`MAX_LEVELS`], it replaces
    /// the last one: the first levels determine the homes, the longest one what is cached.
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

    /// Infers levels from the lengths after which demand drops. The first block is always a level,
    /// so that daemons that have seen different requests still agree on the homes of the first
    /// level. The search ends at the first checkpoint with a demand of less than one request.
    fn infer(&mut self, chain: &[Hash], table: &Table, now: Time) {
        self.push(chain, 1);
        let demand = |blocks: usize| {
            let entry = table.get(chain[blocks - 1]);
            entry.map_or(0.0, |it| it.demand(now))
        };
        let mut lengths = checkpoints(chain.len()).peekable();
        while let Some(blocks) = lengths.next() {
            let current = demand(blocks);
            if current < 1.0 {
                break;
            }
            let next = lengths.peek().map_or(0.0, |it| demand(*it));
            if next < BRANCH_DEMAND_RATIO * current {
                self.push(chain, blocks);
            }
        }
    }
}

/// Returns the checkpoints of a prompt without marked levels, that is, the prefix lengths in blocks
/// at which demand is counted: every block up to 8, then four lengths per doubling.
pub fn checkpoints(blocks: usize) -> impl Iterator<Item = usize> {
    let mut next = 1_usize;
    std::iter::from_fn(move || {
        let length = next;
        let doubling = length.checked_ilog2().unwrap_or(0);
        next += 1 << doubling.saturating_sub(2);
        (length <= blocks).then_some(length)
    })
}
