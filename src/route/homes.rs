//! The number of homes of a prefix, that is, of engines that normally serve and cache it.
//!
//! The number is proportional to the prefix's part of the work in its pool, that is, to its share
//! of the demand times the engines in use. It grows immediately but shrinks only after a delay, so
//! that a short drop in demand does not cause recomputation.

use std::time::Duration;

use crate::kernel::clock::Time;

/// Load that each home of a prefix takes before the prefix gets another home, as a fraction of one
/// engine.
pub const LOAD_PER_HOME: f64 = 1.0;

/// How long demand must stay lower before the number of homes is reduced.
const SHRINK_DELAY: Duration = Duration::from_secs(3);

/// The number of homes of one prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    count: u32,
    pending_shrink: Option<Reduction>,
}

/// A reduction that takes effect after [`SHRINK_DELAY`].
#[derive(Clone, Copy, Debug)]
struct Reduction {
    since: Time,
    /// The highest number of homes wanted since then.
    max_wanted: u32,
}

impl Count {
    /// Adjusts to the number of homes that the current demand calls for, and returns the number in
    /// effect.
    pub fn adjust(&mut self, wanted: u32, now: Time) -> usize {
        let wanted = wanted.max(1);
        if wanted >= self.count {
            self.count = wanted;
            self.pending_shrink = None;
            return self.count as usize;
        }
        let pending =
            self.pending_shrink.get_or_insert(Reduction { since: now, max_wanted: wanted });
        pending.max_wanted = pending.max_wanted.max(wanted);
        if now.since(pending.since) >= SHRINK_DELAY {
            self.count = pending.max_wanted;
            self.pending_shrink = None;
        }
        self.count as usize
    }
}
