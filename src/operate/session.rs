//! A conversation with the operator listener of a daemon.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time;

use crate::{
    Error, Result,
    http::client::{self, Client},
};

/// The longest wait for an answer of a daemon.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A daemon to talk to.
pub struct Session {
    /// Where it listens for operators.
    pub daemon: SocketAddr,
    client: Client,
}

/// An answer of any status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Session {
    /// A conversation with the daemon at `daemon`.
    pub fn new(daemon: SocketAddr) -> Session {
        Session { daemon, client: Client::new() }
    }

    /// Sends `GET path` and decodes the answer.
    ///
    /// # Errors
    ///
    /// As [`Client::get`], and [`Error::NoResponse`] after [`ANSWER_TIMEOUT`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.get_from(self.daemon, path).await
    }

    /// As [`Session::get`], from another daemon.
    ///
    /// # Errors
    ///
    /// As [`Session::get`].
    pub async fn get_from<T: DeserializeOwned>(&self, daemon: SocketAddr, path: &str) -> Result<T> {
        time::timeout(ANSWER_TIMEOUT, self.client.get(daemon, path))
            .await
            .map_err(|elapsed| lost(daemon, elapsed))?
    }

    /// Sends `POST path` with a JSON body and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, [`Error::NoResponse`] if it may have arrived.
    pub async fn post<B: Serialize>(&self, path: &str, body: &B) -> Result<Reply> {
        let body = serde_json::to_vec(body)
            .map_err(|error| Error::Malformed { kind: "request", reason: error.to_string() })?;
        let request = client::request("POST", self.daemon, path, Bytes::from(body))?;
        let exchange = async {
            let answer = self.client.send(self.daemon, request).await?;
            let status = answer.response.status();
            let body = self.client.finish(answer).await?;
            Ok(Reply { status, body })
        };
        time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|elapsed| lost(self.daemon, elapsed))?
    }
}

fn lost(address: SocketAddr, elapsed: time::error::Elapsed) -> Error {
    Error::NoResponse { address, reason: elapsed.to_string() }
}
