//! Admits requests, and keeps the shares of the limits up to date.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use metrics::{counter, gauge};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    admission::{
        Decision, Outcome, Reason, Ticket,
        share::{self, Fleet},
    },
    collections::Map,
    fleet::board::Key,
    kernel::{
        clock::Time,
        context::Context,
        id::{Daemon, Request},
        registry::{Component, Registration},
    },
    request::refusal::{Kind, Refusal},
};

/// How often queued requests are looked at.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two exchanges of demand with the peers.
const TICKS_PER_EXCHANGE: u32 = 10;

/// A daemon that has not left is taken to serve for this long after it was last heard.
const SILENT_FOR: Duration = Duration::from_secs(300);

struct Limits;

inventory::submit! {
    Registration { name: "limits", make: || Box::new(Limits) }
}

/// A request that holds a slot. Dropping it gives the slot back.
pub struct Admitted {
    context: Arc<Context>,
    request: Request,
    used_tokens: Option<u64>,
}

impl Admitted {
    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if it may not, or can't in time.
    pub async fn new(context: &Arc<Context>, ticket: &Ticket<'_>) -> Result<Admitted, Refusal> {
        let state = &context.serving;
        let outcome = state.wait(ticket.request);
        // From here on, dropping the future takes the request back.
        let admitted =
            Admitted { context: context.clone(), request: ticket.request, used_tokens: None };
        let decision = state.admission().offer(ticket, context.now());
        match decision {
            Decision::Admitted => Ok(admitted),
            Decision::Refused { reason, retry_after } => Err(refusal(reason, retry_after)),
            Decision::Queued => match outcome.await {
                Ok(Outcome::Admitted(_)) => Ok(admitted),
                Ok(Outcome::Refused { reason, retry_after, .. }) => {
                    Err(refusal(reason, retry_after))
                }
                Err(_) => Err(refusal(Reason::Deadline, TICK)),
            },
        }
    }

    /// Sets the tokens that the request used, in place of those that it was expected to use.
    pub fn used(&mut self, tokens: u64) {
        self.used_tokens = Some(tokens);
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let state = &self.context.serving;
        state.forget(self.request);
        let now = self.context.now();
        let outcomes = match self.used_tokens {
            Some(tokens) => state.admission().finish(self.request, tokens, now),
            None => state.admission().cancel(self.request, now),
        };
        state.tell(outcomes);
    }
}

#[async_trait]
impl Component for Limits {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut peers = Peers::default();
        let mut ticks = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = tick.tick() => {}
            }
            if ticks % TICKS_PER_EXCHANGE == 0 {
                peers.exchange(&context);
            }
            ticks = ticks.wrapping_add(1);
            measure(&context);
            let outcomes = context.serving.admission().tick(context.now());
            context.serving.tell(outcomes);
        }
    }
}

/// Takes in the room that the engines report. Until one has reported, nothing is known of it: a
/// daemon that has just started is held back by no count of its own.
fn measure(context: &Context) {
    let capacity = share::slots(&context.directory.load());
    if capacity > 0 {
        context.serving.admission().capacity(capacity);
    }
}

/// The other daemons, and when each was last heard.
#[derive(Default)]
struct Peers {
    heard: Map<Daemon, Time>,
}

impl Peers {
    fn exchange(&mut self, context: &Context) {
        let now = context.now();
        let silent = self.learn(context, now);
        let mut daemons: Vec<_> = self.heard.keys().cloned().collect();
        daemons.push(context.settings.daemon.clone());
        let fleet = Fleet { daemons: &daemons, silent };
        let facts = context.board.facts(|it| matches!(it, Key::Demand(..)));
        let demand = {
            let mut admission = context.serving.admission();
            admission.shares(&fleet, &facts);
            gauge!("tealturn_requests_running").set(admission.running() as f64);
            gauge!("tealturn_requests_waiting").set(admission.waiting() as f64);
            admission.demand(now)
        };
        for fact in demand {
            context.board.publish(&fact);
        }
    }

    /// Takes note of who is heard, and tells how many that may be serving are not.
    fn learn(&mut self, context: &Context, now: Time) -> usize {
        let members = context.members.live();
        for member in members.iter() {
            self.heard.insert(member.member.daemon.clone(), now);
        }
        self.heard.retain(|_, heard| now.since(*heard) < SILENT_FOR);
        self.heard.values().filter(|heard| **heard != now).count()
    }
}

fn refusal(reason: Reason, retry_after: Duration) -> Refusal {
    counter!("tealturn_not_admitted_total", "reason" => reason.code()).increment(1);
    let message = format!("no room before the deadline: {}", reason.code());
    Refusal::not_run(Kind::Overloaded, message).retry_after(retry_after)
}
