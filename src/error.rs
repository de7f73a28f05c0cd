//! The error type of the library.

use std::{io, net::SocketAddr, result};

use thiserror::Error as ThisError;

/// The result of a fallible operation of this library.
pub type Result<T, E = Error> = result::Result<T, E>;

/// What can go wrong at the edge of the program.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// A connection could not be opened; no byte of a request was sent.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// The address that was tried.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A request may have reached the other side, but its answer did not arrive.
    #[error("no answer from {address}: {reason}")]
    Lost {
        /// The address that was asked.
        address: SocketAddr,
        /// What was seen on the connection.
        reason: String,
    },
    /// The other side answered with a status that the protocol does not allow here.
    #[error("{address} answered {status}: {body}")]
    Status {
        /// The address that was asked.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The body, cut to a bounded length.
        body: String,
    },
    /// The other side did not take a message.
    #[error("{address} refused: {reason}")]
    Refused {
        /// The address that was asked.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// A message could not be decoded.
    #[error("malformed {what}: {reason}")]
    Malformed {
        /// The kind of message.
        what: &'static str,
        /// Where and why decoding stopped.
        reason: String,
    },
    /// The platform cannot be reached or refuses work; nothing was applied.
    #[error("platform unavailable: {reason}")]
    Unavailable {
        /// What was seen.
        reason: String,
    },
    /// An operation on a file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The settings of a process are not valid; one line for each fault.
    #[error("{}", .0.join("\n"))]
    Settings(Vec<String>),
}
