//! `POST /v1/drain`: a planned stop, as SIGTERM begins it.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};

use crate::{
    http::server::{self, Body},
    kernel::{
        context::Context,
        registry::{Handler, Listener, Route},
    },
    report::health::{Readiness, State},
};

struct DrainPage;

#[async_trait]
impl Handler for DrainPage {
    async fn handle(&self, context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        context.leaving.cancel();
        let state = State::new(&context);
        server::json(StatusCode::ACCEPTED, &Readiness { state })
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::POST),
        path: "/v1/drain",
        handler: &DrainPage,
    }
}
