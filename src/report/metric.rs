//! `GET /metrics`: all counters, gauges and histograms in Prometheus' text format.

use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};

use async_trait::async_trait;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    http::server::{self, Body, Handler},
    kernel::{
        context::Context,
        registry::{self, Component, Listener, Registration, Route},
    },
};

/// Upper bounds of the buckets of histograms, in seconds.
const BUCKETS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// The time between rounds of upkeep, which bounds the memory of histograms.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

/// The content type of Prometheus' text format.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The recorder of this process, installed at the first call; `None` if another one is in place.
fn handle() -> Option<&'static PrometheusHandle> {
    let install = || {
        let builder = PrometheusBuilder::new().set_buckets(BUCKETS_S).ok()?;
        builder.install_recorder().ok()
    };
    HANDLE.get_or_init(install).as_ref()
}

/// Starts to count. What was counted earlier is lost.
pub fn start() {
    handle();
}

struct Upkeep;

#[async_trait]
impl Component for Upkeep {
    async fn run(&self, _context: Arc<Context>, stop: CancellationToken) {
        let Some(handle) = handle() else { return };
        upkeep(handle, &stop).await;
    }
}

/// Keeps the histograms small until `stop`.
async fn upkeep(handle: &PrometheusHandle, stop: &CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(UPKEEP_EVERY) => handle.run_upkeep(),
        }
    }
}

/// Keeps the recorder's memory bounded for as long as the process runs.
pub async fn keep() {
    if let Some(handle) = handle() {
        upkeep(handle, &CancellationToken::new()).await;
    }
}

inventory::submit! {
    Registration {
        name: "metrics",
        make: || Box::new(Upkeep),
    }
}

/// Serves the page on a listener of its own, whatever the path.
pub struct Exposition;

#[async_trait]
impl Handler for Exposition {
    async fn handle(&self, _request: Request<Incoming>) -> Response<Body> {
        page()
    }
}

struct MetricsPage;

#[async_trait]
impl registry::Handler for MetricsPage {
    async fn handle(&self, _context: Arc<Context>, _request: Request<Incoming>) -> Response<Body> {
        page()
    }
}

fn page() -> Response<Body> {
    match handle() {
        Some(handle) => server::answer(StatusCode::OK, CONTENT_TYPE, handle.render()),
        None => server::answer(StatusCode::NOT_FOUND, "text/plain", "no recorder"),
    }
}

inventory::submit! {
    Route {
        listener: Listener::Operator,
        method: Some(Method::GET),
        path: "/metrics",
        handler: &MetricsPage,
    }
}
