//! Traits for the protocols of callers, upstreams, operators and engines. Adapters implement them;
//! the gateway makes the decisions.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use http::request;
use hyper::{HeaderMap, Response, StatusCode};
use thiserror::Error;

use crate::{
    gateway::{
        call::{Call, Dispatch, Forward, Head},
        document::Document,
        limit::Statement,
        roster::{Endpoint, Record},
        store::Row,
    },
    http::server::Body,
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version},
    },
};

/// Why a call gets an error from the gateway instead of an upstream's response. This includes calls
/// that an upstream may have executed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request can't be parsed.
    Malformed,
    /// The key belongs to no workspace.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// The call was not executed and never will be; the caller may retry after this delay. The
    /// variant's name is written to the log.
    NotRun(Duration),
    /// The quota of the workspace does not admit the call, which was not executed and never will be; the
    /// caller may retry after this delay.
    OverQuota(Duration),
    /// The call may have been executed, but its response was lost.
    Lost,
    /// The call may have been executed, but timed out.
    TimedOut,
}

/// What an upstream says of itself in the head of any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it announces that it leaves.
    pub leaving: bool,
    /// The limit on the requests that it takes.
    pub limit: Statement,
    /// The limit on the rejections in a second, beyond which it falls over.
    pub brittleness: Statement,
}

/// What the head of an upstream's response shows about the attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    /// Whether the response belongs to the request that was sent.
    pub matches_request: bool,
    /// The other attempt that the response names, if it doesn't belong to the request.
    pub other_attempt: Option<String>,
    /// Whether the upstream reports that it did not execute the call.
    pub not_executed: bool,
    /// Whether the address now belongs to another incarnation or another process.
    pub misdirected: bool,
    /// Whether a successful response carries the upstream's signature.
    pub signed: bool,
    /// What the upstream says of itself.
    pub notice: Notice,
    /// How long the upstream, which turned the call away, asks for no calls.
    pub pause: Option<Duration>,
    /// The weights of which the response is.
    pub version: Option<Version>,
}

/// A field of an event that the format of event streams does not define.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Field {
    /// No event has it.
    Foreign,
    /// The weights of which the stream is from this event on.
    Weights(Version),
}

/// A decoded row of the operator's topic.
#[derive(Debug)]
pub enum Directive {
    /// A complete document.
    Document(Arc<Document>),
    /// The version of the weights that a model should serve.
    Weights(Model, Version),
    /// A row that the gateway ignores.
    Other,
}

/// Why a row can't be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct Error(pub String);

/// What the events of upstreams' streams have besides the format of event streams.
pub trait Format: Send + Sync {
    /// Parses a field that the format does not define. A line without a colon is a name.
    fn parse_field(&self, name: &[u8], value: &[u8]) -> Field;

    /// Whether each event with data has an identifier.
    fn identifies_events(&self) -> bool;
}

/// The HTTP conventions of callers and upstreams.
pub trait Dialect: Format {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Refusal::Malformed`] if a header is missing or invalid.
    fn parse_request(&self, head: &request::Parts) -> Result<Head, Refusal>;

    /// Sets the protocol's headers on a request to an upstream.
    fn write_request_headers(&self, call: &Call, dispatch: &Dispatch, headers: &mut HeaderMap);

    /// Sets the protocol's headers on a call that is passed on to another daemon, which keeps those
    /// of the caller.
    fn write_forwarded_headers(&self, forward: &Forward, headers: &mut HeaderMap);

    /// Names the upstream that answers, for the daemon that passed the call on.
    fn name_upstream(&self, upstream: &Endpoint, headers: &mut HeaderMap);

    /// Takes the name of the upstream and its process out of an answer that came through another daemon.
    fn take_upstream(&self, headers: &mut HeaderMap) -> Option<(Upstream, Incarnation)>;

    /// Parses the head of an upstream's response.
    fn parse_response(&self, call: &Call, status: StatusCode, headers: &HeaderMap) -> Evidence;

    /// Whether callers take an answer of this status as a statement that the call has not run and never
    /// will.
    fn denies_execution(&self, status: StatusCode) -> bool;

    /// The retry delay that a refusal names.
    fn retry_after(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Builds the response to a call that the gateway refuses.
    fn error_response(&self, refusal: Refusal) -> Response<Body>;
}

/// Decodes rows that other processes write to the store.
pub trait Schema: Send + Sync {
    /// Decodes a row written by the operator.
    ///
    /// # Errors
    ///
    /// [`Error`](struct@Error) with the reason.
    fn decode_operator_row(&self, row: &Row) -> Result<Directive, Error>;

    /// Decodes an upstream's registration.
    ///
    /// # Errors
    ///
    /// [`Error`](struct@Error) with the reason.
    fn decode_upstream(&self, row: &Row) -> Result<Record, Error>;
}

/// The state that an engine reports, which may be out of date.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The loaded weights.
    pub weights: Vec<(Model, Version)>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
}

/// An order to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Model whose weights to load.
    pub model: Model,
    /// Version of the weights to load.
    pub version: Version,
    /// The daemon that sends the order.
    pub holder: String,
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// The engine rejects the order unless it has accepted exactly this many orders.
    pub expected_orders: u64,
}

/// An engine's response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The order is being executed, or was already. The variant's name is written to the log.
    Yes,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// Permanently rejected, with this HTTP status: the order is not sent again in the same load.
    Refused(u16),
}

/// An engine's answer to a control call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Answer<T> {
    /// What the engine says of itself; `None` if no head of an answer arrived.
    pub notice: Option<Notice>,
    /// What it answered; `None` if there is no valid response, or nothing was sent.
    pub content: Option<T>,
}

impl<T> Default for Answer<T> {
    fn default() -> Answer<T> {
        Answer { notice: None, content: None }
    }
}

/// Client of the engines' control API.
#[async_trait]
pub trait Engines: Send + Sync {
    /// Requests an engine's state.
    async fn report(&self, engine: &Endpoint) -> Answer<Report>;

    /// Sends an order unless `until` has passed by the time of sending. If there is no response,
    /// the engine may still execute it later.
    async fn order(&self, engine: &Endpoint, order: &Order, until: Time) -> Answer<Reply>;
}
