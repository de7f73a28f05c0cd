//! A daemon's share of the limits that hold over all daemons.
//!
//! Daemons publish their demand. Of a limit `L`, a daemon with settled demand `q`, whose `n - 1`
//! peers were last heard to want `b` together, holds
//!
//! - `q + (L - q - b) / n` if all demand fits into `L`,
//! - `L * q / (q + b)` if it does not.
//!
//! Own demand is *settled* once it has been published for [`SETTLE`]: `q` is the least demand
//! of that time. So whenever facts reach every daemon within [`SETTLE`], each peer counts at
//! least the `q` that this daemon counts for itself, and the shares of all daemons add up to
//! no more than `L`, with no write to a store. A daemon that hears nothing of some peer holds
//! at most `L / n`. Requests admitted under an earlier, larger share run to their end, so that
//! the requests in progress can exceed `L` by those, never by more than `L`.

use std::{collections::VecDeque, time::Duration};

use crate::{
    collections::Map,
    fleet::board::{Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Workspace},
    },
    upstream::directory::Directory,
};

/// The time within which a published fact reaches every daemon that can be reached.
pub const SETTLE: Duration = Duration::from_secs(5);

/// Significant bits of a published demand for tokens.
const DEMAND_BITS: u32 = 3;

/// Requests at an engine for each that its batch takes, so that its batch is always full.
const REQUESTS_PER_SLOT: f64 = 1.25;

/// The workspace under whose name a daemon's demand for upstreams is published.
const TOTAL: &str = "";

/// The daemons of the fleet, as this one sees it.
#[derive(Clone, Copy, Debug)]
pub struct Fleet<'a> {
    /// All daemons that may be serving, this one included.
    pub daemons: &'a [Daemon],
    /// Those of them that were not heard for longer than facts take to arrive.
    pub silent: usize,
}

/// What a daemon wants of a workspace's limits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Requests running or queued.
    pub requests: u32,
    /// Tokens a second.
    pub tokens_per_second: u64,
}

/// What all daemons want of all limits, as far as this one knows.
#[derive(Debug)]
pub struct Ledger {
    daemon: Daemon,
    incarnation: Incarnation,
    reports: u64,
    daemons: usize,
    silent: usize,
    lines: Map<Workspace, Line>,
    total: Line,
}

/// The demand for the limits of one workspace.
#[derive(Clone, Debug, Default)]
struct Line {
    /// This daemon's published demand within [`SETTLE`], and the last one before, oldest first.
    own: VecDeque<(Time, Demand)>,
    /// The sum of the peers' demand.
    peers: Demand,
}

impl Demand {
    /// Rounds the tokens up to a few steps for each doubling, so that small changes make no
    /// news.
    fn coarse(self) -> Demand {
        let bits = u64::BITS - self.tokens_per_second.leading_zeros();
        let step = 1 << bits.saturating_sub(DEMAND_BITS);
        Demand { tokens_per_second: self.tokens_per_second.next_multiple_of(step), ..self }
    }
}

impl Ledger {
    /// An empty ledger of a daemon that knows no peer.
    pub fn new(daemon: Daemon, incarnation: Incarnation) -> Ledger {
        Ledger {
            daemon,
            incarnation,
            reports: 0,
            daemons: 1,
            silent: 0,
            lines: Map::default(),
            total: Line::default(),
        }
    }

    /// Takes in the peers' demand.
    pub fn learn(&mut self, fleet: &Fleet<'_>, facts: &[Fact]) {
        self.daemons = fleet.daemons.len().max(1);
        self.silent = fleet.silent;
        for line in self.lines.values_mut() {
            line.peers = Demand::default();
        }
        self.total.peers = Demand::default();
        for fact in facts {
            let Key::Demand(daemon, workspace) = &fact.key else {
                continue;
            };
            let Value::Demand { requests, tokens_per_second, .. } = fact.value else {
                continue;
            };
            if *daemon == self.daemon || !fleet.daemons.contains(daemon) {
                continue;
            }
            let line = match workspace.as_str() {
                TOTAL => &mut self.total,
                _ => self.lines.entry(workspace.clone()).or_default(),
            };
            line.peers.requests = line.peers.requests.saturating_add(requests);
            let tokens = &mut line.peers.tokens_per_second;
            *tokens = tokens.saturating_add(tokens_per_second);
        }
        self.lines.retain(|_, it| !it.own.is_empty() || it.peers != Demand::default());
    }

    /// Takes note of this daemon's demand, and makes the fact to publish, if it is news.
    pub fn publish(&mut self, workspace: &Workspace, demand: Demand, now: Time) -> Option<Fact> {
        let demand = demand.coarse();
        let line = self.lines.entry(workspace.clone()).or_default();
        let news = line.publish(demand, now);
        if line.own.is_empty() && line.peers == Demand::default() {
            self.lines.remove(workspace);
        }
        news.then(|| self.fact(workspace.clone(), demand))
    }

    /// As [`Ledger::publish`], for the demand over all workspaces.
    pub fn publish_total(&mut self, requests: u32, now: Time) -> Option<Fact> {
        let demand = Demand { requests, tokens_per_second: 0 };
        let news = self.total.publish(demand, now);
        news.then(|| self.fact(TOTAL.into(), demand))
    }

    /// Whether anyone wants something of a workspace's limits.
    pub fn knows(&self, workspace: &Workspace) -> bool {
        self.lines.contains_key(workspace)
    }

    /// This daemon's share of a concurrency limit, in requests.
    pub fn slots(&self, workspace: &Workspace, limit: u32, now: Time) -> u32 {
        let share = self.share(workspace, f64::from(limit), now, |it| f64::from(it.requests));
        share.floor() as u32
    }

    /// This daemon's share of a token budget, in tokens a second.
    pub fn rate(&self, workspace: &Workspace, limit: u64, now: Time) -> f64 {
        self.share(workspace, limit as f64, now, |it| it.tokens_per_second as f64)
    }

    /// This daemon's share of the upstreams' capacity, in requests; at least one. Upstreams
    /// have queues of their own, so that demand need not settle first.
    pub fn capacity(&self, limit: u32) -> u32 {
        let own = self.total.own.back().map_or(0, |(_, it)| it.requests);
        let share = divide(
            f64::from(limit),
            f64::from(own),
            f64::from(self.total.peers.requests),
            self.daemons,
        );
        (share as u32).max(1)
    }

    fn share(&self, workspace: &Workspace, limit: f64, now: Time, part: fn(&Demand) -> f64) -> f64 {
        let equal = limit / self.daemons as f64;
        let Some(line) = self.lines.get(workspace) else {
            return equal;
        };
        let share = divide(limit, line.settled(now, part), part(&line.peers), self.daemons);
        if self.silent > 0 {
            return share.min(equal);
        }
        share
    }

    fn fact(&mut self, workspace: Workspace, demand: Demand) -> Fact {
        self.reports += 1;
        Fact {
            key: Key::Demand(self.daemon.clone(), workspace),
            value: Value::Demand {
                report: u128::from(self.incarnation.0) << 64 | u128::from(self.reports),
                requests: demand.requests,
                tokens_per_second: demand.tokens_per_second,
            },
        }
    }
}

impl Line {
    /// Adds a demand, and tells whether it differs from the one before.
    fn publish(&mut self, demand: Demand, now: Time) -> bool {
        while self.own.len() > 1 && now.since(self.own[1].0) >= SETTLE {
            self.own.pop_front();
        }
        let last = self.own.back().map_or(Demand::default(), |(_, it)| *it);
        if last == demand {
            if last == Demand::default() && self.own.len() <= 1 {
                self.own.clear();
            }
            return false;
        }
        if self.own.is_empty() {
            self.own.push_back((Time::default(), Demand::default()));
        }
        self.own.push_back((now, demand));
        true
    }

    /// The least own demand that was in force within [`SETTLE`].
    fn settled(&self, now: Time, part: fn(&Demand) -> f64) -> f64 {
        let mut least = f64::INFINITY;
        for (index, (_, demand)) in self.own.iter().enumerate() {
            let ended = self.own.get(index + 1);
            if ended.is_some_and(|(end, _)| now.since(*end) >= SETTLE) {
                continue;
            }
            least = least.min(part(demand));
        }
        if least.is_finite() { least } else { 0.0 }
    }
}

/// The share of `limit` for `own` settled demand beside `peers`.
fn divide(limit: f64, own: f64, peers: f64, daemons: usize) -> f64 {
    let wanted = own + peers;
    if wanted <= limit {
        return own + (limit - wanted) / daemons as f64;
    }
    limit * own / wanted
}

/// Requests that all daemons together should have at the open engines of a directory.
pub fn slots(directory: &Directory) -> u32 {
    let mut slots = 0.0;
    for upstream in directory.upstreams() {
        let Some(load) = &upstream.load else { continue };
        if upstream.is_open() && !load.leaving {
            slots += f64::from(load.batch) * REQUESTS_PER_SLOT;
        }
    }
    slots as u32
}
