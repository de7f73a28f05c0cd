//! A policy to compare with, which no router can have: it knows every engine's cache and load
//! at the moment of the choice, and what all daemons sent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use crate::{
    collections::Map,
    kernel::clock::Time,
    prefix::{BLOCK_TOKENS, Hash},
    route::{Choice, Event, Policy, Query},
    standin::engine::Engine,
    upstream::directory::{Directory, Upstream},
};

/// What was sent is expected in the engine's cache for this long, until it is there.
const SENT_LIFETIME: Duration = Duration::from_secs(2);

/// An uncached token delays the other requests of the engine too.
const UNCACHED_WEIGHT: u64 = 4;

/// Microseconds in a second.
const SECOND_MICROS: u64 = 1_000_000;

/// Knows the engines of one deployment. All its daemons share it.
pub struct Oracle {
    engines: Map<SocketAddr, Arc<Engine>>,
    sent: Mutex<Map<SocketAddr, Map<Hash, Time>>>,
}

impl Oracle {
    /// An oracle for these engines.
    pub fn new(engines: &[Arc<Engine>]) -> Oracle {
        let engines = engines.iter().map(|it| (it.address(), it.clone()));
        Oracle { engines: engines.collect(), sent: Mutex::default() }
    }

    /// How many of the prompt's blocks will be in the engine's cache when the prompt gets there.
    fn held(&self, query: &Query<'_>, address: SocketAddr, engine: &Engine, now: Time) -> usize {
        let held = engine.cached_blocks(query.chain);
        let sent = self.sent();
        let Some(sent) = sent.get(&address) else {
            return held;
        };
        let is_coming =
            |it: &&Hash| sent.get(*it).is_some_and(|time| now.since(*time) < SENT_LIFETIME);
        let coming = query.chain.0[held..].iter().take_while(is_coming);
        held + coming.count()
    }

    fn choice(&self, query: &Query<'_>, upstream: &Upstream, now: Time) -> Option<Choice> {
        let engine = self.engines.get(&upstream.address)?;
        let held = self.held(query, upstream.address, engine, now) * BLOCK_TOKENS;
        let cached = (held as u64).min(query.prompt_tokens);
        let load = engine.load_now();
        let own = (query.prompt_tokens - cached) * UNCACHED_WEIGHT;
        let uncached = load.prefill_tokens + own;
        let waiting = u64::from(load.queued + load.running);
        let over = waiting.saturating_sub(u64::from(load.batch) - 1);
        let queue = self.step_micros(engine) * over;
        let micros = uncached * SECOND_MICROS / load.prefill_rate + queue;
        Some(Choice {
            upstream: upstream.name.clone(),
            address: upstream.address,
            incarnation: upstream.incarnation,
            cached_tokens: cached,
            expected_ttft: Duration::from_micros(micros + waiting),
            reason: "oracle",
        })
    }

    fn step_micros(&self, engine: &Engine) -> u64 {
        engine.speed().step.as_micros() as u64
    }

    fn sent(&self) -> MutexGuard<'_, Map<SocketAddr, Map<Hash, Time>>> {
        self.sent.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Policy for Oracle {
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        now: Time,
        _: u64,
    ) -> Option<Choice> {
        let owner = query.owner;
        let mut best: Option<Choice> = None;
        for upstream in directory.upstreams() {
            let serves = upstream.serves(&owner.model, owner.adapter.as_ref(), owner.version);
            if !upstream.is_open() || !serves || query.avoid.contains(&upstream.name) {
                continue;
            }
            let Some(choice) = self.choice(query, upstream, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|it| choice.expected_ttft < it.expected_ttft) {
                best = Some(choice);
            }
        }
        best
    }

    fn observe(&self, event: &Event<'_>, now: Time) {
        let Event::Sent { query, choice } = event else {
            return;
        };
        let mut sent = self.sent();
        let blocks = sent.entry(choice.address).or_default();
        blocks.retain(|_, time| now.since(*time) < SENT_LIFETIME);
        for block in &query.chain.0 {
            blocks.insert(*block, now);
        }
    }
}
