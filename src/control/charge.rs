//! One engine of a shard that this daemon holds.

use std::time::Duration;

use crate::{
    control::{
        lease::Tenure,
        plan::{Census, Engine, Goal, covers},
        shard::{self, Name},
    },
    kernel::{clock::Time, id::Incarnation},
    platform::table::Version,
    upstream::wire::{Order, Role, State, Weights},
};

/// The longest time that an order may be on its way. Its sender closes the connection then.
pub const FLIGHT: Duration = Duration::from_millis(2_000);

/// The time between reads of the state of an engine that loads weights or waits to.
pub const POLL_EVERY: Duration = Duration::from_millis(250);

/// The time between reads of the state of an engine that is as it should be.
pub const AUDIT_EVERY: Duration = Duration::from_millis(30_000);

/// The wait before an engine that did not answer is asked again.
pub const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// How long the new weights must have been ready before the old ones go: by then every daemon
/// has heard of the change that asked for them ([`VIEW_LONGEST`]), and no order that was decided
/// before is still to be sent ([`SEND_WITHIN`]) or on its way ([`FLIGHT`]).
pub const SETTLE: Duration = Duration::from_millis(7_000);

/// No weights are dropped on older knowledge of the engines and the catalog than this.
pub const VIEW_LONGEST: Duration = Duration::from_millis(3_000);

/// An order is decided on a state read this long ago at most, so that it is rarely meant for a
/// run of the engine that has ended.
pub const STATE_LONGEST: Duration = Duration::from_millis(1_000);

/// An order is sent this soon after it was decided, or not at all.
pub const SEND_WITHIN: Duration = Duration::from_millis(1_000);

/// Weights outside its goal that an engine keeps at most during changes.
pub const MAX_KEPT: usize = 2;

/// What to do for an engine now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Read its state.
    Read,
    /// It must load weights, for which a load lease is needed.
    NeedSlot,
    /// Send this order. `loads` if it starts a load of weights.
    Send {
        /// The order.
        order: Order,
        /// Whether it makes the engine load weights.
        loads: bool,
    },
}

/// Why an order was not obeyed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The engine saw a newer fencing number.
    Fenced,
    /// Nothing was sent.
    NotSent,
    /// It is not known whether the engine obeyed.
    Lost,
}

/// What the order of an engine is decided from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// The time.
    pub now: Time,
    /// The tenure of the shard's lease.
    pub tenure: &'a Tenure,
    /// What the engine should be; `None` if that is nobody's business.
    pub goal: Option<&'a Goal>,
    /// Since when weights outside the plan may go.
    pub settled: Option<Time>,
    /// How many engines have which weights ready.
    pub census: &'a Census,
    /// Whether a load lease may be used for this engine now.
    pub slot: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Charge {
    /// What is known of it from elsewhere.
    pub engine: Engine,
    /// The lease under which it gets orders.
    pub shard: Name,
    observed: Option<Observed>,
    busy: bool,
    sent: Option<Time>,
    quiet_until: Time,
    read_at: Time,
}

#[derive(Clone, Debug)]
struct Observed {
    asked: Time,
    state: State,
}

impl Charge {
    /// An engine that was not asked yet.
    pub fn new(engine: Engine) -> Charge {
        Charge {
            shard: Name::Shard(shard::shard(&engine.name)),
            engine,
            observed: None,
            busy: false,
            sent: None,
            quiet_until: Time::default(),
            read_at: Time::default(),
        }
    }

    /// The run that was last seen.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.observed.as_ref().map(|it| it.state.incarnation)
    }

    /// Whether a read that was asked for at or after `since` found no load under way.
    pub fn is_idle_since(&self, since: Time) -> bool {
        let observed = self.observed.as_ref();
        observed.is_some_and(|it| it.asked >= since && it.state.loading.is_empty())
    }

    /// Whether an order or a read is on its way.
    pub fn is_busy(&self) -> bool {
        self.busy
    }

    /// Whether its state may be read at `now` while no order may be given.
    pub fn may_poll(&self, now: Time) -> bool {
        !self.busy && now >= self.read_at
    }

    /// Takes note of an action that is being carried out.
    pub fn start(&mut self, now: Time, action: &Action) {
        match action {
            Action::Read => self.busy = true,
            Action::Send { .. } => {
                self.busy = true;
                self.sent = Some(now);
            }
            Action::Wait | Action::NeedSlot => (),
        }
    }

    /// Takes the answer to a read that was asked for at `asked`.
    pub fn observe(&mut self, now: Time, asked: Time, state: Option<State>) {
        self.busy = false;
        let Some(state) = state else {
            self.read_at = now + RETRY_AFTER;
            return;
        };
        self.read_at = now + interval(&state);
        self.observed = Some(Observed { asked, state });
    }

    /// Takes the answer to the order that is on its way.
    pub fn obeyed(&mut self, now: Time, result: Result<State, Rejection>) {
        self.busy = false;
        let sent = self.sent.take().unwrap_or(now);
        match result {
            Ok(state) => {
                self.read_at = now + interval(&state);
                self.observed = Some(Observed { asked: sent, state });
            }
            Err(Rejection::Lost) => {
                // It may still arrive; an order sent now could be overtaken by it.
                self.quiet_until = sent + FLIGHT;
                self.observed = None;
                self.read_at = Time::default();
            }
            Err(Rejection::Fenced | Rejection::NotSent) => {
                self.observed = None;
                self.read_at = now + RETRY_AFTER;
            }
        }
    }

    /// What to do now.
    pub fn decide(&self, situation: &Situation<'_>) -> Action {
        let Situation { now, tenure, .. } = *situation;
        // An engine that ignores fencing numbers may still get an order of the holder before.
        let flight = if self.engine.fenced { Duration::ZERO } else { FLIGHT };
        let quiet_until = self.quiet_until.max(tenure.taken + flight);
        if self.busy || !self.engine.open || now < quiet_until {
            return Action::Wait;
        }
        let observed = self.observed.as_ref();
        let Some(observed) = observed.filter(|it| it.asked >= quiet_until) else {
            return self.read(now);
        };
        if now >= self.read_at {
            return Action::Read;
        }
        let action = self.act(&observed.state, situation);
        let stale = now.since(observed.asked) > STATE_LONGEST;
        match action {
            Action::Send { .. } if stale => Action::Read,
            action => action,
        }
    }

    fn act(&self, state: &State, situation: &Situation<'_>) -> Action {
        let fence = situation.tenure.fence;
        if state.fence > fence && self.engine.fenced {
            return Action::Wait;
        }
        if state.fence < fence && self.engine.fenced {
            return claim(state, fence);
        }
        match situation.goal {
            Some(goal) => order(state, goal, situation),
            None => Action::Wait,
        }
    }

    fn read(&self, now: Time) -> Action {
        if now < self.read_at {
            return Action::Wait;
        }
        Action::Read
    }
}

/// An order that changes nothing but makes the engine refuse those of earlier holders.
fn claim(state: &State, fence: Version) -> Action {
    let weights = state.loaded.iter().chain(&state.loading);
    Action::Send {
        order: Order { fence, weights: weights.cloned().collect(), role: state.role },
        loads: false,
    }
}

/// The next order towards `goal`, if one is due: load beside the old weights, one at a time, and
/// drop the old ones when the new are ready here and everywhere.
fn order(state: &State, goal: &Goal, situation: &Situation<'_>) -> Action {
    let wanted = |it: &&Weights| goal.weights.iter().any(|asked| covers(it, asked));
    let has = |known: &[Weights], asked| known.iter().any(|it| covers(it, asked));
    let ready = goal.weights.iter().all(|it| has(&state.loaded, it));
    let settled = situation.settled;
    let may_drop = ready && settled.is_some_and(|since| situation.now >= since + SETTLE);
    let mut weights: Vec<Weights> = Vec::new();
    if !may_drop {
        // A load under way is not cancelled: the order could arrive after its end.
        let known = state.loaded.iter().chain(&state.loading);
        let mut kept: Vec<_> = known.filter(|it| !wanted(it)).collect();
        // What most engines have is what most requests are served by.
        kept.sort_by_key(|it| std::cmp::Reverse((situation.census.count(it), it.version)));
        kept.truncate(MAX_KEPT);
        weights.extend(kept.into_iter().cloned());
    }
    let known = state.loaded.iter().chain(&state.loading);
    weights.extend(known.filter(wanted).cloned());
    let missing = goal.weights.iter().find(|it| !has(&weights, it));
    let mut loads = false;
    if let Some(missing) = missing
        && state.loading.is_empty()
    {
        if !situation.slot {
            return Action::NeedSlot;
        }
        weights.push(missing.clone());
        loads = true;
    }
    let role = match goal.role {
        Role::Standby if !may_drop => state.role,
        role => role,
    };
    if !loads && role == state.role && is_same(&weights, state) {
        return Action::Wait;
    }
    Action::Send { order: Order { fence: situation.tenure.fence, weights, role }, loads }
}

fn is_same(weights: &[Weights], state: &State) -> bool {
    let mut known = state.loaded.iter().chain(&state.loading);
    let count = state.loaded.len() + state.loading.len();
    count == weights.len() && known.all(|it| weights.contains(it))
}

fn interval(state: &State) -> Duration {
    if state.loading.is_empty() {
        return AUDIT_EVERY;
    }
    POLL_EVERY
}
