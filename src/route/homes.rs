//! How many homes a prefix has.
//!
//! The number follows the prefix's part of the work in its pool. It grows at once; it shrinks
//! in two steps, so that a short lull costs no recomputation.

use std::time::Duration;

use crate::kernel::clock::Time;

/// The part of an engine that a prefix may use before it needs another home.
pub const LOAD_PER_HOME: f64 = 1.0;

/// How long the demand must have been lower before homes are given up.
const SHRINK: Duration = Duration::from_secs(3);

/// The number of homes of one prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct HomeCount {
    count: u32,
    lower: Option<Lower>,
}

/// The first step of shrinking.
#[derive(Clone, Copy, Debug)]
struct Lower {
    since: Time,
    /// The most homes that were wanted since.
    wanted: u32,
}

impl HomeCount {
    /// Takes in how many homes the demand wants now, and tells how many there are.
    pub fn adjust(&mut self, wanted: u32, now: Time) -> usize {
        let wanted = wanted.max(1);
        if wanted >= self.count {
            self.count = wanted;
            self.lower = None;
            return self.count as usize;
        }
        let lower = self.lower.get_or_insert(Lower { since: now, wanted });
        lower.wanted = lower.wanted.max(wanted);
        if now.since(lower.since) >= SHRINK {
            self.count = lower.wanted;
            self.lower = None;
        }
        self.count as usize
    }
}
