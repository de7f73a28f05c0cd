//! Upstream probing: opens a connection to each dead, suspected or inactive upstream.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;

use crate::gateway::{context::Context, roster::Endpoint};

/// Interval between checks for upstreams that are due for a probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection attempt that takes longer has failed; links between VMs take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes upstreams as needed until `stop`.
pub async fn probe_endpoints(context: Arc<Context>, stop: CancellationToken) {
    let probes = TaskTracker::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        let now = context.now();
        // Without peers, nobody else probes for this daemon.
        let daemons = match context.peers.any_responsive(now) {
            true => context.plan.load().daemons,
            false => 1,
        };
        for endpoint in context.view.load().all() {
            if endpoint.health.start_probe_if_due(daemons, now) {
                probes.spawn(probe(context.clone(), endpoint.clone()));
            }
        }
    }
}

async fn probe(context: Arc<Context>, endpoint: Arc<Endpoint>) {
    let connected = context.client.opens(endpoint.record.address, CONNECT_TIMEOUT).await;
    if endpoint.health.record_probe(connected, context.now()) {
        let dead = endpoint.health.is_dead();
        info!(upstream = endpoint.name.as_str(), dead, "upstream liveness changed after a probe");
    }
}
