//! A limit of calls a second.

use crate::kernel::clock::Time;

/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

/// Counts calls in windows of one second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    start: Time,
    calls: u64,
}

impl Window {
    /// Counts a call, and tells whether it is within `limit` calls a second.
    pub fn admit(&mut self, limit: u64, now: Time) -> bool {
        if now.0 - self.start.0.min(now.0) >= SECOND_MICROS {
            *self = Window { start: now, calls: 0 };
        }
        self.calls += 1;
        self.calls <= limit
    }
}
