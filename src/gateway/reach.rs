//! Decides whether this daemon is cut off from the upstreams of a service, and which daemon it passes
//! its calls to; see docs/design/cut-off.md.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    collections::Set,
    gateway::{member::Member, roster::Endpoint},
    kernel::id::Upstream,
    route::pool::name_hash,
};

/// Lost paths from which a daemon is cut off, if the service has as many upstreams. A single one may
/// be that of an upstream which is cut off itself.
const MIN_LOST_PATHS: usize = 2;

/// Whether this daemon is cut off from these upstreams of a service: it has lost its path to some of
/// them and opened no connection to any since.
pub fn is_cut_off(upstreams: &[Arc<Endpoint>]) -> bool {
    let (mut staying, mut lost, mut connected_at, mut since) = (0, 0, None, None);
    for endpoint in upstreams {
        if endpoint.health.is_leaving() {
            continue;
        }
        staying += 1;
        connected_at = connected_at.max(endpoint.health.connected_at());
        if let Some(at) = endpoint.health.path_lost_at() {
            lost += 1;
            since = Some(since.map_or(at, |it| at.min(it)));
        }
    }
    lost >= staying.clamp(1, MIN_LOST_PATHS) && connected_at < since
}

/// A daemon that can take a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Helper {
    /// Its name.
    pub name: String,
    /// Its address for callers.
    pub address: SocketAddr,
}

/// Chooses one of the daemons that accept callers, `accepting` by the hash of the name, at random.
pub fn choose(
    members: &[(String, Member)],
    own: &str,
    accepting: &Set<u64>,
    excluded: &[Upstream],
    random: u64,
) -> Option<Helper> {
    let may_take = |name: &str, member: &Member| {
        let is_excluded = name == own || excluded.iter().any(|it| it.as_str() == name);
        !is_excluded && !member.leaving && accepting.contains(&name_hash(name))
    };
    let open: Vec<_> = members.iter().filter(|(name, member)| may_take(name, member)).collect();
    let index = random.checked_rem(open.len() as u64)?;
    let (name, member) = open[index as usize];
    Some(Helper { name: name.clone(), address: member.caller })
}
