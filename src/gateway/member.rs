//! Daemons registered in the store.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    collections::Set,
    gateway::{
        context::Context,
        exchange::wire::{FIRST_PROTOCOL, PROTOCOL},
        follow::MEMBER_PREFIX,
        mirror::Delta,
        store::{Era, Topic, Write},
    },
    kernel::id::{Incarnation, Zone},
    route::pool::name_hash,
};

/// Delay before a failed write of the registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which a daemon checks that the store has its registration.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of addresses that a caller is given at least, if there are as many, so that it can do
/// without those that fail.
const MIN_ZONE_ADDRESSES: usize = 6;

/// Processor time of daemons whose registrations don't name it.
fn default_cpu_millis() -> u32 {
    1_000
}

/// Protocol of daemons whose registrations don't name it.
fn default_protocol() -> u32 {
    FIRST_PROTOCOL
}

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
    /// Its share of a processor core, in thousandths.
    #[serde(default = "default_cpu_millis")]
    pub cpu_millis: u32,
    /// The newest protocol of calls between daemons that it speaks.
    #[serde(default = "default_protocol")]
    pub protocol: u32,
    /// Whether it is shutting down and is no longer listed in the addresses given to callers.
    pub leaving: bool,
}

/// Known daemons, sorted by name.
#[derive(Debug, Default)]
pub struct Members(ArcSwap<Vec<(String, Member)>>);

impl Members {
    /// Applies changed rows from the store.
    pub fn apply_rows(&self, delta: &Delta) {
        if delta.rows.is_empty() {
            return;
        }
        let mut members: BTreeMap<_, _> = self.0.load().iter().cloned().collect();
        if delta.full {
            members.clear();
        }
        for row in &delta.rows {
            // Rows with other keys are ignored.
            let Some(name) = row.key.strip_prefix(MEMBER_PREFIX) else {
                continue;
            };
            let Some(value) = row.value.as_deref() else {
                members.remove(name);
                continue;
            };
            match serde_json::from_slice(value) {
                Ok(member) => drop(members.insert(name.to_owned(), member)),
                Err(error) => warn!(daemon = name, %error, "failed to decode daemon registration"),
            }
        }
        self.0.store(Arc::new(members.into_iter().collect()));
    }

    /// Adds or replaces one daemon.
    fn insert(&self, name: &str, member: Member) {
        let mut members: BTreeMap<_, _> = self.0.load().iter().cloned().collect();
        members.insert(name.to_owned(), member);
        self.0.store(Arc::new(members.into_iter().collect()));
    }

    /// Number of known registrations that aren't marked as leaving, but at least 1. That of this
    /// daemon counts like any other: no longer once it is marked because of a shutdown.
    pub fn count(&self) -> usize {
        self.0.load().iter().filter(|(_, it)| !it.leaving).count().max(1)
    }

    /// The address of a daemon for others.
    pub fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.0.load();
        let index = members.binary_search_by(|(it, _)| it.as_str().cmp(name)).ok()?;
        Some(members[index].1.peer)
    }

    /// The newest protocol that a daemon speaks; `None` if it is not registered.
    pub fn protocol(&self, name: &str) -> Option<u32> {
        let members = self.0.load();
        let index = members.binary_search_by(|(it, _)| it.as_str().cmp(name)).ok()?;
        Some(members[index].1.protocol)
    }

    /// All addresses of daemons.
    pub fn addresses(&self) -> Set<SocketAddr> {
        self.0.load().iter().flat_map(|(_, it)| [it.caller, it.peer]).collect()
    }

    /// All registrations, sorted by name.
    pub fn all(&self) -> Arc<Vec<(String, Member)>> {
        self.0.load_full()
    }
}

/// Addresses for callers in `zone`: those of ready daemons of the same zone, and if these are fewer
/// than [`MIN_ZONE_ADDRESSES`] or `zone` is `None`, also those of other zones after them. Callers
/// choose among the addresses at random, so daemons with little processor time are left out of some
/// of the answers, in proportion.
///
/// A daemon that is cut off from all upstreams names itself only if no other one accepts callers.
/// A daemon that gets no response from any peer can't tell which ones are alive, and returns all
/// that aren't shutting down.
pub fn addresses(context: &Context, zone: Option<&str>) -> Vec<SocketAddr> {
    let now = context.now();
    let own = context.settings.daemon.as_str();
    let is_isolated = !context.peers.any_responsive(now);
    let accepting = context.peers.accepting_callers(now);
    let members = context.members.all();
    let is_open = |name: &str, member: &Member| match name == own {
        // With the others cut off, too, callers are served as soon as any is no longer.
        true if accepting.is_empty() => context.is_ready(),
        true => context.accepts_callers(),
        false => !member.leaving && (is_isolated || accepting.contains(&name_hash(name))),
    };
    let open = members.iter().filter(|(name, member)| is_open(name, member));
    let (near, far): (Vec<_>, Vec<_>) =
        open.map(|(_, it)| it).partition(|it| zone == Some(it.zone.as_str()));
    let mut chosen = sample(&near, &mut rand::rng());
    if near.len() < MIN_ZONE_ADDRESSES {
        chosen.extend(sample(&far, &mut rand::rng()));
    }
    chosen.into_iter().map(|it| it.caller).collect()
}

/// Chooses each daemon with a probability in proportion to its processor time, so that the largest
/// are always chosen. Chooses all if only [`MIN_ZONE_ADDRESSES`] or fewer would be left.
pub fn sample<'a>(members: &[&'a Member], rng: &mut dyn Rng) -> Vec<&'a Member> {
    let largest = members.iter().map(|it| it.cpu_millis).max().unwrap_or_default().max(1);
    let mut is_chosen =
        |it: &&&'a Member| f64::from(it.cpu_millis) >= rng.random::<f64>() * f64::from(largest);
    let chosen: Vec<_> = members.iter().filter(|it| is_chosen(it)).copied().collect();
    match chosen.len() < MIN_ZONE_ADDRESSES {
        true => members.to_vec(),
        false => chosen,
    }
}

/// Registers this daemon at startup, updates the registration when it begins to shut down, and
/// writes it again if the store lost it.
pub async fn announce(context: Arc<Context>, stop: CancellationToken) {
    let write = async {
        loop {
            let leaving = context.leaving.is_cancelled();
            let Some(written) = write_registration(&context, leaving).await else {
                return;
            };
            tokio::select! {
                () = context.leaving.cancelled(), if !leaving => {}
                () = wait_until_lost(&context, written) => {}
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = write => {}
    }
}

/// A registration as it was written.
struct Written {
    era: Era,
    value: Vec<u8>,
}

/// Waits until the rows of a later era lack the registration.
async fn wait_until_lost(context: &Context, mut written: Written) {
    let key = registration_key(context);
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let head = context.mirror.head(Topic::Fleet);
        let Some(era) = head.map(|it| it.position.era).filter(|it| *it > written.era) else {
            continue;
        };
        let value = context.mirror.row(Topic::Fleet, &key).and_then(|it| it.value);
        if value.as_ref() != Some(&written.value) {
            return info!(era = era.0, "the store lost the daemon registration; writing it again");
        }
        written.era = era;
    }
}

fn registration_key(context: &Context) -> String {
    format!("{MEMBER_PREFIX}{}", context.settings.daemon)
}

/// Writes the registration; returns `None` if it can't be encoded.
async fn write_registration(context: &Context, leaving: bool) -> Option<Written> {
    let settings = &context.settings;
    let member = Member {
        incarnation: context.incarnation,
        zone: settings.zone.clone(),
        caller: settings.caller,
        peer: settings.peer,
        cpu_millis: settings.cpu_millis,
        protocol: PROTOCOL,
        leaving,
    };
    let value = match serde_json::to_vec(&member) {
        Ok(value) => value,
        Err(error) => {
            warn!(%error, "failed to encode daemon registration");
            return None;
        }
    };
    let key = registration_key(context);
    context.members.insert(settings.daemon.as_str(), member);
    context.urgent.notify_one();
    let write = Write { topic: Topic::Fleet, key, expected: None, value: Some(value.clone()) };
    loop {
        match context.store.write(&write).await {
            Ok(answer) => {
                info!(leaving, "daemon registration written");
                context.eras.observe(answer.era, context.now());
                return Some(Written { era: answer.era, value });
            }
            Err(failure) => warn!(%failure, "failed to write daemon registration; retrying"),
        }
        time::sleep(RETRY_DELAY).await;
    }
}
