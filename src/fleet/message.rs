//! What daemons send each other.
//!
//! The [`Envelope`] keeps its layout in all versions of the protocol, so that a daemon of another
//! version is told so; the payload may change with [`PROTOCOL`].

use bincode::Options;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{
    fleet::{board::Post, member::Member},
    kernel::id::{Daemon, Revision},
    timeline::Stamp,
};

/// The version of the payload.
pub const PROTOCOL: u32 = 1;

/// Bytes that the payload of a [`Message`] may have.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// A message as it travels.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Envelope {
    /// The deployment of the sender.
    pub deployment: String,
    /// The version of the payload.
    pub protocol: u32,
    /// A [`Message`] in `bincode` with variable integers.
    pub payload: Vec<u8>,
}

/// What one daemon tells another, and the answer to it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub from: Record,
    /// The sender's time line.
    pub stamp: Stamp,
    /// The revision that the sender has in force, if any.
    pub revision: Option<Revision>,
    /// The sender asks for the daemons whose names come after this one.
    pub asks: Option<Daemon>,
    /// Signs of life of daemons that the receiver is expected to know.
    pub beats: Vec<Beat>,
    /// Other daemons.
    pub records: Vec<Record>,
    /// Facts.
    pub posts: Vec<Post>,
}

/// A daemon with its last sign of life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The daemon.
    pub member: Member,
    /// Counts its signs of life in this run.
    pub beat: u64,
    /// What it had to do at that time.
    pub load: Load,
    /// The time since the sender heard of it, in milliseconds.
    pub quiet_ms: u32,
}

/// What a daemon has to do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests running or queued there.
    pub requests: u32,
}

/// A sign of life in short form.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Beat {
    /// [`Member::tag`] of the daemon's run.
    pub tag: u32,
    /// As [`Record::beat`].
    pub beat: u64,
    /// As [`Record::load`].
    pub load: Load,
    /// As [`Record::quiet_ms`].
    pub quiet_ms: u32,
}

/// Asks for the changes of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// The revision that the asker has in force, if any.
    pub revision: Option<Revision>,
}

/// Why a message was not taken.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum Refusal {
    /// The sender belongs elsewhere.
    #[error("this daemon belongs to deployment {own:?}, the message to {theirs:?}")]
    Deployment {
        /// The receiver's deployment.
        own: String,
        /// The sender's.
        theirs: String,
    },
    /// The sender speaks another version of the protocol.
    #[error("this daemon speaks protocol {own}, the message is in {theirs}")]
    Protocol {
        /// The receiver's version.
        own: u32,
        /// The sender's.
        theirs: u32,
    },
    /// The payload cannot be decoded.
    #[error("malformed payload: {0}")]
    Malformed(String),
}

/// Puts a message into an envelope.
pub fn seal<T: Serialize>(deployment: &str, message: &T) -> Envelope {
    // Messages have neither maps nor sequences of unknown length, so that encoding cannot fail.
    let payload = options().serialize(message).unwrap_or_default();
    Envelope { deployment: deployment.to_owned(), protocol: PROTOCOL, payload }
}

/// Takes a message of at most `limit` bytes out of its envelope.
///
/// # Errors
///
/// A [`Refusal`] if it is not for this daemon, or not well formed.
pub fn open<T: DeserializeOwned>(
    deployment: &str,
    envelope: &Envelope,
    limit: usize,
) -> Result<T, Refusal> {
    if envelope.deployment != deployment {
        return Err(Refusal::Deployment {
            own: deployment.to_owned(),
            theirs: envelope.deployment.clone(),
        });
    }
    if envelope.protocol != PROTOCOL {
        return Err(Refusal::Protocol { own: PROTOCOL, theirs: envelope.protocol });
    }
    let bounded = options().with_limit(limit as u64);
    bounded.deserialize(&envelope.payload).map_err(|error| Refusal::Malformed(error.to_string()))
}

/// The bytes that a part of a message takes.
pub fn size<T: Serialize>(part: &T) -> usize {
    let size = options().serialized_size(part).unwrap_or(u64::MAX);
    usize::try_from(size).unwrap_or(usize::MAX)
}

fn options() -> impl Options {
    bincode::DefaultOptions::new()
}
