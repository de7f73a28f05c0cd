//! The policy `prefix`: a request goes where its prompt's prefix is cached.

use std::time::Duration;

use crate::{
    kernel::clock::Time,
    route::{Choice, Event, Policy, Query, Registration, pool::mix},
    upstream::directory::Directory,
};

inventory::submit!(Registration {
    name: "prefix",
    make: || Box::new(Prefix),
});

/// Chooses by the prefix of the prompt.
struct Prefix;

impl Policy for Prefix {
    fn choose(&self, query: &Query<'_>, directory: &Directory, _: Time, _: u64) -> Option<Choice> {
        let pool = directory.pool(query.owner)?;
        let level = query.levels.first().copied().unwrap_or(1);
        let first = query.chain.0.get(level.wrapping_sub(1));
        let key = first.map_or_else(|| mix(query.prompt_tokens), |it| it.0);
        let member = pool.home(key, 0, |it| query.allows(it))?;
        Some(Choice {
            upstream: member.upstream.name.clone(),
            address: member.upstream.address,
            incarnation: member.upstream.incarnation,
            cached_tokens: 0,
            expected: Duration::ZERO,
            reason: "home",
        })
    }

    fn observe(&self, _: &Event<'_>, _: Time) {}
}
