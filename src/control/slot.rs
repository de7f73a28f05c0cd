//! The few load leases of the fleet, as this daemon uses them.
//!
//! The weight store serves a few loads at once; so many load leases there are. Each is held for
//! one load, from before its order until the engine has ended it.

use std::time::Duration;

use crate::{
    control::{charge::FLIGHT, lease::Use},
    kernel::{
        clock::Time,
        id::{Incarnation, Upstream},
    },
};

/// The longest time that a load takes. A load lease whose holder and engine are both gone is
/// used again after it.
pub const LOAD_LONGEST: Duration = Duration::from_millis(30_000);

/// The time between reads of the engine of a holder that let its load lease run out.
pub const PROBE_EVERY: Duration = Duration::from_millis(500);

/// The longest time that a load lease is kept without use.
pub const UNUSED_LONGEST: Duration = Duration::from_millis(5_000);

/// A load lease that this daemon holds.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The engine that it was taken for.
    pub upstream: Upstream,
    /// When it was taken.
    taken: Time,
    /// The engine of the holder before, until its load has certainly ended.
    before: Option<Use>,
    used: Option<Time>,
    run: Option<Incarnation>,
    probe_at: Time,
}

impl Slot {
    /// A slot that was just taken; `before` is the use of a holder that let it run out.
    pub fn new(upstream: Upstream, taken: Time, before: Option<Use>) -> Slot {
        Slot { upstream, taken, before, used: None, run: None, probe_at: taken + FLIGHT }
    }

    /// The engine whose state must be read at `now`, to see that its load has ended.
    pub fn probe(&mut self, now: Time) -> Option<Use> {
        if now < self.probe_at {
            return None;
        }
        self.probe_at = now + PROBE_EVERY;
        self.before.clone()
    }

    /// Takes note that an engine loaded nothing when it was asked for its state at `asked`.
    pub fn drained(&mut self, engine: &Upstream, asked: Time) {
        let own = self.before.as_ref().is_some_and(|it| it.upstream == *engine);
        // An order of the holder before may be on its way until then.
        if own && asked >= self.taken + FLIGHT {
            self.before = None;
        }
    }

    /// Whether a load may be ordered at `now`.
    pub fn is_ready(&self, now: Time) -> bool {
        let drained = self.before.is_none() || now >= self.taken + LOAD_LONGEST;
        drained && self.used.is_none()
    }

    /// Whether it was taken for nothing: a load could have been ordered for a while.
    pub fn is_unused(&self, now: Time) -> bool {
        self.is_ready(now) && now >= self.taken + FLIGHT + UNUSED_LONGEST
    }

    /// Takes note that a load was ordered of a run of the engine.
    pub fn start(&mut self, now: Time, run: Option<Incarnation>) {
        self.used = Some(now);
        self.run = run;
    }

    /// When the load was ordered.
    pub fn used(&self) -> Option<Time> {
        self.used
    }

    /// The run of the engine that was ordered to load.
    pub fn run(&self) -> Option<Incarnation> {
        self.run
    }
}
