//! Selects the KV store where the parts of a prompt are kept.

use crate::{gateway::document::KvStore, route::pool::mix};

/// The KV store for prompts with these shared parts. All daemons select the same one, so that
/// several stores hold different prompts and not copies of the same.
pub(super) fn assigned(stores: &[KvStore], prefix: u64) -> Option<KvStore> {
    stores.iter().max_by_key(|it| mix(prefix ^ it.cache())).copied()
}
