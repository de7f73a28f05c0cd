//! Chooses an upstream for a call.
//!
//! A prompt's shared parts have a home among the engines of a service, the same in all daemons
//! (rendezvous hashing). Each engine costs the time until the first event: what waits there, and
//! the reading of what it does not hold. The cheapest is chosen.

use std::{sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::{
        call::Prompt,
        peer::{Held, Load},
        rollout::Progress,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Upstream, Version, Zone},
    },
    route::pool::{mix, name_hash},
};

/// A holder that was not used for this long counts as having dropped the prefix.
const HELD: Duration = Duration::from_secs(10);

/// Prefixes that are remembered.
const MAX_PREFIXES: usize = 8_192;

/// Holders of one prefix that are remembered.
const MAX_HOLDERS: usize = 16;

/// Other daemons hear of a holder again after this time, so that they do not forget it.
const TELL_AGAIN: Duration = Duration::from_secs(3);

/// The cost of another copy of a prefix, in milliseconds: it displaces other prefixes.
const COPY_MS: f64 = 25.0;

/// The cost of fetching a prefix from another engine, in milliseconds.
const FETCH_MS: f64 = 4.0;

/// The cost of sending a prompt to another zone, in milliseconds.
const ZONE_MS: f64 = 2.0;

/// The cost of one running request, in milliseconds: it slows the others.
const RUNNING_MS: f64 = 0.6;

/// For this long after newer weights were named, answers of older ones have their full value
/// (rules: 1.5 s).
const OLD_FULL: Duration = Duration::from_millis(1_400);

/// The cost of old weights after that, in milliseconds: their answers are worth less.
const OLD_MS: f64 = 200.0;

/// The cost of old weights before that, in milliseconds: what an engine reads now is lost when it
/// loads.
const SOON_OLD_MS: f64 = 10.0;

/// The time for which a request may wait at an engine before it begins.
const BEGIN: Duration = Duration::from_millis(700);

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
    /// Another engine that holds shared parts which the chosen one lacks.
    pub source: Option<Arc<Endpoint>>,
    /// The expected time to its first event, with what else speaks against it, in milliseconds.
    pub cost_ms: f64,
    /// Why it was chosen.
    pub reason: &'static str,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unplaced {
    /// No upstream of the service is registered.
    None,
    /// Those that there are fail, load weights, or have refused this call.
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    engine: u64,
    incarnation: Incarnation,
    used: Time,
    /// When other daemons heard of it last.
    told: Time,
}

/// Chooses upstreams, and remembers which engine holds what.
#[derive(Debug)]
pub struct Placer {
    read_rate: f64,
    zone: Zone,
    holders: Map<u64, Vec<Holder>>,
}

/// An engine that may take a call.
struct Candidate<'a> {
    endpoint: &'a Arc<Endpoint>,
    version: Version,
    /// The rank as the home of the prompt's shared parts.
    rank: u64,
    /// Whether it has the highest rank among the engines with the same weights.
    home: bool,
    /// The cost of its weights' age, in milliseconds.
    old_ms: f64,
}

/// The engines that may take a call.
fn candidates<'a>(
    query: &Query<'_>,
    prompt: &Prompt,
    all: &'a [Arc<Endpoint>],
    progress: &Progress,
    now: Time,
) -> Vec<Candidate<'a>> {
    let prefix = prompt.shared().iter().fold(query.owner, |sum, it| mix(sum ^ it.hash));
    let mut candidates: Vec<Candidate<'a>> = Vec::with_capacity(all.len());
    let mut homes: Map<Version, (u64, usize)> = Map::default();
    for endpoint in all {
        if !is_open(endpoint, query, now) || progress.is_loading(endpoint, &prompt.model) {
            continue;
        }
        let Some(version) = progress.version(endpoint, &prompt.model) else {
            continue;
        };
        let age = progress.superseded(&prompt.model, version).map(|it| now.since(it));
        if age.is_some_and(|it| it + BEGIN >= query.old_weights) {
            continue;
        }
        let old_ms = match age {
            None => 0.0,
            Some(age) if age < OLD_FULL => SOON_OLD_MS,
            Some(_) => OLD_MS,
        };
        let rank = weight(prefix, endpoint);
        let home = homes.entry(version).or_default();
        *home = (*home).max((rank, candidates.len()));
        candidates.push(Candidate { endpoint, version, rank, home: false, old_ms });
    }
    for (_, index) in homes.into_values() {
        candidates[index].home = true;
    }
    candidates
}

/// The prompt's shared prefixes under the weights that compute them, shortest first.
fn prefixes(prompt: &Prompt, owner: u64, version: Version) -> Vec<u64> {
    let mut sum = mix(owner ^ mix(version.0 ^ name_hash(prompt.model.as_str())));
    let mut prefixes = Vec::with_capacity(prompt.parts.len());
    for part in prompt.shared() {
        sum = mix(sum ^ part.hash);
        prefixes.push(sum);
    }
    prefixes
}

/// The rank of an engine as the home of a prefix; the highest is the home.
fn weight(prefix: u64, engine: &Endpoint) -> u64 {
    mix(prefix ^ engine.hash)
}

impl Placer {
    /// A placer of a daemon in `zone`.
    pub fn new(read_rate: f64, zone: Zone) -> Placer {
        Placer { read_rate, zone, holders: Map::default() }
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
            None => self.plain(query, endpoints, now),
        }
        .ok_or(Unplaced::Closed)
    }

    /// The less loaded of the upstreams, near ones first.
    fn plain(&self, query: &Query<'_>, all: &[Arc<Endpoint>], now: Time) -> Option<Choice> {
        let open = all.iter().filter(|it| is_open(it, query, now));
        let chosen = open.min_by_key(|it| {
            let (calls, _) = query.peers.get(&it.hash).copied().unwrap_or_default();
            let busy = u64::from(calls + it.gauge.calls());
            let full = busy >= u64::from(it.record.slots);
            let far = it.record.zone != self.zone;
            (full, busy + u64::from(far), mix(query.random ^ it.hash))
        })?;
        Some(Choice {
            endpoint: chosen.clone(),
            version: None,
            tokens: 0,
            source: None,
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
    ) -> Option<Choice> {
        let candidates = candidates(query, prompt, all, progress, now);
        let shared: u64 = prompt.shared().iter().map(|it| it.tokens).sum();
        let mut known: Map<Version, Vec<u64>> = Map::default();
        let mut best: Option<(f64, Choice)> = None;
        for candidate in &candidates {
            let endpoint = candidate.endpoint;
            let version = candidate.version;
            let prefixes =
                known.entry(version).or_insert_with(|| prefixes(prompt, query.owner, version));
            let depth = self.depth(prefixes, endpoint, now);
            let held = depth == prefixes.len();
            let source = match held {
                true => None,
                false => self.source(prefixes, depth, candidate, &candidates, now),
            };
            let cached = match (&source, held || candidate.home) {
                (_, true) => shared,
                (Some((_, depth)), false) => tokens(prompt, *depth),
                (None, false) => tokens(prompt, depth),
            };
            let tokens = prompt.tokens.saturating_sub(cached);
            let (calls, unread) = query.peers.get(&endpoint.hash).copied().unwrap_or_default();
            let unread = unread + endpoint.gauge.tokens() + tokens;
            let mut cost = unread as f64 / self.read_rate;
            cost += f64::from(calls + endpoint.gauge.calls()) * RUNNING_MS;
            if !held && !candidate.home {
                cost += COPY_MS;
            }
            if source.is_some() {
                cost += FETCH_MS;
            }
            if endpoint.record.zone != self.zone {
                cost += ZONE_MS;
            }
            cost += candidate.old_ms;
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
                source: source.map(|(source, _)| source.clone()),
                cost_ms: cost,
                reason,
            };
            best = Some((cost, choice));
        }
        best.map(|(_, choice)| choice)
    }

    /// The engine with the same weights that holds the longest prefix, if it is longer than the
    /// candidate's; else, if nothing is known, the prefix's home before the candidate.
    fn source<'a>(
        &self,
        prefixes: &[u64],
        own: usize,
        candidate: &Candidate<'_>,
        all: &[Candidate<'a>],
        now: Time,
    ) -> Option<(&'a Arc<Endpoint>, usize)> {
        let mut best: Option<(usize, u64, &'a Arc<Endpoint>)> = None;
        for other in all {
            let same = other.version == candidate.version;
            if !same || other.endpoint.name == candidate.endpoint.name {
                continue;
            }
            let depth = self.depth(prefixes, other.endpoint, now);
            if best.is_none_or(|(most, rank, _)| (most, rank) < (depth, other.rank)) {
                best = Some((depth, other.rank, other.endpoint));
            }
        }
        let (depth, _, endpoint) = best?;
        (depth > own || (depth == 0 && own == 0)).then_some((endpoint, depth))
    }

    /// How many of the prefixes an engine is known to hold.
    fn depth(&self, prefixes: &[u64], engine: &Endpoint, now: Time) -> usize {
        let held = prefixes.iter().rposition(|it| self.holds(*it, engine, now));
        held.map_or(0, |it| it + 1)
    }

    fn holds(&self, prefix: u64, engine: &Endpoint, now: Time) -> bool {
        let Some(holders) = self.holders.get(&prefix) else {
            return false;
        };
        holders.iter().any(|it| {
            let own = it.engine == engine.hash && it.incarnation == engine.record.incarnation;
            own && now.since(it.used) < HELD
        })
    }

    /// Takes note that an engine has read a prompt; tells what to pass on to other daemons.
    pub fn read(
        &mut self,
        prompt: &Prompt,
        owner: u64,
        engine: &Endpoint,
        version: Version,
        now: Time,
    ) -> Vec<Held> {
        let mut news = Vec::new();
        for prefix in prefixes(prompt, owner, version) {
            let held = Held { prefix, engine: engine.hash, incarnation: engine.record.incarnation };
            if self.hold(held, now) {
                news.push(held);
            }
        }
        news
    }

    /// Takes note of what other daemons know.
    pub fn learn(&mut self, held: &[Held], now: Time) {
        for held in held {
            self.hold(*held, now);
        }
    }

    /// Takes note of a holder; tells whether others should hear of it again.
    fn hold(&mut self, held: Held, now: Time) -> bool {
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.retain(|_, it| it.iter().any(|it| now.since(it.used) < HELD));
        }
        let Held { prefix, engine, incarnation } = held;
        let holders = self.holders.entry(prefix).or_default();
        let same = |it: &&mut Holder| it.engine == engine && it.incarnation == incarnation;
        if let Some(known) = holders.iter_mut().find(same) {
            let news = now.since(known.told) >= TELL_AGAIN;
            known.used = now;
            if news {
                known.told = now;
            }
            return news;
        }
        holders.retain(|it| it.engine != engine && now.since(it.used) < HELD);
        holders.push(Holder { engine, incarnation, used: now, told: now });
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
        true
    }
}

/// The tokens of the first shared parts.
fn tokens(prompt: &Prompt, depth: usize) -> u64 {
    prompt.shared()[..depth].iter().map(|it| it.tokens).sum()
}

fn is_open(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
    !endpoint.gauge.is_ejected(now) && !query.avoid.contains(&endpoint.name)
}
