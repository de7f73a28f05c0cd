//! The rows of the stand-in's table service.

use std::collections::BTreeMap;

use crate::platform::table::{Outcome, Row, Transaction, Version, Write};

/// Rows by key, and the number of the last commit.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<String, Row>,
    commits: Version,
}

impl Rows {
    /// One row.
    pub fn get(&self, key: &str) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Up to `limit` rows whose keys start with `prefix` and come after `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = prefix.max(after).to_owned();
        let mut found = Vec::new();
        for (key, row) in self.rows.range(start..) {
            if found.len() == limit || !key.starts_with(prefix) {
                break;
            }
            if key.as_str() > after || after.is_empty() {
                found.push(row.clone());
            }
        }
        found
    }

    /// Applies a transaction, whole or not at all.
    pub fn commit(&mut self, transaction: &Transaction) -> Outcome {
        let mut conflict = false;
        let mut rows = Vec::new();
        for check in &transaction.checks {
            let row = self.rows.get(&check.key);
            if row.map(|it| it.version) == check.version {
                continue;
            }
            conflict = true;
            rows.extend(row.cloned());
        }
        if conflict {
            return Outcome::Conflict { rows };
        }
        self.commits += 1;
        for write in &transaction.writes {
            self.apply(write);
        }
        Outcome::Committed { version: self.commits }
    }

    fn apply(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row { key: key.clone(), value: value.clone(), version: self.commits };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => drop(self.rows.remove(key)),
        }
    }
}
