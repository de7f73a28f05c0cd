//! Gives engines the orders to load weights, under a lease.

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
        peer::Told,
        rollout::{
            Lease, LeaseAction, LeaseWatch, LoadStage, LoadStatus, LoadStatuses,
            max_concurrent_loads,
        },
        roster::Endpoint,
        store::{Row, StoreError, Topic, Write, WriteOutcome},
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// The key of the lease on orders.
const LEASE_KEY: &str = "weights";

/// A holder gives no order later than this after it sent its last renewal.
const TENURE: Duration = Duration::from_millis(1_000);

/// The time between renewals while orders are given.
const RENEW_EVERY: Duration = Duration::from_millis(400);

/// The time between looks at what is to be done.
const TICK: Duration = Duration::from_millis(50);

/// The time between looks at a lease that another holds.
const WATCH_EVERY: Duration = Duration::from_millis(500);

/// How much later each further daemon, by its place among their names, looks for a free lease.
const STAGGER: Duration = Duration::from_millis(150);

/// A margin for clocks and the way of a call.
const MARGIN: Duration = Duration::from_millis(500);

/// A lease that this daemon holds.
#[derive(Clone, Debug)]
struct Tenure {
    fence: u64,
    /// The row's version.
    version: u64,
    /// When its last renewal was sent.
    renewed: Time,
    /// Until when orders may be given, in microseconds; shared with the loads.
    until: Arc<AtomicU64>,
}

/// Gives orders whenever engines lack weights, until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let operator = Operator {
        context,
        tenure: None,
        watch: LeaseWatch::default(),
        look_at: Time::default(),
        loading: Map::default(),
        marks: Map::default(),
        loads: JoinSet::new(),
        room: Map::default(),
        writes: JoinSet::new(),
        wrote: Time::default(),
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = operator.run() => {}
    }
}

struct Operator {
    context: Arc<Context>,
    tenure: Option<Tenure>,
    watch: LeaseWatch,
    look_at: Time,
    /// Engines that were ordered to load, or are about to be.
    loading: Map<Upstream, (Model, Version)>,
    marks: Map<Model, LoadStatuses>,
    loads: JoinSet<(Upstream, Model, Version, bool)>,
    /// Room for the loads of each model that have been ordered.
    room: Map<Model, Arc<Semaphore>>,
    /// Writes of the lease that have no answer yet. Work goes on meanwhile, and a lost answer delays
    /// no other.
    writes: JoinSet<Attempt>,
    /// When the lease was written last.
    wrote: Time,
}

/// A write of the lease.
struct Attempt {
    sent: Time,
    fence: u64,
    result: Result<WriteOutcome, StoreError>,
}

impl Operator {
    async fn run(mut self) {
        loop {
            time::sleep(TICK).await;
            if self.work().is_empty() && self.loading.is_empty() {
                self.watch.reset();
                self.look_at = Time::default();
                continue;
            }
            if self.context.leaving.is_cancelled() && self.tenure.is_none() {
                continue;
            }
            self.settle();
            self.hold().await;
            if self.tenure.is_some() {
                self.collect();
                // Looked at anew: the engines whose loads have just ended are done.
                let work = self.work();
                self.start(work);
            }
        }
    }

    /// The engines of each model that lack its weights.
    fn work(&self) -> Vec<(Model, Version, Vec<Arc<Endpoint>>)> {
        let progress = self.context.progress.load();
        let view = self.context.view.load();
        let mut work = Vec::new();
        for (model, target) in progress.targets() {
            let pending = progress.pending(&view, model);
            if !pending.is_empty() {
                work.push((model.clone(), target.version, pending));
            }
        }
        work
    }

    /// Renews the lease or takes it, when the time has come.
    async fn hold(&mut self) {
        let now = self.context.now();
        if let Some(tenure) = &self.tenure {
            if now.since(self.wrote) >= RENEW_EVERY {
                let (version, fence) = (tenure.version, tenure.fence);
                self.put(version, fence);
            }
            return;
        }
        if !self.writes.is_empty() {
            return;
        }
        if self.look_at == Time::default() {
            self.look_at = now + STAGGER * self.place() as u32;
        }
        if now < self.look_at {
            return;
        }
        self.look_at = now + WATCH_EVERY;
        let row = match self.context.store.get(Topic::Leases, LEASE_KEY).await {
            Ok(row) => row,
            Err(failure) => return warn!(%failure, "lease not read"),
        };
        self.decide(row).await;
    }

    async fn decide(&mut self, row: Option<Row>) {
        let value = row.as_ref().and_then(|it| it.value.as_deref());
        let lease: Option<Lease> = value.and_then(|it| serde_json::from_slice(it).ok());
        let own = value.is_some_and(|it| self.is_own(it));
        let idle = TENURE + self.context.settings.lease + MARGIN;
        let version = row.map(|it| it.version);
        let now = self.context.now();
        let fence = lease.map_or(0, |it| it.fence);
        match self.watch.decide(version, own, idle, now) {
            LeaseAction::Renew => self.put(version.unwrap_or(0), fence),
            LeaseAction::TakeOver => self.put(version.unwrap_or(0), fence + 1),
            LeaseAction::Wait => {}
        }
    }

    /// Writes the lease if its row has the `expected` version.
    fn put(&mut self, expected: u64, fence: u64) {
        let context = self.context.clone();
        let lease = Lease {
            holder: context.settings.daemon.as_str().to_owned(),
            incarnation: context.incarnation,
            fence,
        };
        let value = match serde_json::to_vec(&lease) {
            Ok(value) => value,
            Err(error) => return warn!(%error, "lease not encoded"),
        };
        let (topic, key) = (Topic::Leases, LEASE_KEY.to_owned());
        let write = Write { topic, key, expected: Some(expected), value: Some(value) };
        let sent = context.now();
        self.wrote = sent;
        self.writes.spawn(async move {
            let result = context.store.write(&write).await;
            Attempt { sent, fence, result }
        });
    }

    /// Takes note of the writes that have an answer.
    fn settle(&mut self) {
        while let Some(attempt) = self.writes.try_join_next() {
            let Ok(Attempt { sent, fence, result }) = attempt else {
                continue;
            };
            match result {
                Ok(WriteOutcome::Committed(version)) => self.renewed(sent, fence, version),
                Ok(WriteOutcome::Conflict(row)) => self.conflict(row),
                // Orders end with the time of the last renewal. Whether it was written shows in
                // the answer to the next one.
                Err(failure) => warn!(%failure, "lease not written"),
            }
        }
    }

    fn renewed(&mut self, sent: Time, fence: u64, version: u64) {
        let (until, renewed, version) = match &self.tenure {
            Some(it) => (it.until.clone(), it.renewed.max(sent), it.version.max(version)),
            None => {
                info!(fence, "lease on orders taken");
                (Arc::default(), sent, version)
            }
        };
        until.store((renewed + TENURE).0, Ordering::Release);
        self.tenure = Some(Tenure { fence, version, renewed, until });
    }

    /// The row is not as it was expected: a renewal whose answer was lost may have been written.
    fn conflict(&mut self, row: Option<Row>) {
        let version = row.as_ref().map(|it| it.version);
        let own = row.and_then(|it| it.value).is_some_and(|it| self.is_own(&it));
        match (&mut self.tenure, version) {
            // An earlier write, whose answer is still on its way or lost.
            (Some(tenure), Some(version)) if own => {
                if tenure.version < version {
                    tenure.version = version;
                    self.wrote = Time::default();
                }
            }
            (None, _) if own => {}
            _ => self.lose("another daemon wrote it"),
        }
    }

    /// Whether the value of a lease's row names this run of this daemon.
    fn is_own(&self, value: &[u8]) -> bool {
        let lease: Option<Lease> = serde_json::from_slice(value).ok();
        lease.is_some_and(|it| {
            let same = it.holder == self.context.settings.daemon.as_str();
            same && it.incarnation == self.context.incarnation
        })
    }

    fn lose(&mut self, reason: &str) {
        if let Some(tenure) = self.tenure.take() {
            tenure.until.store(0, Ordering::Release);
            info!(reason, "lease on orders lost");
        }
        self.loads.abort_all();
        self.room.clear();
        self.marks.clear();
        self.context.told.store(Arc::default());
        self.loading.clear();
        self.watch.reset();
    }

    /// This daemon's place among the names of all.
    fn place(&self) -> usize {
        let own = self.context.settings.daemon.as_str();
        let all = self.context.members.all();
        all.iter().take_while(|(name, _)| name != own).count()
    }

    /// Takes note of the loads that ended.
    fn collect(&mut self) {
        let mut changed = Vec::new();
        while let Some(ended) = self.loads.try_join_next() {
            let Ok((engine, model, version, loaded)) = ended else {
                continue;
            };
            self.loading.remove(&engine);
            if let Some(marks) = self.marks.get_mut(&model) {
                let own = marks.marks.iter_mut().find(|it| it.engine == engine);
                match (own, loaded) {
                    (Some(mark), true) => mark.stage = LoadStage::Loaded,
                    _ => marks.marks.retain(|it| it.engine != engine),
                }
            }
            info!(engine = engine.as_str(), version = version.0, loaded, "load ended");
            changed.push(model);
        }
        for model in changed {
            self.publish(&model);
        }
    }

    /// Starts as many loads as may run at once.
    fn start(&mut self, work: Vec<(Model, Version, Vec<Arc<Endpoint>>)>) {
        for (model, version, pending) in work {
            let at_once =
                max_concurrent_loads(self.engines(&model), self.context.settings.load_share);
            let ordered = at_once + at_once.div_ceil(2);
            let semaphore = || Arc::new(Semaphore::new(ordered));
            let slots = self.room.entry(model.clone()).or_insert_with(semaphore).clone();
            let room = (ordered + 1).saturating_sub(self.loading.len());
            let free = pending.into_iter().filter(|it| !self.loading.contains_key(&it.name));
            let next: Vec<_> = free.take(room).collect();
            if next.is_empty() {
                continue;
            }
            for engine in &next {
                self.loading.insert(engine.name.clone(), (model.clone(), version));
                let marks = &mut self.marks.entry(model.clone()).or_default().marks;
                marks.retain(|it| it.engine != engine.name);
                marks.push(LoadStatus {
                    engine: engine.name.clone(),
                    incarnation: engine.record.incarnation,
                    version,
                    stage: LoadStage::Loading,
                });
            }
            self.publish(&model);
            for engine in next {
                self.spawn(engine, model.clone(), version, slots.clone());
            }
        }
    }

    fn engines(&self, model: &Model) -> usize {
        let view = self.context.view.load();
        view.all().filter(|it| it.version(model).is_some()).count()
    }

    fn spawn(
        &mut self,
        engine: Arc<Endpoint>,
        model: Model,
        version: Version,
        slots: Arc<Semaphore>,
    ) {
        let Some(tenure) = &self.tenure else { return };
        let load = Load {
            context: self.context.clone(),
            engine,
            model,
            version,
            slots,
            fence: tenure.fence,
            until: tenure.until.clone(),
        };
        self.loads.spawn(load.run());
    }

    /// Tells all daemons how far the engines are.
    fn publish(&self, model: &Model) {
        let Some(marks) = self.marks.get(model) else {
            return;
        };
        let fence = self.tenure.as_ref().map_or(0, |it| it.fence);
        let mut progress = (**self.context.progress.load()).clone();
        progress.update_statuses(model, fence, marks);
        self.context.progress.store(Arc::new(progress));
        let mut told = self.context.told.load().to_vec();
        told.retain(|it| it.model != *model);
        told.push(Told { model: model.clone(), fence, marks: marks.clone() });
        self.context.told.store(Arc::new(told));
    }
}
