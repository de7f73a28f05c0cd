//! Registries of the daemon's components and HTTP routes. Each registers itself; the controller
//! starts the registered components and serves the registered routes.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Method, Request, Response, body::Incoming};
use tokio_util::sync::CancellationToken;

use crate::{http::server::Body, kernel::context::Context};

/// A background task that runs for the lifetime of the daemon.
#[async_trait]
pub trait Component: Send + Sync {
    /// Runs until `stop` is cancelled.
    async fn run(&self, context: Arc<Context>, stop: CancellationToken);
}

/// Registers a [`Component`] with `inventory::submit!`.
pub struct Registration {
    /// The component's name in logs and metrics.
    pub name: &'static str,
    /// Creates the component.
    pub make: fn() -> Box<dyn Component>,
}

inventory::collect!(Registration);

/// The listener that serves a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listener {
    /// The listener for callers.
    Caller,
    /// The listener for operators.
    Operator,
}

/// Handles the requests of one route.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Returns the response to one request.
    async fn handle(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body>;
}

/// Registers a [`Handler`] with `inventory::submit!`.
pub struct Route {
    /// The listener that serves the route.
    pub listener: Listener,
    /// The HTTP method; `None` matches every method.
    pub method: Option<Method>,
    /// The path. A path that ends in `/` matches every path with that prefix; the longest matching
    /// path takes precedence.
    pub path: &'static str,
    /// The handler.
    pub handler: &'static dyn Handler,
}

inventory::collect!(Route);
