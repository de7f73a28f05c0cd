//! Requests that crash upstreams.
//!
//! When an upstream crashes, each request that was running there becomes a suspect, known by
//! its [`Fingerprint`]. Within [`RERUN`] the daemon that saw the crash may run a suspect again,
//! alone among its suspects on one upstream. A second crash bars it; finishing clears it. Every
//! mark is a fact for the board ([`Key::Suspect`]). Otherwise suspects are refused, by every
//! daemon that has heard of them, until they are cleared, lifted or expired.
//!
//! A caller that sends the same request again and again, one after the other at any daemons,
//! crashes at most [`MAX_CRASHES`] upstreams until the bar expires. This holds as long as a run
//! that ends in a crash takes longer than [`RERUN`], until the crash is noticed, and facts reach
//! all daemons within the time of two such runs: after the first crash two more runs can start
//! before all have heard of it, and none after.

use std::time::Duration;

use crate::{
    collections::Map,
    fleet::board::{Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{Incarnation, Request, Upstream, Workspace},
    },
};

/// Crashes after which a request may not run again.
pub const BAR_CRASHES: u8 = 2;

/// Upstreams that one request crashes at most, from all daemons together.
pub const MAX_CRASHES: usize = 3;

/// How long after a crash the daemon that saw it may start a suspect again.
pub const RERUN: Duration = Duration::from_millis(200);

/// A suspect is not run again before its mark has had this time to reach the other daemons, so
/// that none of them runs it for the first time once its caller has an answer from here.
pub const SPREAD: Duration = Duration::from_millis(60);

/// How long a request is barred after it was last asked for.
pub const BAR: Duration = Duration::from_secs(600);

/// How long a suspect that does not run is refused. Its crashes still count afterwards, so that
/// one more bars it; an innocent one need not wait longer.
pub const SUSPICION: Duration = Duration::from_secs(30);

/// Suspects that are remembered; beyond it the oldest is forgotten.
pub const TABLE_SUSPECTS: usize = 4_096;

/// When to ask again for a suspect that waits for another one to end.
const WAIT: Duration = Duration::from_millis(100);

/// A digest of a workspace and a request's body.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// The fingerprint of a body that a workspace sent.
    pub fn new(workspace: &Workspace, body: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(workspace.as_str().len() as u64).to_le_bytes());
        hasher.update(workspace.as_str().as_bytes());
        hasher.update(body);
        let mut low = [0; 8];
        low.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Fingerprint(u64::from_le_bytes(low))
    }

    /// The fingerprint that a fact is about, if it is about one.
    pub fn of(fact: &Fact) -> Option<Fingerprint> {
        match fact.key {
            Key::Suspect(fingerprint) => Some(Fingerprint(fingerprint)),
            _ => None,
        }
    }

    /// What its marks are published under.
    pub fn key(self) -> Key {
        Key::Suspect(self.0)
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is no suspect.
    Run,
    /// It may run, on an upstream that [`Table::occupied`] does not name.
    RunAlone,
    /// It is a suspect, and the same request is running here, or its mark is still spreading. It
    /// was not run; it may be asked for again.
    Wait {
        /// When to ask again.
        retry_after: Duration,
    },
    /// It may not run.
    Barred {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// The suspects that a daemon knows, and what it runs at which upstream.
#[derive(Debug, Default)]
pub struct Table {
    suspects: Map<Fingerprint, Suspect>,
    running: Map<Request, Run>,
}

/// What is known of a suspect.
#[derive(Clone, Copy, Debug)]
struct Suspect {
    crashes: u8,
    barred: bool,
    lifts: u32,
    /// Whether this daemon saw the last crash.
    own: bool,
    /// When the last mark was made or heard, or when it was last asked for once barred.
    marked: Time,
}

/// A request in progress.
#[derive(Clone, Debug)]
struct Run {
    fingerprint: Fingerprint,
    upstream: Upstream,
    incarnation: Incarnation,
}

impl Table {
    /// Whether a request may run now. Asking for a barred request prolongs its bar.
    pub fn may_run(&mut self, fingerprint: Fingerprint, now: Time) -> Verdict {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Verdict::Run;
        };
        if suspect.crashes == 0 || suspect.is_expired(now) {
            return Verdict::Run;
        }
        if suspect.barred {
            suspect.marked = now;
            return Verdict::Barred { retry_after: BAR };
        }
        let marked = now.since(suspect.marked);
        if !suspect.own || marked >= RERUN {
            return Verdict::Barred { retry_after: SUSPICION.saturating_sub(marked) };
        }
        if marked < SPREAD {
            let retry_after = SPREAD - marked;
            return Verdict::Wait { retry_after };
        }
        if self.running.values().any(|it| it.fingerprint == fingerprint) {
            return Verdict::Wait { retry_after: WAIT };
        }
        Verdict::RunAlone
    }

    /// When to ask again for a request that has crashed so many upstreams that it may not run;
    /// `None` if it may, though it may be a suspect. Asking prolongs the bar.
    pub fn bar(&mut self, fingerprint: Fingerprint, now: Time) -> Option<Duration> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        if !suspect.barred || suspect.is_expired(now) {
            return None;
        }
        suspect.marked = now;
        Some(BAR)
    }

    /// The upstreams where this daemon runs a suspect: no other suspect may be sent there.
    pub fn occupied(&self) -> Vec<Upstream> {
        let runs = self.running.values();
        let suspects = runs.filter(|it| self.is_suspect(it.fingerprint));
        suspects.map(|it| it.upstream.clone()).collect()
    }

    /// Takes note that an attempt is about to be sent.
    pub fn started(
        &mut self,
        request: Request,
        fingerprint: Fingerprint,
        upstream: &Upstream,
        incarnation: Incarnation,
    ) {
        let run = Run { fingerprint, upstream: upstream.clone(), incarnation };
        self.running.insert(request, run);
    }

    /// Takes note that an attempt ended. One that `finished` whole clears its suspicion: the
    /// facts are to be published.
    pub fn ended(&mut self, request: Request, finished: bool, now: Time) -> Vec<Fact> {
        let Some(run) = self.running.remove(&request) else {
            return Vec::new();
        };
        let Some(suspect) = self.suspects.get_mut(&run.fingerprint) else {
            return Vec::new();
        };
        if !finished || suspect.crashes == 0 || suspect.barred {
            return Vec::new();
        }
        suspect.clear(now);
        vec![suspect.fact(run.fingerprint)]
    }

    /// Takes note that a run of an upstream crashed: whatever ran there is a suspect. The facts
    /// are to be published at once. Call it when the run is known to have ended, not when a
    /// connection to it broke.
    pub fn crashed(
        &mut self,
        upstream: &Upstream,
        incarnation: Incarnation,
        now: Time,
    ) -> Vec<Fact> {
        let mut marked = Vec::new();
        self.running.retain(|_, run| {
            let there = run.upstream == *upstream && run.incarnation <= incarnation;
            if there {
                marked.push(run.fingerprint);
            }
            !there
        });
        marked.sort_unstable();
        marked.dedup();
        let facts = marked.iter().map(|it| self.mark(*it, now)).collect();
        self.prune();
        facts
    }

    /// Takes in a fact from another daemon, and tells whether it was news.
    pub fn learn(&mut self, fact: &Fact, now: Time) -> bool {
        let Key::Suspect(fingerprint) = fact.key else {
            return false;
        };
        let Value::Suspect { .. } = fact.value else {
            return false;
        };
        let fingerprint = Fingerprint(fingerprint);
        let old = self.suspects.get(&fingerprint).copied();
        let merged = old.map_or(fact.value, |old| old.fact(fingerprint).value.merge(&fact.value));
        if old.is_some_and(|old| old.fact(fingerprint).value == merged) {
            return false;
        }
        let Value::Suspect { crashes, barred, lifts } = merged else {
            return false;
        };
        let suspect = Suspect { crashes, barred, lifts, own: false, marked: now };
        self.suspects.insert(fingerprint, suspect);
        self.prune();
        true
    }

    /// Clears a suspicion by an operator's order. The fact is to be published.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Time) -> Option<Fact> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        suspect.clear(now);
        Some(suspect.fact(fingerprint))
    }

    /// The suspects as facts, barred ones included, for operators.
    pub fn facts(&self) -> Vec<Fact> {
        let suspects = self.suspects.iter().filter(|(_, it)| it.crashes > 0);
        suspects.map(|(key, it)| it.fact(*key)).collect()
    }

    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|it| it.crashes > 0)
    }

    fn mark(&mut self, fingerprint: Fingerprint, now: Time) -> Fact {
        let suspect = self.suspects.entry(fingerprint).or_insert(Suspect {
            crashes: 0,
            barred: false,
            lifts: 0,
            own: true,
            marked: now,
        });
        suspect.crashes = suspect.crashes.saturating_add(1);
        suspect.barred = suspect.crashes >= BAR_CRASHES;
        suspect.own = true;
        suspect.marked = now;
        suspect.fact(fingerprint)
    }

    fn prune(&mut self) {
        while self.suspects.len() > TABLE_SUSPECTS {
            let oldest = self.suspects.iter().min_by_key(|(_, it)| (it.crashes > 0, it.marked));
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                break;
            };
            self.suspects.remove(&oldest);
        }
    }
}

impl Suspect {
    fn is_expired(&self, now: Time) -> bool {
        let kept = if self.barred { BAR } else { SUSPICION };
        now.since(self.marked) >= kept
    }

    fn clear(&mut self, now: Time) {
        self.crashes = 0;
        self.barred = false;
        self.lifts += 1;
        self.marked = now;
    }

    fn fact(&self, fingerprint: Fingerprint) -> Fact {
        Fact {
            key: fingerprint.key(),
            value: Value::Suspect { crashes: self.crashes, barred: self.barred, lifts: self.lifts },
        }
    }
}
