//! Chooses an upstream for a call.
//!
//! A prompt's shared parts have a home among the engines of a service, the same in all daemons
//! (rendezvous hashing). Each engine costs the time until the first event: what waits there, and
//! the reading of what it does not hold. The cheapest is chosen.

mod candidate;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::{
        cache::{CacheEntry, CacheModel, STORE},
        call::Prompt,
        document::KvStore,
        peer::Load,
        place::candidate::{Candidate, candidates, failing, is_open},
        rollout::Progress,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Upstream, Version, Zone},
    },
    route::pool::{mix, name_hash},
};

/// The cost of another copy of a prefix, in milliseconds a token: it displaces prefixes that are
/// read again later.
const COPY_MS: f64 = 0.05;

/// The cost of fetching a prefix from another engine, in milliseconds.
const FETCH_MS: f64 = 4.0;

/// The cost of fetching a prefix from the KV store, in milliseconds; its link is shared by all.
const STORE_MS: f64 = 25.0;

/// The cost of sending a prompt to another zone, in milliseconds.
const ZONE_MS: f64 = 2.0;

/// The cost of one running request, in milliseconds: it slows the others.
const RUNNING_MS: f64 = 0.6;

/// The cost of an engine that fails all its calls, in milliseconds: a failure costs more than the
/// answer's latency objective, and more than another copy of the longest prompts' prefixes.
const FAILING_MS: f64 = 1_500.0;

/// Calls in progress that weigh as much as an upstream of a plain service that fails all its calls.
const FAILING_CALLS: f64 = 8.0;

/// What has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The prompt; `None` for a call to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// Whether the owner shares cached prompts with no other workspace: its number, or 0.
    pub owner: u64,
    /// Upstreams that have failed this call.
    pub avoid: &'a [Upstream],
    /// How long after newer weights were named a call may begin on older ones.
    pub old_weights: Duration,
    /// Tokens that running calls may take of an engine's memory.
    pub room: u64,
    /// The KV store.
    pub kv_store: Option<KvStore>,
    /// Tokens of an engine's memory.
    pub capacity: u64,
    /// What the other daemons have at the engines.
    pub peers: &'a Load,
    /// A random number.
    pub random: u64,
}

/// A chosen upstream.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub endpoint: Arc<Endpoint>,
    /// The weights that it has.
    pub version: Option<Version>,
    /// Prompt tokens that it is expected to read.
    pub tokens: u64,
    /// Where the shared parts may be fetched that it lacks.
    pub source: Option<Source>,
    /// Shared parts that it holds, and that it holds or may fetch, as far as is known.
    pub depth: (usize, usize),
    /// Whether the KV store should take the shared parts.
    pub save: bool,
    /// The expected time to its first event, with what else speaks against it, in milliseconds.
    pub cost_ms: f64,
    /// Why it was chosen.
    pub reason: &'static str,
}

/// What holds shared parts of a prompt.
#[derive(Clone, Debug)]
pub enum Source {
    /// Another engine.
    Engine(Arc<Endpoint>),
    /// The KV store.
    Store(SocketAddr),
}

impl Source {
    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        match self {
            Source::Engine(endpoint) => endpoint.record.address,
            Source::Store(address) => *address,
        }
    }
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unplaced {
    /// No upstream of the service is registered.
    None,
    /// Those that there are fail, load weights, or have refused this call.
    Closed,
    /// All engines that could take the call have as much running as leaves room for cached
    /// prompts.
    Full,
}

/// Chooses upstreams, and remembers which engine holds what.
#[derive(Debug)]
pub struct Placer {
    read_rate: f64,
    zone: Zone,
    cache: CacheModel,
}

/// The numbers of a prompt's parts under the weights that compute them.
fn numbers(prompt: &Prompt, owner: u64, version: Version) -> Vec<u64> {
    let salt = mix(owner ^ mix(version.0 ^ name_hash(prompt.model.as_str())));
    prompt.parts.iter().map(|it| mix(salt ^ it.hash)).collect()
}

impl Placer {
    /// A placer of a daemon in `zone`.
    pub fn new(read_rate: f64, zone: Zone) -> Placer {
        Placer { read_rate, zone, cache: CacheModel::default() }
    }

    /// Chooses among the upstreams of a service.
    ///
    /// # Errors
    ///
    /// [`Unplaced`].
    pub fn choose(
        &self,
        query: &Query<'_>,
        endpoints: &[Arc<Endpoint>],
        progress: &Progress,
        now: Time,
    ) -> Result<Choice, Unplaced> {
        if endpoints.is_empty() {
            return Err(Unplaced::None);
        }
        match query.prompt {
            Some(prompt) => self.engine(query, prompt, endpoints, progress, now),
            None => self.plain(query, endpoints, now).ok_or(Unplaced::Closed),
        }
    }

    /// The less loaded of the upstreams, near ones first.
    fn plain(&self, query: &Query<'_>, all: &[Arc<Endpoint>], now: Time) -> Option<Choice> {
        let open = all.iter().filter(|it| is_open(it, query, now));
        let chosen = open.min_by_key(|it| {
            let peers = query.peers.get(&it.hash).map_or(0, |it| it.calls);
            let busy = u64::from(peers + it.gauge.calls());
            let full = busy >= u64::from(it.record.slots);
            let far = it.record.zone != self.zone;
            let failing = (failing(it, query, now) * FAILING_CALLS) as u64;
            (full, busy + u64::from(far) + failing, mix(query.random ^ it.hash))
        })?;
        Some(Choice {
            endpoint: chosen.clone(),
            version: None,
            tokens: 0,
            source: None,
            depth: (0, 0),
            save: false,
            cost_ms: 0.0,
            reason: "least_load",
        })
    }

    fn engine(
        &self,
        query: &Query<'_>,
        prompt: &Prompt,
        all: &[Arc<Endpoint>],
        progress: &Progress,
        now: Time,
    ) -> Result<Choice, Unplaced> {
        let candidates = candidates(query, prompt, all, progress, now);
        let shared = tokens(prompt, prompt.shared().len());
        let mut known: Map<Version, Vec<u64>> = Map::default();
        let mut best: Option<(f64, Choice)> = None;
        let mut full = false;
        for candidate in &candidates {
            let endpoint = candidate.endpoint;
            let version = candidate.version;
            let numbers =
                known.entry(version).or_insert_with(|| numbers(prompt, query.owner, version));
            let numbers = &numbers[..prompt.shared().len()];
            let depth = self.depth(query, numbers, endpoint);
            let held = depth == numbers.len();
            let source = match held {
                true => None,
                false => self.source(query, numbers, depth, candidate, &candidates),
            };
            let found = source.as_ref().map_or(depth, |(_, it)| *it).max(depth);
            let (source, found) = self.or_store(query, numbers, source, found);
            let cached = tokens(prompt, if held { depth } else { found });
            let tokens = prompt.tokens.saturating_sub(cached);
            let peers = query.peers.get(&endpoint.hash).copied().unwrap_or_default();
            let running = peers.memory + endpoint.gauge.memory();
            if running > 0 && running + prompt.memory_tokens() > query.room {
                full = true;
                continue;
            }
            let unread = peers.tokens + endpoint.gauge.tokens() + tokens;
            let mut cost = unread as f64 / self.read_rate;
            cost += f64::from(peers.calls + endpoint.gauge.calls()) * RUNNING_MS;
            if !held && !candidate.home {
                cost += COPY_MS * shared as f64;
            }
            cost += match source {
                Some(Source::Engine(_)) => FETCH_MS,
                Some(Source::Store(_)) => STORE_MS,
                None => 0.0,
            };
            if endpoint.record.zone != self.zone {
                cost += ZONE_MS;
            }
            cost += candidate.old_ms;
            cost += failing(endpoint, query, now) * FAILING_MS;
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let reason = match (held, candidate.home) {
                (true, _) => "held",
                (false, true) => "home",
                (false, false) => "copy",
            };
            let choice = Choice {
                endpoint: endpoint.clone(),
                version: Some(version),
                tokens,
                source,
                depth: (depth, found),
                save: found < numbers.len(),
                cost_ms: cost,
                reason,
            };
            best = Some((cost, choice));
        }
        match best {
            Some((_, choice)) => Ok(choice),
            None if full => Err(Unplaced::Full),
            None => Err(Unplaced::Closed),
        }
    }

    /// The engine with the same weights that holds most of the shared parts, if it holds more than
    /// the candidate; else, if nothing is known, their home before the candidate.
    fn source<'a>(
        &self,
        query: &Query<'_>,
        numbers: &[u64],
        own: usize,
        candidate: &Candidate<'_>,
        all: &[Candidate<'a>],
    ) -> Option<(&'a Arc<Endpoint>, usize)> {
        let mut best: Option<(usize, u64, &'a Arc<Endpoint>)> = None;
        for other in all {
            let same = other.version == candidate.version;
            if !same || other.endpoint.name == candidate.endpoint.name {
                continue;
            }
            let depth = self.depth(query, numbers, other.endpoint);
            if best.is_none_or(|(most, rank, _)| (most, rank) < (depth, other.rank)) {
                best = Some((depth, other.rank, other.endpoint));
            }
        }
        let (depth, _, endpoint) = best?;
        (depth > own || (depth == 0 && own == 0)).then_some((endpoint, depth))
    }

    /// The KV store in place of an engine, if it holds more of the shared parts.
    fn or_store(
        &self,
        query: &Query<'_>,
        numbers: &[u64],
        engine: Option<(&Arc<Endpoint>, usize)>,
        found: usize,
    ) -> (Option<Source>, usize) {
        if let Some(store) = query.kv_store {
            let run = Incarnation::default();
            let stored = |it: &&u64| self.cache.holds(STORE, run, **it, store.capacity_tokens);
            let stored = numbers.iter().take_while(stored).count();
            if stored > found {
                return (Some(Source::Store(store.address)), stored);
            }
        }
        (engine.map(|(it, _)| Source::Engine(it.clone())), found)
    }

    /// How many of the shared parts an engine holds, from the first on.
    fn depth(&self, query: &Query<'_>, numbers: &[u64], engine: &Endpoint) -> usize {
        let peers = query.peers.get(&engine.hash).map_or(0, |it| it.memory);
        let running = peers + engine.gauge.memory();
        let room = query.capacity.saturating_sub(running);
        let run = engine.record.incarnation;
        let holds = |it: &&u64| self.cache.holds(engine.hash, run, **it, room);
        numbers.iter().take_while(holds).count()
    }

    /// Takes note that an engine is sent a prompt, and whether the KV store takes or has its parts;
    /// tells what to pass on to other daemons.
    pub fn sent(&mut self, query: &Query<'_>, choice: &Choice) -> Vec<CacheEntry> {
        let (Some(prompt), Some(version)) = (query.prompt, choice.version) else {
            return Vec::new();
        };
        let stored = choice.save || matches!(choice.source, Some(Source::Store(_)));
        let store = query.kv_store.filter(|_| stored);
        let engine = &choice.endpoint;
        let mut news = Vec::new();
        let shared = prompt.shared().len();
        for (place, part) in numbers(prompt, query.owner, version).into_iter().enumerate() {
            let own = CacheEntry {
                cache: engine.hash,
                incarnation: engine.record.incarnation,
                part,
                tokens: prompt.parts[place].tokens,
                shared: place < shared,
            };
            news.push(own);
            if store.is_some() && (own.shared || choice.save) {
                news.push(CacheEntry { cache: STORE, incarnation: Incarnation::default(), ..own });
            }
        }
        self.record_entries(&news, query.capacity, query.kv_store);
        news
    }

    /// Takes note of what caches hold. `capacity` is that of an engine.
    pub fn record_entries(&mut self, held: &[CacheEntry], capacity: u64, store: Option<KvStore>) {
        for held in held {
            let room = match held.cache {
                STORE => store.map_or(0, |it| it.capacity_tokens),
                _ => capacity,
            };
            self.cache.record(held, room);
        }
    }
}

/// The tokens of the first shared parts.
fn tokens(prompt: &Prompt, depth: usize) -> u64 {
    prompt.shared()[..depth].iter().map(|it| it.tokens).sum()
}
