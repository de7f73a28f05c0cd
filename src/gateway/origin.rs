//! Which build began each resumable stream.
//!
//! The events of two builds don't fit together, and upstreams don't check that. So a stream is
//! continued only by upstreams of the build that began it, whichever daemon its caller resumes it
//! at. Daemons tell each other which build began a stream as soon as its service has had more than
//! one lately; until then, the only one began it. They tell all along the tree, and before the first
//! event a few directly (see [`exchange::origin`](crate::gateway::exchange::origin)).
//!
//! All daemons may be killed at once, and builds come and go meanwhile. So the store keeps which builds
//! each service had ([`ledger`]) and, while there are several, the origins of streams ([`log`]) and which
//! daemons may have begun some at the later builds ([`claim`]).

pub mod claim;
mod ledger;
pub mod log;
pub mod row;

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    collections::{Map, Set},
    kernel::{clock::Time, id::Build},
};

/// How long an origin is kept after its last use, and a build counts as recent after its last
/// upstream: longer than the longest stream and the return of its caller.
pub const LIFETIME: Duration = Duration::from_secs(120);

/// How long after the end of a stream its caller may come back to resume it.
const RETURN_PERIOD: Duration = Duration::from_secs(10);

/// How long a daemon waits until it hears from others which build began a stream: time for a lost packet
/// to be sent again.
pub const ORIGIN_WAIT: Duration = Duration::from_millis(250);

/// Number of origins that are kept; the oldest are dropped.
pub const MAX_ORIGINS: usize = 65_536;

/// Number of origins that a daemon which starts is sent, the newest ones.
const MAX_REPORTED: usize = 16_384;

/// The origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// Hash of the attempt that brought the first event.
    pub attempt: u64,
    /// Hash of the service's name.
    pub service: u64,
    /// The build of the upstream that began the stream.
    pub build: Build,
}

#[derive(Debug)]
struct State {
    service: u64,
    build: Build,
    used_at: Time,
    /// When the stream through this daemon ended, if it did.
    ended_at: Option<Time>,
    /// Whether other daemons were told, or told this one.
    is_shared: bool,
}

/// Origins of recent streams.
#[derive(Debug, Default)]
pub struct Table {
    states: Map<u64, State>,
    /// The attempts of `states`, oldest first, with a time of use that may be out of date.
    order: VecDeque<(Time, u64)>,
    /// Attempts of streams through this daemon since others were last told of such, by service.
    unshared: Map<u64, VecDeque<u64>>,
    /// When the builds of each service were last used or left.
    builds: Map<u64, Map<Build, Time>>,
    /// What the store has of the builds of each service.
    ledgers: Map<u64, ledger::Ledger>,
    /// The builds of each service that the store has as claimed by this process.
    claims: Map<u64, claim::Claimed>,
    /// What the store has, or is to have, of the streams through this daemon.
    log: log::Log,
}

impl Table {
    /// Records that a build of a service is in use, or was until now.
    pub fn record_build(&mut self, service: u64, build: &Build, now: Time) {
        let builds = self.builds.entry(service).or_default();
        if let Some(at) = builds.get_mut(build) {
            *at = now;
            return;
        }
        builds.retain(|_, at| now.since(*at) < LIFETIME);
        builds.insert(build.clone(), now);
    }

    /// Records that a build of a service was in use at `at`, as another daemon knows.
    pub fn learn_build(&mut self, service: u64, build: &Build, at: Time) {
        let builds = self.builds.entry(service).or_default();
        match builds.get_mut(build) {
            Some(known) => *known = at.max(*known),
            None => drop(builds.insert(build.clone(), at)),
        }
    }

    /// The builds of a service that were in use lately, and when they last were, if there are several.
    /// A daemon that started since then may not have seen all of them.
    pub fn mixed_builds(
        &self,
        service: u64,
        registered: &[Build],
        now: Time,
    ) -> Vec<(Build, Time)> {
        let recent = self.recent_builds(service, registered, now);
        if recent.len() < 2 {
            return Vec::new();
        }
        let used_at = |build: &Build| match registered.contains(build) {
            true => now,
            false => self.builds[&service][build],
        };
        recent.into_iter().map(|build| (build.clone(), used_at(build))).collect()
    }

    /// Records that a stream through this daemon began or goes on. The first origin stays.
    pub fn begin(&mut self, entry: &Entry, now: Time) {
        self.insert(entry, false, now);
        let states = &self.states;
        let unshared = self.unshared.entry(entry.service).or_default();
        while unshared.front().is_some_and(|it| !states.contains_key(it)) {
            unshared.pop_front();
        }
        unshared.push_back(entry.attempt);
        if let Some(state) = self.states.get_mut(&entry.attempt) {
            state.ended_at = None;
        }
    }

    /// Records that a stream through this daemon ended.
    pub fn end(&mut self, attempt: u64, now: Time) {
        if let Some(state) = self.states.get_mut(&attempt) {
            state.used_at = now;
            state.ended_at = Some(now);
        }
    }

    /// Records what another daemon told all; returns whether to pass it on.
    pub fn learn(&mut self, entry: &Entry, now: Time) -> bool {
        if let Some(state) = self.states.get_mut(&entry.attempt) {
            let was_shared = std::mem::replace(&mut state.is_shared, true);
            return !was_shared && state.build == entry.build;
        }
        self.insert(entry, true, now)
    }

    /// Records what another daemon told this one directly. All others hear of it along the tree.
    pub fn keep(&mut self, entry: &Entry, now: Time) {
        self.insert(entry, false, now);
    }

    /// The build that began a stream, if this daemon knows it.
    pub fn known(&mut self, attempt: u64, now: Time) -> Option<Build> {
        let state = self.states.get_mut(&attempt)?;
        state.used_at = now;
        Some(state.build.clone())
    }

    /// The build that must continue a stream of a service whose upstreams have the builds
    /// `registered`. If the origin of the stream isn't known, it is the only recent build of the
    /// service. `is_current` tells whether this daemon would have heard of others.
    pub fn find(
        &mut self,
        attempt: u64,
        service: u64,
        registered: &[Build],
        is_current: bool,
        now: Time,
    ) -> Option<Build> {
        if let Some(build) = self.known(attempt, now) {
            return Some(build);
        }
        let builds = self.recent_builds(service, registered, now);
        let mut builds = builds.into_iter().filter(|_| is_current);
        builds.next().filter(|_| builds.next().is_none()).cloned()
    }

    /// Origins of streams through this daemon that others must be told now: those that may still be
    /// resumed, if the service has had more than one build lately. The store gets them, too.
    pub fn take_unshared(&mut self, service: u64, registered: &[Build], now: Time) -> Vec<Entry> {
        let is_idle = self.unshared.get(&service).is_none_or(VecDeque::is_empty);
        if is_idle || self.recent_builds(service, registered, now).len() < 2 {
            return Vec::new();
        }
        let mut entries = Vec::new();
        for attempt in self.unshared.remove(&service).unwrap_or_default() {
            let Some(state) = self.states.get_mut(&attempt) else { continue };
            if state.ended_at.is_some_and(|it| now.since(it) >= RETURN_PERIOD) {
                continue;
            }
            // The daemon where the stream was before may be gone without having written its origin.
            self.log.push(attempt);
            if std::mem::replace(&mut state.is_shared, true) {
                continue;
            }
            entries.push(Entry { attempt, service, build: state.build.clone() });
        }
        entries
    }

    /// The newest origins that daemons have told each other.
    pub fn shared(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        for (_, attempt) in self.order.iter().rev() {
            let Some(state) = self.states.get(attempt).filter(|it| it.is_shared) else {
                continue;
            };
            let (service, build) = (state.service, state.build.clone());
            entries.push(Entry { attempt: *attempt, service, build });
            if entries.len() == MAX_REPORTED {
                break;
            }
        }
        entries
    }

    fn recent_builds<'a>(
        &'a self,
        service: u64,
        registered: &'a [Build],
        now: Time,
    ) -> Set<&'a Build> {
        let recent = self.builds.get(&service).into_iter().flatten();
        let recent = recent.filter(|(_, at)| now.since(**at) < LIFETIME).map(|(build, _)| build);
        registered.iter().chain(recent).collect()
    }

    fn insert(&mut self, entry: &Entry, is_shared: bool, now: Time) -> bool {
        if let Some(state) = self.states.get_mut(&entry.attempt) {
            state.used_at = now;
            return false;
        }
        self.expire(now);
        self.record_build(entry.service, &entry.build, now);
        // Equal builds share one allocation.
        let known = self.builds[&entry.service].get_key_value(&entry.build);
        let build = known.map_or(&entry.build, |(build, _)| build).clone();
        let service = entry.service;
        let state = State { service, build, used_at: now, ended_at: None, is_shared };
        self.states.insert(entry.attempt, state);
        self.order.push_back((now, entry.attempt));
        true
    }

    /// Removes the origins that have expired, and the oldest one if there is no room.
    fn expire(&mut self, now: Time) {
        while let Some((queued_at, attempt)) = self.order.front().copied() {
            if now.since(queued_at) < LIFETIME && self.order.len() < MAX_ORIGINS {
                return;
            }
            self.order.pop_front();
            let used_at = self.states.get(&attempt).map(|it| it.used_at);
            match used_at.filter(|it| *it > queued_at) {
                Some(used_at) => self.order.push_back((used_at, attempt)),
                None => drop(self.states.remove(&attempt)),
            }
        }
    }
}
