//! The policy `prefix`: a request goes where its prompt's prefixes are cached, unless the wait
//! there costs more than computing them elsewhere.
//!
//! It learns where prefixes are cached from the cached tokens that answers count and from its
//! own sends. Cache events are left aside: in the runs of `tests/placement.rs` they gained
//! nothing over answers and sends, and wrong ones cost hits. The policy `rendezvous` learns
//! nothing of the caches.

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
        prefix_table::{Holder, PrefixTable},
        recent::{RecentMap, lock_ignoring_poison},
        search::{PolicyState, Search},
    },
    upstream::directory::Directory,
};

/// Shards of the requests in progress.
const SHARDS: usize = 16;

/// Requests in one generation of a shard, should their ends never be told.
const SHARD_REQUESTS: usize = 4_096;

inventory::submit!(Registration { name: "prefix", make: || Box::new(PrefixPolicy::new(true)) });

inventory::submit!(Registration {
    name: "rendezvous",
    make: || Box::new(PrefixPolicy::new(false))
});

/// Chooses by the prefixes of the prompt.
pub struct PrefixPolicy {
    track_caches: bool,
    table: PrefixTable,
    engines: Engines,
    pending: [Mutex<RecentMap<Request, Pending>>; SHARDS],
}

/// A request in progress.
#[derive(Clone, Copy, Debug)]
struct Pending {
    engine: u64,
    incarnation: Incarnation,
    sent: Time,
    first: Option<Time>,
    checked: bool,
    prefixes: [Option<Sent>; MAX_LEVELS],
}

/// A prefix of a request in progress.
#[derive(Clone, Copy, Debug)]
struct Sent {
    level: Level,
    /// What was known of the engine's holding it before the request was sent.
    before: Option<Holder>,
}

impl PrefixPolicy {
    /// A policy that knows nothing yet. It learns what the caches hold if `caches` is set.
    pub fn new(track_caches: bool) -> PrefixPolicy {
        PrefixPolicy {
            track_caches,
            table: PrefixTable::default(),
            engines: Engines::default(),
            pending: array::from_fn(|_| Mutex::new(RecentMap::new(SHARD_REQUESTS))),
        }
    }

    /// Prefixes that it remembers.
    pub fn tracked_prefixes(&self) -> usize {
        self.table.len()
    }

    fn pending(&self, request: Request) -> MutexGuard<'_, RecentMap<Request, Pending>> {
        lock_ignoring_poison(&self.pending[request.0 as usize % SHARDS])
    }

    fn sent(&self, query: &Query<'_>, choice: &Choice, now: Time) {
        let engine = name_hash(choice.upstream.as_str());
        let tokens = query.prompt_tokens.saturating_sub(choice.cached_tokens);
        let state = self.engines.get_or_insert(engine);
        state.lock_run(choice.incarnation, now).record_sent(query.request, tokens, now);
        let levels = Levels::new(query, &self.table, now);
        self.count(query, &levels, now);
        let holder = Holder { engine, incarnation: choice.incarnation, last_seen: now };
        let mut prefixes = [None; MAX_LEVELS];
        for (prefix, level) in prefixes.iter_mut().zip(levels.iter()) {
            let before = self.table.update(level.hash, |entry| {
                let before = entry.holder(engine, choice.incarnation).copied();
                entry.add_holder(holder);
                before
            });
            *prefix = Some(Sent { level: *level, before });
        }
        let pending = Pending {
            engine,
            incarnation: choice.incarnation,
            sent: now,
            first: None,
            checked: false,
            prefixes,
        };
        *self.pending(query.request).get_or_insert_with(query.request, || pending) = pending;
    }

    /// Counts the demand for the pool and the prompt's prefixes.
    fn count(&self, query: &Query<'_>, levels: &Levels, now: Time) {
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

    fn first(&self, request: Request, incarnation: Incarnation, cached: Option<u64>, now: Time) {
        let mut pending = self.pending(request);
        let Some(it) = pending.get_mut(&request) else {
            return;
        };
        if it.first.is_some() {
            return;
        }
        it.first = Some(now);
        it.checked = cached.is_some();
        let copy = *it;
        drop(pending);
        let engine = self.engines.get_or_insert(copy.engine);
        engine.lock_run(incarnation, now).record_prefilled(request);
        if let Some(cached) = cached {
            self.check(&copy, cached, now);
        }
    }

    fn ended(&self, request: Request, cached: Option<u64>, now: Time) {
        let Some(pending) = self.pending(request).remove(&request) else {
            return;
        };
        let engine = self.engines.get_or_insert(pending.engine);
        let mut state = engine.lock_run(pending.incarnation, now);
        state.record_prefilled(request);
        if let Some(first) = pending.first {
            state.record_decode_time(now.since(first));
        }
        drop(state);
        match cached {
            Some(cached) if !pending.checked => self.check(&pending, cached, now),
            None if pending.first.is_none() => self.forget(&pending),
            _ => {}
        }
    }

    /// Learns from an answer, which shows what was cached and that all is now.
    fn check(&self, pending: &Pending, cached_tokens: u64, now: Time) {
        let engine = self.engines.get_or_insert(pending.engine);
        let holder = Holder {
            engine: pending.engine,
            incarnation: pending.incarnation,
            last_seen: pending.first.unwrap_or(now),
        };
        for sent in pending.prefixes.iter().flatten() {
            let tokens = (sent.level.blocks * BLOCK_TOKENS) as u64;
            let hit = tokens <= cached_tokens;
            if let Some(before) = &sent.before {
                let mut state = engine.lock_run(pending.incarnation, now);
                state.record_lookup(before, hit, pending.sent);
            }
            self.table.update_existing(sent.level.hash, |it| it.add_holder(holder));
        }
    }

    /// Takes back what a request that was never answered let expect.
    fn forget(&self, pending: &Pending) {
        for sent in pending.prefixes.iter().flatten() {
            self.table.update_existing(sent.level.hash, |entry| {
                entry.remove_holder(pending.engine, pending.sent);
                if let Some(before) = sent.before {
                    entry.add_holder(before);
                }
            });
        }
    }
}

impl Policy for PrefixPolicy {
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        now: Time,
        random: u64,
    ) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        self.engines.prune(directory);
        let knowledge = PolicyState {
            table: &self.table,
            engines: &self.engines,
            track_caches: self.track_caches,
        };
        let choice = Search::new(query, pool, knowledge, now).best(random)?;
        assert!(
            !query.avoid.contains(&choice.upstream),
            "chose {} that must be avoided",
            choice.upstream
        );
        Some(choice)
    }

    fn observe(&self, event: &Event<'_>, now: Time) {
        match event {
            Event::Sent { query, choice } => self.sent(query, choice, now),
            Event::FirstToken { request, incarnation, cached_tokens } => {
                self.first(*request, *incarnation, *cached_tokens, now)
            }
            Event::Ended { request, cached_tokens } => self.ended(*request, *cached_tokens, now),
            Event::CacheChanged { .. } => {}
        }
    }
}
