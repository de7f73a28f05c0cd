//! Upstreams registered in the store.
//!
//! An entry that disappears from the store while it is available is removed at once. Entries also
//! lapse in the store while it is unavailable; the roster keeps those for a while, because live
//! upstreams write them again within [`REREGISTRATION_GRACE`] after the store's recovery. But an
//! upstream may also leave by removing its entry, and must get no calls soon after, whether or not
//! this daemon reaches the store. So an entry is kept until a time that is set when it is found
//! missing. Only if most entries of a service are missing, which can't be upstreams that leave, they
//! are all kept until the end of the grace period, however often that starts anew.
//!
//! A store that came back from an older copy may show upstreams as ready that have left since. What
//! was seen of a leaving holds until the upstream writes its entry again.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    collections::{Map, Set},
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

/// The longest time for which an entry is kept that is missing: shorter than the time after which an
/// upstream that leaves must get no calls (2 s on the platform), because the last ones are still on
/// their way.
pub const MAX_ABSENCE: Duration = Duration::from_millis(1_800);

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

    /// The view without the upstreams whose addresses are `taken`.
    pub fn without_addresses(mut self, taken: &Set<SocketAddr>) -> View {
        for endpoints in self.services.values_mut() {
            endpoints.retain(|it| !taken.contains(&it.record.address));
        }
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
    /// It takes calls until this time unless it registers again: its entry may have lapsed while the
    /// store was unavailable.
    Kept(Upstream, Time),
    /// It is no longer used. Its entry had been missing for this long.
    Dropped(Upstream, Duration),
    /// It registered again. Its entry had been missing since this time.
    Returned(Upstream, Time),
}

#[derive(Debug)]
struct Entry {
    endpoint: Arc<Endpoint>,
    /// Set while the entry is gone from the store.
    absence: Option<Absence>,
    /// Whether the upstream had left, and is in the store again only because that lost the change.
    departed: bool,
}

/// The absence of an entry from the store.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Time,
    /// When it counts as that of an upstream that has left.
    kept_until: Time,
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
    /// When the last call was sent that the store didn't answer.
    unanswered_at: Option<Time>,
    /// When the store last became available again.
    store_recovered_at: Option<Time>,
    is_store_unavailable: bool,
    changes: Vec<Change>,
}

impl Roster {
    /// Records that the store didn't answer a call that was sent at `sent_at`.
    pub fn store_lost(&mut self, sent_at: Time) {
        self.unanswered_at = self.unanswered_at.max(Some(sent_at));
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
        let absence = self.entries.get(name).and_then(|it| it.absence);
        let missing_since = absence.map(|it| it.since);
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
        if let Some(entry) = self.entries.get(name) {
            let known = &entry.endpoint.record;
            if known.incarnation > record.incarnation {
                return self.remove(name, now);
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
        self.entries.insert(name.clone(), Entry { endpoint, absence: None, departed });
    }

    /// The registration of an upstream.
    pub fn record(&self, name: &Upstream) -> Option<&Record> {
        self.entries.get(name).map(|it| &it.endpoint.record)
    }

    /// Marks the entry as missing from the store; [`Self::expire`] removes it.
    pub fn remove(&mut self, name: &Upstream, now: Time) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.absence.is_some() {
            return;
        }
        // The store was back after the last call that it didn't answer, at the earliest.
        let grace_end = self.unanswered_at.map_or(now, |it| it + REREGISTRATION_GRACE);
        let kept_until = grace_end.min(now + MAX_ABSENCE);
        entry.absence = Some(Absence { since: now, kept_until });
        if kept_until > now {
            self.changes.push(Change::Kept(name.clone(), kept_until));
        }
    }

    /// Whether any entry is missing from the store, or in it only because that lost its removal.
    pub fn has_unsettled(&self) -> bool {
        self.entries.values().any(|it| it.absence.is_some() || it.departed)
    }

    /// Removes missing entries and takes those that are in the store again for good, unless they are
    /// kept. If any are left, returns when to call it again, if a time is known.
    pub fn expire(&mut self, now: Time) -> Option<Time> {
        let grace_end = self.store_recovered_at.map(|it| it + REREGISTRATION_GRACE);
        let is_grace = self.is_store_unavailable || grace_end.is_some_and(|it| now < it);
        let lapsed = if is_grace { self.lapsed_services() } else { Vec::new() };
        self.departures.retain(|_, it| now.since(it.at) < REMOVED_MEMORY);
        let is_over = |entry: &Entry| {
            let is_kept = entry.absence.is_some_and(|it| now < it.kept_until);
            entry.absence.is_some() && !is_kept && !lapsed.contains(&entry.endpoint.record.service)
        };
        for (name, entry) in self.entries.extract_if(|_, it| is_over(it)) {
            let missing_for = entry.absence.map_or(Duration::ZERO, |it| now.since(it.since));
            self.changes.push(Change::Dropped(name.clone(), missing_for));
            self.departures.insert(name, Departure { endpoint: entry.endpoint, at: now });
        }
        if !is_grace {
            for entry in self.entries.values_mut() {
                entry.departed = false;
            }
        }
        let ends = self.entries.values().filter_map(|it| it.absence).map(|it| it.kept_until);
        let ends = ends.filter(|it| now < *it);
        ends.chain(grace_end.filter(|it| now < *it && self.has_unsettled())).min()
    }

    /// The services of which most entries are missing.
    fn lapsed_services(&self) -> Vec<Service> {
        let mut counts: Map<&Service, (usize, usize)> = Map::default();
        for entry in self.entries.values() {
            let (all, missing) = counts.entry(&entry.endpoint.record.service).or_default();
            *all += 1;
            *missing += usize::from(entry.absence.is_some());
        }
        let lapsed = counts.into_iter().filter(|(_, (all, missing))| missing * 2 > *all);
        lapsed.map(|(service, _)| service.clone()).collect()
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
