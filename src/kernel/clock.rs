//! Time as the decisions see it: handed in, never read.

use std::{
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};

/// A point in a process's monotonic time, in microseconds since an origin of its own.
///
/// Times of different processes cannot be compared.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(pub u64);

impl Time {
    /// The time that many milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis * 1_000)
    }

    /// The time since `earlier`, or zero if `earlier` is later.
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

/// A source of time, so that tests can set it.
pub trait Clock: Send + Sync {
    /// The monotonic time of this process.
    fn now(&self) -> Time;

    /// The wall clock, in microseconds since the Unix epoch.
    fn wall_micros(&self) -> u64;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
}

impl System {
    /// A clock whose origin is now.
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

/// A clock that goes on while the VM is suspended, unlike [`System`]: for what must end in real
/// time, such as leases and confirmations.
#[derive(Clone, Copy, Debug)]
pub struct Boottime;

impl Clock for Boottime {
    fn now(&self) -> Time {
        // Linux has had this clock since 2.6.39.
        let now = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
        Time(now.tv_sec() as u64 * 1_000_000 + now.tv_nsec() as u64 / 1_000)
    }

    fn wall_micros(&self) -> u64 {
        System::new().wall_micros()
    }
}
