//! A call's share of an upstream: what is counted there ends with it.

use std::{sync::Arc, time::Duration};

use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::{
    gateway::{context::Context, place::Choice, roster::Endpoint},
    kernel::id::Request,
    request::suspect::Fingerprint,
};

/// The longest wait for a connection to an upstream whose connection broke.
const CRASH_PROBE: Duration = Duration::from_millis(100);

/// A call's share of an upstream.
pub struct Hold {
    /// The upstream.
    pub choice: Choice,
    unread: u64,
    memory: u64,
    /// Cancelled if the upstream is found dead.
    pub death: CancellationToken,
    context: Arc<Context>,
    /// This sending, among the requests that may have crashed an upstream.
    run: Request,
    finished: bool,
}

impl Hold {
    /// Takes the call's share of the chosen upstream. `memory` is what it takes of an engine;
    /// `asked` stands for the request if it crashes the upstream.
    pub fn new(context: &Arc<Context>, choice: Choice, memory: u64, asked: Fingerprint) -> Hold {
        let endpoint = &choice.endpoint;
        let death = endpoint.health.start_call(choice.tokens, memory, context.now());
        let run = context.next_run_id();
        let incarnation = endpoint.record.incarnation;
        let mut suspects = context.suspects();
        suspects.started(run, asked, &endpoint.name, incarnation);
        drop(suspects);
        let (unread, context) = (choice.tokens, context.clone());
        Hold { choice, unread, memory, death, context, run, finished: false }
    }

    /// The answer is whole.
    pub fn finish(&mut self) {
        self.choice.endpoint.health.record_success(self.context.now());
        self.finished = true;
    }

    /// The connection broke: finds out whether the upstream has crashed, for which the calls that
    /// ran there are suspected.
    pub async fn broken(&self) {
        let Endpoint { name, record, health, .. } = &*self.choice.endpoint;
        let now = self.context.now();
        health.record_failure(now);
        if self.context.client.opens(record.address, CRASH_PROBE).await {
            return;
        }
        health.mark_dead();
        let facts = self.context.suspects().crashed(name, record.incarnation, now);
        if !facts.is_empty() {
            info!(upstream = name.as_str(), suspects = facts.len(), "upstream crashed");
        }
    }

    /// The first event has arrived, so that the prompt was read.
    pub fn first(&mut self) {
        self.choice.endpoint.health.finish_prompt(std::mem::take(&mut self.unread));
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.first();
        self.choice.endpoint.health.end_call(self.memory);
        let now = self.context.now();
        self.context.suspects().ended(self.run, self.finished, now);
    }
}
