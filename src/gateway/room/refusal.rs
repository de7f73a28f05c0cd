//! Callers that were told to return.

use std::collections::VecDeque;

use crate::{collections::Map, kernel::clock::Time, request::suspect::Fingerprint};

/// Refused calls that are remembered, to bound the memory that they take.
const MAX_REFUSED: usize = 2_048;

/// Refused calls whose callers may return to this daemon.
#[derive(Debug, Default)]
pub struct Refused {
    until: Map<Fingerprint, Time>,
    order: VecDeque<Fingerprint>,
}

impl Refused {
    /// Records a refused call that may be repeated until its deadline.
    pub fn record(&mut self, call: Fingerprint, deadline: Time) {
        if self.until.insert(call, deadline).is_none() {
            self.order.push_back(call);
        }
        if self.order.len() > MAX_REFUSED
            && let Some(oldest) = self.order.pop_front()
        {
            self.until.remove(&oldest);
        }
    }

    /// Whether a call repeats a refused one, which is forgotten then.
    pub fn take(&mut self, call: Fingerprint, now: Time) -> bool {
        let Some(until) = self.until.remove(&call) else {
            return false;
        };
        self.order.retain(|it| *it != call);
        now < until
    }
}
