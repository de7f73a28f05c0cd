//! Looks at upstreams that give no sign though calls wait there, by opening a connection.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;

use crate::gateway::{context::Context, roster::Endpoint};

/// The time between looks.
const EVERY: Duration = Duration::from_millis(100);

/// A connection that takes longer does not open: links between VMs take a few milliseconds.
const OPEN_TIMEOUT: Duration = Duration::from_millis(250);

/// Watches until `stop`.
pub async fn probe_endpoints(context: Arc<Context>, stop: CancellationToken) {
    let probes = TaskTracker::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(EVERY) => {}
        }
        let now = context.now();
        for endpoint in context.view.load().all() {
            if endpoint.health.start_probe_if_due(now) {
                probes.spawn(probe(context.clone(), endpoint.clone()));
            }
        }
    }
}

async fn probe(context: Arc<Context>, endpoint: Arc<Endpoint>) {
    let opened = context.client.opens(endpoint.record.address, OPEN_TIMEOUT).await;
    if endpoint.health.record_probe(opened, context.now()) {
        let dead = endpoint.health.is_dead();
        info!(upstream = endpoint.name.as_str(), dead, "probed");
    }
}
