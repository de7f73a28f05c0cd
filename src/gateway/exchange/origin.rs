//! Tells a few daemons directly which build began a stream, and asks them.
//!
//! News takes up to a second through the tree of a large fleet, and dies with a daemon that has not
//! sent it yet. A caller that lost its daemon comes back at once. So a daemon tells [`REPLICAS`]
//! others before it passes on the first event: the hubs with the highest rendezvous ranks for the stream,
//! leaving out those that don't answer. A daemon that is asked to resume the stream asks the same ones
//! first, and then the other hubs: it may see other hubs than the teller did.

use std::{future::Future, sync::Arc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time};
use tracing::info;

use crate::{
    gateway::{
        context::Context,
        exchange::{ExchangeClient, wire::CLAIM_PROTOCOL},
        origin::{Entry, ORIGIN_WAIT},
        topology::FULL_MESH_DAEMONS,
    },
    kernel::id::{Build, Incarnation},
};

/// Number of daemons that are told of a stream directly.
pub const REPLICAS: usize = 3;

/// How long the first event of a stream waits until another daemon knows its origin.
const TELL_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a daemon may take to answer until the next one is asked instead: time to open a connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// The other daemons that may keep the origin of a stream, the preferred ones first.
pub fn candidates(context: &Context, attempt: u64) -> Vec<String> {
    let plan = context.plan.load();
    plan.ranked_hubs(attempt).into_iter().map(str::to_owned).collect()
}

/// Tells [`REPLICAS`] daemons which build began a stream, and returns once the first of them knows it.
pub async fn tell(context: &Arc<Context>, entry: &Entry) {
    let names = candidates(context, entry.attempt);
    if names.is_empty() {
        return;
    }
    let (sender, first_told) = oneshot::channel();
    let (shared, entry) = (context.clone(), entry.clone());
    tokio::spawn(async move {
        let mut sender = Some(sender);
        let keep = |name| keep(&shared, name, &entry);
        call_in_turn(names, REPLICAS, keep, |()| {
            if let Some(sender) = sender.take() {
                // The receiver may have given up.
                let _ = sender.send(());
            }
            false
        })
        .await;
    });
    if !matches!(time::timeout(TELL_TIMEOUT, first_told).await, Ok(Ok(()))) {
        info!("no other daemon confirmed yet that it knows which build began a stream");
    }
}

/// Keeps what another daemon has told this one of its stream. In a large fleet hubs also write it to the store:
/// they are few, so that each may write more often.
pub fn keep_for_other(context: &Context, entry: &Entry) {
    let (mut origins, now) = (context.origins(), context.now());
    match context.plan.load().daemons > FULL_MESH_DAEMONS {
        true => origins.keep_for_other(entry, now),
        false => origins.keep(entry, now),
    }
}

async fn keep(context: &Context, name: String, entry: &Entry) -> Option<()> {
    let address = context.members.peer_address(&name)?;
    let entry = entry.clone();
    let make = |client: ExchangeClient, call| async move { client.keep_origin(call, entry).await };
    context.connections.call(address, ANSWER_TIMEOUT, make).await
}

/// What a daemon knows of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lookup {
    /// The process that answers; 0 for daemons that don't claim builds.
    pub incarnation: Incarnation,
    /// The build that began the stream, if the daemon knows it.
    pub build: Option<Build>,
}

/// What other daemons have answered.
#[derive(Debug, Default)]
pub struct Answers {
    /// The build that began the stream, if one of them knows it.
    pub build: Option<Build>,
    /// Those that don't know it, and their processes.
    pub unknowing: Vec<(String, Incarnation)>,
}

impl Answers {
    /// The process of a daemon that doesn't know the stream, if it has answered.
    pub fn unknowing_process(&self, daemon: &str) -> Option<Incarnation> {
        let mut unknowing = self.unknowing.iter();
        unknowing.find(|(name, _)| name == daemon).map(|(_, incarnation)| *incarnation)
    }
}

/// Asks other daemons which build began a stream, those first that were probably told, until one of them
/// knows or [`ORIGIN_WAIT`] is over.
pub async fn ask(context: &Context, attempt: u64) -> Answers {
    ask_daemons(context, candidates(context, attempt), attempt).await
}

/// Asks these daemons which build began a stream, until one of them knows or [`ORIGIN_WAIT`] is over.
pub async fn ask_daemons(context: &Context, names: Vec<String>, attempt: u64) -> Answers {
    let mut answers = Answers::default();
    let count = names.len();
    let find = |name| find(context, name, attempt);
    let asked = call_in_turn(names, count, find, |(name, lookup)| {
        match lookup.build {
            Some(build) => answers.build = Some(build),
            None => answers.unknowing.push((name, lookup.incarnation)),
        }
        answers.build.is_some()
    });
    // Late answers don't matter any more.
    let _ = time::timeout(ORIGIN_WAIT, asked).await;
    answers
}

async fn find(context: &Context, name: String, attempt: u64) -> Option<(String, Lookup)> {
    let address = context.members.peer_address(&name)?;
    let names_process = context.members.protocol(&name).is_some_and(|it| it >= CLAIM_PROTOCOL);
    let make = |client: ExchangeClient, call| async move {
        if names_process {
            return client.look_up_origin(call, attempt).await;
        }
        let build = client.find_origin(call, attempt).await?;
        Ok(Lookup { incarnation: Incarnation::default(), build })
    };
    let lookup = context.connections.call(address, ANSWER_TIMEOUT, make).await?;
    Some((name, lookup))
}

/// Calls daemons, [`REPLICAS`] at a time, until `count` have answered or `is_done` says so of an answer.
async fn call_in_turn<T, F: Future<Output = Option<T>>>(
    names: Vec<String>,
    count: usize,
    call: impl Fn(String) -> F,
    mut is_done: impl FnMut(T) -> bool,
) {
    let mut names = names.into_iter();
    let mut answered = 0;
    let mut running: FuturesUnordered<_> = names.by_ref().take(REPLICAS).map(&call).collect();
    while let Some(answer) = running.next().await {
        if let Some(answer) = answer {
            answered += 1;
            if is_done(answer) {
                return;
            }
        }
        if answered + running.len() < count {
            running.extend(names.next().map(&call));
        }
    }
}
