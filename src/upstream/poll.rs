//! Keeps the directory of upstreams: asks the VM list, and each upstream for its load.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use metrics::{counter, gauge};
use rand::RngExt;
use tokio::{sync::mpsc, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::{
    Error,
    collections::{Map, Set},
    fleet::board::Key,
    http::client::{self, Client},
    kernel::{
        clock::Time,
        context::Context,
        id::{self, Incarnation},
        registry::{Component, Registration},
    },
    platform::vm::Entry,
    serve::suspects,
    timeline::Subject,
    upstream::{
        roster::{Change, Probe, Roster, Target},
        wire::Load,
    },
};

/// Between two questions to the VM list.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Between two probes of one upstream, while there are few.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probes a second, over all upstreams.
const PROBES_PER_SECOND: u32 = 100;

/// Probes in progress at once.
const MAX_PROBES: usize = 128;

/// The longest wait for the answer to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(750);

/// How often the directory is brought up to date.
const TICK: Duration = Duration::from_millis(25);

/// Intervals are drawn from this share above and below their mean, in percent.
const JITTER_PERCENT: u32 = 20;

/// What a probe asks for.
const PATH: &str = "/v1/load";

struct Poll;

inventory::submit! {
    Registration { name: "upstream_poll", make: || Box::new(Poll) }
}

#[async_trait]
impl Component for Poll {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let (sender, mut lists) = mpsc::channel(1);
        let mut helpers = JoinSet::new();
        helpers.spawn(list(context.clone(), sender));
        let mut work = Work::new(context);
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => work.tick(),
                Some(entries) = lists.recv() => work.list(&entries),
                Some(done) = work.probes.join_next() => work.probed(done),
            }
        }
    }
}

/// Asks the VM list again and again. Its being down changes nothing.
async fn list(context: Arc<Context>, sender: mpsc::Sender<Vec<Entry>>) {
    loop {
        match context.vms.entries().await {
            Ok(entries) => {
                if sender.send(entries).await.is_err() {
                    return;
                }
            }
            Err(_) => counter!("tealturn_vm_list_failures_total").increment(1),
        }
        time::sleep(jitter(LIST_INTERVAL)).await;
    }
}

struct Work {
    context: Arc<Context>,
    roster: Roster,
    due: Map<id::Upstream, Time>,
    probing: Set<id::Upstream>,
    probes: JoinSet<(id::Upstream, Probe)>,
}

impl Work {
    fn new(context: Arc<Context>) -> Work {
        Work {
            context,
            roster: Roster::default(),
            due: Map::default(),
            probing: Set::default(),
            probes: JoinSet::new(),
        }
    }

    fn list(&mut self, entries: &[Entry]) {
        let changes = self.roster.list(entries, self.context.now());
        for (name, change) in changes {
            self.record(&name, change);
            self.publish(&name);
        }
        self.probe_due();
    }

    fn tick(&mut self) {
        let now = self.context.now();
        let facts = self.context.board.facts(|it| matches!(it, Key::Upstream(_)));
        for (name, change) in self.roster.merge(&facts, now) {
            self.record(&name, change);
        }
        self.probe_due();
        self.swap();
    }

    fn probed(&mut self, done: Result<(id::Upstream, Probe), tokio::task::JoinError>) {
        let Ok((name, probe)) = done else { return };
        self.probing.remove(&name);
        let changes = self.roster.probe(&name, probe, self.context.now());
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.record(&name, change);
        }
        self.publish(&name);
        self.swap();
    }

    fn probe_due(&mut self) {
        let now = self.context.now();
        let targets = self.roster.targets();
        self.due.retain(|name, _| targets.iter().any(|it| it.name == *name));
        let share = Duration::from_secs(1) * targets.len() as u32 / PROBES_PER_SECOND;
        let interval = PROBE_INTERVAL.max(share);
        for target in targets {
            if self.probes.len() >= MAX_PROBES {
                return;
            }
            let due = self.due.get(&target.name).copied().unwrap_or_default();
            if now < due || !self.probing.insert(target.name.clone()) {
                continue;
            }
            self.due.insert(target.name.clone(), now + jitter(interval));
            let client = self.context.client.clone();
            self.probes.spawn(probe(client, target));
        }
    }

    fn swap(&mut self) {
        let Some(directory) = self.roster.directory() else {
            return;
        };
        let alive = directory.upstreams().iter().filter(|it| it.alive).count();
        gauge!("tealturn_upstreams_alive").set(alive as f64);
        self.context.directory.store(Arc::new(directory));
    }

    fn record(&self, name: &id::Upstream, change: Change) {
        if change == Change::Restarted {
            self.crashed(name);
        }
        let subject = Subject::Upstream(name.to_string());
        self.context.ring.record(subject, change.as_str(), "");
    }

    /// All runs before the newest one have ended.
    fn crashed(&self, name: &id::Upstream) {
        let Some(run) = self.roster.incarnation(name) else {
            return;
        };
        let before = Incarnation(run.0.saturating_sub(1));
        suspects::crashed(&self.context, name, before);
    }

    fn publish(&self, name: &id::Upstream) {
        if let Some(fact) = self.roster.fact(name) {
            self.context.board.publish(&fact);
        }
    }
}

async fn probe(client: Arc<Client>, target: Target) -> (id::Upstream, Probe) {
    let Ok(request) = client::request("GET", target.address, PATH, Bytes::new()) else {
        return (target.name, Probe::Failed);
    };
    let fetch = client.fetch(target.address, request);
    let probe = match time::timeout(PROBE_TIMEOUT, fetch).await {
        Ok(Ok(body)) => {
            serde_json::from_slice::<Load>(&body).map(Probe::Reported).unwrap_or(Probe::Answered)
        }
        Ok(Err(Error::Status { .. })) => Probe::Answered,
        Ok(Err(_)) | Err(_) => Probe::Failed,
    };
    if probe == Probe::Failed {
        // The next probe must not depend on a connection that may have gone silent.
        client.forget(target.address);
        counter!("tealturn_probe_failures_total").increment(1);
    }
    (target.name, probe)
}

fn jitter(mean: Duration) -> Duration {
    let percent = rand::rng().random_range(100 - JITTER_PERCENT..=100 + JITTER_PERCENT);
    mean * percent / 100
}
