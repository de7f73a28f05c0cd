//! How long ago the configuration in force was certainly the newest one.
//!
//! A confirmation counts from the moment at which its call was sent: a change that was accepted
//! later may be missing from the answer.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::clock::Time;

/// When the configuration was confirmed last. The clock must go on while the VM is suspended.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Takes note of a confirmation whose call was sent at `asked`.
    pub fn confirm(&self, asked: Time) {
        // Zero stands for none.
        self.0.fetch_max(asked.0.max(1), Ordering::AcqRel);
    }

    /// The time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        match self.0.load(Ordering::Acquire) {
            0 => None,
            asked => Some(now.since(Time(asked))),
        }
    }

    /// Whether a confirmation is younger than `bound`.
    pub fn is_within(&self, bound: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|it| it < bound)
    }
}
