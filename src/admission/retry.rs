//! Retry budgets, so that retries never multiply an outage.

use std::hash::Hash;

use crate::collections::Map;

/// Retries allowed for each first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Retries that are saved up at most.
const RETRIES_MAX: f64 = 10.0;

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
