//! What the engines of one deployment hold and computed, for the measures.

use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use crate::{
    collections::Map,
    prefix::{BLOCK_TOKENS, Hash},
    standin::answer::Answer,
};

/// Sums over all engines of a deployment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Totals {
    /// Attempts whose prompt was read to its end.
    pub executions: u64,
    /// Prompt tokens of those attempts.
    pub prompt_tokens: u64,
    /// Of these, tokens found in the engine's cache.
    pub cached_tokens: u64,
    /// Of these, tokens computed although a live engine held them.
    pub wasted_tokens: u64,
    /// Times that an engine crashed.
    pub crashes: u64,
}

/// Counts the engines that hold a block, and sums up their work.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    holders: Map<Hash, u32>,
    runs: Map<Answer, u32>,
    totals: Totals,
}

impl Ledger {
    /// The sums so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Takes note of blocks that an engine computed and that are new in its cache. Those that
    /// another engine held are counted as wasted.
    pub fn stored(&self, blocks: &[Hash]) {
        let mut inner = self.lock();
        for block in blocks {
            let holders = inner.holders.entry(*block).or_default();
            *holders += 1;
            if *holders > 1 {
                inner.totals.wasted_tokens += BLOCK_TOKENS as u64;
            }
        }
    }

    /// Takes note of blocks that an engine read from a KV store.
    pub fn imported(&self, blocks: &[Hash]) {
        let mut inner = self.lock();
        for block in blocks {
            *inner.holders.entry(*block).or_default() += 1;
        }
    }

    /// Takes note of blocks that left an engine's cache.
    pub fn removed(&self, blocks: &[Hash]) {
        let mut inner = self.lock();
        for block in blocks {
            let Some(count) = inner.holders.get_mut(block) else {
                continue;
            };
            *count -= 1;
            if *count == 0 {
                inner.holders.remove(block);
            }
        }
    }

    /// Takes note of an attempt that an engine began to compute.
    pub fn began(&self, answer: Answer) {
        *self.lock().runs.entry(answer).or_default() += 1;
    }

    /// How many attempts of requests with this prompt were begun, over all engines.
    pub fn runs(&self, prompt: &str) -> u32 {
        let runs = self.lock();
        runs.runs.get(&Answer::new(prompt)).copied().unwrap_or(0)
    }

    /// Takes note of an attempt whose prompt was read.
    pub fn executed(&self, prompt_tokens: u64, cached_tokens: u64) {
        let mut inner = self.lock();
        inner.totals.executions += 1;
        inner.totals.prompt_tokens += prompt_tokens;
        inner.totals.cached_tokens += cached_tokens;
    }

    /// Takes note of a crash.
    pub fn crashed(&self) {
        self.lock().totals.crashes += 1;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}
