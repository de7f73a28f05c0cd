//! Selects an upstream for a call.
//!
//! Rendezvous hashing assigns the shared parts of a prompt a home engine within a service, which is
//! the same on all daemons. An engine that neither holds these parts nor is their home costs more,
//! because it would keep an additional copy. The cost of an engine is the estimated time to the
//! first event: the prompt tokens queued there plus those of this prompt that are not cached.
//! Penalties are added to it, and the engine with the lowest cost is selected.

mod candidate;
pub mod cost;
mod holder;
mod store;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    gateway::{
        brittle,
        cache::{self, Estimate},
        call::Prompt,
        document::KvStore,
        peer::Totals,
        place::{
            candidate::{Candidates, candidates, failure_rate, has_slot, is_eligible},
            cost::{Transfer, cost},
            holder::Holders,
        },
        rollout::Progress,
        room::engine::Room,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Upstream, Version, Zone},
    },
    route::pool::{mix, name_hash},
};

/// The number of calls in progress that equals the cost of an upstream of a plain service that
/// fails all its calls. The upstreams of a plain service are not engines.
const FAILURE_COST_CALLS: f64 = 8.0;

/// The input of a placement decision.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The prompt; `None` for a call to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// The number of the [`Owner`](crate::gateway::salt::Owner) whose cached prompts it may use.
    pub cache_owner: u64,
    /// Whether that is an isolated workspace, whose cached prompts no other workspace shares.
    pub is_isolated: bool,
    /// Upstreams where an attempt of this call failed.
    pub excluded: &'a [Upstream],
    /// The build that began the stream which the upstream continues; `None` if any may take the
    /// call.
    pub build: Option<&'a Build>,
    /// How long a call may start on superseded weights after newer ones were announced.
    pub old_version_grace: Duration,
    /// The limit on the memory that running calls use in each engine of the service, in tokens.
    pub running_limit_tokens: u64,
    /// The KV stores.
    pub kv_stores: &'a [KvStore],
    /// The memory capacity of an engine, in tokens; the smallest one if services differ.
    pub engine_capacity_tokens: u64,
    /// What decides whether an upstream has room, besides the limit on running calls; `None` if the
    /// routes to the service do not differ in priority.
    pub room: Option<Room<'a>>,
    /// The load that other daemons place on the upstreams.
    pub peers: &'a Totals,
    /// A random number that breaks ties between equally loaded upstreams.
    pub random: u64,
}

/// The result of a placement decision.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The selected upstream.
    pub endpoint: Arc<Endpoint>,
    /// The model version that it serves.
    pub version: Option<Version>,
    /// When that version was superseded, if it was.
    pub superseded_since: Option<Time>,
    /// The number of prompt tokens that it is expected to read.
    pub unread_tokens: u64,
    /// Where it can fetch the shared parts that it does not hold.
    pub source: Option<Source>,
    /// The estimated number of shared parts that it holds, and that it holds or can fetch.
    pub prefix_depth: (usize, usize),
    /// The KV store where the engine should save the parts that it reads. It should if it can't
    /// fetch all shared parts that it does not hold.
    pub save_to: Option<KvStore>,
    /// The estimated time to the first event plus penalties, in milliseconds.
    pub cost_ms: f64,
    /// The estimated time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Why the upstream was selected.
    pub reason: &'static str,
}

/// A source from which shared parts of a prompt can be fetched.
#[derive(Clone, Debug)]
pub enum Source {
    /// Another engine.
    Engine(Arc<Endpoint>),
    /// A KV store.
    Store(KvStore),
}

impl Source {
    /// The address of the source.
    pub fn address(&self) -> SocketAddr {
        match self {
            Source::Engine(endpoint) => endpoint.record.address,
            Source::Store(store) => store.address,
        }
    }
}

/// Why no upstream was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No upstream of the service is registered.
    None,
    /// No upstream is eligible: each one is dead, suspected, ejected, paused or leaving, failed an
    /// earlier attempt of this call, has another build than the stream that it would continue, is
    /// loading weights, or serves unknown or too old ones.
    Closed,
    /// All upstreams that could take the call have reached the limit on running calls; brittle ones,
    /// the number of their slots.
    Full,
    /// All upstreams that could take the call named limits, and permits may be asked for again from
    /// this time on.
    Limited(Time),
}

/// Selects upstreams and tracks the contents of their caches.
#[derive(Debug)]
pub struct Placer {
    /// The prompt tokens that an engine reads per millisecond.
    prefill_tokens_per_ms: f64,
    zone: Zone,
    cache: Estimate,
}

/// The cache keys of the parts of a prompt, which depend on the owner and the model version.
fn part_keys(prompt: &Prompt, owner: u64, version: Version) -> Vec<u64> {
    let salt = mix(owner ^ mix(version.0 ^ name_hash(prompt.model.as_str())));
    prompt.parts.iter().map(|it| mix(salt ^ it.hash)).collect()
}

impl Placer {
    /// Creates a placer for a daemon in `zone`.
    pub fn new(prefill_tokens_per_ms: f64, zone: Zone) -> Placer {
        Placer { prefill_tokens_per_ms, zone, cache: Estimate::default() }
    }

    /// Selects one of the upstreams of a service.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if no upstream can take the call.
    pub fn choose(
        &self,
        query: &Query<'_>,
        endpoints: &[Arc<Endpoint>],
        progress: &Progress,
        now: Time,
    ) -> Result<Choice, Error> {
        if endpoints.is_empty() {
            return Err(Error::None);
        }
        match query.prompt {
            Some(prompt) => self.choose_engine(query, prompt, endpoints, progress, now),
            None => self.choose_plain(query, endpoints, now),
        }
    }

    /// Selects the least loaded upstream, full ones last. Another zone counts as one more call.
    fn choose_plain(
        &self,
        query: &Query<'_>,
        all: &[Arc<Endpoint>],
        now: Time,
    ) -> Result<Choice, Error> {
        let is_brittle = brittle::any(all);
        let has_slot = |it: &&Arc<Endpoint>| !is_brittle || has_slot(it, query);
        let eligible = all.iter().filter(|it| is_eligible(it, query, now));
        let permit_at = |it: &&Arc<Endpoint>| it.health.permit_denied_until(now);
        let open = eligible.clone().filter(|it| permit_at(it).is_none());
        let chosen = open.clone().filter(has_slot).min_by_key(|it| {
            let peers = query.peers.get(&it.hash).map_or(0, |it| it.calls);
            let busy = u64::from(peers + it.health.calls_in_flight());
            let full = busy >= u64::from(it.record.slots);
            let is_remote = it.record.zone != self.zone;
            let failing = (failure_rate(it, query, now) * FAILURE_COST_CALLS) as u64;
            (full, busy + u64::from(is_remote) + failing, mix(query.random ^ it.hash))
        });
        let is_full = |it: &Arc<Endpoint>| {
            let peers = query.peers.get(&it.hash).map_or(0, |it| it.calls);
            u64::from(peers + it.health.calls_in_flight()) >= query.running_limit_tokens
        };
        if query.room.is_some() && chosen.is_some_and(is_full) {
            return Err(Error::Full);
        }
        let Some(chosen) = chosen else {
            if open.clone().next().is_some() {
                return Err(Error::Full);
            }
            let first = eligible.filter_map(|it| permit_at(&it)).min();
            return Err(first.map_or(Error::Closed, Error::Limited));
        };
        Ok(Choice {
            endpoint: chosen.clone(),
            version: None,
            superseded_since: None,
            unread_tokens: 0,
            source: None,
            prefix_depth: (0, 0),
            save_to: None,
            cost_ms: 0.0,
            first_event_ms: 0.0,
            reason: "least_load",
        })
    }

    fn choose_engine(
        &self,
        query: &Query<'_>,
        prompt: &Prompt,
        all: &[Arc<Endpoint>],
        progress: &Progress,
        now: Time,
    ) -> Result<Choice, Error> {
        let rate = self.prefill_tokens_per_ms;
        let Candidates { engines: candidates, permit_at } =
            candidates(query, prompt, all, progress, rate, now);
        let depth = |keys: &[u64], engine: &Endpoint| self.cached_depth(query, keys, engine);
        let holders = Holders::new(query, prompt, &candidates, depth);
        let shared_tokens = prefix_tokens(prompt, prompt.shared().len());
        let store = store::assigned(query.kv_stores, prefix_hash(query, prompt));
        let mut best: Option<(f64, Choice)> = None;
        let mut any_full = false;
        let is_brittle = brittle::any(all);
        let weighed = |is_weighed| {
            let all = candidates.iter().enumerate();
            all.filter(move |(_, it)| it.is_weighed == is_weighed)
        };
        for (index, candidate) in weighed(true).chain(weighed(false)) {
            if !candidate.is_weighed && best.is_some() {
                break;
            }
            let endpoint = candidate.endpoint;
            let version = candidate.version;
            let depth = holders.depths[index];
            let holders = &holders.by_version[&version];
            let keys = &holders.keys[..prompt.shared().len()];
            let is_held = depth == keys.len();
            let source = match is_held {
                true => None,
                false => holders.fetch_source(index, depth, &candidates),
            };
            let available_depth = source.as_ref().map_or(depth, |(_, it)| *it).max(depth);
            // Parts that nobody asks for again would displace others in the stores.
            let is_single = query.kv_stores.len() <= 1;
            let store = store.filter(|_| is_single || !query.is_isolated || self.is_reused(keys));
            let (source, available_depth) =
                self.prefer_store(query, store, keys, source, available_depth);
            let cached = prefix_tokens(prompt, if is_held { depth } else { available_depth });
            let unread_tokens = prompt.tokens.saturating_sub(cached);
            let peers = query.peers.get(&endpoint.hash).copied().unwrap_or_default();
            let running = peers.memory + endpoint.health.reserved_tokens();
            // An idle engine accepts a call of any size, because no engine would ever take one that
            // exceeds the limit otherwise.
            let (memory, limit) = (prompt.memory_tokens(), query.running_limit_tokens);
            let has_room = (!is_brittle || has_slot(endpoint, query))
                && query.room.is_none_or(|it| it.fits(endpoint, peers.memory, memory, limit));
            if !has_room || (running > 0 && running + memory > limit) {
                any_full = true;
                continue;
            }
            let queued_tokens = peers.tokens + endpoint.health.pending_prompt_tokens();
            let cost = cost(&cost::Inputs {
                prefill_tokens_per_ms: self.prefill_tokens_per_ms,
                queued_tokens,
                unread_tokens,
                shared_tokens,
                running_calls: peers.calls + endpoint.health.calls_in_flight(),
                is_copy: !is_held && !candidate.is_home,
                transfer: match source {
                    Some(Source::Engine(_)) => Transfer::Engine,
                    Some(Source::Store(_)) => Transfer::Store,
                    None => Transfer::None,
                },
                is_remote: endpoint.record.zone != self.zone,
                version_cost_ms: candidate.version_cost_ms,
                failure_rate: failure_rate(endpoint, query, now),
            });
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let reason = match (is_held, candidate.is_home) {
                (true, _) => "held",
                (false, true) => "home",
                (false, false) => "copy",
            };
            let choice = Choice {
                endpoint: endpoint.clone(),
                version: Some(version),
                superseded_since: candidate.superseded_since,
                unread_tokens,
                source,
                prefix_depth: (depth, available_depth),
                save_to: store.filter(|_| available_depth < keys.len()),
                cost_ms: cost,
                first_event_ms: (queued_tokens + unread_tokens) as f64 / self.prefill_tokens_per_ms,
                reason,
            };
            best = Some((cost, choice));
        }
        match (best, permit_at) {
            (Some((_, choice)), _) => Ok(choice),
            (None, _) if any_full => Err(Error::Full),
            (None, Some(until)) => Err(Error::Limited(until)),
            (None, None) => Err(Error::Closed),
        }
    }

    /// Replaces the engine by the KV store if that holds a longer prefix.
    fn prefer_store(
        &self,
        query: &Query<'_>,
        store: Option<KvStore>,
        keys: &[u64],
        engine: Option<(&Arc<Endpoint>, usize)>,
        available_depth: usize,
    ) -> (Option<Source>, usize) {
        if let Some(store) = store {
            let (cache, incarnation) = (store.cache(), Incarnation::default());
            let stored =
                |it: &&u64| self.cache.holds(cache, incarnation, **it, store.capacity_tokens);
            let stored = keys.iter().take_while(stored).count();
            if stored > available_depth {
                return (Some(Source::Store(store)), stored);
            }
            // The store may hold more than is known: reports take a while, and a daemon that just
            // started has none. A miss costs the engine about a millisecond.
            let may_hold_more = available_depth < keys.len() && query.kv_stores.len() > 1;
            if may_hold_more && (engine.is_none() || stored == available_depth) {
                return (Some(Source::Store(store)), available_depth);
            }
        }
        (engine.map(|(it, _)| Source::Engine(it.clone())), available_depth)
    }

    /// Whether a prompt of an isolated workspace begins with shared parts that it has used recently.
    fn is_reused(&self, keys: &[u64]) -> bool {
        keys.last().is_some_and(|it| self.cache.is_recent(*it))
    }

    /// The number of leading shared parts that an engine holds.
    fn cached_depth(&self, query: &Query<'_>, keys: &[u64], engine: &Endpoint) -> usize {
        let peers = query.peers.get(&engine.hash).map_or(0, |it| it.memory);
        let running = peers + engine.health.reserved_tokens();
        let capacity = query.engine_capacity_tokens.saturating_sub(running);
        let incarnation = engine.record.incarnation;
        let holds = |it: &&u64| self.cache.holds(engine.hash, incarnation, **it, capacity);
        keys.iter().take_while(holds).count()
    }

    /// Records that a prompt is about to be sent to an engine, and whether its parts are in a KV
    /// store or will be saved there. The last part is counted there only if the engine saves.
    /// Returns the entries to share with other daemons.
    pub fn record_send(&mut self, query: &Query<'_>, choice: &Choice) -> Vec<cache::Entry> {
        let (Some(prompt), Some(version)) = (query.prompt, choice.version) else {
            return Vec::new();
        };
        let store = match &choice.source {
            Some(Source::Store(store)) => Some(*store),
            _ => choice.save_to,
        };
        let engine = &choice.endpoint;
        let mut entries = Vec::new();
        let shared_parts = prompt.shared().len();
        for (index, part) in part_keys(prompt, query.cache_owner, version).into_iter().enumerate() {
            let own = cache::Entry {
                cache: engine.hash,
                incarnation: engine.record.incarnation,
                part,
                tokens: prompt.parts[index].tokens,
                shared: index < shared_parts,
            };
            entries.push(own);
            if let Some(store) = store.filter(|_| own.shared || choice.save_to.is_some()) {
                entries.push(cache::Entry {
                    cache: store.cache(),
                    incarnation: Incarnation::default(),
                    ..own
                });
            }
        }
        self.record_entries(&entries, query.engine_capacity_tokens, query.kv_stores);
        entries
    }

    /// Records cache entries. `engine_capacity` is the capacity of an engine in tokens.
    pub fn record_entries(
        &mut self,
        entries: &[cache::Entry],
        engine_capacity: u64,
        stores: &[KvStore],
    ) {
        for entry in entries {
            let store = stores.iter().find(|it| it.cache() == entry.cache);
            let capacity = store.map_or(engine_capacity, |it| it.capacity_tokens);
            self.cache.record(entry, capacity);
        }
    }
}

/// Identifies the shared parts of a prompt, whatever the version of the weights.
fn prefix_hash(query: &Query<'_>, prompt: &Prompt) -> u64 {
    prompt.shared().iter().fold(query.cache_owner, |sum, it| mix(sum ^ it.hash))
}

/// When the first of these upstreams ends its pause, if each one that stays is paused.
pub fn pause_end<'a>(
    endpoints: impl IntoIterator<Item = &'a Arc<Endpoint>>,
    now: Time,
) -> Option<Time> {
    let mut first: Option<Time> = None;
    for endpoint in endpoints {
        if endpoint.health.is_leaving() {
            continue;
        }
        let end = endpoint.health.paused_until(now)?;
        first = Some(first.map_or(end, |it| it.min(end)));
    }
    first
}

/// The number of tokens in the first `depth` shared parts.
fn prefix_tokens(prompt: &Prompt, depth: usize) -> u64 {
    prompt.shared()[..depth].iter().map(|it| it.tokens).sum()
}
