//! The weight store: loads slow down when more than a few run at once.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use tokio::time;

/// How often the share of a load is worked out anew.
const TICK: Duration = Duration::from_millis(20);

/// How fast weights are read.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Duration of a load when few run.
    pub load: Duration,
    /// Loads at once that do not slow each other down.
    pub at_once: usize,
}

/// Loads in progress.
#[derive(Debug, Default)]
pub struct Loads {
    active: AtomicUsize,
    most: AtomicUsize,
}

impl Loads {
    /// Waits as long as one load takes beside the others.
    pub async fn read(&self, speed: &Speed) {
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        self.most.fetch_max(active, Ordering::Relaxed);
        let guard = Guard(self);
        let mut left = speed.load;
        while !left.is_zero() {
            time::sleep(TICK).await;
            let active = self.active.load(Ordering::Relaxed).max(1);
            let share = speed.at_once.min(active) as u32;
            left = left.saturating_sub(TICK * share / active as u32);
        }
        drop(guard);
    }

    /// The most loads that ran at once.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::Relaxed)
    }
}

/// A client may break off a load.
struct Guard<'a>(&'a Loads);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}
