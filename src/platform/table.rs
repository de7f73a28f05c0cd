//! The transactional table service.
//!
//! Protocol (HTTP, JSON bodies):
//!
//! | call | answer |
//! |---|---|
//! | `GET /table/row?key=K` | 200 [`Row`], or 404 with [`NO_SUCH_ROW`] |
//! | `GET /table/rows?prefix=P&after=K&limit=N` | 200, a list of [`Row`] by key |
//! | `POST /table/commit` with a [`Transaction`] | 200 [`Outcome`] |
//!
//! 429 and 503 mean that nothing was applied. A call whose answer is lost may have been
//! applied.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of a row: the number of the commit that wrote it. Commits are numbered upwards
/// over the whole table, so a version can serve as a fencing number.
pub type Version = u64;

/// A row of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The key; rows are ordered by it.
    pub key: String,
    /// The value, a JSON text.
    pub value: String,
    /// The commit that wrote it.
    pub version: Version,
}

/// The body of the 404 for a row that does not exist. A 404 with another body comes from something
/// else than a table.
pub const NO_SUCH_ROW: &str = "no such row";

/// What a transaction asks of a row before anything is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version it must have; `None` if there must be no such row.
    pub version: Option<Version>,
}

/// One write of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Set a row.
    Put {
        /// The row's key.
        key: String,
        /// The new value, a JSON text.
        value: String,
    },
    /// Remove a row, if there is one.
    Delete {
        /// The row's key.
        key: String,
    },
}

/// Writes that are applied together, or not at all when a check fails.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transaction {
    /// All must hold.
    pub checks: Vec<Check>,
    /// Applied together.
    pub writes: Vec<Write>,
}

/// The answer to a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All writes were applied.
    Committed {
        /// The version of every row written.
        version: Version,
    },
    /// A check failed, and nothing was applied.
    Conflict {
        /// The rows of the failed checks as they are; a row that does not exist is left out.
        rows: Vec<Row>,
    },
}

/// Why the table gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Failure {
    /// Nothing was applied.
    #[error("table unavailable: {0}")]
    Unavailable(String),
    /// The call may or may not have been applied.
    #[error("table answer lost: {0}")]
    Lost(String),
}

/// Access to the table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row.
    async fn get(&self, key: &str) -> Result<Option<Row>, Failure>;

    /// Reads up to `limit` rows whose keys start with `prefix` and come after `after`.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure>;

    /// Applies a transaction.
    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Failure>;
}
