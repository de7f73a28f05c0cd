//! Target weights of models, load progress of engines, and the decision to take over a lease.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    gateway::{
        peer::Totals,
        roster::{Endpoint, View},
        store::Era,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version},
    },
    route::pool::{mix, name_hash},
};

/// A version of the weights that a model should serve.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Version of the weights.
    pub version: Version,
    /// When the first daemon learned of the target, as far as this one knows.
    pub since: Time,
    /// Whether `since` is only an assumption: a daemon that has just started doesn't know when a
    /// target was set. It gives way to a known time, but until then it also covers the versions
    /// before, of which the store keeps no trace.
    pub is_assumed: bool,
}

/// Stage of a load on one engine, as published by the lease holder.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stage {
    /// The engine is loading or about to load, and executes no calls.
    Loading,
    /// The load has finished.
    Loaded,
}

/// Load status of one engine, as published by the lease holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Name of the engine.
    pub engine: Upstream,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Version of the weights to load.
    pub version: Version,
    /// Stage of the load.
    pub stage: Stage,
}

/// Load statuses of one model's engines, as published by the lease holder.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Statuses {
    /// Counts the changes since the holder acquired the lease. Reports reach a daemon on different
    /// ways, and an older one must not replace a newer one.
    pub revision: u64,
    /// Engines that are loading, and those that have loaded since the holder acquired the lease.
    pub marks: Vec<Status>,
}

/// Number of targets kept per model, to determine when each version was superseded.
const MAX_TARGETS: usize = 32;

/// Target weights and load progress of all models.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Targets of each model, oldest first.
    targets: Map<Model, Vec<Target>>,
    /// Statuses published by the lease holder, with its fencing token.
    statuses: Map<Model, (u64, Statuses)>,
    /// Latest version that any lease holder reported as loaded by an engine's incarnation. The
    /// engine's entry may be out of date if this daemon can't reach the store.
    loaded: Map<(Model, Upstream), (Incarnation, Version)>,
}

impl Progress {
    /// Records a target, which may be known already. An assumed time gives way to a known one, and
    /// otherwise the earlier one counts. Returns whether anything changed.
    pub fn set_target(&mut self, model: &Model, target: Target) -> bool {
        let targets = self.targets.entry(model.clone()).or_default();
        let index = targets.partition_point(|it| it.version < target.version);
        match targets.get_mut(index) {
            Some(known) if known.version == target.version => {
                if (known.is_assumed, known.since) <= (target.is_assumed, target.since) {
                    return false;
                }
                *known = target;
            }
            _ => targets.insert(index, target),
        }
        if targets.len() > MAX_TARGETS {
            targets.remove(0);
        }
        true
    }

    /// Whether a version is or was the target of a model, as far as is known.
    pub fn has_target(&self, model: &Model, version: Version) -> bool {
        let targets = self.targets.get(model);
        targets.is_some_and(|it| it.iter().any(|it| it.version == version))
    }

    /// The latest targets of each model that has one, oldest first.
    pub fn recent_targets(&self, count: usize) -> impl Iterator<Item = (&Model, &[Target])> {
        let recent = move |it: &Vec<Target>| it.len().saturating_sub(count);
        self.targets.iter().map(move |(model, it)| (model, &it[recent(it)..]))
    }

    /// The statuses of each model, with the fencing token of the lease holder that reported them.
    pub fn statuses(&self) -> impl Iterator<Item = (&Model, u64, &Statuses)> {
        self.statuses.iter().map(|(model, (fence, statuses))| (model, *fence, statuses))
    }

    /// Identifies the statuses of all models: equal on daemons that know the same.
    pub fn statuses_digest(&self) -> u64 {
        let digests = self.statuses().map(|(model, fence, statuses)| {
            mix(name_hash(model.as_str()) ^ mix(fence ^ mix(statuses.revision)))
        });
        digests.fold(0, |sum, it| sum ^ it)
    }

    /// The highest fencing token of any lease holder that reported statuses; 0 if there was none.
    pub fn latest_fence(&self) -> u64 {
        self.statuses().map(|(_, fence, _)| fence).max().unwrap_or_default()
    }

    /// Records statuses from a lease holder; those with an older fencing token or revision are
    /// ignored. Returns whether anything changed.
    pub fn update_statuses(&mut self, model: &Model, fence: u64, statuses: &Statuses) -> bool {
        let known = self.statuses.get(model).map(|(fence, it)| (*fence, it.revision));
        if known.is_some_and(|it| it >= (fence, statuses.revision)) {
            return false;
        }
        self.statuses.insert(model.clone(), (fence, statuses.clone()));
        for status in statuses.marks.iter().filter(|it| it.stage == Stage::Loaded) {
            let key = (model.clone(), status.engine.clone());
            let known = self.loaded.entry(key).or_insert((status.incarnation, status.version));
            *known = (*known).max((status.incarnation, status.version));
        }
        true
    }

    /// Returns the latest target of a model.
    pub fn target(&self, model: &Model) -> Option<Target> {
        self.targets.get(model)?.last().copied()
    }

    /// Returns the latest target of every model that has one.
    pub fn targets(&self) -> impl Iterator<Item = (&Model, &Target)> {
        self.targets.iter().filter_map(|(model, targets)| Some((model, targets.last()?)))
    }

    /// When a target newer than `version` was first learned of, if there is one.
    pub fn superseded_since(&self, model: &Model, version: Version) -> Option<Time> {
        let targets = self.targets.get(model)?;
        targets.iter().find(|it| it.version > version).map(|it| it.since)
    }

    /// Latest known version of a model's weights on an engine.
    pub fn version(&self, engine: &Endpoint, model: &Model) -> Option<Version> {
        let registered = engine.version(model)?;
        let loaded = self.loaded.get(&(model.clone(), engine.name.clone()));
        let loaded = loaded.filter(|(incarnation, _)| *incarnation == engine.record.incarnation);
        Some(loaded.map_or(registered, |(_, version)| registered.max(*version)))
    }

    /// Whether an engine is loading weights and therefore executes no calls. The load is over once
    /// the engine registers the version, even if the lease holder has not reported it yet.
    pub fn is_loading(&self, engine: &Endpoint, model: &Model) -> bool {
        let status = self.status_of(engine, model).filter(|it| it.stage == Stage::Loading);
        status.is_some_and(|it| engine.version(model) < Some(it.version))
    }

    fn status_of(&self, engine: &Endpoint, model: &Model) -> Option<&Status> {
        let statuses = &self.statuses.get(model)?.1.marks;
        let is_match =
            |it: &&Status| it.engine == engine.name && it.incarnation == engine.record.incarnation;
        statuses.iter().find(is_match)
    }

    /// Returns the engines that stay and lack a model's target weights, in the order in which they should
    /// load. Dead ones come last, because they would keep others waiting. Those with the oldest weights
    /// come first, so that no engine is starved when new versions arrive in quick succession. Among them
    /// those with the least running memory come first: an engine loads once its running calls have ended
    /// (3 to 5 s on busy engines, 0.6 s on idle ones), and gets no new ones meanwhile. `peers` is the load
    /// that other daemons place on the engines.
    pub fn pending(&self, view: &View, model: &Model, peers: &Totals) -> Vec<Arc<Endpoint>> {
        let Some(target) = self.target(model) else {
            return Vec::new();
        };
        let mut pending = Vec::new();
        for endpoint in view.all() {
            if endpoint.health.is_leaving() {
                continue;
            }
            let version = self.version(endpoint, model);
            if version.is_some_and(|it| it < target.version) {
                let running = peers.get(&endpoint.hash).map_or(0, |it| it.memory)
                    + endpoint.health.reserved_tokens();
                pending.push(((endpoint.health.is_dead(), version, running), endpoint.clone()));
            }
        }
        pending.sort_by(|(left, a), (right, b)| (left, &a.name).cmp(&(right, &b.name)));
        pending.into_iter().map(|(_, endpoint)| endpoint).collect()
    }
}

/// Interval between reads of a lease that another daemon holds.
///
/// `is_active` is whether another daemon reports progress of a rollout. Watchers go on reading then,
/// because progress doesn't show that the holder still reaches the store, and the time until a
/// takeover counts from the first read that finds the row unchanged.
pub fn check_interval(is_watcher: bool, is_active: bool) -> Duration {
    match (is_watcher, is_active) {
        (_, false) => Duration::from_millis(500),
        (true, true) => Duration::from_millis(1_000),
        (false, true) => Duration::from_millis(2_000),
    }
}

/// Number of engines that are meant to load at the same time; at least one.
pub fn max_concurrent_loads(engines: usize, share: f64) -> usize {
    ((engines as f64 * share) as usize).max(1)
}

/// Bits of a fencing token that count the holders within an era of the store; the era lies above
/// them. Readers of JSON keep integers of 53 bits exactly.
const FENCE_COUNTER_BITS: u32 = 32;

/// The fencing token of a holder that takes over in `era` from the holder with the token `previous`,
/// 0 if there was none. A store that lost tokens with its last transactions has come to a later era,
/// whose tokens are higher than all before.
pub fn next_fence(previous: u64, era: Era) -> u64 {
    (previous + 1).max((era.0 << FENCE_COUNTER_BITS) + 1)
}

/// Whether a fencing token was given in `era`.
pub fn is_fence_of(fence: u64, era: Era) -> bool {
    fence >> FENCE_COUNTER_BITS == era.0
}

/// Contents of a lease's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Name of the daemon that holds the lease.
    pub holder: String,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Fencing token; increases with each change of holder.
    pub fence: u64,
}

/// Next step of a daemon that needs the lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// This daemon holds the lease and should renew it.
    Renew,
    /// Take over the lease now.
    TakeOver,
    /// Check again later.
    Wait,
}

/// Determines when this daemon may take over a lease that another daemon holds.
///
/// A holder sends no orders after a fixed period since it sent its last renewal. Another daemon
/// takes over only when the row has not changed for that period plus the minimum time between the
/// orders of two holders ([`Settings::order_gap`](crate::gateway::settings::Settings::order_gap))
/// plus a margin for clocks and the network.
#[derive(Debug, Default)]
pub struct Watch {
    /// The last version seen, and when it was first seen.
    last_seen: Option<(u64, Time)>,
    /// When the store came back from an older copy, which may lack the lease.
    restored_at: Option<Time>,
}

impl Watch {
    /// Decides what to do about the lease. `row_version` is the version of its row, `None` if
    /// there is none. `is_own` is whether this incarnation of this daemon holds it, and
    /// `takeover_delay` is how long the row must stay unchanged before a takeover.
    pub fn decide(
        &mut self,
        row_version: Option<u64>,
        is_own: bool,
        takeover_delay: Duration,
        now: Time,
    ) -> Action {
        if is_own {
            return Action::Renew;
        }
        let Some(version) = row_version else {
            let is_settled = |it: Time| now.since(it) >= takeover_delay;
            return match self.restored_at.is_none_or(is_settled) {
                true => Action::TakeOver,
                false => Action::Wait,
            };
        };
        match self.last_seen {
            Some((seen, since)) if seen == version => match now.since(since) >= takeover_delay {
                true => Action::TakeOver,
                false => Action::Wait,
            },
            _ => {
                self.last_seen = Some((version, now));
                Action::Wait
            }
        }
    }

    /// Records that the store came back from an older copy, as this daemon learned at `at`. The
    /// earlier holder may order until its last renewal runs out, whatever the row says.
    pub fn restored(&mut self, at: Time) {
        self.last_seen = None;
        self.restored_at = Some(at);
    }

    /// Discards the observed version, which is stale once the lease has not been needed for a
    /// while.
    pub fn reset(&mut self) {
        self.last_seen = None;
    }
}
