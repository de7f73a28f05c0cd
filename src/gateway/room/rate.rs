//! The rate at which calls begin by their urgency.

use std::{collections::BTreeMap, time::Duration};

use crate::kernel::clock::Time;

/// Time constant of the decay. A daemon of a large fleet begins about three calls a second, and
/// bursts last 3 to 7 s.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// The time from the first observed call until the rate is known.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);

/// The smallest share of the total rate that is expected for any class. A class of which nothing began
/// lately may only have had no calls.
const MIN_SHARE: f64 = 0.05;

/// Calls that go first or last together: by priority, then those that can still meet their latency
/// objective.
pub type Class = (u8, bool);

/// Tokens of engine memory that calls took lately.
#[derive(Debug, Default)]
pub struct Rate {
    /// Tokens by class, weighted by age.
    tokens: BTreeMap<Class, f64>,
    decayed_at: Time,
    first_at: Option<Time>,
}

impl Rate {
    /// Records a call that begins.
    pub fn record(&mut self, class: Class, tokens: u64, now: Time) {
        let factor = self.factor(now);
        for sum in self.tokens.values_mut() {
            *sum *= factor;
        }
        self.decayed_at = now;
        *self.tokens.entry(class).or_default() += tokens as f64;
        self.first_at.get_or_insert(now);
    }

    /// Tokens a second of the calls of this class and those after it. The classes before it go first,
    /// so what they take is not available to it. `None` if too little was observed.
    pub fn per_s(&self, class: Class, now: Time) -> Option<f64> {
        let observed = now.since(self.first_at?);
        let total: f64 = self.tokens.values().sum();
        if observed < MIN_OBSERVATION || total <= 0.0 {
            return None;
        }
        let available: f64 = self.tokens.range(class..).map(|(_, it)| it).sum();
        let sum = available.max(total * MIN_SHARE);
        // The sum of an even rate observed since `first_at` is still short of its final value.
        let weight = 1.0 - (-observed.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        Some(sum * self.factor(now) / (DECAY_TIME.as_secs_f64() * weight))
    }

    /// When calls of this class that need `tokens` will have begun; `None` if not known.
    pub fn wait(&self, class: Class, tokens: u64, now: Time) -> Option<Duration> {
        let seconds = tokens as f64 / self.per_s(class, now)?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    fn factor(&self, now: Time) -> f64 {
        let age = now.since(self.decayed_at);
        (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
