//! Keeps the rows of barred parts in the store, so that bars outlive the daemons.

use std::{sync::Arc, time::Duration};

use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    collections::Map,
    gateway::{
        context::Context,
        crash::Row,
        mirror::Delta,
        store::{Outcome, Write},
    },
    kernel::clock::Time,
};

/// Interval between checks for rows to be written or removed.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// How long after a write the same row is not written again: until then it comes back from the store.
const SETTLING: Duration = Duration::from_secs(10);

/// Delay after a failed write; doubles with each further failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(500);

/// Maximum delay after a failed write.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(4);

/// Takes in changed rows from the store.
pub fn apply_rows(context: &Context, delta: &Delta) {
    let (now, wall) = (context.now(), Duration::from_micros(context.clock.wall_micros()));
    let mut rows = Vec::new();
    for row in &delta.rows {
        // Rows with other keys are registrations of daemons.
        let Some(part) = Row::part(&row.key) else {
            continue;
        };
        let value = row.value.as_deref().filter(|_| !row.removed);
        let Some(value) = value else {
            rows.push((part, None));
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(stored) => rows.push((part, Some((stored, row.version)))),
            Err(error) => warn!(key = row.key, %error, "ignored an invalid row of a barred part"),
        }
    }
    if !rows.is_empty() {
        context.change_crashes(|it| it.take_rows(rows, now, wall));
    }
}

/// Writes and removes rows until `stop`.
pub async fn keep(context: Arc<Context>, stop: CancellationToken) {
    let keep = async {
        let mut keeper = Keeper { context, written: Map::default() };
        loop {
            time::sleep(CHECK_INTERVAL).await;
            keeper.write_due().await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = keep => {}
    }
}

struct Keeper {
    context: Arc<Context>,
    /// When rows were last written or removed.
    written: Map<String, Time>,
}

impl Keeper {
    async fn write_due(&mut self) {
        let now = self.context.now();
        self.written.retain(|_, at| now.since(*at) < SETTLING);
        let wall = Duration::from_micros(self.context.clock.wall_micros());
        let daemon = self.context.settings.daemon.as_str();
        let writes = self.context.crashes().writes(daemon, now, wall);
        for write in writes {
            if !self.written.contains_key(&write.key) && self.write(&write).await {
                self.written.insert(write.key, self.context.now());
            }
        }
    }

    /// Writes a row, again and again while the store doesn't answer, unless that has become
    /// pointless; returns whether the store answered.
    async fn write(&self, write: &Write) -> bool {
        let mut delay = RETRY_DELAY_MIN;
        loop {
            match self.context.store.write(write).await {
                Ok(answer) => {
                    let written = matches!(answer.value, Outcome::Committed(_));
                    let removed = write.value.is_none();
                    info!(key = write.key, removed, written, "row of a barred part written");
                    return true;
                }
                Err(failure) => {
                    let key = write.key.as_str();
                    warn!(key, %failure, "failed to write the row of a barred part; retrying");
                }
            }
            time::sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
            delay = (delay * 2).min(RETRY_DELAY_MAX);
            let (now, wall) =
                (self.context.now(), Duration::from_micros(self.context.clock.wall_micros()));
            let daemon = self.context.settings.daemon.as_str();
            let due = self.context.crashes().writes(daemon, now, wall);
            let is_due = |it: &Write| it.key == write.key && it.expected == write.expected;
            if !due.iter().any(is_due) {
                return false;
            }
        }
    }
}
