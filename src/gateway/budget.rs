//! How often a call may be sent again, so that repeats never multiply an outage.
//!
//! In any window, a service may get a number of repeats that grows with the calls for it, and some
//! more. All daemons together keep the limit: each uses its part of the fixed share.

use std::{collections::VecDeque, time::Duration};

use crate::{
    collections::Map,
    kernel::{clock::Time, id::Service},
};

/// Slices of a window; repeats are counted by slice.
const SLICES: u64 = 10;

/// The part of the allowed repeats that is used, since callers' own repeats and refusals that
/// cross a change of state count as well.
const USED: f64 = 0.6;

/// The limits on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each call.
    pub ratio: f64,
    /// Repeats allowed beside these, over all daemons.
    pub extra: f64,
    /// The time over which they are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    calls: u32,
    repeats: u32,
}

/// Counts calls and repeats by service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    services: Map<Service, VecDeque<Slice>>,
}

impl RetryBudget {
    /// An empty count.
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget { limits, services: Map::default() }
    }

    /// Takes note of a call's first sending.
    pub fn call(&mut self, service: &Service, now: Time) {
        self.slice(service, now).calls += 1;
    }

    /// Whether a call may be sent again by one of `daemons`; counts the repeat if so.
    pub fn repeat(&mut self, service: &Service, daemons: usize, now: Time) -> bool {
        let extra = self.limits.extra / daemons.max(1) as f64;
        let ratio = self.limits.ratio;
        self.slice(service, now);
        let slices = &self.services[service];
        let calls: u32 = slices.iter().map(|it| it.calls).sum();
        let repeats: u32 = slices.iter().map(|it| it.repeats).sum();
        let allowed = (f64::from(calls) * ratio + extra) * USED;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.slice(service, now).repeats += 1;
        true
    }

    fn slice(&mut self, service: &Service, now: Time) -> &mut Slice {
        let width = (self.limits.window.as_micros() as u64 / SLICES).max(1);
        let number = now.0 / width;
        let slices = self.services.entry(service.clone()).or_default();
        while slices.front().is_some_and(|it| it.number + SLICES < number) {
            slices.pop_front();
        }
        if slices.back().is_none_or(|it| it.number < number) {
            slices.push_back(Slice { number, ..Slice::default() });
        }
        let last = slices.len() - 1;
        &mut slices[last]
    }
}
