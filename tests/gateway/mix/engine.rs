//! A model of an engine: each step produces a token for each running call and prefills one chunk of
//! the oldest prompt.

use tealturn::gateway::place::Choice;

const STEP_MS: f64 = 4.34;
const STEP_MS_PER_CALL: f64 = 0.15;
const TOKENS_PER_MS: f64 = 36.7;
const CHUNK_TOKENS: u64 = 1_024;
const EVENT_TOKENS: u64 = 5;
const SLOTS: usize = 64;

/// A call at an engine.
pub struct Run {
    pub is_long: bool,
    pub priority: u8,
    pub daemon: usize,
    pub arrived_ms: u64,
    pub sent_ms: u64,
    /// Prompt tokens of others that the daemon knew to be queued there.
    pub queued_tokens: u64,
    pub memory_tokens: u64,
    pub is_short: bool,
    pub choice: Choice,
    pub unread_tokens: u64,
    pub output_tokens: u64,
    pub produced: u64,
    pub first_event_ms: Option<u64>,
    pub last_event_ms: Option<u64>,
    pub longest_interval_ms: u64,
}

/// What a run did in a step.
pub enum Event {
    First,
    /// Another event, so many milliseconds after the previous one.
    Next(u64),
    End,
}

#[derive(Default)]
pub struct Engine {
    speed: f64,
    pub waiting: Vec<Run>,
    running: Vec<Run>,
    /// When the step ends that is in progress.
    busy_until: Option<f64>,
    /// Prompt tokens that it prefills, of the first unread prompt.
    chunk: u64,
}

impl Engine {
    pub fn new(speed: f64) -> Engine {
        Engine { speed, ..Engine::default() }
    }

    /// Ends the step that ends now, if any, and starts the next one. `neighbours` is the factor by
    /// which other work slows the machine down.
    pub fn advance(&mut self, now_ms: u64, neighbours: f64, mut on: impl FnMut(&Run, Event)) {
        if self.busy_until.is_some_and(|it| it > now_ms as f64) {
            return;
        }
        let start = self.busy_until.take().unwrap_or(now_ms as f64).max(now_ms as f64 - 1.0);
        let mut chunk = std::mem::take(&mut self.chunk);
        for run in &mut self.running {
            if run.unread_tokens > 0 {
                run.unread_tokens -= std::mem::take(&mut chunk).min(run.unread_tokens);
                continue;
            }
            run.produced += 1;
            let is_end = run.produced >= run.output_tokens;
            if run.produced.is_multiple_of(EVENT_TOKENS) || is_end {
                match run.last_event_ms.replace(now_ms) {
                    None => {
                        run.first_event_ms = Some(now_ms);
                        on(run, Event::First);
                    }
                    Some(last) => {
                        run.longest_interval_ms = run.longest_interval_ms.max(now_ms - last);
                        on(run, Event::Next(now_ms - last));
                    }
                }
            }
            if is_end {
                on(run, Event::End);
            }
        }
        self.running.retain(|it| it.produced < it.output_tokens);
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let next = (0..self.waiting.len()).min_by_key(|it| self.waiting[*it].priority);
            self.running.push(self.waiting.remove(next.expect("a call waits")));
        }
        if self.running.is_empty() {
            return;
        }
        let unread = self.running.iter().map(|it| it.unread_tokens).find(|it| *it > 0);
        self.chunk = unread.unwrap_or_default().min(CHUNK_TOKENS);
        let decode_ms = STEP_MS + STEP_MS_PER_CALL * self.running.len() as f64;
        let step_ms = decode_ms + self.chunk as f64 / TOKENS_PER_MS;
        self.busy_until = Some(start + step_ms / self.speed * neighbours);
    }
}
