//! Takes one change from an operator to its verdict, free of I/O.
//!
//! The change is one transaction that checks the version of the head row and that no row has the
//! change's name. When its answer is lost the same transaction is sent again: it can take effect
//! only once, and when it fails although no row has the name, the head has moved on and none of
//! the copies can take effect any more.

use std::sync::Arc;

use crate::{
    catalog::{
        Catalog,
        change::{
            Accepted, Applied, Change, Clash, Conflict, Edit, Entry, Invalid, Item, Unavailable,
            Verdict,
        },
        keeper::Update,
        store::{self, Answer, Call, HEAD, Head, LOG_ENTRIES},
        sync::{self, Sync},
        validate,
    },
    kernel::id::Revision,
    platform::table::{Check, Failure, Outcome, Row, Transaction, Version},
};

/// Times that a transaction is sent.
pub const MAX_SENDS: u32 = 3;

/// Times that the head may move while a change is checked.
const MAX_READS: u32 = 8;

/// A change on its way.
#[derive(Clone, Debug)]
pub struct Attempt {
    change: Change,
    catalog: Option<Arc<Catalog>>,
    updates: Vec<Update>,
    stage: Stage,
    head: Option<Position>,
    sends: u32,
    reads: u32,
}

/// The head row as it was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Position {
    revision: Revision,
    version: Option<Version>,
}

#[derive(Clone, Debug)]
enum Stage {
    Name,
    Head,
    Catalog(Sync),
    Rivals(Sync),
    Oldest(Entry),
    Commit(Box<Pending>),
}

#[derive(Clone, Debug)]
struct Pending {
    entry: Entry,
    transaction: Transaction,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Perform a call, and hand in its answer.
    Call(Call),
    /// The end.
    Done(Done),
}

/// The end of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Done {
    /// What became of the change.
    pub verdict: Verdict,
    /// What was confirmed on the way, in order.
    pub updates: Vec<Update>,
}

impl Attempt {
    /// An attempt by a daemon that has `catalog` in force.
    pub fn new(change: Change, catalog: Option<Arc<Catalog>>) -> Attempt {
        Attempt {
            change,
            catalog,
            updates: Vec::new(),
            stage: Stage::Name,
            head: None,
            sends: 0,
            reads: 0,
        }
    }

    /// The change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// The first step.
    pub fn start(&self) -> Step {
        Step::Call(Call::Get(store::change_key(self.change.id)))
    }

    /// Takes the answer to the last call.
    pub fn step(&mut self, answer: Answer) -> Step {
        if let Stage::Commit(pending) = &self.stage {
            let pending = pending.clone();
            return self.committed(*pending, answer);
        }
        let taken = match (self.stage.clone(), answer) {
            (_, Answer::Failed(failure)) => Err(failure),
            (Stage::Name, Answer::Got(row)) => self.named(row),
            (Stage::Head, Answer::Got(row)) => self.headed(row),
            (Stage::Catalog(sync), answer) => self.catalogued(sync, answer),
            (Stage::Rivals(sync), answer) => self.rivalled(sync, answer),
            (Stage::Oldest(entry), Answer::Got(row)) => self.commit(entry, row),
            (stage, answer) => Err(Failure::Lost(format!("{stage:?} answered by {answer:?}"))),
        };
        // Up to here nothing was written.
        taken.unwrap_or_else(|failure| self.failed(&failure, Applied::No))
    }

    fn named(&mut self, row: Option<Row>) -> Result<Step, Failure> {
        match row {
            Some(row) => {
                let head: Head = store::decode(&row)?;
                Ok(self.accepted(head.revision))
            }
            None => Ok(self.read_head()),
        }
    }

    fn read_head(&mut self) -> Step {
        self.stage = Stage::Head;
        Step::Call(Call::Get(HEAD.to_owned()))
    }

    fn headed(&mut self, row: Option<Row>) -> Result<Step, Failure> {
        let position = match &row {
            Some(row) => Position {
                revision: store::decode::<Head>(row)?.revision,
                version: Some(row.version),
            },
            None => Position { revision: Revision(0), version: None },
        };
        self.head = Some(position);
        let own = self.catalog.as_ref().map(|it| it.revision);
        if own == Some(position.revision) {
            return Ok(self.check(position));
        }
        if own.is_some_and(|it| it > position.revision) {
            let reason = format!("the table is back at revision {}", position.revision);
            return Err(Failure::Unavailable(reason));
        }
        let sync = Sync::new(own);
        let step = sync.start();
        self.stage = Stage::Catalog(sync);
        Ok(self.nested(step))
    }

    fn catalogued(&mut self, mut sync: Sync, answer: Answer) -> Result<Step, Failure> {
        match sync.step(answer) {
            sync::Step::Call(call) => {
                self.stage = Stage::Catalog(sync);
                return Ok(Step::Call(call));
            }
            sync::Step::Failed(failure) => return Err(failure),
            sync::Step::Whole(catalog) => {
                let catalog = Arc::new(catalog);
                self.updates.push(Update::Whole(catalog.clone()));
                self.catalog = Some(catalog);
            }
            sync::Step::Entries(entries) => self.confirm(entries),
        }
        let current = self.catalog.as_ref().map(|it| it.revision);
        match self.head {
            Some(head) if current == Some(head.revision) => Ok(self.check(head)),
            _ if self.reads < MAX_READS => {
                self.reads += 1;
                Ok(self.read_head())
            }
            _ => Err(Failure::Unavailable("the head keeps moving".to_owned())),
        }
    }

    /// Compares the change with the current configuration, which `head` is the position of.
    fn check(&mut self, head: Position) -> Step {
        let base = self.change.base;
        if base > head.revision {
            let error = format!("base: {base} given, the current revision is {}", head.revision);
            return self.invalid(vec![error]);
        }
        if base < head.revision {
            let sync = Sync::new(Some(base));
            let step = sync.start();
            self.stage = Stage::Rivals(sync);
            return self.nested(step);
        }
        let mut next = self.catalog.as_deref().cloned().unwrap_or_default();
        for edit in &self.change.edits {
            next.edit(edit);
        }
        let faults = validate::faults(&self.change.edits, &next);
        if !faults.is_empty() {
            return self.invalid(faults);
        }
        let entry = Entry {
            revision: Revision(base.0 + 1),
            change: self.change.id,
            edits: self.change.edits.clone(),
        };
        if entry.revision.0 > LOG_ENTRIES {
            let oldest = Revision(entry.revision.0 - LOG_ENTRIES);
            self.stage = Stage::Oldest(entry);
            return Step::Call(Call::Get(store::log_key(oldest)));
        }
        let step = self.commit(entry, None);
        step.unwrap_or_else(|failure| self.failed(&failure, Applied::No))
    }

    fn rivalled(&mut self, mut sync: Sync, answer: Answer) -> Result<Step, Failure> {
        match sync.step(answer) {
            sync::Step::Call(call) => {
                self.stage = Stage::Rivals(sync);
                Ok(Step::Call(call))
            }
            sync::Step::Failed(failure) => Err(failure),
            sync::Step::Whole(catalog) => {
                let current = catalog.revision;
                Ok(self.conflict(current, None))
            }
            sync::Step::Entries(entries) => {
                // A copy that was under way may have taken effect since the name was read.
                let own = entries.iter().find(|it| it.change == self.change.id);
                if let Some(own) = own {
                    return Ok(self.accepted(own.revision));
                }
                let current = entries.last().map_or(self.change.base, |it| it.revision);
                Ok(self.conflict(current, Some(&entries)))
            }
        }
    }

    fn commit(&mut self, entry: Entry, oldest: Option<Row>) -> Result<Step, Failure> {
        let mut writes = store::writes(&entry)?;
        if let Some(row) = oldest {
            let old: Entry = store::decode(&row)?;
            writes.extend(store::removal(&old));
        }
        let checks = vec![
            Check { key: HEAD.to_owned(), version: self.head.and_then(|it| it.version) },
            Check { key: store::change_key(entry.change), version: None },
        ];
        let transaction = Transaction { checks, writes };
        self.sends = 1;
        let call = Call::Commit(transaction.clone());
        self.stage = Stage::Commit(Box::new(Pending { entry, transaction }));
        Ok(Step::Call(call))
    }

    fn committed(&mut self, pending: Pending, answer: Answer) -> Step {
        match answer {
            Answer::Committed(Outcome::Committed { .. }) => {
                let revision = pending.entry.revision;
                self.confirm(vec![pending.entry]);
                self.accepted(revision)
            }
            Answer::Committed(Outcome::Conflict { rows }) => self.refused(&rows),
            Answer::Failed(Failure::Unavailable(reason)) if self.sends == 1 => {
                self.failed(&Failure::Unavailable(reason), Applied::No)
            }
            Answer::Failed(_) if self.sends < MAX_SENDS => {
                self.sends += 1;
                Step::Call(Call::Commit(pending.transaction))
            }
            Answer::Failed(failure) => self.failed(&failure, Applied::Unknown),
            answer => {
                let failure = Failure::Lost(format!("a commit answered by {answer:?}"));
                self.failed(&failure, Applied::Unknown)
            }
        }
    }

    /// Takes note of changes that are known to have been accepted.
    fn confirm(&mut self, entries: Vec<Entry>) {
        let mut catalog = self.catalog.as_deref().cloned().unwrap_or_default();
        for entry in &entries {
            catalog.apply(entry);
        }
        self.catalog = Some(Arc::new(catalog));
        self.updates.push(Update::Entries(entries));
    }

    /// The transaction failed its checks: an earlier copy of it was applied, or another change.
    fn refused(&mut self, rows: &[Row]) -> Step {
        let key = store::change_key(self.change.id);
        let own = rows.iter().find(|it| it.key == key);
        if let Some(Ok(head)) = own.map(store::decode::<Head>) {
            return self.accepted(head.revision);
        }
        let sync = Sync::new(Some(self.change.base));
        let step = sync.start();
        self.stage = Stage::Rivals(sync);
        self.nested(step)
    }

    fn nested(&self, step: sync::Step) -> Step {
        match step {
            sync::Step::Call(call) => Step::Call(call),
            _ => self
                .failed(&Failure::Unavailable("a reading without a call".to_owned()), Applied::No),
        }
    }

    fn accepted(&self, revision: Revision) -> Step {
        self.done(Verdict::Accepted(Accepted { revision }))
    }

    fn invalid(&self, errors: Vec<String>) -> Step {
        self.done(Verdict::Invalid(Invalid { errors }))
    }

    fn failed(&self, failure: &Failure, applied: Applied) -> Step {
        self.done(Verdict::Unavailable(Unavailable { error: failure.to_string(), applied }))
    }

    /// `rivals` are the changes since the base; `None` if they are no longer kept, in which case
    /// any item may have been touched.
    fn conflict(&self, current: Revision, rivals: Option<&[Entry]>) -> Step {
        let mut items = Vec::new();
        for yours in &self.change.edits {
            let item = yours.item();
            let theirs = rivals.and_then(|it| latest(it, &item));
            if rivals.is_some() && theirs.is_none() {
                continue;
            }
            items.push(Clash { item, theirs, yours: yours.clone() });
        }
        self.done(Verdict::Conflict(Conflict { base: self.change.base, current, items }))
    }

    fn done(&self, verdict: Verdict) -> Step {
        Step::Done(Done { verdict, updates: self.updates.clone() })
    }
}

/// The last edit of an item.
fn latest(entries: &[Entry], item: &Item) -> Option<Edit> {
    for entry in entries.iter().rev() {
        if let Some(edit) = entry.edits.iter().find(|it| it.item() == *item) {
            return Some(edit.clone());
        }
    }
    None
}
