//! Reads the configuration from the table, free of I/O.
//!
//! A daemon that has a configuration reads the log after its revision: one call when nothing
//! changed. One that has none, or whose revision the log no longer reaches, reads the head, then
//! all items, then the log after that head. Pages of items are read at different moments; the log
//! brings each item to its state at the last revision read.

use crate::{
    catalog::{
        Catalog,
        change::Entry,
        store::{self, Answer, Call, HEAD, Head, ITEMS, LOG, PAGE_ROWS},
    },
    kernel::id::Revision,
    platform::table::Failure,
};

/// One reading of the table.
#[derive(Clone, Debug)]
pub struct Sync {
    stage: Stage,
    catalog: Option<Catalog>,
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
enum Stage {
    Head,
    Items { after: String },
    Log { after: Revision },
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Perform a call, and hand in its answer.
    Call(Call),
    /// The changes after the revision that the reading started from.
    Entries(Vec<Entry>),
    /// The whole configuration.
    Whole(Catalog),
    /// The table gave no answer.
    Failed(Failure),
}

impl Sync {
    /// Starts a reading after `revision`, or of all.
    pub fn new(revision: Option<Revision>) -> Sync {
        let stage = match revision {
            Some(after) => Stage::Log { after },
            None => Stage::Head,
        };
        Sync { stage, catalog: None, entries: Vec::new() }
    }

    /// The first call.
    pub fn start(&self) -> Step {
        Step::Call(match &self.stage {
            Stage::Head => Call::Get(HEAD.to_owned()),
            Stage::Items { after } => Call::Scan { prefix: ITEMS, after: after.clone() },
            Stage::Log { after } => Call::Scan { prefix: LOG, after: store::log_key(*after) },
        })
    }

    /// Takes the answer to the last call.
    pub fn step(&mut self, answer: Answer) -> Step {
        self.take(answer).unwrap_or_else(Step::Failed)
    }

    fn take(&mut self, answer: Answer) -> Result<Step, Failure> {
        match (self.stage.clone(), answer) {
            (_, Answer::Failed(failure)) => return Err(failure),
            (Stage::Head, Answer::Got(None)) => return Ok(Step::Whole(Catalog::default())),
            (Stage::Head, Answer::Got(Some(row))) => {
                let head: Head = store::decode(&row)?;
                self.catalog = Some(Catalog { revision: head.revision, ..Catalog::default() });
                let after = String::new();
                self.stage = Stage::Items { after };
            }
            (Stage::Items { .. }, Answer::Scanned(rows)) => {
                let catalog = self.catalog.get_or_insert_default();
                for row in &rows {
                    catalog.edit(&store::item(row)?);
                }
                self.stage = match rows.last() {
                    Some(row) if rows.len() >= PAGE_ROWS => Stage::Items { after: row.key.clone() },
                    _ => Stage::Log { after: catalog.revision },
                };
            }
            (Stage::Log { after }, Answer::Scanned(rows)) => {
                let mut last = after;
                for row in &rows {
                    let entry: Entry = store::decode(row)?;
                    if entry.revision.0 != last.0 + 1 {
                        // The log no longer reaches back: read all.
                        *self = Sync::new(None);
                        return Ok(self.start());
                    }
                    last = entry.revision;
                    self.entries.push(entry);
                }
                if rows.len() < PAGE_ROWS {
                    return Ok(self.finish());
                }
                self.stage = Stage::Log { after: last };
            }
            (stage, answer) => {
                return Err(Failure::Lost(format!("{stage:?} answered by {answer:?}")));
            }
        }
        Ok(self.start())
    }

    fn finish(&mut self) -> Step {
        let entries = std::mem::take(&mut self.entries);
        let Some(mut catalog) = self.catalog.take() else {
            return Step::Entries(entries);
        };
        for entry in &entries {
            catalog.apply(entry);
        }
        Step::Whole(catalog)
    }
}
