//! What all pages for callers need: who asks, the body, and refusals as answers.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, body::Incoming, header};
use metrics::counter;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{Request, Workspace},
    },
    request::{
        attempt::RETRY_AFTER,
        refusal::{Kind, Refusal},
    },
};

/// Bytes that the body of a request may have.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The time in which a whole body must arrive.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Names a request in answers and in the operators' pages.
pub const REQUEST_ID: &str = "x-request-id";

/// Names what may run at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// When a caller may come back to a daemon that was not ready.
const READY_RETRY: Duration = Duration::from_millis(1_000);

/// Bytes that an idempotency key may have.
const MAX_KEY_BYTES: usize = 128;

/// The workspace that the request's credential stands for.
///
/// # Errors
///
/// [`Kind::NotReady`] while the daemon has no configuration that it can rely on,
/// [`Kind::Unauthorized`].
pub fn workspace(headers: &HeaderMap, context: &Context) -> Result<Workspace, Refusal> {
    if !context.ready.load(Ordering::Acquire) {
        let message = "this daemon has no configuration that it can rely on";
        return Err(Refusal::not_run(Kind::NotReady, message).retry_after(READY_RETRY));
    }
    let unauthorized = |message| Refusal::not_run(Kind::Unauthorized, message);
    let value = headers
        .get(header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok())
        .ok_or_else(|| unauthorized("the authorization header is missing"))?;
    let credential = value
        .strip_prefix("Bearer ")
        .ok_or_else(|| unauthorized("the authorization header is no bearer credential"))?;
    let catalog = context.catalog.load();
    let workspace = catalog.workspace(credential);
    workspace.cloned().ok_or_else(|| unauthorized("the credential is unknown"))
}

/// The request's idempotency key, if it has one.
///
/// # Errors
///
/// [`Kind::InvalidRequest`] for a key that is empty, too long or not of visible ASCII.
pub fn key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let valid = |it: &&str| {
        let length = 1..=MAX_KEY_BYTES;
        length.contains(&it.len()) && it.bytes().all(|it| it.is_ascii_graphic())
    };
    let text = value.to_str().ok().filter(valid);
    text.map(|it| Some(it.to_owned())).ok_or_else(|| {
        let message =
            format!("an idempotency key has 1 to {MAX_KEY_BYTES} visible ASCII characters");
        Refusal::not_run(Kind::InvalidRequest, message)
    })
}

/// A body, with its part of the memory for bodies.
pub struct Whole {
    /// The bytes.
    pub bytes: Bytes,
    /// To be kept for as long as the bytes or what was made of them.
    pub memory: OwnedSemaphorePermit,
}

/// Reads a whole body, in bounded time and memory.
///
/// # Errors
///
/// [`Kind::TooLarge`], [`Kind::SlowRequest`], [`Kind::Overloaded`] if other bodies take all the
/// memory, or [`Kind::InvalidRequest`] if it was cut off.
pub async fn body(context: &Context, body: Incoming) -> Result<Whole, Refusal> {
    let whole = time::timeout(BODY_TIMEOUT, collect(&context.serving.bodies, body)).await;
    whole.unwrap_or_else(|_| {
        let message = format!("the body took longer than {} s", BODY_TIMEOUT.as_secs());
        Err(Refusal::not_run(Kind::SlowRequest, message))
    })
}

async fn collect(bodies: &Arc<Semaphore>, mut body: Incoming) -> Result<Whole, Refusal> {
    let mut memory = reserve(bodies, 1)?;
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Refusal::not_run(Kind::InvalidRequest, "the body was cut off"))?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            let message = format!("the body is longer than {MAX_BODY_BYTES} bytes");
            return Err(Refusal::not_run(Kind::TooLarge, message));
        }
        let missing = length.div_ceil(1024).saturating_sub(memory.num_permits());
        if missing > 0 {
            memory.merge(reserve(bodies, missing)?);
        }
        bytes.extend_from_slice(data);
    }
    Ok(Whole { bytes: bytes.into(), memory })
}

fn reserve(bodies: &Arc<Semaphore>, kib: usize) -> Result<OwnedSemaphorePermit, Refusal> {
    let permits = bodies.clone().try_acquire_many_owned(kib as u32);
    permits.map_err(|_| {
        let message = "the bodies of other requests take all the memory";
        Refusal::not_run(Kind::Overloaded, message).retry_after(RETRY_AFTER)
    })
}

/// The answer that consists of a refusal.
pub fn refuse(refusal: &Refusal, request: Request) -> Response<Body> {
    counter!("tealturn_refusals_total", "status" => refusal.kind.status().as_str().to_owned())
        .increment(1);
    let mut response = server::json(refusal.kind.status(), &refusal.document());
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_millis().div_ceil(1_000) as u64;
        response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    }
    name(&mut response, request);
    response
}

/// Adds the request's identifier to an answer.
pub fn name(response: &mut Response<Body>, request: Request) {
    if let Ok(value) = request.to_string().parse() {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}
