//! One engine's load of weights, from its order to its end.

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
        dialect::{Order, OrderResponse},
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Model, Upstream, Version},
    },
};

/// The longest time that one engine's load is followed before it is looked at anew.
const LOAD_LONGEST: Duration = Duration::from_millis(6_000);

/// How long before its order an engine is marked, so that all daemons stop sending there: a little
/// more than the time between the daemons' questions to each other.
const MARK_LEAD: Duration = Duration::from_millis(150);

/// The time between looks at an engine that loads.
const REPORT_EVERY: Duration = Duration::from_millis(150);

/// An order that shows no effect for this long is given again.
const ORDER_AGAIN: Duration = Duration::from_millis(1_200);

/// One engine's load, from its order to its end.
pub(super) struct Load {
    pub(super) context: Arc<Context>,
    pub(super) engine: Arc<Endpoint>,
    pub(super) model: Model,
    pub(super) version: Version,
    /// Room among the loads that have been ordered; an engine that waits for it drains.
    pub(super) slots: Arc<Semaphore>,
    pub(super) fence: u64,
    /// Orders may not be given later, in microseconds.
    pub(super) until: Arc<AtomicU64>,
}

impl Load {
    /// Orders the load when there is room, and follows it; tells whether the engine has the weights.
    pub(super) async fn run(self) -> (Upstream, Model, Version, bool) {
        let _slot = self.slots.acquire().await;
        let follow = time::timeout(LOAD_LONGEST, self.follow());
        let loaded = follow.await.unwrap_or(false);
        (self.engine.name.clone(), self.model, self.version, loaded)
    }

    /// Whether the engine has the weights in the end.
    async fn follow(&self) -> bool {
        time::sleep(MARK_LEAD).await;
        let mut ordered: Option<Time> = None;
        loop {
            let report = self.context.engines.report(&self.engine).await;
            let Some(report) = report else {
                if ordered.is_none() {
                    return false;
                }
                time::sleep(REPORT_EVERY).await;
                continue;
            };
            let own = report.weights.iter().find(|(it, _)| *it == self.model);
            let current = own.is_some_and(|(_, version)| *version >= self.version);
            if current && !report.busy {
                return true;
            }
            let now = self.context.now();
            let due = ordered.is_none_or(|it| now.since(it) >= ORDER_AGAIN);
            if due && !report.busy {
                let until = Time(self.until.load(Ordering::Acquire));
                if now >= until {
                    // Another round gives it, under a renewed lease.
                    return false;
                }
                let order = Order {
                    model: self.model.clone(),
                    version: self.version,
                    holder: self.context.settings.daemon.as_str().to_owned(),
                    fence: self.fence,
                    expected: report.accepted,
                };
                ordered = Some(now);
                let accepted = self.context.engines.order(&self.engine, &order, until).await;
                let name = self.engine.name.as_str();
                info!(engine = name, version = self.version.0, ?accepted, "load ordered");
                if let Some(OrderResponse::Refused(_)) = accepted {
                    return false;
                }
            }
            time::sleep(REPORT_EVERY).await;
        }
    }
}
