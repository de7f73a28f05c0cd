//! What this daemon knows of one run of an upstream from its own calls.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::kernel::clock::Time;

/// Failures in a row after which an upstream gets no calls for a while.
const EJECT_FAILURES: u32 = 3;

/// The first pause of an upstream that fails; doubled for each further failure up to
/// [`EJECT_LONGEST`].
const EJECT_FIRST: Duration = Duration::from_millis(500);

/// The longest pause, so that one that has recovered is found within a few seconds.
const EJECT_LONGEST: Duration = Duration::from_millis(4_000);

/// An upstream that gives no sign for this long, though calls wait there, is suspected: engines
/// give the first event of a call every 50 to 200 ms.
pub const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(400);

/// The time between looks at an upstream that is suspected or dead.
const PROBE_EVERY: Duration = Duration::from_millis(400);

/// Lost probes in a row after which an upstream counts as dead; one may fall to a lost packet.
const DEAD_PROBES: u32 = 2;

/// The time over which outcomes fade: long enough for a daemon of many to see a few of them, short
/// enough that an upstream that has recovered gets calls again soon.
const OUTCOMES_FADE: Duration = Duration::from_secs(5);

/// Sound answers that an upstream is credited with in advance, so that one failure alone tells
/// little.
const OUTCOMES_ASSUMED: f32 = 3.0;

/// The state of one run of an upstream.
#[derive(Debug, Default)]
pub struct EndpointHealth {
    /// Own calls there.
    calls: AtomicU32,
    /// Prompt tokens of own calls that have no first event yet.
    tokens: AtomicU64,
    /// Tokens that own calls take of its memory.
    memory: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    failures: u32,
    ejected_until: Option<Time>,
    /// When it last gave a sign, or got a call while it had none.
    heard: Time,
    probed: Time,
    lost_probes: u32,
    dead: bool,
    /// Cancelled when it is found dead.
    death: CancellationToken,
    outcomes: Outcomes,
    /// The time that the outcomes are of.
    counted: Time,
}

/// Calls that ended, and those among them that failed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Outcomes {
    /// All calls.
    pub calls: f32,
    /// Those that failed.
    pub failures: f32,
}

impl Outcomes {
    /// The share of failures, from 0 to 1.
    pub fn failure_rate(&self) -> f32 {
        self.failures / (self.calls + OUTCOMES_ASSUMED)
    }

    /// These and others.
    pub fn combined_with(&self, other: &Outcomes) -> Outcomes {
        Outcomes { calls: self.calls + other.calls, failures: self.failures + other.failures }
    }

    fn faded(&self, age: Duration) -> Outcomes {
        let kept = (-age.as_secs_f32() / OUTCOMES_FADE.as_secs_f32()).exp();
        Outcomes { calls: self.calls * kept, failures: self.failures * kept }
    }
}

impl EndpointHealth {
    /// Own calls in progress.
    pub fn calls_in_flight(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Prompt tokens of own calls that are still to be read.
    pub fn pending_prompt_tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Tokens that own calls take of its memory.
    pub fn reserved_tokens(&self) -> u64 {
        self.memory.load(Ordering::Relaxed)
    }

    /// A call is sent that takes `memory` tokens; `tokens` of its prompt are expected to be read.
    /// The token is cancelled if the upstream is found dead.
    pub fn start_call(&self, tokens: u64, memory: u64, now: Time) -> CancellationToken {
        let mut state = self.state();
        if self.calls.fetch_add(1, Ordering::Relaxed) == 0 {
            state.heard = now;
        }
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
        self.memory.fetch_add(memory, Ordering::Relaxed);
        state.death.clone()
    }

    /// The prompt of a call was read, or the call ended before.
    pub fn finish_prompt(&self, tokens: u64) {
        self.tokens.fetch_sub(tokens, Ordering::Relaxed);
    }

    /// A call ended that took `memory` tokens.
    pub fn end_call(&self, memory: u64) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
        self.memory.fetch_sub(memory, Ordering::Relaxed);
    }

    /// The upstream gave a sign of life.
    pub fn record_activity(&self, now: Time) {
        let mut state = self.state();
        state.heard = now;
        state.lost_probes = 0;
    }

    /// The upstream gave a sound answer.
    pub fn record_success(&self, now: Time) {
        let mut state = self.state();
        state.count(false, now);
        state.failures = 0;
        state.ejected_until = None;
    }

    /// The upstream failed; tells whether it gets no calls from now on.
    pub fn record_failure(&self, now: Time) -> bool {
        let mut state = self.state();
        state.count(true, now);
        state.failures = state.failures.saturating_add(1);
        if state.failures < EJECT_FAILURES {
            return false;
        }
        let doublings = (state.failures - EJECT_FAILURES).min(8);
        let pause = (EJECT_FIRST * 2_u32.pow(doublings)).min(EJECT_LONGEST);
        state.ejected_until = Some(now + pause);
        true
    }

    /// How the calls of the last seconds ended; earlier ones fade out.
    pub fn recent_outcomes(&self, now: Time) -> Outcomes {
        let state = self.state();
        state.outcomes.faded(now.since(state.counted))
    }

    /// It takes no calls for `pause`, through no fault of its own.
    pub fn eject_for(&self, pause: Duration, now: Time) {
        let mut state = self.state();
        let until = now + pause;
        if state.ejected_until.is_none_or(|it| it < until) {
            state.ejected_until = Some(until);
        }
    }

    /// No connection opens: its process has ended. It gets no calls until a connection opens.
    pub fn mark_dead(&self) {
        self.state().die();
    }

    /// Another daemon has found it dead; it gets no calls until a connection opens.
    pub fn mark_suspected(&self, now: Time) {
        let mut state = self.state();
        // A sign that came after the other daemon's finding goes before it.
        if now.since(state.heard) >= INACTIVITY_TIMEOUT {
            state.lost_probes = state.lost_probes.max(1);
        }
    }

    /// Whether it should be probed now: it is dead, or calls wait there and it gives no sign.
    pub fn start_probe_if_due(&self, now: Time) -> bool {
        let mut state = self.state();
        let quiet = self.calls_in_flight() > 0 && now.since(state.heard) >= INACTIVITY_TIMEOUT;
        if !quiet && !state.dead && state.lost_probes == 0 {
            return false;
        }
        if now.since(state.probed) < PROBE_EVERY {
            return false;
        }
        state.probed = now;
        true
    }

    /// Takes note of a probe: whether a connection opened. Tells whether it changed from alive to
    /// dead or back.
    pub fn record_probe(&self, opened: bool, now: Time) -> bool {
        let mut state = self.state();
        let dead = state.dead;
        if opened {
            state.heard = now;
            state.lost_probes = 0;
            if state.dead {
                state.dead = false;
                state.death = CancellationToken::new();
            }
        } else {
            state.lost_probes += 1;
            if state.lost_probes >= DEAD_PROBES {
                state.die();
            } else {
                state.probed = Time::default();
            }
        }
        state.dead != dead
    }

    /// Whether it was found dead.
    pub fn is_dead(&self) -> bool {
        self.state().dead
    }

    /// Whether it gets no calls now.
    pub fn is_ejected(&self, now: Time) -> bool {
        let state = self.state();
        let suspected = state.dead || state.lost_probes > 0;
        suspected || state.ejected_until.is_some_and(|it| now < it)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl State {
    fn count(&mut self, failed: bool, now: Time) {
        let failures = if failed { 1.0 } else { 0.0 };
        let kept = self.outcomes.faded(now.since(self.counted));
        self.outcomes = kept.combined_with(&Outcomes { calls: 1.0, failures });
        self.counted = now;
    }

    fn die(&mut self) {
        self.dead = true;
        // Calls that broke as the process ended say nothing of the next one.
        self.outcomes = Outcomes::default();
        self.lost_probes = self.lost_probes.max(DEAD_PROBES);
        self.death.cancel();
    }
}
