//! Decides which daemons a daemon exchanges state with, and which of them follow the store.
//!
//! In a fleet of up to [`FULL_MESH_DAEMONS`] daemons, each exchanges state with all others. In a
//! larger one some daemons of each availability zone are hubs, which exchange state with each
//! other. Every other daemon is a spoke and exchanges state with one hub, preferably of its own
//! zone. A hub has at most about as many spokes as there are hubs, so the messages of any daemon
//! grow with the square root of the fleet at most, and those of a spoke not at all.
//!
//! All daemons compute the hubs from the registrations. Their views may differ for a while. A
//! daemon therefore answers anyone, hub or not, and a hub from which nothing was heard is called
//! by both sides.

use std::cmp::Reverse;

use crate::{
    collections::Map,
    kernel::id::Zone,
    route::pool::{mix, name_hash},
};

/// Number of daemons up to which each exchanges state with all others, and the minimum number of
/// hubs in a larger fleet.
pub const FULL_MESH_DAEMONS: usize = 12;

/// Minimum number of daemons that follow the store in a fleet larger than [`FULL_MESH_DAEMONS`].
pub const MIN_WATCHERS: usize = 4;

/// A registered daemon that is not shutting down.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a Zone,
    /// Its share of a processor core, in thousandths; daemons with more become hubs first.
    pub cpu_millis: u32,
    /// Whether nothing speaks against it: it was heard of recently, or it was never heard of and no
    /// call to it failed.
    pub responsive: bool,
}

/// The part that a daemon has in the exchange.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Whether it is a hub. In a full mesh all daemons are.
    pub is_hub: bool,
    /// Whether it follows the store. Others ask the store only if the exchange fails them.
    pub is_watcher: bool,
    /// Its rank among the daemons that may take over work of the fleet: watchers first, then other
    /// hubs, then spokes.
    pub rank: usize,
    /// Number of daemons that follow the store.
    pub watchers: usize,
    /// All hubs but itself, in the order in which a spoke should use them: those of its own zone
    /// first, and each spoke starting with another one.
    pub hubs: Vec<String>,
    /// Number of responsive daemons, itself included.
    pub daemons: usize,
}

impl Plan {
    /// All hubs but the daemon itself, by their rendezvous rank for `key`, the highest first.
    pub fn ranked_hubs(&self, key: u64) -> Vec<&str> {
        let mut ranked: Vec<&str> = self.hubs.iter().map(String::as_str).collect();
        ranked.sort_by_key(|it| Reverse(mix(key ^ name_hash(it))));
        ranked
    }
}

/// Computes the part of the daemon `own`. It counts as responsive in any case; without its own
/// registration among the candidates it is a spoke.
pub fn plan(own: &str, candidates: &[Candidate<'_>]) -> Plan {
    let is_responsive = |it: &Candidate<'_>| it.responsive || it.name == own;
    let daemons = candidates.iter().filter(|it| is_responsive(it)).count().max(1);
    let mut zones: Map<&Zone, Vec<&Candidate<'_>>> = Map::default();
    for candidate in candidates {
        zones.entry(candidate.zone).or_default().push(candidate);
    }
    let is_mesh = daemons <= FULL_MESH_DAEMONS;
    let per_zone = match is_mesh {
        true => usize::MAX,
        false => hubs(daemons).div_ceil(zones.len().max(1)),
    };
    let watchers_per_zone = match is_mesh {
        true => usize::MAX,
        false => MIN_WATCHERS.div_ceil(zones.len().max(1)).min(per_zone),
    };
    let own_hash = name_hash(own);
    let own_zone = candidates.iter().find(|it| it.name == own).map(|it| it.zone);
    let mut ranked: Vec<(usize, u64, &Candidate<'_>)> = Vec::with_capacity(candidates.len());
    for members in zones.values_mut() {
        members.sort_by_key(|it| (!is_responsive(it), Reverse(it.cpu_millis), name_hash(it.name)));
        let members = members.iter().enumerate();
        ranked.extend(members.map(|(place, it)| (place, name_hash(it.name), *it)));
    }
    // Zones take turns, so that the first ranks lie in different zones.
    ranked.sort_by_key(|(place, hash, it)| (!is_responsive(it), *place, *hash));
    let position = ranked.iter().position(|(_, _, it)| it.name == own);
    let place = position.map(|it| ranked[it].0);
    let mut others: Vec<_> = ranked
        .iter()
        .filter(|(place, _, it)| *place < per_zone && it.name != own && is_responsive(it))
        .collect();
    others.sort_by_key(|(_, hash, it)| (own_zone != Some(it.zone), mix(own_hash ^ hash)));
    Plan {
        is_hub: place.is_some_and(|it| it < per_zone),
        is_watcher: place.is_some_and(|it| it < watchers_per_zone),
        rank: position.unwrap_or(ranked.len()),
        watchers: ranked.iter().filter(|it| it.0 < watchers_per_zone).count(),
        hubs: others.into_iter().map(|(_, _, it)| it.name.to_owned()).collect(),
        daemons,
    }
}

/// The number of hubs in a fleet that is no full mesh.
fn hubs(daemons: usize) -> usize {
    let root = (daemons as f64).sqrt().ceil() as usize;
    root.max(FULL_MESH_DAEMONS)
}

/// Whether `own` is the one of two hubs that calls the other. A call carries state both ways.
pub fn is_caller(own: &str, other: &str) -> bool {
    let (own, other) = (name_hash(own), name_hash(other));
    // Half of a hub's peers call it, and it calls the other half.
    (mix(own ^ other) & 1 == 0) == (own < other)
}
