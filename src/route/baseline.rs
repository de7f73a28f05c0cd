//! Policies to compare with: random choice, least load, session hash.

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

/// Any open engine, with equal chances.
struct Random;

/// The open engine whose last report shows the fewest requests.
struct LeastLoad;

/// The home of the deepest level, which stands for the session, whatever the load.
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
        let member = pool.home(mix(random), 0, |it| query.allows(it))?;
        Some(choice(member, "random"))
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
        let member = least(pool, query, random)?;
        Some(choice(member, "least_load"))
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

impl Policy for SessionHash {
    fn choose(&self, query: &Query<'_>, directory: &Directory, _: Time, _: u64) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        let deepest = query.levels.last().copied().unwrap_or(query.chain.0.len());
        let last = query.chain.0.get(deepest.wrapping_sub(1));
        let key = last.map_or_else(|| mix(query.prompt_tokens), |it| it.0);
        let member = pool.home(key, 0, |it| query.allows(it))?;
        Some(choice(member, "session_hash"))
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}

/// The least loaded member; of equals a random one.
fn least<'a>(pool: &'a Pool, query: &Query<'_>, random: u64) -> Option<&'a Member> {
    let load = |it: &Upstream| it.load.as_ref().map_or(0, |it| it.running + it.queued);
    let open = pool.members().iter().filter(|it| query.allows(&it.upstream));
    let mut random = random;
    open.min_by_key(|it| {
        random = mix(random);
        (load(&it.upstream), random)
    })
}

fn choice(member: &Member, reason: &'static str) -> Choice {
    Choice {
        upstream: member.upstream.name.clone(),
        address: member.upstream.address,
        incarnation: member.upstream.incarnation,
        cached_tokens: 0,
        expected_ttft: Duration::ZERO,
        reason,
    }
}
