//! Monotonic time and clocks. Decision code takes the time as an argument and never reads a clock.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A monotonic timestamp, in microseconds since an origin that each process sets itself.
///
/// Timestamps of different processes are not comparable.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Creates a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

/// A source of time. Tests substitute their own to control time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time of this process.
    fn now(&self) -> Time;

    /// Returns the wall-clock time, in microseconds since the Unix epoch.
    fn wall_micros(&self) -> u64;
}

/// A clock based on [`Instant`]. It does not advance while the VM is suspended.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Creates a clock whose origin is the current time.
    pub fn new() -> System {
        System { origin: Instant::now() }
    }
}

impl Default for System {
    fn default() -> System {
        System::new()
    }
}

impl Clock for System {
    fn now(&self) -> Time {
        Time(self.origin.elapsed().as_micros() as u64)
    }

    fn wall_micros(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        since.as_micros() as u64
    }
}

/// A clock based on `CLOCK_BOOTTIME`, which advances while the VM is suspended, unlike
/// [`System`]. Used for deadlines that must expire in real time, such as leases and
/// confirmations.
#[derive(Clone, Copy, Debug)]
pub struct Boottime;

impl Clock for Boottime {
    fn now(&self) -> Time {
        // Available since Linux 2.6.39.
        let now =
            clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME should be available");
        Time(now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1_000)
    }

    fn wall_micros(&self) -> u64 {
        System::new().wall_micros()
    }
}
