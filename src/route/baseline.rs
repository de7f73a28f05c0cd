//! Baseline policies for comparison: random choice, least load, session hash.

use std::time::Duration;

use crate::{
    kernel::clock::Time,
    route::{
        Choice, Event, Policy, Query, Registration,
        pool::{Member, Pool, mix},
    },
    upstream::directory::{Directory, Upstream},
};

inventory::submit!(Registration { name: "random", make: || Box::new(Random) });

inventory::submit!(Registration { name: "least_load", make: || Box::new(LeastLoad) });

inventory::submit!(Registration { name: "session_hash", make: || Box::new(SessionHash) });

/// Chooses uniformly among the engines that [`Query::allows`].
struct Random;

/// Chooses the engine whose last load report shows the fewest requests, among those that
/// [`Query::allows`].
struct LeastLoad;

/// Chooses by the hash of the longest marked prefix, which identifies the session, regardless of
/// load. Without marked prefixes it uses the hash of all full blocks, and for a prompt without a
/// full block its length.
struct SessionHash;

impl Policy for Random {
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        _: Time,
        random: u64,
    ) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        let member = pool.member_at_rank(mix(random), 0, |it| query.allows(it))?;
        Some(unestimated_choice(member, "random"))
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

impl Policy for LeastLoad {
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        _: Time,
        random: u64,
    ) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        let member = least_loaded(pool, query, random)?;
        Some(unestimated_choice(member, "least_load"))
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

impl Policy for SessionHash {
    fn choose(&self, query: &Query<'_>, directory: &Directory, _: Time, _: u64) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        let longest = query.levels.last().copied().unwrap_or(query.chain.0.len());
        let last = query.chain.0.get(longest.wrapping_sub(1));
        let key = last.map_or_else(|| mix(query.prompt_tokens), |it| it.0);
        let member = pool.member_at_rank(key, 0, |it| query.allows(it))?;
        Some(unestimated_choice(member, "session_hash"))
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

/// Returns the allowed member with the fewest requests, breaking ties at random.
fn least_loaded<'a>(pool: &'a Pool, query: &Query<'_>, random: u64) -> Option<&'a Member> {
    let load = |it: &Upstream| it.load.as_ref().map_or(0, |it| it.running + it.queued);
    let allowed = pool.members().iter().filter(|it| query.allows(&it.upstream));
    let mut random = random;
    allowed.min_by_key(|it| {
        random = mix(random);
        (load(&it.upstream), random)
    })
}

fn unestimated_choice(member: &Member, reason: &'static str) -> Choice {
    Choice {
        upstream: member.upstream.name.clone(),
        address: member.upstream.address,
        incarnation: member.upstream.incarnation,
        cached_tokens: 0,
        expected_ttft: Duration::ZERO,
        reason,
    }
}
