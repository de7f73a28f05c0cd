//! Carries the claims of idempotency keys to the table service and back.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use metrics::counter;
use rand::RngExt;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    kernel::{
        context::Context,
        id::{Request, Workspace},
        registry::{Component, Registration},
    },
    platform::table::{Failure, Outcome as Committed, Transaction},
    request::{
        once::{self, AGES, Answer, Call, Claim, Event, Now, Outcome, PRUNE_BATCH, Step},
        refusal::Refusal,
    },
    serve::state,
};

/// How often the process notes that it runs.
const TICK: Duration = Duration::from_secs(1);

/// Between two looks for rows to prune, drawn from this range in seconds.
const PRUNE_SECONDS: std::ops::Range<u64> = 60..180;

/// The first wait before a result is written again; it doubles up to [`SETTLE_WAIT_MAX`].
const SETTLE_WAIT: Duration = Duration::from_millis(200);

/// The longest wait before a result is written again.
const SETTLE_WAIT_MAX: Duration = Duration::from_secs(10);

/// Times that a result is written before it is given up; others then answer "unknown".
const SETTLE_TRIES: u32 = 12;

/// Results that wait to be written; beyond it others answer "unknown".
const SETTLE_WAITING: usize = 1_024;

struct Keys;

inventory::submit! {
    Registration { name: "idempotency_keys", make: || Box::new(Keys) }
}

/// What a claim led to.
pub enum Claimed {
    /// This attempt may send.
    Held(Holder),
    /// An earlier attempt's answer.
    Replay(Answer),
}

/// The right to send a request once.
pub struct Holder {
    context: Arc<Context>,
    claim: Claim,
}

/// Claims a key.
///
/// # Errors
///
/// Why the request may not be sent.
pub async fn claim(
    context: &Arc<Context>,
    token: Request,
    workspace: &Workspace,
    key: String,
    digest: String,
) -> Result<Claimed, Refusal> {
    let now = state::now(context);
    let received = context.serving.awake().received(now);
    let (mut claim, mut step) = Claim::new(Call {
        workspace: workspace.clone(),
        key,
        digest,
        token,
        daemon: context.settings.daemon.clone(),
        incarnation: context.incarnation,
        received,
    });
    loop {
        let event = match step {
            Step::Commit(transaction) => commit(context, &transaction).await,
            Step::Read(key) => match context.table.get(&key).await {
                Ok(row) => Event::Row(row),
                Err(Failure::Unavailable(_)) => Event::Unavailable,
                Err(Failure::Lost(_)) => Event::Lost,
            },
            Step::Hold => {
                let context = context.clone();
                return Ok(Claimed::Held(Holder { context, claim }));
            }
            Step::Replay(answer) => {
                counter!("tealturn_replays_total").increment(1);
                return Ok(Claimed::Replay(answer));
            }
            Step::Refuse(refusal) => return Err(refusal),
        };
        step = claim.on(event, state::now(context));
    }
}

impl Holder {
    /// Whether the request may still be sent. To be asked right before.
    pub fn may_send(&self) -> bool {
        self.claim.may_send(state::now(&self.context))
    }

    /// Tells the other daemons how the attempt ended. A caller that is told "not run" gets its
    /// answer right after this call.
    pub fn settle(self, outcome: Outcome) {
        let Some(transaction) = self.claim.settle(outcome) else {
            return;
        };
        let results = &self.context.serving.results;
        if results.len() >= SETTLE_WAITING {
            counter!("tealturn_results_dropped_total").increment(1);
            return;
        }
        let context = self.context.clone();
        results.spawn(async move { write(&context, &transaction).await });
    }

    /// The outcome of an attempt of which nothing was sent.
    pub fn not_run(&self) -> Outcome {
        Outcome::NotRun { told_s: state::now(&self.context).wall_s }
    }
}

async fn commit(context: &Context, transaction: &Transaction) -> Event {
    match context.table.commit(transaction).await {
        Ok(outcome) => Event::Commit(outcome),
        Err(Failure::Unavailable(_)) => Event::Unavailable,
        Err(Failure::Lost(_)) => Event::Lost,
    }
}

async fn write(context: &Context, transaction: &Transaction) {
    let mut wait = SETTLE_WAIT;
    for _ in 0..SETTLE_TRIES {
        // A conflict means that it was applied before, and its answer lost.
        if context.table.commit(transaction).await.is_ok() {
            return;
        }
        time::sleep(wait).await;
        wait = (wait * 2).min(SETTLE_WAIT_MAX);
    }
    counter!("tealturn_results_dropped_total").increment(1);
}

#[async_trait]
impl Component for Keys {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut until_prune = wait_for_prune();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = tick.tick() => {}
            }
            let now = state::now(&context);
            context.serving.awake().tick(now);
            until_prune -= 1;
            if until_prune == 0 {
                until_prune = wait_for_prune();
                let context = context.clone();
                tokio::spawn(async move { prune(&context, now).await });
            }
        }
        let serving = &context.serving;
        for tasks in [&serving.tasks, &serving.results] {
            tasks.close();
            tasks.wait().await;
        }
    }
}

fn wait_for_prune() -> u64 {
    rand::rng().random_range(PRUNE_SECONDS)
}

/// Removes a bounded number of old rows.
async fn prune(context: &Context, now: Now) {
    let Ok(rows) = context.table.scan(AGES, "", PRUNE_BATCH).await else {
        return;
    };
    for row in &rows {
        let Some(transaction) = once::prune(row, now.wall_s) else {
            return;
        };
        if let Ok(Committed::Committed { .. }) = context.table.commit(&transaction).await {
            counter!("tealturn_keys_pruned_total").increment(1);
        }
    }
}
