//! Accounts for a call at its upstream, and ends the accounting when dropped.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    gateway::{
        call::Prompt,
        context::Context,
        crash::{self, Process, Run},
        place::Choice,
        room::Event,
        roster::Endpoint,
    },
    http::client::Probe,
    kernel::{clock::Time, id::Request},
    request::suspect::Fingerprint,
};

/// The timeout for reconnecting to an upstream after a connection was lost.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// The silence after which the calls of an upstream that was found dead are given up. A sound one may
/// be silent for a second or so, and then goes on.
const MAX_SILENCE: Duration = Duration::from_millis(2_000);

/// The interval between checks whether the path to an upstream that leaves is lost.
const LEAVING_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The silence after which the path to an upstream that leaves may be lost. A sound upstream may be silent
/// for a second or so.
const LEAVING_SILENCE: Duration = Duration::from_millis(1_000);

/// The time in which such an upstream must accept a connection.
const LEAVING_PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes that must fail until an upstream counts as crashed whose connection ended without an error;
/// a single one may be due to packet loss.
const END_PROBES: usize = 2;

/// The resources that a call uses at an upstream, released on drop.
pub struct Reservation {
    /// The selected upstream.
    pub choice: Choice,
    began_at: Time,
    unread_tokens: u64,
    memory_tokens: u64,
    /// Cancelled when the upstream is found dead: it accepts no connections.
    upstream_death: CancellationToken,
    context: Arc<Context>,
    /// Identifies this attempt in the table of requests that may have crashed an upstream.
    attempt_id: Request,
    /// Whether another daemon took the call, whose upstream is not known.
    pub is_forwarded: bool,
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
        let memory_tokens = prompt.map_or(0, Prompt::memory_tokens);
        let began_at = context.now();
        let upstream_death =
            endpoint.health.start_call(choice.unread_tokens, memory_tokens, began_at);
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
            began_at,
            unread_tokens,
            memory_tokens,
            upstream_death,
            context,
            attempt_id,
            is_forwarded: false,
            succeeded: false,
            clears_prompt: false,
        }
    }

    /// Represents a call that another daemon takes; `choice` names that in place of an upstream.
    pub fn forwarded(context: &Arc<Context>, choice: Choice) -> Reservation {
        let began_at = context.now();
        let upstream_death = choice.endpoint.health.start_call(0, 0, began_at);
        Reservation {
            choice,
            began_at,
            unread_tokens: 0,
            memory_tokens: 0,
            upstream_death,
            context: context.clone(),
            attempt_id: context.next_attempt_id(),
            is_forwarded: true,
            succeeded: false,
            clears_prompt: false,
        }
    }

    /// Waits until the upstream has been found dead and sent nothing for [`MAX_SILENCE`]. Open
    /// connections may live on when no new one can be opened.
    pub async fn died(&self) {
        self.upstream_death.cancelled().await;
        let health = &self.choice.endpoint.health;
        loop {
            let silence = self.context.now().since(health.last_activity());
            if silence >= MAX_SILENCE {
                return;
            }
            time::sleep(MAX_SILENCE - silence).await;
        }
    }

    /// Waits until the upstream leaves and the path to it seems lost, before it has begun to answer. The call
    /// may not have arrived yet, and must not arrive after the path is back: the upstream wants no calls by
    /// then. A refused connection says nothing, since an upstream that leaves may close its port and go on
    /// with its calls.
    pub async fn path_lost_at_leaving(&self) {
        let health = &self.choice.endpoint.health;
        let mut silent_probes = 0;
        loop {
            time::sleep(LEAVING_CHECK_INTERVAL).await;
            let silent_since = health.last_activity().max(self.began_at);
            let is_silent = self.context.now().since(silent_since) >= LEAVING_SILENCE;
            if !is_silent || self.is_forwarded || !self.is_leaving() {
                silent_probes = 0;
                continue;
            }
            let address = self.choice.endpoint.record.address;
            match self.context.client.probe(address, LEAVING_PROBE_TIMEOUT).await {
                Probe::Silent => silent_probes += 1,
                Probe::Open | Probe::Refused => silent_probes = 0,
            }
            if silent_probes >= END_PROBES {
                return;
            }
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

    /// Whether the upstream leaves or is gone.
    pub fn is_leaving(&self) -> bool {
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
        if self.is_forwarded {
            return;
        }
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
        let requests = suspects.iter().filter_map(Fingerprint::of).collect();
        self.context.crash_reports.push(&self.choice.endpoint, requests, now);
        self.context.publish_suspects(suspects);
        self.context.publish_crashes(facts);
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
        if self.is_forwarded {
            return;
        }
        let now = self.context.now();
        if self.succeeded {
            self.choice.endpoint.health.record_call_time(now.since(self.began_at));
        }
        self.context.rooms.report(&self.choice.endpoint.record.service, Event::Freed, now);
        let cleared = self.context.suspects().ended(self.attempt_id, self.succeeded, now);
        self.context.publish_suspects(cleared);
        let (id, is_whole) = (self.attempt_id, self.clears_prompt);
        let cleared = self.context.change_crashes(|it| it.ended(id, is_whole, now));
        self.context.publish_crashes(cleared);
    }
}
