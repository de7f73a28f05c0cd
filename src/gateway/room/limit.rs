//! How much of each upstream's capacity calls of a priority may take.

use std::{collections::BTreeMap, time::Duration};

use crate::kernel::clock::Time;

/// How long capacity is kept free for calls of a priority after the last one. Bursts are up to 7 s
/// apart from each other.
const RESERVATION_TIME: Duration = Duration::from_secs(10);

/// The smallest share of the limit that is kept free for more urgent calls. Other daemons may send
/// several of them before this daemon hears of one.
const MIN_RESERVED_SHARE: f64 = 0.125;

/// The largest share of the limit that is kept free, so that less urgent calls go on.
const MAX_RESERVED_SHARE: f64 = 1.0 / 3.0;

/// Limits on what running calls take of each upstream, in tokens of engine memory; in calls if the
/// upstreams are not engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// For calls that can still meet their latency objective.
    pub running: u64,
    /// For those that cannot.
    pub late: u64,
}

/// Calls of one priority.
#[derive(Clone, Copy, Debug)]
struct Seen {
    last_at: Time,
    max_tokens: u64,
}

/// The sizes of recent calls of a service.
#[derive(Debug, Default)]
pub struct Limits {
    seen: BTreeMap<u8, Seen>,
}

impl Limits {
    /// Records a call that arrives.
    pub fn record(&mut self, priority: u8, tokens: u64, now: Time) {
        self.seen.retain(|_, it| now.since(it.last_at) < RESERVATION_TIME);
        let seen = self.seen.entry(priority).or_insert(Seen { last_at: now, max_tokens: 0 });
        seen.last_at = now;
        seen.max_tokens = seen.max_tokens.max(tokens);
    }

    /// The limit for a call of this priority. It leaves capacity for the largest of the more urgent
    /// calls seen lately.
    pub fn limit(&self, capacity: Capacity, priority: u8, is_late: bool, now: Time) -> u64 {
        let limit = if is_late { capacity.late } else { capacity.running };
        let urgent = self.seen.range(..priority).map(|(_, it)| it);
        let recent = urgent.filter(|it| now.since(it.last_at) < RESERVATION_TIME);
        let Some(largest) = recent.map(|it| it.max_tokens).max() else {
            return limit;
        };
        let share = |it: f64| (capacity.running as f64 * it) as u64;
        let reserved = largest.clamp(share(MIN_RESERVED_SHARE), share(MAX_RESERVED_SHARE));
        limit.min(capacity.running - reserved)
    }
}
