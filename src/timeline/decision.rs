//! The decisions taken for each request: a bounded record, divided into shards so that requests
//! rarely wait for each other.

use std::{
    borrow::Cow,
    collections::VecDeque,
    fmt,
    sync::{Arc, Mutex, MutexGuard},
};

use serde::{Deserialize, Serialize};

use crate::{
    kernel::id::{Incarnation, Request, Upstream},
    route,
    timeline::{Ring, Stamp},
};

/// Shards of the record. A request's decisions are all in one of them.
const SHARDS: usize = 16;

/// Decisions that a shard keeps.
const SHARD_DECISIONS: usize = 1_024;

/// Decisions that a process keeps at most.
pub const DECISIONS: usize = SHARDS * SHARD_DECISIONS;

/// What was decided.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// The request was received and its caller is known.
    Received,
    /// It may run.
    Admitted,
    /// It waits for its turn.
    Queued,
    /// It was refused.
    Refused,
    /// Its idempotency key was claimed in the table service.
    Claimed,
    /// An upstream was chosen.
    Chosen,
    /// It was sent.
    Sent,
    /// The upstream refused it.
    Rejected,
    /// The first piece of the answer arrived.
    First,
    /// The connection went silent or broke.
    Cut,
    /// The stream was resumed on another connection.
    Resumed,
    /// It is tried again.
    Retried,
    /// It became a suspect of a crash, or was barred.
    Suspected,
    /// The caller went away, or its deadline passed.
    Cancelled,
    /// The caller has the whole answer.
    Completed,
    /// The caller was told of a failure.
    Failed,
}

/// Details of a decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Detail {
    /// Nothing to add.
    None,
    /// A sentence for people.
    Text(Cow<'static, str>),
    /// The upstream that was chosen.
    Choice {
        /// The attempt.
        attempt: Option<Request>,
        /// The upstream.
        upstream: Upstream,
        /// The run that was meant.
        incarnation: Incarnation,
        /// Tokens of the prompt that are expected to be in its cache.
        cached_tokens: u64,
        /// The expected time to the first token, in microseconds.
        expected_micros: u64,
        /// Why it was chosen, as a short code.
        reason: Cow<'static, str>,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Step::Received => "received",
            Step::Admitted => "admitted",
            Step::Queued => "queued",
            Step::Refused => "refused",
            Step::Claimed => "claimed",
            Step::Chosen => "chosen",
            Step::Sent => "sent",
            Step::Rejected => "rejected",
            Step::First => "first",
            Step::Cut => "cut",
            Step::Resumed => "resumed",
            Step::Retried => "retried",
            Step::Suspected => "suspected",
            Step::Cancelled => "cancelled",
            Step::Completed => "completed",
            Step::Failed => "failed",
        };
        f.write_str(name)
    }
}

impl fmt::Display for Detail {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Detail::None => Ok(()),
            Detail::Text(text) => f.write_str(text),
            Detail::Choice {
                upstream,
                incarnation,
                cached_tokens,
                expected_micros,
                reason,
                ..
            } => write!(
                f,
                "{upstream} (run {incarnation}) by {reason}: {cached_tokens} prompt tokens \
                 expected in its cache, first token expected in {expected_micros} us"
            ),
        }
    }
}

impl From<()> for Detail {
    fn from((): ()) -> Detail {
        Detail::None
    }
}

impl From<&'static str> for Detail {
    fn from(text: &'static str) -> Detail {
        Detail::Text(Cow::Borrowed(text))
    }
}

impl From<String> for Detail {
    fn from(text: String) -> Detail {
        Detail::Text(Cow::Owned(text))
    }
}

impl From<&route::Choice> for Detail {
    fn from(choice: &route::Choice) -> Detail {
        Detail::Choice {
            attempt: None,
            upstream: choice.upstream.clone(),
            incarnation: choice.incarnation,
            cached_tokens: choice.cached_tokens,
            expected_micros: choice.expected_ttft.as_micros() as u64,
            reason: Cow::Borrowed(choice.reason),
        }
    }
}

/// One decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// The request.
    pub request: Request,
    /// When it was taken.
    pub stamp: Stamp,
    /// What was decided.
    pub step: Step,
    /// Details.
    pub detail: Detail,
}

/// The newest decisions of this process, in bounded memory.
pub struct Decisions {
    ring: Arc<Ring>,
    shards: [Mutex<VecDeque<Decision>>; SHARDS],
}

impl Decisions {
    /// An empty record that takes its stamps from `ring`.
    pub fn new(ring: Arc<Ring>) -> Decisions {
        Decisions { ring, shards: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Adds a decision; the oldest of its shard makes room.
    pub fn record(&self, request: Request, step: Step, detail: impl Into<Detail>) {
        let decision = Decision { request, stamp: self.ring.stamp(), step, detail: detail.into() };
        let mut shard = self.shard(request);
        if shard.len() == SHARD_DECISIONS {
            shard.pop_front();
        }
        shard.push_back(decision);
    }

    /// The decisions still kept for a request, oldest first.
    pub fn of(&self, request: Request) -> Vec<Decision> {
        let shard = self.shard(request);
        let own = shard.iter().filter(|it| it.request == request);
        own.cloned().collect()
    }

    fn shard(&self, request: Request) -> MutexGuard<'_, VecDeque<Decision>> {
        let shard = &self.shards[request.0 as usize % SHARDS];
        shard.lock().unwrap_or_else(|it| it.into_inner())
    }
}
