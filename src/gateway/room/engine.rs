//! What a daemon may still add to an engine whose memory it shares with other daemons.
//!
//! Reports of the memory that other daemons use are 0.1 to 0.85 s old. The tokens that they added to
//! an engine since then are estimated from how fast the reports have risen. They count against the
//! memory that the engine has, not against the lower limit on running calls: the cached prompts in
//! between are evicted if the estimate was too low.
//!
//! Where they may exceed the free memory, only some of the daemons use the engine: each draws a
//! random number for each engine and slot of time. If all kept away instead, they would all send
//! their calls to the same other engines and come back together.

use std::time::Duration;

use crate::{
    collections::Map,
    gateway::{peer::Totals, roster::Endpoint},
    kernel::clock::Time,
    route::pool::{mix, name_hash},
};

/// The age of the oldest reports of other daemons.
const MAX_REPORT_AGE: Duration = Duration::from_millis(850);

/// Interval between observations of the reports, which change about as often.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(100);

/// Time constant of the decay of the rise, a few times the age of the reports.
const DECAY_TIME: Duration = Duration::from_millis(2_000);

/// The share of an engine's memory that calls may take. The rest is for those that an engine counts
/// for longer than their daemon does.
const MAX_TAKEN_SHARE: f64 = 0.95;

/// How many times the estimate others may have added. In trials with 16 daemons, 32 engines and 880 calls
/// per second, engines rejected 4,442 of 22,000 calls with a factor of 2 and 2,210 with 4, and running
/// calls took all of their limit with either.
const SAFETY_FACTOR: f64 = 4.0;

/// How long a draw holds, about as long as it takes to hear of what others did meanwhile. Draws of
/// 50 ms let daemons try an engine until one succeeds: they doubled the rejected calls.
const SLOT: Duration = Duration::from_millis(300);

/// The number of values of a draw.
const DRAW_RANGE: f64 = (1_u64 << 53) as f64;

/// How long an engine that rejected a prompt receives none of at least the same size.
const REJECTION_PAUSE: Duration = Duration::from_millis(250);

/// How the reported memory of other daemons at one engine has changed.
#[derive(Clone, Copy, Debug, Default)]
struct Rise {
    memory: u64,
    /// Tokens by which it rose, weighted by age.
    risen: f64,
}

/// Who else may be using the engines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fleet {
    /// Hash of this daemon's name.
    pub own: u64,
    /// Registered daemons, this one included.
    pub daemons: usize,
    /// Whether any of the others was heard from recently.
    pub is_heard: bool,
}

/// What is known of the engines beyond their reported load.
#[derive(Clone, Debug, Default)]
pub struct Engines {
    rises: Map<u64, Rise>,
    observed_at: Option<Time>,
    rejected: Map<u64, (u64, Time)>,
    fleet: Fleet,
}

/// What decides whether a call fits, besides the limit on running calls.
#[derive(Clone, Copy, Debug)]
pub struct Room<'a> {
    /// What is known of the engines.
    pub engines: &'a Engines,
    /// The memory of each engine, in tokens.
    pub capacity_tokens: u64,
    /// An engine that is left to a call which waits for more memory.
    pub spared: Option<u64>,
    /// The time now.
    pub now: Time,
}

impl Engines {
    /// Observes the reports of the other daemons.
    pub fn observe(&mut self, peers: &Totals, fleet: Fleet, now: Time) {
        self.fleet = fleet;
        let age = match self.observed_at {
            Some(at) if now.since(at) < OBSERVATION_INTERVAL => return,
            Some(at) => now.since(at),
            None => MAX_REPORT_AGE,
        };
        let is_first = self.observed_at.is_none();
        self.observed_at = Some(now);
        let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        for rise in self.rises.values_mut() {
            rise.risen *= factor;
        }
        self.rises.retain(|engine, it| it.risen >= 1.0 || peers.contains_key(engine));
        for (engine, load) in peers {
            let rise = self.rises.entry(*engine).or_default();
            if !is_first {
                rise.risen += load.memory.saturating_sub(rise.memory) as f64;
            }
            rise.memory = load.memory;
        }
        for (engine, rise) in &mut self.rises {
            if !peers.contains_key(engine) {
                rise.memory = 0;
            }
        }
        self.rejected.retain(|_, (_, until)| now < *until);
    }

    /// Records that an engine rejected a prompt of this size. Smaller ones may still fit.
    pub fn reject(&mut self, engine: u64, tokens: u64, now: Time) {
        let until = now + REJECTION_PAUSE;
        let rejected = self.rejected.entry(engine).or_insert((tokens, until));
        *rejected = (rejected.0.min(tokens), until);
    }

    /// Tokens that other daemons may have added to an engine since their reports.
    pub fn unreported(&self, engine: u64) -> f64 {
        let per_s = self.rises.get(&engine).map_or(0.0, |it| it.risen) / DECAY_TIME.as_secs_f64();
        per_s * MAX_REPORT_AGE.as_secs_f64() * SAFETY_FACTOR
    }

    /// Whether the daemon may use an engine although it hears of no others. It assumes that each of
    /// them uses an even share of `limit`, which is a part of the engines where the share of one
    /// engine holds no call of this size.
    fn is_in_share(&self, engine: u64, own: u64, tokens: u64, limit: u64) -> bool {
        let Fleet { own: daemon, daemons, is_heard } = self.fleet;
        if is_heard || daemons <= 1 {
            return true;
        }
        let share = limit / daemons as u64;
        if tokens <= share {
            return own + tokens <= share;
        }
        let groups = (tokens / share.max(1)).clamp(1, daemons as u64);
        own == 0 && mix(daemon ^ engine).is_multiple_of(groups)
    }
}

impl Room<'_> {
    /// Whether an engine has room for a call of this size, besides the limit on running calls.
    /// `others` is the reported memory of other daemons' calls there.
    pub fn fits(&self, endpoint: &Endpoint, others: u64, tokens: u64, limit: u64) -> bool {
        let (engine, own) = (endpoint.hash, endpoint.health.reserved_tokens());
        if self.spared == Some(engine) {
            return false;
        }
        let rejected = self.engines.rejected.get(&engine);
        if rejected.is_some_and(|(it, until)| tokens >= *it && self.now < *until) {
            return false;
        }
        if !self.engines.is_in_share(engine, own, tokens, limit) {
            return false;
        }
        let taken = others + own;
        let most = (self.capacity_tokens as f64 * MAX_TAKEN_SHARE) as u64;
        let Some(free) = most.checked_sub(taken + tokens) else {
            // An idle engine accepts a call of any size, as no engine would ever take it otherwise.
            return taken == 0;
        };
        self.engines.unreported(engine) * self.draw(engine) <= free as f64 * DRAW_RANGE
    }

    /// A random number from 0 to [`DRAW_RANGE`], drawn by each daemon for each engine and slot.
    fn draw(&self, engine: u64) -> f64 {
        let slot = self.now.0 / SLOT.as_micros() as u64;
        let hash = mix(self.engines.fleet.own ^ mix(engine ^ slot));
        (hash >> 11) as f64
    }
}

/// The hash of a daemon's name in [`Fleet`].
pub fn daemon_hash(name: &str) -> u64 {
    mix(name_hash(name))
}
