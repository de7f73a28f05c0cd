//! A caller's call, in the gateway's own terms.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{HeaderMap, Method};

use crate::{
    gateway::document::{Route, Tenant},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version, Workspace},
    },
    request::suspect::Fingerprint,
};

/// A part of a prompt. Parts that several calls share have the same number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Stands for the part's text.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// A prompt, described by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Prompt {
    /// The model that must answer.
    pub model: Model,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// The most tokens that the answer may have.
    pub max_output: u64,
    /// The parts in order; the last belongs to this call or its session alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Tokens of an engine's memory that it takes while it runs.
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.max_output
    }

    /// The parts that other calls may share.
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }
}

/// What a caller's request head says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// The identifier that the caller gave to this attempt.
    pub attempt: String,
    /// The host that was named, without a port.
    pub host: String,
    /// The key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The prompt, if there is one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<String>,
}

/// A call that was found valid.
#[derive(Clone, Debug)]
pub struct Call {
    /// What the head says.
    pub head: RequestHead,
    /// The route.
    pub route: Arc<Route>,
    /// The workspace, if the route needs a key.
    pub tenant: Option<Arc<Tenant>>,
    /// The method.
    pub method: Method,
    /// Path and query, as they were sent.
    pub target: String,
    /// The headers that go on to the upstream.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When its head was read.
    pub received: Time,
    /// When its final answer is due.
    pub deadline: Time,
}

impl Call {
    /// Its rank; 0 goes first.
    pub fn priority(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }

    /// By which the call is known if it crashes upstreams, whoever sends it again.
    pub fn fingerprint(&self) -> Fingerprint {
        let none = Workspace::from("");
        let workspace = self.tenant.as_ref().map_or(&none, |it| &it.workspace);
        let mut text = Vec::with_capacity(self.target.len() + self.body.len() + 1);
        text.extend_from_slice(self.target.as_bytes());
        text.push(0);
        text.extend_from_slice(&self.body);
        Fingerprint::new(workspace, &text)
    }

    /// The text under which engines may share this call's cached prompt: other weights, and other
    /// workspaces if one of them is isolated, have another.
    pub fn cache_salt(&self, version: Version) -> Option<String> {
        let prompt = self.head.prompt.as_ref()?;
        let isolated = self.tenant.as_ref().filter(|it| it.isolated);
        let owner = isolated.map_or("", |it| it.workspace.as_str());
        Some(format!("{}.{version}.{owner}", prompt.model))
    }
}

/// One sending of a call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Dispatch {
    /// The upstream that is meant.
    pub upstream: Upstream,
    /// The run of it that is meant.
    pub incarnation: Incarnation,
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// The weights that must answer.
    pub version: Option<Version>,
    /// The text under which cached prompts are shared.
    pub cache_salt: Option<String>,
    /// Where the engine may fetch cached parts of the prompt.
    pub fetch_from: Option<std::net::SocketAddr>,
    /// Where the engine saves the parts that it has read.
    pub save_to: Option<std::net::SocketAddr>,
    /// The event after which the answer goes on.
    pub last_event: Option<String>,
}
