//! Interface to the external store, whose data outlives the VMs of all daemons.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A category of rows. Each topic has its own change feed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Topic {
    /// Rows written by the operator: the document and the weights to serve.
    Operator,
    /// Registrations that upstreams write for themselves.
    Upstreams,
    /// Registrations that daemons write for each other.
    Fleet,
    /// Leases, which are read on demand instead of followed.
    Leases,
    /// Which builds services had, and which ones began their streams; read on demand.
    Streams,
    /// At which builds of services daemons may have begun streams; read on demand.
    Claims,
}

impl Topic {
    /// The topics whose rows all daemons have.
    pub const FOLLOWED: [Topic; 3] = [Topic::Operator, Topic::Upstreams, Topic::Fleet];

    /// The topic as a label of metrics.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Operator => "operator",
            Topic::Upstreams => "upstreams",
            Topic::Fleet => "fleet",
            Topic::Leases => "leases",
            Topic::Streams => "streams",
            Topic::Claims => "claims",
        }
    }
}

/// A versioned key-value pair.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// Unique within the topic.
    pub key: String,
    /// `None` if the row was removed or its value can't be decoded.
    pub value: Option<Vec<u8>>,
    /// Number of the transaction that wrote the row; later transactions have higher numbers.
    pub version: u64,
    /// Whether this is a tombstone.
    pub removed: bool,
}

impl Row {
    /// Bytes of the key and the value, which make up nearly all that the row takes in a message.
    pub fn bytes(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// Counts how often the store has come back from an older copy of itself. What was written after
/// that copy is gone, and versions are given out again: they can be compared within one era only.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A transaction of the store in an era. Later ones compare greater.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// Number of the transaction in that era.
    pub version: u64,
}

/// What the store answered, and the era in which it did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer<T> {
    /// The era.
    pub era: Era,
    /// The answer.
    pub value: T,
}

/// A page of rows from one topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// The era in which the store answered.
    pub era: Era,
    /// The rows of this page.
    pub rows: Vec<Row>,
    /// The latest transaction that the page reflects.
    pub version: u64,
    /// Whether more rows follow the last one.
    pub has_more: bool,
}

/// A conditional write of one row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Topic of the row.
    pub topic: Topic,
    /// Key of the row.
    pub key: String,
    /// The version that the row must have, 0 if it must not exist; `None` writes unconditionally.
    pub expected: Option<u64>,
    /// The new value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// Unconditional writes of rows of a topic, made all at once or not at all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Batch {
    /// Topic of the rows.
    pub topic: Topic,
    /// Keys and new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys of the rows to remove.
    pub removals: Vec<String>,
}

/// The number of rows that a [`Batch`] may have.
pub const MAX_BATCH_ROWS: usize = 100;

/// The result of a [`Write`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The write was committed; the row now has this version.
    Committed(u64),
    /// The row's version differed from the expected one; holds the current row, if it exists.
    Conflict(Option<Row>),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The call had no effect.
    #[error("the store rejected the call: {0}")]
    Refused(String),
    /// The outcome is unknown: the call may have taken effect, or may still do so.
    #[error("no response from the store: {0}")]
    Lost(String),
    /// The response is too large to be held in memory. Like [`Error::Lost`], the call may have taken
    /// effect.
    #[error("the response of the store is too large: {0}")]
    Oversized(String),
    /// The requested changes have been compacted away.
    #[error("the requested changes have been compacted")]
    Compacted,
    /// The response does not follow the store's protocol.
    #[error("malformed response from the store: {0}")]
    Malformed(String),
}

/// Client of the store.
#[async_trait]
pub trait Store: Send + Sync {
    /// Lists the rows of a topic, or those whose keys sort after the key `after`.
    async fn list(&self, topic: Topic, after: Option<&str>) -> Result<Page, Error>;

    /// Long-polls for rows that changed after transaction `after`; empty if none did within `wait`.
    /// Further changes are read from the returned page's version on.
    async fn changes(&self, topic: Topic, after: u64, wait: Duration) -> Result<Page, Error>;

    /// Reads one row; `None` if it doesn't exist.
    async fn get(&self, topic: Topic, key: &str) -> Result<Answer<Option<Row>>, Error>;

    /// Applies a conditional write.
    async fn write(&self, write: &Write) -> Result<Answer<Outcome>, Error>;

    /// Applies up to [`MAX_BATCH_ROWS`] writes in one transaction.
    async fn write_all(&self, batch: &Batch) -> Result<Answer<()>, Error>;
}
