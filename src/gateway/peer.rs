//! What the daemons know of each other from their calls to each other: who lives, what each has at
//! which engine, which engine holds which prefix, and how fresh each one's document is.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    fleet::board::Fact,
    gateway::{cache::Held, gauge::Outcomes, rollout::LoadStatuses},
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Version},
    },
};

/// A peer that has not answered for this long gets no callers: they allow a second for a new
/// connection.
pub const SILENT: Duration = Duration::from_millis(700);

/// What a peer told counts for this long.
const TOLD: Duration = Duration::from_millis(1_000);

/// Facts that are kept for peers that ask late; those that miss some do without.
const MAX_FACTS: usize = 2_048;

/// A question to a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Ask {
    /// The number of the last fact that the asker has of this run of the peer.
    pub after: u64,
    /// The run of the peer that the number belongs to.
    pub incarnation: Incarnation,
}

/// What a daemon has at an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Share {
    /// The hash of the engine's name.
    pub engine: u64,
    /// Calls in progress.
    pub calls: u32,
    /// Prompt tokens that are still to be read.
    pub tokens: u64,
    /// Tokens of its memory that the calls take.
    pub memory: u64,
    /// How the daemon's last calls there ended.
    pub outcomes: Outcomes,
}

/// How far the engines of a model are, as the holder of the lease tells it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Told {
    /// The model.
    pub model: Model,
    /// The holder's fencing token; a higher one goes before.
    pub fence: u64,
    /// The engines.
    pub marks: LoadStatuses,
}

/// A peer's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct News {
    /// The run of the peer.
    pub incarnation: Incarnation,
    /// Whether it takes callers.
    pub ready: bool,
    /// The version of its document, if it has one.
    pub document: Option<u64>,
    /// The time since its document was certainly the newest, in microseconds.
    pub age_us: Option<u64>,
    /// The weights that were named.
    pub weights: Vec<(Model, Version)>,
    /// How far the engines are, if the peer holds the lease.
    pub told: Vec<Told>,
    /// The number of its last fact.
    pub last: u64,
    /// The facts after the number that was asked for.
    pub held: Vec<Held>,
    /// What it has at the engines.
    pub shares: Vec<Share>,
    /// The runs of upstreams that it has found dead, by the hash of their names.
    pub dead: Vec<(u64, Incarnation)>,
    /// The requests that crashed upstreams.
    pub suspects: Vec<Fact>,
}

/// The facts of this daemon, numbered.
#[derive(Debug, Default)]
pub struct Facts {
    last: u64,
    held: VecDeque<Held>,
}

impl Facts {
    /// Adds a fact.
    pub fn add(&mut self, held: Held) {
        self.last += 1;
        self.held.push_back(held);
        if self.held.len() > MAX_FACTS {
            self.held.pop_front();
        }
    }

    /// The number of the last fact, and the facts after `after`.
    pub fn after(&self, after: u64) -> (u64, Vec<Held>) {
        let missing = self.last.saturating_sub(after) as usize;
        let skipped = self.held.len().saturating_sub(missing);
        (self.last, self.held.iter().skip(skipped).copied().collect())
    }
}

/// What is known of one peer.
#[derive(Clone, Debug)]
struct Known {
    incarnation: Incarnation,
    last: u64,
    answered: Time,
    ready: bool,
    shares: Vec<Share>,
}

/// What all peers have at the engines.
pub type Load = Map<u64, Share>;

/// What is known of the peers.
#[derive(Debug, Default)]
pub struct Peers {
    known: Mutex<Map<String, Known>>,
    /// What all peers have at the engines.
    load: ArcSwap<Load>,
    /// The facts of this daemon.
    facts: Mutex<Facts>,
}

impl Peers {
    /// The question for a peer.
    pub fn ask(&self, name: &str) -> Ask {
        let known = self.lock();
        let known = known.get(name);
        known.map_or(Ask { after: 0, incarnation: Incarnation::default() }, |it| Ask {
            after: it.last,
            incarnation: it.incarnation,
        })
    }

    /// Takes note of an answer.
    pub fn learn(&self, name: &str, news: &News, now: Time) {
        let mut known = self.lock();
        let entry = Known {
            incarnation: news.incarnation,
            last: news.last,
            answered: now,
            ready: news.ready,
            shares: news.shares.clone(),
        };
        known.insert(name.to_owned(), entry);
        let mut load = Load::default();
        for peer in known.values().filter(|it| now.since(it.answered) < TOLD) {
            for share in &peer.shares {
                let sum = load.entry(share.engine).or_default();
                sum.calls += share.calls;
                sum.tokens += share.tokens;
                sum.memory += share.memory;
                sum.outcomes = sum.outcomes.plus(&share.outcomes);
            }
        }
        self.load.store(Arc::new(load));
    }

    /// Calls and unread tokens of all peers at the engines.
    pub fn load(&self) -> Arc<Load> {
        self.load.load_full()
    }

    /// Whether a peer may get callers: it answered a short while ago, and is ready.
    pub fn takes_callers(&self, name: &str, now: Time) -> bool {
        let known = self.lock();
        known.get(name).is_some_and(|it| it.ready && now.since(it.answered) < SILENT)
    }

    /// Whether any peer has answered a short while ago.
    pub fn any_answers(&self, now: Time) -> bool {
        self.lock().values().any(|it| now.since(it.answered) < SILENT)
    }

    /// The facts of this daemon.
    pub fn facts(&self) -> MutexGuard<'_, Facts> {
        self.facts.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Known>> {
        self.known.lock().unwrap_or_else(|it| it.into_inner())
    }
}
