//! Monotonic time and clocks.
//!
//! The decision logic, listed in the [crate's documentation](crate), performs no I/O: it takes the
//! time as an argument and never reads a clock.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A monotonic timestamp, in microseconds since the origin of the [`Clock`] that returned it.
///
/// Only timestamps of the same clock are comparable. Adding a duration saturates at the maximum,
/// subtracting one at zero.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Creates a timestamp from milliseconds since the origin. The multiplication is not checked
    /// for overflow.
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
        Time(self.0.saturating_add(u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

/// A source of time. Tests can implement it to control the time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time since the clock's origin.
    fn now(&self) -> Time;

    /// Returns the wall-clock time, in microseconds since the Unix epoch.
    fn wall_micros(&self) -> u64;
}

/// A clock based on [`Instant`], with its creation as the origin. It does not advance while the VM
/// is suspended.
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

/// A clock based on `CLOCK_BOOTTIME`, with the boot of the VM as the origin. Unlike [`System`], it
/// advances while the VM is suspended. Used for deadlines that must not be extended by a
/// suspension, such as the end of the lease that permits load orders to engines, and the maximum
/// time since the configuration was last confirmed.
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
