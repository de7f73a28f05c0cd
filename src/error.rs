//! The error type of the library.

use std::{io, net::SocketAddr, result};

use thiserror::Error as ThisError;

/// The result of a fallible operation of this library.
pub type Result<T, E = Error> = result::Result<T, E>;

/// Errors of I/O, of peers and the platform, and of the settings.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The connection could not be opened; no byte of the request was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// The remote address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// No response, or only part of one, arrived; the remote side may have received the request.
    #[error("no response from {address}: {reason}")]
    NoResponse {
        /// The remote address.
        address: SocketAddr,
        /// The error on the connection.
        reason: String,
    },
    /// The remote side returned an HTTP status that the protocol does not allow for this request.
    #[error("{address} returned status {status}: {body}")]
    Status {
        /// The remote address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The response body, truncated to a bounded length.
        body: String,
    },
    /// The remote side refused a message.
    #[error("{address} refused the message: {reason}")]
    Refused {
        /// The remote address.
        address: SocketAddr,
        /// The reason for the refusal.
        reason: String,
    },
    /// A message could not be decoded.
    #[error("malformed {kind}: {reason}")]
    Malformed {
        /// The kind of message.
        kind: &'static str,
        /// The position and cause of the decoding error.
        reason: String,
    },
    /// The platform is unreachable or refuses requests; nothing was applied.
    #[error("platform unavailable: {reason}")]
    Unavailable {
        /// The observed failure.
        reason: String,
    },
    /// A file or socket operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The settings are invalid. Displayed with one problem per line.
    #[error("{}", .0.join("\n"))]
    Settings(Vec<String>),
}
