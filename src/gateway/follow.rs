//! Follows the store's topics and applies their rows, whether they come from the store or from
//! another daemon.
//!
//! In a large fleet only a few daemons, the watchers, ask the store as long as all goes well. The
//! others get the rows through the [`exchange`](crate::gateway::exchange), with the time at which a
//! watcher had asked for them, and ask the store themselves when that is too long ago, or when the rows
//! are too large for messages; see [`fetch`](crate::gateway::exchange::fetch).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use metrics::{counter, histogram};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    gateway::{
        bar,
        context::Context,
        dialect,
        document::Document,
        exchange,
        mirror::Delta,
        rollout::Target,
        store::{self, Era, Page, Position, Row, Topic},
        topology::FULL_MESH_DAEMONS,
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
    route::pool::name_hash,
};

/// Initial delay after a failed call; doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call: a daemon must be ready within a second of the store's
/// recovery.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// The same for a daemon that is no watcher, and hears of the store's recovery from watchers.
const RETRY_DELAY_MAX_UNWATCHED: Duration = Duration::from_millis(2_000);

/// Longest long poll for the operator's rows.
const MAX_OPERATOR_POLL_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The same as a share of the time during which a revoked key may still be accepted
/// (`Settings::revocation`). A poll confirms the document as of its sending, so that a confirmation gets
/// two polls old before the next one arrives.
const OPERATOR_POLL_SHARE: f64 = 0.36;

/// Age of the operator's rows from which changed ones may have been there for a while. Rows are as old
/// as the last complete long poll when the next one, which also takes its whole time, brings a change.
const MAX_OPERATOR_GAP: Duration = Duration::from_millis(4_500);

/// Long-poll timeout for other topics. A poll that reached the store during an outage is never answered, and
/// a daemon hears of nothing until it times out.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Age of the operator's rows from which a daemon that is no watcher asks the store itself, as a share
/// of `Settings::revocation`: late enough that watchers' long polls and the exchange don't reach it,
/// early enough that the answer arrives before calls that need a key must be refused.
const OPERATOR_MAX_AGE_SHARE: f64 = 0.56;

/// The same for other topics, which nothing must confirm within a time. It matters only if the
/// exchange fails.
const MAX_AGE: Duration = Duration::from_millis(9_000);

/// Minimum time between two reads of rows that are too large for messages, so that documents in quick
/// succession are read together.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// Time that a daemon which is no watcher waits for the first rows of a topic from its hub.
const FIRST_ROWS_WAIT: Duration = Duration::from_millis(800);

/// Random addition to the waits of daemons that are no watchers, so that the first of them to ask
/// the store saves the others their call.
const AGE_JITTER: Duration = Duration::from_millis(700);

/// Time for which daemons that all start for the first time wait until the others are registered.
const REGISTRATION_WAIT: Duration = Duration::from_millis(450);

/// Interval at which a daemon that is no watcher checks the age of its rows.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Gap between two confirmations of the upstreams' rows from which the store counts as having been
/// unavailable, if the rows come from other daemons. Without an outage it is that of a long poll and a batch
/// delay, and what the exchange takes.
const OUTAGE_GAP: Duration = Duration::from_millis(5_000);

/// Delay after changes of upstreams or daemons, per daemon in the fleet: together, up to 67 daemons
/// make at most 67 calls a second for a topic, however often rows change. In a larger fleet,
/// [`BATCH_DELAY_MAX`] applies, and each daemon makes at most one call a second.
const BATCH_DELAY_PER_DAEMON: Duration = Duration::from_millis(15);

/// Maximum batch delay: half of the time after which a draining upstream must receive no more calls
/// (2 s on the platform).
const BATCH_DELAY_MAX: Duration = Duration::from_millis(1_000);

/// A poll that takes longer has waited for a change.
const SHORT_POLL: Duration = Duration::from_millis(50);

/// Key prefix of the daemons' rows.
pub const MEMBER_PREFIX: &str = "member/";

/// Follows one topic until `stop` is cancelled.
pub async fn follow(context: Arc<Context>, topic: Topic, stop: CancellationToken) {
    let mut follower =
        Follower { context, topic, must_list: false, failures: 0, has_batched: false };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follower.run() => {}
    }
}

/// Whether a daemon should ask the store for a topic. It has waited since `started_at`.
pub fn is_due(context: &Context, topic: Topic, started_at: Time, jitter: Duration) -> bool {
    if context.plan.load().is_watcher {
        return true;
    }
    let max_age = match topic {
        Topic::Operator => context.settings.revocation.mul_f64(OPERATOR_MAX_AGE_SHARE).min(MAX_AGE),
        _ => MAX_AGE,
    };
    let (now, head) = (context.now(), context.mirror.head(topic));
    if context.notices.get(topic, head.map(|it| it.position)).is_some()
        && now.since(started_at) >= FETCH_PAUSE
    {
        return true;
    }
    match head {
        Some(head) => now.since(head.confirmed_at) >= max_age + jitter,
        None if topic == Topic::Fleet => true,
        None => now.since(started_at) >= FIRST_ROWS_WAIT + jitter,
    }
}

struct Follower {
    context: Arc<Context>,
    topic: Topic,
    /// Whether changes are missing, so that all rows must be listed.
    must_list: bool,
    failures: u32,
    /// Whether the last poll brought changes, so that this one came after a delay.
    has_batched: bool,
}

impl Follower {
    async fn run(&mut self) {
        self.wait_for_members().await;
        loop {
            self.wait_until_due().await;
            if self.failures > 0 && exchange::fetch::fetch(&self.context, self.topic).await {
                continue;
            }
            self.poll().await;
        }
    }

    /// Waits until the other daemons are known, which decides whether this one is a watcher.
    async fn wait_for_members(&self) {
        let context = &self.context;
        if self.topic == Topic::Fleet {
            if context.settings.is_first_start {
                time::sleep(REGISTRATION_WAIT).await;
            }
            return;
        }
        while context.mirror.head(Topic::Fleet).is_none() {
            time::sleep(AGE_CHECK_INTERVAL).await;
        }
        exchange::update_plan(context);
    }

    /// Returns at once if this daemon is a watcher, or else when its rows are too old.
    async fn wait_until_due(&self) {
        let started_at = self.context.now();
        let jitter = AGE_JITTER.mul_f64(rand::random::<f64>());
        while !is_due(&self.context, self.topic, started_at, jitter) {
            time::sleep(AGE_CHECK_INTERVAL).await;
        }
    }

    async fn poll(&mut self) {
        let requested_at = self.context.now();
        let latest_era = self.context.eras.latest();
        let head = self.context.mirror.head(self.topic).map(|it| it.position);
        let head = head.filter(|it| !self.must_list && Some(it.era) >= latest_era);
        let after = head.map(|it| it.version);
        let is_watcher = self.context.plan.load().is_watcher;
        let (polled_at, mut has_waited) = (time::Instant::now(), false);
        let result = match head {
            None => self.list_all().await,
            Some(head) => {
                let timeout = match self.topic {
                    _ if !is_watcher => Duration::ZERO,
                    // Whether the store is back must be known soon.
                    _ if self.failures > 0 => Duration::ZERO,
                    Topic::Operator => operator_poll_timeout(self.context.settings.revocation),
                    _ => POLL_TIMEOUT,
                };
                // Others may learn of a later era while this call waits.
                let result = tokio::select! {
                    result = self.context.store.changes(self.topic, head.version, timeout) => result,
                    () = self.context.eras.wait_after(head.era) => return,
                };
                has_waited = polled_at.elapsed() >= SHORT_POLL;
                result
            }
        };
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        counter!("tealturn_store_reads_total", "outcome" => outcome).increment(1);
        match result {
            Ok(page) => {
                if std::mem::take(&mut self.failures) > 0 {
                    info!(topic = ?self.topic, "the store responds again");
                }
                // Rows that the head continues in another era tell nothing about the missing ones.
                self.must_list = head.is_some_and(|it| it.era != page.era);
                self.context.eras.observe(page.era, self.context.now());
                if self.must_list {
                    return;
                }
                let latest_era = self.context.eras.latest();
                if latest_era > Some(page.era) {
                    let failure = format!("the answer is of era {}, not {latest_era:?}", page.era);
                    let failure = store::Error::Malformed(failure);
                    return self.back_off(&failure, requested_at, is_watcher).await;
                }
                let changed = !page.rows.is_empty();
                let is_in_turn = std::mem::replace(&mut self.has_batched, changed) && !has_waited;
                if self.topic == Topic::Upstreams {
                    self.context.change_roster(|it| it.store_answered(self.context.now()));
                }
                let position = Position { era: page.era, version: page.version };
                log_rows(self.topic, &page.rows, "store");
                apply(&self.context, self.topic, &page.rows, after, position, requested_at);
                if changed && self.topic != Topic::Operator {
                    time::sleep(self.batch_delay(is_in_turn)).await;
                }
            }
            Err(store::Error::Compacted) => {
                info!(topic = ?self.topic, "changes are no longer available; listing the topic again");
                self.must_list = true;
            }
            Err(failure) => {
                // Pages of a listing are smaller than the changes of a long gap.
                self.must_list |= matches!(failure, store::Error::Oversized(_));
                self.back_off(&failure, requested_at, is_watcher).await;
            }
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
            if next.era != page.era {
                page = self.context.store.list(self.topic, None).await?;
                continue;
            }
            page.rows.extend(next.rows);
            page.has_more = next.has_more;
        }
        Ok(page)
    }

    /// How long to wait for more changes before the next poll. All watchers that wait for a change get it at
    /// the same time. They delay the next poll by different times then, and so take turns as long as rows
    /// change all the time (`is_in_turn`).
    fn batch_delay(&self, is_in_turn: bool) -> Duration {
        let plan = self.context.plan.load();
        let delay = batch_delay(self.context.members.count());
        match !is_in_turn && plan.is_watcher && plan.daemons > FULL_MESH_DAEMONS {
            true => stagger(delay, plan.rank, plan.watchers),
            false => delay,
        }
    }

    async fn back_off(&mut self, failure: &store::Error, requested_at: Time, is_watcher: bool) {
        if self.failures == 0 {
            warn!(topic = ?self.topic, %failure, "call to the store failed; retrying");
        }
        if self.topic == Topic::Upstreams {
            self.context.change_roster(|it| it.store_lost(requested_at));
        }
        let max_delay = match is_watcher {
            true => RETRY_DELAY_MAX,
            false => RETRY_DELAY_MAX_UNWATCHED,
        };
        let delay = (RETRY_DELAY_MIN * 2_u32.pow(self.failures.min(8))).min(max_delay);
        self.failures += 1;
        if exchange::fetch::fetch(&self.context, self.topic).await {
            return;
        }
        time::sleep(delay.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }
}

/// Tells operators where changes of their rows came from: the store, or a daemon.
pub fn log_rows(topic: Topic, rows: &[Row], source: &str) {
    if topic == Topic::Operator && !rows.is_empty() {
        let bytes = rows.iter().map(Row::bytes).sum::<usize>();
        info!(rows = rows.len(), bytes, source, "operator rows received");
    }
}

/// Applies rows that reflect the store up to `position`, and were current at `confirmed_at`. `after`
/// is the transaction of the same era that they continue; `None` if they are all rows. Rows older
/// than those that this daemon has, or of an era that has ended, are ignored.
pub fn apply(
    context: &Context,
    topic: Topic,
    rows: &[Row],
    after: Option<u64>,
    position: Position,
    confirmed_at: Time,
) {
    context.eras.observe(position.era, context.now());
    if context.eras.latest() > Some(position.era) {
        return;
    }
    let previous = context.mirror.head(topic);
    let Some(delta) = context.mirror.merge(topic, rows, after, position, confirmed_at) else {
        return;
    };
    match topic {
        Topic::Operator => {
            let same_era = previous.filter(|it| it.position.era == position.era);
            let unchanged_until = same_era.map(|it| it.confirmed_at);
            apply_operator_rows(context, &delta, position.era, confirmed_at, unchanged_until);
        }
        Topic::Upstreams => {
            let gap = previous.map(|it| confirmed_at.since(it.confirmed_at));
            let was_lost = delta.restored || gap.is_some_and(|it| it >= OUTAGE_GAP);
            apply_upstream_rows(context, &delta, was_lost.then_some(confirmed_at));
        }
        Topic::Fleet => {
            context.members.apply_rows(&delta);
            // The address of a daemon that is new may be that of a registered upstream.
            context.change_roster(|_| ());
            bar::apply_rows(context, &delta);
            // A daemon that starts serves calls as soon as it knows the others.
            if previous.is_none() {
                exchange::update_plan(context);
            }
        }
        Topic::Leases | Topic::Streams | Topic::Claims => {}
    }
    if previous.is_some() && !delta.rows.is_empty() {
        context.urgent.notify_one();
    }
}

/// The document and the targets stay active when their rows are removed, or when the store lost
/// them. A document that the store lost is confirmed again once the operator has written it again,
/// or a later one. `unchanged_until` is when the rows before were current, if they are of this era.
fn apply_operator_rows(
    context: &Context,
    delta: &Delta,
    era: Era,
    confirmed_at: Time,
    unchanged_until: Option<Time>,
) {
    let mut all_decoded = true;
    context.documents.enter(era);
    let started_at = Instant::now();
    for row in delta.rows.iter().filter(|it| !it.removed) {
        match context.schema.decode_operator_row(row) {
            Ok(dialect::Directive::Document(document)) => {
                context.documents.stored(era, document.version);
                apply_document(context, document);
            }
            Ok(dialect::Directive::Weights(model, version)) => {
                set_target(context, &model, version, unchanged_until);
            }
            Ok(dialect::Directive::Other) => {}
            Err(error) => {
                all_decoded = false;
                let (key, version) = (row.key.as_str(), row.version);
                warn!(key, version, %error, "ignored an invalid operator row");
            }
        }
    }
    if !delta.rows.is_empty() {
        histogram!("tealturn_document_seconds").record(started_at.elapsed());
    }
    if all_decoded && context.documents.is_latest_stored() {
        context.freshness.confirm(confirmed_at);
    }
}

/// Sets a target that the operator's rows name, which did not until `unchanged_until`.
///
/// If that is long ago or not known, as in the first listing, or if the operator only wrote a known
/// target again, the target may have been set for a while. Then calls may start on older weights only
/// as long as this daemon is not held to the deadline, or as if the target had been set at the
/// earliest possible time.
fn set_target(context: &Context, model: &Model, version: Version, unchanged_until: Option<Time>) {
    let (now, settings) = (context.now(), &context.settings);
    let is_known = context.progress.load().has_target(model, version);
    let unchanged_until = unchanged_until.filter(|_| !is_known).unwrap_or_default();
    let target = match now.since(unchanged_until) < MAX_OPERATOR_GAP {
        true => Target { version, since: now, is_assumed: false },
        false => {
            let assumed = (now + settings.steady_after) - settings.weights_deadline;
            Target { version, since: assumed.max(unchanged_until).min(now), is_assumed: true }
        }
    };
    context.learn_target(model, target);
}

/// `recovered_at` is set if these are the first rows after an outage of the store.
fn apply_upstream_rows(context: &Context, delta: &Delta, recovered_at: Option<Time>) {
    let now = context.now();
    context.change_roster(|roster| {
        if let Some(recovered_at) = recovered_at {
            roster.store_lost(recovered_at);
            roster.store_answered(now);
        }
        for row in &delta.rows {
            let name = Upstream::from(&*row.key);
            if let Some(previous) = roster.record(&name) {
                let service = name_hash(previous.service.as_str());
                context.origins().record_build(service, &previous.build, now);
            }
            if row.removed {
                info!(upstream = row.key, "upstream's registration was removed");
                roster.remove(&name, now);
                continue;
            }
            match context.schema.decode_upstream(row) {
                Ok(record) if delta.restored => roster.restore(&name, record, now),
                Ok(record) => {
                    let document = context.document.load();
                    if document.as_ref().is_some_and(|it| !it.has_service(&record.service)) {
                        let (upstream, service) = (row.key.as_str(), record.service.as_str());
                        warn!(
                            upstream,
                            service, "registration of a service that is not configured"
                        );
                    }
                    if record.draining {
                        info!(upstream = row.key, "upstream is draining");
                    }
                    roster.insert(&name, record);
                }
                Err(error) => {
                    let upstream = row.key.as_str();
                    warn!(upstream, %error, "invalid registration; removing the upstream");
                    roster.remove(&name, now);
                }
            }
        }
        roster.expire(now);
    });
    for service in context.view.load().services() {
        context.publish_origins(service);
    }
}

/// How long to wait for more changes before the next poll in a fleet of `daemons` daemons.
pub fn batch_delay(daemons: usize) -> Duration {
    (BATCH_DELAY_PER_DAEMON * u32::try_from(daemons).unwrap_or(u32::MAX)).min(BATCH_DELAY_MAX)
}

/// The part of `delay` after which the watcher of this rank among several polls again, the first one last.
pub fn stagger(delay: Duration, rank: usize, watchers: usize) -> Duration {
    let turn = watchers.saturating_sub(rank).max(1);
    delay.mul_f64(turn as f64 / watchers.max(turn) as f64)
}

/// Makes `document` the active document unless the active one is as new or newer.
fn apply_document(context: &Context, document: Arc<Document>) {
    let active_version = context.document.load().as_ref().map(|it| it.version);
    if active_version.is_some_and(|it| it >= document.version) {
        return;
    }
    info!(version = document.version, before = active_version, "activated a newer document");
    context.document.store(Some(document));
    // It may have other services.
    context.change_roster(|_| ());
}

/// Periodically removes upstreams whose registrations are gone from the store. Those that expired
/// while the store was unavailable are kept for a while after its recovery; see
/// [`roster`](crate::gateway::roster).
pub async fn expire_upstreams(context: Arc<Context>, stop: CancellationToken) {
    /// Short compared with the lifetime of registrations.
    const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
    /// The resolution of timers.
    const MIN_EXPIRY_INTERVAL: Duration = Duration::from_millis(1);
    let mut pause = EXPIRY_INTERVAL;
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = time::sleep(pause) => {}
        }
        let next = context.expire_upstreams();
        let next = next.map_or(EXPIRY_INTERVAL, |it| it.since(context.now()));
        pause = next.clamp(MIN_EXPIRY_INTERVAL, EXPIRY_INTERVAL);
    }
}

/// The long-poll timeout for the operator's rows if a revoked key may be accepted for `revocation`.
fn operator_poll_timeout(revocation: Duration) -> Duration {
    revocation.mul_f64(OPERATOR_POLL_SHARE).min(MAX_OPERATOR_POLL_TIMEOUT)
}
