//! Hashes of prompt prefixes, salted with their owner.
//!
//! A prompt is cut into blocks of [`BLOCK_BYTES`]. The hash of a block covers the owner and
//! all blocks before it, so that equal hashes mean equal prefixes of the same owner.

use serde::{Deserialize, Serialize};

use crate::kernel::id::{Adapter, Model, Version, Workspace};

/// Tokens in one block of an engine's cache.
pub const BLOCK_TOKENS: usize = 64;

/// Bytes of prompt text in one token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of prompt text in one block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * TOKEN_BYTES;

/// The hash of a prefix that ends at a block's end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Hash(pub u64);

/// Who may share cached blocks: requests of the same owner only.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// The workspace that sent the prompt.
    pub workspace: Workspace,
    /// The model that reads it.
    pub model: Model,
    /// The adapter on top of the model, if any.
    pub adapter: Option<Adapter>,
    /// The version of the weights.
    pub version: Version,
}

/// A secret-free digest of an [`Owner`] that engines mix into their block hashes:
/// 32 hexadecimal digits.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Salt(pub String);

impl Owner {
    /// The salt of this owner's blocks. Each field is preceded by its length, so that no two
    /// owners give the same input.
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

/// The hashes of all whole blocks of a prompt, from the first on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Chain(pub Vec<Hash>);

impl Chain {
    /// Hashes `prompt` block by block. A last block that is not full has no hash, since
    /// engines cache whole blocks only.
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

/// The tokens of a prompt that is `bytes` long.
pub fn token_count(bytes: usize) -> usize {
    bytes.div_ceil(TOKEN_BYTES)
}

fn truncate(hash: &blake3::Hash) -> Hash {
    let mut low = [0; 8];
    low.copy_from_slice(&hash.as_bytes()[..8]);
    Hash(u64::from_le_bytes(low))
}
