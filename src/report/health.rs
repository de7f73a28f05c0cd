//! `GET /healthz` and `GET /readyz`: whether the process works, and whether it takes callers.

use std::sync::{Arc, atomic::Ordering};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        registry::{Handler, Listener, Route},
    },
};

/// Whether a daemon takes callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// A planned stop has begun; requests in progress go on.
    Leaving,
    /// It has no configuration yet: neither the table service nor another daemon gave one.
    NoCatalog,
    /// It was cut off from the table service and from all daemons for too long to know whether
    /// its configuration is still in force.
    Isolated,
}

/// The body of `/readyz`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Readiness {
    /// The state, which also decides the status: 200 if ready, else 503.
    pub state: State,
}

impl State {
    /// The state of the daemon that `context` belongs to.
    pub fn new(context: &Context) -> State {
        if context.leaving.is_cancelled() {
            return State::Leaving;
        }
        if context.configuration.revision().is_none() {
            return State::NoCatalog;
        }
        if !context.ready.load(Ordering::Acquire) || context.contact.is_lost(context.now()) {
            return State::Isolated;
        }
        State::Ready
    }
}

struct HealthPage;

/// The process answers, so it works.
#[async_trait]
impl Handler for HealthPage {
    async fn handle(&self, _context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        server::answer(StatusCode::OK, "text/plain", "ok\n")
    }
}

struct ReadyPage;

#[async_trait]
impl Handler for ReadyPage {
    async fn handle(&self, context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        let state = State::new(&context);
        let status = match state {
            State::Ready => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        server::json(status, &Readiness { state })
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/healthz",
        handler: &HealthPage,
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/readyz",
        handler: &ReadyPage,
    }
}
