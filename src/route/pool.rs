//! Pools of engines that serve the same weights, with rendezvous hashing.
//!
//! Each prefix has an ordering of the pool's members that is the same in every daemon. The first
//! members in the ordering of a prefix are its homes (see [`super::homes`]). Small pools use
//! highest random weight hashing. In large pools the member at each rank is sampled from a binary
//! tree over the name hashes, in time logarithmic in the size of the pool; ranks are sampled
//! independently, so a member may occur at more than one. With both methods, a member that closes
//! or opens moves few prefixes other than its own.

use std::sync::Arc;

use crate::{
    collections::Map,
    kernel::id::{Adapter, Model, Version},
    prefix::Owner,
    upstream::{directory::Upstream, wire::Role},
};

/// Largest number of members, or of indices (see [`index_at_rank`]), for which highest random
/// weight hashing is used.
const MAX_RANKED_MEMBERS: usize = 64;

/// Samples tried for one rank before falling back to the first allowed member.
const MAX_SAMPLES: u64 = 8;

/// The weights that identify a pool.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Weights {
    model: Model,
    adapter: Option<Adapter>,
    version: Version,
}

/// The pools of a directory, keyed by weights.
#[derive(Debug, Default)]
pub struct Pools {
    pools: Map<Weights, Pool>,
}

/// The engines that have the same weights loaded.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    id: u64,
    open_count: usize,
    total_load: f64,
    engines_in_use: f64,
    total_backlog_s: f64,
}

/// An engine of a pool.
#[derive(Clone, Debug)]
pub struct Member {
    /// The hash of the engine's name, the same in every daemon.
    pub hash: u64,
    /// The directory entry of the engine.
    pub upstream: Arc<Upstream>,
}

/// Returns a hash that identifies the owner's weights.
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
    /// Groups engines by the weights that their last load reports list as loaded.
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

    /// Returns the engines that can serve the owner's requests.
    pub fn get(&self, owner: &Owner) -> Option<&Pool> {
        self.pools.get(&Weights::new(owner))
    }
}

impl Pool {
    /// Returns all members, open or not, ordered by name hash.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns a hash that identifies the weights.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Returns the number of open members (see [`Upstream::is_open`]).
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the member with this name hash.
    pub fn find_by_hash(&self, hash: u64) -> Option<&Member> {
        let place = self.members.binary_search_by_key(&hash, |it| it.hash);
        place.ok().map(|it| &self.members[it])
    }

    /// Returns the mean time that open members need to prefill their queues, in seconds.
    pub fn mean_backlog_s(&self) -> f64 {
        self.total_backlog_s / self.open_count.max(1) as f64
    }

    /// Returns the mean load of open members. Requests wait if it is above 1.
    pub fn mean_load(&self) -> f64 {
        self.total_load / self.open_count.max(1) as f64
    }

    /// Returns the work in progress in units of whole engines, without waiting requests.
    pub fn engines_in_use(&self) -> f64 {
        self.engines_in_use
    }

    /// Returns the member at `rank` in the ordering of `key`, among the members that `allows`
    /// accepts. In a large pool, ranks may have the same member. Returns `None` for a rank beyond
    /// the last allowed member of a small pool, or if no member is allowed.
    pub fn member_at_rank(
        &self,
        key: u64,
        rank: usize,
        allows: impl Fn(&Upstream) -> bool,
    ) -> Option<&Member> {
        if self.members.len() <= MAX_RANKED_MEMBERS {
            return self.ranked_member(key, rank, allows);
        }
        for attempt in 0..MAX_SAMPLES {
            let member = self.sample(mix(key ^ mix((rank as u64) << 8 | attempt)));
            if allows(&member.upstream) {
                return Some(member);
            }
        }
        self.members.iter().find(|it| allows(&it.upstream))
    }

    fn add(&mut self, upstream: &Arc<Upstream>) {
        self.members
            .push(Member { hash: name_hash(upstream.name.as_str()), upstream: upstream.clone() });
        if upstream.is_open() {
            self.open_count += 1;
            self.total_load += engine_load(upstream);
            self.engines_in_use += engine_load(upstream).min(1.0);
            self.total_backlog_s += backlog_s(upstream);
        }
    }

    fn ranked_member(
        &self,
        key: u64,
        rank: usize,
        allows: impl Fn(&Upstream) -> bool,
    ) -> Option<&Member> {
        let mut scores = [(0, 0); MAX_RANKED_MEMBERS];
        let mut count = 0;
        for (index, member) in self.members.iter().enumerate() {
            if !allows(&member.upstream) {
                continue;
            }
            scores[count] = (mix(key ^ member.hash), index);
            count += 1;
        }
        if rank >= count {
            return None;
        }
        let scores = &mut scores[..count];
        let (_, chosen, _) = scores.select_nth_unstable_by(rank, |a, b| b.cmp(a));
        Some(&self.members[chosen.1])
    }

    /// Samples a member by descending the binary tree over the name hashes. At each branch, the
    /// fraction of keys that go to a side is the fraction of members on it.
    fn sample(&self, key: u64) -> &Member {
        let mut members = &self.members[..];
        for bit in (0..u64::BITS).rev() {
            if members.len() == 1 {
                break;
            }
            let split = members.partition_point(|it| it.hash >> bit & 1 == 0);
            let (low, high) = members.split_at(split);
            let random = u128::from(mix(key ^ u64::from(bit)));
            let index = (random * members.len() as u128) >> u64::BITS;
            members = if (index as usize) < split { low } else { high };
        }
        &members[0]
    }
}

/// Returns the load of an engine according to its last report, as a fraction of its capacity.
/// Requests wait if it is above 1.
pub fn engine_load(upstream: &Upstream) -> f64 {
    let Some(load) = &upstream.load else {
        return 0.0;
    };
    let slot_use = f64::from(load.running + load.queued) / f64::from(load.batch.max(1));
    slot_use.max(backlog_s(upstream))
}

/// Returns the time that an engine needs to prefill its queue, in seconds.
fn backlog_s(upstream: &Upstream) -> f64 {
    let load = upstream.load.as_ref();
    load.map_or(0.0, |it| it.prefill_tokens as f64 / it.prefill_rate.max(1) as f64)
}

/// Returns the index at `rank` in a pseudorandom ordering of `0..count` determined by `key`. Above
/// `MAX_RANKED_MEMBERS`, each rank gets its index independently, so ranks may have the same one.
/// Increasing or decreasing `count` by one changes few ranks.
pub fn index_at_rank(key: u64, count: usize, rank: usize) -> usize {
    if count > MAX_RANKED_MEMBERS {
        return jump_hash(mix(key ^ rank as u64), count);
    }
    let mut scores = [(0, 0); MAX_RANKED_MEMBERS];
    for (index, score) in scores[..count].iter_mut().enumerate() {
        *score = (mix(key ^ mix(index as u64)), index);
    }
    let scores = &mut scores[..count];
    let (_, chosen, _) = scores.select_nth_unstable_by(rank % count, |a, b| b.cmp(a));
    chosen.1
}

/// Jump consistent hash (Lamping and Veach).
fn jump_hash(key: u64, count: usize) -> usize {
    let (mut key, mut index, mut next) = (key, 0, 0_u64);
    while next < count as u64 {
        index = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let scale = (1_u64 << 31) as f64 / ((key >> 33) + 1) as f64;
        next = ((index + 1) as f64 * scale) as u64;
    }
    index as usize
}

/// Returns the hash of an upstream's name, the same in every daemon.
pub fn name_hash(name: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Mixes the bits of a number with the SplitMix64 finalizer.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
