//! Bars in the store, which outlive all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    collections::Map,
    gateway::{crash::table::BAR, store},
    kernel::clock::Time,
    route::pool::{mix, name_hash},
};

/// Key prefix of the rows.
const PREFIX: &str = "barred/";

/// How long a row that is no longer needed is left to the daemon that wrote it.
const REMOVAL_DELAY: Duration = Duration::from_secs(10);

/// The longest addition to that time, so that the first other daemon saves the rest the call.
const REMOVAL_JITTER: Duration = Duration::from_secs(30);

/// A barred part, as stored.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The daemon that wrote it.
    pub daemon: String,
    /// How often the part was cleared before. The row doesn't apply to one cleared more often.
    pub clearances: u32,
    /// When the part last crashed an upstream, since the Unix epoch.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "last_crash_ms")]
    pub last_crash: Duration,
}

impl Row {
    /// The key of the row of a part.
    pub fn key(part: u64) -> String {
        format!("{PREFIX}{part:016x}")
    }

    /// The part whose row has this key, if it is one of these rows.
    pub fn part(key: &str) -> Option<u64> {
        u64::from_str_radix(key.strip_prefix(PREFIX)?, 16).ok()
    }
}

/// A row in the store.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub row: Row,
    /// The transaction that wrote it.
    pub version: u64,
    /// Until when the part is barred.
    pub until: Time,
    /// Since when it is not needed.
    pub unneeded_since: Option<Time>,
}

impl Entry {
    /// Whether this daemon should remove it: the one that wrote it does so first.
    fn is_due(&self, part: u64, daemon: &str, now: Time) -> bool {
        let Some(since) = self.unneeded_since else {
            return false;
        };
        if self.row.daemon == daemon {
            return true;
        }
        let share = mix(part ^ name_hash(daemon)) as f64 / u64::MAX as f64;
        now.since(since) >= REMOVAL_DELAY + REMOVAL_JITTER.mul_f64(share)
    }
}

/// The rows in the store, by part.
#[derive(Debug, Default)]
pub(super) struct Rows(pub Map<u64, Entry>);

impl Rows {
    /// Takes in a row; `wall` is the time now since the Unix epoch.
    pub fn insert(&mut self, part: u64, row: Row, version: u64, now: Time, wall: Duration) {
        let until = (now - wall.saturating_sub(row.last_crash)) + BAR;
        self.0.insert(part, Entry { row, version, until, unneeded_since: None });
    }

    /// Removals of rows that are due.
    pub fn removals(&self, daemon: &str, now: Time) -> Vec<store::Write> {
        let due = self.0.iter().filter(|(part, it)| it.is_due(**part, daemon, now));
        let removal = |(part, it): (&u64, &Entry)| write(*part, it.version, None);
        due.map(removal).collect()
    }
}

/// A write of a part's row, which must have this version.
pub(super) fn write(part: u64, version: u64, value: Option<Vec<u8>>) -> store::Write {
    let topic = store::Topic::Fleet;
    store::Write { topic, key: Row::key(part), expected: Some(version), value }
}
