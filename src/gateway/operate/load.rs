//! Loading weights on one engine, from the order to completion.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::Semaphore, time};
use tracing::info;

use crate::{
    gateway::{
        context::Context,
        dialect::{self, Notice, Order},
        exchange::permit,
        permit::Purpose,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// Maximum time to monitor one load before the engine is scheduled again.
const LOAD_TIMEOUT: Duration = Duration::from_millis(6_000);

/// Delay between acquiring a permit and requesting the report that precedes the first order. The
/// loading status is published before, so that all daemons stop sending calls to the engine.
/// Slightly longer than `pulse::POLL_INTERVAL`, at which the daemons of a small fleet poll peers.
const STATUS_LEAD_TIME: Duration = Duration::from_millis(150);

/// Polling interval for the state of a loading engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);

/// Time without visible effect after which an order is sent again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(1_200);

/// A load of weights on one engine.
pub(super) struct Load {
    pub(super) context: Arc<Context>,
    pub(super) engine: Arc<Endpoint>,
    pub(super) model: Model,
    pub(super) version: Version,
    /// Limits the number of ordered loads. An engine that waits for a permit gets no new calls.
    pub(super) permits: Arc<Semaphore>,
    pub(super) fence: u64,
    /// Time after which no order may be sent, in microseconds.
    pub(super) order_deadline: Arc<AtomicU64>,
}

impl Load {
    /// Waits for a permit, orders the load and monitors it. The last value returned tells whether
    /// the engine has the weights.
    pub(super) async fn run(self) -> (Upstream, Model, Version, bool) {
        let _permit = self.permits.acquire().await;
        let monitor = time::timeout(LOAD_TIMEOUT, self.order_and_monitor());
        let loaded = monitor.await.unwrap_or(false);
        (self.engine.name.clone(), self.model, self.version, loaded)
    }

    /// Orders and monitors the load; returns whether the engine has the weights.
    async fn order_and_monitor(&self) -> bool {
        time::sleep(STATUS_LEAD_TIME).await;
        let mut ordered_at: Option<Time> = None;
        loop {
            // The first report decides on the order, the others only tell how far it is.
            let purpose = match ordered_at {
                None => Purpose::Report,
                Some(_) => Purpose::Call,
            };
            if !permit::obtain(&self.context, &self.engine, purpose).await {
                time::sleep(REPORT_INTERVAL).await;
                continue;
            }
            let asked_at = self.context.now();
            let report = self.context.engines.report(&self.engine).await;
            self.take_notice(report.notice, asked_at);
            if self.engine.health.is_leaving() {
                return false;
            }
            let Some(report) = report.content else {
                // After an order, the engine may be loading although its report is missing.
                if ordered_at.is_none() {
                    return false;
                }
                time::sleep(REPORT_INTERVAL).await;
                continue;
            };
            let loaded = report.weights.iter().find(|(it, _)| *it == self.model);
            let is_current = loaded.is_some_and(|(_, version)| *version >= self.version);
            if is_current && !report.busy {
                return true;
            }
            let now = self.context.now();
            let is_due = ordered_at.is_none_or(|it| now.since(it) >= ORDER_RETRY_INTERVAL);
            let may_order = is_due && !report.busy;
            if may_order && permit::obtain(&self.context, &self.engine, Purpose::Order).await {
                let now = self.context.now();
                let deadline = Time(self.order_deadline.load(Ordering::Acquire));
                if now >= deadline {
                    // The engine is scheduled again under a renewed lease.
                    return false;
                }
                let order = Order {
                    model: self.model.clone(),
                    version: self.version,
                    holder: self.context.settings.daemon.as_str().to_owned(),
                    fence: self.fence,
                    expected_orders: report.accepted_orders,
                };
                ordered_at = Some(now);
                let answer = self.context.engines.order(&self.engine, &order, deadline).await;
                self.take_notice(answer.notice, now);
                let accepted = answer.content;
                let name = self.engine.name.as_str();
                info!(
                    engine = name,
                    version = self.version.0,
                    ?accepted,
                    "tried to send a load order"
                );
                if let Some(dialect::Reply::Refused(_)) = accepted {
                    return false;
                }
            }
            time::sleep(REPORT_INTERVAL).await;
        }
    }

    fn take_notice(&self, notice: Option<Notice>, sent_at: Time) {
        if let Some(notice) = notice {
            self.context.take_notice(&self.engine, notice, sent_at);
        }
    }
}
