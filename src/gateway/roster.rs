//! The upstreams that have registered themselves.
//!
//! An entry that disappears while the store answers is gone at once. Entries also run out while
//! the store is away; those are kept until [`REREGISTRATION_GRACE`] after its return, since live upstreams write
//! them again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::Map,
    gateway::gauge::EndpointHealth,
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Service, Upstream, Version, Zone},
    },
    route::pool::name_hash,
};

/// How long after the store's return a missing entry may still be written again (platform: about
/// two seconds).
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// An upstream's own entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its service.
    pub service: Service,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves: it gets no new calls.
    pub draining: bool,
    /// The start of its process, so that a restart under the same name shows.
    pub incarnation: Incarnation,
    /// The weights that it has.
    pub weights: Vec<(Model, Version)>,
}

/// An upstream that may get calls.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: Upstream,
    /// The hash of its name, the same in all daemons.
    pub hash: u64,
    /// Its own entry.
    pub record: Record,
    /// What this daemon knows of this run of it.
    pub health: Arc<EndpointHealth>,
}

impl Endpoint {
    /// The version of a model that its entry names.
    pub fn version(&self, model: &Model) -> Option<Version> {
        let own = self.record.weights.iter().find(|(it, _)| it == model);
        own.map(|(_, version)| *version)
    }
}

/// The upstreams at one moment, by service.
#[derive(Debug, Default)]
pub struct View {
    services: Map<Service, Vec<Arc<Endpoint>>>,
}

impl View {
    /// The upstreams of a service that are not leaving.
    pub fn service(&self, service: &Service) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.services.values().flatten()
    }
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Whether the store has no such entry any more.
    missing: bool,
}

/// Keeps the upstreams by their entries.
#[derive(Debug, Default)]
pub struct Roster {
    entries: Map<Upstream, Entry>,
    /// When the store came back after it was away.
    back: Option<Time>,
    away: bool,
}

impl Roster {
    /// The store can't be reached.
    pub fn store_lost(&mut self) {
        self.away = true;
    }

    /// The store has answered.
    pub fn store_answered(&mut self, now: Time) {
        if std::mem::take(&mut self.away) {
            self.back = Some(now);
        }
    }

    /// An upstream wrote its entry.
    pub fn insert(&mut self, name: &Upstream, record: Record) {
        let known = self.entries.get(name);
        let same_run = known.filter(|it| it.endpoint.record.incarnation == record.incarnation);
        let health = same_run.map_or_else(Arc::default, |it| it.endpoint.health.clone());
        let hash = name_hash(name.as_str());
        let endpoint = Arc::new(Endpoint { name: name.clone(), hash, record, health });
        self.entries.insert(name.clone(), Entry { endpoint, missing: false });
    }

    /// The store has no entry of this name.
    pub fn remove(&mut self, name: &Upstream) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = true;
        }
    }

    /// The store has entries of these names and no others.
    pub fn retain(&mut self, names: &[Upstream]) {
        for (name, entry) in &mut self.entries {
            entry.missing |= !names.contains(name);
        }
    }

    /// Forgets the entries that are gone for good; tells when to call again, if some may follow.
    pub fn expire(&mut self, now: Time) -> Option<Time> {
        let kept_until = self.back.map(|it| it + REREGISTRATION_GRACE);
        if self.away || kept_until.is_some_and(|it| now < it) {
            return kept_until.filter(|_| self.entries.values().any(|it| it.missing));
        }
        self.entries.retain(|_, it| !it.missing);
        None
    }

    /// The upstreams that may get calls.
    pub fn view(&self) -> View {
        let mut services: Map<Service, Vec<Arc<Endpoint>>> = Map::default();
        for entry in self.entries.values() {
            if entry.endpoint.record.draining {
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
