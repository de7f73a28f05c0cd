//! What this daemon knows of the others through the [`exchange`](crate::gateway::exchange): which
//! ones take calls, their load at each upstream, and the prompt parts that they sent to engines.
//!
//! Daemons form a tree of two levels, see [`topology`](crate::gateway::topology). A daemon sends
//! its hubs and fellow hubs the state of its subtree, which is its own and that of its spokes, and
//! its spokes that of the whole fleet.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    collections::{Map, Set},
    gateway::{
        message::{Link, Load, MAX_HOPS, Message, Update, Usage},
        store::Position,
    },
    kernel::{clock::Time, id::Incarnation},
    route::pool::{mix, name_hash},
};

/// A daemon from which nothing was heard for this long is not offered to callers, which allow one
/// second for a new connection.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Upstream loads reported by a peer expire after this time.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_000);

/// Maximum age of the combined load, which changes as reports expire.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(100);

/// How long a peer to which a call failed is not used, unless it calls itself.
const FAILURE_PAUSE: Duration = Duration::from_millis(3_000);

/// Updates retained for slow peers; a peer that falls further behind misses the oldest.
const MAX_UPDATES: usize = 4_096;

/// Log of recent updates, with sequence numbers and the peer that each came from.
#[derive(Debug, Default)]
pub struct Updates {
    last: u64,
    updates: VecDeque<(Origin, Update)>,
}

/// Where an update came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// A call of this daemon.
    Own,
    /// A peer, by the hash of its name.
    Peer(Link, u64),
}

impl Updates {
    /// Appends an update, dropping the oldest if the log is full.
    pub fn push(&mut self, origin: Origin, update: Update) {
        if update.hops >= MAX_HOPS {
            return;
        }
        self.last += 1;
        self.updates.push_back((origin, update));
        if self.updates.len() > MAX_UPDATES {
            self.updates.pop_front();
        }
    }

    /// Whether all updates after `after` are retained.
    pub fn reaches(&self, after: u64) -> bool {
        self.last.saturating_sub(after) as usize <= self.updates.len()
    }

    /// The last sequence number, and the retained updates after `after` that the peer with the hash
    /// `to` needs: those of the subtree, or for a spoke those of the fleet without its own.
    pub fn after(&self, after: u64, link: Link, to: u64) -> (u64, Vec<Update>) {
        let missing = self.last.saturating_sub(after) as usize;
        let skipped = self.updates.len().saturating_sub(missing);
        let is_wanted = |origin: &Origin| match (origin, link) {
            (Origin::Own, _) => true,
            (Origin::Peer(_, from), Link::Spoke) => *from != to,
            (Origin::Peer(from_link, from), _) => *from_link == Link::Spoke && *from != to,
        };
        let updates = self.updates.iter().skip(skipped);
        (self.last, updates.filter(|(it, _)| is_wanted(it)).map(|(_, it)| it.clone()).collect())
    }
}

/// What was last heard from one peer.
#[derive(Clone, Debug)]
struct State {
    incarnation: Incarnation,
    link: Link,
    heard_at: Time,
    /// The peer's clock when it sent its last message.
    stamp: Time,
    /// The last update received from the peer, and the last of this daemon that it has.
    received_update: u64,
    acknowledged_update: u64,
    positions: [Option<Position>; 3],
    rollouts: u64,
    loads: Vec<Load>,
    usages: Vec<Usage>,
    live: Vec<(u64, bool)>,
    /// Digest of this daemon's list that the peer has.
    live_digest: u64,
}

/// What a message to a peer builds on. The default is for a peer that was never heard of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Incarnation of the peer's process.
    pub incarnation: Incarnation,
    /// When its last message was received.
    pub heard_at: Time,
    /// The peer's clock when it sent that message.
    pub stamp: Time,
    /// The last update received from it.
    pub received_update: u64,
    /// The last update of this daemon that it has.
    pub acknowledged_update: u64,
    /// How far its copies of the followed topics reach.
    pub positions: [Option<Position>; 3],
    /// Digest of the rollout reports that it has.
    pub rollouts: u64,
    /// Digest of the list of live daemons received from it.
    pub received_live: u64,
    /// Digest of the list of live daemons that it has from this daemon.
    pub sent_live: u64,
}

/// Combined load of all other daemons, by the hash of the upstream's name.
pub type Totals = Map<u64, Load>;

/// What is known of the other daemons.
#[derive(Debug, Default)]
pub struct Peers {
    inner: Mutex<Inner>,
    updates: Mutex<Updates>,
}

#[derive(Debug, Default)]
struct Inner {
    states: Map<String, State>,
    /// The hub that this daemon uses as a spoke.
    hub: Option<String>,
    /// When daemons were last heard of, by the hash of the name.
    heard: Map<u64, Time>,
    /// When a call to a peer last failed.
    failed: Map<String, Time>,
    totals: Arc<Totals>,
    totals_at: Option<Time>,
}

impl Peers {
    /// What a message to the peer builds on.
    pub fn known(&self, name: &str) -> Known {
        self.lock().states.get(name).map_or_else(Known::default, |it| Known {
            incarnation: it.incarnation,
            heard_at: it.heard_at,
            stamp: it.stamp,
            received_update: it.received_update,
            acknowledged_update: it.acknowledged_update,
            positions: it.positions,
            rollouts: it.rollouts,
            received_live: live_digest(&it.live),
            sent_live: it.live_digest,
        })
    }

    /// Records a message to the daemon process `own`.
    pub fn record(&self, message: &Message, own: Incarnation, now: Time) {
        let mut inner = self.lock();
        let previous = inner.states.get(&message.from);
        let same_process = previous.filter(|it| it.incarnation == message.incarnation);
        // An acknowledgement of an earlier process of this daemon counts for nothing.
        let acknowledged = if message.to == own { message.acknowledged_update } else { 0 };
        let state = State {
            incarnation: message.incarnation,
            link: message.link,
            heard_at: now,
            stamp: message.stamp.max(same_process.map_or(Time::default(), |it| it.stamp)),
            received_update: message
                .last_update
                .max(same_process.map_or(0, |it| it.received_update)),
            acknowledged_update: acknowledged
                .max(same_process.map_or(0, |it| it.acknowledged_update)),
            positions: message.heads.map(|it| it.map(|head| head.position)),
            rollouts: message.rollouts_digest,
            loads: message.loads.clone(),
            usages: message.usages.clone(),
            live: match &message.live {
                Some(live) => live.clone(),
                None => same_process.map_or_else(Vec::new, |it| it.live.clone()),
            },
            live_digest: message.live_digest,
        };
        inner.failed.remove(&message.from);
        inner.heard.insert(name_hash(&message.from), now);
        for (daemon, _) in &state.live {
            inner.heard.insert(*daemon, now);
        }
        inner.states.insert(message.from.clone(), state);
        inner.totals_at = None;
    }

    /// Records that a call to the peer failed.
    pub fn record_failure(&self, name: &str, now: Time) {
        self.lock().failed.insert(name.to_owned(), now);
    }

    /// Sets the hub that this daemon uses as a spoke. What another one sent is dropped, because it
    /// would be counted twice.
    pub fn set_hub(&self, name: Option<&str>) {
        let mut inner = self.lock();
        if inner.hub.as_deref() == name {
            return;
        }
        inner.hub = name.map(str::to_owned);
        inner.totals_at = None;
    }

    /// Whether nothing speaks against using the daemon as a hub: it was heard of recently, or it
    /// was never heard of and no call to it failed.
    pub fn is_responsive(&self, name: &str, now: Time) -> bool {
        let inner = self.lock();
        let failed = inner.failed.get(name);
        if failed.is_some_and(|it| now.since(*it) < FAILURE_PAUSE) {
            return false;
        }
        match inner.heard.get(&name_hash(name)) {
            Some(heard) => now.since(*heard) < PEER_TIMEOUT * 2,
            None => failed.is_none(),
        }
    }

    /// When the peer last sent a message itself.
    pub fn heard_from(&self, name: &str) -> Option<Time> {
        self.lock().states.get(name).map(|it| it.heard_at)
    }

    /// Combined load and call outcomes of all other daemons, by upstream.
    pub fn peer_load(&self, now: Time) -> Arc<Totals> {
        let mut inner = self.lock();
        if inner.totals_at.is_none_or(|it| now.since(it) >= TOTALS_MAX_AGE) {
            inner.totals = Arc::new(inner.sum(None, |_| true, now));
            inner.totals_at = Some(now);
        }
        inner.totals.clone()
    }

    /// Load that a message to the peer reports, without this daemon's own: that of the subtree, or
    /// for a spoke that of the fleet without the spoke.
    pub fn reported_load(&self, name: &str, link: Link, now: Time) -> Totals {
        let is_reported = |it: Link| link == Link::Spoke || it == Link::Spoke;
        self.lock().sum(Some(name), is_reported, now)
    }

    /// Use of the retry budget for a service by all other daemons; `None` if no peer was heard from
    /// recently.
    pub fn usage(&self, service: u64, now: Time) -> Option<Usage> {
        let inner = self.lock();
        let mut sum = None;
        for (name, state) in &inner.states {
            if !inner.is_current(name, state, PEER_LOAD_TTL, now) {
                continue;
            }
            let sum = sum.get_or_insert(Usage::default());
            if let Some(usage) = state.usages.iter().find(|it| it.service == service) {
                sum.add(usage);
            }
        }
        sum
    }

    /// Use of the retry budget that a message to the peer reports, without this daemon's own.
    pub fn reported_usage(&self, name: &str, link: Link, now: Time) -> Map<u64, Usage> {
        let inner = self.lock();
        let mut sums: Map<u64, Usage> = Map::default();
        for (from, state) in &inner.states {
            let is_reported = link == Link::Spoke || state.link == Link::Spoke;
            if from != name && is_reported && inner.is_current(from, state, PEER_LOAD_TTL, now) {
                for usage in &state.usages {
                    sums.entry(usage.service).or_default().add(usage);
                }
            }
        }
        sums
    }

    /// Daemons of which a message to the peer reports that they are alive, without this daemon, and
    /// whether they accept callers.
    pub fn reported_live(&self, name: &str, link: Link, now: Time) -> Vec<(u64, bool)> {
        let inner = self.lock();
        let mut live = Vec::new();
        for (from, state) in &inner.states {
            let is_reported = link == Link::Spoke || state.link == Link::Spoke;
            if from != name && is_reported && inner.is_current(from, state, PEER_TIMEOUT, now) {
                live.extend(state.live.iter().copied());
            }
        }
        live
    }

    /// The hashes of the names of all other daemons that accept callers.
    pub fn accepting_callers(&self, now: Time) -> Set<u64> {
        let inner = self.lock();
        let mut accepting = Set::default();
        for (name, state) in &inner.states {
            if inner.is_current(name, state, PEER_TIMEOUT, now) {
                let ready = state.live.iter().filter(|(_, ready)| *ready);
                accepting.extend(ready.map(|(daemon, _)| *daemon));
            }
        }
        accepting
    }

    /// Whether any peer was heard from recently.
    pub fn any_responsive(&self, now: Time) -> bool {
        self.lock().states.values().any(|it| now.since(it.heard_at) < PEER_TIMEOUT)
    }

    /// The number of other daemons that were heard of within `age`, directly or through peers.
    pub fn count_heard(&self, own: u64, age: Duration, now: Time) -> usize {
        let inner = self.lock();
        inner.heard.iter().filter(|(it, at)| **it != own && now.since(**at) < age).count()
    }

    /// Whether a daemon was heard of within `age`, directly or through peers.
    pub fn is_heard(&self, name: &str, age: Duration, now: Time) -> bool {
        self.lock().heard.get(&name_hash(name)).is_some_and(|at| now.since(*at) < age)
    }

    /// Updates of this daemon and its peers.
    pub fn updates(&self) -> MutexGuard<'_, Updates> {
        self.updates.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Identifies a list of live daemons in any order. An empty list, which no daemon sends, has 0.
pub fn live_digest(live: &[(u64, bool)]) -> u64 {
    live.iter().fold(0, |sum, (daemon, ready)| sum ^ mix(daemon.rotate_left(1) ^ u64::from(*ready)))
}

impl Inner {
    /// Whether the state that a peer sent counts: it is recent, and not that of a hub which this
    /// daemon no longer uses.
    fn is_current(&self, name: &str, state: &State, lifetime: Duration, now: Time) -> bool {
        let is_recent = now.since(state.heard_at) < lifetime;
        is_recent && (state.link != Link::Hub || self.hub.as_deref() == Some(name))
    }

    fn sum(&self, except: Option<&str>, counts: impl Fn(Link) -> bool, now: Time) -> Totals {
        let mut totals = Totals::default();
        for (name, state) in &self.states {
            let is_excepted = except == Some(name.as_str()) || !counts(state.link);
            if is_excepted || !self.is_current(name, state, PEER_LOAD_TTL, now) {
                continue;
            }
            for reported in &state.loads {
                totals.entry(reported.engine).or_default().add(reported);
            }
        }
        totals
    }
}
