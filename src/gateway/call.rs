//! The protocol-independent representation of a call.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};

use crate::{
    gateway::document::{Kind, Route, Tenant},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Service, Upstream, Version, Workspace},
    },
    request::suspect::Fingerprint,
    route::pool::name_hash,
};

/// A part of a prompt. Parts with equal text have equal hashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Identifies the text of the part.
    pub hash: u64,
    /// The number of tokens in the part.
    pub tokens: u64,
}

/// A prompt, as described by the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The requested model.
    pub model: Model,
    /// The number of tokens in the prompt.
    pub tokens: u64,
    /// The maximum number of output tokens.
    pub max_output: u64,
    /// The parts in order. The last one is specific to this call or its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The engine memory that the call uses while it runs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.max_output
    }

    /// The parts that other calls may have in common with this one.
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What a request states of its tokens, prompt and longest answer together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TokenCount {
    /// Nothing.
    Absent,
    /// Something other than two numbers.
    Malformed,
    /// The sum.
    Stated(u64),
}

/// The parsed head of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Head {
    /// The identifier that the caller assigned to its attempt. All attempts of this call at
    /// upstreams carry it.
    pub attempt: String,
    /// The requested host, without a port.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// The prompt, if the call is for a model.
    pub prompt: Option<Prompt>,
    /// The tokens that count towards a quota, whether or not the call is for a model.
    pub tokens: TokenCount,
    /// The identifier of the last event that the caller received, when it resumes a stream.
    pub last_event: Option<String>,
    /// The attempt that brought the first event of the stream that the caller resumes.
    pub resumes: Option<String>,
    /// The attempts that may have executed the call, if another daemon passed it on.
    pub forwarded: Option<u32>,
    /// Whether that daemon wants to know which upstream answers.
    pub asks_upstream: bool,
}

/// A validated call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The parsed request head.
    pub head: Head,
    /// The matching route.
    pub route: Arc<Route>,
    /// The tenant, if the route requires a key.
    pub tenant: Option<Arc<Tenant>>,
    /// The HTTP method.
    pub method: Method,
    /// The path and query as received.
    pub target: String,
    /// The headers to forward to the upstream.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// When the request head was read.
    pub received: Time,
    /// When the answer must be complete.
    pub deadline: Time,
}

impl Call {
    /// The scheduling priority; 0 is the highest.
    pub fn priority(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Whether the answer is a stream that another upstream may continue.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == Kind::Stream { resumable: true }
    }

    /// Whether the caller resumes a stream.
    pub fn is_resumption(&self) -> bool {
        self.is_resumable() && self.head.last_event.is_some()
    }

    /// The attempt that brought the first event of the stream: this one, unless it resumes another.
    pub fn stream_attempt(&self) -> &str {
        let resumed = self.head.resumes.as_ref().filter(|_| self.is_resumption());
        resumed.unwrap_or(&self.head.attempt)
    }

    /// The service that answers all attempts of the call, and the call whose stream it resumes.
    pub fn service(&self) -> &Service {
        self.route.service(name_hash(self.stream_attempt()))
    }

    /// Identifies the request if it crashes upstreams. The same request from any caller of the
    /// workspace has the same fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let no_workspace = Workspace::from("");
        let workspace = self.tenant.as_ref().map_or(&no_workspace, |it| &it.workspace);
        let mut text = Vec::with_capacity(self.target.len() + self.body.len() + 1);
        text.extend_from_slice(self.target.as_bytes());
        text.push(0);
        text.extend_from_slice(&self.body);
        Fingerprint::new(workspace, &text)
    }
}

/// What a call that is passed on to another daemon states, in addition to what the caller sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forward {
    /// The time left until the answer is due.
    pub time_left: Duration,
    /// The event after which the stream resumes.
    pub last_event: Option<String>,
    /// The attempts that may have executed the call.
    pub executions: u32,
}

/// What the request to an upstream states about one attempt, in addition to the call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The intended upstream.
    pub upstream: Upstream,
    /// The intended incarnation of the upstream.
    pub incarnation: Incarnation,
    /// The time left until the answer is due.
    pub time_left: Duration,
    /// The model version that must answer.
    pub version: Option<Version>,
    /// The salt under which the engine caches the prompt.
    pub cache_salt: Option<String>,
    /// Where the engine can fetch cached parts of the prompt.
    pub fetch_from: Option<std::net::SocketAddr>,
    /// Where the engine saves the parts that it reads.
    pub save_to: Option<std::net::SocketAddr>,
    /// The event after which the stream resumes.
    pub last_event: Option<String>,
}
