//! A table service in memory, with faults.

// Each test uses a part of it.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use async_trait::async_trait;
use tealturn::platform::table::{Failure, Outcome, Row, Table, Transaction, Write};

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Fault {
    #[default]
    None,
    /// Calls are refused.
    Down,
    /// Commits are applied, but their answers are lost.
    LostAnswer,
    /// Commits are lost before they are applied.
    LostCall,
}

#[derive(Debug, Default)]
pub struct Memory(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    rows: BTreeMap<String, Row>,
    version: u64,
    faults: Vec<Fault>,
    fault: Fault,
    calls: u64,
    commits: u64,
}

impl Memory {
    /// Sets the fault of all later calls.
    pub fn set(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Sets the faults of the next commits, the last one first.
    pub fn push(&self, faults: &[Fault]) {
        self.lock().faults.extend(faults);
    }

    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    pub fn commits(&self) -> u64 {
        self.lock().commits
    }

    pub fn rows(&self) -> Vec<Row> {
        self.lock().rows.values().cloned().collect()
    }

    /// Removes a row behind the daemons' backs.
    pub fn remove(&self, key: &str) {
        self.lock().rows.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test panics while it holds the table")
    }

    fn read(&self) -> Result<MutexGuard<'_, Inner>, Failure> {
        let mut inner = self.lock();
        inner.calls += 1;
        match inner.fault {
            Fault::None | Fault::LostAnswer | Fault::LostCall => Ok(inner),
            Fault::Down => Err(Failure::Unavailable("down".into())),
        }
    }
}

impl Inner {
    fn apply(&mut self, transaction: &Transaction) -> Outcome {
        let mut failed = Vec::new();
        let mut conflict = false;
        for check in &transaction.checks {
            let row = self.rows.get(&check.key);
            if row.map(|it| it.version) == check.version {
                continue;
            }
            conflict = true;
            failed.extend(row.cloned());
        }
        if conflict {
            return Outcome::Conflict { rows: failed };
        }
        self.version += 1;
        self.commits += 1;
        let version = self.version;
        for write in &transaction.writes {
            match write {
                Write::Put { key, value } => {
                    let row = Row { key: key.clone(), value: value.clone(), version };
                    self.rows.insert(key.clone(), row);
                }
                Write::Delete { key } => {
                    self.rows.remove(key);
                }
            }
        }
        Outcome::Committed { version }
    }
}

#[async_trait]
impl Table for Memory {
    async fn get(&self, key: &str) -> Result<Option<Row>, Failure> {
        Ok(self.read()?.rows.get(key).cloned())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure> {
        let inner = self.read()?;
        let rows = inner.rows.values();
        let rows = rows.filter(|it| it.key.starts_with(prefix) && it.key.as_str() > after);
        Ok(rows.take(limit).cloned().collect())
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Failure> {
        let mut inner = self.lock();
        inner.calls += 1;
        let fault = inner.faults.pop().unwrap_or(inner.fault);
        match fault {
            Fault::None => Ok(inner.apply(transaction)),
            Fault::Down => Err(Failure::Unavailable("down".into())),
            Fault::LostCall => Err(Failure::Lost("cut".into())),
            Fault::LostAnswer => {
                inner.apply(transaction);
                Err(Failure::Lost("cut".into()))
            }
        }
    }
}
