//! What daemons tell each other.
//!
//! A fact only grows: of two facts with one key, the merge keeps the one that says more, whatever
//! the order in which they arrive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kernel::id::{Daemon, Incarnation, Upstream, Workspace};

/// How long a fact about an upstream lasts.
pub const UPSTREAM_LIFETIME: Duration = Duration::from_secs(3_600);

/// How long a suspicion lasts after it last changed.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);

/// How long a report of demand lasts.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(10);

/// Kinds of facts.
pub(super) const KINDS: usize = 3;

/// The class of the facts that are sent first.
pub(super) const URGENT: usize = 0;

/// Classes of facts: urgent, demand, runs of upstreams.
pub(super) const CLASSES: usize = 3;

/// What a fact is about.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Key {
    /// The newest run of an upstream, and whether that run is leaving.
    Upstream(Upstream),
    /// A request that was running on an upstream that crashed, by its fingerprint.
    Suspect(u64),
    /// What a daemon uses of a workspace's limits.
    Demand(Daemon, Workspace),
}

/// What is known. Variants match those of [`Key`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// See [`Key::Upstream`]. A higher run wins; within one, leaving wins.
    Upstream {
        /// The run.
        incarnation: Incarnation,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// See [`Key::Suspect`]. The later mark wins; with equal marks, more crashes.
    Suspect {
        /// Upstreams that crashed while they ran it.
        crashes: u8,
        /// It may not run again.
        barred: bool,
        /// Counts the operator's lifts of this suspicion: a higher one clears the rest.
        lifts: u32,
    },
    /// See [`Key::Demand`]. The later report wins.
    Demand {
        /// Counts the daemon's reports, with its incarnation in the upper half.
        report: u128,
        /// Requests running or queued.
        requests: u32,
        /// Tokens a second.
        tokens_per_second: u64,
    },
}

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// What it is about.
    pub key: Key,
    /// What is known.
    pub value: Value,
}

/// A fact on its way between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Post {
    /// The fact.
    pub fact: Fact,
    /// How long ago it was published, in seconds. It lets a fact end everywhere, however often
    /// it is passed on.
    pub age_s: u32,
}

impl Fact {
    /// Whether it must reach all daemons at once: a suspect, or an upstream that leaves.
    pub fn is_urgent(&self) -> bool {
        self.value.class() == URGENT
    }

    /// The time after which it is dropped.
    pub fn lifetime(&self) -> Duration {
        match self.value {
            Value::Upstream { .. } => UPSTREAM_LIFETIME,
            Value::Suspect { .. } => SUSPECT_LIFETIME,
            Value::Demand { .. } => DEMAND_LIFETIME,
        }
    }

    /// Whether key and value are of one kind; a faulty peer may send others.
    pub(super) fn is_consistent(&self) -> bool {
        matches!(
            (&self.key, &self.value),
            (Key::Upstream(_), Value::Upstream { .. })
                | (Key::Suspect(_), Value::Suspect { .. })
                | (Key::Demand(..), Value::Demand { .. })
        )
    }
}

impl Key {
    pub(super) fn kind(&self) -> usize {
        match self {
            Key::Upstream(_) => 0,
            Key::Suspect(_) => 1,
            Key::Demand(..) => 2,
        }
    }
}

impl Value {
    pub(super) fn class(&self) -> usize {
        match self {
            Value::Upstream { leaving: true, .. } | Value::Suspect { .. } => URGENT,
            Value::Demand { .. } => 1,
            Value::Upstream { leaving: false, .. } => 2,
        }
    }

    /// The value that says more. Commutative, associative and idempotent for one key.
    pub fn merge(&self, other: &Value) -> Value {
        match (self, other) {
            (
                Value::Upstream { incarnation: a, leaving: x },
                Value::Upstream { incarnation: b, leaving: y },
            ) => (*a, *x).max((*b, *y)).into_upstream(),
            (
                Value::Suspect { crashes: a, barred: x, lifts: l },
                Value::Suspect { crashes: b, barred: y, lifts: m },
            ) if l == m => Value::Suspect { crashes: *a.max(b), barred: *x || *y, lifts: *l },
            (Value::Suspect { lifts: l, .. }, Value::Suspect { lifts: m, .. }) => {
                if l > m {
                    *self
                } else {
                    *other
                }
            }
            (Value::Demand { report: a, .. }, Value::Demand { report: b, .. }) => {
                if a >= b {
                    *self
                } else {
                    *other
                }
            }
            // Values of another kind than their key's come from a faulty peer.
            _ => *self,
        }
    }
}

trait IntoUpstream {
    fn into_upstream(self) -> Value;
}

impl IntoUpstream for (Incarnation, bool) {
    fn into_upstream(self) -> Value {
        Value::Upstream { incarnation: self.0, leaving: self.1 }
    }
}
