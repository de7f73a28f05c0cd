//! Reads callers' requests and checks whether they may be served.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::request;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Incoming},
    header,
};
use metrics::counter;
use tokio::time;
use tracing::info;

use crate::{
    gateway::{
        call::{Call, Head},
        context::Context,
        dialect::Refusal,
        document::{Document, Tenant},
        relay,
    },
    http::{
        memory::Buffer,
        server::{Body, Handler, Limits},
    },
};

/// The timeout of a request that specifies none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// The timeout for reading a body, even if the caller's deadline is later.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What a call in progress is counted as besides its body and its answer: the buffers of its two
/// connections and its own state. It bounds the calls of the smallest VMs to 187 (with 128 KiB, 234 calls took 90 MB once); without a bound, 631 calls
/// with endless answers took 112 to 130 MB of their 88 MB, and 314 took 87 MB.
const CALL_BYTES: usize = 160 * 1024;

/// The retry delay sent to callers while this daemon has no confirmed document, and to those whose
/// request body did not arrive in time.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The retry delay sent to callers whose call this daemon doesn't begin because it leaves. Another one
/// may take it at once.
pub const LEAVING_RETRY_AFTER: Duration = Duration::ZERO;

/// Headers that are not forwarded: hop-by-hop ones, and those that govern the transfer of a body
/// over one connection.
const CONNECTION_HEADERS: &[header::HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// Handles requests from callers.
pub struct Entry(pub Arc<Context>);

#[async_trait]
impl Handler for Entry {
    fn limits(&self) -> Limits {
        let document = self.0.document.load();
        document.as_ref().map_or_else(Limits::default, |it| Limits {
            header_bytes: it.limits.header_bytes,
            idle: it.limits.idle,
        })
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let context = &self.0;
        let mut hold = context.calls.hold();
        let mut response = match hold.resize(CALL_BYTES) {
            true => match read_in_time(context, request).await {
                Ok(call) => {
                    let response = relay::relay(context.clone(), call).await;
                    response.map(|it| hold.keep_body(it))
                }
                Err(refusal) => context.dialect.error_response(refusal),
            },
            false => {
                counter!("tealturn_calls_over_memory_total").increment(1);
                info!(
                    used = context.calls.used(),
                    limit = context.calls.limit(),
                    "call refused: calls in progress take all memory that they may"
                );
                context.dialect.error_response(Refusal::NotRun(UNCONFIRMED_RETRY_AFTER))
            }
        };
        if context.leaving.is_cancelled() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Reads and validates a request, unless the daemon closes before it has arrived.
async fn read_in_time(context: &Context, request: Request<Incoming>) -> Result<Call, Refusal> {
    tokio::select! {
        call = read(context, request) => call,
        () = context.closing.cancelled() => Err(Refusal::NotRun(LEAVING_RETRY_AFTER)),
    }
}

/// Reads and validates a request.
async fn read(context: &Context, request: Request<Incoming>) -> Result<Call, Refusal> {
    let received = context.now();
    let (parts, body) = request.into_parts();
    let head = context.dialect.parse_request(&parts)?;
    let document = context.document.load_full().ok_or(Refusal::NotRun(UNCONFIRMED_RETRY_AFTER))?;
    let (route, tenant) = match authorize(context, &document, &head, &parts) {
        Ok(found) => found,
        Err(refusal) => {
            info!(
                attempt = head.attempt,
                ?refusal,
                document = document.version,
                "request refused before any upstream was selected"
            );
            return Err(refusal);
        }
    };
    let timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let buffer = Buffer::new(context.calls.hold(), document.limits.body_bytes);
    let body = read_body(body, buffer, document.limits.body_bytes, timeout).await?;
    let target = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    Ok(Call {
        target: target.to_owned(),
        method: parts.method,
        headers: end_to_end(&parts.headers),
        head,
        route,
        tenant,
        body,
        received,
        deadline: received + timeout,
    })
}

/// The route of a request, and its tenant if the route needs a key.
type Grant = (Arc<crate::gateway::document::Route>, Option<Arc<Tenant>>);

/// Finds the route and the tenant. While the document is not confirmed, the caller is asked to
/// retry if there is no route, because one may have been added, and if the route needs a key,
/// because the key may have been added or revoked.
fn authorize(
    context: &Context,
    document: &Document,
    head: &Head,
    parts: &request::Parts,
) -> Result<Grant, Refusal> {
    let is_confirmed = context.freshness.is_within(context.settings.revocation, context.now());
    let if_confirmed = |refusal| {
        if is_confirmed { refusal } else { Refusal::NotRun(UNCONFIRMED_RETRY_AFTER) }
    };
    let route = document.route(&head.host, parts.uri.path());
    let route = route.ok_or_else(|| if_confirmed(Refusal::NoRoute))?;
    if !document.needs_key(route) {
        return Ok((route.clone(), None));
    }
    if !is_confirmed {
        return Err(Refusal::NotRun(UNCONFIRMED_RETRY_AFTER));
    }
    let tenant = head.key.as_deref().and_then(|it| document.tenant(it));
    let tenant = tenant.ok_or(Refusal::UnknownKey)?;
    Ok((route.clone(), Some(tenant.clone())))
}

async fn read_body(
    mut body: Incoming,
    mut whole: Buffer,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Refusal::TooLarge);
    }
    let read = async {
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::Malformed)?;
            let Some(bytes) = frame.data_ref() else { continue };
            if whole.push(bytes) {
                continue;
            }
            if whole.len() + bytes.len() > max_bytes {
                return Err(Refusal::TooLarge);
            }
            counter!("tealturn_calls_over_memory_total").increment(1);
            return Err(Refusal::NotRun(UNCONFIRMED_RETRY_AFTER));
        }
        Ok(())
    };
    match time::timeout(timeout.min(BODY_TIMEOUT), read).await {
        Ok(read) => read.map(|()| whole.finish()),
        Err(_) => Err(Refusal::NotRun(UNCONFIRMED_RETRY_AFTER)),
    }
}

/// Returns the headers without those that apply to one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let connection_options =
        headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    for name in connection_options.flat_map(|it| it.split(',')) {
        kept.remove(name.trim());
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept.remove("proxy-connection");
    kept
}
