//! Finds the route for a request.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::Serialize;

use crate::{
    http::server::{self, Body, Handler},
    kernel::{
        context::Context,
        registry::{Listener, Route},
    },
};

/// Handles the requests of one listener with the registered routes.
pub struct Dispatch {
    context: Arc<Context>,
    routes: Vec<&'static Route>,
}

/// The body of an answer where no page is.
#[derive(Debug, Serialize)]
struct NotFound {
    error: &'static str,
}

impl Dispatch {
    /// Creates a dispatcher for the routes that `listener` serves.
    pub fn new(context: Arc<Context>, listener: Listener) -> Dispatch {
        let routes = inventory::iter::<Route>.into_iter();
        let mut routes: Vec<_> = routes.filter(|it| it.listener == listener).collect();
        routes.sort_by_key(|it| std::cmp::Reverse(it.path.len()));
        Dispatch { context, routes }
    }

    fn find(&self, request: &Request<Incoming>) -> Option<&'static Route> {
        let path = request.uri().path();
        let matches = |route: &&&'static Route| {
            let method = route.method.as_ref().is_none_or(|it| it == request.method());
            let prefix = route.path.ends_with('/') && path.starts_with(route.path);
            method && (prefix || path == route.path)
        };
        self.routes.iter().find(matches).copied()
    }
}

#[async_trait]
impl Handler for Dispatch {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(route) = self.find(&request) else {
            return server::json(StatusCode::NOT_FOUND, &NotFound { error: "no such page" });
        };
        route.handler.handle(self.context.clone(), request).await
    }
}
