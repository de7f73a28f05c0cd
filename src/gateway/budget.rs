//! Limits retries so that they cannot amplify an outage.
//!
//! In any window, a service may receive a number of retries proportional to its calls, plus a fixed
//! extra. The limit applies to the whole fleet. Daemons report their calls and retries to each
//! other, so that one whose calls fail may use what others don't need.

use std::{collections::VecDeque, time::Duration};

use crate::{
    collections::Map,
    gateway::message::Usage,
    kernel::{clock::Time, id::Service},
    route::pool::name_hash,
};

/// The number of slices in a window. Calls and retries are counted per slice; the sums cover this
/// many past slices and the current one, so at least a whole window.
const SLICES: u64 = 10;

/// The share of the allowed retries that daemons use. Retries by callers, and rejections that race
/// with a state change, count towards the same limit.
const USED_SHARE: f64 = 0.6;

/// The number of slices in which retries of this daemon may not yet be in the reports of others.
const UNREPORTED_SLICES: u64 = 2;

/// What a daemon knows of the others when it is about to send a retry.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of daemons, this one included.
    pub daemons: usize,
    /// The use of the service's budget by all others; `None` if nothing was heard of them.
    pub others: Option<Usage>,
    /// A random number from 0 to 1, which decides if the daemon's share is a fraction of a retry.
    pub random: f64,
}

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

    /// Returns whether this daemon may send a retry, and counts the retry if so.
    ///
    /// What the fleet has left is shared out evenly for the time that reports of its use take. A
    /// daemon without such reports has an even share of the fixed extra, and the ratio of its own
    /// calls.
    pub fn try_retry(&mut self, service: &Service, fleet: Fleet, now: Time) -> bool {
        let Limits { ratio, extra, .. } = self.limits;
        let daemons = fleet.daemons.max(1) as f64;
        let newest = self.slice(service, now).number;
        let slices = &self.services[service];
        let calls: u32 = slices.iter().map(|it| it.calls).sum();
        let retries: u32 = slices.iter().map(|it| it.retries).sum();
        let is_allowed = match fleet.others {
            None => {
                let allowed = (f64::from(calls) * ratio + extra / daemons) * USED_SHARE;
                f64::from(retries + 1) <= allowed
            }
            Some(others) => {
                let calls = f64::from(calls) + f64::from(others.calls);
                let used = f64::from(retries) + f64::from(others.retries);
                let recent = slices.iter().filter(|it| it.number + UNREPORTED_SLICES > newest);
                let recent: u32 = recent.map(|it| it.retries).sum();
                let left = (calls * ratio + extra) * USED_SHARE - used + f64::from(recent);
                f64::from(recent) + fleet.random < left / daemons
            }
        };
        if is_allowed {
            self.slice(service, now).retries += 1;
        }
        is_allowed
    }

    /// The calls and retries of this daemon in the current window, by service.
    pub fn usages(&mut self, now: Time) -> Vec<Usage> {
        let services: Vec<_> = self.services.keys().cloned().collect();
        let mut usages = Vec::with_capacity(services.len());
        for service in services {
            self.slice(&service, now);
            let slices = self.services[&service].iter();
            let (calls, retries) = slices
                .fold((0, 0), |(calls, retries), it| (calls + it.calls, retries + it.retries));
            usages.push(Usage { service: name_hash(service.as_str()), calls, retries });
        }
        usages
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
