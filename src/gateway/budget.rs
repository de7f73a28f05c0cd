//! Limits retries so that they cannot amplify an outage.
//!
//! In any window, a service may receive a number of retries proportional to its calls, plus a fixed
//! extra. The limit applies to the whole fleet: each daemon uses its fraction of the fixed extra.

use std::{collections::VecDeque, time::Duration};

use crate::{
    collections::Map,
    kernel::{clock::Time, id::Service},
};

/// The number of slices in a window. Calls and retries are counted per slice; the sums cover this
/// many past slices and the current one, so at least a whole window.
const SLICES: u64 = 10;

/// The share of the allowed retries that daemons use. Retries by callers, and rejections that race
/// with a state change, count towards the same limit.
const USED_SHARE: f64 = 0.6;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The number of retries allowed per call.
    pub ratio: f64,
    /// The number of additional retries allowed across all daemons.
    pub extra: f64,
    /// The length of the window over which calls and retries are counted.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    calls: u32,
    retries: u32,
}

/// Counts calls and retries per service.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    services: Map<Service, VecDeque<Slice>>,
}

impl Budget {
    /// Creates a budget without any calls.
    pub fn new(limits: Limits) -> Budget {
        Budget { limits, services: Map::default() }
    }

    /// Counts the first attempt of a call.
    pub fn record_call(&mut self, service: &Service, now: Time) {
        self.slice(service, now).calls += 1;
    }

    /// Returns whether one of `daemons` daemons may send a retry, and counts the retry if so.
    pub fn try_retry(&mut self, service: &Service, daemons: usize, now: Time) -> bool {
        let extra = self.limits.extra / daemons.max(1) as f64;
        let ratio = self.limits.ratio;
        self.slice(service, now);
        let slices = &self.services[service];
        let calls: u32 = slices.iter().map(|it| it.calls).sum();
        let retries: u32 = slices.iter().map(|it| it.retries).sum();
        let allowed = (f64::from(calls) * ratio + extra) * USED_SHARE;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.slice(service, now).retries += 1;
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
