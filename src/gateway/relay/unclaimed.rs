//! Which streams began at the build that daemons don't claim, and which upstreams no stream may begin at yet.

use std::{sync::Arc, time::Duration};

use tracing::info;

use crate::{
    gateway::{
        exchange::origin::{self, Answers},
        origin::{
            claim::find_rival,
            row::{Builds, Claim},
        },
        record,
        relay::{Relay, resumption::Source},
        roster::Endpoint,
        topology::FULL_MESH_DAEMONS,
    },
    kernel::id::{Build, Upstream},
    route::pool::name_hash,
};

/// Daemons that are asked by themselves because no hub answers for them.
const MAX_ASKED: usize = FULL_MESH_DAEMONS;

/// Time within which a daemon that is not asked itself was heard of.
const MAX_SILENCE: Duration = Duration::from_millis(1_400);

impl Relay {
    /// The build that began a stream which neither the store nor the daemons in `answers` know: the one that is
    /// not claimed, unless a process that claims another one may have begun the stream.
    ///
    /// The claims are read after the call has arrived, so they include that of any process that may have sent
    /// the caller an event from another build.
    pub(super) async fn find_unclaimed(
        &self,
        listed: Option<&Builds>,
        mut answers: Answers,
    ) -> Option<(Build, Source)> {
        let (context, service) = (&self.context, self.call.service());
        let listed = listed?;
        let unclaimed = listed.unclaimed()?;
        let claims = record::claim::read(context, service, listed.era).await?;
        let mut unasked = Vec::new();
        for claim in &claims {
            let is_asked = answers.unknowing_process(&claim.daemon).is_some();
            if !is_asked && !self.is_own(claim) && !unasked.contains(&claim.daemon) {
                unasked.push(claim.daemon.clone());
            }
        }
        if !unasked.is_empty() && unasked.len() <= MAX_ASKED {
            let attempt = name_hash(self.call.stream_attempt());
            let others = origin::ask_daemons(context, unasked, attempt).await;
            if let Some(build) = others.build {
                return Some((self.keep_origin(build), Source::Asked));
            }
            answers.unknowing.extend(others.unknowing);
        }
        let is_ruled_out = |claim: &Claim| self.has_not_begun(claim, &answers);
        if let Some(rival) = find_rival(unclaimed, &claims, is_ruled_out) {
            info!(
                attempt = self.call.head.attempt,
                daemon = rival.daemon,
                incarnation = rival.incarnation.0,
                builds = ?rival.builds,
                "a daemon may have begun the stream, and didn't answer"
            );
            return None;
        }
        Some((unclaimed.clone(), Source::Unclaimed))
    }

    fn is_own(&self, claim: &Claim) -> bool {
        let own = self.context.settings.daemon.as_str();
        (claim.daemon.as_str(), claim.incarnation) == (own, self.context.incarnation)
    }

    /// Whether the process of a claim runs and has not begun the stream. In a large fleet a daemon tells hubs of
    /// a stream before its first event, so they answer for the others if all of them do.
    fn has_not_begun(&self, claim: &Claim, answers: &Answers) -> bool {
        if self.is_own(claim) {
            return true;
        }
        if let Some(process) = answers.unknowing_process(&claim.daemon) {
            return process == claim.incarnation;
        }
        let (context, now) = (&self.context, self.context.now());
        let plan = context.plan.load();
        let has_answered = |it: &String| answers.unknowing_process(it).is_some();
        plan.daemons > FULL_MESH_DAEMONS
            && plan.hubs.iter().all(has_answered)
            && record::claim::is_registered(context, claim)
            && context.peers.is_heard(&claim.daemon, MAX_SILENCE, now)
    }

    /// The upstreams at which a stream must not begin yet: the store doesn't list their build, or has no claim of
    /// this daemon. None if no upstream has a build that is listed.
    pub(super) fn withheld(&self, upstreams: &[Arc<Endpoint>]) -> Vec<Upstream> {
        let (context, service) = (&self.context, self.call.service());
        let view = context.view.load();
        let builds = view.builds(service);
        if builds.len() < 2 || self.origin.is_some() || !self.call.is_resumable() {
            return Vec::new();
        }
        let (era, hash) = (context.eras.latest().unwrap_or_default(), name_hash(service.as_str()));
        let origins = context.origins();
        let mut withheld = Vec::new();
        for endpoint in upstreams {
            if !origins.is_listed(hash, &endpoint.record.build, era) {
                withheld.push(endpoint.name.clone());
            }
        }
        if withheld.len() == upstreams.len() { Vec::new() } else { withheld }
    }
}
