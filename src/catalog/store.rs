//! How the configuration lies in the table.
//!
//! | row | value |
//! |---|---|
//! | `catalog/head` | [`Head`]: the current revision. Every change checks and writes it |
//! | `catalog/log/REVISION` (20 digits) | [`Entry`]: the change that made the revision |
//! | `catalog/change/ID` | [`Head`]: the revision that the change made |
//! | `catalog/item/template/NAME` | `Template` |
//! | `catalog/item/instance/WORKSPACE/TEMPLATE` | `Instance` |
//! | `catalog/item/credential/DIGEST` | `Credential` |
//!
//! A change is one transaction that writes all of these. The log reaches back [`LOG_ENTRIES`]
//! revisions; each change removes the oldest one.

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    catalog::change::{Edit, Entry, Id, Item},
    kernel::id::Revision,
    platform::table::{Failure, Outcome, Row, Table, Transaction, Write},
};

/// Revisions whose changes the table keeps: more than a day of them.
pub const LOG_ENTRIES: u64 = 10_000;

/// Rows read by one scan.
pub const PAGE_ROWS: usize = 500;

/// The row that every change checks.
pub const HEAD: &str = "catalog/head";

/// Starts the keys of the log.
pub const LOG: &str = "catalog/log/";

/// Starts the keys of the items.
pub const ITEMS: &str = "catalog/item/";

/// A revision, as rows hold it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The revision.
    pub revision: Revision,
}

/// A call of the table service that a decision asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Reads a row.
    Get(String),
    /// Reads a page of rows.
    Scan {
        /// What their keys start with.
        prefix: &'static str,
        /// The key that they come after.
        after: String,
    },
    /// Writes.
    Commit(Transaction),
}

/// The answer to a [`Call`]. Variants match.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// The row, if there is one.
    Got(Option<Row>),
    /// The page; it is the last if it is shorter than [`PAGE_ROWS`].
    Scanned(Vec<Row>),
    /// What became of the transaction.
    Committed(Outcome),
    /// The service gave no answer.
    Failed(Failure),
}

impl Call {
    /// Performs the call.
    pub async fn perform(&self, table: &dyn Table) -> Answer {
        match self {
            Call::Get(key) => table.get(key).await.map(Answer::Got),
            Call::Scan { prefix, after } => {
                let rows = table.scan(prefix, after, PAGE_ROWS).await;
                rows.map(Answer::Scanned)
            }
            Call::Commit(transaction) => table.commit(transaction).await.map(Answer::Committed),
        }
        .unwrap_or_else(Answer::Failed)
    }
}

/// The key of a revision's change.
pub fn log_key(revision: Revision) -> String {
    format!("{LOG}{:020}", revision.0)
}

/// The key under which a change is found by its name.
pub fn change_key(id: Id) -> String {
    format!("catalog/change/{id}")
}

/// The writes of an accepted change.
pub fn writes(entry: &Entry) -> Result<Vec<Write>, Failure> {
    let head = encode(&Head { revision: entry.revision })?;
    let mut writes = vec![
        put(HEAD.to_owned(), head.clone()),
        put(change_key(entry.change), head),
        put(log_key(entry.revision), encode(entry)?),
    ];
    for edit in &entry.edits {
        writes.push(item_write(edit)?);
    }
    Ok(writes)
}

/// The edit that puts the item of a row.
pub fn item(row: &Row) -> Result<Edit, Failure> {
    let kind = row.key.strip_prefix(ITEMS).unwrap_or_default();
    match kind.split('/').next() {
        Some("template") => decode(row).map(Edit::PutTemplate),
        Some("instance") => decode(row).map(Edit::PutInstance),
        Some("credential") => decode(row).map(Edit::PutCredential),
        _ => Err(Failure::Unavailable(format!("unknown row {}", row.key))),
    }
}

/// Decodes the value of a row.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Failure> {
    serde_json::from_str(&row.value)
        .map_err(|error| Failure::Unavailable(format!("row {}: {error}", row.key)))
}

fn item_write(edit: &Edit) -> Result<Write, Failure> {
    let key = item_key(&edit.item());
    Ok(match edit {
        Edit::PutTemplate(it) => put(key, encode(it)?),
        Edit::PutInstance(it) => put(key, encode(it)?),
        Edit::PutCredential(it) => put(key, encode(it)?),
        Edit::DeleteTemplate(_) | Edit::DeleteInstance { .. } | Edit::DeleteCredential { .. } => {
            Write::Delete { key }
        }
    })
}

fn item_key(item: &Item) -> String {
    match item {
        Item::Template(name) => format!("{ITEMS}template/{name}"),
        Item::Instance { workspace, template } => format!("{ITEMS}instance/{workspace}/{template}"),
        Item::Credential(digest) => format!("{ITEMS}credential/{digest}"),
    }
}

fn put(key: String, value: String) -> Write {
    Write::Put { key, value }
}

fn encode(value: &impl Serialize) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|error| Failure::Unavailable(error.to_string()))
}

/// The writes that remove a change from the log.
pub fn removal(entry: &Entry) -> [Write; 2] {
    [
        Write::Delete { key: log_key(entry.revision) },
        Write::Delete { key: change_key(entry.change) },
    ]
}
