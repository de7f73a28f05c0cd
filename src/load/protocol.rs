//! The router's interface as its callers see it. Defined apart from the router's own types, so
//! that a change of the interface by mistake shows.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::kernel::id::Zone;

/// The answer to `GET /v1/addresses`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Addresses {
    /// The daemons to use.
    pub addresses: Vec<Address>,
    /// How long the list may be kept, in milliseconds.
    pub lifetime_ms: u64,
}

/// A daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Address {
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
}

/// The body of `POST /v1/completions`.
#[derive(Clone, Debug, Serialize)]
pub struct Completion<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The length of the answer, in tokens.
    pub max_tokens: u32,
    /// Whether the answer is sent as server-sent events.
    pub stream: bool,
    /// Byte offsets where the shared levels of the prompt end.
    pub levels: &'a [usize],
    /// The time that the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// A piece of an answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Chunk {
    /// The place of its first token in the answer.
    pub offset: u64,
    /// The text.
    pub choices: Vec<Choice>,
    /// Given with the last piece.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// The text of a piece.
#[derive(Clone, Debug, Deserialize)]
pub struct Choice {
    /// The text.
    pub text: String,
    /// Given with the last piece.
    pub finish_reason: Option<String>,
}

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// More about the prompt.
    #[serde(default)]
    pub prompt_tokens_details: Details,
}

/// More about the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
pub struct Details {
    /// Tokens that were in the engine's cache.
    pub cached_tokens: u64,
}

/// The body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Refusal {
    /// Its only member.
    pub error: Detail,
}

/// Why a request was refused.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Detail {
    /// The kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// A sentence for people.
    pub message: String,
    /// Whether it was run.
    pub run: Execution,
    /// When to come back, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// Whether a request was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It was not, and will not be.
    NotRun,
    /// It was.
    Run,
    /// It may have been, or may still be.
    Unknown,
}
