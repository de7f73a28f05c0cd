//! The daemons, by their rows in the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    collections::Map,
    gateway::{
        context::Context,
        follow::MEMBER_PREFIX,
        store::{Topic, Write},
    },
    kernel::id::{Incarnation, Zone},
};

/// The wait before a row that could not be written is written again.
const RETRY: Duration = Duration::from_millis(500);

/// A daemon's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it serves callers.
    pub caller: SocketAddr,
    /// Where it serves other daemons.
    pub peer: SocketAddr,
    /// Whether it takes no new callers.
    pub leaving: bool,
}

/// The daemons that are known.
#[derive(Debug, Default)]
pub struct Members(Mutex<Map<String, Member>>);

impl Members {
    /// Forgets all, before a whole listing.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Takes note of a row; `None` if it was removed.
    pub fn apply_row(&self, name: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            self.lock().remove(name);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(member) => drop(self.lock().insert(name.to_owned(), member)),
            Err(error) => warn!(daemon = name, %error, "row not decoded"),
        }
    }

    /// Daemons that take callers, this one included.
    pub fn count(&self) -> usize {
        self.lock().values().filter(|it| !it.leaving).count().max(1)
    }

    /// Names and rows, by name.
    pub fn all(&self) -> Vec<(String, Member)> {
        let mut all: Vec<_> = self.lock().iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        all.sort_by(|left, right| left.0.cmp(&right.0));
        all
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Member>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// The addresses for callers in `zone`: those of all daemons that take callers, near ones first.
/// A daemon that hears no other can't tell which of them live, and names all.
pub fn addresses(context: &Context, zone: Option<&str>) -> Vec<SocketAddr> {
    let now = context.now();
    let own = context.settings.daemon.as_str();
    let alone = !context.peers.any_responsive(now);
    let mut open = context.members.all();
    open.retain(|(name, member)| match name == own {
        true => context.is_ready(),
        false => !member.leaving && (alone || context.peers.accepts_callers(name, now)),
    });
    open.sort_by_key(|(_, it)| zone != Some(it.zone.as_str()));
    open.into_iter().map(|(_, it)| it.caller).collect()
}

/// Writes this daemon's row at its start, and again when it leaves.
pub async fn announce(context: Arc<Context>, stop: CancellationToken) {
    let write = async {
        put(&context, false).await;
        context.leaving.cancelled().await;
        put(&context, true).await;
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = write => {}
    }
}

async fn put(context: &Context, leaving: bool) {
    let settings = &context.settings;
    let member = Member {
        incarnation: context.incarnation,
        zone: settings.zone.clone(),
        caller: settings.caller,
        peer: settings.peer,
        leaving,
    };
    let value = match serde_json::to_vec(&member) {
        Ok(value) => value,
        Err(error) => return warn!(%error, "row not encoded"),
    };
    let key = format!("{MEMBER_PREFIX}{}", settings.daemon);
    context.members.apply_row(settings.daemon.as_str(), Some(&value));
    let write = Write { topic: Topic::Fleet, key, expected: None, value: Some(value) };
    loop {
        match context.store.write(&write).await {
            Ok(_) => return info!(leaving, "daemon announced"),
            Err(failure) => warn!(%failure, "daemon not announced"),
        }
        time::sleep(RETRY).await;
    }
}
