//! What callers, upstreams and operators speak. An adapter implements these traits; the gateway
//! decides.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use http::request;
use hyper::{HeaderMap, Response, StatusCode};
use thiserror::Error;

use crate::{
    gateway::{
        call::{Ask, Call, Dispatch},
        document::Document,
        roster::{Endpoint, Record},
        store::Row,
    },
    http::server::Body,
    kernel::{
        clock::Time,
        id::{Model, Version},
    },
};

/// Why a call has no answer of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The request can't be read.
    Malformed,
    /// The key is of no workspace.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The body is too large.
    TooLarge,
    /// It was not run and never will be; the caller may come back.
    NotRun(Duration),
    /// It may have run; its answer is lost.
    Lost,
    /// It may have run; it took too long.
    TimedOut,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// Whether it answers the request that was sent.
    pub matches_request: bool,
    /// Whether the upstream says that it ran nothing.
    pub not_run: bool,
    /// Whether another run or another process has the address.
    pub misdirected: bool,
    /// Whether a success bears the upstream's signature.
    pub signed: bool,
}

/// What an operator wrote.
#[derive(Debug)]
pub enum OperatorRow {
    /// A whole document.
    Document(Arc<Document>),
    /// The weights that a model should be served by.
    Weights(Model, Version),
    /// A row of no concern.
    Other,
}

/// A row that can't be decoded.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct DecodeError(pub String);

/// The language of callers, and of the requests that upstreams get.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`Refusal::Malformed`].
    fn parse_request(&self, head: &request::Parts) -> Result<Ask, Refusal>;

    /// Completes the headers of a request to an upstream.
    fn write_request_headers(&self, call: &Call, dispatch: &Dispatch, headers: &mut HeaderMap);

    /// Reads the head of an upstream's answer.
    fn parse_response(&self, call: &Call, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// The answer to a call that has none of an upstream.
    fn error_response(&self, refusal: Refusal) -> Response<Body>;
}

/// The language of the rows that others write to the store.
pub trait Schema: Send + Sync {
    /// Decodes what an operator wrote.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the reason.
    fn decode_operator_row(&self, row: &Row) -> Result<OperatorRow, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] with the reason.
    fn decode_upstream(&self, row: &Row) -> Result<Record, DecodeError>;
}

/// An engine's state, which lags.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Report {
    /// The weights that it has.
    pub weights: Vec<(Model, Version)>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
}

/// An order to load weights.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The model.
    pub model: Model,
    /// The weights to load.
    pub version: Version,
    /// Who gives it.
    pub holder: String,
    /// The fencing token of the lease under which it is given.
    pub fence: u64,
    /// The count of accepted orders that the engine must have; it refuses otherwise.
    pub expected: u64,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResponse {
    /// It is carried out, or was before.
    Yes,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// Refused for good.
    Refused(u16),
}

/// The engines' control calls.
#[async_trait]
pub trait Engines: Send + Sync {
    /// Asks an engine for its state; `None` if there is no answer.
    async fn report(&self, engine: &Endpoint) -> Option<Report>;

    /// Gives an order unless `until` has passed when it would be sent; `None` if there is no
    /// answer, so that it may be carried out later.
    async fn order(&self, engine: &Endpoint, order: &Order, until: Time) -> Option<OrderResponse>;
}
