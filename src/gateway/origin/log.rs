//! Which origins of streams through this daemon must be written to the store, or removed from it.

use std::{collections::VecDeque, time::Duration};

use super::{Table, row};
use crate::{
    gateway::store::{Batch, Era, MAX_BATCH_ROWS, Topic},
    kernel::clock::Time,
};

/// Number of rows that may be removed before they are, unless others are written anyway.
const MIN_REMOVALS: usize = 32;

/// How long after its end through this daemon the row of a stream is kept: longer than it may go on through
/// another one, and the return of its caller.
const ROW_LIFETIME: Duration = Duration::from_secs(30);

/// Number of rows that are checked for removal at a time.
const CHECKED_ROWS: usize = 256;

/// The streams whose rows are to be written, and those whose rows were.
#[derive(Debug, Default)]
pub(super) struct Log {
    unwritten: VecDeque<u64>,
    written: VecDeque<u64>,
    /// The era of the store in which the rows were written.
    era: Era,
}

/// Rows to be written and removed.
#[derive(Debug, Default)]
pub struct Due {
    written: Vec<u64>,
    removed: Vec<u64>,
    /// The rows.
    pub puts: Vec<(String, row::Stream)>,
}

impl Due {
    /// The writes, or the row that could not be encoded.
    pub fn batch(&self) -> Result<Batch, serde_json::Error> {
        let mut puts = Vec::new();
        for (key, row) in &self.puts {
            puts.push((key.clone(), serde_json::to_vec(row)?));
        }
        let removals = self.removed.iter().map(|it| row::Stream::key(*it)).collect();
        Ok(Batch { topic: Topic::Streams, puts, removals })
    }
}

impl Log {
    /// Lets the origin of a stream be written.
    pub(super) fn push(&mut self, attempt: u64) {
        self.unwritten.push_back(attempt);
    }
}

impl Table {
    /// Records what another daemon told this one directly, which is a hub that writes it for that one.
    pub fn keep_for_other(&mut self, entry: &super::Entry, now: Time) {
        self.keep(entry, now);
        self.log.push(entry.attempt);
    }

    /// The rows to be written and removed now, if any; [`Self::settle`] must follow.
    pub fn due_rows(&mut self, era: Era, now: Time) -> Option<Due> {
        let mut due = Due::default();
        if era > std::mem::replace(&mut self.log.era, era) {
            // The store may have lost the last of them.
            self.log.unwritten.append(&mut self.log.written);
        }
        while due.puts.len() < MAX_BATCH_ROWS {
            let Some(attempt) = self.log.unwritten.pop_front() else { break };
            let Some(state) = self.states.get(&attempt).filter(|_| !self.is_over(attempt, now))
            else {
                continue;
            };
            due.puts.push((row::Stream::key(attempt), row::Stream { build: state.build.clone() }));
            due.written.push(attempt);
        }
        let room = MAX_BATCH_ROWS - due.puts.len();
        for _ in 0..self.log.written.len().min(CHECKED_ROWS) {
            let Some(attempt) = self.log.written.pop_front() else { break };
            match self.is_over(attempt, now) && due.removed.len() < room {
                true => due.removed.push(attempt),
                false => self.log.written.push_back(attempt),
            }
        }
        if due.puts.is_empty() && due.removed.len() < MIN_REMOVALS {
            self.log.written.extend(due.removed);
            return None;
        }
        Some(due)
    }

    /// Records whether the store has made the writes.
    pub fn settle(&mut self, due: Due, is_written: bool) {
        if is_written {
            self.log.written.extend(due.written);
            return;
        }
        for attempt in due.written.into_iter().rev() {
            self.log.unwritten.push_front(attempt);
        }
        self.log.written.extend(due.removed);
    }

    /// Whether the caller of a stream through this daemon won't come back any more.
    fn is_over(&self, attempt: u64, now: Time) -> bool {
        let state = self.states.get(&attempt);
        state.is_none_or(|it| it.ended_at.is_some_and(|at| now.since(at) >= ROW_LIFETIME))
    }
}
