//! Whether to import exported KV cache instead of prefilling a prompt's blocks.
//!
//! Blocks are imported only from a run of an engine that still lives, for the same owner, and
//! only where that takes less time than computing them.

use std::time::Duration;

use crate::{
    kernel::id::{Incarnation, Upstream},
    prefix::{BLOCK_TOKENS, Owner},
    upstream::directory::Directory,
};

/// The weight of the newest import in the mean cost.
const WEIGHT: f64 = 0.1;

/// Blocks that were exported to a KV store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExportedBlocks {
    /// Whose blocks they are.
    pub owner: Owner,
    /// The engine that exported them.
    pub exporter: Upstream,
    /// Its run at the time.
    pub incarnation: Incarnation,
    /// How many blocks, from the first of the prompt on.
    pub blocks: u64,
}

/// A prompt that could make use of exported blocks.
#[derive(Clone, Copy, Debug)]
pub struct ImportQuery<'a> {
    /// Whose prompt it is.
    pub owner: &'a Owner,
    /// Blocks that the prompt shares with the exported ones, from the first on.
    pub shared: u64,
    /// Blocks of them that the chosen engine holds already.
    pub cached: u64,
    /// Tokens that the chosen engine prefills a second.
    pub prefill_rate: u64,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Import so many blocks, from the first on.
    Import(u64),
    /// Prefill.
    Prefill(Reason),
}

/// Why blocks are not imported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// They belong to another workspace.
    OtherWorkspace,
    /// They were computed by another model, adapter or version.
    WeightsMismatch,
    /// The run that exported them has ended, or is not known.
    ExporterGone,
    /// The engine holds them already.
    AlreadyCached,
    /// Computing them takes less time.
    PrefillFaster,
}

/// The measured time that imports take.
#[derive(Clone, Copy, Debug, Default)]
pub struct ImportCost {
    /// Seconds per block; `None` before the first import.
    block_s: Option<f64>,
}

impl ImportCost {
    /// Takes note of an import.
    pub fn record_import(&mut self, blocks: u64, took: Duration) {
        if blocks == 0 {
            return;
        }
        let new = took.as_secs_f64() / blocks as f64;
        let old = self.block_s.unwrap_or(new);
        self.block_s = Some(old + WEIGHT * (new - old));
    }

    /// Decides. The first import is tried, since nothing is measured before it.
    pub fn decide(
        &self,
        need: &ImportQuery<'_>,
        exported: &ExportedBlocks,
        directory: &Directory,
    ) -> Decision {
        if let Some(reason) = refusal(need, exported, directory) {
            return Decision::Prefill(reason);
        }
        let blocks = need.shared.min(exported.blocks);
        if blocks <= need.cached {
            return Decision::Prefill(Reason::AlreadyCached);
        }
        let missing = (blocks - need.cached) as f64;
        let prefill = missing * BLOCK_TOKENS as f64 / need.prefill_rate.max(1) as f64;
        let import = self.block_s.unwrap_or(0.0) * blocks as f64;
        if import >= prefill {
            return Decision::Prefill(Reason::PrefillFaster);
        }
        Decision::Import(blocks)
    }
}

/// Why these blocks must not be used, whatever they cost.
fn refusal(
    need: &ImportQuery<'_>,
    exported: &ExportedBlocks,
    directory: &Directory,
) -> Option<Reason> {
    if exported.owner.workspace != need.owner.workspace {
        return Some(Reason::OtherWorkspace);
    }
    if exported.owner != *need.owner {
        return Some(Reason::WeightsMismatch);
    }
    let exporter = directory.get(&exported.exporter);
    let lives = exporter.is_some_and(|it| it.alive && it.incarnation == exported.incarnation);
    (!lives).then_some(Reason::ExporterGone)
}
