//! Decides which calls a daemon still begins once its planned shutdown has begun. What is unfinished at
//! the end is cut, so a call that may be unfinished then is better off at another daemon. See
//! docs/design/planned-stop.md.

use std::time::Duration;

use crate::kernel::clock::Time;

/// The time that must be left for a call that may be repeated, as a multiple of its latency objective. Its
/// caller can repeat it if it takes longer.
const REPEATABLE_OBJECTIVES: u32 = 3;

/// A planned shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// When unfinished calls are given up.
    pub ends_at: Time,
}

/// A call that is about to be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// When its answer must be complete.
    pub deadline: Time,
    /// Whether it may be executed more than once.
    pub is_repeatable: bool,
    /// Its latency objective.
    pub latency_objective: Duration,
}

impl Shutdown {
    /// Whether a call may be sent to an upstream now. One that must be executed at most once may take
    /// until its deadline, and is lost if it is cut.
    pub fn may_begin(&self, call: &Call, now: Time) -> bool {
        let needed_until = match call.is_repeatable {
            true => call.deadline.min(now + call.latency_objective * REPEATABLE_OBJECTIVES),
            false => call.deadline,
        };
        needed_until <= self.ends_at
    }
}
