//! The operator's pages of the configuration.

use std::sync::Arc;

use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use metrics::counter;

use crate::{
    catalog::{
        change::{Applied, Change, Invalid, Unavailable, Verdict},
        edit::{Attempt, Done, Step},
        poll,
    },
    http::server::{self, Body},
    kernel::{
        context::Context,
        registry::{Handler, Listener, Route},
    },
};

/// Bytes that the body of a change may have.
pub const MAX_CHANGE_BYTES: usize = 1024 * 1024;

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/v1/catalog",
        handler: &Read,
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::POST),
        path: "/v1/catalog/changes",
        handler: &Edit,
    }
}

struct Read;

#[async_trait]
impl Handler for Read {
    async fn handle(&self, context: Arc<Context>, _: Request<Incoming>) -> Response<Body> {
        match context.configuration.catalog() {
            Some(catalog) => server::json(StatusCode::OK, &*catalog),
            None => unavailable("no configuration was confirmed yet"),
        }
    }
}

struct Edit;

#[async_trait]
impl Handler for Edit {
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(request.into_body(), MAX_CHANGE_BYTES);
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return invalid(format!("body: {error}")),
        };
        let change = match serde_json::from_slice(&body) {
            Ok(change) => change,
            Err(error) => return invalid(format!("body: {error}")),
        };
        // The operator may hang up; the change goes on to its verdict.
        let verdict = tokio::spawn(async move { apply(&context, change).await });
        match verdict.await {
            Ok(verdict) => answer(&verdict),
            Err(error) => unavailable_after_send(&error.to_string()),
        }
    }
}

/// Takes a change to its verdict, and puts it in force here if it is accepted.
pub async fn apply(context: &Context, change: Change) -> Verdict {
    let mut attempt = Attempt::new(change, context.configuration.catalog());
    let mut step = attempt.start();
    loop {
        match step {
            Step::Call(call) => step = attempt.step(call.perform(&*context.table).await),
            Step::Done(Done { verdict, updates }) => {
                for update in &updates {
                    poll::install(context, update);
                }
                count(&verdict);
                return verdict;
            }
        }
    }
}

fn count(verdict: &Verdict) {
    let result = match verdict {
        Verdict::Accepted(_) => "accepted",
        Verdict::Conflict(_) => "conflict",
        Verdict::Invalid(_) => "invalid",
        Verdict::Unavailable(_) => "unavailable",
    };
    counter!("tealturn_catalog_changes_total", "result" => result).increment(1);
}

fn answer(verdict: &Verdict) -> Response<Body> {
    match verdict {
        Verdict::Accepted(it) => server::json(StatusCode::OK, it),
        Verdict::Conflict(it) => server::json(StatusCode::CONFLICT, it),
        Verdict::Invalid(it) => server::json(StatusCode::UNPROCESSABLE_ENTITY, it),
        Verdict::Unavailable(it) => server::json(StatusCode::SERVICE_UNAVAILABLE, it),
    }
}

fn invalid(error: String) -> Response<Body> {
    let errors = vec![error];
    answer(&Verdict::Invalid(Invalid { errors }))
}

fn unavailable(error: &str) -> Response<Body> {
    answer(&Verdict::Unavailable(Unavailable { error: error.to_owned(), applied: Applied::No }))
}

fn unavailable_after_send(error: &str) -> Response<Body> {
    answer(&Verdict::Unavailable(Unavailable {
        error: error.to_owned(),
        applied: Applied::Unknown,
    }))
}
