//! The facts that daemons tell each other.
//!
//! Parts publish facts here and read those of other daemons; the exchange carries them. A fact
//! only grows: of two facts with one key, the merge keeps the one that says more, whatever the
//! order in which they arrive.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    kernel::id::{Daemon, Incarnation, Upstream, Workspace},
};

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

/// The facts that this daemon knows.
#[derive(Default)]
pub struct Board {
    facts: Mutex<Map<Key, Value>>,
}

impl Board {
    /// Merges a fact, and tells whether it was news.
    pub fn publish(&self, fact: &Fact) -> bool {
        let mut facts = self.facts.lock().unwrap_or_else(|it| it.into_inner());
        let old = facts.get(&fact.key);
        let new = old.map_or(fact.value, |old| old.merge(&fact.value));
        if old == Some(&new) {
            return false;
        }
        facts.insert(fact.key.clone(), new);
        true
    }

    /// What is known of `key`.
    pub fn get(&self, key: &Key) -> Option<Value> {
        let facts = self.facts.lock().unwrap_or_else(|it| it.into_inner());
        facts.get(key).copied()
    }

    /// All facts whose keys `wanted` accepts, in no order.
    pub fn facts(&self, wanted: impl Fn(&Key) -> bool) -> Vec<Fact> {
        let facts = self.facts.lock().unwrap_or_else(|it| it.into_inner());
        let wanted = facts.iter().filter(|(key, _)| wanted(key));
        wanted
            .map(|(key, value)| Fact {
                key: key.clone(),
                value: *value,
            })
            .collect()
    }
}

impl Value {
    /// The value that says more. Commutative, associative and idempotent for one key.
    pub fn merge(&self, other: &Value) -> Value {
        match (self, other) {
            (
                Value::Upstream {
                    incarnation: a,
                    leaving: x,
                },
                Value::Upstream {
                    incarnation: b,
                    leaving: y,
                },
            ) => (*a, *x).max((*b, *y)).into_upstream(),
            (
                Value::Suspect {
                    crashes: a,
                    barred: x,
                    lifts: l,
                },
                Value::Suspect {
                    crashes: b,
                    barred: y,
                    lifts: m,
                },
            ) if l == m => Value::Suspect {
                crashes: *a.max(b),
                barred: *x || *y,
                lifts: *l,
            },
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
        Value::Upstream {
            incarnation: self.0,
            leaving: self.1,
        }
    }
}
