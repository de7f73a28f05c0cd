//! Follows the store's topics and mirrors their contents in memory.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    gateway::{
        context::Context,
        dialect,
        document::Document,
        store::{self, Page, Row, Topic},
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// Initial delay after a failed call; doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call: a daemon must be ready within a second of the store's
/// recovery.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// Long-poll timeout for the operator's rows: the document must be confirmed well within the time
/// during which a revoked key may still be accepted (`Settings::revocation`, 5 s on the platform).
const OPERATOR_POLL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Long-poll timeout for other topics. [`http::client`](crate::http::client) closes a connection
/// earlier if the other side no longer acknowledges TCP segments.
const POLL_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Delay after changes of upstreams or daemons, per daemon in the fleet: together, up to 67 daemons
/// make at most 67 calls a second for a topic, however often rows change. In a larger fleet,
/// [`BATCH_DELAY_MAX`] applies, and each daemon makes at most one call a second.
const BATCH_DELAY_PER_DAEMON: Duration = Duration::from_millis(15);

/// Maximum batch delay: half of the time after which a draining upstream must receive no more calls
/// (2 s on the platform).
const BATCH_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// Key prefix of the daemons' rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Follows one topic until `stop` is cancelled.
pub async fn follow(context: Arc<Context>, topic: Topic, stop: CancellationToken) {
    let mut follower = Follower { context, topic, version: None, failures: 0 };
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = follower.poll() => {}
        }
    }
}

struct Follower {
    context: Arc<Context>,
    topic: Topic,
    /// The latest transaction applied; `None` until the topic has been listed in full.
    version: Option<u64>,
    failures: u32,
}

impl Follower {
    async fn poll(&mut self) {
        let requested_at = self.context.now();
        let result = match self.version {
            None => self.list_all().await,
            Some(after) => {
                let timeout = if self.topic == Topic::Operator {
                    OPERATOR_POLL_TIMEOUT
                } else {
                    POLL_TIMEOUT
                };
                self.context.store.changes(self.topic, after, timeout).await
            }
        };
        match result {
            Ok(page) => {
                let changed = !page.rows.is_empty();
                self.apply_page(page, requested_at);
                if changed && self.topic != Topic::Operator {
                    time::sleep(batch_delay(self.context.members.count())).await;
                }
            }
            Err(store::Error::Compacted) => {
                info!(topic = ?self.topic, "changes were compacted; listing the topic again");
                self.version = None;
            }
            Err(failure) => self.back_off(&failure).await,
        }
    }

    async fn list_all(&self) -> Result<Page, store::Error> {
        // The first page's version is kept, so that changes made during the listing are read again.
        let mut page = self.context.store.list(self.topic, None).await?;
        while page.has_more {
            let Some(last) = page.rows.last().map(|it| it.key.clone()) else {
                break;
            };
            let next = self.context.store.list(self.topic, Some(&last)).await?;
            page.rows.extend(next.rows);
            page.has_more = next.has_more;
        }
        Ok(page)
    }

    fn apply_page(&mut self, page: Page, requested_at: Time) {
        if std::mem::take(&mut self.failures) > 0 {
            info!(topic = ?self.topic, "the store responds again");
        }
        let is_full_listing = self.version.is_none();
        self.version = Some(self.version.unwrap_or(0).max(page.version));
        match self.topic {
            Topic::Operator => self.apply_operator_rows(&page.rows, requested_at),
            Topic::Upstreams => self.apply_upstream_rows(&page.rows, is_full_listing),
            Topic::Fleet => self.apply_fleet_rows(&page.rows, is_full_listing),
            Topic::Leases => {}
        }
    }

    async fn back_off(&mut self, failure: &store::Error) {
        if self.failures == 0 {
            warn!(topic = ?self.topic, %failure, "call to the store failed; retrying");
        }
        if self.topic == Topic::Upstreams {
            self.context.change_roster(|it| it.store_lost());
        }
        let delay = (RETRY_DELAY_MIN * 2_u32.pow(self.failures.min(8))).min(RETRY_DELAY_MAX);
        self.failures += 1;
        time::sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }

    fn apply_operator_rows(&self, rows: &[Row], requested_at: Time) {
        let mut all_decoded = true;
        // The document and the targets stay active when their rows are removed.
        for row in rows.iter().filter(|it| !it.removed) {
            match self.context.schema.decode_operator_row(row) {
                Ok(dialect::Directive::Document(document)) => {
                    apply_document(&self.context, document, row)
                }
                Ok(dialect::Directive::Weights(model, version)) => self.set_target(&model, version),
                Ok(dialect::Directive::Other) => {}
                Err(error) => {
                    all_decoded = false;
                    warn!(
                        key = row.key,
                        version = row.version,
                        %error,
                        "ignored an invalid operator row"
                    );
                }
            }
        }
        if all_decoded && self.context.document.load().is_some() {
            self.context.freshness.confirm(requested_at);
        }
    }

    fn set_target(&self, model: &Model, version: Version) {
        let now = self.context.now();
        let mut progress = (**self.context.progress.load()).clone();
        if progress.set_target(model, version, now) {
            info!(model = model.as_str(), version = version.0, "new target version of weights");
            self.context.progress.store(Arc::new(progress));
        }
    }

    fn apply_upstream_rows(&self, rows: &[Row], is_full_listing: bool) {
        let context = &self.context;
        let now = context.now();
        context.change_roster(|roster| {
            roster.store_answered(now);
            if is_full_listing {
                let names: Vec<_> = rows.iter().map(|it| Upstream::from(&*it.key)).collect();
                roster.retain(&names);
            }
            for row in rows {
                let name = Upstream::from(&*row.key);
                if row.removed {
                    info!(upstream = row.key, "upstream's registration was removed");
                    roster.remove(&name);
                    continue;
                }
                match context.schema.decode_upstream(row) {
                    Ok(record) => {
                        if record.draining {
                            info!(upstream = row.key, "upstream is draining");
                        }
                        roster.insert(&name, record);
                    }
                    Err(error) => {
                        warn!(
                            upstream = row.key,
                            %error,
                            "invalid registration; removing the upstream"
                        );
                        roster.remove(&name);
                    }
                }
            }
            roster.expire(now);
        });
    }

    fn apply_fleet_rows(&self, rows: &[Row], is_full_listing: bool) {
        let context = &self.context;
        if is_full_listing {
            context.members.clear();
        }
        for row in rows {
            // Rows with other keys are ignored.
            if let Some(name) = row.key.strip_prefix(MEMBER_PREFIX) {
                context.members.apply_row(name, row.value.as_deref());
            }
        }
    }
}

/// How long to wait for more changes before the next poll in a fleet of `daemons` daemons.
pub fn batch_delay(daemons: usize) -> Duration {
    (BATCH_DELAY_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX)).min(BATCH_DELAY_MAX)
}

/// Makes `document` the active document unless the active one is as new or newer.
pub fn apply_document(context: &Context, document: Arc<Document>, row: &Row) {
    let active_version = context.document.load().as_ref().map(|it| it.version);
    if active_version.is_some_and(|it| it >= document.version) {
        return;
    }
    info!(version = document.version, before = active_version, "activated a newer document");
    context.document_row.store(Some(Arc::new(row.clone())));
    context.document.store(Some(document));
}

/// Periodically removes upstreams whose registrations are gone from the store. Those that expired
/// while the store was unavailable are kept for a while after its recovery; see
/// [`roster`](crate::gateway::roster).
pub async fn expire_upstreams(context: Arc<Context>, stop: CancellationToken) {
    /// Short compared with the lifetime of registrations.
    const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(EXPIRY_INTERVAL) => {}
        }
        let now = context.now();
        context.change_roster(|it| it.expire(now));
    }
}
