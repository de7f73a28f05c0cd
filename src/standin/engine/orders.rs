//! Orders to an engine, and its loads of weights.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time;

use crate::{
    http::client,
    kernel::id::Incarnation,
    standin::engine::Engine,
    upstream::wire::{Change, Order, State, Weights},
};

/// Wait before a load that failed is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Why an engine refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// Its fencing number is old.
    Fenced,
    /// A fault is switched on.
    Faulty,
}

impl Engine {
    /// Brings the engine towards the state that is ordered.
    pub fn order(self: &Arc<Engine>, order: Order) -> Result<State, Refused> {
        let state = {
            let mut inner = self.lock();
            if inner.faults.refuse_orders {
                return Err(Refused::Faulty);
            }
            if self.settings.fenced && order.fence < inner.state.fence {
                return Err(Refused::Fenced);
            }
            inner.state.fence = inner.state.fence.max(order.fence);
            inner.state.role = order.role;
            let before = inner.state.loaded.len();
            inner.state.loaded.retain(|it| order.weights.contains(it));
            if inner.state.loaded.len() < before {
                let blocks = inner.cache.clear();
                self.ledger.removed(&blocks);
                inner.publish(Change::Cleared, self.now());
            }
            inner.state.loading.retain(|it| order.weights.contains(it));
            inner.state.clone()
        };
        let is_known = |it: &Weights| state.loaded.contains(it) || state.loading.contains(it);
        for weights in order.weights.into_iter().filter(|it| !is_known(it)) {
            self.lock().state.loading.push(weights.clone());
            self.load(weights, state.incarnation);
        }
        Ok(self.state())
    }

    /// Begins the loads that the state names. Called when the engine starts.
    pub(super) fn load_missing(self: &Arc<Engine>) {
        let state = self.state();
        for weights in state.loading {
            self.load(weights, state.incarnation);
        }
    }

    fn load(self: &Arc<Engine>, weights: Weights, incarnation: Incarnation) {
        let engine = self.clone();
        tokio::spawn(async move {
            while engine.is_loading(&weights, incarnation) {
                if engine.read(&weights).await {
                    engine.loaded(&weights, incarnation);
                    return;
                }
                time::sleep(RETRY_INTERVAL).await;
            }
        });
    }

    /// Reads the weights from the weight store, and tells whether that worked.
    async fn read(&self, weights: &Weights) -> bool {
        let path = format!("/weights/{}/{}", weights.model, weights.version);
        let store = self.settings.weights;
        let Ok(request) = client::request("GET", store, &path, Bytes::new()) else {
            return false;
        };
        self.client.fetch(store, request).await.is_ok()
    }

    fn is_loading(&self, weights: &Weights, incarnation: Incarnation) -> bool {
        let inner = self.lock();
        inner.incarnation == incarnation && inner.state.loading.contains(weights)
    }

    fn loaded(&self, weights: &Weights, incarnation: Incarnation) {
        let mut inner = self.lock();
        if inner.incarnation != incarnation {
            return;
        }
        let loading = inner.state.loading.len();
        inner.state.loading.retain(|it| it != weights);
        if inner.state.loading.len() < loading {
            inner.state.loaded.push(weights.clone());
        }
    }
}
