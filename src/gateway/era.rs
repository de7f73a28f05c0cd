//! Notices that the store has come back from an older copy of itself.

use metrics::counter;
use tokio::sync::watch::{Receiver, Sender};
use tracing::info;

use crate::{gateway::store::Era, kernel::clock::Time};

/// The latest era of the store that this daemon has seen or heard of.
#[derive(Debug, Default)]
pub struct Eras(Sender<Option<(Era, Time)>>);

impl Eras {
    /// Records the era of an answer, or of what another daemon has read.
    pub fn observe(&self, era: Era, now: Time) {
        let mut before = None;
        let is_new = self.0.send_if_modified(|latest| {
            before = latest.map(|it| it.0);
            let is_new = before.is_none_or(|it| it < era);
            if is_new {
                *latest = Some((era, now));
            }
            is_new
        });
        if let Some(before) = before.filter(|_| is_new) {
            counter!("tealturn_store_restores_total").increment(1);
            info!(era = era.0, before = before.0, "the store came back from an older copy");
        }
    }

    /// The latest era; `None` before the first answer of the store.
    pub fn latest(&self) -> Option<Era> {
        self.0.borrow().map(|it| it.0)
    }

    /// The latest era, and when this daemon learned of it.
    pub fn observed(&self) -> Option<(Era, Time)> {
        *self.0.borrow()
    }

    /// Waits for an era later than `era`.
    pub async fn wait_after(&self, era: Era) {
        let mut eras: Receiver<_> = self.0.subscribe();
        // The sender lives as long as this call.
        let _ = eras.wait_for(|it| it.is_some_and(|(latest, _)| latest > era)).await;
    }
}
