//! The cost of an engine for a prompt: the estimated time to the first event plus penalties, in milliseconds.

/// The cost of an additional copy of a prefix. It evicts other prefixes, which then have to be read
/// again.
const COPY_COST_MS_PER_TOKEN: f64 = 0.05;

/// The cost of fetching a prefix from another engine.
const ENGINE_FETCH_COST_MS: f64 = 4.0;

/// The cost of fetching a prefix from the KV store, whose network link all engines share.
const STORE_FETCH_COST_MS: f64 = 25.0;

/// The cost of sending a prompt to another availability zone.
const CROSS_ZONE_COST_MS: f64 = 2.0;

/// The cost of each running request, which slows down the others.
const RUNNING_CALL_COST_MS: f64 = 0.6;

/// The cost of an engine that fails all its calls. It exceeds the latency objective of an answer
/// and the cost of another copy of the longest prefixes.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Where an engine fetches the shared parts that it lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transfer {
    /// It fetches nothing.
    None,
    /// From another engine.
    Engine,
    /// From a KV store.
    Store,
}

/// The share of the time for which a slower engine takes longer for the output tokens that counts as
/// cost. The objective is for the first event, but a longer run occupies memory for longer.
const DECODING_SHARE: f64 = 0.25;

/// What the cost of an engine depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inputs {
    /// Prompt tokens that the engine prefills in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// How much longer it takes for the output tokens than the average engine, in milliseconds.
    pub additional_decoding_ms: f64,
    /// Prompt tokens of other calls that are still to be prefilled there.
    pub queued_tokens: u64,
    /// Prompt tokens of this call that the engine must prefill.
    pub unread_tokens: u64,
    /// Tokens of the prompt's shared parts.
    pub shared_tokens: u64,
    /// Calls in progress there.
    pub running_calls: u32,
    /// Whether the engine would keep an additional copy of the shared parts.
    pub is_copy: bool,
    /// Where it fetches the shared parts that it lacks.
    pub transfer: Transfer,
    /// Whether it is in another availability zone than this daemon.
    pub is_remote: bool,
    /// The cost of serving superseded weights, in milliseconds.
    pub version_cost_ms: f64,
    /// The share of recent calls that failed there.
    pub failure_rate: f64,
}

/// The cost of an engine, in milliseconds.
pub fn cost(inputs: &Inputs) -> f64 {
    let queued_tokens = inputs.queued_tokens + inputs.unread_tokens;
    let mut cost = queued_tokens as f64 / inputs.prefill_tokens_per_ms;
    cost += inputs.additional_decoding_ms * DECODING_SHARE;
    cost += f64::from(inputs.running_calls) * RUNNING_CALL_COST_MS;
    if inputs.is_copy {
        cost += COPY_COST_MS_PER_TOKEN * inputs.shared_tokens as f64;
    }
    cost += match inputs.transfer {
        Transfer::Engine => ENGINE_FETCH_COST_MS,
        Transfer::Store => STORE_FETCH_COST_MS,
        Transfer::None => 0.0,
    };
    if inputs.is_remote {
        cost += CROSS_ZONE_COST_MS;
    }
    cost += inputs.version_cost_ms;
    cost + inputs.failure_rate * FAILURE_COST_MS
}
