//! The engines that serve the same weights, arranged for rendezvous hashing.
//!
//! Each prefix has an order of homes over the pool that is the same in every daemon. A small
//! pool is ordered by the highest random weight. In a large one each home is drawn from a tree
//! over the hashes of the names, in a time that grows with the logarithm of the pool's size.
//! Either way a home that closes or opens moves few prefixes but its own.

use std::sync::Arc;

use crate::{
    collections::Map,
    kernel::id::{Adapter, Model, Version},
    prefix::Owner,
    upstream::{directory::Upstream, wire::Role},
};

/// The largest pool that is ordered by the weight of each member.
const ORDERED_MEMBERS: usize = 64;

/// Draws for one home before its place counts as closed.
const DRAWS: u64 = 8;

/// Whose weights an engine has loaded.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Weights {
    model: Model,
    adapter: Option<Adapter>,
    version: Version,
}

/// The pools of a directory, by weights.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Map<Weights, Pool>,
}

/// The engines that have the same weights ready.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    id: u64,
    open: usize,
    busy: f64,
    used: f64,
    backlog: f64,
}

/// An engine of a pool.
#[derive(Clone, Debug)]
pub struct Member {
    /// The hash of its name, the same in every daemon.
    pub hash: u64,
    /// What is known of it.
    pub upstream: Arc<Upstream>,
}

/// A number that stands for the owner's weights.
pub fn weights_id(owner: &Owner) -> u64 {
    Weights::new(owner).id()
}

impl Weights {
    fn new(owner: &Owner) -> Weights {
        Weights {
            model: owner.model.clone(),
            adapter: owner.adapter.clone(),
            version: owner.version,
        }
    }

    fn id(&self) -> u64 {
        let adapter = self.adapter.as_ref().map_or("", Adapter::as_str);
        let names = name_hash(self.model.as_str()) ^ mix(name_hash(adapter));
        mix(names ^ self.version.0)
    }
}

impl Pools {
    /// Arranges the engines by what their last reports say they have loaded.
    pub fn new(upstreams: &[Arc<Upstream>]) -> Pools {
        let mut pools = Pools::default();
        for upstream in upstreams {
            let Some(load) = &upstream.load else { continue };
            if load.state.role != Role::Serve || load.incarnation != upstream.incarnation {
                continue;
            }
            for loaded in &load.state.loaded {
                let adapters = loaded.adapters.iter().cloned().map(Some);
                for adapter in adapters.chain([None]) {
                    let weights =
                        Weights { model: loaded.model.clone(), adapter, version: loaded.version };
                    pools.pools.entry(weights).or_default().add(upstream);
                }
            }
        }
        for (weights, pool) in &mut pools.pools {
            pool.id = weights.id();
            pool.members.sort_by_key(|it| it.hash);
        }
        pools
    }

    /// The engines that may answer the owner's requests.
    pub fn get(&self, owner: &Owner) -> Option<&Pool> {
        self.pools.get(&Weights::new(owner))
    }
}

impl Pool {
    /// All members, open or not, ordered by the hash of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// A number that stands for the weights.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Members that get new work.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// The member whose name has this hash.
    pub fn find_by_hash(&self, hash: u64) -> Option<&Member> {
        let place = self.members.binary_search_by_key(&hash, |it| it.hash);
        place.ok().map(|it| &self.members[it])
    }

    /// The mean time to prefill what open members have in their queues, in seconds.
    pub fn mean_backlog_s(&self) -> f64 {
        self.backlog / self.open.max(1) as f64
    }

    /// The mean load of open members; above 1 requests wait.
    pub fn mean_load(&self) -> f64 {
        self.busy / self.open.max(1) as f64
    }

    /// How many open members' worth of work is in progress, without what waits.
    pub fn engines_in_use(&self) -> f64 {
        self.used
    }

    /// The home of `key` at `place` in its order, among the members that `open` accepts. A
    /// place after the last of a small pool has none.
    pub fn home(
        &self,
        key: u64,
        place: usize,
        open: impl Fn(&Upstream) -> bool,
    ) -> Option<&Member> {
        if self.members.len() <= ORDERED_MEMBERS {
            return self.ordered(key, place, open);
        }
        for draw in 0..DRAWS {
            let member = self.draw(mix(key ^ mix((place as u64) << 8 | draw)));
            if open(&member.upstream) {
                return Some(member);
            }
        }
        self.members.iter().find(|it| open(&it.upstream))
    }

    fn add(&mut self, upstream: &Arc<Upstream>) {
        self.members
            .push(Member { hash: name_hash(upstream.name.as_str()), upstream: upstream.clone() });
        if upstream.is_open() {
            self.open += 1;
            self.busy += engine_load(upstream);
            self.used += engine_load(upstream).min(1.0);
            self.backlog += backlog(upstream);
        }
    }

    fn ordered(&self, key: u64, place: usize, open: impl Fn(&Upstream) -> bool) -> Option<&Member> {
        let mut weights = [(0, 0); ORDERED_MEMBERS];
        let mut count = 0;
        for (index, member) in self.members.iter().enumerate() {
            if !open(&member.upstream) {
                continue;
            }
            weights[count] = (mix(key ^ member.hash), index);
            count += 1;
        }
        if place >= count {
            return None;
        }
        let weights = &mut weights[..count];
        let (_, chosen, _) = weights.select_nth_unstable_by(place, |a, b| b.cmp(a));
        Some(&self.members[chosen.1])
    }

    /// Walks down the bits of the name hashes. At each branch the part of the keys that go to
    /// either side is the part of the members there.
    fn draw(&self, key: u64) -> &Member {
        let mut members = &self.members[..];
        for bit in (0..u64::BITS).rev() {
            if members.len() == 1 {
                break;
            }
            let split = members.partition_point(|it| it.hash >> bit & 1 == 0);
            let (low, high) = members.split_at(split);
            let random = u128::from(mix(key ^ u64::from(bit)));
            let place = (random * members.len() as u128) >> u64::BITS;
            members = if (place as usize) < split { low } else { high };
        }
        &members[0]
    }
}

/// The part of an engine that its last report shows in use; above 1 requests wait.
pub fn engine_load(upstream: &Upstream) -> f64 {
    let Some(load) = &upstream.load else {
        return 0.0;
    };
    let slots = f64::from(load.running + load.queued) / f64::from(load.batch.max(1));
    slots.max(backlog(upstream))
}

/// The time to prefill what waits at an engine, in seconds.
fn backlog(upstream: &Upstream) -> f64 {
    let load = upstream.load.as_ref();
    load.map_or(0.0, |it| it.prefill_tokens as f64 / it.prefill_rate.max(1) as f64)
}

/// The place of rank `rank` among `count` places, in an order of its own for each `key`. One
/// place more or less changes few ranks.
pub fn index_at_rank(key: u64, count: usize, rank: usize) -> usize {
    if count > ORDERED_MEMBERS {
        return jump(mix(key ^ rank as u64), count);
    }
    let mut weights = [(0, 0); ORDERED_MEMBERS];
    for (place, weight) in weights[..count].iter_mut().enumerate() {
        *weight = (mix(key ^ mix(place as u64)), place);
    }
    let weights = &mut weights[..count];
    let (_, chosen, _) = weights.select_nth_unstable_by(rank % count, |a, b| b.cmp(a));
    chosen.1
}

/// Jump consistent hashing (Lamping and Veach).
fn jump(key: u64, count: usize) -> usize {
    let (mut key, mut place, mut next) = (key, 0, 0_u64);
    while next < count as u64 {
        place = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let scale = (1_u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((place + 1) as f64 * scale) as u64;
    }
    place as usize
}

/// The hash of an upstream's name, the same in every daemon.
pub fn name_hash(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
