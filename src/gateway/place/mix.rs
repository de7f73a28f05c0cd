//! Long prompts beside short ones.
//!
//! Between two output tokens of its running calls, an engine prefills one chunk of a prompt. A long
//! prompt therefore delays the first event of each call that arrives later and the events of those
//! that run. The cost of a call at an engine includes what it does to others there and what others do
//! to it. Where short prompts have the tighter objective, some engines are preferred by calls with
//! short prompts and avoided by those with long ones; which ones follows from the engines' names, from
//! their speed and from the share of the work that short prompts are. All of this applies only to
//! services whose routes differ in latency objective or priority, while prompts of different length
//! are seen.

use std::{sync::Mutex, time::Duration};

use crate::{
    collections::Map,
    gateway::{call::Prompt, pace::Pace},
    kernel::{clock::Time, id::Service},
    route::pool::mix,
};

/// Time constant of the exponential decay of the lengths of prompts that were seen. The mix of a
/// service changes within seconds.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Time constant of the exponential decay of the work of short and long prompts. Long prompts whose
/// engine is preferred by short ones from now on have to be read again elsewhere.
const WORK_DECAY_TIME: Duration = Duration::from_secs(10);

/// Prompts seen, decayed, below which their lengths are unknown.
const MIN_PROMPTS: f64 = 6.0;

/// Standard deviation of the logarithm of the lengths from which they differ. With 5 % of the prompts
/// eleven times as long as the others it is 0.52.
const MIN_DEVIATION: f64 = 0.5;

/// Prompt tokens whose prefill takes as long as one output token among other calls.
const TOKENS_PER_OUTPUT_TOKEN: f64 = 10.0;

/// Engines that short prompts prefer per share of the work. In trials of the booking mix, 0.7 left
/// 1.8 % of the short calls late that were on time with 1.25 at 1.5 times the load, and 2.5 made 3 %
/// more of the long ones late.
const ENGINES_PER_WORK: f64 = 1.25;

/// The largest share of engines that short prompts prefer beyond their share of the work, so that
/// long ones keep enough.
const MAX_ADDITIONAL_SHARE: f64 = 0.03;

/// The cost of an engine that is preferred by the other length of prompts.
const OTHER_ENGINE_COST_MS: f64 = 30.0;

/// Distinguishes the order of engines in which short prompts prefer them from other orders by name.
const ORDER_SALT: u64 = 0x6d69_7865_645f_6c65;

/// Tokens that an engine prefills between two output tokens. The engines of the known deployments
/// prefill 1,024 to 4,096.
const CHUNK_TOKENS: f64 = 1_024.0;

/// Output tokens in one event.
const EVENT_TOKENS: f64 = 5.0;

/// Longest interval between events that is on time; the strictest one of the known deployments.
const MAX_INTERVAL_MS: f64 = 400.0;

/// The share of an objective from which a risk of missing it is assumed. Loads are known from reports
/// that are some hundred milliseconds old.
const SAFE_SHARE: f64 = 0.5;

/// The cost of a call that misses its objective. It exceeds that of another copy of a long prefix.
const MISS_COST_MS: f64 = 400.0;

/// The share of the delay of a running short call, relative to its objective, that counts as missed.
/// Most of these calls are still on time.
const DELAY_SHARE: f64 = 0.2;

/// What placement knows of a call of a service with prompts of different length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// The latency objective, less the time that has passed.
    pub objective: Duration,
    /// Whether its prompt is one of the short ones.
    pub is_short: bool,
    /// The latency objective of the short ones.
    pub short_objective: Duration,
    /// The share of engines that calls with short prompts prefer.
    pub short_engines: f64,
}

impl Call {
    /// Whether calls with short prompts prefer each of these engines, given by the hashes of their names
    /// and their speeds. All daemons prefer the same ones, as far as they see the same mix. Faster
    /// engines come first.
    pub fn engines_for_short(&self, engines: impl Iterator<Item = (u64, Pace)>) -> Vec<bool> {
        let position = |(hash, pace): (u64, Pace)| {
            mix(hash ^ ORDER_SALT) as f64 * pace.slowdown * pace.slowdown
        };
        let mut order: Vec<_> = engines.map(position).enumerate().collect();
        order.sort_unstable_by(|left, right| left.1.total_cmp(&right.1));
        let mut preferred = vec![false; order.len()];
        let count = (self.short_engines * order.len() as f64).round() as usize;
        for (index, _) in order.into_iter().take(count) {
            preferred[index] = true;
        }
        preferred
    }

    /// The rendezvous rank of an engine, which is lower at one that is preferred by the other length
    /// of prompts than at any other.
    pub fn rank(&self, rank: u64, is_engine_for_short: bool) -> u64 {
        match is_engine_for_short == self.is_short {
            true => rank | 1 << 63,
            false => rank >> 1,
        }
    }
}

/// What the cost of a call beside others depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// The call.
    pub call: Call,
    /// The speed of the engine.
    pub pace: Pace,
    /// Prompt tokens that the average engine prefills in a millisecond.
    pub average_tokens_per_ms: f64,
    /// Prompt tokens of other calls that are still to be prefilled there.
    pub queued_tokens: u64,
    /// Prompt tokens of this call that the engine must prefill.
    pub unread_tokens: u64,
    /// Calls with short prompts in progress there.
    pub short_calls: u32,
    /// Whether calls with short prompts prefer the engine.
    pub is_engine_for_short: bool,
}

/// The cost of a call beside others, in milliseconds, in addition to
/// [`cost`](crate::gateway::place::cost::cost).
pub fn cost(inputs: &Inputs) -> f64 {
    let Inputs { call, pace, .. } = *inputs;
    let rate = pace.prefill_tokens_per_ms(inputs.average_tokens_per_ms);
    let first_event_ms = (inputs.queued_tokens + inputs.unread_tokens) as f64 / rate;
    let objective_ms = millis(call.objective);
    let mut cost = risk(first_event_ms, objective_ms) * MISS_COST_MS;
    if call.is_short != inputs.is_engine_for_short {
        cost += OTHER_ENGINE_COST_MS;
    }
    let interval_ms = EVENT_TOKENS * (CHUNK_TOKENS / rate + millis(pace.step()));
    let interval_cost = risk(interval_ms, MAX_INTERVAL_MS) * MISS_COST_MS;
    if call.is_short {
        // The chunks that are queued already come between its first output tokens.
        if inputs.queued_tokens as f64 >= CHUNK_TOKENS {
            cost += interval_cost;
        }
        return cost;
    }
    let unread_ms = inputs.unread_tokens as f64 / rate;
    let delay_cost = unread_ms / millis(call.short_objective).max(1.0) * MISS_COST_MS;
    cost += f64::from(inputs.short_calls) * (delay_cost + interval_cost) * DELAY_SHARE;
    if first_event_ms < objective_ms * SAFE_SHARE && pace.slowdown > 1.0 {
        // It is on time here, too, and leaves a faster engine to calls that need one.
        cost -= unread_ms - inputs.unread_tokens as f64 / inputs.average_tokens_per_ms;
    }
    cost
}

/// The risk that something which is expected to take `expected_ms` takes longer than `limit_ms`, from
/// 0 to 1.
fn risk(expected_ms: f64, limit_ms: f64) -> f64 {
    let safe_ms = limit_ms * SAFE_SHARE;
    ((expected_ms - safe_ms) / (limit_ms - safe_ms).max(1.0)).clamp(0.0, 1.0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Lengths of the prompts of one service, weighted by age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lengths {
    prompts: f64,
    /// Sums of the logarithms of the lengths and of their squares.
    sum: f64,
    squares: f64,
    short: Kind,
    long: Kind,
    at: Time,
}

/// The prompts of one length.
#[derive(Clone, Copy, Debug, Default)]
struct Kind {
    /// Their work in prompt tokens, weighted by age.
    work: f64,
    /// The latency objective of the last one.
    objective: Duration,
}

impl Lengths {
    /// Records a prompt and its latency objective.
    pub fn record(&mut self, prompt: &Prompt, objective: Duration, now: Time) {
        let age = now.since(self.at).as_secs_f64();
        let factor = (-age / DECAY_TIME.as_secs_f64()).exp();
        let logarithm = (prompt.tokens.max(1) as f64).ln();
        self.prompts = self.prompts * factor + 1.0;
        self.sum = self.sum * factor + logarithm;
        self.squares = self.squares * factor + logarithm * logarithm;
        self.at = now;
        let factor = (-age / WORK_DECAY_TIME.as_secs_f64()).exp();
        self.short.work *= factor;
        self.long.work *= factor;
        let Some(is_short) = self.is_short(prompt) else {
            return;
        };
        let kind = if is_short { &mut self.short } else { &mut self.long };
        kind.work += prompt.tokens as f64 + TOKENS_PER_OUTPUT_TOKEN * prompt.max_output as f64;
        kind.objective = objective;
    }

    /// The call with this prompt among others, of which `objective` is left; `None` if prompts are
    /// alike.
    pub fn call(&self, prompt: &Prompt, objective: Duration) -> Option<Call> {
        let is_short = self.is_short(prompt)?;
        Some(Call {
            objective,
            is_short,
            short_objective: self.short.objective,
            short_engines: self.short_engines(),
        })
    }

    /// The share of engines that calls with short prompts prefer: none if long prompts have an
    /// objective that is as tight, which queues of long ones hardly endanger.
    fn short_engines(&self) -> f64 {
        let work = self.short.work + self.long.work;
        if self.short.objective >= self.long.objective || work <= 0.0 {
            return 0.0;
        }
        let share = self.short.work / work;
        (share * ENGINES_PER_WORK).min(share + MAX_ADDITIONAL_SHARE)
    }

    /// Whether a prompt is one of the short ones; `None` if prompts are alike.
    fn is_short(&self, prompt: &Prompt) -> Option<bool> {
        if self.prompts < MIN_PROMPTS {
            return None;
        }
        let mean = self.sum / self.prompts;
        let variance = self.squares / self.prompts - mean * mean;
        let differ = variance >= MIN_DEVIATION * MIN_DEVIATION;
        differ.then_some((prompt.tokens.max(1) as f64).ln() < mean)
    }
}

/// Lengths of the prompts that this daemon has seen, by service.
#[derive(Debug, Default)]
pub struct Seen {
    services: Mutex<Map<Service, Lengths>>,
}

impl Seen {
    /// Records a prompt of a service whose routes have different objectives.
    pub fn record(&self, service: &Service, prompt: &Prompt, objective: Duration, now: Time) {
        let mut services = self.services.lock().unwrap_or_else(|it| it.into_inner());
        services.entry(service.clone()).or_default().record(prompt, objective, now);
    }

    /// See [`Lengths::call`].
    pub fn call(&self, service: &Service, prompt: &Prompt, objective: Duration) -> Option<Call> {
        let services = self.services.lock().unwrap_or_else(|it| it.into_inner());
        services.get(service)?.call(prompt, objective)
    }
}
