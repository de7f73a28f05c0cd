//! Finds the build that must continue a stream.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use tokio::time;
use tracing::info;

use crate::{
    gateway::{
        dialect::Refusal,
        exchange::{self, origin::REPLICAS},
        origin::{Entry, ORIGIN_WAIT},
        record,
        relay::{RETRY_AFTER, Relay},
        roster::Endpoint,
        store::Topic,
    },
    kernel::id::{Build, Service, Upstream},
    route::pool::name_hash,
};

/// Interval between checks whether another daemon has told the origin.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Age of the last confirmation above which this daemon may have missed a new build. In a fleet
/// that is in touch, no confirmation gets older.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(3_000);

/// The same for the upstreams' rows, which watchers confirm less often.
const MAX_ROWS_AGE: Duration = Duration::from_millis(8_000);

/// How a daemon came to know which build began a stream.
#[derive(Clone, Copy, Debug)]
pub(super) enum Source {
    /// It saw the stream begin, or was told.
    Known,
    /// Another daemon knew it.
    Asked,
    /// The store has the origin of the stream.
    Recorded,
    /// The store lists no other build that the service had lately.
    OnlyBuild,
    /// No process that may have begun it at another build knows it.
    Unclaimed,
    /// It is the only recent build of the service that this daemon knows of. The store didn't answer.
    Assumed,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Source::Known => "known",
            Source::Asked => "asked",
            Source::Recorded => "recorded",
            Source::OnlyBuild => "only_build",
            Source::Unclaimed => "unclaimed",
            Source::Assumed => "assumed",
        }
    }
}

impl Relay {
    /// Finds the build that must continue the stream, if the call resumes one.
    pub(super) async fn find_origin(&mut self) -> Result<(), Refusal> {
        if !self.call.is_resumption() || self.origin.is_some() {
            return Ok(());
        }
        let Some((build, source)) = self.obtain_origin().await else {
            return Err(self.refuse_resumption("unknown_build"));
        };
        self.log_origin(&build, source);
        let view = self.context.view.load();
        let mut upstreams = view.service(self.call.service()).iter();
        if !upstreams.any(|it| it.is_staying(&build)) {
            return Err(self.refuse_resumption("absent_build"));
        }
        self.origin = Some(build);
        self.waiting_since = self.context.now();
        Ok(())
    }

    /// Excludes an upstream that rejected the call without executing it from the next attempt.
    ///
    /// Few upstreams may have the build that began a stream. Once each of them has been asked, those that
    /// rejected the stream may be asked again, but for the last one, whose answer is the latest. A new
    /// stream, which any build may begin, finds as many upstreams as it may have rejections.
    pub(super) fn exclude_rejecting(&mut self, upstream: &Upstream) {
        self.excluded.push(upstream.clone());
        let view = self.context.view.load();
        let upstreams = view.service(self.call.service());
        if self.origin.is_some() && self.open_upstreams(upstreams).next().is_none() {
            let again = std::mem::take(&mut self.rejecting);
            self.excluded.retain(|it| !again.contains(it));
        }
        self.rejecting.push(upstream.clone());
    }

    /// Those of the upstreams that have the build of the stream and are not excluded. They may be
    /// unavailable at present.
    pub(super) fn open_upstreams<'a>(
        &'a self,
        upstreams: &'a [Arc<Endpoint>],
    ) -> impl Iterator<Item = &'a Arc<Endpoint>> {
        let may_continue =
            |it: &&Arc<Endpoint>| self.origin.as_ref().is_some_and(|build| it.is_staying(build));
        upstreams.iter().filter(may_continue).filter(|it| !self.excluded.contains(&it.name))
    }

    /// Finds the origin of the stream: asks the daemons that may have been told of it and reads in the store
    /// which builds the service had, and then the origin itself.
    async fn obtain_origin(&self) -> Option<(Build, Source)> {
        let context = &self.context;
        let give_up_at = context.now() + ORIGIN_WAIT;
        let (service, attempt) = (self.call.service(), name_hash(self.call.stream_attempt()));
        if let Some(build) = self.known_origin() {
            return Some((build, Source::Known));
        }
        let ask = exchange::origin::ask(context, attempt);
        // The row is read after the call has arrived, so that it lists every build that may have begun the
        // stream.
        let (answers, listed) = tokio::join!(ask, record::read_builds(context, service));
        if let Some(build) = answers.build {
            return Some((self.keep_origin(build), Source::Asked));
        }
        let is_listed = listed.is_some();
        if let Some(build) = self.find_only_build(is_listed, answers.unknowing.len()) {
            return Some((build, if is_listed { Source::OnlyBuild } else { Source::Assumed }));
        }
        match record::read_origin(context, attempt).await {
            Some(Some(build)) => return Some((self.keep_origin(build), Source::Recorded)),
            Some(None) => {
                if let Some(found) = self.find_unclaimed(listed.as_ref(), answers).await {
                    return Some(found);
                }
            }
            None => {}
        }
        loop {
            if let Some(build) = self.known_origin() {
                return Some((build, Source::Known));
            }
            if context.now() >= give_up_at {
                return None;
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    fn known_origin(&self) -> Option<Build> {
        let attempt = name_hash(self.call.stream_attempt());
        self.context.origins().known(attempt, self.context.now())
    }

    /// Remembers which build began the stream, as others know.
    pub(super) fn keep_origin(&self, build: Build) -> Build {
        let (context, service) = (&self.context, name_hash(self.call.service().as_str()));
        let entry = Entry { attempt: name_hash(self.call.stream_attempt()), service, build };
        context.origins().keep(&entry, context.now());
        entry.build
    }

    /// The build of the service, if it had only one lately. `is_listed` tells whether the store has just
    /// told which ones it had, and `unknowing` how many other daemons have just answered that they don't know
    /// the stream. Without the store, a daemon goes by what it knows only if it is in touch with most of the
    /// others, since one that is cut off, or stood still, may have missed a build.
    fn find_only_build(&self, is_listed: bool, unknowing: usize) -> Option<Build> {
        let (context, now) = (&self.context, self.context.now());
        let (service, attempt) = (self.call.service(), name_hash(self.call.stream_attempt()));
        let hash = name_hash(service.as_str());
        let rows = context.mirror.head(Topic::Upstreams).map(|it| now.since(it.confirmed_at));
        let daemons = context.members.count();
        let is_in_touch =
            unknowing >= REPLICAS.min(daemons - 1) && context.plan.load().daemons * 2 > daemons;
        let is_current = context.freshness.is_within(MAX_CONFIRMATION_AGE, now)
            && rows.is_some_and(|it| it < MAX_ROWS_AGE)
            && is_in_touch;
        let view = context.view.load();
        let mut origins = context.origins();
        let may_assume = is_current && origins.has_row(hash);
        origins.find(attempt, hash, view.builds(service), is_listed || may_assume, now)
    }

    fn log_origin(&self, build: &Build, source: Source) {
        let head = &self.call.head;
        info!(
            attempt = head.attempt,
            resumes = head.resumes,
            service = self.call.service().as_str(),
            build = build.as_str(),
            ?source,
            "origin of a resumed stream found"
        );
        counter!("tealturn_origins_found_total", "source" => source.label()).increment(1);
    }

    fn refuse_resumption(&self, reason: &'static str) -> Refusal {
        let head = &self.call.head;
        info!(
            attempt = head.attempt,
            resumes = head.resumes,
            service = self.call.service().as_str(),
            reason,
            "resumption refused: no upstream is known to have the build that began the stream"
        );
        counter!("tealturn_resumptions_refused_total", "reason" => reason).increment(1);
        Refusal::NotRun(RETRY_AFTER)
    }

    /// Records that an upstream of this build has begun to answer with a stream. Returns its origin if
    /// other daemons must know it before the caller has an event.
    pub(super) fn begin_stream(&mut self, build: &Build) -> Option<Entry> {
        if !self.call.is_resumable() {
            return None;
        }
        let service: &Service = self.call.service();
        let entry = Entry {
            attempt: name_hash(self.call.stream_attempt()),
            service: name_hash(service.as_str()),
            build: build.clone(),
        };
        let must_tell = self.context.begin_stream(service, &entry);
        self.origin = Some(entry.build.clone());
        must_tell.then_some(entry)
    }

    /// Records that the stream to the caller has ended.
    pub(super) fn end_stream(&self) {
        let attempt = name_hash(self.call.stream_attempt());
        self.context.origins().end(attempt, self.context.now());
    }
}
