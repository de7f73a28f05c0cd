//! The error type of the library.

use std::{io, net::SocketAddr, result};

use thiserror::Error as ThisError;

/// The result of a fallible operation of this library.
pub type Result<T, E = Error> = result::Result<T, E>;

/// Errors of files and sockets, of requests to other processes (upstreams, daemons, and the
/// platform's table service and VM list), and of the settings.
#[derive(Debug, ThisError)]
#[non_exhaustive]
pub enum Error {
    /// The connection could not be opened; no byte of the request was sent, so the remote process
    /// can't have executed it.
    #[error("cannot connect to {address}: {source}")]
    Connect {
        /// The remote address.
        address: SocketAddr,
        /// The I/O error of the connection attempt.
        source: io::Error,
    },
    /// Nothing was sent, because the sender no longer wanted it once the connection was open.
    #[error("nothing was sent to {address}: it was no longer wanted")]
    Withheld {
        /// The remote address.
        address: SocketAddr,
    },
    /// No response, or only part of one, arrived. Unlike after [`Error::Connect`], the remote
    /// process may have received and executed the request.
    #[error("no complete response from {address}: {reason}")]
    NoResponse {
        /// The remote address.
        address: SocketAddr,
        /// The error on the connection, or that the response timed out.
        reason: String,
    },
    /// The body of a response exceeds what may be held in memory. The remote process may have
    /// received and executed the request.
    #[error(
        "the body of the response from {address} is longer than the {limit} bytes that one may \
         have, or than what {used} bytes of others leave"
    )]
    Oversized {
        /// The remote address.
        address: SocketAddr,
        /// The maximum length of a body in bytes.
        limit: usize,
        /// Bytes held for all responses.
        used: usize,
    },
    /// The remote process returned an HTTP status other than 2xx where a 2xx status was expected.
    #[error("{address} returned status {status}, expected 2xx: {body}")]
    Status {
        /// The remote address.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The response body, truncated to a bounded length.
        body: String,
    },
    /// Another daemon received a message of the exchange between daemons and refused it. HTTP
    /// requests fail with [`Error::Status`] instead.
    #[error("daemon at {address} refused the exchange message: {reason}")]
    Refused {
        /// The remote address.
        address: SocketAddr,
        /// The reason for the refusal.
        reason: String,
    },
    /// A message to or from another process, or a part of one, could not be encoded or decoded.
    /// Malformed settings files are reported as [`Error::Settings`].
    #[error("malformed {kind}: {reason}")]
    Malformed {
        /// The kind of message or the part of it, such as `JSON body`.
        kind: &'static str,
        /// The encoding or decoding error, or the malformed text itself.
        reason: String,
    },
    /// The platform's VM list did not respond in time, or a load run did not start because not all
    /// daemons respond; nothing was applied.
    #[error("platform or daemon unavailable: {reason}")]
    Unavailable {
        /// The service or daemon that did not respond, or the timeout.
        reason: String,
    },
    /// A file or socket operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The settings are invalid. Displayed with one problem per line.
    #[error("{}", .0.join("\n"))]
    Settings(Vec<String>),
}
