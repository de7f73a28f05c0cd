//! Copies of the store's topics, which daemons pass on to each other.
//!
//! Versions are transaction numbers of the whole store, so the copies of two daemons can be
//! compared whoever read them. A copy never goes back.

use std::sync::{Mutex, MutexGuard};

use crate::{
    collections::Map,
    gateway::store::{Row, Topic},
    kernel::clock::Time,
};

/// Removed rows that a copy remembers for daemons that are behind. One that is further behind gets
/// all rows.
const MAX_TOMBSTONES: usize = 512;

/// How far a copy reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// The latest transaction that the copy includes.
    pub version: u64,
    /// The time at which no later transaction of the topic had been committed: when the store was
    /// asked, by whichever daemon.
    pub confirmed_at: Time,
}

/// Rows that a daemon with an older copy lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Whether these are all rows of the topic; others are gone.
    pub full: bool,
    /// The rows, including removed ones unless these are all.
    pub rows: Vec<Row>,
}

/// Copies of all topics that are followed.
#[derive(Debug, Default)]
pub struct Mirror(Mutex<[Copy; Topic::FOLLOWED.len()]>);

#[derive(Debug, Default)]
struct Copy {
    head: Option<Head>,
    rows: Map<String, Row>,
    /// Rows removed by later transactions are all remembered.
    complete_after: u64,
}

impl Mirror {
    /// How far the copy of a topic reaches; `None` if the topic was never read.
    pub fn head(&self, topic: Topic) -> Option<Head> {
        self.copy(topic, |it| it.head)
    }

    /// Merges rows that reflect the store up to transaction `version` and were current at
    /// `confirmed_at`. Returns the changes, or `None` if the rows can't be used: they are older than
    /// the copy or don't continue it. `after` is the transaction that the rows continue; `None` if
    /// they are all rows.
    pub fn merge(
        &self,
        topic: Topic,
        rows: &[Row],
        after: Option<u64>,
        version: u64,
        confirmed_at: Time,
    ) -> Option<Delta> {
        self.copy(topic, |copy| copy.merge(rows, after, version, confirmed_at))
    }

    /// Rows that a copy up to transaction `version` lacks; all if it is `None`. Returns `None` if
    /// the topic was never read here.
    pub fn after(&self, topic: Topic, version: Option<u64>) -> Option<Delta> {
        self.copy(topic, |copy| {
            copy.head?;
            let full = version.is_none_or(|it| it < copy.complete_after);
            let is_missing = |row: &&Row| match full {
                true => !row.removed,
                false => version.is_some_and(|it| row.version > it),
            };
            Some(Delta { full, rows: copy.rows.values().filter(is_missing).cloned().collect() })
        })
    }

    fn copy<T>(&self, topic: Topic, read: impl FnOnce(&mut Copy) -> T) -> T {
        let mut copies: MutexGuard<'_, _> = self.0.lock().unwrap_or_else(|it| it.into_inner());
        read(&mut copies[topic as usize])
    }
}

impl Copy {
    fn merge(
        &mut self,
        rows: &[Row],
        after: Option<u64>,
        version: u64,
        confirmed_at: Time,
    ) -> Option<Delta> {
        let known = self.head.map(|it| it.version);
        let is_usable = match after {
            Some(after) => known.is_some_and(|it| it >= after),
            None => known.is_none_or(|it| it <= version),
        };
        if !is_usable {
            return None;
        }
        let mut delta = Delta { full: after.is_none() && known.is_none(), rows: Vec::new() };
        if after.is_none() {
            self.remove_others(rows, version, &mut delta);
        }
        for row in rows {
            if self.rows.get(&row.key).is_some_and(|it| it.version >= row.version) {
                continue;
            }
            self.rows.insert(row.key.clone(), row.clone());
            delta.rows.push(row.clone());
        }
        self.prune();
        let head = self.head.get_or_insert(Head { version, confirmed_at });
        head.version = head.version.max(version);
        head.confirmed_at = head.confirmed_at.max(confirmed_at);
        Some(delta)
    }

    /// Marks the rows that a full listing up to `version` no longer has.
    fn remove_others(&mut self, listed: &[Row], version: u64, delta: &mut Delta) {
        if self.head.is_none() {
            self.complete_after = version;
            return;
        }
        let listed: Map<&str, ()> = listed.iter().map(|it| (it.key.as_str(), ())).collect();
        for row in self.rows.values_mut() {
            if row.removed || row.version > version || listed.contains_key(row.key.as_str()) {
                continue;
            }
            *row = Row { key: row.key.clone(), value: None, version, removed: true };
            delta.rows.push(row.clone());
        }
    }

    /// Forgets the oldest removed rows beyond [`MAX_TOMBSTONES`].
    fn prune(&mut self) {
        let removed = self.rows.values().filter(|it| it.removed);
        let mut versions: Vec<_> = removed.map(|it| it.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        // A quarter goes at once, so that this is rare.
        let oldest_kept = versions[versions.len() - MAX_TOMBSTONES * 3 / 4];
        self.rows.retain(|_, it| !it.removed || it.version >= oldest_kept);
        self.complete_after = self.complete_after.max(oldest_kept - 1);
    }
}
