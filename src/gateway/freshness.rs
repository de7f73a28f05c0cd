//! Tracks how long ago the active document was last confirmed to be the latest.
//!
//! A confirmation counts from the time its request was sent, because a change accepted later may be
//! missing from the response. It counts only if the store has a document as new as any that a daemon
//! has activated: one that came back from an older copy may not.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{gateway::store::Era, kernel::clock::Time};

/// Time of the last confirmation. The clock must keep running while the VM is suspended.
#[derive(Debug, Default)]
pub struct Freshness(AtomicU64);

impl Freshness {
    /// Records a confirmation whose request was sent at `requested_at`.
    pub fn confirm(&self, requested_at: Time) {
        // Zero means that there was no confirmation.
        self.0.fetch_max(requested_at.0.max(1), Ordering::AcqRel);
    }

    /// Drops all confirmations, because a later document turned out to be known elsewhere.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Release);
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

/// Versions of documents in the store and at the daemons.
#[derive(Debug, Default)]
pub struct Documents(Mutex<Versions>);

#[derive(Debug, Default)]
struct Versions {
    /// The latest version that the store has had in this era.
    stored: (Era, Option<u64>),
    /// The latest version that any daemon has activated, as far as this one knows.
    known: Option<u64>,
}

impl Documents {
    /// Records that the operator's rows of an era are read, with or without a document.
    pub fn enter(&self, era: Era) {
        let mut versions = self.lock();
        versions.stored = versions.stored.max((era, None));
    }

    /// Records that the store has the document `version` in an era.
    pub fn stored(&self, era: Era, version: u64) {
        let mut versions = self.lock();
        versions.stored = versions.stored.max((era, Some(version)));
        versions.known = versions.known.max(Some(version));
    }

    /// Records that another daemon knows of the document `version`.
    pub fn learn(&self, version: Option<u64>) {
        let mut versions = self.lock();
        versions.known = versions.known.max(version);
    }

    /// The latest version that any daemon has activated; `None` if there is none.
    pub fn known(&self) -> Option<u64> {
        self.lock().known
    }

    /// Whether the store has the latest version that is known.
    pub fn is_latest_stored(&self) -> bool {
        let versions = self.lock();
        versions.stored.1.is_some() && versions.stored.1 >= versions.known
    }

    fn lock(&self) -> MutexGuard<'_, Versions> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}
