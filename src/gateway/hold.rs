//! Accounts for a call at its upstream, and ends the accounting when dropped.

use std::{sync::Arc, time::Duration};

use metrics::counter;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    gateway::{
        call::Prompt,
        context::Context,
        crash::{self, Process, Run},
        pace::Observation,
        place::Choice,
        roster::Endpoint,
    },
    kernel::{clock::Time, id::Request},
    request::suspect::Fingerprint,
};

/// The timeout for reconnecting to an upstream after a connection was lost.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Probes that must fail until an upstream counts as crashed whose connection ended without an error;
/// a single one may be due to packet loss.
const END_PROBES: usize = 2;

/// The resources that a call uses at an upstream, released on drop.
pub struct Reservation {
    /// The selected upstream.
    pub choice: Choice,
    unread_tokens: u64,
    memory_tokens: u64,
    /// When the call was sent, and the prompt tokens of others that were queued there.
    sent_at: Time,
    queued_tokens: u64,
    /// Whether its prompt is short and the service has long ones, too.
    is_short: bool,
    /// Calls with long prompts that were in progress there.
    long_calls: u32,
    /// When the last event arrived that did not have to wait for the caller.
    last_event_at: Option<Time>,
    /// Cancelled when the upstream is found dead: it accepts no connections.
    pub upstream_death: CancellationToken,
    context: Arc<Context>,
    /// Identifies this attempt in the table of requests that may have crashed an upstream.
    attempt_id: Request,
    succeeded: bool,
    /// Whether the answer shows that no part of the prompt crashes upstreams.
    clears_prompt: bool,
}

impl Reservation {
    /// Starts accounting for a call at the selected upstream. `fingerprint` and the parts of the
    /// prompt identify the request if it crashes the upstream.
    pub fn new(
        context: &Arc<Context>,
        choice: Choice,
        prompt: Option<&Prompt>,
        fingerprint: Fingerprint,
    ) -> Reservation {
        let endpoint = &choice.endpoint;
        let now = context.now();
        let peers = context.peers.peer_load(now);
        let peers = peers.get(&endpoint.hash).copied().unwrap_or_default();
        let queued_tokens = peers.tokens + endpoint.health.pending_prompt_tokens();
        let calls = peers.calls + endpoint.health.calls_in_flight();
        let long_calls = calls.saturating_sub(peers.short_calls + endpoint.health.short_calls());
        let memory_tokens = prompt.map_or(0, Prompt::memory_tokens);
        let upstream_death = endpoint.health.start_call(choice.unread_tokens, memory_tokens, now);
        let attempt_id = context.next_attempt_id();
        let incarnation = endpoint.record.incarnation;
        let mut suspects = context.suspects();
        suspects.started(attempt_id, fingerprint, &endpoint.name, incarnation);
        drop(suspects);
        if let Some(prompt) = prompt {
            context.crashes().started(attempt_id, Run::new(Process::of(endpoint), prompt));
        }
        let (unread_tokens, context) = (choice.unread_tokens, context.clone());
        Reservation {
            choice,
            unread_tokens,
            memory_tokens,
            sent_at: now,
            queued_tokens,
            is_short: false,
            long_calls,
            last_event_at: None,
            upstream_death,
            context,
            attempt_id,
            succeeded: false,
            clears_prompt: false,
        }
    }

    /// Records that the complete answer was received and is not a server error. `clears_prompt` tells
    /// whether it is a successful one whose end can't be that of a crashed upstream.
    pub fn succeed(&mut self, clears_prompt: bool) {
        self.choice.endpoint.health.record_success(self.context.now());
        self.succeeded = true;
        self.clears_prompt = clears_prompt;
    }

    /// Whether an answer is whole whose body ended without an error. Without framing, this is also how
    /// the answer of an upstream ends that crashes, and so closes its port. An upstream that leaves
    /// may have closed its port, too.
    pub async fn is_whole(&self, is_framed: bool) -> bool {
        if is_framed || self.is_leaving() {
            return true;
        }
        for _ in 0..END_PROBES {
            if self.accepts_connections().await {
                return true;
            }
        }
        false
    }

    fn is_leaving(&self) -> bool {
        let Endpoint { name, record, health, .. } = &*self.choice.endpoint;
        let view = self.context.view.load();
        health.is_leaving() || !view.service(&record.service).iter().any(|it| it.name == *name)
    }

    async fn accepts_connections(&self) -> bool {
        let address = self.choice.endpoint.record.address;
        self.context.client.opens(address, CRASH_PROBE_TIMEOUT).await
    }

    /// Handles a lost connection. An upstream that accepts no new one is marked dead and counts as
    /// crashed, and the requests that were running there become suspects.
    pub async fn connection_lost(&self) {
        let Endpoint { name, record, health, .. } = &*self.choice.endpoint;
        let now = self.context.now();
        health.record_failure(now);
        if self.accepts_connections().await {
            return;
        }
        health.mark_dead(now);
        let suspects = self.context.suspects().crashed(name, record.incarnation, now);
        let process = Process::of(&self.choice.endpoint);
        let (prompts, facts) = self.context.change_crashes(|it| it.crashed(process, now));
        if !suspects.is_empty() {
            info!(
                upstream = name.as_str(),
                suspects = suspects.len(),
                prompts = prompts.len(),
                parts = crash::list_parts(&prompts),
                "upstream crashed"
            );
        }
        self.context.publish_suspects(suspects);
        self.context.publish_crashes(facts);
    }

    /// Records that the call has a short prompt and that its service has long ones, too.
    pub fn mark_short(&mut self) {
        if !std::mem::replace(&mut self.is_short, true) {
            self.choice.endpoint.health.start_short_call();
        }
    }

    /// Records that events of the stream arrived, which shows how fast the engine works.
    pub fn record_event(&mut self, is_first: bool) {
        if self.choice.version.is_none() {
            return;
        }
        let now = self.context.now();
        let health = &self.choice.endpoint.health;
        let observation = match self.last_event_at.replace(now) {
            None if is_first => {
                let elapsed = now.since(self.sent_at);
                let prefill = self.prefill_time(self.queued_tokens + self.choice.unread_tokens);
                self.count_wait(elapsed);
                Some(Observation::FirstEvent { elapsed, prefill })
            }
            None => None,
            Some(last) => {
                let peers = self.context.peers.peer_load(now);
                let peers = peers.get(&self.choice.endpoint.hash).copied().unwrap_or_default();
                Some(Observation::Interval {
                    elapsed: now.since(last),
                    calls: peers.calls + health.calls_in_flight(),
                    is_prefilling: peers.tokens + health.pending_prompt_tokens() > 0,
                })
            }
        };
        if let Some(observation) = observation {
            health.record_pace(&observation, &self.context.pace, now);
        }
    }

    /// Records that events had to wait for the caller. The time to the next one does not show the speed
    /// of the engine.
    pub fn skip_interval(&mut self) {
        self.last_event_at = None;
    }

    /// The time that the average engine needs to prefill these tokens.
    fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = self.context.settings.prefill_tokens_per_ms;
        Duration::from_secs_f64(tokens as f64 / rate / 1_000.0)
    }

    /// Counts the time for which a short prompt waited behind long ones: at most that for which the
    /// engine prefilled what was queued.
    fn count_wait(&self, elapsed: Duration) {
        if !self.is_short || self.long_calls == 0 {
            return;
        }
        let slowdown = self.choice.pace.slowdown;
        let waited = elapsed.min(self.prefill_time(self.queued_tokens).mul_f64(slowdown));
        counter!("tealturn_short_prompts_waited_ms_total").increment(waited.as_millis() as u64);
    }

    /// Records that the first bytes of a stream arrived, which means that the engine has read the
    /// prompt.
    pub fn mark_prompt_read(&mut self) {
        self.choice.endpoint.health.finish_prompt(std::mem::take(&mut self.unread_tokens));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.mark_prompt_read();
        self.choice.endpoint.health.end_call(self.memory_tokens);
        if self.is_short {
            self.choice.endpoint.health.end_short_call();
        }
        let now = self.context.now();
        let cleared = self.context.suspects().ended(self.attempt_id, self.succeeded, now);
        self.context.publish_suspects(cleared);
        let (id, is_whole) = (self.attempt_id, self.clears_prompt);
        let cleared = self.context.change_crashes(|it| it.ended(id, is_whole, now));
        self.context.publish_crashes(cleared);
    }
}
