//! How callers find the daemons: they ask one, and keep the answer for its lifetime.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

use tokio::time;

use crate::{collections::Map, http::client::Client, kernel::id::Zone, load::protocol::Addresses};

/// The longest wait for an address list.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The address lists that the callers keep, by zone.
pub struct Entry {
    client: Client,
    seeds: Vec<SocketAddr>,
    lists: Mutex<Map<Zone, List>>,
}

#[derive(Clone, Debug)]
struct List {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl Entry {
    /// Callers that know these daemons from their settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Entry {
        Entry { client: Client::new(), seeds, lists: Mutex::default() }
    }

    /// The daemons to use from a zone. Those of an old list, or from the settings, if no daemon
    /// answers.
    pub async fn addresses(&self, zone: &Zone) -> Vec<SocketAddr> {
        let kept = self.lists().get(zone).cloned();
        if let Some(list) = &kept
            && Instant::now() < list.until
        {
            return list.addresses.clone();
        }
        let mut known = kept.map_or_else(Vec::new, |it| it.addresses);
        known.extend(
            self.seeds.iter().filter(|it| !known.contains(it)).copied().collect::<Vec<_>>(),
        );
        for address in &known {
            let Some(list) = self.ask(*address, zone).await else {
                continue;
            };
            self.lists().insert(zone.clone(), list.clone());
            return list.addresses;
        }
        known
    }

    async fn ask(&self, address: SocketAddr, zone: &Zone) -> Option<List> {
        let path = format!("/v1/addresses?zone={zone}");
        let answer = self.client.get::<Addresses>(address, &path);
        let answer = time::timeout(TIMEOUT, answer).await.ok()?.ok()?;
        if answer.addresses.is_empty() {
            return None;
        }
        Some(List {
            addresses: answer.addresses.iter().map(|it| it.address).collect(),
            until: Instant::now() + Duration::from_millis(answer.lifetime_ms),
        })
    }

    fn lists(&self) -> MutexGuard<'_, Map<Zone, List>> {
        self.lists.lock().unwrap_or_else(|it| it.into_inner())
    }
}
