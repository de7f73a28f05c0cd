//! Copies of the store's topics, which daemons pass on to each other.
//!
//! Versions are transaction numbers of the whole store, so the copies of two daemons can be
//! compared whoever read them. A copy never goes back, unless the store itself did: then all rows
//! of the later era replace those of the earlier one, whatever their versions.

use std::sync::{Mutex, MutexGuard};

use crate::{
    collections::Map,
    gateway::store::{Position, Row, Topic},
    kernel::clock::Time,
};

/// Removed rows that a copy remembers for daemons that are behind. One that is further behind gets
/// all rows.
const MAX_TOMBSTONES: usize = 512;

/// How far a copy reaches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Head {
    /// The latest transaction that the copy includes.
    pub position: Position,
    /// The time at which no later transaction of the topic had been committed: when the store was
    /// asked, by whichever daemon.
    pub confirmed_at: Time,
}

/// Rows that a daemon with an older copy lacks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Delta {
    /// Whether these are all rows of the topic; others are gone.
    pub full: bool,
    /// Whether the copy was of an earlier era. Then these are all rows, whether they changed or not,
    /// and the removal of those that the store no longer has.
    pub restored: bool,
    /// The rows, including removed ones unless these are all.
    pub rows: Vec<Row>,
}

/// How much an older copy lacks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Lack {
    /// Bytes of the missing rows, as [`Row::bytes`] counts them.
    pub bytes: usize,
    /// The transaction that wrote the latest one.
    pub until: Position,
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

    /// Merges rows that reflect the store up to `position` and were current at `confirmed_at`.
    /// Returns the changes, or `None` if the rows can't be used: they are older than the copy or
    /// don't continue it. `after` is the transaction of the same era that the rows continue; `None`
    /// if they are all rows.
    pub fn merge(
        &self,
        topic: Topic,
        rows: &[Row],
        after: Option<u64>,
        position: Position,
        confirmed_at: Time,
    ) -> Option<Delta> {
        self.copy(topic, |copy| copy.merge(rows, after, position, confirmed_at))
    }

    /// Rows that a copy up to `position` lacks; all if it is `None` or of another era. Returns
    /// `None` if the topic was never read here.
    pub fn after(&self, topic: Topic, position: Option<Position>) -> Option<Delta> {
        self.copy(topic, |copy| {
            let (full, rows) = copy.missing(position)?;
            Some(Delta { full, restored: false, rows: rows.cloned().collect() })
        })
    }

    /// What a copy up to `position` lacks; `None` if that is nothing.
    pub fn lack(&self, topic: Topic, position: Option<Position>) -> Option<Lack> {
        self.copy(topic, |copy| {
            let era = copy.head?.position.era;
            let (_, rows) = copy.missing(position)?;
            let mut lack: Option<Lack> = None;
            for row in rows {
                let lack = lack.get_or_insert_default();
                lack.bytes += row.bytes();
                lack.until = lack.until.max(Position { era, version: row.version });
            }
            lack
        })
    }

    /// One row of a topic, if the copy has it.
    pub fn row(&self, topic: Topic, key: &str) -> Option<Row> {
        self.copy(topic, |copy| copy.rows.get(key).filter(|it| !it.removed).cloned())
    }

    fn copy<T>(&self, topic: Topic, read: impl FnOnce(&mut Copy) -> T) -> T {
        let mut copies: MutexGuard<'_, _> = self.0.lock().unwrap_or_else(|it| it.into_inner());
        read(&mut copies[topic as usize])
    }
}

impl Copy {
    /// The rows that a copy up to `position` lacks, and whether these are all; `None` without a copy.
    fn missing(
        &self,
        position: Option<Position>,
    ) -> Option<(bool, impl Iterator<Item = &Row> + use<'_>)> {
        let era = self.head?.position.era;
        let version = position.filter(|it| it.era == era).map(|it| it.version);
        let full = version.is_none_or(|it| it < self.complete_after);
        let is_missing = move |row: &&Row| match full {
            true => !row.removed,
            false => version.is_some_and(|it| row.version > it),
        };
        Some((full, self.rows.values().filter(is_missing)))
    }

    fn merge(
        &mut self,
        rows: &[Row],
        after: Option<u64>,
        position: Position,
        confirmed_at: Time,
    ) -> Option<Delta> {
        let known = self.head.map(|it| it.position);
        let is_usable = match after {
            Some(after) => known.is_some_and(|it| it.era == position.era && it.version >= after),
            None => known.is_none_or(|it| it <= position),
        };
        if !is_usable {
            return None;
        }
        if known.is_some_and(|it| it.era < position.era) {
            return Some(self.restore(rows, Head { position, confirmed_at }));
        }
        let full = after.is_none() && known.is_none();
        let mut delta = Delta { full, restored: false, rows: Vec::new() };
        if after.is_none() {
            self.remove_others(rows, position.version, &mut delta);
        }
        for row in rows {
            if self.rows.get(&row.key).is_some_and(|it| it.version >= row.version) {
                continue;
            }
            self.rows.insert(row.key.clone(), row.clone());
            delta.rows.push(row.clone());
        }
        self.prune();
        let head = self.head.get_or_insert(Head { position, confirmed_at });
        head.position = head.position.max(position);
        head.confirmed_at = head.confirmed_at.max(confirmed_at);
        Some(delta)
    }

    /// Replaces all rows by those of a later era.
    fn restore(&mut self, listed: &[Row], head: Head) -> Delta {
        let rows = listed.iter().map(|it| (it.key.clone(), it.clone())).collect();
        let before = std::mem::replace(&mut self.rows, rows);
        self.complete_after = head.position.version;
        self.head = Some(head);
        let gone = before.into_values().filter(|it| !it.removed);
        let gone = gone.filter(|it| !self.rows.contains_key(&it.key));
        let version = head.position.version;
        let removals = gone.map(|it| Row { value: None, version, removed: true, ..it });
        let rows = listed.iter().cloned().chain(removals).collect();
        Delta { full: false, restored: true, rows }
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
