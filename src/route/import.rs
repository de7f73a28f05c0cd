//! Decides whether to import exported KV cache blocks instead of prefilling them.
//!
//! Blocks are imported only if the incarnation that exported them is still alive, only for the same
//! owner, and only if that takes less time than computing them. An import reads all leading blocks,
//! including those already cached; prefill computes only the missing ones.

use std::time::Duration;

use crate::{
    kernel::id::{Incarnation, Upstream},
    prefix::{BLOCK_TOKENS, Owner},
    upstream::directory::Directory,
};

/// Weight of the newest import in the moving average of the cost.
const COST_WEIGHT: f64 = 0.1;

/// Blocks that an engine wrote to a KV store (see [`crate::upstream::wire::Export`]).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Export {
    /// The owner of the blocks.
    pub owner: Owner,
    /// The engine that exported them.
    pub exporter: Upstream,
    /// The incarnation of the engine that exported them.
    pub incarnation: Incarnation,
    /// The number of blocks, counted from the start of the prompt.
    pub blocks: u64,
}

/// A prompt that shares a prefix with exported blocks.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The owner of the prompt.
    pub owner: &'a Owner,
    /// Leading blocks that the prompt shares with the exported ones.
    pub shared: u64,
    /// Shared blocks that the chosen engine already has in its cache.
    pub cached: u64,
    /// Prefill speed of the chosen engine in tokens per second.
    pub prefill_rate: u64,
}

/// Whether to import or to prefill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Import this many leading blocks.
    Import(u64),
    /// Prefill, for the given reason.
    Prefill(Reason),
}

/// Why blocks are not imported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// They belong to another workspace.
    OtherWorkspace,
    /// They were computed by another model, adapter or version.
    WeightsMismatch,
    /// The incarnation that exported them has ended or is unknown.
    ExporterGone,
    /// The engine already has them in its cache.
    AlreadyCached,
    /// Computing them takes no longer than importing them.
    PrefillFaster,
}

/// The moving average of the time per block of the imports recorded in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Seconds per block; `None` before the first import.
    block_s: Option<f64>,
}

impl Cost {
    /// Records the duration of an import.
    pub fn record_import(&mut self, blocks: u64, took: Duration) {
        if blocks == 0 {
            return;
        }
        let new = took.as_secs_f64() / blocks as f64;
        let old = self.block_s.unwrap_or(new);
        self.block_s = Some(old + COST_WEIGHT * (new - old));
    }

    /// Decides whether to import. The cost counts as zero until the first import is recorded.
    pub fn decide(&self, query: &Query<'_>, exported: &Export, directory: &Directory) -> Decision {
        if let Some(reason) = refusal(query, exported, directory) {
            return Decision::Prefill(reason);
        }
        let blocks = query.shared.min(exported.blocks);
        if blocks <= query.cached {
            return Decision::Prefill(Reason::AlreadyCached);
        }
        let missing = (blocks - query.cached) as f64;
        let prefill = missing * BLOCK_TOKENS as f64 / query.prefill_rate.max(1) as f64;
        let import = self.block_s.unwrap_or(0.0) * blocks as f64;
        if import >= prefill {
            return Decision::Prefill(Reason::PrefillFaster);
        }
        Decision::Import(blocks)
    }
}

/// Returns the reason why the blocks must not be used regardless of cost, if there is one.
fn refusal(query: &Query<'_>, exported: &Export, directory: &Directory) -> Option<Reason> {
    if exported.owner.workspace != query.owner.workspace {
        return Some(Reason::OtherWorkspace);
    }
    if exported.owner != *query.owner {
        return Some(Reason::WeightsMismatch);
    }
    let exporter = directory.get(&exported.exporter);
    let is_alive = exporter.is_some_and(|it| it.alive && it.incarnation == exported.incarnation);
    (!is_alive).then_some(Reason::ExporterGone)
}
