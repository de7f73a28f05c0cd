//! `/s/SERVICE/...`: calls of plain services, passed through.

use std::{io, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, body::Incoming, header, http::request::Parts};
use rand::seq::IteratorRandom;
use tokio::time;

use crate::{
    Error,
    http::{client::Answer, server::Body},
    kernel::{
        context::Context,
        id::{self, Service, Workspace},
        part::{Audience, Page, Route},
    },
    platform::vm::Role,
    request::{
        attempt::{MAX_REFUSALS, MAX_RUNS, RETRY_AFTER},
        refusal::{Execution, Kind, Refusal},
    },
    serve::caller,
    upstream::directory::{Directory, Upstream},
};

/// The start of all paths of this page.
const PREFIX: &str = "/s/";

/// Tells a service whose call it is.
const WORKSPACE: &str = "x-workspace";

/// An idempotent call is sent to another upstream after this time without an answer.
const REPEAT_AFTER: Duration = Duration::from_millis(2_000);

/// The longest wait for the answer to a call that can't be repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that concern one connection only, or that the daemon sets or consumes itself.
const OWN_HEADERS: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    caller::REQUEST_ID,
    WORKSPACE,
];

struct Services;

inventory::submit! {
    Route { audience: Audience::Caller, method: None, path: PREFIX, page: &Services }
}

/// A call to pass through.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub id: id::Request,
    /// Whose it is.
    pub workspace: Workspace,
    /// The service.
    pub service: Service,
    /// The method.
    pub method: Method,
    /// The path at the service, with its query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

#[async_trait]
impl Page for Services {
    async fn answer(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let id = context.next_request();
        let (head, body) = request.into_parts();
        let answered = match Call::new(&context, id, &head, body).await {
            Ok(call) => call.answer(&context, &head).await,
            Err(refusal) => Err(refusal),
        };
        answered.unwrap_or_else(|refusal| caller::refuse(&refusal, id))
    }
}

impl Call {
    async fn new(
        context: &Context,
        id: id::Request,
        head: &Parts,
        body: Incoming,
    ) -> Result<Call, Refusal> {
        let workspace = caller::workspace(&head.headers, context)?;
        let rest = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = Service::from(service);
        if context
            .catalog
            .load()
            .service(&workspace, &service)
            .is_none()
        {
            let message = format!("the workspace has no service {:?}", service.as_str());
            return Err(Refusal::not_run(Kind::UnknownService, message));
        }
        let query = head.uri.query().map(|it| format!("?{it}"));
        Ok(Call {
            id,
            workspace,
            service,
            method: head.method.clone(),
            path: format!("/{path}{}", query.unwrap_or_default()),
            headers: forwarded(&head.headers),
            body: caller::body(body).await?,
        })
    }

    async fn answer(&self, context: &Context, head: &Parts) -> Result<Response<Body>, Refusal> {
        let key = caller::key(&head.headers)?;
        if self.method.is_idempotent() {
            return self.repeat(context).await;
        }
        if key.is_none() {
            let message = "a method that is not idempotent needs an idempotency-key header";
            return Err(Refusal::not_run(Kind::KeyMissing, message));
        }
        self.once(context).await
    }

    /// Sends an idempotent call until it is answered.
    async fn repeat(&self, context: &Context) -> Result<Response<Body>, Refusal> {
        let (mut runs, mut refusals) = (0, 0);
        let mut avoid = Vec::new();
        while runs < MAX_RUNS && refusals < MAX_REFUSALS {
            let Some(upstream) = self.choose(context, &avoid) else {
                break;
            };
            avoid.push(upstream.name.clone());
            let request = self.request(&upstream)?;
            let send = context.client.send(upstream.address, request);
            match time::timeout(REPEAT_AFTER, send).await {
                Ok(Ok(answer)) => return Ok(self.pass(answer)),
                Ok(Err(Error::Connect { .. })) => refusals += 1,
                Ok(Err(_)) | Err(_) => {
                    runs += 1;
                    context.client.forget(upstream.address);
                }
            }
        }
        Err(unanswered(runs > 0))
    }

    /// Sends a call that may not be repeated, over a new connection; chooses again only while
    /// no byte was sent.
    async fn once(&self, context: &Context) -> Result<Response<Body>, Refusal> {
        let mut avoid = Vec::new();
        while let Some(upstream) = self.choose(context, &avoid) {
            avoid.push(upstream.name.clone());
            let request = self.request(&upstream)?;
            let send = context.client.send_fresh(upstream.address, request);
            match time::timeout(ANSWER_TIMEOUT, send).await {
                Ok(Ok(answer)) => return Ok(self.pass(answer)),
                Ok(Err(Error::Connect { .. })) => {}
                Ok(Err(_)) | Err(_) => return Err(unanswered(true)),
            }
            if avoid.len() >= MAX_REFUSALS as usize {
                break;
            }
        }
        Err(unanswered(false))
    }

    /// The less loaded of two upstreams of the service, drawn at random.
    fn choose(&self, context: &Context, avoid: &[id::Upstream]) -> Option<Arc<Upstream>> {
        let directory: Arc<Directory> = context.directory.load_full();
        let serves = |it: &&Arc<Upstream>| {
            let plain = matches!(&it.role, Role::Plain { service } if *service == self.service);
            plain && it.is_open() && !avoid.contains(&it.name)
        };
        let upstreams = directory.upstreams().iter().filter(serves);
        let drawn = upstreams.sample(&mut rand::rng(), 2);
        let load = |it: &Arc<Upstream>| it.load.as_ref().map_or(0, |it| it.running + it.queued);
        drawn.into_iter().min_by_key(|it| load(it)).cloned()
    }

    fn request(&self, upstream: &Upstream) -> Result<Request<Full<Bytes>>, Refusal> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(header::HOST, upstream.address.to_string())
            .header(caller::REQUEST_ID, self.id.to_string())
            .header(WORKSPACE, self.workspace.as_str());
        if let Some(headers) = builder.headers_mut() {
            headers.extend(self.headers.clone());
        }
        builder
            .body(Full::new(self.body.clone()))
            .map_err(|error| Refusal::not_run(Kind::InvalidRequest, error.to_string()))
    }

    /// Passes an answer on as it arrives.
    fn pass(&self, answer: Answer) -> Response<Body> {
        let (mut head, body) = answer.response.into_parts();
        head.headers = forwarded(&head.headers);
        let body = body.map_err(io::Error::other).boxed();
        let mut response = Response::from_parts(head, body);
        caller::name(&mut response, self.id);
        response
    }
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in OWN_HEADERS {
        forwarded.remove(*name);
    }
    forwarded
}

fn unanswered(sent: bool) -> Refusal {
    let refusal = match sent {
        true => Refusal {
            run: Execution::Unknown,
            ..Refusal::not_run(Kind::Incomplete, "the service did not answer")
        },
        false => Refusal::not_run(Kind::NoUpstream, "no upstream serves this now"),
    };
    refusal.retry_after(RETRY_AFTER)
}
