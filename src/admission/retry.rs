//! Retry budgets, so that retries never multiply an outage, and the time after which refused callers
//! return.

use std::{hash::Hash, time::Duration};

use crate::collections::Map;

/// Retries allowed for each first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Retries that are saved up at most.
const RETRIES_MAX: f64 = 10.0;

/// Callers honour a time to return of at most this share of the time that they have left.
const USEFUL_SHARE: f64 = 1.0 / 3.0;

/// The share of the longest useful time over which callers are spread at least. A wait that is
/// expected to be short must not make them return at the same time, and with a smaller share those of
/// a long wait do.
const MIN_SPREAD_SHARE: f64 = 0.35;

/// The time after which a refused caller that has `left` until its deadline should return, when
/// capacity is expected after `wait`. `random` from 0 to 1 spreads callers that are refused together:
/// over as long as the wait, and over the last part of the useful time if capacity comes later, since
/// callers that return sooner are only refused again.
pub fn retry_after(wait: Duration, left: Duration, random: f64) -> Duration {
    let latest = left.mul_f64(USEFUL_SHARE);
    let min_spread = latest.mul_f64(MIN_SPREAD_SHARE);
    let first = wait.min(latest - min_spread);
    let last = wait.saturating_mul(2).max(first + min_spread).min(latest);
    first + last.saturating_sub(first).mul_f64(random)
}

/// A budget of retries that first attempts earn.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    retries: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { retries: RETRIES_MAX }
    }
}

impl Budget {
    /// Takes note of a first attempt.
    pub fn attempt(&mut self) {
        self.retries = (self.retries + RETRIES_PER_ATTEMPT).min(RETRIES_MAX);
    }

    /// Takes a retry out of the budget, or tells that there is none.
    pub fn retry(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }

    /// Whether it has saved up as much as it can: it may be forgotten.
    fn is_full(&self) -> bool {
        self.retries >= RETRIES_MAX
    }
}

/// Budgets by key, such as a workspace or an upstream.
#[derive(Clone, Debug)]
pub struct Budgets<K> {
    budgets: Map<K, Budget>,
}

impl<K> Default for Budgets<K> {
    fn default() -> Budgets<K> {
        Budgets { budgets: Map::default() }
    }
}

impl<K: Clone + Eq + Hash> Budgets<K> {
    /// Takes note of a first attempt. A full budget takes no memory.
    pub fn attempt(&mut self, key: &K) {
        let Some(budget) = self.budgets.get_mut(key) else {
            return;
        };
        budget.attempt();
        if budget.is_full() {
            self.budgets.remove(key);
        }
    }

    /// Takes a retry out of a budget, or tells that there is none.
    pub fn retry(&mut self, key: &K) -> bool {
        self.budgets.entry(key.clone()).or_default().retry()
    }
}
