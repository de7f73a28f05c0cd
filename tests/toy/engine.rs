//! A simulated engine with a prefix cache, a queue, one prefill at a time, and decode slots.

use std::collections::{BTreeMap, VecDeque};

use tealturn::{
    collections::Map,
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Request, Version},
    },
    prefix::{BLOCK_TOKENS, Hash},
    upstream::wire::{Load, Role, State, Weights},
};

pub const BATCH: usize = 16;
pub const PREFILL_RATE: u64 = 100_000;
const CACHE_BLOCKS: usize = 2_048;
const CACHE_IDLE_MS: u64 = 10_000;

#[derive(Clone, Debug)]
pub struct Job {
    pub request: Request,
    pub daemon: usize,
    pub prompt: usize,
    pub arrived: Time,
    pub tokens: u64,
    pub cached: u64,
    pub wasted: u64,
}

#[derive(Default)]
pub struct Engine {
    pub incarnation: Incarnation,
    pub alive: bool,
    pub queue: VecDeque<Job>,
    pub prefilling: Option<Job>,
    pub running: Vec<Job>,
    use_count: u64,
    /// The cached blocks, with the number of their last use.
    blocks: Map<Hash, u64>,
    /// The cached blocks by the number of their last use.
    lru: BTreeMap<u64, (Hash, Time)>,
}

impl Engine {
    pub fn new(incarnation: u64, alive: bool) -> Engine {
        Engine { incarnation: Incarnation(incarnation), alive, ..Engine::default() }
    }

    pub fn cached_blocks(&self, chain: &[Hash]) -> usize {
        let cached = chain.iter().take_while(|it| self.blocks.contains_key(it));
        cached.count()
    }

    pub fn store(&mut self, chain: &[Hash], now: Time) -> Vec<Hash> {
        let mut stored = Vec::new();
        for hash in chain.iter().rev() {
            self.use_count += 1;
            match self.blocks.insert(*hash, self.use_count) {
                Some(old) => drop(self.lru.remove(&old)),
                None => stored.push(*hash),
            }
            self.lru.insert(self.use_count, (*hash, now));
        }
        stored
    }

    pub fn evict(&mut self, now: Time) -> Vec<Hash> {
        let mut evicted = Vec::new();
        while let Some((&count, &(hash, used))) = self.lru.first_key_value() {
            let idle = now.since(used).as_millis() as u64 > CACHE_IDLE_MS;
            if self.blocks.len() <= CACHE_BLOCKS && !idle {
                break;
            }
            self.lru.remove(&count);
            self.blocks.remove(&hash);
            evicted.push(hash);
        }
        evicted
    }

    pub fn crash(&mut self) -> Vec<Job> {
        let mut lost: Vec<Job> = self.queue.drain(..).collect();
        lost.extend(self.prefilling.take());
        lost.append(&mut self.running);
        *self = Engine::new(self.incarnation.0 + 1, false);
        lost
    }

    /// Returns the prompt tokens left to prefill, given what the cache holds now.
    pub fn backlog(&self, chains: &[Vec<Hash>]) -> u64 {
        let jobs = self.queue.iter().chain(&self.prefilling);
        let left = jobs.map(|it| {
            let cached = (self.cached_blocks(&chains[it.prompt]) * BLOCK_TOKENS) as u64;
            it.tokens.saturating_sub(cached)
        });
        left.sum()
    }

    pub fn load(&self, chains: &[Vec<Hash>], age_ms: u64) -> Load {
        let (model, version) = (Model::from("m"), Version(1));
        Load {
            incarnation: self.incarnation,
            age_ms,
            running: (self.running.len() + usize::from(self.prefilling.is_some())) as u32,
            queued: self.queue.len() as u32,
            prefill_tokens: self.backlog(chains),
            batch: BATCH as u32,
            prefill_rate: PREFILL_RATE,
            leaving: false,
            state: State {
                incarnation: self.incarnation,
                loaded: vec![Weights { model, version, adapters: Vec::new() }],
                loading: Vec::new(),
                role: Role::Serve,
                fence: 0,
            },
        }
    }
}
