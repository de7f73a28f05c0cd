//! The store that outlives all VMs, as the gateway uses it.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

/// What rows are about. Each topic is followed by itself.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// What the operator wrote: the document and the weights to serve.
    Operator,
    /// The upstreams' own entries.
    Upstreams,
    /// What the daemons tell each other; all of them follow it.
    Fleet,
    /// Leases, which are read when one is wanted.
    Leases,
}

/// A row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// The key, unique in its topic.
    pub key: String,
    /// The value; `None` if the row was removed or its value can't be decoded.
    pub value: Option<Vec<u8>>,
    /// The transaction that wrote it; a later one has a higher number.
    pub version: u64,
    /// Whether the row was removed.
    pub removed: bool,
}

/// Some rows of a topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// The newest transaction that the page takes into account.
    pub version: u64,
    /// Whether there are more rows after the last one.
    pub more: bool,
}

/// Writes a row if it is as expected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The topic.
    pub topic: Topic,
    /// The key.
    pub key: String,
    /// The version that the row must have, 0 for none; `None` writes whatever it is.
    pub expected: Option<u64>,
    /// The new value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// The answer to a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The row has this version now.
    Committed(u64),
    /// The row was not as expected: this is what it is, if it exists.
    Conflict(Option<Row>),
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call: {0}")]
    Refused(String),
    /// The call may have been carried out, or may be later.
    #[error("no answer from the store: {0}")]
    Lost(String),
    /// The changes that were asked for are no longer kept.
    #[error("the store has dropped these changes")]
    Compacted,
    /// The answer is not one of the store's protocol.
    #[error("malformed answer of the store: {0}")]
    Malformed(String),
}

/// Access to the store.
#[async_trait]
pub trait Store: Send + Sync {
    /// The rows of a topic whose keys come after `after`.
    async fn list(&self, topic: Topic, after: Option<&str>) -> Result<Page, StoreError>;

    /// The rows that changed after a transaction; empty if none did within `wait`.
    async fn changes(&self, topic: Topic, after: u64, wait: Duration) -> Result<Page, StoreError>;

    /// One row; `None` if there is none.
    async fn get(&self, topic: Topic, key: &str) -> Result<Option<Row>, StoreError>;

    /// Writes a row.
    async fn write(&self, write: &Write) -> Result<WriteOutcome, StoreError>;
}
