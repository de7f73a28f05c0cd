//! Determines which engines may take a call, and the inputs to their cost.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::{
        call::Prompt,
        place::{Query, prefix_hash},
        rollout::Progress,
        roster::Endpoint,
    },
    kernel::{clock::Time, id::Version},
    route::pool::mix,
};

/// The failure rate from which an engine is not the home of any prefix, unless every engine with
/// the same weights reaches it.
const MAX_HOME_FAILURE_RATE: f64 = 0.15;

/// How long answers from superseded weights keep their full value after newer ones were announced
/// (rules: 1.5 s).
const FULL_VALUE_PERIOD: Duration = Duration::from_millis(1_400);

/// The cost of superseded weights after [`FULL_VALUE_PERIOD`], when their answers are worth less.
const SUPERSEDED_COST_MS: f64 = 200.0;

/// The cost of superseded weights during [`FULL_VALUE_PERIOD`]. The engine loses the prefixes that
/// it reads now when it loads the newer weights.
const RECENTLY_SUPERSEDED_COST_MS: f64 = 10.0;

/// The time that a request may wait at an engine before it starts, besides the wait that is expected
/// from the queue there. Superseded weights receive no calls from that long before the end of their
/// grace period.
const MAX_START_DELAY: Duration = Duration::from_millis(1_500);

/// How much longer than expected from the queue a request may wait, as a factor. An engine gives
/// part of its time to running requests, and other daemons' latest calls are not known yet.
const QUEUE_UNCERTAINTY: f64 = 2.0;

/// Number of engines up to which each call weighs all of them.
///
/// In a larger pool many daemons would send their calls to the same engine: the one with the least
/// load by reports that are some hundred milliseconds old. A call there weighs only the engines
/// that rank highest for its prefix and a few random ones. Copies of a prefix then lie on few
/// engines, too.
const WHOLE_POOL_ENGINES: usize = 24;

/// Number of engines with each version of the weights that are weighed for a prefix in a larger
/// pool, the home included.
const RANKED_ENGINES: usize = 4;

/// Number of random engines that are weighed besides.
const RANDOM_ENGINES: usize = 2;

/// An engine that may take a call.
pub(super) struct Candidate<'a> {
    pub(super) endpoint: &'a Arc<Endpoint>,
    pub(super) version: Version,
    /// Its rendezvous rank for the shared parts of the prompt.
    pub(super) rank: u64,
    /// Whether it has the highest rank among the engines with the same weights, those below
    /// [`MAX_HOME_FAILURE_RATE`] first.
    pub(super) is_home: bool,
    /// Whether it is weighed unless none of the weighed ones has room.
    pub(super) is_weighed: bool,
    /// When its weights were superseded, if they were.
    pub(super) superseded_since: Option<Time>,
    /// The cost of serving superseded weights, in milliseconds.
    pub(super) version_cost_ms: f64,
}

/// The engines that may take a call.
pub(super) struct Candidates<'a> {
    pub(super) engines: Vec<Candidate<'a>>,
    /// When a permit may first be asked for at one of the others that could take the call with one.
    pub(super) permit_at: Option<Time>,
}

/// Returns the engines that may take a call. Each reads `prefill_tokens_per_ms` tokens.
pub(super) fn candidates<'a>(
    query: &Query<'_>,
    prompt: &Prompt,
    all: &'a [Arc<Endpoint>],
    progress: &Progress,
    prefill_tokens_per_ms: f64,
    now: Time,
) -> Candidates<'a> {
    let prefix = prefix_hash(query, prompt);
    let mut candidates: Vec<Candidate<'a>> = Vec::with_capacity(all.len());
    let mut permit_at: Option<Time> = None;
    let mut homes: Map<Version, (bool, u64, usize)> = Map::default();
    for endpoint in all {
        if !is_eligible(endpoint, query, now) || progress.is_loading(endpoint, &prompt.model) {
            continue;
        }
        let Some(version) = progress.version(endpoint, &prompt.model) else {
            continue;
        };
        let superseded_since = progress.superseded_since(&prompt.model, version);
        let age = superseded_since.map(|it| now.since(it));
        let may_be_late = |age: Duration| {
            let delay = MAX_START_DELAY
                + queue_wait(query, endpoint, prefill_tokens_per_ms).mul_f64(QUEUE_UNCERTAINTY);
            age + delay >= query.old_version_grace
        };
        if age.is_some_and(may_be_late) {
            continue;
        }
        if let Some(until) = endpoint.health.permit_denied_until(now) {
            permit_at = Some(permit_at.map_or(until, |it| it.min(until)));
            continue;
        }
        let version_cost_ms = match age {
            None => 0.0,
            Some(age) if age < FULL_VALUE_PERIOD => RECENTLY_SUPERSEDED_COST_MS,
            Some(_) => SUPERSEDED_COST_MS,
        };
        let rank = home_rank(prefix, endpoint);
        let home = homes.entry(version).or_default();
        let is_healthy = failure_rate(endpoint, query, now) < MAX_HOME_FAILURE_RATE;
        *home = (*home).max((is_healthy, rank, candidates.len()));
        candidates.push(Candidate {
            endpoint,
            version,
            rank,
            is_home: false,
            is_weighed: true,
            superseded_since,
            version_cost_ms,
        });
    }
    for (_, _, index) in homes.into_values() {
        candidates[index].is_home = true;
    }
    if candidates.len() > WHOLE_POOL_ENGINES {
        weigh_few(&mut candidates, query.random);
    }
    Candidates { engines: candidates, permit_at }
}

/// Leaves only a few engines weighed.
fn weigh_few(candidates: &mut [Candidate<'_>], random: u64) {
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_unstable_by_key(|it| {
        let candidate = &candidates[*it];
        (Reverse(candidate.version), Reverse(candidate.rank))
    });
    let mut of_version = (None, 0);
    for index in order {
        let candidate = &mut candidates[index];
        if of_version.0 != Some(candidate.version) {
            of_version = (Some(candidate.version), 0);
        }
        of_version.1 += 1;
        candidate.is_weighed = of_version.1 <= RANKED_ENGINES || candidate.is_home;
    }
    for number in 0..RANDOM_ENGINES {
        let index = mix(random ^ number as u64) % candidates.len() as u64;
        candidates[index as usize].is_weighed = true;
    }
}

/// The time that an engine needs to read the prompts queued there.
fn queue_wait(query: &Query<'_>, endpoint: &Endpoint, prefill_tokens_per_ms: f64) -> Duration {
    let peers = query.peers.get(&endpoint.hash).map_or(0, |it| it.tokens);
    let queued = peers + endpoint.health.pending_prompt_tokens();
    Duration::from_secs_f64(queued as f64 / prefill_tokens_per_ms / 1_000.0)
}

/// The rendezvous rank of an engine for a prefix. The engine with the highest rank is its home.
fn home_rank(prefix: u64, engine: &Endpoint) -> u64 {
    mix(prefix ^ engine.hash)
}

/// The failure rate of an upstream: the higher of this daemon's own rate and that of all daemons.
/// The own rate counts by itself because an upstream may fail for some of its callers only.
pub(super) fn failure_rate(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> f64 {
    let own = endpoint.health.recent_outcomes(now);
    let fleet = query.peers.get(&endpoint.hash).map_or(own, |it| own.combined_with(&it.outcomes));
    f64::from(own.failure_rate().max(fleet.failure_rate()))
}

pub(super) fn is_eligible(endpoint: &Endpoint, query: &Query<'_>, now: Time) -> bool {
    let may_continue = query.build.is_none_or(|it| *it == endpoint.record.build);
    may_continue && !endpoint.health.is_unavailable(now) && !query.excluded.contains(&endpoint.name)
}

/// Whether fewer calls than the upstream has slots are known to run there.
pub(super) fn has_slot(endpoint: &Endpoint, query: &Query<'_>) -> bool {
    let peers = query.peers.get(&endpoint.hash).map_or(0, |it| it.calls);
    peers + endpoint.health.calls_in_flight() < endpoint.record.slots.max(1)
}
