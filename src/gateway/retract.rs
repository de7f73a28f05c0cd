//! Takes back that an upstream crashed. A daemon whose links are cut can't tell that from a crash, and
//! blames the requests that ran there; later it hears that other daemons see the upstream alive.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use metrics::counter;
use tracing::info;

use crate::{
    gateway::{context::Context, crash::Process, roster::Endpoint},
    kernel::clock::Time,
    request::suspect::Fingerprint,
};

/// How long a crash may be taken back. By then other daemons have told of the upstream.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// A crash that this daemon told the others of.
struct Report {
    endpoint: Arc<Endpoint>,
    /// The requests that are suspected for it.
    requests: Vec<Fingerprint>,
    at: Time,
}

/// The crashes that this daemon told the others of recently.
#[derive(Default)]
pub struct Reports(Mutex<Vec<Report>>);

impl Reports {
    /// Records that the others are told of a crash, for which these requests are suspected.
    pub fn push(&self, endpoint: &Arc<Endpoint>, requests: Vec<Fingerprint>, at: Time) {
        self.lock().push(Report { endpoint: endpoint.clone(), requests, at });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Report>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Takes back the crashes of upstreams that other daemons have seen alive since.
pub fn retract_crashes(context: &Context) {
    let now = context.now();
    let mut reports = context.crash_reports.lock();
    reports.retain(|it| now.since(it.at) < REPORT_LIFETIME);
    let is_false = |it: &mut Report| it.endpoint.health.path_lost_at().is_some();
    let retracted: Vec<_> = reports.extract_if(.., is_false).collect();
    drop(reports);
    for report in retracted {
        counter!("tealturn_crashes_retracted_total").increment(1);
        let (upstream, requests) = (report.endpoint.name.as_str(), report.requests.len());
        info!(upstream, requests, "upstream has not crashed: another daemon sees it alive");
        let mut suspects = context.suspects();
        let cleared = report.requests.iter().filter_map(|it| suspects.lift(*it, now)).collect();
        drop(suspects);
        context.publish_suspects(cleared);
        let process = Process::of(&report.endpoint);
        let cleared = context.change_crashes(|it| it.retract(process, now));
        context.publish_crashes(cleared);
    }
}
