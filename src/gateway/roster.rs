//! Upstreams registered in the store.
//!
//! An entry that disappears from the store while it is available is removed at once. Entries also
//! lapse in the store while it is unavailable; the roster keeps those until
//! [`REREGISTRATION_GRACE`] after the store's recovery, because live upstreams write them again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::gauge::Health,
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Model, Service, Upstream, Version, Zone},
    },
    route::pool::name_hash,
};

/// Time after the store's recovery within which live upstreams register again; on the platform this
/// takes about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// How long an upstream that leaves or is paused is remembered after its entry was removed. It may
/// register again, for instance if it reached the store too late to keep its entry.
pub const REMOVED_MEMORY: Duration = Duration::from_secs(600);

/// Registration written by an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its service.
    pub service: Service,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// The version of its software.
    pub build: Build,
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
    builds: Map<Service, Vec<Build>>,
}

impl View {
    /// Upstreams of a service that aren't draining.
    pub fn service(&self, service: &Service) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Builds of the upstreams of a service, the draining ones included.
    pub fn builds(&self, service: &Service) -> &[Build] {
        self.builds.get(service).map_or(&[], Vec::as_slice)
    }

    /// The services that have upstreams, the draining ones included.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.builds.keys()
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
}

/// Tracks registered upstreams and retains them while the store is unavailable.
#[derive(Debug, Default)]
pub struct Roster {
    entries: Map<Upstream, Entry>,
    /// Removed upstreams that leave or are paused, and when their entries were removed.
    removed: Map<Upstream, (Arc<Endpoint>, Time)>,
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
        let removed = self.removed.remove(name).map(|(it, _)| it);
        let previous = self.entries.get(name).map(|it| it.endpoint.clone()).or(removed);
        let same_process = previous.filter(|it| it.record.incarnation == record.incarnation);
        let health = same_process.map_or_else(Arc::default, |it| it.health.clone());
        let hash = name_hash(name.as_str());
        let endpoint = Arc::new(Endpoint { name: name.clone(), hash, record, health });
        self.entries.insert(name.clone(), Entry { endpoint, missing: false });
    }

    /// The registration of an upstream.
    pub fn record(&self, name: &Upstream) -> Option<&Record> {
        self.entries.get(name).map(|it| &it.endpoint.record)
    }

    /// Marks the entry as missing from the store; [`Self::expire`] removes it.
    pub fn remove(&mut self, name: &Upstream) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = true;
        }
    }

    /// Whether any entry is missing from the store.
    pub fn has_missing(&self) -> bool {
        self.entries.values().any(|it| it.missing)
    }

    /// Removes missing entries, unless the store is unavailable or recovered too recently. If any
    /// are kept, returns when the grace period after the last recovery ends, if there was one.
    pub fn expire(&mut self, now: Time) -> Option<Time> {
        let kept_until = self.store_recovered_at.map(|it| it + REREGISTRATION_GRACE);
        if self.is_store_unavailable || kept_until.is_some_and(|it| now < it) {
            return kept_until.filter(|_| self.entries.values().any(|it| it.missing));
        }
        self.removed.retain(|_, (_, since)| now.since(*since) < REMOVED_MEMORY);
        for (name, entry) in self.entries.extract_if(|_, it| it.missing) {
            let health = &entry.endpoint.health;
            if health.is_leaving() || health.paused_until(now).is_some() {
                self.removed.insert(name, (entry.endpoint, now));
            }
        }
        None
    }

    /// Snapshot of the registered upstreams that aren't draining.
    pub fn view(&self) -> View {
        let mut services: Map<Service, Vec<Arc<Endpoint>>> = Map::default();
        let mut builds: Map<Service, Vec<Build>> = Map::default();
        for entry in self.entries.values() {
            let Record { service, build, draining, .. } = &entry.endpoint.record;
            let known = builds.entry(service.clone()).or_default();
            if !known.contains(build) {
                known.push(build.clone());
            }
            if *draining {
                continue;
            }
            let service = service.clone();
            services.entry(service).or_default().push(entry.endpoint.clone());
        }
        for endpoints in services.values_mut() {
            endpoints.sort_by(|left, right| left.name.cmp(&right.name));
        }
        View { services, builds }
    }
}
