//! Which upstreams may take a call, and what speaks against each.

use std::{sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::{call::Prompt, place::Query, rollout::Progress, roster::Endpoint},
    kernel::{clock::Time, id::Version},
    route::pool::mix,
};

/// The share of failures from which an engine is home to no prefix, unless all fail as often.
const HOMELESS: f64 = 0.15;

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

/// An engine that may take a call.
pub(super) struct Candidate<'a> {
    pub(super) endpoint: &'a Arc<Endpoint>,
    pub(super) version: Version,
    /// The rank as the home of the prompt's shared parts.
    pub(super) rank: u64,
    /// Whether it has the highest rank among the sound engines with the same weights.
    pub(super) home: bool,
    /// The cost of its weights' age, in milliseconds.
    pub(super) old_ms: f64,
}

/// The engines that may take a call.
pub(super) fn candidates<'a>(
    query: &Query<'_>,
    prompt: &Prompt,
    all: &'a [Arc<Endpoint>],
    progress: &Progress,
    now: Time,
) -> Vec<Candidate<'a>> {
    let prefix = prompt.shared().iter().fold(query.owner, |sum, it| mix(sum ^ it.hash));
    let mut candidates: Vec<Candidate<'a>> = Vec::with_capacity(all.len());
    let mut homes: Map<Version, (bool, u64, usize)> = Map::default();
    for endpoint in all {
        if !is_open(endpoint, query, now) || progress.is_loading(endpoint, &prompt.model) {
            continue;
        }
        let Some(version) = progress.version(endpoint, &prompt.model) else {
            continue;
        };
        let age = progress.superseded_since(&prompt.model, version).map(|it| now.since(it));
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
        let sound = failing(endpoint, query, now) < HOMELESS;
        *home = (*home).max((sound, rank, candidates.len()));
        candidates.push(Candidate { endpoint, version, rank, home: false, old_ms });
    }
    for (_, _, index) in homes.into_values() {
        candidates[index].home = true;
    }
    candidates
}

/// The rank of an engine as the home of a prefix; the highest is the home.
fn weight(prefix: u64, engine: &Endpoint) -> u64 {
    mix(prefix ^ engine.hash)
}

/// The share of the calls to an upstream that fail: of this daemon's own, since some fail for a part
/// of their callers only, or of all daemons', whichever is higher.
pub(super) fn failing(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> f64 {
    let own = endpoint.gauge.outcomes(now);
    let peers = query.peers.get(&endpoint.hash).map_or(own, |it| own.plus(&it.outcomes));
    f64::from(own.failing().max(peers.failing()))
}

pub(super) fn is_open(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
    !endpoint.gauge.is_ejected(now) && !query.avoid.contains(&endpoint.name)
}
