//! Hashes of prompt prefixes, salted per owner.
//!
//! A prompt is split into blocks of [`BLOCK_BYTES`]. The hash of a block covers the owner and all
//! preceding blocks, so it is the hash of the prefix that ends with the block: apart from
//! collisions of the 64 bits kept, equal hashes mean equal prefixes of the same owner.

use serde::{Deserialize, Serialize};

use crate::kernel::id::{Adapter, Model, Version, Workspace};

/// Tokens per block of an engine's cache.
pub const BLOCK_TOKENS: usize = 64;

/// Bytes of prompt text per token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of prompt text per block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// The hash of a prefix that ends on a block boundary.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Hash(pub u64);

/// The scope within which cached blocks are shared. Only requests of the same owner share them.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// The workspace that sent the prompt.
    pub workspace: Workspace,
    /// The model that serves the prompt.
    pub model: Model,
    /// The adapter on top of the model, if any.
    pub adapter: Option<Adapter>,
    /// The version of the weights.
    pub version: Version,
}

/// A digest of an [`Owner`] that is mixed into block hashes, by [`Chain::new`] and by engines, as
/// 32 hexadecimal digits. It is computed from names and a version only, so it contains no secrets.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Salt(pub String);

impl Owner {
    /// Returns the salt for this owner's blocks. Each field is preceded by its length so that
    /// different owners never produce the same hash input.
    pub fn salt(&self) -> Salt {
        let adapter = self.adapter.as_ref().map_or("", Adapter::as_str);
        let version = self.version.to_string();
        let mut hasher = blake3::Hasher::new();
        for field in [self.workspace.as_str(), self.model.as_str(), adapter, &version] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let digest = hasher.finalize().to_hex();
        Salt(digest[..32].to_owned())
    }
}

/// The hashes of the prefixes of a prompt that end with a full block, shortest first.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chain(pub Vec<Hash>);

impl Chain {
    /// Hashes `prompt` block by block. A partial last block gets no hash, since engines cache only
    /// full blocks.
    pub fn new(salt: &Salt, prompt: &[u8]) -> Chain {
        let mut hashes = Vec::with_capacity(prompt.len() / BLOCK_BYTES);
        let mut parent = blake3::hash(salt.0.as_bytes());
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            let mut hasher = blake3::Hasher::new();
            hasher.update(parent.as_bytes());
            hasher.update(block);
            parent = hasher.finalize();
            hashes.push(truncate(&parent));
        }
        Chain(hashes)
    }
}

/// Returns the number of tokens in a prompt of `bytes` bytes: one for each [`TOKEN_BYTES`], rounded
/// up.
pub fn token_count(bytes: usize) -> usize {
    bytes.div_ceil(TOKEN_BYTES)
}

fn truncate(hash: &blake3::Hash) -> Hash {
    let mut low = [0; 8];
    low.copy_from_slice(&hash.as_bytes()[..8]);
    Hash(u64::from_le_bytes(low))
}
