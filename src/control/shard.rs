//! The division of the engines into shards, and of the shards over the daemons.

use crate::kernel::id::Upstream;

/// Shards of the whole fleet. Only those that have engines have a lease.
pub const SHARDS: u16 = 64;

/// What a lease is for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Name {
    /// Orders to the engines of a shard.
    Shard(u16),
    /// One load of weights at a time.
    Load(u16),
}

/// The prefix of the keys of all leases.
pub const PREFIX: &str = "control/";

impl Name {
    /// The key of the lease's row.
    pub fn key(self) -> String {
        match self {
            Name::Shard(number) => format!("{PREFIX}shard/{number:03}"),
            Name::Load(number) => format!("{PREFIX}load/{number:03}"),
        }
    }
}

/// The shard of an engine.
pub fn shard(upstream: &Upstream) -> u16 {
    let hash = blake3::hash(upstream.as_str().as_bytes());
    let bytes = hash.as_bytes();
    u16::from_le_bytes([bytes[0], bytes[1]]) % SHARDS
}

/// The leases that a daemon should hold when `daemons` of them divide `shards` among each other.
pub fn share(shards: usize, daemons: usize) -> usize {
    shards.div_ceil(daemons.max(1))
}
