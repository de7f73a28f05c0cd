//! What a daemon knows of the upstreams.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use crate::{
    collections::Map,
    kernel::{
        clock::Time,
        id::{self, Adapter, Incarnation, Model, Version, Zone},
    },
    platform::vm::Role,
    prefix::Owner,
    route::pool::{Pool, Pools},
    upstream::wire::Load,
};

/// One upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// What runs there.
    pub role: Role,
    /// The newest run that was seen.
    pub incarnation: Incarnation,
    /// It answered the last time it was asked.
    pub alive: bool,
    /// It gets no new work.
    pub leaving: bool,
    /// When this run was first seen.
    pub since: Time,
    /// Its last load report, if it is an engine.
    pub load: Option<Load>,
    /// When that report arrived.
    pub reported: Time,
}

impl Upstream {
    /// Whether it may get new work.
    pub fn is_open(&self) -> bool {
        self.alive && !self.leaving
    }

    /// Whether its last report says that it has these weights ready.
    pub fn serves(&self, model: &Model, adapter: Option<&Adapter>, version: Version) -> bool {
        let Some(load) = &self.load else { return false };
        load.state.loaded.iter().any(|it| {
            it.model == *model
                && it.version == version
                && adapter.is_none_or(|adapter| it.adapters.contains(adapter))
        })
    }
}

/// All upstreams that a daemon knows, by name.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    upstreams: Vec<Arc<Upstream>>,
    index: Map<id::Upstream, usize>,
    pools: OnceLock<Arc<Pools>>,
}

impl Directory {
    /// A directory of these upstreams.
    pub fn new(mut upstreams: Vec<Arc<Upstream>>) -> Directory {
        upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        let names = upstreams.iter().enumerate();
        let index = names.map(|(place, it)| (it.name.clone(), place)).collect();
        Directory { upstreams, index, pools: OnceLock::new() }
    }

    /// All upstreams, ordered by name.
    pub fn upstreams(&self) -> &[Arc<Upstream>] {
        &self.upstreams
    }

    /// One upstream.
    pub fn get(&self, name: &id::Upstream) -> Option<&Arc<Upstream>> {
        self.index.get(name).map(|place| &self.upstreams[*place])
    }

    /// The engines that have the owner's weights ready. Arranged at the first call.
    pub fn pool(&self, owner: &Owner) -> Option<&Pool> {
        let pools = || Arc::new(Pools::new(&self.upstreams));
        self.pools.get_or_init(pools).get(owner)
    }
}
