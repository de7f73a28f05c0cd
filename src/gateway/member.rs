//! Daemons registered in the store.

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

/// Delay before a failed write of the registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Registration of a daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Incarnation of the daemon process.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Whether it is shutting down and is no longer listed in the addresses given to callers.
    pub leaving: bool,
}

/// Known daemons, by name.
#[derive(Debug, Default)]
pub struct Members(Mutex<Map<String, Member>>);

impl Members {
    /// Removes all daemons, before a full listing is applied.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Applies a row from the store; `value` is `None` if the row was removed.
    pub fn apply_row(&self, name: &str, value: Option<&[u8]>) {
        let Some(value) = value else {
            self.lock().remove(name);
            return;
        };
        match serde_json::from_slice(value) {
            Ok(member) => drop(self.lock().insert(name.to_owned(), member)),
            Err(error) => warn!(daemon = name, %error, "failed to decode daemon registration"),
        }
    }

    /// Number of known registrations that aren't marked as leaving, but at least 1. That of this
    /// daemon counts like any other: no longer once it is marked because of a shutdown.
    pub fn count(&self) -> usize {
        self.lock().values().filter(|it| !it.leaving).count().max(1)
    }

    /// All registrations, sorted by name.
    pub fn all(&self) -> Vec<(String, Member)> {
        let mut all: Vec<_> = self.lock().iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        all.sort_by(|left, right| left.0.cmp(&right.0));
        all
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, Member>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Addresses for callers in `zone`: those of all ready daemons, with daemons in the same zone
/// first; in no order of zones if `zone` is `None`. A daemon that gets no response from any peer
/// can't tell which ones are alive, and returns all that aren't shutting down.
pub fn addresses(context: &Context, zone: Option<&str>) -> Vec<SocketAddr> {
    let now = context.now();
    let own = context.settings.daemon.as_str();
    let is_isolated = !context.peers.any_responsive(now);
    let mut candidates = context.members.all();
    candidates.retain(|(name, member)| match name == own {
        true => context.is_ready(),
        false => !member.leaving && (is_isolated || context.peers.accepts_callers(name, now)),
    });
    candidates.sort_by_key(|(_, it)| zone != Some(it.zone.as_str()));
    candidates.into_iter().map(|(_, it)| it.caller).collect()
}

/// Registers this daemon at startup and updates the registration when it begins to shut down.
pub async fn announce(context: Arc<Context>, stop: CancellationToken) {
    let write = async {
        write_registration(&context, false).await;
        context.leaving.cancelled().await;
        write_registration(&context, true).await;
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = write => {}
    }
}

async fn write_registration(context: &Context, leaving: bool) {
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
        Err(error) => return warn!(%error, "failed to encode daemon registration"),
    };
    let key = format!("{MEMBER_PREFIX}{}", settings.daemon);
    context.members.apply_row(settings.daemon.as_str(), Some(&value));
    let write = Write { topic: Topic::Fleet, key, expected: None, value: Some(value) };
    loop {
        match context.store.write(&write).await {
            Ok(_) => return info!(leaving, "daemon registration written"),
            Err(failure) => warn!(%failure, "failed to write daemon registration; retrying"),
        }
        time::sleep(RETRY_DELAY).await;
    }
}
