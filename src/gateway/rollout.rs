//! Which weights are wanted, and how far the engines are.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    gateway::roster::{Endpoint, View},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version},
    },
};

/// Weights that a model should be served by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// The version.
    pub version: Version,
    /// When this daemon heard of it.
    pub since: Time,
}

/// The state of one engine, as the holder of the lease tells it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadStage {
    /// It is about to load, or loads: it runs nothing.
    Loading,
    /// It has loaded.
    Loaded,
}

/// What the holder tells of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadStatus {
    /// The engine.
    pub engine: Upstream,
    /// The run of it.
    pub incarnation: Incarnation,
    /// The version.
    pub version: Version,
    /// How far it is.
    pub stage: LoadStage,
}

/// What the holder tells of a model.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadStatuses {
    /// Engines that load or have loaded lately.
    pub marks: Vec<LoadStatus>,
}

/// Versions of a model that are remembered, to tell when each was superseded.
const MAX_TARGETS: usize = 32;

/// The weights that are wanted, and how far the engines are.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// The wishes for each model, oldest first.
    targets: Map<Model, Vec<Target>>,
    /// What the holder tells, with its fencing token.
    marks: Map<Model, (u64, LoadStatuses)>,
    /// The newest version that a run of an engine was told to have loaded, by any holder: its entry
    /// may be old if this daemon can't reach the store.
    loaded: Map<(Model, Upstream), (Incarnation, Version)>,
}

impl Progress {
    /// Takes note of an operator's wish; an older version than the known one changes nothing.
    pub fn set_target(&mut self, model: &Model, version: Version, now: Time) -> bool {
        let targets = self.targets.entry(model.clone()).or_default();
        if targets.last().is_some_and(|it| it.version >= version) {
            return false;
        }
        targets.push(Target { version, since: now });
        if targets.len() > MAX_TARGETS {
            targets.remove(0);
        }
        true
    }

    /// Takes note of what a holder tells; an earlier holder changes nothing. Tells whether it is
    /// news.
    pub fn update_statuses(&mut self, model: &Model, fence: u64, marks: &LoadStatuses) -> bool {
        let known = self.marks.get(model);
        if known.is_some_and(|(known, it)| *known > fence || (*known == fence && it == marks)) {
            return false;
        }
        self.marks.insert(model.clone(), (fence, marks.clone()));
        for mark in marks.marks.iter().filter(|it| it.stage == LoadStage::Loaded) {
            let key = (model.clone(), mark.engine.clone());
            let known = self.loaded.entry(key).or_insert((mark.incarnation, mark.version));
            *known = (*known).max((mark.incarnation, mark.version));
        }
        true
    }

    /// The weights that a model should be served by.
    pub fn target(&self, model: &Model) -> Option<Target> {
        self.targets.get(model)?.last().copied()
    }

    /// All models for which weights were named.
    pub fn targets(&self) -> impl Iterator<Item = (&Model, &Target)> {
        self.targets.iter().filter_map(|(model, targets)| Some((model, targets.last()?)))
    }

    /// When weights that are newer than `version` were named first, if any were.
    pub fn superseded_since(&self, model: &Model, version: Version) -> Option<Time> {
        let targets = self.targets.get(model)?;
        targets.iter().find(|it| it.version > version).map(|it| it.since)
    }

    /// The version of a model that an engine has now.
    pub fn version(&self, engine: &Endpoint, model: &Model) -> Option<Version> {
        let own = engine.version(model)?;
        let loaded = self.loaded.get(&(model.clone(), engine.name.clone()));
        let loaded = loaded.filter(|(run, _)| *run == engine.record.incarnation);
        Some(loaded.map_or(own, |(_, version)| own.max(*version)))
    }

    /// Whether an engine loads weights, so that it runs nothing.
    pub fn is_loading(&self, engine: &Endpoint, model: &Model) -> bool {
        let mark = self.mark_of(engine, model).filter(|it| it.stage == LoadStage::Loading);
        mark.is_some_and(|it| engine.version(model) < Some(it.version))
    }

    fn mark_of(&self, engine: &Endpoint, model: &Model) -> Option<&LoadStatus> {
        let marks = &self.marks.get(model)?.1.marks;
        let own = |it: &&LoadStatus| {
            it.engine == engine.name && it.incarnation == engine.record.incarnation
        };
        marks.iter().find(own)
    }

    /// The engines that should load a model's weights but have not: those whose weights are oldest
    /// come first, so that none stays behind when versions follow each other quickly.
    pub fn pending(&self, view: &View, model: &Model) -> Vec<Arc<Endpoint>> {
        let Some(target) = self.target(model) else {
            return Vec::new();
        };
        let mut pending = Vec::new();
        for endpoint in view.all() {
            let version = self.version(endpoint, model);
            if version.is_some_and(|it| it < target.version) {
                pending.push((version, endpoint.clone()));
            }
        }
        pending.sort_by(|(left, a), (right, b)| (left, &a.name).cmp(&(right, &b.name)));
        pending.into_iter().map(|(_, endpoint)| endpoint).collect()
    }
}

/// How many engines load at once.
pub fn max_concurrent_loads(engines: usize, share: f64) -> usize {
    ((engines as f64 * share) as usize).max(1)
}

/// The row of a lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// The daemon that holds it.
    pub holder: String,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Rises with each change of the holder.
    pub fence: u64,
}

/// What a daemon may do about a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// It holds the lease; renew it if the time has come.
    Renew,
    /// Take it over now.
    TakeOver,
    /// Look again later.
    Wait,
}

/// When this daemon may take over a lease that another holds.
///
/// A holder gives no order later than `tenure` after it sent its last renewal. Another takes over
/// only when the row has not changed for `tenure` and the time that must lie between the orders
/// of two holders.
#[derive(Debug, Default)]
pub struct LeaseWatch {
    seen: Option<(u64, Time)>,
}

impl LeaseWatch {
    /// Decides on a row that was read: `None` if there is none. `own` tells whether this run of
    /// this daemon holds it.
    pub fn decide(
        &mut self,
        row: Option<u64>,
        own: bool,
        idle: Duration,
        now: Time,
    ) -> LeaseAction {
        if own {
            return LeaseAction::Renew;
        }
        let Some(version) = row else {
            return LeaseAction::TakeOver;
        };
        match self.seen {
            Some((seen, since)) if seen == version => match now.since(since) >= idle {
                true => LeaseAction::TakeOver,
                false => LeaseAction::Wait,
            },
            _ => {
                self.seen = Some((version, now));
                LeaseAction::Wait
            }
        }
    }

    /// Forgets what was seen, since the lease was not needed for a while.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
