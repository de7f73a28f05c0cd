//! Carries out the decisions of [`room`](crate::gateway::room): calls to a service whose routes
//! differ in priority wait in one queue.

use std::time::Duration;

use metrics::counter;
use tokio::time;
use tracing::info;

use crate::{
    admission::retry::retry_after,
    gateway::{
        dialect::Refusal,
        hold::Reservation,
        place::Choice,
        relay::{
            RESPONSE_MARGIN, Relay,
            admit::{FIRST_EVENT_LATENCY, Selection},
        },
        room::{
            Event, Outcome, ROUND_INTERVAL, Ticket,
            engine::{Fleet, daemon_hash},
            limit::Capacity,
            service::Place,
        },
    },
    kernel::{clock::Time, id::Workspace},
};

/// The longest time between two checks of a waiting call. The calls of a service share the checks
/// of its queue.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Calls that an upstream of a plain service holds for each of its slots, those that it queues
/// included.
const CALLS_PER_SLOT: u64 = 5;

/// The share of the calls that an upstream of a plain service holds that may be late ones.
const LATE_PLAIN_SHARE: f64 = 0.7;

/// What the queue allows a call that is offered capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Turn {
    /// The limit on what running calls take of the upstream.
    pub(super) limit: u64,
    /// An engine that is left to another call.
    pub(super) spared: Option<u64>,
}

impl Relay {
    /// Whether the calls to the service wait in one queue.
    pub(super) fn is_queued(&self) -> bool {
        let document = self.context.document.load();
        document.as_ref().is_some_and(|it| it.is_prioritised(self.call.service()))
    }

    /// Waits for the call's turn and reserves an upstream for it.
    pub(super) async fn acquire_in_turn(&mut self) -> Result<Reservation, Refusal> {
        loop {
            self.check()?;
            let (choice, place) = self.wait_for_turn().await?;
            let mut place = Some(place);
            if choice.endpoint.health.limit().rate.is_some() {
                // Others need not wait until another daemon has answered whether there is a permit.
                place.take().into_iter().for_each(Place::begin);
            }
            if let Some(reservation) = self.reserve(choice).await? {
                // The next call is offered capacity once the memory of this one is accounted for.
                place.into_iter().for_each(Place::begin);
                return Ok(reservation);
            }
        }
    }

    async fn wait_for_turn(&self) -> Result<(Choice, Place), Refusal> {
        let (context, service) = (&self.context, self.call.service());
        let mut place = context.rooms.enter(service, self.ticket(), &context.clock);
        loop {
            let waiting = context.rooms.waiting(service).max(1) as u32;
            let interval = (ROUND_INTERVAL * waiting).min(MAX_CHECK_INTERVAL);
            let interval = interval.mul_f64(0.5 + rand::random::<f64>());
            match time::timeout(interval, place.decision()).await {
                Err(_) => {
                    self.check()?;
                    place.report(Event::Tick);
                }
                Ok(Some(Outcome::Offer { limit, spared, .. })) => {
                    match self.select(Some(Turn { limit, spared }))? {
                        Selection::Chosen(choice) if self.is_too_late(&choice) => {
                            return Err(self.cannot_begin(&choice));
                        }
                        Selection::Chosen(choice) => return Ok((choice, place)),
                        Selection::Full => place.find_no_room(self.least_used()),
                        Selection::Limited(until) if until >= self.call.deadline => {
                            return Err(self.refuse_for(until.since(context.now())));
                        }
                        Selection::Limited(_) => place.find_no_room(None),
                    }
                }
                Ok(Some(Outcome::Refuse { retry_after, reason, .. })) => {
                    counter!("tealturn_calls_without_room_total").increment(1);
                    info!(
                        attempt = self.call.head.attempt,
                        service = service.as_str(),
                        ?reason,
                        waiting,
                        retry_after_ms = retry_after.as_millis() as u64,
                        "call refused: it cannot begin before its deadline"
                    );
                    return Err(match self.executions {
                        0 => Refusal::NotRun(retry_after),
                        _ => Refusal::Lost,
                    });
                }
                Ok(None) => return Err(self.no_upstream()),
            }
        }
    }

    /// Whether the call cannot get its first event before its deadline from the selected upstream.
    fn is_too_late(&self, choice: &Choice) -> bool {
        let first_event = Duration::from_secs_f64(choice.first_event_ms / 1_000.0);
        self.context.now() + first_event + RESPONSE_MARGIN >= self.call.deadline
    }

    fn cannot_begin(&self, choice: &Choice) -> Refusal {
        let time_left = self.call.deadline.since(self.context.now());
        info!(
            attempt = self.call.head.attempt,
            upstream = choice.endpoint.name.as_str(),
            first_event_ms = choice.first_event_ms,
            time_left_ms = time_left.as_millis() as u64,
            "call not sent: its first event would come after its deadline"
        );
        match self.executions {
            0 => self.refuse_for(Duration::from_secs_f64(choice.first_event_ms / 1_000.0)),
            _ => Refusal::TimedOut,
        }
    }

    /// The refusal of a call for which there is capacity after `wait`.
    fn refuse_for(&self, wait: Duration) -> Refusal {
        let left = self.call.deadline.since(self.context.now());
        match self.executions {
            0 => Refusal::NotRun(retry_after(wait, left, rand::random())),
            _ => Refusal::Lost,
        }
    }

    /// The least time in which an engine that holds the shared parts of the prompt sends the first
    /// event.
    pub(super) fn min_first_event(&self) -> Duration {
        let own = self.call.head.prompt.as_ref().and_then(|it| it.parts.last());
        let own = own.map_or(0.0, |it| it.tokens as f64);
        Duration::from_secs_f64(own / self.context.settings.prefill_tokens_per_ms / 1_000.0)
    }

    fn ticket(&self) -> Ticket {
        let (context, call) = (&self.context, &self.call);
        let workspace = call.tenant.as_ref().map(|it| it.workspace.clone());
        let prompt = call.head.prompt.as_ref();
        Ticket {
            request: context.next_attempt_id(),
            fingerprint: self.fingerprint,
            workspace: workspace.unwrap_or_else(|| Workspace::from("")),
            priority: call.priority(),
            returns: self.sends > 0,
            is_restricted: self.origin.is_some() || !self.excluded.is_empty(),
            tokens: prompt.map_or(1, |it| it.memory_tokens()),
            capacity: self.capacity(),
            on_time_until: self.waiting_since
                + call.route.latency_objective.saturating_sub(FIRST_EVENT_LATENCY),
            start_by: call.deadline - self.min_first_event() - RESPONSE_MARGIN,
            deadline: call.deadline,
        }
    }

    fn capacity(&self) -> Capacity {
        let service = self.call.service();
        if self.call.head.prompt.is_some() {
            return Capacity {
                running: self.running_limit_tokens(service, true),
                late: self.running_limit_tokens(service, false),
            };
        }
        let view = self.context.view.load();
        let slots = view.service(service).iter().map(|it| it.record.slots).min();
        let running = slots.map_or(u64::MAX, |it| u64::from(it) * CALLS_PER_SLOT);
        Capacity { running, late: (running as f64 * LATE_PLAIN_SHARE) as u64 }
    }

    /// The engine with the most free memory among those that may take the call.
    fn least_used(&self) -> Option<u64> {
        self.call.head.prompt.as_ref()?;
        let now = self.context.now();
        let (view, peers) = (self.context.view.load(), self.context.peers.peer_load(now));
        let engines = view.service(self.call.service()).iter();
        let engines = engines.filter(|it| !it.health.is_unavailable(now));
        let used = |it: &u64, own: u64| peers.get(it).map_or(0, |it| it.memory) + own;
        let engines = engines.map(|it| (used(&it.hash, it.health.reserved_tokens()), it.hash));
        engines.min().map(|(_, engine)| engine)
    }

    /// What this daemon knows of the others that use the engines.
    pub(super) fn fleet(&self, now: Time) -> Fleet {
        let context = &self.context;
        Fleet {
            own: daemon_hash(context.settings.daemon.as_str()),
            daemons: context.members.count(),
            is_heard: context.peers.any_responsive(now),
        }
    }

    /// Keeps calls from an upstream that rejected this one without executing it. An engine on which
    /// calls run may lack memory for this prompt only, and still take smaller ones.
    pub(super) fn pause_after_rejection(&self, reservation: &Reservation, pause: Duration) {
        let (context, now) = (&self.context, self.context.now());
        let endpoint = &reservation.choice.endpoint;
        let memory = self.call.head.prompt.as_ref().map_or(0, |it| it.memory_tokens());
        let peers = context.peers.peer_load(now);
        let others = peers.get(&endpoint.hash).map_or(0, |it| it.memory);
        let running = others + endpoint.health.reserved_tokens();
        if memory > 0 && running > memory && self.is_queued() {
            context.rooms.reject(endpoint.hash, memory, now);
        } else {
            endpoint.health.eject_for(pause, now);
        }
    }
}
