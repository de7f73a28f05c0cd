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
        id::{Build, Incarnation, Model, Service, Upstream, Version, Zone},
    },
    route::pool::name_hash,
};

/// Time after the store's recovery within which live upstreams register again; on the platform this
/// takes about two seconds.
pub const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_000);

/// How long an upstream is remembered after its entry was removed. It may register again, for
/// instance if it reached the store too late to keep its entry, or come back with an older copy of
/// the store.
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

impl Record {
    /// Replaces weights that are older than those of an earlier registration of the same process,
    /// which never goes back to older ones.
    fn keep_newer_weights(&mut self, earlier: &Record) {
        for (model, version) in &mut self.weights {
            let known = earlier.weights.iter().find(|(it, _)| it == model);
            *version = known.map_or(*version, |(_, it)| (*version).max(*it));
        }
    }
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
    /// Whether it has this build and has not announced that it leaves.
    pub fn is_staying(&self, build: &Build) -> bool {
        self.record.build == *build && !self.health.is_leaving()
    }

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

    /// The view without the services that `is_known` doesn't hold for.
    pub fn limited_to(mut self, is_known: impl Fn(&Service) -> bool) -> View {
        self.services.retain(|it, _| is_known(it));
        self.builds.retain(|it, _| is_known(it));
        self
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

/// What happened to an upstream whose entry is missing from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// It may still take calls: its entry may have lapsed while the store was unavailable.
    Kept(Upstream),
    /// It is no longer used. Its entry had been missing for this long.
    Dropped(Upstream, Duration),
    /// It registered again. Its entry had been missing since this time.
    Returned(Upstream, Time),
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Since when the entry is gone from the store.
    missing_since: Option<Time>,
    /// Whether [`Change::Kept`] was reported.
    is_told: bool,
    /// Whether the upstream had left, and is in the store again only because that lost the change.
    departed: bool,
}

/// An upstream whose entry was removed.
#[derive(Clone, Debug)]
struct Departure {
    endpoint: Arc<Endpoint>,
    /// When its entry was removed.
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
    changes: Vec<Change>,
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
        let departure = self.departures.remove(name);
        let missing_since = self.entries.get(name).and_then(|it| it.missing_since);
        if let Some(since) = missing_since.or(departure.as_ref().map(|it| it.at)) {
            self.changes.push(Change::Returned(name.clone(), since));
        }
        self.put(name, record, departure.map(|it| it.endpoint), false);
    }

    /// The changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Adds or replaces the entry of an upstream from an older copy of the store, if nothing later
    /// is known of it.
    pub fn restore(&mut self, name: &Upstream, mut record: Record, now: Time) {
        if let Some(entry) = self.entries.get_mut(name) {
            let known = &entry.endpoint.record;
            if known.incarnation > record.incarnation {
                entry.missing_since.get_or_insert(now);
                return;
            }
            let same_process = known.incarnation == record.incarnation;
            record.draining |= same_process && known.draining;
            if same_process {
                record.keep_newer_weights(known);
            }
            let departed = same_process && entry.departed;
            self.put(name, record, None, departed);
            return;
        }
        let departure = self.departures.get(name).map(|it| it.endpoint.clone());
        let departure = departure.filter(|it| it.record.incarnation >= record.incarnation);
        record.draining |= departure.as_ref().is_some_and(|it| it.record.draining);
        let is_departed = departure.is_some();
        self.put(name, record, departure, is_departed);
    }

    /// `previous` is the upstream before its entry was removed.
    fn put(
        &mut self,
        name: &Upstream,
        record: Record,
        previous: Option<Arc<Endpoint>>,
        departed: bool,
    ) {
        let previous = self.entries.get(name).map(|it| it.endpoint.clone()).or(previous);
        let same_process = previous.filter(|it| it.record.incarnation == record.incarnation);
        let health = same_process.map_or_else(Arc::default, |it| it.health.clone());
        let hash = name_hash(name.as_str());
        let endpoint = Arc::new(Endpoint { name: name.clone(), hash, record, health });
        self.entries.insert(
            name.clone(),
            Entry { endpoint, missing_since: None, is_told: false, departed },
        );
    }

    /// The registration of an upstream.
    pub fn record(&self, name: &Upstream) -> Option<&Record> {
        self.entries.get(name).map(|it| &it.endpoint.record)
    }

    /// Marks the entry as missing from the store; [`Self::expire`] removes it.
    pub fn remove(&mut self, name: &Upstream, now: Time) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing_since.get_or_insert(now);
        }
    }

    /// Whether any entry is missing from the store, or in it only because that lost its removal.
    pub fn has_unsettled(&self) -> bool {
        self.entries.values().any(|it| it.missing_since.is_some() || it.departed)
    }

    /// Removes missing entries and takes those that are in the store again for good, unless the
    /// store is unavailable or recovered too recently. If any are left, returns when the grace
    /// period after the last recovery ends, if there was one.
    pub fn expire(&mut self, now: Time) -> Option<Time> {
        let kept_until = self.store_recovered_at.map(|it| it + REREGISTRATION_GRACE);
        if self.is_store_unavailable || kept_until.is_some_and(|it| now < it) {
            for (name, entry) in &mut self.entries {
                if entry.missing_since.is_some() && !std::mem::replace(&mut entry.is_told, true) {
                    self.changes.push(Change::Kept(name.clone()));
                }
            }
            return kept_until.filter(|_| self.has_unsettled());
        }
        self.departures.retain(|_, it| now.since(it.at) < REMOVED_MEMORY);
        for (name, entry) in self.entries.extract_if(|_, it| it.missing_since.is_some()) {
            let missing_for = entry.missing_since.map_or(Duration::ZERO, |it| now.since(it));
            self.changes.push(Change::Dropped(name.clone(), missing_for));
            self.departures.insert(name, Departure { endpoint: entry.endpoint, at: now });
        }
        for entry in self.entries.values_mut() {
            entry.departed = false;
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
            if *draining || entry.departed {
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
