//! Chooses an upstream for a call.
//!
//! A prompt's shared parts have a home among the engines of a service, the same in all daemons
//! (rendezvous hashing). Each engine costs the time until the first event: what waits there, and
//! the reading of what it does not hold. The cheapest is chosen.

use std::{sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::{
        call::{Part, Prompt},
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
const MAX_HOLDERS: usize = 4;

/// The cost of another copy of a prefix, in milliseconds: it displaces other prefixes.
const COPY_MS: f64 = 25.0;

/// The cost of sending a prompt to another zone, in milliseconds.
const ZONE_MS: f64 = 2.0;

/// The cost of one running request, in milliseconds: it slows the others.
const RUNNING_MS: f64 = 0.6;

/// The cost of one waiting request, in milliseconds.
const WAITING_MS: f64 = 40.0;

/// The cost of old weights, in milliseconds: their answers are worth less.
const OLD_MS: f64 = 120.0;

/// What has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The prompt; `None` for a call to a plain service.
    pub prompt: Option<&'a Prompt>,
    /// Whether the owner shares cached prompts with no other workspace: its number, or 0.
    pub owner: u64,
    /// Upstreams that have failed this call.
    pub avoid: &'a [Upstream],
    /// Whether weights older than the wanted ones will do.
    pub old_weights: bool,
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
}

/// Chooses upstreams, and remembers which engine holds what.
#[derive(Debug)]
pub struct Placer {
    read_rate: f64,
    zone: Zone,
    holders: Map<u64, Vec<Holder>>,
}

/// A prefix under the weights that computed it.
fn key(prompt: &Prompt, owner: u64, version: Version) -> Option<u64> {
    let shared = prompt.shared();
    if shared.is_empty() {
        return None;
    }
    let start = mix(owner ^ mix(version.0 ^ name_hash(prompt.model.as_str())));
    Some(fold(start, shared))
}

fn fold(start: u64, parts: &[Part]) -> u64 {
    parts.iter().fold(start, |sum, it| mix(sum ^ it.hash))
}

/// The rank of an engine as the home of a prefix; the highest is the home.
fn weight(prefix: u64, engine: &Endpoint) -> u64 {
    mix(prefix ^ name_hash(engine.name.as_str()))
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
            let load = it.gauge.load(now);
            let own = it.gauge.calls();
            let busy = u64::from(load.running.max(own) + load.waiting);
            let full = load.slots > 0 && busy >= u64::from(load.slots);
            let far = it.record.zone != self.zone;
            (full, busy + u64::from(far), mix(query.random ^ name_hash(it.name.as_str())))
        })?;
        Some(Choice {
            endpoint: chosen.clone(),
            version: None,
            tokens: 0,
            source: None,
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
        let target = progress.target(&prompt.model).map(|it| it.version);
        let shared: u64 = prompt.shared().iter().map(|it| it.tokens).sum();
        let prefix = fold(query.owner, prompt.shared());
        let home = all.iter().filter(|it| !it.gauge.is_ejected(now));
        let home = home.max_by_key(|it| weight(prefix, it)).map(|it| &it.name);
        let mut best: Option<(f64, Choice)> = None;
        for endpoint in all {
            if !is_open(endpoint, query, now) || progress.is_loading(endpoint, &prompt.model) {
                continue;
            }
            let Some(version) = progress.version(endpoint, &prompt.model) else {
                continue;
            };
            let old = target.is_some_and(|it| version < it);
            if old && !query.old_weights {
                continue;
            }
            let held = self.holds(key(prompt, query.owner, version), endpoint, now);
            let at_home = home == Some(&endpoint.name);
            let cached = if held || at_home { shared } else { 0 };
            let tokens = prompt.tokens.saturating_sub(cached);
            let load = endpoint.gauge.load(now);
            let mut cost = (endpoint.gauge.tokens() + tokens) as f64 / self.read_rate;
            cost += f64::from(load.running) * RUNNING_MS + f64::from(load.waiting) * WAITING_MS;
            if cached == 0 && shared > 0 {
                cost += COPY_MS;
            }
            if endpoint.record.zone != self.zone {
                cost += ZONE_MS;
            }
            if old {
                cost += OLD_MS;
            }
            if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                continue;
            }
            let reason = match (held, at_home) {
                (true, _) => "held",
                (false, true) => "home",
                (false, false) => "copy",
            };
            let choice = Choice {
                endpoint: endpoint.clone(),
                version: Some(version),
                tokens,
                source: None,
                reason,
            };
            best = Some((cost, choice));
        }
        let (_, mut choice) = best?;
        choice.source = self.source(query, prompt, &choice, all, progress, now);
        Some(choice)
    }

    /// An engine with the same weights that holds the shared parts, if the chosen one does not.
    fn source(
        &self,
        query: &Query<'_>,
        prompt: &Prompt,
        choice: &Choice,
        all: &[Arc<Endpoint>],
        progress: &Progress,
        now: Time,
    ) -> Option<Arc<Endpoint>> {
        let key = key(prompt, query.owner, choice.version?);
        if self.holds(key, &choice.endpoint, now) {
            return None;
        }
        let mut sources = all.iter().filter(|it| {
            it.name != choice.endpoint.name
                && progress.version(it, &prompt.model) == choice.version
                && !progress.is_loading(it, &prompt.model)
                && is_open(it, query, now)
                && self.holds(key, it, now)
        });
        sources.next().cloned()
    }

    fn holds(&self, key: Option<u64>, engine: &Endpoint, now: Time) -> bool {
        let Some(holders) = key.and_then(|it| self.holders.get(&it)) else {
            return false;
        };
        let name = name_hash(engine.name.as_str());
        holders.iter().any(|it| {
            let own = it.engine == name && it.incarnation == engine.record.incarnation;
            own && now.since(it.used) < HELD
        })
    }

    /// Takes note that an engine has read a prompt.
    pub fn read(
        &mut self,
        prompt: &Prompt,
        owner: u64,
        engine: &Endpoint,
        version: Version,
        now: Time,
    ) {
        let Some(key) = key(prompt, owner, version) else {
            return;
        };
        if self.holders.len() >= MAX_PREFIXES {
            self.holders.retain(|_, it| it.iter().any(|it| now.since(it.used) < HELD));
        }
        let name = name_hash(engine.name.as_str());
        let holder = Holder { engine: name, incarnation: engine.record.incarnation, used: now };
        let holders = self.holders.entry(key).or_default();
        holders.retain(|it| it.engine != name && now.since(it.used) < HELD);
        holders.push(holder);
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
    }
}

fn is_open(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
    !endpoint.gauge.is_ejected(now) && !query.avoid.contains(&endpoint.name)
}
