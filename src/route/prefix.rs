//! The `prefix` policy sends a request to an engine that has its prompt's prefixes cached, unless
//! waiting there costs more than computing them elsewhere.
//!
//! It learns where prefixes are cached from the cached token counts that engines report in answers
//! (with the first token or at the end) and from the requests that this daemon sends. It ignores
//! cache events: in `tests/placement.rs` they gave no benefit over answers and sent requests, and
//! events attributed to the wrong engine reduced the hit rate.
//!
//! The `rendezvous` policy is the same without that knowledge: it takes its candidates from the
//! orderings only and assumes the same hit probability for every home.

use std::{
    array,
    sync::{Mutex, MutexGuard},
};

use crate::{
    kernel::{
        clock::Time,
        id::{Incarnation, Request},
    },
    prefix::{BLOCK_TOKENS, Hash},
    route::{
        Choice, Event, Policy, Query, Registration,
        engine::Engines,
        level::{Level, Levels, MAX_LEVELS, checkpoints},
        pool::{name_hash, weights_id},
        prefix_table::{Holder, Table},
        recent::{self, lock_ignoring_poison},
        search::{self, Search},
    },
    upstream::directory::Directory,
};

/// Number of independently locked shards of the attempts in progress.
const SHARD_COUNT: usize = 16;

/// Maximum number of attempts in one generation of a shard. It bounds the memory of attempts whose
/// end is never reported.
const SHARD_CAPACITY: usize = 4_096;

inventory::submit!(Registration { name: "prefix", make: || Box::new(Placement::new(true)) });

inventory::submit!(Registration { name: "rendezvous", make: || Box::new(Placement::new(false)) });

/// Chooses engines by the prefixes of the prompt.
pub struct Placement {
    track_caches: bool,
    table: Table,
    engines: Engines,
    attempts: [Mutex<recent::Cache<Request, Attempt>>; SHARD_COUNT],
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    engine_hash: u64,
    /// The incarnation that was chosen.
    incarnation: Incarnation,
    sent_at: Time,
    first_token_at: Option<Time>,
    /// Whether a cached token count has been processed.
    has_cached_tokens: bool,
    prefixes: [Option<Prefix>; MAX_LEVELS],
}

/// A level of an attempt's prompt.
#[derive(Clone, Copy, Debug)]
struct Prefix {
    level: Level,
    /// The holder entry of the engine before the attempt was sent.
    previous_holder: Option<Holder>,
}

impl Placement {
    /// Creates a policy without any state. It learns what the caches hold if `track_caches` is set.
    pub fn new(track_caches: bool) -> Placement {
        Placement {
            track_caches,
            table: Table::default(),
            engines: Engines::default(),
            attempts: array::from_fn(|_| Mutex::new(recent::Cache::new(SHARD_CAPACITY))),
        }
    }

    /// Returns the number of entries in the table: prefixes, and pools whose demand is recorded.
    pub fn tracked_prefixes(&self) -> usize {
        self.table.len()
    }

    fn attempts(&self, request: Request) -> MutexGuard<'_, recent::Cache<Request, Attempt>> {
        lock_ignoring_poison(&self.attempts[request.0 as usize % SHARD_COUNT])
    }

    fn record_sent(&self, query: &Query<'_>, choice: &Choice, now: Time) {
        let engine_hash = name_hash(choice.upstream.as_str());
        let tokens = query.prompt_tokens.saturating_sub(choice.cached_tokens);
        let engine = self.engines.get_or_insert(engine_hash);
        engine.lock_incarnation(choice.incarnation, now).record_sent(query.request, tokens, now);
        let levels = Levels::new(query, &self.table, now);
        self.record_demand(query, &levels, now);
        let holder = Holder { engine_hash, incarnation: choice.incarnation, last_seen: now };
        let mut prefixes = [None; MAX_LEVELS];
        for (prefix, level) in prefixes.iter_mut().zip(levels.iter()) {
            let previous_holder = self.table.update(level.hash, |entry| {
                let previous_holder = entry.holder(engine_hash, choice.incarnation).copied();
                entry.add_holder(holder);
                previous_holder
            });
            *prefix = Some(Prefix { level: *level, previous_holder });
        }
        let attempt = Attempt {
            engine_hash,
            incarnation: choice.incarnation,
            sent_at: now,
            first_token_at: None,
            has_cached_tokens: false,
            prefixes,
        };
        *self.attempts(query.request).get_or_insert_with(query.request, || attempt) = attempt;
    }

    /// Records the demand for the pool and for the prefixes of the prompt. The entry of a pool is
    /// in the same table, with the ID of its weights in place of a prefix hash.
    fn record_demand(&self, query: &Query<'_>, levels: &Levels, now: Time) {
        let pool = Hash(weights_id(query.owner));
        self.table.update(pool, |it| it.record_request(now));
        if !query.levels.is_empty() {
            for level in levels.iter() {
                self.table.update(level.hash, |it| it.record_request(now));
            }
            return;
        }
        for blocks in checkpoints(query.chain.0.len()) {
            self.table.update(query.chain.0[blocks - 1], |it| it.record_request(now));
        }
    }

    fn record_first_token(
        &self,
        request: Request,
        incarnation: Incarnation,
        cached: Option<u64>,
        now: Time,
    ) {
        let mut attempts = self.attempts(request);
        let Some(it) = attempts.get_mut(&request) else {
            return;
        };
        if it.first_token_at.is_some() {
            return;
        }
        it.first_token_at = Some(now);
        it.has_cached_tokens = cached.is_some();
        let copy = *it;
        drop(attempts);
        let engine = self.engines.get_or_insert(copy.engine_hash);
        engine.lock_incarnation(incarnation, now).record_prefill_end(request);
        if let Some(cached) = cached {
            self.learn_from_answer(&copy, cached, now);
        }
    }

    fn record_end(&self, request: Request, cached: Option<u64>, now: Time) {
        let Some(attempt) = self.attempts(request).remove(&request) else {
            return;
        };
        let engine = self.engines.get_or_insert(attempt.engine_hash);
        let mut state = engine.lock_incarnation(attempt.incarnation, now);
        state.record_prefill_end(request);
        if let Some(first_token_at) = attempt.first_token_at {
            state.record_decode_time(now.since(first_token_at));
        }
        drop(state);
        match cached {
            Some(cached) if !attempt.has_cached_tokens => {
                self.learn_from_answer(&attempt, cached, now)
            }
            None if attempt.first_token_at.is_none() => self.restore_holders(&attempt),
            _ => {}
        }
    }

    /// Updates the table from the cached token count in an answer. The count tells what was cached
    /// before the attempt; that there is an answer tells that the whole prompt is cached now.
    fn learn_from_answer(&self, attempt: &Attempt, cached_tokens: u64, now: Time) {
        let engine = self.engines.get_or_insert(attempt.engine_hash);
        let holder = Holder {
            engine_hash: attempt.engine_hash,
            incarnation: attempt.incarnation,
            last_seen: attempt.first_token_at.unwrap_or(now),
        };
        for sent in attempt.prefixes.iter().flatten() {
            let tokens = (sent.level.blocks * BLOCK_TOKENS) as u64;
            let hit = tokens <= cached_tokens;
            if let Some(previous_holder) = &sent.previous_holder {
                let mut state = engine.lock_incarnation(attempt.incarnation, now);
                state.record_lookup(previous_holder, hit, attempt.sent_at);
            }
            self.table.update_existing(sent.level.hash, |it| it.add_holder(holder));
        }
    }

    /// Restores the holders from before an attempt that ended without a first token or a cached
    /// token count.
    fn restore_holders(&self, attempt: &Attempt) {
        for sent in attempt.prefixes.iter().flatten() {
            self.table.update_existing(sent.level.hash, |entry| {
                entry.remove_holder(attempt.engine_hash, attempt.sent_at);
                if let Some(previous_holder) = sent.previous_holder {
                    entry.add_holder(previous_holder);
                }
            });
        }
    }
}

impl Policy for Placement {
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        now: Time,
        random: u64,
    ) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        self.engines.prune(directory);
        let state = search::State {
            table: &self.table,
            engines: &self.engines,
            track_caches: self.track_caches,
        };
        let choice = Search::new(query, pool, state, now).best(random)?;
        assert!(
            !query.avoid.contains(&choice.upstream),
            "the prefix or rendezvous policy chose upstream {}, which the query's `avoid` excludes",
            choice.upstream
        );
        Some(choice)
    }

    fn observe(&self, event: &Event<'_>, now: Time) {
        match event {
            Event::Sent { query, choice } => self.record_sent(query, choice, now),
            Event::FirstToken { request, incarnation, cached_tokens } => {
                self.record_first_token(*request, *incarnation, *cached_tokens, now)
            }
            Event::Ended { request, cached_tokens } => {
                self.record_end(*request, *cached_tokens, now)
            }
            Event::CacheChanged { .. } => {}
        }
    }
}
