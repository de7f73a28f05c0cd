//! The published protocol of the model engines (HTTP, JSON bodies).
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/completions` with a [`Completion`] | 200, server-sent events of [`Chunk`], then `[DONE]` |
//! | `GET /v1/streams/ID?offset=N` | the same stream from token N on, or 404 if this run of the engine does not know it |
//! | `DELETE /v1/streams/ID` | 204; the stream is cancelled |
//! | `GET /v1/load` | 200 [`Load`], which lags |
//! | `GET /v1/events?after=SEQ` | 200 [`Events`], late and with gaps |
//! | `GET /v1/state` | 200 [`State`] |
//! | `POST /v1/orders` with an [`Order`] | 200 [`State`], or 409 when fenced |
//! | `POST /v1/kv/export` with an [`Export`] | 200, [`Exported`] |
//! | `POST /v1/kv/import` with an [`Import`] | 200, [`Imported`], or 409 |
//!
//! Refusals carry a [`Refusal`]. Statuses: 409 for another model, adapter or version than the
//! one asked for, 429 when full, 503 when leaving; with these three nothing was run.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    kernel::id::{Adapter, Incarnation, Model, Request, Version},
    prefix::{Hash, Salt},
};

/// A request for a completion.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Completion {
    /// The attempt's identifier, by which the stream can be resumed or cancelled.
    pub request_id: Request,
    /// The model that must answer.
    pub model: Model,
    /// The adapter that must answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Adapter>,
    /// The version of the weights that must answer.
    pub version: Version,
    /// Mixed into the hashes of cached blocks.
    pub cache_salt: Salt,
    /// The prompt.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// Served first when higher.
    pub priority: u8,
    /// Always true: answers are streamed.
    pub stream: bool,
    /// Tokens of the answer that the caller has already: the answer starts after them. Engines
    /// decode deterministically, so the rest is the same on each of them.
    #[serde(default)]
    pub skip_tokens: u64,
}

/// One event of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Chunk {
    /// The attempt that it answers.
    pub id: Request,
    /// The run of the engine that computed it.
    pub incarnation: Incarnation,
    /// The version of the weights that computed it.
    pub version: Version,
    /// The place of the first token of `choices` in the answer, from 0.
    pub offset: u64,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Given with the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Text of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Choice {
    /// The text.
    pub text: String,
    /// Tokens in `text`.
    pub tokens: u32,
    /// Why the answer ended; `None` if it goes on.
    pub finish_reason: Option<Finish>,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// It is complete.
    Stop,
    /// It reached `max_tokens`.
    Length,
    /// It was cancelled.
    Cancelled,
}

/// What an answer cost.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the cache.
    pub cached_tokens: u64,
    /// Tokens of the whole answer, skipped ones included.
    pub completion_tokens: u64,
}

/// Why an engine ran nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// A short code: `mismatch`, `full`, `leaving`, `fenced`, `invalid` or `unknown_stream`.
    pub code: String,
    /// A sentence for people.
    pub message: String,
    /// The run of the engine.
    pub incarnation: Incarnation,
}

/// An engine's load report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Age of the figures when they were sent, in milliseconds.
    pub age_ms: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Prompt tokens still to prefill, of running and queued requests.
    pub prefill_tokens: u64,
    /// The most requests that the batch takes.
    pub batch: u32,
    /// Prompt tokens prefilled a second when it does nothing else.
    pub prefill_rate: u64,
    /// Whether it goes.
    pub leaving: bool,
    /// What it has loaded.
    pub state: State,
}

/// A batch of cache events.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Events {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// The events kept after the sequence number asked for. A number that is missing was lost.
    pub events: Vec<Event>,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Counted from 1 for each run of the engine.
    pub seq: u64,
    /// What changed.
    pub change: Change,
}

/// What a cache event tells.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Blocks were stored.
    Stored(Vec<Hash>),
    /// Blocks were evicted.
    Removed(Vec<Hash>),
    /// The cache was emptied.
    Cleared,
}

/// What an engine has loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct State {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Models ready to serve.
    pub loaded: Vec<Weights>,
    /// Models being loaded.
    pub loading: Vec<Weights>,
    /// What it is used for.
    pub role: Role,
    /// The highest fencing number seen with an order.
    pub fence: u64,
}

/// Weights of one version, with the adapters on top of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// The model.
    pub model: Model,
    /// The version.
    pub version: Version,
    /// The adapters.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// What an engine is used for.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Whole requests.
    #[default]
    Serve,
    /// Nothing; it is kept ready.
    Standby,
}

/// The whole state that an engine should have. Repeating an order changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The fencing number of the lease under which it is given.
    pub fence: u64,
    /// The models that should be loaded, and no others.
    pub weights: Vec<Weights>,
    /// What the engine should be used for.
    pub role: Role,
}

/// Asks an engine to write cached blocks to a KV store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Export {
    /// The blocks, from the first of the prompt on.
    pub blocks: Vec<Hash>,
    /// The salt of their owner.
    pub cache_salt: Salt,
    /// Where the KV store listens.
    pub store: SocketAddr,
}

/// What an export wrote.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exported {
    /// The run of the engine that wrote them.
    pub incarnation: Incarnation,
    /// How many blocks, from the first on, are in the store now.
    pub blocks: u64,
}

/// Asks an engine to read blocks from a KV store into its cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Import {
    /// The blocks, from the first of the prompt on.
    pub blocks: Vec<Hash>,
    /// The salt of their owner.
    pub cache_salt: Salt,
    /// The model they were computed by.
    pub model: Model,
    /// The version they were computed by.
    pub version: Version,
    /// The run of the engine that exported them.
    pub exporter: Incarnation,
    /// Where the KV store listens.
    pub store: SocketAddr,
}

/// What an import read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Imported {
    /// How many blocks, from the first on, are in the cache now.
    pub blocks: u64,
}
