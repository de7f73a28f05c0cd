//! Waits until an upstream has room for a call, and places it there.

use std::time::Duration;

use tokio::time;
use tracing::info;

use crate::{
    gateway::{
        call::Prompt,
        dialect::Refusal,
        hold::Hold,
        place::{Query, Unplaced},
        relay::{Drive, WAY_BACK},
    },
    kernel::{clock::Time, id::Service},
    route::pool::name_hash,
};

/// The share of an engine's memory that running calls may take: the rest keeps cached prompts,
/// without which engines read several times as much and a short overload does not end.
const RUNNING_SHARE: f64 = 0.5;

/// The same for calls that can't be answered in time any more.
const LATE_SHARE: f64 = 0.35;

/// The time between looks for room at an engine.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// When a caller may come back after a refusal because all engines are full, on average: spread,
/// so that the callers do not return together.
const FULL_RETRY: Duration = Duration::from_millis(1_000);

/// The time that an engine takes to the first event of a long prompt.
const FIRST_EVENT: Duration = Duration::from_millis(200);

impl Drive {
    /// Places the call as soon as an engine has room.
    pub(super) async fn wait(&mut self) -> Result<Hold, Refusal> {
        loop {
            match self.place()? {
                Some(held) => return Ok(held),
                None if !self.may_wait() => {
                    let after = FULL_RETRY.mul_f64(0.5 + rand::random::<f64>());
                    return Err(match self.runs {
                        0 => Refusal::NotRun(after),
                        _ => Refusal::Lost,
                    });
                }
                None => time::sleep(LOOK_AGAIN.mul_f64(0.5 + rand::random::<f64>())).await,
            }
        }
    }

    /// Whether the call may go on waiting for room: beyond its objective, others that can still be
    /// answered in time would go first again and again.
    pub(super) fn may_wait(&self) -> bool {
        let now = self.context.now();
        now.since(self.call.received) < self.call.route.latency_target
    }

    /// Whether the call can still be answered in time.
    pub(super) fn is_early(&self, now: Time) -> bool {
        now.since(self.call.received) + FIRST_EVENT < self.call.route.latency_target
    }

    /// Places the call; `None` if it has to wait for room.
    pub(super) fn place(&mut self) -> Result<Option<Hold>, Refusal> {
        let (context, call) = (&self.context, &self.call);
        let now = context.now();
        let streamed = call.ask.prompt.is_some();
        let needed = if streamed { FIRST_EVENT } else { WAY_BACK };
        if now + needed >= call.deadline {
            return Err(if self.runs > 0 { Refusal::TimedOut } else { self.unplaced() });
        }
        let fresh = context.freshness.is_within(context.settings.revocation, now);
        if call.tenant.is_some() && !fresh {
            return Err(self.unplaced());
        }
        if let Some(after) = context.suspects().bar(self.fingerprint, now) {
            info!(attempt = call.ask.attempt, "barred: it crashed upstreams");
            return Err(match self.runs {
                0 => Refusal::NotRun(after),
                _ => Refusal::Lost,
            });
        }
        let service = call.route.service(name_hash(&call.ask.attempt));
        let progress = context.progress.load();
        let query = Query {
            prompt: call.ask.prompt.as_ref(),
            owner: self.owner(),
            avoid: &self.avoid,
            old_weights: context.settings.weights,
            room: self.room(service, now),
            kv_store: self.kv_store(),
            capacity: context.document.load().as_ref().map_or(0, |it| it.engine_tokens()),
            peers: &context.peers.load(),
            random: rand::random(),
        };
        let view = context.view.load();
        let choice = context.placer().choose(&query, view.service(service), &progress, now);
        let choice = match choice {
            Ok(choice) => choice,
            Err(Unplaced::Full) => return Ok(None),
            Err(reason) => {
                let service = service.as_str();
                info!(attempt = call.ask.attempt, service, ?reason, "not placed");
                return Err(self.unplaced());
            }
        };
        if self.sends == 0 {
            context.budget().call(service, now);
        }
        // What no connection opened for is no repeat to the upstreams.
        let repeat = self.sends > self.unsent;
        if repeat && !context.budget().repeat(service, context.members.count(), now) {
            info!(attempt = call.ask.attempt, service = service.as_str(), "no repeats left");
            return Err(self.unplaced());
        }
        let held = context.placer().sent(&query, &choice);
        let mut facts = context.peers.facts();
        held.into_iter().for_each(|it| facts.add(it));
        drop(facts);
        self.sends += 1;
        info!(
            attempt = call.ask.attempt,
            upstream = choice.endpoint.name.as_str(),
            reason = choice.reason,
            version = choice.version.map(|it| it.0),
            source = choice.source.as_ref().map(|it| it.address().to_string()),
            held = choice.depth.0,
            found = choice.depth.1,
            save = choice.save,
            cost_ms = choice.cost_ms,
            waited_ms = now.since(call.received).as_millis() as u64,
            "sent"
        );
        let memory = call.ask.prompt.as_ref().map_or(0, Prompt::memory);
        Ok(Some(Hold::new(context, choice, memory, self.fingerprint)))
    }

    /// A number for the workspace if it shares no cached prompt.
    pub(super) fn owner(&self) -> u64 {
        let isolated = self.call.tenant.as_ref().filter(|it| it.isolated);
        isolated.map_or(0, |it| name_hash(it.workspace.as_str()))
    }

    /// Tokens that running calls may take of an engine's memory. Calls that are late already leave
    /// some of it to those that can still be answered in time.
    pub(super) fn room(&self, service: &Service, now: Time) -> u64 {
        let document = self.context.document.load();
        let spec = document.as_ref().and_then(|it| it.service(service));
        let capacity = spec.and_then(|it| it.capacity_tokens);
        let share = if self.is_early(now) { RUNNING_SHARE } else { LATE_SHARE };
        capacity.map_or(u64::MAX, |it| (it as f64 * share) as u64)
    }
}
