//! The daemons of the fleet.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::{
    fleet::message::Load,
    kernel::id::{Daemon, Incarnation, Zone},
};

/// A run of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub daemon: Daemon,
    /// The run.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens for callers.
    pub caller: SocketAddr,
    /// Where it listens for other daemons.
    pub peer: SocketAddr,
    /// Where it listens for operators.
    pub operator: SocketAddr,
    /// Whether this run takes no new callers.
    pub leaving: bool,
}

impl Member {
    /// Stands for this run in short messages.
    pub fn tag(&self) -> u32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(self.daemon.as_str().as_bytes());
        let [a, b, c, d, ..] = *hasher.finalize().as_bytes();
        u32::from_le_bytes([a, b, c, d])
    }
}

/// A live daemon and what it reported last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Live {
    /// The daemon.
    pub member: Member,
    /// What it has to do.
    pub load: Load,
}

/// The other daemons that are live, as the requests read them.
#[derive(Debug, Default)]
pub struct Members {
    live: ArcSwap<Vec<Live>>,
    requests: AtomicU32,
    left: CancellationToken,
}

impl Members {
    /// The other live daemons, by name.
    pub fn live(&self) -> Arc<Vec<Live>> {
        self.live.load_full()
    }

    /// Replaces them.
    pub fn set(&self, mut live: Vec<Live>) {
        live.sort_by(|a, b| a.member.daemon.cmp(&b.member.daemon));
        self.live.store(Arc::new(live));
    }

    /// How many live daemons the fleet has, this one included.
    pub fn count(&self) -> usize {
        self.live.load().len() + 1
    }

    /// Requests that this daemon itself has running or queued, as it tells the others.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Sets them.
    pub fn set_requests(&self, requests: u32) {
        self.requests.store(requests, Ordering::Relaxed);
    }

    /// Cancelled when all live daemons know that this one leaves.
    pub fn left(&self) -> &CancellationToken {
        &self.left
    }
}
