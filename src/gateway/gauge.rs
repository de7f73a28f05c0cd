//! What this daemon knows of one run of an upstream from its own calls.

use std::{
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use crate::{gateway::dialect::Load, kernel::clock::Time};

/// Failures in a row after which an upstream gets no calls for a while.
const EJECT_FAILURES: u32 = 3;

/// The first pause of an upstream that fails; doubled for each further failure up to
/// [`EJECT_LONGEST`].
const EJECT_FIRST: Duration = Duration::from_millis(500);

/// The longest pause, so that one that has recovered is found within a few seconds.
const EJECT_LONGEST: Duration = Duration::from_millis(4_000);

/// A reported load counts for this long; it changes with each request.
const LOAD_KEPT: Duration = Duration::from_millis(500);

/// The state of one run of an upstream.
#[derive(Debug, Default)]
pub struct Gauge {
    /// Own calls there.
    calls: AtomicU32,
    /// Prompt tokens of own calls that have no first event yet.
    tokens: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    load: Load,
    reported: Option<Time>,
    failures: u32,
    ejected_until: Option<Time>,
}

impl Gauge {
    /// Own calls in progress.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Prompt tokens of own calls that are still to be read.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Requests that run and wait: the last report if it is young, own calls at least.
    pub fn load(&self, now: Time) -> Load {
        let state = self.state();
        let own = self.calls();
        let young = state.reported.is_some_and(|it| now.since(it) < LOAD_KEPT);
        if !young {
            return Load { running: own, waiting: 0, slots: state.load.slots };
        }
        Load { running: state.load.running.max(own), ..state.load }
    }

    /// Takes note of a reported load.
    pub fn report(&self, load: Load, now: Time) {
        let mut state = self.state();
        state.load = load;
        state.reported = Some(now);
    }

    /// A call is sent; `tokens` of its prompt are expected to be read.
    pub fn start(&self, tokens: u64) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// The prompt of a call was read, or the call ended before.
    pub fn read(&self, tokens: u64) {
        self.tokens.fetch_sub(tokens, Ordering::Relaxed);
    }

    /// A call ended.
    pub fn end(&self) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// The upstream gave a sound answer.
    pub fn succeed(&self) {
        let mut state = self.state();
        state.failures = 0;
        state.ejected_until = None;
    }

    /// The upstream failed; tells whether it gets no calls from now on.
    pub fn fail(&self, now: Time) -> bool {
        let mut state = self.state();
        state.failures = state.failures.saturating_add(1);
        if state.failures < EJECT_FAILURES {
            return false;
        }
        let doublings = (state.failures - EJECT_FAILURES).min(8);
        let pause = (EJECT_FIRST * 2_u32.pow(doublings)).min(EJECT_LONGEST);
        state.ejected_until = Some(now + pause);
        true
    }

    /// No connection opens: its process has ended, or can't be reached.
    pub fn unreachable(&self, now: Time) {
        let mut state = self.state();
        state.failures = state.failures.max(EJECT_FAILURES - 1);
        drop(state);
        self.fail(now);
    }

    /// It takes no calls for `pause`, through no fault of its own.
    pub fn pause(&self, pause: Duration, now: Time) {
        let mut state = self.state();
        let until = now + pause;
        if state.ejected_until.is_none_or(|it| it < until) {
            state.ejected_until = Some(until);
        }
    }

    /// Whether it gets no calls now.
    pub fn is_ejected(&self, now: Time) -> bool {
        self.state().ejected_until.is_some_and(|it| now < it)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }
}
