//! `GET /v1/timeline` and `GET /v1/requests/ID`: what a daemon did.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        id::{self, Daemon},
        registry::{Handler, Listener, Route},
    },
    timeline::{self, decision::Decision},
};

/// The path under which a request's decisions are served.
pub const REQUESTS_PATH: &str = "/v1/requests/";

/// What a daemon decided for one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Explanation {
    /// The daemon.
    pub daemon: Daemon,
    /// The decisions that it still keeps, oldest first.
    pub decisions: Vec<Decision>,
}

/// The body of an answer to a request that is not valid.
#[derive(Debug, Serialize)]
struct Fault {
    error: String,
}

struct TimelinePage;

struct RequestPage;

#[async_trait]
impl Handler for TimelinePage {
    async fn handle(&self, context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        let page = timeline::Page {
            daemon: context.settings.daemon.clone(),
            events: context.ring.events(),
        };
        server::json(StatusCode::OK, &page)
    }
}

#[async_trait]
impl Handler for RequestPage {
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let id = request.uri().path().trim_start_matches(REQUESTS_PATH);
        let id = match id.parse::<id::Request>() {
            Ok(id) => id,
            Err(error) => {
                let error = format!("{id:?} is no request identifier: {error}");
                return server::json(StatusCode::BAD_REQUEST, &Fault { error });
            }
        };
        let explanation = Explanation {
            daemon: context.settings.daemon.clone(),
            decisions: context.decisions.of(id),
        };
        server::json(StatusCode::OK, &explanation)
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/v1/timeline",
        handler: &TimelinePage,
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: REQUESTS_PATH,
        handler: &RequestPage,
    }
}
