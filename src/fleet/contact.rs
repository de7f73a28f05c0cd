//! Whether a daemon can know that its configuration is the one in force.
//!
//! A daemon that neither the table nor any peer has answered for [`ISOLATION`] takes no new work:
//! a workspace may have been cut off, or moved to other weights, without its knowledge. One that
//! never knew another daemon goes on, since nobody else could have accepted a change without the
//! table. `docs/FLEET.md` weighs the bound.

use std::{
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use crate::{
    kernel::{clock::Time, context::Context},
    timeline::Subject,
};

/// How long a daemon that is cut off from the table and from all peers takes new work. It is the
/// time within which a change must be in force everywhere at the planned size.
pub const ISOLATION: Duration = Duration::from_secs(15);

/// When the configuration in force was confirmed last.
#[derive(Debug, Default)]
pub struct Contact {
    last: AtomicU64,
    has_peers: AtomicBool,
}

impl Contact {
    /// Takes note of an answer of the table or of a peer.
    pub fn mark(&self, now: Time) {
        self.last.fetch_max(now.0, Ordering::AcqRel);
    }

    /// Takes note that there are other daemons.
    pub fn meet(&self) {
        self.has_peers.store(true, Ordering::Release);
    }

    /// Whether the daemon can no longer know what is in force.
    pub fn is_lost(&self, now: Time) -> bool {
        let last = Time(self.last.load(Ordering::Acquire));
        self.has_peers.load(Ordering::Acquire) && now.since(last) >= ISOLATION
    }
}

/// Takes note of an answer of the table or of a peer whose revision is not ahead.
pub fn confirmed(context: &Context) {
    context.contact.mark(context.now());
    review(context);
}

/// Sets whether the daemon may serve.
pub fn review(context: &Context) {
    let lost = context.contact.is_lost(context.now());
    let ready = !lost && context.configuration.revision().is_some();
    if context.ready.swap(ready, Ordering::AcqRel) == ready {
        return;
    }
    let kind = if ready { "ready" } else { "isolated" };
    context.ring.record(Subject::Process, kind, "");
    tracing::info!(ready, "whether requests are taken has changed");
}
