//! The daemon's parts: each registers itself, and the controller starts what is registered.

use std::sync::Arc;

use async_trait::async_trait;
use hyper::{Method, Request, Response, body::Incoming};
use tokio_util::sync::CancellationToken;

use crate::{http::server::Body, kernel::context::Context};

/// Work that runs beside the requests for as long as the daemon does.
#[async_trait]
pub trait Part: Send + Sync {
    /// Runs until `stop`.
    async fn run(&self, context: Arc<Context>, stop: CancellationToken);
}

/// Registers a [`Part`] with `inventory::submit!`.
pub struct Registration {
    /// A name for logs and counters.
    pub name: &'static str,
    /// Makes the part.
    pub make: fn() -> Box<dyn Part>,
}

inventory::collect!(Registration);

/// Which listener a page is served on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// Callers.
    Caller,
    /// Operators.
    Operator,
}

/// Answers the requests of one page.
#[async_trait]
pub trait Page: Send + Sync {
    /// Answers one request.
    async fn answer(&self, context: Arc<Context>, request: Request<Incoming>) -> Response<Body>;
}

/// Registers a [`Page`] with `inventory::submit!`.
pub struct Route {
    /// The listener.
    pub audience: Audience,
    /// The method; `None` for all.
    pub method: Option<Method>,
    /// The path. One that ends in `/` stands for all paths that start with it; of several, the
    /// longest is taken.
    pub path: &'static str,
    /// The page.
    pub page: &'static dyn Page,
}

inventory::collect!(Route);
