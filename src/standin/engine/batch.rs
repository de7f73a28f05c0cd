//! Continuous batching: which tokens an engine computes in its next step.

use std::{sync::Arc, time::Duration};

use crate::{
    kernel::clock::Time,
    prefix::{BLOCK_TOKENS, Chain},
    standin::{
        engine::{cache::Cache, stream::Stream},
        ledger::Ledger,
    },
    upstream::wire::{Change, Finish},
};

/// Prompt tokens that one step prefills at most.
pub const PIECE_TOKENS: u64 = 4_096;

/// A request in an engine.
#[derive(Debug)]
pub struct Job {
    /// Its answer.
    pub stream: Arc<Stream>,
    /// The prompt's blocks.
    pub chain: Chain,
    /// Tokens to read before the first token of the answer: the prompt and skipped tokens.
    pub input_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// Served first when higher.
    pub priority: u8,
    /// The prompt contains the text that crashes the engine.
    pub poisoned: bool,
    /// Input tokens that were computed or found in the cache.
    read: u64,
    cached: u64,
    /// Input tokens of the step under way.
    piece: u64,
}

impl Job {
    /// A request of which nothing was computed yet.
    pub fn new(stream: Arc<Stream>, chain: Chain, prompt_tokens: u64, max_tokens: u64) -> Job {
        let skipped = stream.progress.borrow().tokens;
        Job {
            stream,
            chain,
            input_tokens: prompt_tokens + skipped,
            prompt_tokens,
            max_tokens,
            priority: 0,
            poisoned: false,
            read: 0,
            cached: 0,
            piece: 0,
        }
    }

    fn is_over(&self) -> bool {
        self.stream.progress.borrow().finish.is_some()
    }

    fn left(&self) -> u64 {
        self.input_tokens - self.read
    }
}

/// How fast an engine is and what it holds.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// The most requests that are computed at once.
    pub batch: usize,
    /// The shortest step.
    pub step: Duration,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: u64,
}

/// The requests of an engine.
#[derive(Debug, Default)]
pub struct Batch {
    queue: Vec<Job>,
    running: Vec<Job>,
}

/// A step of the engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// There is nothing to do.
    Idle,
    /// A request crashes the engine.
    Crash,
    /// The next tokens take this long.
    Run(Duration),
}

impl Batch {
    /// Puts a request behind those of its priority.
    pub fn push(&mut self, job: Job) {
        let before = self.queue.iter().take_while(|it| it.priority >= job.priority);
        let place = before.count();
        self.queue.insert(place, job);
    }

    /// Requests that are computed.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Input tokens still to prefill.
    pub fn prefill_tokens(&self) -> u64 {
        let jobs = self.queue.iter().chain(&self.running);
        jobs.map(Job::left).sum()
    }

    /// Takes up waiting requests and divides the next step.
    pub fn plan(&mut self, speed: &Speed, cache: &Cache, ledger: &Ledger) -> Step {
        self.queue.retain(|it| !it.is_over());
        self.running.retain(|it| !it.is_over());
        while self.running.len() < speed.batch && !self.queue.is_empty() {
            let job = self.queue.remove(0);
            ledger.began(job.stream.answer);
            self.running.push(job);
        }
        if self.running.is_empty() {
            return Step::Idle;
        }
        if self.running.iter().any(|it| it.poisoned) {
            return Step::Crash;
        }
        self.running.sort_by_key(|it| std::cmp::Reverse(it.priority));
        let mut budget = PIECE_TOKENS;
        for job in &mut self.running {
            look_up(job, cache);
            job.piece = job.left().min(budget);
            budget -= job.piece;
        }
        let prefill = (PIECE_TOKENS - budget) * 1_000_000 / speed.prefill_rate;
        Step::Run(speed.step + Duration::from_micros(prefill))
    }

    /// Applies the step that was planned, and returns how the cache changed.
    pub fn apply(&mut self, cache: &mut Cache, ledger: &Ledger, now: Time) -> Vec<Change> {
        let mut stored = Vec::new();
        for job in &mut self.running {
            if job.piece == 0 && job.left() > 0 {
                continue;
            }
            job.read += job.piece;
            let after = (job.read as usize / BLOCK_TOKENS).min(job.chain.0.len());
            if job.piece > 0 {
                let new = cache.store(&job.chain.0[..after], now);
                ledger.stored(&new);
                stored.extend(new);
            }
            job.piece = 0;
            if job.left() == 0 {
                emit(job, ledger, now);
            }
        }
        self.running.retain(|it| !it.is_over());
        let evicted = cache.evict(now);
        ledger.removed(&evicted);
        let mut changes = Vec::new();
        if !stored.is_empty() {
            changes.push(Change::Stored(stored));
        }
        if !evicted.is_empty() {
            changes.push(Change::Removed(evicted));
        }
        changes
    }
}

/// Skips blocks that are in the cache. The last token is always computed.
fn look_up(job: &mut Job, cache: &Cache) {
    if job.left() == 0 {
        return;
    }
    let held = cache.held(&job.chain.0) as u64 * BLOCK_TOKENS as u64;
    let held = held.min(job.input_tokens - 1);
    if held > job.read {
        job.cached += held - job.read;
        job.read = held;
    }
}

/// Adds the next token to the answer of a request whose input was read.
fn emit(job: &Job, ledger: &Ledger, now: Time) {
    let mut first = false;
    job.stream.progress.send_modify(|it| {
        first = it.usage.prompt_tokens == 0;
        it.tokens += 1;
        it.usage.prompt_tokens = job.prompt_tokens;
        it.usage.cached_tokens = job.cached.min(job.prompt_tokens);
        it.usage.completion_tokens = it.tokens;
        if it.tokens >= job.max_tokens {
            it.finish = Some(Finish::Length);
            it.ended = now;
        }
    });
    if first {
        ledger.executed(job.prompt_tokens, job.cached.min(job.prompt_tokens));
    }
}
