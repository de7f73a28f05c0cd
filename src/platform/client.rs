//! The platform's services over HTTP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    Error, Result,
    http::client::{self, Client},
    platform::{
        table::{Failure, NO_SUCH_ROW, Outcome, Row, Table, Transaction},
        vm::{Entry, List},
    },
};

/// The longest wait for an answer of the platform.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A client of the platform's services.
pub struct Remote {
    client: Arc<Client>,
    table: SocketAddr,
    vms: SocketAddr,
}

impl Remote {
    /// A client of the services at these addresses.
    pub fn new(client: Arc<Client>, table: SocketAddr, vms: SocketAddr) -> Remote {
        Remote { client, table, vms }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let body = self.fetch(method, path, body).await?.map_err(failure)?;
        decode(&body)
    }

    /// The body of a successful answer, or the error that the call ended with in time.
    async fn fetch(&self, method: &str, path: &str, body: Bytes) -> Result<Result<Bytes>, Failure> {
        let request = client::request(method, self.table, path, body)
            .map_err(|error| Failure::Unavailable(error.to_string()))?;
        let fetch = self.client.fetch(self.table, request);
        let fetched = time::timeout(ANSWER_TIMEOUT, fetch).await;
        fetched.map_err(|elapsed| Failure::Lost(elapsed.to_string()))
    }
}

#[async_trait]
impl Table for Remote {
    async fn get(&self, key: &str) -> Result<Option<Row>, Failure> {
        let path = format!("/table/row?key={}", escape(key));
        match self.fetch("GET", &path, Bytes::new()).await? {
            Ok(body) => decode(&body).map(Some),
            Err(error) if is_missing(&error) => Ok(None),
            Err(error) => Err(failure(error)),
        }
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, Failure> {
        let (prefix, after) = (escape(prefix), escape(after));
        let path = format!("/table/rows?prefix={prefix}&after={after}&limit={limit}");
        self.call("GET", &path, Bytes::new()).await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<Outcome, Failure> {
        let body = encode(transaction)?;
        self.call("POST", "/table/commit", body).await
    }
}

#[async_trait]
impl List for Remote {
    async fn entries(&self) -> Result<Vec<Entry>> {
        let entries = self.client.get(self.vms, "/vms");
        match time::timeout(ANSWER_TIMEOUT, entries).await {
            Ok(entries) => entries,
            Err(elapsed) => Err(Error::Unavailable { reason: elapsed.to_string() }),
        }
    }
}

/// Whether a table says that it has no such row; any other 404 is no answer of a table.
fn is_missing(error: &Error) -> bool {
    matches!(error, Error::Status { status: 404, body, .. } if body == NO_SUCH_ROW)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| Failure::Lost(error.to_string()))
}

fn failure(error: Error) -> Failure {
    match error {
        Error::Connect { .. } | Error::Status { status: 429 | 503, .. } => {
            Failure::Unavailable(error.to_string())
        }
        other => Failure::Lost(other.to_string()),
    }
}

fn encode(value: &impl Serialize) -> Result<Bytes, Failure> {
    let bytes = serde_json::to_vec(value);
    bytes.map(Bytes::from).map_err(|error| Failure::Unavailable(error.to_string()))
}

/// Percent-encodes all bytes that are not unreserved in a query.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            escaped.push(char::from(byte));
            continue;
        }
        escaped.push_str(&format!("%{byte:02X}"));
    }
    escaped
}
