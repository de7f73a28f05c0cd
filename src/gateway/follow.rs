//! Follows the topics of the store, and keeps what they hold.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    gateway::{
        context::Context,
        dialect::OperatorRow,
        document::Document,
        store::{Page, Row, StoreError, Topic},
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// The first wait after a call that failed; doubled for each further one.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// The longest wait after a call that failed: a daemon must be ready within a second of the
/// store's return.
const RETRY_LONGEST: Duration = Duration::from_millis(500);

/// How long a call for changes of the operator's rows waits for one: the document must be confirmed
/// well within the time in which a key that was taken away may be served (platform: 5 s).
const CONFIRM_WAIT: Duration = Duration::from_millis(1_800);

/// How long a call for other changes waits; a connection that goes silent is broken earlier.
const WAIT: Duration = Duration::from_millis(5_000);

/// The wait after changes of upstreams or daemons, for each daemon of the fleet: all of them
/// together make at most 67 calls a second for a topic, however often rows change.
const GATHER_EACH: Duration = Duration::from_millis(15);

/// The longest such wait: half of the time after which an upstream that drains must get no more
/// calls (platform: 2 s).
const GATHER_LONGEST: Duration = Duration::from_millis(1_000);

/// The key prefix of the daemons' rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Follows one topic until `stop`.
pub async fn follow(context: Arc<Context>, topic: Topic, stop: CancellationToken) {
    let mut follower = Follower { context, topic, version: None, failures: 0 };
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = follower.step() => {}
        }
    }
}

struct Follower {
    context: Arc<Context>,
    topic: Topic,
    /// The newest transaction that was taken into account; `None` before a whole listing.
    version: Option<u64>,
    failures: u32,
}

impl Follower {
    async fn step(&mut self) {
        let asked = self.context.now();
        let result = match self.version {
            None => self.list().await,
            Some(after) => {
                let wait = if self.topic == Topic::Operator { CONFIRM_WAIT } else { WAIT };
                self.context.store.changes(self.topic, after, wait).await
            }
        };
        match result {
            Ok(page) => {
                let changed = !page.rows.is_empty();
                self.answered(page, asked);
                if changed && self.topic != Topic::Operator {
                    time::sleep(gather(self.context.members.count())).await;
                }
            }
            Err(StoreError::Compacted) => {
                info!(topic = ?self.topic, "changes were dropped; listing anew");
                self.version = None;
            }
            Err(failure) => self.failed(&failure).await,
        }
    }

    async fn list(&self) -> Result<Page, StoreError> {
        let mut whole = self.context.store.list(self.topic, None).await?;
        while whole.more {
            let Some(last) = whole.rows.last().map(|it| it.key.clone()) else {
                break;
            };
            let next = self.context.store.list(self.topic, Some(&last)).await?;
            whole.rows.extend(next.rows);
            whole.more = next.more;
        }
        Ok(whole)
    }

    fn answered(&mut self, page: Page, asked: Time) {
        if std::mem::take(&mut self.failures) > 0 {
            info!(topic = ?self.topic, "the store answers again");
        }
        let whole = self.version.is_none();
        self.version = Some(self.version.unwrap_or(0).max(page.version));
        match self.topic {
            Topic::Operator => self.operator(&page.rows, asked),
            Topic::Upstreams => self.upstreams(&page.rows, whole),
            Topic::Fleet => self.fleet(&page.rows, whole),
            Topic::Leases => {}
        }
    }

    async fn failed(&mut self, failure: &StoreError) {
        if self.failures == 0 {
            warn!(topic = ?self.topic, %failure, "the store does not answer");
        }
        if self.topic == Topic::Upstreams {
            self.context.change_roster(|it| it.store_lost());
        }
        let wait = (RETRY_FIRST * 2_u32.pow(self.failures.min(8))).min(RETRY_LONGEST);
        self.failures += 1;
        time::sleep(wait.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }

    fn operator(&self, rows: &[Row], asked: Time) {
        let mut sound = true;
        for row in rows.iter().filter(|it| !it.removed) {
            match self.context.schema.decode_operator_row(row) {
                Ok(OperatorRow::Document(document)) => apply_document(&self.context, document, row),
                Ok(OperatorRow::Weights(model, version)) => self.weights(&model, version),
                Ok(OperatorRow::Other) => {}
                Err(error) => {
                    sound = false;
                    warn!(key = row.key, version = row.version, %error, "row not decoded");
                }
            }
        }
        if sound && self.context.document.load().is_some() {
            self.context.freshness.confirm(asked);
        }
    }

    fn weights(&self, model: &Model, version: Version) {
        let now = self.context.now();
        let mut progress = (**self.context.progress.load()).clone();
        if progress.set_target(model, version, now) {
            info!(model = model.as_str(), version = version.0, "weights wanted");
            self.context.progress.store(Arc::new(progress));
        }
    }

    fn upstreams(&self, rows: &[Row], whole: bool) {
        let context = &self.context;
        let now = context.now();
        context.change_roster(|roster| {
            roster.store_answered(now);
            if whole {
                let names: Vec<_> = rows.iter().map(|it| Upstream::from(&*it.key)).collect();
                roster.retain(&names);
            }
            for row in rows {
                let name = Upstream::from(&*row.key);
                if row.removed {
                    info!(upstream = row.key, "entry removed");
                    roster.remove(&name);
                    continue;
                }
                match context.schema.decode_upstream(row) {
                    Ok(record) => {
                        if record.draining {
                            info!(upstream = row.key, "draining");
                        }
                        roster.insert(&name, record);
                    }
                    Err(error) => {
                        warn!(upstream = row.key, %error, "entry not decoded");
                        roster.remove(&name);
                    }
                }
            }
            roster.expire(now);
        });
    }

    fn fleet(&self, rows: &[Row], whole: bool) {
        let context = &self.context;
        if whole {
            context.members.clear();
        }
        for row in rows {
            if let Some(name) = row.key.strip_prefix(MEMBER_PREFIX) {
                context.members.learn(name, row.value.as_deref());
            }
        }
    }
}

/// How long a daemon of so many lets further changes gather before it asks for them.
pub fn gather(daemons: usize) -> Duration {
    (GATHER_EACH * u32::try_from(daemons).unwrap_or(u32::MAX)).min(GATHER_LONGEST)
}

/// Puts a document in force unless a newer one is.
pub fn apply_document(context: &Context, document: Arc<Document>, source: &Row) {
    let known = context.document.load().as_ref().map(|it| it.version);
    if known.is_some_and(|it| it >= document.version) {
        return;
    }
    info!(version = document.version, before = known, "configuration in force");
    context.source.store(Some(Arc::new(source.clone())));
    context.document.store(Some(document));
}

/// Forgets entries that have run out, after the store's return.
pub async fn expire_upstreams(context: Arc<Context>, stop: CancellationToken) {
    /// The time between looks; short beside the time for which entries are kept.
    const EVERY: Duration = Duration::from_millis(250);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(EVERY) => {}
        }
        let now = context.now();
        context.change_roster(|it| it.expire(now));
    }
}
