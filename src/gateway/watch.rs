//! Upstream probing: opens a connection to each dead, suspected or inactive upstream, and finds the
//! services from whose upstreams this daemon is cut off.

use std::{sync::Arc, time::Duration};

use metrics::{counter, gauge};
use rand::seq::SliceRandom;
use tokio::time;
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;

use crate::{
    collections::Set,
    gateway::{context::Context, reach, retract, roster::Endpoint},
    kernel::id::Service,
};

/// Interval between checks for upstreams that are due for a probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A connection attempt that takes longer has failed; links between VMs take a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of probes in [`CHECK_INTERVAL`] of the upstreams of a service from which this daemon
/// is cut off.
const MAX_PATH_PROBES: usize = 16;

/// Probes upstreams as needed until `stop`.
pub async fn probe_endpoints(context: Arc<Context>, stop: CancellationToken) {
    let probes = TaskTracker::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(CHECK_INTERVAL) => {}
        }
        update_cut_off(&context);
        retract::retract_crashes(&context);
        for endpoint in due_probes(&context) {
            probes.spawn(probe(context.clone(), endpoint));
        }
    }
}

/// The upstreams to be probed now; each must be probed, and the result recorded.
pub fn due_probes(context: &Context) -> Vec<Arc<Endpoint>> {
    let now = context.now();
    // Without peers, nobody else probes for this daemon.
    let daemons = match context.peers.any_responsive(now) {
        true => context.plan.load().daemons,
        false => 1,
    };
    let (view, cut_off) = (context.view.load(), context.cut_off.load());
    let mut due = Vec::new();
    for service in view.services() {
        let upstreams = view.service(service);
        if !cut_off.contains(service) {
            let is_due = |it: &&Arc<Endpoint>| it.health.start_probe_if_due(daemons, now);
            due.extend(upstreams.iter().filter(is_due).cloned());
            continue;
        }
        let mut shuffled: Vec<_> = upstreams.iter().collect();
        shuffled.shuffle(&mut rand::rng());
        let is_due = |it: &&Arc<Endpoint>| {
            it.health.start_probe_if_due(daemons, now) || it.health.start_path_probe_if_due(now)
        };
        due.extend(shuffled.into_iter().filter(is_due).take(MAX_PATH_PROBES).cloned());
    }
    due
}

/// Finds the services from whose upstreams this daemon is cut off.
pub fn update_cut_off(context: &Context) {
    let view = context.view.load();
    let cut_off = |it: &&Service| reach::is_cut_off(view.service(it));
    let found: Set<Service> = view.services().filter(cut_off).cloned().collect();
    let known = context.cut_off.load();
    if **known == found {
        return;
    }
    let accepted = context.accepts_callers();
    for service in found.difference(&known) {
        counter!("tealturn_cut_offs_total").increment(1);
        info!(service = service.as_str(), "cut off from all upstreams of the service");
    }
    for service in known.difference(&found) {
        info!(service = service.as_str(), "no longer cut off from the upstreams of the service");
    }
    gauge!("tealturn_cut_off_services").set(found.len() as f64);
    context.cut_off.store(Arc::new(found));
    if context.accepts_callers() != accepted {
        context.urgent.notify_one();
    }
}

async fn probe(context: Arc<Context>, endpoint: Arc<Endpoint>) {
    let connected = context.client.opens(endpoint.record.address, CONNECT_TIMEOUT).await;
    if endpoint.health.record_probe(connected, context.now()) {
        let dead = endpoint.health.is_dead();
        info!(upstream = endpoint.name.as_str(), dead, "upstream liveness changed after a probe");
    }
}
