//! Reads callers' requests and finds out whether they may be served.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use http::request;
use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Request, Response,
    body::{Body as _, Incoming},
    header,
};
use tokio::time;
use tracing::info;

use crate::{
    gateway::{
        call::{Ask, Call},
        context::Context,
        dialect::Refusal,
        document::{Document, Tenant},
        relay,
    },
    http::server::{Body, Handler, Limits},
};

/// The deadline of a request that names none.
const DEFAULT_WAIT: Duration = Duration::from_secs(60);

/// The longest wait for a body, also if the caller's deadline is later.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// When to come back to a daemon that does not know the configuration in force.
const UNCONFIRMED_RETRY: Duration = Duration::from_millis(300);

/// Headers that concern one connection only.
const HOP_HEADERS: &[header::HeaderName] = &[
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

/// Answers callers.
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
        let mut response = match read(context, request).await {
            Ok(call) => relay::relay(context.clone(), call).await,
            Err(refusal) => context.dialect.error_response(refusal),
        };
        if context.leaving.is_cancelled() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

/// Reads a request.
async fn read(context: &Context, request: Request<Incoming>) -> Result<Call, Refusal> {
    let received = context.now();
    let (head, body) = request.into_parts();
    let ask = context.dialect.parse_request(&head)?;
    let document = context.document.load_full().ok_or(Refusal::NotRun(UNCONFIRMED_RETRY))?;
    let (route, tenant) = match admit(context, &document, &ask, &head) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            info!(attempt = ask.attempt, ?refusal, document = document.version, "refused");
            return Err(refusal);
        }
    };
    let wait = ask.wait.unwrap_or(DEFAULT_WAIT).min(route.timeout);
    let body = collect(body, document.limits.body_bytes, wait).await?;
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str());
    Ok(Call {
        target: target.to_owned(),
        method: head.method,
        headers: end_to_end(&head.headers),
        ask,
        route,
        tenant,
        body,
        received,
        deadline: received + wait,
    })
}

type Admitted = (Arc<crate::gateway::document::Route>, Option<Arc<Tenant>>);

/// Finds route and workspace. Without a fresh document neither a missing route nor an unknown key
/// is certain.
fn admit(
    context: &Context,
    document: &Document,
    ask: &Ask,
    head: &request::Parts,
) -> Result<Admitted, Refusal> {
    let fresh = context.freshness.is_within(context.settings.revocation, context.now());
    let unless_stale = |refusal| if fresh { refusal } else { Refusal::NotRun(UNCONFIRMED_RETRY) };
    let route = document.route(&ask.host, head.uri.path());
    let route = route.ok_or_else(|| unless_stale(Refusal::NoRoute))?;
    if !document.needs_key(route) {
        return Ok((route.clone(), None));
    }
    if !fresh {
        return Err(Refusal::NotRun(UNCONFIRMED_RETRY));
    }
    let tenant = ask.key.as_deref().and_then(|it| document.tenant(it));
    let tenant = tenant.ok_or(Refusal::UnknownKey)?;
    Ok((route.clone(), Some(tenant.clone())))
}

async fn collect(body: Incoming, most: usize, wait: Duration) -> Result<bytes::Bytes, Refusal> {
    if body.size_hint().lower() > most as u64 {
        return Err(Refusal::TooLarge);
    }
    let read = Limited::new(body, most).collect();
    match time::timeout(wait.min(BODY_TIMEOUT), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::Malformed),
        Err(_) => Err(Refusal::NotRun(UNCONFIRMED_RETRY)),
    }
}

/// The headers that do not concern one connection only.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named = headers.get_all(header::CONNECTION).iter().filter_map(|it| it.to_str().ok());
    for name in named.flat_map(|it| it.split(',')) {
        kept.remove(name.trim());
    }
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept.remove("proxy-connection");
    kept
}
