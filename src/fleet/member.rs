//! The daemons of the fleet.

use std::{net::SocketAddr, sync::Arc};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::kernel::id::{Daemon, Incarnation, Zone};

/// A run of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
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
    /// Whether this run takes no new callers.
    pub leaving: bool,
}

/// The other daemons that are live, as the requests read them.
#[derive(Debug, Default)]
pub struct Members(ArcSwap<Vec<Member>>);

impl Members {
    /// The other live daemons, by name.
    pub fn live(&self) -> Arc<Vec<Member>> {
        self.0.load_full()
    }

    /// Replaces them.
    pub fn set(&self, members: Vec<Member>) {
        self.0.store(Arc::new(members));
    }

    /// How many daemons the fleet has, this one included.
    pub fn len(&self) -> usize {
        self.0.load().len() + 1
    }

    /// Never: the daemon itself is one.
    pub fn is_empty(&self) -> bool {
        false
    }
}
