//! Load and health of one upstream process, as observed by this daemon through its own calls.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::limit::{Limit, Statement},
    kernel::clock::Time,
};

/// Consecutive failures after which an upstream is ejected for a while.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection after failures; doubled for each further failure, up to
/// [`MAX_EJECTION`].
const MIN_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection, so that a recovered upstream is used again within a few seconds.
const MAX_EJECTION: Duration = Duration::from_millis(4_000);

/// An upstream with calls in flight that sends nothing for this long is inactive, and is probed.
/// While calls wait there, an engine emits the first event of one of them every 50 to 200 ms.
pub const INACTIVITY_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum interval between probes of an upstream by all daemons that exchange state, and of one
/// that isn't dead by any. A failed probe that doesn't make the upstream dead is repeated without
/// this delay.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// How much later than it was found dead another sign of life shows that only this daemon's path to
/// an upstream is lost. The last bytes of an upstream that has crashed arrive within this time.
const PATH_LOSS_MARGIN: Duration = Duration::from_millis(250);

/// Number of daemons that together probe a dead upstream once in [`PROBE_INTERVAL`].
const DAEMONS_PER_PROBE: u32 = 4;

/// Consecutive failed probes after which an upstream is considered dead; a single one may be due
/// to packet loss.
const FAILED_PROBES_UNTIL_DEAD: u32 = 2;

/// Time constant of the exponential decay of call outcomes: long enough for each of many daemons to
/// observe a few calls, short enough for a recovered upstream to get calls again soon.
const OUTCOME_DECAY_TIME: Duration = Duration::from_secs(5);

/// The number of calls after which the mean duration of calls weighs each further one alike, so that
/// older ones are forgotten.
const CALL_TIME_CALLS: u32 = 10;

/// Successes added to the observed calls, so that a single failure has little effect on the
/// failure rate.
const ASSUMED_SUCCESSES: f32 = 3.0;

/// Load and health of one upstream process.
#[derive(Debug, Default)]
pub struct Health {
    /// Calls from this daemon in progress.
    calls_in_flight: AtomicU32,
    /// Prompt tokens that this daemon's calls are expected to prefill, without those expected from
    /// a cache. Those of a call are subtracted at its first event or its end.
    pending_prompt_tokens: AtomicU64,
    /// Engine memory that this daemon's calls in flight may need, in tokens: for each call, its
    /// whole prompt and its maximum output.
    reserved_tokens: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    consecutive_failures: u32,
    ejected_until: Option<Time>,
    /// Whether it announced that it leaves, which holds for the rest of its process.
    leaving: bool,
    limit: Limit,
    /// Rejections a second that it says it withstands, as the rate.
    brittleness: Limit,
    /// Mean duration of the calls that it completed, and their number up to [`CALL_TIME_CALLS`].
    call_time: (Duration, u32),
    /// Until when this daemon may not ask for a permit again, which a limit requires.
    no_permit_until: Option<Time>,
    /// End of the pauses that it asked for. Unlike an ejection, only time ends them.
    paused_until: Option<Time>,
    /// When it last sent something, or received a call while it had none in flight.
    last_activity: Time,
    last_probe: Time,
    /// Consecutive failed probes; a refused call connection or a report from another daemon raises
    /// it too. Above 0, the upstream is suspected to be dead.
    failed_probes: u32,
    dead: bool,
    /// When this daemon found it dead, though it was not before.
    died_at: Option<Time>,
    /// Whether it is dead for this daemon only, as far as is known.
    is_path_lost: bool,
    /// When a probe of this daemon last opened a connection.
    connected_at: Option<Time>,
    /// When any daemon last found it dead, and alive.
    sighting: Sighting,
    /// Cancelled when the upstream is found dead.
    cancel_on_death: CancellationToken,
    outcomes: Outcomes,
    /// The time up to which `outcomes` is decayed.
    outcomes_at: Time,
}

/// Finished calls and how many of them failed, weighted by age.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Outcomes {
    /// All finished calls.
    pub calls: f32,
    /// Failed calls.
    pub failures: f32,
}

/// When an upstream was last found dead, and alive.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Sighting {
    /// When it was last found dead.
    pub dead_at: Option<Time>,
    /// When it last sent something or accepted a connection.
    pub alive_at: Option<Time>,
}

impl Sighting {
    /// The later times of both.
    pub fn merge(self, other: Sighting) -> Sighting {
        Sighting {
            dead_at: self.dead_at.max(other.dead_at),
            alive_at: self.alive_at.max(other.alive_at),
        }
    }
}

impl Outcomes {
    /// The fraction of failed calls, from 0 to 1, with `ASSUMED_SUCCESSES` added to the calls.
    pub fn failure_rate(&self) -> f32 {
        self.failures / (self.calls + ASSUMED_SUCCESSES)
    }

    /// The sum of both.
    pub fn combined_with(&self, other: &Outcomes) -> Outcomes {
        Outcomes { calls: self.calls + other.calls, failures: self.failures + other.failures }
    }

    fn decayed(&self, age: Duration) -> Outcomes {
        let factor = (-age.as_secs_f32() / OUTCOME_DECAY_TIME.as_secs_f32()).exp();
        Outcomes { calls: self.calls * factor, failures: self.failures * factor }
    }
}

impl Health {
    /// Calls from this daemon in progress.
    pub fn calls_in_flight(&self) -> u32 {
        self.calls_in_flight.load(Ordering::Relaxed)
    }

    /// Prompt tokens that this daemon's calls are still expected to prefill.
    pub fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens.load(Ordering::Relaxed)
    }

    /// Engine memory reserved for this daemon's calls, in tokens.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens.load(Ordering::Relaxed)
    }

    /// Records that a call is sent for which `memory` tokens of engine memory are reserved;
    /// `tokens` of its prompt are expected to need prefill. The returned token is cancelled if the
    /// upstream is found dead.
    pub fn start_call(&self, tokens: u64, memory: u64, now: Time) -> CancellationToken {
        let mut state = self.state();
        if self.calls_in_flight.fetch_add(1, Ordering::Relaxed) == 0 {
            state.last_activity = now;
        }
        self.pending_prompt_tokens.fetch_add(tokens, Ordering::Relaxed);
        self.reserved_tokens.fetch_add(memory, Ordering::Relaxed);
        state.cancel_on_death.clone()
    }

    /// Records that the prompt of a call was prefilled, or that the call ended before.
    pub fn finish_prompt(&self, tokens: u64) {
        self.pending_prompt_tokens.fetch_sub(tokens, Ordering::Relaxed);
    }

    /// Records the end of a call for which `memory` tokens of engine memory were reserved.
    pub fn end_call(&self, memory: u64) {
        self.calls_in_flight.fetch_sub(1, Ordering::Relaxed);
        self.reserved_tokens.fetch_sub(memory, Ordering::Relaxed);
    }

    /// Records that the upstream sent something.
    pub fn record_activity(&self, now: Time) {
        let mut state = self.state();
        state.last_activity = now;
        state.sighting.alive_at = Some(now);
        state.failed_probes = 0;
    }

    /// Records a successful call, which ends an ejection.
    pub fn record_success(&self, now: Time) {
        let mut state = self.state();
        state.record_outcome(false, now);
        state.consecutive_failures = 0;
        state.ejected_until = None;
    }

    /// Records a failed call; returns whether the upstream is ejected as a result.
    pub fn record_failure(&self, now: Time) -> bool {
        let mut state = self.state();
        state.record_outcome(true, now);
        state.consecutive_failures = state.consecutive_failures.saturating_add(1);
        if state.consecutive_failures < EJECTION_FAILURES {
            return false;
        }
        let doublings = (state.consecutive_failures - EJECTION_FAILURES).min(8);
        let ejection = (MIN_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        state.ejected_until = Some(now + ejection);
        true
    }

    /// Outcomes of recent calls; older ones decay exponentially.
    pub fn recent_outcomes(&self, now: Time) -> Outcomes {
        let state = self.state();
        state.outcomes.decayed(now.since(state.outcomes_at))
    }

    /// Ejects the upstream for `duration` without counting a failure, after it rejected a call
    /// unexecuted. A longer ejection stays in force.
    pub fn eject_for(&self, duration: Duration, now: Time) {
        let mut state = self.state();
        let until = now + duration;
        if state.ejected_until.is_none_or(|it| it < until) {
            state.ejected_until = Some(until);
        }
    }

    /// Records that the upstream announced that it leaves; returns whether that is new.
    pub fn record_leaving(&self) -> bool {
        !std::mem::replace(&mut self.state().leaving, true)
    }

    /// Whether the upstream announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.state().leaving
    }

    /// Records that the upstream asked for no calls for `duration`; returns whether a pause starts.
    /// A later end that it asked for before stays in force.
    pub fn record_pause(&self, duration: Duration, now: Time) -> bool {
        let mut state = self.state();
        let was_paused = state.paused_until.is_some_and(|it| now < it);
        state.paused_until = state.paused_until.max(Some(now + duration));
        !was_paused && !duration.is_zero()
    }

    /// When the pause ends that the upstream asked for, if it is paused.
    pub fn paused_until(&self, now: Time) -> Option<Time> {
        self.state().paused_until.filter(|it| now < *it)
    }

    /// Records what an answer says of a limit; see [`Limit::update`].
    pub fn record_limit(&self, statement: Statement, sent_at: Time, now: Time) -> bool {
        let mut state = self.state();
        let before = state.limit.rate;
        let changes = state.limit.update(statement, sent_at, now);
        state.reconsider_permits(before);
        changes
    }

    /// Takes what another daemon knows of the limit; see [`Limit::merge`].
    pub fn learn_limit(&self, limit: Limit) -> bool {
        let mut state = self.state();
        let before = state.limit.rate;
        let changes = state.limit.merge(limit);
        state.reconsider_permits(before);
        changes
    }

    /// Limits the requests to the upstream to this rate, which it has not named itself.
    pub fn set_pace(&self, rate: f64, now: Time) {
        self.learn_limit(Limit { rate: Some(rate), heard_at: now });
    }

    /// Records how many rejections a second an answer says that the upstream withstands; see
    /// [`Limit::update`].
    pub fn record_brittleness(&self, statement: Statement, sent_at: Time, now: Time) -> bool {
        self.state().brittleness.update(statement, sent_at, now)
    }

    /// Rejections a second from all daemons that the upstream withstands, if it is brittle.
    pub fn brittleness(&self) -> Option<f64> {
        self.state().brittleness.rate
    }

    /// Records the duration of a completed call.
    pub fn record_call_time(&self, duration: Duration) {
        let mut state = self.state();
        let (mean, calls) = state.call_time;
        let calls = (calls + 1).min(CALL_TIME_CALLS);
        state.call_time = ((mean * (calls - 1) + duration) / calls, calls);
    }

    /// Mean duration of the calls of this daemon that the upstream completed, and the number of calls
    /// by which the mean is weighed.
    pub fn call_time(&self) -> (Duration, u32) {
        self.state().call_time
    }

    /// Keeps calls away until a permit may be asked for again.
    pub fn await_permit(&self, until: Time) {
        let mut state = self.state();
        state.no_permit_until = state.no_permit_until.max(Some(until));
    }

    /// When a permit may be asked for again, if one was denied.
    pub fn permit_denied_until(&self, now: Time) -> Option<Time> {
        self.state().no_permit_until.filter(|it| now < *it)
    }

    /// The limit that the upstream last named.
    pub fn limit(&self) -> Limit {
        self.state().limit
    }

    /// Marks the upstream as dead because it refuses connections: its process has ended. It gets no
    /// calls until a connection succeeds.
    pub fn mark_dead(&self, now: Time) {
        self.state().mark_dead(now);
    }

    /// Records what other daemons found.
    ///
    /// An upstream that was dead after its last sign of life gets no calls until a connection
    /// succeeds or it sends something. The report counts as one failed probe, so that a single
    /// failed probe by this daemon then makes the upstream dead. A dead one that was alive after
    /// this daemon's last probe is probed at once.
    pub fn record_sighting(&self, found: Sighting, now: Time) {
        let mut state = self.state();
        let known = state.sighting.merge(found);
        state.sighting = known;
        let is_dead = known.dead_at > known.alive_at && known.dead_at > Some(state.last_activity);
        // Recent activity takes precedence over the other daemons' report.
        if is_dead && now.since(state.last_activity) >= INACTIVITY_TIMEOUT {
            state.failed_probes = state.failed_probes.max(1);
        }
        let is_alive = known.alive_at > Some(state.last_probe) && known.alive_at > state.died_at;
        if state.dead && is_alive {
            state.last_probe = Time::default();
        }
    }

    /// When any daemon last found the upstream dead and alive, as far as this daemon knows.
    pub fn sighting(&self) -> Sighting {
        self.state().sighting
    }

    /// Whether a probe is due: the upstream is dead or suspected, or it is inactive with calls in
    /// flight. If so, the caller must probe it and call [`Self::record_probe`].
    ///
    /// `daemons` daemons share the probes of a dead upstream, because each hears of it when another
    /// one finds it alive.
    pub fn start_probe_if_due(&self, daemons: usize, now: Time) -> bool {
        let mut state = self.state();
        let inactive =
            self.calls_in_flight() > 0 && now.since(state.last_activity) >= INACTIVITY_TIMEOUT;
        if !inactive && !state.dead && state.failed_probes == 0 {
            return false;
        }
        let daemons = u32::try_from(daemons).unwrap_or(u32::MAX).max(1);
        let interval = match state.dead && state.last_probe > Time::default() {
            true => PROBE_INTERVAL * daemons.div_ceil(DAEMONS_PER_PROBE),
            false => PROBE_INTERVAL,
        };
        if now.since(state.last_probe) < interval {
            return false;
        }
        state.last_probe = now;
        true
    }

    /// Whether a probe is due while paths to other upstreams are lost: nothing was heard of this one
    /// lately. If so, the caller must probe it and call [`Self::record_probe`].
    pub fn start_path_probe_if_due(&self, now: Time) -> bool {
        let mut state = self.state();
        let is_active = now.since(state.last_activity) < INACTIVITY_TIMEOUT;
        if is_active || now.since(state.last_probe) < PROBE_INTERVAL {
            return false;
        }
        state.last_probe = now;
        true
    }

    /// When this daemon lost its path to the upstream, if it did: it still can't connect, although
    /// another daemon has seen the upstream alive since. An upstream that has crashed may be back at
    /// the same address, but then this daemon can connect, too.
    pub fn path_lost_at(&self) -> Option<Time> {
        let state = self.state();
        state.died_at.filter(|_| state.is_path_lost)
    }

    /// When a probe of this daemon last opened a connection.
    pub fn connected_at(&self) -> Option<Time> {
        self.state().connected_at
    }

    /// When the upstream last sent something, or received a call while it had none in flight.
    pub fn last_activity(&self) -> Time {
        self.state().last_activity
    }

    /// Records the result of a probe; returns whether the upstream changed from alive to dead or
    /// back.
    pub fn record_probe(&self, connected: bool, now: Time) -> bool {
        let mut state = self.state();
        let was_dead = state.dead;
        if connected {
            state.last_activity = now;
            state.connected_at = Some(now);
            state.failed_probes = 0;
            state.sighting.alive_at = Some(now);
            if state.dead {
                state.dead = false;
                state.is_path_lost = false;
                state.cancel_on_death = CancellationToken::new();
            }
        } else {
            state.failed_probes += 1;
            if state.failed_probes >= FAILED_PROBES_UNTIL_DEAD {
                state.mark_dead(now);
            } else {
                // Makes the next probe due at once.
                state.last_probe = Time::default();
            }
        }
        state.dead != was_dead
    }

    /// Whether the upstream was found dead.
    pub fn is_dead(&self) -> bool {
        self.state().dead
    }

    /// Whether the upstream gets no calls at present: it is dead, suspected or ejected, or it
    /// announced that it leaves or asked for a pause.
    pub fn is_unavailable(&self, now: Time) -> bool {
        let state = self.state();
        let suspected = state.dead || state.failed_probes > 0;
        let until = state.ejected_until.max(state.paused_until);
        suspected || state.leaving || until.is_some_and(|it| now < it)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl State {
    fn record_outcome(&mut self, failed: bool, now: Time) {
        let failures = if failed { 1.0 } else { 0.0 };
        let previous = self.outcomes.decayed(now.since(self.outcomes_at));
        self.outcomes = previous.combined_with(&Outcomes { calls: 1.0, failures });
        self.outcomes_at = now;
    }

    /// Lets this daemon ask for a permit at once if the limit is higher than before or has ended.
    fn reconsider_permits(&mut self, before: Option<f64>) {
        let is_raised = match (before, self.limit.rate) {
            (Some(before), Some(rate)) => rate > before,
            (before, None) => before.is_some(),
            (None, Some(_)) => true,
        };
        if is_raised {
            self.no_permit_until = None;
        }
    }

    fn mark_dead(&mut self, now: Time) {
        let lost_from = self.died_at.map(|it| it + PATH_LOSS_MARGIN);
        if self.dead {
            self.is_path_lost |= lost_from.is_some_and(|it| self.sighting.alive_at > Some(it));
        } else {
            self.died_at = Some(now);
        }
        // A failure over a lost path says nothing of the upstream.
        if !self.is_path_lost {
            self.sighting.dead_at = Some(now);
        }
        self.dead = true;
        // Calls that failed when the process ended say nothing about its successor, which may
        // accept connections at the same address before its registration replaces this one.
        self.outcomes = Outcomes::default();
        self.failed_probes = self.failed_probes.max(FAILED_PROBES_UNTIL_DEAD);
        self.cancel_on_death.cancel();
    }
}
