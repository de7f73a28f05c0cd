//! Tracks how long ago the active document was last confirmed to be the latest.
//!
//! A confirmation counts from the time its request was sent, because a change accepted later may be
//! missing from the response.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use crate::kernel::clock::Time;

/// Time of the last confirmation. The clock must keep running while the VM is suspended.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Records a confirmation whose request was sent at `requested_at`.
    pub fn confirm(&self, requested_at: Time) {
        // Zero means that there was no confirmation.
        self.0.fetch_max(requested_at.0.max(1), Ordering::AcqRel);
    }

    /// Time since the last confirmation; `None` if there was none.
    pub fn age(&self, now: Time) -> Option<Duration> {
        match self.0.load(Ordering::Acquire) {
            0 => None,
            requested_at => Some(now.since(Time(requested_at))),
        }
    }

    /// Whether the last confirmation is more recent than `bound`.
    pub fn is_within(&self, bound: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|it| it < bound)
    }
}
