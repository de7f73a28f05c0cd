//! The pace of requests to upstreams that fall over when they must reject too many calls.
//!
//! Such an upstream says in its answers how many rejections a second it withstands, from all daemons
//! together. Its requests are limited as if it had named the pace as a [limit](crate::gateway::limit),
//! which one daemon enforces for all. See docs/design/brittle-upstreams.md.

use std::{sync::Arc, time::Duration};

use crate::{
    gateway::{limit::Limit, roster::Endpoint},
    kernel::clock::Time,
};

/// The largest share of the slots that calls are meant to take. Reports of the calls of other daemons
/// are up to a second old.
const MAX_SHARE: f64 = 0.75;

/// The factor by which the pace falls after a rejection, and the shortest time after another change.
/// Several calls that come at once are rejected for the same reason.
const DECREASE: f64 = 0.7;
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);

/// The factor by which the pace rises, and the shortest time between two increases. A rejection that
/// one causes is known to all daemons within about a second.
const INCREASE: f64 = 1.25;
const INCREASE_INTERVAL: Duration = Duration::from_secs(2);

/// The pace stays as it is between these multiples of the estimate. Daemons estimate it from different
/// calls.
const MIN_DEVIATION: f64 = 0.75;
const MAX_DEVIATION: f64 = 1.5;

/// The number of calls from which on their mean duration lowers the pace. Of hundreds of daemons, some
/// have seen only a few long calls.
const MIN_CALLS: u32 = 10;

/// Requests in a second that cannot cause too many rejections, as a share of the rejections that the
/// upstream withstands. The rest is for daemons that don't know the pace yet.
const SAFE_SHARE: f64 = 0.5;

/// The longest pause of a daemon after a rejection.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// What an answer of a brittle upstream shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// It answered.
    Answered,
    /// It rejected a call.
    Rejected,
}

/// A brittle upstream as this daemon knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Rejections a second that it withstands.
    pub rejections_per_s: f64,
    /// Calls that it runs at once.
    pub slots: u32,
    /// The mean duration of calls to its service.
    pub call_time: Duration,
    /// The number of calls whose mean that is.
    pub calls: u32,
    /// The limit in force, which is the pace.
    pub limit: Limit,
}

/// The new pace in requests a second, if it changes.
pub fn decide(state: &State, event: Event, now: Time) -> Option<f64> {
    let least = state.rejections_per_s * SAFE_SHARE;
    let estimate = (target(state.slots) / state.call_time.as_secs_f64()).max(least);
    let estimate = Some(estimate).filter(|it| state.calls > 0 && it.is_finite());
    let Some(pace) = state.limit.rate else {
        let share = if event == Event::Rejected { DECREASE } else { 1.0 };
        return estimate.map(|it| (it * share).max(least));
    };
    let unchanged = now.since(state.limit.heard_at);
    if event == Event::Rejected {
        let lower = (pace * DECREASE).max(least);
        return (unchanged >= DECREASE_INTERVAL && lower < pace).then_some(lower);
    }
    let estimate = estimate?;
    if pace > estimate * MAX_DEVIATION && state.calls >= MIN_CALLS {
        return Some(estimate * MAX_DEVIATION);
    }
    (unchanged >= INCREASE_INTERVAL && pace < estimate * MIN_DEVIATION)
        .then(|| (pace * INCREASE).max(least))
}

/// The calls that an upstream is meant to run at once. Those that come at a mean rate vary by about the
/// square root of their number; half of that is left free besides what may wait.
fn target(slots: u32) -> f64 {
    let slots = f64::from(slots.max(1));
    (slots - slots.sqrt() / 2.0).min(slots * MAX_SHARE)
}

/// The requests that may come at once after a time without any, beside those of the pace.
pub fn burst(slots: u32) -> f64 {
    f64::from(slots.max(1)).sqrt()
}

/// How long a daemon sends nothing to an upstream that rejected its call. Daemons that all send again
/// after it cause as many rejections together as the upstream withstands. `random` is from 0 to 1.
pub fn pause(rejections_per_s: f64, daemons: usize, random: f64) -> Duration {
    let seconds = daemons as f64 / rejections_per_s * (0.5 + random);
    Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PAUSE).min(MAX_PAUSE)
}

/// Whether any upstream of a service says that it is brittle.
pub fn any(service: &[Arc<Endpoint>]) -> bool {
    service.iter().any(|it| it.health.brittleness().is_some())
}

/// Gives upstreams of which nothing was heard the lowest pace of the brittle ones of the service. All
/// daemons would send their calls to one that has just started otherwise, because it is empty.
pub fn pace_new(service: &[Arc<Endpoint>], now: Time) {
    let brittle = service.iter().filter(|it| it.health.brittleness().is_some());
    let paces = brittle.filter_map(|it| it.health.limit().rate);
    let Some(pace) = paces.min_by(f64::total_cmp) else {
        return;
    };
    for endpoint in service {
        if endpoint.health.limit().heard_at == Time::default() {
            endpoint.health.set_pace(pace, now);
        }
    }
}
