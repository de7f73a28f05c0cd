//! State shared by the gateway's tasks.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use metrics::counter;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    collections::Set,
    fleet::board::Fact,
    gateway::{
        brittle,
        budget::Budget,
        crash,
        dialect::{Dialect, Engines, Notice, Schema},
        document::Document,
        era::Eras,
        exchange::{connection::Connections, fetch::Notices},
        freshness::{Documents, Freshness},
        limit::Statement,
        member::Members,
        message::{News, Update},
        mirror::Mirror,
        origin,
        peer::{Origin, Peers},
        permit::Issuer,
        place::Placer,
        quota,
        retract::Reports,
        rollout::{Progress, Target},
        room,
        roster::{self, Endpoint, Roster, View},
        settings::Settings,
        shutdown::Shutdown,
        store::Store,
        topology::Plan,
    },
    http::{client::Client, memory::Memory},
    kernel::{
        clock::{Clock, Time},
        id::{Incarnation, Model, Request, Service},
    },
    request::suspect::Table,
    route::pool::name_hash,
};

/// The memory of calls and their bodies, as a multiple of that of upstreams' answers.
const CALL_MEMORY_PER_ANSWERS: usize = 2;

/// Platform-specific components from which a gateway is built.
pub struct Setup {
    /// The settings.
    pub settings: Settings,
    /// Clock that keeps running while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Connections to upstreams.
    pub client: Arc<Client>,
    /// Protocol of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// Encoding of rows in the store.
    pub schema: Arc<dyn Schema>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The engines' control calls.
    pub engines: Arc<dyn Engines>,
}

/// Shared state of a gateway. Snapshots that calls read are replaced atomically as a whole.
pub struct Context {
    /// The settings.
    pub settings: Settings,
    /// Incarnation of this daemon process.
    pub incarnation: Incarnation,
    /// Clock that keeps running while the VM is suspended.
    pub clock: Arc<dyn Clock>,
    /// Connections to upstreams.
    pub client: Arc<Client>,
    /// The memory of calls in progress and their bodies.
    pub calls: Arc<Memory>,
    /// Protocol of callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// Encoding of rows in the store.
    pub schema: Arc<dyn Schema>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// The engines' control calls.
    pub engines: Arc<dyn Engines>,
    /// The active document, which is the operator's configuration; replaced only by a higher
    /// version.
    pub document: ArcSwapOption<Document>,
    /// The latest era of the store.
    pub eras: Eras,
    /// The rows of the store's topics, passed on to other daemons.
    pub mirror: Mirror,
    /// Rows that other daemons have and that are too large for their messages.
    pub notices: Notices,
    /// Versions of documents, which tell whether the store has the latest one.
    pub documents: Documents,
    /// When the document was last confirmed to be the latest.
    pub freshness: Freshness,
    /// Registered upstreams of the document's services that aren't draining, whatever their health.
    pub view: ArcSwap<View>,
    /// Configured weights and the rollout progress of the engines.
    pub progress: ArcSwap<Progress>,
    /// The services from whose upstreams this daemon is cut off.
    pub cut_off: ArcSwap<Set<Service>>,
    /// Crashes that this daemon told the others of.
    pub crash_reports: Reports,
    /// Registered daemons.
    pub members: Members,
    /// Last known state of the other daemons.
    pub peers: Peers,
    /// The part of this daemon in the exchange.
    pub plan: ArcSwap<Plan>,
    /// Connections for calls to single daemons.
    pub connections: Connections,
    /// Wakes the exchange when something must be known to others at once.
    pub urgent: Notify,
    /// When another daemon last reported progress of a rollout.
    pub rollout_news: Freshness,
    /// Calls that wait for upstreams, for services whose routes differ in priority.
    pub rooms: Arc<room::service::Services>,
    /// Cancelled when a planned shutdown begins.
    pub leaving: CancellationToken,
    /// Cancelled when unfinished calls are given up, shortly before the process ends.
    pub closing: CancellationToken,
    shutdown: OnceLock<Shutdown>,
    roster: Mutex<Roster>,
    placer: Mutex<Placer>,
    budget: Mutex<Budget>,
    suspects: Mutex<Table>,
    crashes: Mutex<crash::Table>,
    origins: Mutex<origin::Table>,
    issuer: Mutex<Issuer>,
    quotas: Mutex<quota::Issuer>,
    attempt_counter: AtomicU64,
}

impl Context {
    /// Creates a context without document, upstreams or peers.
    pub fn new(setup: Setup) -> Context {
        let incarnation = Incarnation(setup.clock.wall_micros());
        let placer = Placer::new(setup.settings.prefill_tokens_per_ms, setup.settings.zone.clone());
        let budget = Budget::new(setup.settings.budget);
        let quotas = quota::Issuer::new(setup.clock.now());
        Context {
            incarnation,
            clock: setup.clock,
            calls: Memory::new(setup.client.memory().limit() * CALL_MEMORY_PER_ANSWERS),
            client: setup.client,
            dialect: setup.dialect,
            schema: setup.schema,
            store: setup.store,
            engines: setup.engines,
            document: ArcSwapOption::empty(),
            eras: Eras::default(),
            mirror: Mirror::default(),
            notices: Notices::default(),
            documents: Documents::default(),
            freshness: Freshness::default(),
            view: ArcSwap::default(),
            progress: ArcSwap::default(),
            cut_off: ArcSwap::default(),
            crash_reports: Reports::default(),
            members: Members::default(),
            peers: Peers::default(),
            plan: ArcSwap::default(),
            connections: Connections::default(),
            urgent: Notify::new(),
            rollout_news: Freshness::default(),
            rooms: Arc::default(),
            leaving: CancellationToken::new(),
            closing: CancellationToken::new(),
            shutdown: OnceLock::new(),
            roster: Mutex::default(),
            placer: Mutex::new(placer),
            budget: Mutex::new(budget),
            suspects: Mutex::default(),
            crashes: Mutex::default(),
            origins: Mutex::default(),
            issuer: Mutex::default(),
            quotas: Mutex::new(quotas),
            attempt_counter: AtomicU64::new(0),
            settings: setup.settings,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether this daemon may be listed in the addresses given to callers: it has a recently
    /// confirmed document, and no shutdown has begun. Calls that still arrive during a shutdown are
    /// served.
    pub fn is_ready(&self) -> bool {
        let fresh = self.freshness.is_within(self.settings.revocation, self.now());
        self.document.load().is_some() && fresh && !self.leaving.is_cancelled()
    }

    /// Begins a planned shutdown, in which calls may take until `ends_at`.
    pub fn begin_shutdown(&self, ends_at: Time) {
        self.shutdown.get_or_init(|| Shutdown { ends_at });
        self.leaving.cancel();
    }

    /// The planned shutdown, if one has begun.
    pub fn shutdown(&self) -> Option<&Shutdown> {
        self.shutdown.get()
    }

    /// Whether this daemon is cut off from the upstreams of a service.
    pub fn is_cut_off(&self, service: &Service) -> bool {
        self.cut_off.load().contains(service)
    }

    /// Whether callers should be sent to this daemon: it is ready and reaches upstreams.
    pub fn accepts_callers(&self) -> bool {
        let (view, cut_off) = (self.view.load(), self.cut_off.load());
        let mut used = view.services().filter(|it| !view.service(it).is_empty());
        let reaches_none = !cut_off.is_empty() && used.all(|it| cut_off.contains(it));
        self.is_ready() && !reaches_none
    }

    /// Changes the operator's targets and the rollout progress; `change` returns whether it did.
    pub fn change_progress(&self, change: impl FnOnce(&mut Progress) -> bool) -> bool {
        let mut progress = (**self.progress.load()).clone();
        let changed = change(&mut progress);
        if changed {
            self.progress.store(Arc::new(progress));
        }
        changed
    }

    /// Records a target version of a model's weights. One that is new to this daemon is logged.
    pub fn learn_target(&self, model: &Model, target: Target) {
        let mut is_new = false;
        self.change_progress(|progress| {
            is_new = !progress.has_target(model, target.version);
            progress.set_target(model, target)
        });
        if is_new {
            let age_ms = self.now().since(target.since).as_millis() as u64;
            let (version, assumed) = (target.version.0, target.is_assumed);
            info!(
                model = model.as_str(),
                version, age_ms, assumed, "new target version of weights"
            );
        }
    }

    /// Changes the roster and publishes the resulting view to calls.
    pub fn change_roster<T>(&self, change: impl FnOnce(&mut Roster) -> T) -> T {
        let mut roster = self.roster.lock().unwrap_or_else(|it| it.into_inner());
        let result = change(&mut roster);
        self.log_registrations(roster.take_changes());
        self.publish_view(&roster);
        result
    }

    /// Logs what happened to upstreams whose registrations are or were missing.
    fn log_registrations(&self, changes: Vec<roster::Change>) {
        let now = self.now();
        for change in changes {
            match change {
                roster::Change::Kept(upstream, until) => {
                    let (upstream, ms) = (upstream.as_str(), until.since(now).as_millis() as u64);
                    info!(upstream, ms, "upstream kept although its registration is missing");
                }
                roster::Change::Dropped(upstream, missing) => {
                    counter!("tealturn_upstreams_dropped_total").increment(1);
                    let (upstream, missing_ms) = (upstream.as_str(), missing.as_millis() as u64);
                    info!(upstream, missing_ms, "upstream dropped: its registration is missing");
                }
                roster::Change::Returned(upstream, since) => {
                    let missing_ms = now.since(since).as_millis() as u64;
                    info!(upstream = upstream.as_str(), missing_ms, "upstream registered again");
                }
            }
        }
    }

    /// Publishes the upstreams of the document's services. Another writer may register upstreams of others,
    /// which are not to get any calls or orders, or a daemon, which would pass the calls on to upstreams again.
    fn publish_view(&self, roster: &Roster) {
        let document = self.document.load();
        let is_known = |it: &Service| document.as_ref().is_none_or(|known| known.has_service(it));
        let view = roster.view().limited_to(is_known).without_addresses(&self.members.addresses());
        for service in view.services() {
            brittle::pace_new(view.service(service), self.now());
        }
        self.view.store(Arc::new(view));
    }

    /// Removes upstreams whose registrations are gone, and publishes the view if there were any.
    /// Returns when to call it again, if a time is known.
    pub fn expire_upstreams(&self) -> Option<Time> {
        let now = self.now();
        let mut roster = self.roster.lock().unwrap_or_else(|it| it.into_inner());
        if !roster.has_unsettled() {
            return None;
        }
        let next = roster.expire(now);
        self.log_registrations(roster.take_changes());
        self.publish_view(&roster);
        next
    }

    /// Records what an upstream says of itself in an answer to a request that was sent at `sent_at`.
    pub fn take_notice(&self, upstream: &Endpoint, notice: Notice, sent_at: Time) {
        let (name, health) = (upstream.name.as_str(), &upstream.health);
        if notice.leaving && health.record_leaving() {
            info!(upstream = name, "upstream announced that it leaves");
        }
        if health.record_brittleness(notice.brittleness, sent_at, self.now()) {
            let rejections_per_s = health.brittleness();
            counter!("tealturn_brittle_upstreams_total")
                .increment(u64::from(rejections_per_s.is_some()));
            info!(
                upstream = name,
                rejections_per_s, "upstream changed the rejections a second that it withstands"
            );
        }
        if health.brittleness().is_some() && notice.limit == Statement::Unlimited {
            return self.pace(upstream, brittle::Event::Answered);
        }
        if health.record_limit(notice.limit, sent_at, self.now()) {
            let rate = health.limit().rate;
            counter!("tealturn_limits_named_total").increment(u64::from(rate.is_some()));
            info!(upstream = name, rate, "upstream changed the limit on its requests a second");
            self.urgent.notify_one();
        }
    }

    /// Changes the pace of requests to a brittle upstream after an answer.
    fn pace(&self, upstream: &Endpoint, event: brittle::Event) {
        let (now, health) = (self.now(), &upstream.health);
        let Some(rejections_per_s) = health.brittleness() else {
            return;
        };
        let (slots, limit) = (upstream.record.slots, health.limit());
        let (call_time, calls) = self.call_time(&upstream.record.service);
        let state = brittle::State { rejections_per_s, slots, call_time, calls, limit };
        let Some(rate) = brittle::decide(&state, event, now) else {
            return;
        };
        health.set_pace(rate, now);
        info!(
            upstream = upstream.name.as_str(),
            rate,
            before = limit.rate,
            ?event,
            call_ms = call_time.as_millis() as u64,
            "pace of requests to a brittle upstream changed"
        );
        self.urgent.notify_one();
    }

    /// The mean duration of the calls of this daemon that upstreams of a service completed, and the
    /// number of calls.
    fn call_time(&self, service: &Service) -> (Duration, u32) {
        let (mut sum, mut count) = (Duration::ZERO, 0);
        for endpoint in self.view.load().service(service) {
            let (mean, calls) = endpoint.health.call_time();
            sum += mean * calls;
            count += calls;
        }
        (sum.checked_div(count).unwrap_or_default(), count)
    }

    /// Records that an upstream rejected a call; returns whether it is brittle, and gets no calls for
    /// a while.
    pub fn spare(&self, upstream: &Endpoint) -> bool {
        let Some(rejections_per_s) = upstream.health.brittleness() else {
            return false;
        };
        counter!("tealturn_brittle_rejections_total").increment(1);
        self.pace(upstream, brittle::Event::Rejected);
        let pause = brittle::pause(rejections_per_s, self.members.count(), rand::random());
        upstream.health.await_permit(self.now() + pause);
        true
    }

    /// Selects upstreams for calls.
    pub fn placer(&self) -> MutexGuard<'_, Placer> {
        self.placer.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Requests suspected of crashing upstreams.
    pub fn suspects(&self) -> MutexGuard<'_, Table> {
        self.suspects.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Parts of prompts that crash upstreams.
    pub fn crashes(&self) -> MutexGuard<'_, crash::Table> {
        self.crashes.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Changes what is known of parts that crash upstreams, and logs which ones are barred from now
    /// on, or no longer.
    pub fn change_crashes<T>(&self, change: impl FnOnce(&mut crash::Table) -> T) -> T {
        let mut crashes = self.crashes();
        let result = change(&mut crashes);
        let changes = crashes.take_changes();
        drop(crashes);
        for change in changes {
            match change {
                crash::Change::Barred { part, crashes, depth } => {
                    counter!("tealturn_parts_barred_total").increment(1);
                    let part = format!("{part:x}");
                    info!(part, crashes, depth, "part of prompts barred: it crashes upstreams");
                }
                crash::Change::Lifted { part } => {
                    info!(part = format!("{part:x}"), "part of prompts no longer barred");
                }
            }
        }
        result
    }

    /// Tells the other daemons of parts that were in prompts when an upstream crashed, or were
    /// cleared of that.
    pub fn publish_crashes(&self, facts: Vec<crash::Fact>) {
        if facts.is_empty() {
            return;
        }
        let mut updates = self.peers.updates();
        for fact in facts {
            updates.push(Origin::Own, Update { hops: 0, news: News::Crashed(fact) });
        }
        drop(updates);
        self.urgent.notify_one();
    }

    /// Tells the other daemons of requests that crashed upstreams, or were cleared of that.
    pub fn publish_suspects(&self, facts: Vec<Fact>) {
        if facts.is_empty() {
            return;
        }
        let mut updates = self.peers.updates();
        for fact in facts {
            updates.push(Origin::Own, Update { hops: 0, news: News::Suspect(fact) });
        }
        drop(updates);
        self.urgent.notify_one();
    }

    /// Permits that this daemon issues.
    pub fn issuer(&self) -> MutexGuard<'_, Issuer> {
        self.issuer.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Accounts of the quotas of workspaces.
    pub fn quotas(&self) -> MutexGuard<'_, quota::Issuer> {
        self.quotas.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Which builds began the recent streams.
    pub fn origins(&self) -> MutexGuard<'_, origin::Table> {
        self.origins.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Records that an upstream has begun to answer with a stream of a service; returns whether other
    /// daemons need to know.
    pub fn begin_stream(&self, service: &Service, entry: &origin::Entry) -> bool {
        let (view, now) = (self.view.load(), self.now());
        let mut origins = self.origins();
        origins.begin(entry, now);
        let untold = origins.take_unshared(entry.service, view.builds(service), now);
        drop(origins);
        let is_untold = untold.contains(entry);
        self.send_origins(untold);
        is_untold
    }

    /// Tells the other daemons which builds began this daemon's streams of a service, if they need
    /// to know and weren't told.
    pub fn publish_origins(&self, service: &Service) {
        let (view, hash) = (self.view.load(), name_hash(service.as_str()));
        let untold = self.origins().take_unshared(hash, view.builds(service), self.now());
        self.send_origins(untold);
    }

    fn send_origins(&self, entries: Vec<origin::Entry>) {
        let mut updates = self.peers.updates();
        for entry in entries {
            updates.push(Origin::Own, Update { hops: 0, news: News::Began(entry) });
        }
    }

    /// An identifier for one attempt of a call, unique within this daemon process.
    pub fn next_attempt_id(&self) -> Request {
        Request(u128::from(self.attempt_counter.fetch_add(1, Ordering::Relaxed)))
    }

    /// The retry budget.
    pub fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(|it| it.into_inner())
    }
}
