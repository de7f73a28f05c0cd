//! Upstreams registered in the store.
//!
//! An entry that disappears from the store while it is available is removed at once. Entries also
//! lapse in the store while it is unavailable; the roster keeps those until
//! [`REREGISTRATION_GRACE`] after the store's recovery, because live upstreams write them again.
//!
//! A store that came back from an older copy may show upstreams as ready that have left since. What
//! was seen of a leaving holds until the upstream writes its entry again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::gauge::Health,
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Service, Upstream, Version, Zone},
    },
    route::pool::name_hash,
};

/// Time after the store's recovery within which live upstreams register again; on the platform this
/// takes about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// How long an upstream that has left is remembered: longer than copies from which the store comes
/// back are old, with its outage.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(120);

/// Registration written by an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its service.
    pub service: Service,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether it is draining and gets no new calls.
    pub draining: bool,
    /// Start of its process, which distinguishes a restart under the same name.
    pub incarnation: Incarnation,
    /// Version of each model's weights that it has loaded.
    pub weights: Vec<(Model, Version)>,
}

/// A registered upstream.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: Upstream,
    /// Hash of its name, identical on all daemons.
    pub hash: u64,
    /// Its registration.
    pub record: Record,
    /// Load and health of this upstream process, as observed by this daemon.
    pub health: Arc<Health>,
}

impl Endpoint {
    /// The version of `model` in its registration.
    pub fn version(&self, model: &Model) -> Option<Version> {
        let registered = self.record.weights.iter().find(|(it, _)| it == model);
        registered.map(|(_, version)| *version)
    }
}

/// Snapshot of the registered upstreams that aren't draining, by service. It includes upstreams
/// that are dead, suspected or ejected.
#[derive(Debug, Default)]
pub struct View {
    services: Map<Service, Vec<Arc<Endpoint>>>,
}

impl View {
    /// Upstreams of a service that aren't draining.
    pub fn service(&self, service: &Service) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All upstreams that aren't draining.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.services.values().flatten()
    }
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Whether the entry is gone from the store.
    missing: bool,
    /// Whether the upstream had left, and is in the store again only because that lost the change.
    departed: bool,
}

/// An upstream that has left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: Incarnation,
    was_draining: bool,
    at: Time,
}

/// Tracks registered upstreams and retains them while the store is unavailable.
#[derive(Debug, Default)]
pub struct Roster {
    entries: Map<Upstream, Entry>,
    departures: Map<Upstream, Departure>,
    /// When the store last became available again.
    store_recovered_at: Option<Time>,
    is_store_unavailable: bool,
}

impl Roster {
    /// Records that the store can't be reached.
    pub fn store_lost(&mut self) {
        self.is_store_unavailable = true;
    }

    /// Records a successful response from the store.
    pub fn store_answered(&mut self, now: Time) {
        if std::mem::take(&mut self.is_store_unavailable) {
            self.store_recovered_at = Some(now);
        }
    }

    /// Adds or replaces the entry of an upstream. Its health is kept if the process is the same.
    pub fn insert(&mut self, name: &Upstream, record: Record) {
        self.departures.remove(name);
        self.put(name, record, false);
    }

    /// Adds or replaces the entry of an upstream from an older copy of the store, if nothing later
    /// is known of it.
    pub fn restore(&mut self, name: &Upstream, mut record: Record) {
        if let Some(entry) = self.entries.get_mut(name) {
            let known = &entry.endpoint.record;
            if known.incarnation > record.incarnation {
                entry.missing = true;
                return;
            }
            let same_process = known.incarnation == record.incarnation;
            record.draining |= same_process && known.draining;
            let departed = same_process && entry.departed;
            self.put(name, record, departed);
            return;
        }
        let departure = self.departures.get(name).copied();
        let departure = departure.filter(|it| it.incarnation >= record.incarnation);
        record.draining |= departure.is_some_and(|it| it.was_draining);
        self.put(name, record, departure.is_some());
    }

    fn put(&mut self, name: &Upstream, record: Record, departed: bool) {
        let previous = self.entries.get(name);
        let same_process =
            previous.filter(|it| it.endpoint.record.incarnation == record.incarnation);
        let health = same_process.map_or_else(Arc::default, |it| it.endpoint.health.clone());
        let hash = name_hash(name.as_str());
        let endpoint = Arc::new(Endpoint { name: name.clone(), hash, record, health });
        self.entries.insert(name.clone(), Entry { endpoint, missing: false, departed });
    }

    /// Marks the entry as missing from the store; [`Self::expire`] removes it.
    pub fn remove(&mut self, name: &Upstream) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = true;
        }
    }

    /// Whether any entry is missing from the store, or in it only because that lost its removal.
    pub fn has_unsettled(&self) -> bool {
        self.entries.values().any(|it| it.missing || it.departed)
    }

    /// Removes missing entries and takes those that are in the store again for good, unless the
    /// store is unavailable or recovered too recently. If any are left, returns when the grace
    /// period after the last recovery ends, if there was one.
    pub fn expire(&mut self, now: Time) -> Option<Time> {
        let kept_until = self.store_recovered_at.map(|it| it + REREGISTRATION_GRACE);
        if self.is_store_unavailable || kept_until.is_some_and(|it| now < it) {
            return kept_until.filter(|_| self.has_unsettled());
        }
        self.departures.retain(|_, it| now.since(it.at) < DEPARTURE_LIFETIME);
        for (name, entry) in self.entries.iter().filter(|(_, it)| it.missing) {
            let record = &entry.endpoint.record;
            let (incarnation, was_draining) = (record.incarnation, record.draining);
            self.departures.insert(name.clone(), Departure { incarnation, was_draining, at: now });
        }
        self.entries.retain(|_, it| !it.missing);
        for entry in self.entries.values_mut() {
            entry.departed = false;
        }
        None
    }

    /// Snapshot of the registered upstreams that aren't draining.
    pub fn view(&self) -> View {
        let mut services: Map<Service, Vec<Arc<Endpoint>>> = Map::default();
        for entry in self.entries.values() {
            if entry.endpoint.record.draining || entry.departed {
                continue;
            }
            let service = entry.endpoint.record.service.clone();
            services.entry(service).or_default().push(entry.endpoint.clone());
        }
        for endpoints in services.values_mut() {
            endpoints.sort_by(|left, right| left.name.cmp(&right.name));
        }
        View { services }
    }
}
