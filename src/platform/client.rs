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
        table::{Failure, Outcome, Row, Table, Transaction},
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
        let request = client::request(method, self.table, path, body)
            .map_err(|error| Failure::Unavailable(error.to_string()))?;
        let fetch = self.client.fetch(self.table, request);
        let body = match time::timeout(ANSWER_TIMEOUT, fetch).await {
            Ok(fetched) => fetched.map_err(failure)?,
            Err(elapsed) => return Err(Failure::Lost(elapsed.to_string())),
        };
        serde_json::from_slice(&body).map_err(|error| Failure::Lost(error.to_string()))
    }
}

#[async_trait]
impl Table for Remote {
    async fn get(&self, key: &str) -> Result<Option<Row>, Failure> {
        let path = format!("/table/row?key={}", escape(key));
        match self.call("GET", &path, Bytes::new()).await {
            Err(Failure::Unavailable(reason)) if reason == NOT_FOUND => Ok(None),
            row => row.map(Some),
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

const NOT_FOUND: &str = "not found";

fn failure(error: Error) -> Failure {
    match error {
        Error::Status { status: 404, .. } => Failure::Unavailable(NOT_FOUND.to_owned()),
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
