//! Which daemons a caller is told to use.
//!
//! A list has [`NEAR`] daemons of the caller's zone and [`FAR`] of other zones, so that a caller
//! that loses a zone has enough left. In a fleet of no more than that, it has all of them. In a
//! larger one a known workspace is given the daemons that rank highest for it, so that its
//! requests, its share of the limits and its prefixes meet on few daemons; others are drawn at
//! random. A crowded daemon is left out while enough others remain.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use rand::{Rng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    collections::Set,
    kernel::id::{Daemon, Workspace, Zone},
};

/// Daemons of the caller's zone in a list.
pub const NEAR: usize = 4;

/// Daemons of other zones in a list.
pub const FAR: usize = 4;

/// Daemons that must remain for crowded ones to be left out.
const ENOUGH: usize = 3;

/// Requests by which a daemon may exceed twice the mean before it counts as crowded.
const CROWD_REQUESTS: u64 = 16;

/// The answer to `GET /v1/addresses`: daemons to use, the best first.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct List {
    /// The daemons.
    pub addresses: Vec<Address>,
    /// How long the list may be kept.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lifetime_ms")]
    pub lifetime: std::time::Duration,
}

/// A daemon that callers may use.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Address {
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its name.
    pub daemon: Daemon,
}

/// A daemon that may be put into a list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// The daemon.
    pub address: Address,
    /// Requests running or queued there.
    pub requests: u32,
}

/// Who asks.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Caller {
    /// Its zone, if it said so.
    pub zone: Option<Zone>,
    /// Its workspace, if it gave a valid credential.
    pub workspace: Option<Workspace>,
}

/// The daemons for a caller, the best first.
pub fn choose(caller: &Caller, candidates: &[Candidate], rng: &mut dyn Rng) -> Vec<Address> {
    let mut ranked = uncrowded(candidates);
    ranked.shuffle(rng);
    if let (Some(workspace), true) = (&caller.workspace, candidates.len() > NEAR + FAR) {
        ranked.sort_by_key(|it| Reverse(rank(workspace, &it.address.daemon)));
    }
    let (near, far): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|it| Some(&it.address.zone) == caller.zone.as_ref());
    let far = in_turn(&far);
    // Where one part is short, the other fills up.
    let nears = near.len().min(NEAR.max((NEAR + FAR).saturating_sub(far.len())));
    let fars = NEAR + FAR - nears;
    let chosen = near.iter().take(nears).chain(far.iter().take(fars));
    chosen.map(|it| it.address.clone()).collect()
}

/// The candidates without the crowded ones, or all if too few would be left or only one zone.
fn uncrowded(candidates: &[Candidate]) -> Vec<&Candidate> {
    let sum: u64 = candidates.iter().map(|it| u64::from(it.requests)).sum();
    let mean = sum / candidates.len().max(1) as u64;
    let limit = mean * 2 + CROWD_REQUESTS;
    let rest = candidates.iter().filter(|it| u64::from(it.requests) <= limit);
    let rest: Vec<_> = rest.collect();
    let is_enough =
        rest.len() >= ENOUGH && (zones(rest.iter().copied()) > 1 || zones(candidates) == 1);
    match is_enough {
        true => rest,
        false => candidates.iter().collect(),
    }
}

fn zones<'a>(candidates: impl IntoIterator<Item = &'a Candidate>) -> usize {
    let zones = candidates.into_iter().map(|it| &it.address.zone);
    zones.collect::<Set<_>>().len()
}

/// Reorders candidates so that each zone has its turn.
fn in_turn<'a>(candidates: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let mut turns: BTreeMap<&Zone, usize> = BTreeMap::new();
    let mut ordered = Vec::new();
    for candidate in candidates {
        let turn = turns.entry(&candidate.address.zone).or_default();
        ordered.push((*turn, *candidate));
        *turn += 1;
    }
    ordered.sort_by_key(|(turn, _)| *turn);
    ordered.into_iter().map(|(_, it)| it).collect()
}

/// Rendezvous hashing: the same on all daemons.
fn rank(workspace: &Workspace, daemon: &Daemon) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(workspace.as_str().as_bytes());
    hasher.update(b"\0");
    hasher.update(daemon.as_str().as_bytes());
    let [a, b, c, d, e, f, g, h, ..] = *hasher.finalize().as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}
