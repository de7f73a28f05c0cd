//! How long requests take, from their admission to their end.

use std::time::Duration;

/// The time that a request is expected to take before any has ended.
const GUESS: Duration = Duration::from_millis(500);

/// The weight of the newest request.
const WEIGHT: f64 = 0.1;

/// Mean deviations above the mean within which nearly all requests end.
const DEVIATIONS: u32 = 2;

/// The mean time that requests took lately, and how far they were from it.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    mean: Duration,
    deviation: Duration,
}

impl Default for Service {
    fn default() -> Service {
        Service { mean: GUESS, deviation: Duration::ZERO }
    }
}

impl Service {
    /// Takes note of a request that ended.
    pub fn ended(&mut self, took: Duration) {
        let off = took.abs_diff(self.mean);
        self.mean = average(self.mean, took);
        self.deviation = average(self.deviation, off);
    }

    /// The mean time.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// The time within which nearly all requests end: what must be left before a deadline.
    pub fn most(&self) -> Duration {
        self.mean + self.deviation * DEVIATIONS
    }
}

fn average(old: Duration, new: Duration) -> Duration {
    old.mul_f64(1.0 - WEIGHT) + new.mul_f64(WEIGHT)
}
