//! Registries of the daemon's components and HTTP routes. Each is submitted with
//! `inventory::submit!` where it is defined; the [`Controller`](crate::serve::Controller) starts
//! the submitted components and serves the submitted routes.

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

/// The registry entry of a [`Component`], submitted with `inventory::submit!`.
pub struct Registration {
    /// The component's name in logs and metrics.
    pub name: &'static str,
    /// Creates the component.
    pub make: fn() -> Box<dyn Component>,
}

inventory::collect!(Registration);

/// The listener that serves a route. The listener for other daemons has no variant: it serves
/// no routes, only the [exchange](crate::fleet::exchange) between daemons.
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

/// The registry entry of a route, submitted with `inventory::submit!`.
pub struct Route {
    /// The listener that serves the route.
    pub listener: Listener,
    /// The HTTP method; `None` matches every method. Precedence depends on the path alone: if
    /// two routes with the same path match a method, it is unspecified which one serves it.
    pub method: Option<Method>,
    /// The path. A path that ends in `/` matches every path with that prefix; the longest matching
    /// path takes precedence.
    pub path: &'static str,
    /// The handler.
    pub handler: &'static dyn Handler,
}

inventory::collect!(Route);
