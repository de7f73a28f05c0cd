//! `/s/SERVICE/...`: calls of plain services, passed through.

use std::{io, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header, http::request::Parts,
};
use rand::seq::IteratorRandom;
use tokio::{sync::OwnedSemaphorePermit, time};

use crate::{
    Error,
    http::{
        client::Answer,
        server::{self, Body},
    },
    kernel::{
        context::Context,
        id::{self, Service, Workspace},
        registry::{Handler, Listener, Route},
    },
    platform::vm::Role,
    request::{
        attempt::{MAX_REFUSALS, MAX_RUNS, RETRY_AFTER},
        once::{Answer as Kept, Outcome},
        refusal::{Execution, Kind, Refusal},
    },
    serve::{
        caller::{self, IDEMPOTENCY_KEY},
        once::{self, Claimed, Holder},
    },
    upstream::directory::{Directory, Upstream},
};

/// Marks the repeat of an earlier answer.
const REPLAYED: &str = "idempotency-replayed";

/// The start of all paths of this page.
const PREFIX: &str = "/s/";

/// Tells a service whose call it is.
const WORKSPACE: &str = "x-workspace";

/// An idempotent call is sent to another upstream after this time without an answer.
const REPEAT_AFTER: Duration = Duration::from_millis(2_000);

/// The longest wait for the answer to a call that can't be repeated.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

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
    Route { listener: Listener::Caller, method: None, path: PREFIX, handler: &Services }
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
    /// The memory that the body takes.
    pub memory: Option<Arc<OwnedSemaphorePermit>>,
}

/// What became of a call that may not be repeated.
enum Sent {
    /// It was answered; the answer in the form in which it is kept, if it can be.
    Answer(Response<Body>, Option<Kept>),
    /// It was run, and its answer broke off.
    Cut,
    /// It may have been run.
    Lost,
    /// No byte was sent.
    Nothing,
    /// No byte was sent, nor may be.
    TooLate,
}

#[async_trait]
impl Handler for Services {
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let id = context.next_request_id();
        let (head, body) = request.into_parts();
        let answered = match Call::new(&context, id, &head, body).await {
            Ok((call, key)) => call.answer(&context, key).await,
            Err(refusal) if head.headers.contains_key(IDEMPOTENCY_KEY) => Err(refusal.keyed()),
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
    ) -> Result<(Call, Option<String>), Refusal> {
        let workspace = caller::workspace(&head.headers, context)?;
        let rest = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = Service::from(service);
        if context.catalog.load().service(&workspace, &service).is_none() {
            let message = format!("the workspace has no service {:?}", service.as_str());
            return Err(Refusal::not_run(Kind::UnknownService, message));
        }
        let query = head.uri.query().map(|it| format!("?{it}"));
        let key = caller::key(&head.headers)?;
        let whole = caller::body(context, body).await?;
        let call = Call {
            id,
            workspace,
            service,
            method: head.method.clone(),
            path: format!("/{path}{}", query.unwrap_or_default()),
            headers: forwarded(&head.headers),
            body: whole.bytes,
            memory: Some(Arc::new(whole.memory)),
        };
        Ok((call, key))
    }

    async fn answer(
        self,
        context: &Arc<Context>,
        key: Option<String>,
    ) -> Result<Response<Body>, Refusal> {
        if self.method.is_idempotent() {
            return self.repeat(context).await;
        }
        let Some(key) = key else {
            let message = "a method that is not idempotent needs an idempotency-key header";
            return Err(Refusal::not_run(Kind::KeyMissing, message));
        };
        // What a key holds is run to its end, for those who ask again.
        let context = context.clone();
        let tasks = context.serving.tasks.clone();
        let running = tasks.spawn(async move { self.once(&context, key).await });
        running.await.unwrap_or_else(|_| Err(unanswered(true)))
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

    /// Sends a call that may not be repeated, if it can have its key.
    async fn once(&self, context: &Arc<Context>, key: String) -> Result<Response<Body>, Refusal> {
        let claimed = once::claim(context, self.id, &self.workspace, key, self.digest()).await?;
        let holder = match claimed {
            Claimed::Held(holder) => holder,
            Claimed::Replay(answer) => return Ok(self.replay(answer)),
        };
        match self.send(context, &holder).await {
            Sent::Answer(response, kept) => {
                holder.settle(Outcome::Run(kept));
                Ok(response)
            }
            Sent::Cut => {
                holder.settle(Outcome::Run(None));
                Err(Refusal { run: Execution::Run, ..unanswered(true) })
            }
            Sent::Lost => {
                holder.settle(Outcome::Unknown);
                Err(unanswered(true))
            }
            Sent::Nothing => {
                let outcome = holder.not_run();
                holder.settle(outcome);
                Err(unanswered(false))
            }
            Sent::TooLate => {
                let outcome = holder.not_run();
                holder.settle(outcome);
                Err(unanswered(false).keyed())
            }
        }
    }

    /// Sends a call over a new connection; chooses again only while no byte was sent.
    async fn send(&self, context: &Context, holder: &Holder) -> Sent {
        let mut avoid = Vec::new();
        while avoid.len() < MAX_REFUSALS as usize {
            let Some(upstream) = self.choose(context, &avoid) else {
                return Sent::Nothing;
            };
            avoid.push(upstream.name.clone());
            let Ok(request) = self.request(&upstream) else {
                return Sent::Nothing;
            };
            if !holder.may_send() {
                return Sent::TooLate;
            }
            let send = context.client.send_fresh(upstream.address, request);
            match time::timeout(ANSWER_TIMEOUT, send).await {
                Ok(Ok(answer)) => return self.collect(context, answer).await,
                Ok(Err(Error::Connect { .. })) => {}
                Ok(Err(_)) | Err(_) => return Sent::Lost,
            }
        }
        Sent::Nothing
    }

    /// Reads a whole answer, so that it can be kept.
    async fn collect(&self, context: &Context, answer: Answer) -> Sent {
        let status = answer.response.status();
        let headers = forwarded(answer.response.headers());
        let finish = context.client.finish(answer);
        let Ok(Ok(body)) = time::timeout(ANSWER_TIMEOUT, finish).await else {
            return Sent::Cut;
        };
        let content_type = headers.get(header::CONTENT_TYPE).and_then(|it| it.to_str().ok());
        let kept = std::str::from_utf8(&body).ok().map(|it| Kept::Call {
            status: status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body: it.to_owned(),
        });
        let mut response = server::answer(status, "", body);
        *response.headers_mut() = headers;
        caller::name(&mut response, self.id);
        Sent::Answer(response, kept)
    }

    /// An earlier attempt's answer.
    fn replay(&self, answer: Kept) -> Response<Body> {
        let Kept::Call { status, content_type, body } = answer else {
            unreachable!("the digest of a completion is never that of a call")
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
        let content_type = content_type.unwrap_or_default();
        let mut response = server::answer(status, &content_type, body);
        let replayed = header::HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED, replayed);
        caller::name(&mut response, self.id);
        response
    }

    /// The digest of what is asked.
    fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(b"call");
        for field in [self.service.as_str(), self.method.as_str(), &self.path] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(&self.body);
        hasher.finalize().to_hex().to_string()
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
