//! Orders engines to load weights while this daemon holds a lease.

mod load;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Semaphore, task::JoinSet, time};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    collections::Map,
    gateway::{
        context::Context,
        operate::load::Load,
        rollout::{self, Lease, max_concurrent_loads},
        roster::Endpoint,
        store::{self, Answer, Era, Row, Topic, Write},
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// Key of the lease that permits load orders.
const LEASE_KEY: &str = "weights";

/// Time after sending a successful lease write during which the holder may send orders.
const ORDER_WINDOW: Duration = Duration::from_millis(1_000);

/// Interval between lease renewals while loads are pending or in progress.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between scheduling rounds.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Additional delay before the first lease check, per rank in the daemon's
/// [`Plan`](crate::gateway::topology::Plan).
const STAGGER_PER_DAEMON: Duration = Duration::from_millis(150);

/// Longest such delay.
const MAX_STAGGER: Duration = Duration::from_millis(5_000);

/// Time since the last news of a rollout during which another daemon is assumed to hold the lease.
const HOLDER_SILENCE: Duration = Duration::from_millis(700);

/// Interval between checks for engines that lack their target weights.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// Allowance for network latency and for different rates of the daemons' clocks before a takeover.
/// Each daemon measures durations with its own clock only.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(500);

/// The lease as last written by this daemon. It is kept while nothing is to be loaded, when it is
/// neither renewed nor released.
#[derive(Clone, Debug)]
struct Grant {
    fence: u64,
    /// Version of the lease's row.
    version: u64,
    /// When the last successful renewal was sent.
    renewed_at: Time,
    /// Time until which orders may be sent, in microseconds; shared with running loads.
    order_deadline: Arc<AtomicU64>,
}

impl Grant {
    /// Whether orders may be sent.
    fn may_order(&self, now: Time) -> bool {
        now < Time(self.order_deadline.load(Ordering::Acquire))
    }
}

/// Orders loads whenever engines lack their target weights, until `stop` is cancelled.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let scheduler = Scheduler {
        context,
        era: Era::default(),
        held_lease: None,
        watch: rollout::Watch::default(),
        next_check: Time::default(),
        loading: Map::default(),
        statuses: Map::default(),
        revision: 0,
        loads: JoinSet::new(),
        permits: Map::default(),
        writes: JoinSet::new(),
        last_write: Time::default(),
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = scheduler.run() => {}
    }
}

struct Scheduler {
    context: Arc<Context>,
    /// The latest era of the store; the lease is held and watched within it.
    era: Era,
    held_lease: Option<Grant>,
    watch: rollout::Watch,
    /// When to read the lease next; zero if no read is scheduled.
    next_check: Time,
    /// Engines that are loading or scheduled to load.
    loading: Map<Upstream, (Model, Version)>,
    statuses: Map<Model, rollout::Statuses>,
    /// Counts the published changes of `statuses`, also over several terms of the lease.
    revision: u64,
    loads: JoinSet<(Upstream, Model, Version, bool)>,
    /// Limits the number of ordered loads of each model.
    permits: Map<Model, Arc<Semaphore>>,
    /// Lease writes without a result yet. Scheduling and renewals continue meanwhile, so a lost
    /// response delays no renewal; an attempt to acquire the lease waits until there are none.
    writes: JoinSet<Response>,
    /// When the last lease write was sent; zero if a renewal is due at once.
    last_write: Time,
}

/// A completed lease write.
struct Response {
    sent_at: Time,
    /// The era of the row that the write builds on.
    era: Era,
    fence: u64,
    result: Result<Answer<store::Outcome>, store::Error>,
}

impl Scheduler {
    async fn run(mut self) {
        let mut interval = TICK_INTERVAL;
        loop {
            time::sleep(interval).await;
            interval = IDLE_INTERVAL;
            self.enter_latest_era();
            // Without loads, a held lease is not renewed. The next renewal continues it, or fails
            // if another daemon has taken it over.
            if self.pending_loads().is_empty() && self.loading.is_empty() {
                self.watch.reset();
                self.next_check = Time::default();
                continue;
            }
            // A daemon that is shutting down acquires no lease, but keeps one that it holds.
            if self.context.leaving.is_cancelled() && self.held_lease.is_none() {
                continue;
            }
            self.process_lease_writes();
            self.maintain_lease().await;
            if let Some(lease) = &self.held_lease {
                let may_order = lease.may_order(self.context.now());
                interval = TICK_INTERVAL;
                self.collect_finished();
                // Loads would end at once, and their statuses would tell others that this daemon
                // still orders.
                if !may_order {
                    continue;
                }
                // Recomputed, because loads that have just finished are no longer pending.
                let pending_loads = self.pending_loads();
                self.start_loads(pending_loads);
            }
        }
    }

    /// Gives up the lease if the store came back from an older copy: others may have it, under a
    /// version that was given out again.
    fn enter_latest_era(&mut self) {
        let Some((era, since)) = self.context.eras.observed().filter(|it| it.0 > self.era) else {
            return;
        };
        self.era = era;
        self.drop_lease("the store came back from an older copy");
        self.watch.restored(since);
    }

    /// Returns the engines of each model that lack its target weights.
    fn pending_loads(&self) -> Vec<(Model, Version, Vec<Arc<Endpoint>>)> {
        let progress = self.context.progress.load();
        let view = self.context.view.load();
        let peers = self.context.peers.peer_load(self.context.now());
        let mut loads = Vec::new();
        for (model, target) in progress.targets() {
            let pending = progress.pending(&view, model, &peers);
            if !pending.is_empty() {
                loads.push((model.clone(), target.version, pending));
            }
        }
        loads
    }

    /// Renews the lease or tries to acquire it, when due.
    async fn maintain_lease(&mut self) {
        let now = self.context.now();
        if let Some(lease) = &self.held_lease {
            if now.since(self.last_write) >= RENEW_INTERVAL {
                let (version, fence) = (lease.version, lease.fence);
                self.write_lease(version, fence);
            }
            return;
        }
        if !self.writes.is_empty() {
            return;
        }
        if self.next_check == Time::default() {
            let rank = u32::try_from(self.context.plan.load().rank).unwrap_or(u32::MAX);
            self.next_check = now + STAGGER_PER_DAEMON.saturating_mul(rank).min(MAX_STAGGER);
        }
        let is_watcher = self.context.plan.load().is_watcher;
        let is_held = self.context.rollout_news.is_within(HOLDER_SILENCE, now);
        let interval = rollout::check_interval(is_watcher, is_held);
        if is_held && !is_watcher {
            self.next_check = self.next_check.max(now + interval);
        }
        if now < self.next_check {
            return;
        }
        self.next_check = now + interval;
        let answer = match self.context.store.get(Topic::Leases, LEASE_KEY).await {
            Ok(answer) => answer,
            Err(failure) => return warn!(%failure, "failed to read the lease"),
        };
        self.observe(answer.era);
        if answer.era == self.era {
            self.evaluate_lease(answer.value).await;
        }
    }

    fn observe(&mut self, era: Era) {
        self.context.eras.observe(era, self.context.now());
        self.enter_latest_era();
    }

    async fn evaluate_lease(&mut self, row: Option<Row>) {
        let value = row.as_ref().and_then(|it| it.value.as_deref());
        let lease: Option<Lease> = value.and_then(|it| serde_json::from_slice(it).ok());
        let is_own = value.is_some_and(|it| self.is_own(it));
        // `settings.order_gap` is the minimum time between the orders of two holders.
        let takeover_delay = ORDER_WINDOW + self.context.settings.order_gap + TAKEOVER_MARGIN;
        let version = row.map(|it| it.version);
        let now = self.context.now();
        let fence = lease.map_or(0, |it| it.fence);
        match self.watch.decide(version, is_own, takeover_delay, now) {
            rollout::Action::Renew => self.write_lease(version.unwrap_or(0), fence),
            rollout::Action::TakeOver => {
                // The row may be older than the last holder's, if a late write replaced it.
                let fence = fence.max(self.context.progress.load().latest_fence());
                let fence = rollout::next_fence(fence, self.era);
                self.write_lease(version.unwrap_or(0), fence);
            }
            rollout::Action::Wait => {}
        }
    }

    /// Starts a write of the lease, conditional on the row's `expected` version.
    fn write_lease(&mut self, expected: u64, fence: u64) {
        let context = self.context.clone();
        let lease = Lease {
            holder: context.settings.daemon.as_str().to_owned(),
            incarnation: context.incarnation,
            fence,
        };
        let value = match serde_json::to_vec(&lease) {
            Ok(value) => value,
            Err(error) => return warn!(%error, "failed to encode the lease"),
        };
        let (topic, key) = (Topic::Leases, LEASE_KEY.to_owned());
        let write = Write { topic, key, expected: Some(expected), value: Some(value) };
        let (sent_at, era) = (context.now(), self.era);
        self.last_write = sent_at;
        self.writes.spawn(async move {
            let result = context.store.write(&write).await;
            Response { sent_at, era, fence, result }
        });
    }

    /// Processes the results of completed lease writes.
    fn process_lease_writes(&mut self) {
        while let Some(write) = self.writes.try_join_next() {
            let Ok(Response { sent_at, era, fence, result }) = write else {
                continue;
            };
            let result = result.map(|answer| {
                self.observe(answer.era);
                (era == self.era).then_some(answer.value)
            });
            match result {
                // The row that the write builds on is gone, and another may have its version.
                Ok(None) => {}
                Ok(Some(store::Outcome::Committed(version))) => {
                    self.lease_written(sent_at, fence, version)
                }
                Ok(Some(store::Outcome::Conflict(row))) => self.lease_conflict(row),
                // Orders stop when the last successful renewal runs out. The response to the next
                // write shows whether this one took effect.
                Err(failure) => warn!(%failure, "failed to write the lease"),
            }
        }
    }

    fn lease_written(&mut self, sent_at: Time, fence: u64, version: u64) {
        let (order_deadline, renewed_at, version) = match &self.held_lease {
            Some(it) => {
                (it.order_deadline.clone(), it.renewed_at.max(sent_at), it.version.max(version))
            }
            None => {
                info!(fence, "acquired the lease on load orders");
                (Arc::default(), sent_at, version)
            }
        };
        order_deadline.store((renewed_at + ORDER_WINDOW).0, Ordering::Release);
        self.held_lease = Some(Grant { fence, version, renewed_at, order_deadline });
    }

    /// Handles a version conflict. An earlier renewal whose response was lost may have caused it.
    fn lease_conflict(&mut self, row: Option<Row>) {
        let version = row.as_ref().map(|it| it.version);
        let is_own = row.and_then(|it| it.value).is_some_and(|it| self.is_own(&it));
        match (&mut self.held_lease, version) {
            // An earlier write of this daemon, whose response is pending or lost.
            (Some(lease), Some(version)) if is_own => {
                if lease.version < version {
                    lease.version = version;
                    self.last_write = Time::default();
                }
            }
            (None, _) if is_own => {}
            _ => self.drop_lease("another daemon wrote the lease"),
        }
    }

    /// Whether a lease's row names this daemon and its current incarnation, in the current era.
    fn is_own(&self, value: &[u8]) -> bool {
        let lease: Option<Lease> = serde_json::from_slice(value).ok();
        lease.is_some_and(|it| {
            let is_same_daemon = it.holder == self.context.settings.daemon.as_str();
            let is_same_process = is_same_daemon && it.incarnation == self.context.incarnation;
            is_same_process && rollout::is_fence_of(it.fence, self.era)
        })
    }

    fn drop_lease(&mut self, reason: &str) {
        if let Some(lease) = self.held_lease.take() {
            lease.order_deadline.store(0, Ordering::Release);
            info!(reason, "lost the lease on load orders");
        }
        self.loads.abort_all();
        self.permits.clear();
        self.statuses.clear();
        self.loading.clear();
        self.watch.reset();
    }

    /// Processes finished loads.
    fn collect_finished(&mut self) {
        let mut changed = Vec::new();
        while let Some(finished) = self.loads.try_join_next() {
            let Ok((engine, model, version, loaded)) = finished else {
                continue;
            };
            self.loading.remove(&engine);
            if let Some(statuses) = self.statuses.get_mut(&model) {
                let status = statuses.marks.iter_mut().find(|it| it.engine == engine);
                match (status, loaded) {
                    (Some(status), true) => status.stage = rollout::Stage::Loaded,
                    _ => statuses.marks.retain(|it| it.engine != engine),
                }
            }
            info!(engine = engine.as_str(), version = version.0, loaded, "load ended");
            changed.push(model);
        }
        for model in changed {
            self.publish_statuses(&model);
        }
    }

    /// Starts loads up to the concurrency limit.
    fn start_loads(&mut self, pending_loads: Vec<(Model, Version, Vec<Arc<Endpoint>>)>) {
        for (model, version, pending) in pending_loads {
            let max_loads =
                max_concurrent_loads(self.engine_count(&model), self.context.settings.load_share);
            // Half as many loads again are ordered, because reports of finished loads lag.
            let max_ordered = max_loads + max_loads.div_ceil(2);
            let semaphore = || Arc::new(Semaphore::new(max_ordered));
            let permits = self.permits.entry(model.clone()).or_insert_with(semaphore).clone();
            // One more engine finishes its running calls while it waits for a permit: more of them
            // would take too much capacity from the calls.
            let available = (max_ordered + 1).saturating_sub(self.loading.len());
            let idle = pending.into_iter().filter(|it| !self.loading.contains_key(&it.name));
            let next: Vec<_> = idle.take(available).collect();
            if next.is_empty() {
                continue;
            }
            for engine in &next {
                self.loading.insert(engine.name.clone(), (model.clone(), version));
                let statuses = &mut self.statuses.entry(model.clone()).or_default().marks;
                statuses.retain(|it| it.engine != engine.name);
                statuses.push(rollout::Status {
                    engine: engine.name.clone(),
                    incarnation: engine.record.incarnation,
                    version,
                    stage: rollout::Stage::Loading,
                });
            }
            self.publish_statuses(&model);
            for engine in next {
                self.spawn_load(engine, model.clone(), version, permits.clone());
            }
        }
    }

    fn engine_count(&self, model: &Model) -> usize {
        let view = self.context.view.load();
        view.all().filter(|it| it.version(model).is_some()).count()
    }

    fn spawn_load(
        &mut self,
        engine: Arc<Endpoint>,
        model: Model,
        version: Version,
        permits: Arc<Semaphore>,
    ) {
        let Some(lease) = &self.held_lease else { return };
        let load = Load {
            context: self.context.clone(),
            engine,
            model,
            version,
            permits,
            fence: lease.fence,
            order_deadline: lease.order_deadline.clone(),
        };
        self.loads.spawn(load.run());
    }

    /// Publishes the model's load statuses to this daemon and its peers.
    fn publish_statuses(&mut self, model: &Model) {
        let Some(statuses) = self.statuses.get_mut(model) else {
            return;
        };
        self.revision += 1;
        statuses.revision = self.revision;
        let fence = self.held_lease.as_ref().map_or(0, |it| it.fence);
        self.context.change_progress(|it| it.update_statuses(model, fence, statuses));
        self.context.urgent.notify_one();
    }
}
