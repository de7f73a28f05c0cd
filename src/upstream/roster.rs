//! The upstreams of a daemon: what the VM list, probes and other daemons tell, put together.
//!
//! The VM list lags and may be down, so an upstream that it does not name stays in use until
//! it is silent itself. Facts only grow: a newer run replaces an older one, and within one run
//! leaving never returns to live.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::{Map, Set},
    fleet::board::{Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{self, Incarnation},
    },
    platform::vm::{Entry, Role, State},
    upstream::{
        directory::{Directory, Upstream},
        wire::Load,
    },
};

/// Probes in a row that must fail before an upstream counts as dead. The second one goes over
/// a new connection.
pub const FAILED_PROBES: u32 = 2;

/// An upstream that the VM list no longer names is forgotten after this time of silence.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What a probe of an upstream gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Probe {
    /// A load report.
    Reported(Load),
    /// An answer without a load report, such as a plain service's.
    Answered,
    /// No answer.
    Failed,
}

/// A change of an upstream's state, for the time line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It answers.
    Alive,
    /// It is silent.
    Dead,
    /// Another run of it was seen.
    Restarted,
    /// It gets no new work.
    Leaving,
}

impl Change {
    /// The code in the time line.
    pub fn as_str(self) -> &'static str {
        match self {
            Change::Alive => "upstream_alive",
            Change::Dead => "upstream_dead",
            Change::Restarted => "upstream_restarted",
            Change::Leaving => "upstream_leaving",
        }
    }
}

/// An upstream to probe.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its name.
    pub name: id::Upstream,
    /// Where it serves.
    pub address: SocketAddr,
    /// Whether it is an engine.
    pub engine: bool,
}

/// All upstreams, by name.
#[derive(Debug, Default)]
pub struct Roster {
    entries: Map<id::Upstream, Known>,
    dirty: bool,
}

#[derive(Debug)]
struct Known {
    upstream: Arc<Upstream>,
    /// The VM list names it.
    listed: bool,
    /// The VM list said once that it leaves; that is about the VM, whatever runs on it.
    retired: bool,
    failures: u32,
    heard: Time,
}

impl Roster {
    /// Takes note of the VM list.
    pub fn list(&mut self, entries: &[Entry], now: Time) -> Vec<(id::Upstream, Change)> {
        let mut changes = Vec::new();
        let mut named = Set::default();
        for entry in entries {
            if matches!(entry.role, Role::Daemon { .. }) {
                continue;
            }
            let name = id::Upstream::from(entry.name.as_str());
            named.insert(name.clone());
            if self.insert(&name, entry, now) {
                changes.push((name, Change::Leaving));
            }
        }
        for (name, known) in &mut self.entries {
            known.listed = named.contains(name);
        }
        self.forget(now);
        changes
    }

    /// Takes note of a probe.
    pub fn probe(&mut self, name: &id::Upstream, probe: Probe, now: Time) -> Vec<Change> {
        let Some(known) = self.entries.get_mut(name) else {
            return Vec::new();
        };
        self.dirty = true;
        match probe {
            Probe::Failed => known.fail(),
            Probe::Answered => known.hear(now),
            Probe::Reported(load) => {
                let mut changes = known.hear(now);
                changes.extend(known.report(load, now));
                changes
            }
        }
    }

    /// Takes note of what other daemons know.
    pub fn merge(&mut self, facts: &[Fact], now: Time) -> Vec<(id::Upstream, Change)> {
        let mut changes = Vec::new();
        for fact in facts {
            let (Key::Upstream(name), Value::Upstream { .. }) = (&fact.key, &fact.value) else {
                continue;
            };
            let Some(known) = self.entries.get_mut(name) else {
                continue;
            };
            let found = known.merge(&fact.value, now);
            self.dirty |= !found.is_empty();
            changes.extend(found.into_iter().map(|it| (name.clone(), it)));
        }
        changes
    }

    /// What this daemon can tell others of an upstream, if it has seen a run of it.
    pub fn fact(&self, name: &id::Upstream) -> Option<Fact> {
        let upstream = &self.entries.get(name)?.upstream;
        if upstream.incarnation == Incarnation::default() {
            return None;
        }
        Some(Fact {
            key: Key::Upstream(name.clone()),
            value: Value::Upstream { incarnation: upstream.incarnation, leaving: upstream.leaving },
        })
    }

    /// The newest run of an upstream that was seen.
    pub fn incarnation(&self, name: &id::Upstream) -> Option<Incarnation> {
        self.entries.get(name).map(|it| it.upstream.incarnation)
    }

    /// The upstreams to probe.
    pub fn targets(&self) -> Vec<Target> {
        let targets = self.entries.iter().map(|(name, known)| Target {
            name: name.clone(),
            address: known.upstream.address,
            engine: matches!(known.upstream.role, Role::Engine { .. }),
        });
        targets.collect()
    }

    /// The directory, if it has changed since the last call.
    pub fn directory(&mut self) -> Option<Directory> {
        if !self.dirty {
            return None;
        }
        self.dirty = false;
        let upstreams = self.entries.values().map(|it| it.upstream.clone());
        Some(Directory::new(upstreams.collect()))
    }

    /// Adds or updates an upstream that the VM list names; tells whether it began to leave.
    fn insert(&mut self, name: &id::Upstream, entry: &Entry, now: Time) -> bool {
        let leaving = entry.state == State::Leaving;
        if let Some(known) = self.entries.get_mut(name) {
            let old = known.upstream.clone();
            known.retired |= leaving;
            let moved = old.address != entry.address || old.role != entry.role;
            if !moved && (old.leaving || !leaving) {
                return false;
            }
            let upstream = Arc::make_mut(&mut known.upstream);
            upstream.address = entry.address;
            upstream.role = entry.role.clone();
            upstream.leaving |= leaving;
            self.dirty = true;
            return leaving && !old.leaving;
        }
        let upstream = Arc::new(Upstream {
            name: name.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            role: entry.role.clone(),
            incarnation: Incarnation::default(),
            alive: false,
            leaving,
            since: now,
            load: None,
            reported: now,
        });
        let known = Known { upstream, listed: true, retired: leaving, failures: 0, heard: now };
        self.entries.insert(name.clone(), known);
        self.dirty = true;
        leaving
    }

    fn forget(&mut self, now: Time) {
        let before = self.entries.len();
        self.entries
            .retain(|_, it| it.listed || it.upstream.alive || now.since(it.heard) < FORGET_AFTER);
        self.dirty |= before != self.entries.len();
    }
}

impl Known {
    fn fail(&mut self) -> Vec<Change> {
        self.failures = self.failures.saturating_add(1);
        if self.failures < FAILED_PROBES || !self.upstream.alive {
            return Vec::new();
        }
        Arc::make_mut(&mut self.upstream).alive = false;
        vec![Change::Dead]
    }

    fn hear(&mut self, now: Time) -> Vec<Change> {
        self.failures = 0;
        self.heard = now;
        if self.upstream.alive {
            return Vec::new();
        }
        Arc::make_mut(&mut self.upstream).alive = true;
        vec![Change::Alive]
    }

    fn report(&mut self, load: Load, now: Time) -> Vec<Change> {
        // A report of an older run was delayed on its way.
        if load.incarnation < self.upstream.incarnation {
            return Vec::new();
        }
        let changes = self.advance(load.incarnation, load.leaving, now);
        let upstream = Arc::make_mut(&mut self.upstream);
        upstream.load = Some(load);
        upstream.reported = now;
        changes
    }

    fn merge(&mut self, value: &Value, now: Time) -> Vec<Change> {
        let Value::Upstream { incarnation, leaving } = value else {
            return Vec::new();
        };
        if *incarnation < self.upstream.incarnation {
            return Vec::new();
        }
        self.advance(*incarnation, *leaving, now)
    }

    /// Moves on to `incarnation`, which is not older than the known one.
    fn advance(&mut self, incarnation: Incarnation, leaving: bool, now: Time) -> Vec<Change> {
        let old = &self.upstream;
        let newer = incarnation > old.incarnation;
        let leaves = leaving && (newer || !old.leaving);
        if !newer && !leaves {
            return Vec::new();
        }
        let first = old.incarnation == Incarnation::default();
        let upstream = Arc::make_mut(&mut self.upstream);
        let mut changes = Vec::new();
        if newer {
            upstream.incarnation = incarnation;
            upstream.since = now;
            upstream.load = None;
            upstream.leaving = self.retired;
        }
        if newer && !first {
            changes.push(Change::Restarted);
        }
        if leaves && !upstream.leaving {
            upstream.leaving = true;
            changes.push(Change::Leaving);
        }
        changes
    }
}
