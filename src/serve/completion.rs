//! `POST /v1/completions`: completions by a model.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header};
use serde::Deserialize;
use tokio::{sync::mpsc, time};

use crate::{
    catalog::{Grant, Target},
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{self, Model},
        registry::{Handler, Listener, Route},
    },
    prefix::{self, BLOCK_BYTES, Chain, Owner},
    request::{
        attempt::Rules,
        refusal::{Execution, Kind, Refusal},
        suspect::Fingerprint,
    },
    serve::{
        answer::{Events, Form, HEARTBEAT, Part},
        caller::{self, IDEMPOTENCY_KEY},
        job::Job,
        place::Subject,
    },
    upstream::wire::Completion,
};

/// The deadline of a request that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// The longest deadline that a request may name.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Tokens that an answer may have.
const MAX_TOKENS: u32 = 131_072;

/// Levels that a request may name.
const MAX_LEVELS: usize = 16;

/// Parts of an answer that wait for a slow caller.
const WAITING_PARTS: usize = 16;

struct Completions;

inventory::submit! {
    Route {
        listener: Listener::Caller,
        method: Some(Method::POST),
        path: "/v1/completions",
        handler: &Completions,
    }
}

/// The body of a request.
#[derive(Clone, Debug, Deserialize)]
pub struct Ask {
    /// The model.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// Whether the answer is sent as it arises.
    #[serde(default)]
    pub stream: bool,
    /// Where the shared levels of the prompt end, in bytes.
    #[serde(default)]
    pub levels: Vec<usize>,
    /// How long the caller waits, in milliseconds.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}

#[async_trait]
impl Handler for Completions {
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let id = context.next_request_id();
        let (head, body) = request.into_parts();
        let answered = match prepare(&context, id, &head.headers, body).await {
            Ok(prepared) => prepared.answer().await,
            Err(refusal) if head.headers.contains_key(IDEMPOTENCY_KEY) => Err(refusal.keyed()),
            Err(refusal) => Err(refusal),
        };
        answered.unwrap_or_else(|refusal| caller::refuse(&refusal, id))
    }
}

/// A request that was found to be valid.
struct Prepared {
    form: Form,
    stream: bool,
    job: Job,
}

async fn prepare(
    context: &Arc<Context>,
    id: id::Request,
    headers: &HeaderMap,
    body: Incoming,
) -> Result<Prepared, Refusal> {
    let workspace = caller::workspace(headers, context)?;
    let key = caller::key(headers)?;
    let whole = caller::body(context, body).await?;
    let ask = Ask::parse(&whole.bytes)?;
    let grant = {
        let catalog = context.catalog.load();
        catalog.model(&workspace, &ask.model).cloned()
    };
    let mut grant = grant.ok_or_else(|| {
        let message = format!("the workspace has no model {:?}", ask.model.as_str());
        Refusal::not_run(Kind::UnknownModel, message)
    })?;
    context.rollout.resolve(&mut grant);
    let form = Form { request: id, model: ask.model.clone() };
    let stream = ask.stream;
    let mut job = job(context, id, &grant, ask)?;
    job.memory = Some(whole.memory);
    job.key = key.filter(|_| !job.rules.idempotent);
    Ok(Prepared { form, stream, job })
}

impl Prepared {
    async fn answer(self) -> Result<Response<Body>, Refusal> {
        let (sender, receiver) = mpsc::channel(WAITING_PARTS);
        let context = self.job.context.clone();
        context.serving.tasks.spawn(self.job.run(sender));
        if self.stream {
            streamed(self.form, receiver).await
        } else {
            whole(&self.form, receiver).await
        }
    }
}

fn job(context: &Arc<Context>, id: id::Request, grant: &Grant, ask: Ask) -> Result<Job, Refusal> {
    let Target::Model { model, adapter, version, billable } = &grant.target else {
        let message = "the name stands for a service";
        return Err(Refusal::not_run(Kind::UnknownModel, message));
    };
    let owner = Owner {
        workspace: grant.workspace.clone(),
        model: model.clone(),
        adapter: adapter.clone(),
        version: *version,
    };
    let salt = owner.salt();
    let chain = Chain::new(&salt, ask.prompt.as_bytes());
    let wait = ask.deadline_ms.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let subject = Subject {
        fingerprint: Fingerprint::new(&grant.workspace, ask.prompt.as_bytes()),
        levels: ask.blocks(chain.0.len()),
        prompt_tokens: prefix::token_count(ask.prompt.len()) as u64,
        owner,
        chain,
    };
    Ok(Job {
        context: context.clone(),
        request: id,
        limits: grant.limits,
        subject,
        completion: Completion {
            request_id: id,
            model: model.clone(),
            adapter: adapter.clone(),
            version: *version,
            cache_salt: salt,
            prompt: ask.prompt,
            max_tokens: ask.max_tokens,
            priority: grant.limits.priority,
            stream: true,
            skip_tokens: 0,
        },
        deadline: context.now() + wait,
        rules: Rules { idempotent: !billable, max_tokens: ask.max_tokens },
        key: None,
        memory: None,
    })
}

impl Ask {
    /// Decodes and checks a body.
    ///
    /// # Errors
    ///
    /// [`Kind::InvalidRequest`].
    pub fn parse(body: &Bytes) -> Result<Ask, Refusal> {
        let invalid = |message: String| Refusal::not_run(Kind::InvalidRequest, message);
        let ask: Ask = serde_json::from_slice(body).map_err(|it| invalid(it.to_string()))?;
        if ask.max_tokens == 0 || ask.max_tokens > MAX_TOKENS {
            return Err(invalid(format!("max_tokens: allowed are 1 to {MAX_TOKENS}")));
        }
        if ask.prompt.is_empty() {
            return Err(invalid("prompt: it is empty".to_owned()));
        }
        if ask.levels.len() > MAX_LEVELS {
            return Err(invalid(format!("levels: at most {MAX_LEVELS} are allowed")));
        }
        let max = MAX_DEADLINE.as_millis() as u64;
        if ask.deadline_ms.is_some_and(|it| it == 0 || it > max) {
            return Err(invalid(format!("deadline_ms: allowed are 1 to {max}")));
        }
        Ok(ask)
    }

    /// The levels in whole blocks, shortest first, within a chain of `blocks`.
    fn blocks(&self, blocks: usize) -> Vec<usize> {
        let ends = self.levels.iter().map(|it| it / BLOCK_BYTES);
        let mut ends: Vec<_> = ends.filter(|it| (1..=blocks).contains(it)).collect();
        ends.sort_unstable();
        ends.dedup();
        ends
    }
}

/// A streamed answer. Its head waits for the first part, so that a refusal before that has its
/// own status, but not longer than a caller may take for silence.
async fn streamed(form: Form, mut parts: mpsc::Receiver<Part>) -> Result<Response<Body>, Refusal> {
    let first = match time::timeout(HEARTBEAT, parts.recv()).await {
        Ok(Some(Part::Refusal(refusal))) => return Err(refusal),
        Ok(first) => first,
        Err(_) => None,
    };
    let id = form.request;
    let mut response = Response::new(Events::new(form, first, parts).boxed());
    let headers = response.headers_mut();
    for (name, value) in
        [(header::CONTENT_TYPE, "text/event-stream"), (header::CACHE_CONTROL, "no-store")]
    {
        headers.insert(name, header::HeaderValue::from_static(value));
    }
    caller::name(&mut response, id);
    Ok(response)
}

/// An answer in one document.
async fn whole(form: &Form, mut parts: mpsc::Receiver<Part>) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    let mut end = None;
    while let Some(part) = parts.recv().await {
        match part {
            Part::Refusal(refusal) => return Err(refusal),
            Part::Piece(piece) => {
                text.push_str(&piece.text);
                end = piece.end;
            }
        }
    }
    if end.is_none() {
        let refusal = Refusal::not_run(Kind::Incomplete, "the answer broke off");
        return Err(Refusal { run: Execution::Unknown, ..refusal });
    }
    let document = form.document(0, &text, end);
    let mut response = server::answer(StatusCode::OK, "application/json", document);
    caller::name(&mut response, form.request);
    Ok(response)
}
