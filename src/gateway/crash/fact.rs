//! What daemons tell each other of a part.

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{crash::run::Process, message::Age},
    kernel::clock::Time,
    route::pool::mix,
};

/// Crashes of one part that are kept, the earliest: a part is barred long before it has as many.
const MAX_CRASHES: usize = 64;

/// A crash of an upstream with a part in one of the prompts that ran there.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Identifies the process that crashed.
    pub id: u64,
    /// How long ago a daemon first noticed it.
    pub age: Age,
}

/// The crashes of a part that a daemon knows, or some of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fact {
    /// The hash of the part.
    pub part: u64,
    /// The last place that it had in a prompt.
    pub depth: u8,
    /// How often it was cleared. A fact with more clearances replaces one with fewer.
    pub clearances: u32,
    /// Whether a daemon had seen it in a whole answer shortly before.
    pub seen: bool,
    /// The crashes since it was last cleared.
    pub crashes: Vec<Crash>,
}

/// What a daemon knows of a part.
#[derive(Clone, Debug, Default)]
pub(super) struct State {
    pub depth: u8,
    pub clearances: u32,
    pub seen: bool,
    /// Whether an upstream crashed with the part in a prompt of this daemon since it was last cleared.
    pub own: bool,
    /// The crashes by id and when they were first noticed, earliest first.
    pub crashes: Vec<(Time, u64)>,
    pub changed: Time,
}

impl Crash {
    /// Identifies a process in facts.
    pub fn id(process: Process) -> u64 {
        mix(process.upstream ^ mix(process.incarnation.0))
    }
}

impl State {
    /// The fact with these crashes.
    pub fn fact(&self, part: u64, crashes: &[(Time, u64)], now: Time) -> Fact {
        let crashes = crashes.iter().map(|(at, id)| Crash { id: *id, age: Age::new(*at, now) });
        Fact {
            part,
            depth: self.depth,
            clearances: self.clearances,
            seen: self.seen,
            crashes: crashes.collect(),
        }
    }

    /// Merges a fact; returns whether it was news. An earlier time of a known crash is taken, but is
    /// no news.
    pub fn merge(&mut self, fact: &Fact, now: Time) -> bool {
        if fact.clearances < self.clearances {
            return false;
        }
        let mut is_news = fact.clearances > self.clearances || (fact.seen && !self.seen);
        if fact.clearances > self.clearances {
            self.clear(fact.clearances, now);
        }
        self.depth = self.depth.max(fact.depth);
        self.seen |= fact.seen;
        for crash in &fact.crashes {
            is_news |= self.add(crash.id, crash.age.resolve(now));
        }
        is_news
    }

    /// Adds a crash; returns whether it was unknown.
    pub fn add(&mut self, id: u64, at: Time) -> bool {
        let known = self.crashes.iter().position(|(_, it)| *it == id);
        match known {
            Some(index) => self.crashes[index].0 = at.min(self.crashes[index].0),
            None if self.crashes.len() >= MAX_CRASHES => return false,
            None => self.crashes.push((at, id)),
        }
        self.crashes.sort_unstable();
        known.is_none()
    }

    /// Forgets the crashes until now.
    pub fn clear(&mut self, clearances: u32, now: Time) {
        *self = State {
            depth: self.depth,
            clearances,
            seen: true,
            own: false,
            crashes: Vec::new(),
            changed: now,
        };
    }
}
