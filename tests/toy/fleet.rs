//! Simulates daemons, each with its own policy, in front of engines, in virtual time.

use std::{cmp::Reverse, collections::BinaryHeap, mem, sync::Arc, time::Duration};

use tealturn::{
    kernel::{
        clock::Time,
        id::{Request, Zone},
    },
    platform::vm,
    prefix::{BLOCK_TOKENS, Chain, Hash},
    route::{self, Choice, Event, Policy, Query},
    upstream::{
        directory::{Directory, Upstream},
        wire::{self, Change, Events},
    },
};

use crate::{
    engine::{BATCH, Engine, Job, PREFILL_RATE},
    load::Workload,
};

const DAEMONS: usize = 7;
const REPORT_MS: u64 = 100;
const DECODE_MS: u64 = 120;
const RESTART_MS: u64 = 500;

/// How the cache events of engines reach the daemons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventDelivery {
    Absent,
    /// Delivered after a delay, with a few lost.
    Lossy,
    Late,
    /// Attributed to a different engine.
    Wrong,
}

#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub policy: &'static str,
    pub seed: u64,
    pub engines: usize,
    pub requests_per_s: u64,
    pub event_delivery: EventDelivery,
    /// Whether callers mark the levels of their prompts.
    pub levels: bool,
    pub seconds: u64,
    /// Time at which an engine crashes.
    pub crash_s: Option<u64>,
    /// Time at which some workspaces switch to new handbooks.
    pub shift_s: Option<u64>,
    /// Number of workspaces that switch, largest first.
    pub shifted: usize,
    /// Time at which all daemons restart.
    pub daemon_restart_s: Option<u64>,
}

#[derive(Debug, Default)]
pub struct SecondStats {
    pub prompt: u64,
    pub cached: u64,
    pub wasted: u64,
    pub first_ms: Vec<f64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrival,
    Prefilled(usize, u64),
    Decoded(usize, u64, Request),
    Report,
    DeliverCacheEvents(usize, u64, u64, Vec<(bool, Vec<u64>)>),
    Crash(usize),
    EngineRestarted(usize),
    ShiftHandbooks,
    RestartDaemons,
}

pub struct Fleet {
    scenario: Scenario,
    workload: Workload,
    engines: Vec<Engine>,
    /// The policy of each daemon; `None` for the oracle.
    daemons: Vec<Option<Box<dyn Policy>>>,
    directory: Directory,
    /// The contents of the next directory. Reports arrive one interval after they are taken.
    next_reports: Vec<Arc<Upstream>>,
    cache_event_seqs: Vec<u64>,
    event_queue: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    /// Counter for request IDs, and for the order of simultaneous events.
    last_id: u64,
    pub seconds: Vec<SecondStats>,
}

/// Runs a scenario and returns the statistics of each second.
pub fn run(scenario: Scenario) -> Vec<SecondStats> {
    let mut fleet = Fleet::new(scenario);
    while let Some(Reverse((now, _, event))) = fleet.event_queue.pop() {
        if now >= Time::from_millis(scenario.seconds * 1_000) {
            break;
        }
        fleet.step(event, now);
    }
    fleet.seconds
}

impl Fleet {
    fn new(scenario: Scenario) -> Fleet {
        let engine = || Engine::new(1, true);
        let mut fleet = Fleet {
            scenario,
            workload: Workload::new(scenario.seed),
            engines: (0..scenario.engines).map(|_| engine()).collect(),
            daemons: new_daemons(scenario.policy),
            directory: Directory::default(),
            next_reports: Vec::new(),
            cache_event_seqs: vec![0; scenario.engines],
            event_queue: BinaryHeap::new(),
            last_id: 0,
            seconds: (0..scenario.seconds).map(|_| SecondStats::default()).collect(),
        };
        fleet.exchange_reports(Time::default());
        fleet.directory = Directory::new(fleet.next_reports.clone());
        fleet.schedule(Time::default(), SimEvent::Arrival);
        let faults = [
            (scenario.crash_s, SimEvent::Crash(0)),
            (scenario.shift_s, SimEvent::ShiftHandbooks),
            (scenario.daemon_restart_s, SimEvent::RestartDaemons),
        ];
        for (second, event) in faults {
            let Some(second) = second else { continue };
            fleet.schedule(Time::from_millis(second * 1_000), event);
        }
        fleet
    }

    fn schedule(&mut self, time: Time, event: SimEvent) {
        self.last_id += 1;
        self.event_queue.push(Reverse((time, self.last_id, event)));
    }

    fn step(&mut self, event: SimEvent, now: Time) {
        match event {
            SimEvent::Arrival => {
                let gap = self.workload.random() % (2_000_000 / self.scenario.requests_per_s);
                self.schedule(now + Duration::from_micros(gap), SimEvent::Arrival);
                let prompt = self.workload.generate_prompt();
                self.dispatch(prompt, now);
            }
            SimEvent::Prefilled(index, run) => self.prefilled(index, run, now),
            SimEvent::Decoded(index, run, request) => self.decoded(index, run, request, now),
            SimEvent::Report => self.exchange_reports(now),
            SimEvent::DeliverCacheEvents(index, run, seq, changes) => {
                self.deliver_cache_events(index, run, seq, changes, now)
            }
            SimEvent::Crash(index) => {
                for job in self.engines[index].crash() {
                    self.observe(
                        job.daemon,
                        &Event::Ended { request: job.request, cached_tokens: None },
                        now,
                    );
                    self.dispatch(job.prompt, now);
                }
                self.schedule(
                    now + Duration::from_millis(RESTART_MS),
                    SimEvent::EngineRestarted(index),
                );
            }
            SimEvent::EngineRestarted(index) => self.engines[index].alive = true,
            SimEvent::ShiftHandbooks => {
                for edition in &mut self.workload.editions[..self.scenario.shifted] {
                    *edition += 1;
                }
            }
            SimEvent::RestartDaemons => self.daemons = new_daemons(self.scenario.policy),
        }
    }

    fn dispatch(&mut self, prompt: usize, now: Time) {
        self.last_id += 1;
        let request = Request(u128::from(self.last_id));
        let daemon = self.workload.random() as usize % DAEMONS;
        let random = self.workload.random();
        let index = self.choose(prompt, request, daemon, random, now);
        let Some(index) = index else {
            // The engine has crashed and the directory does not reflect it yet.
            let retry = now + Duration::from_millis(REPORT_MS);
            self.schedule(retry, SimEvent::Arrival);
            return;
        };
        self.engines[index].queue.push_back(Job {
            request,
            daemon,
            prompt,
            arrived: now,
            tokens: self.workload.prompts[prompt].tokens,
            cached: 0,
            wasted: 0,
        });
        self.start_prefill(index, now);
    }

    fn choose(
        &mut self,
        prompt: usize,
        request: Request,
        daemon: usize,
        random: u64,
        now: Time,
    ) -> Option<usize> {
        let Some(policy) = &self.daemons[daemon] else {
            return self.oracle(prompt);
        };
        let it = &self.workload.prompts[prompt];
        let chain = Chain(self.workload.chains[prompt].clone());
        let zone = Zone::from("z");
        let mut avoid = Vec::new();
        loop {
            let query = Query {
                request,
                owner: &self.workload.owners[it.owner],
                chain: &chain,
                levels: if self.scenario.levels { &it.levels } else { &[] },
                prompt_tokens: it.tokens,
                avoid: &avoid,
                zone: &zone,
            };
            let choice: Choice = policy.choose(&query, &self.directory, now, random)?;
            let index: usize = choice.upstream.as_str()[1..].parse().expect("an engine index");
            if self.engines[index].alive && self.engines[index].incarnation == choice.incarnation {
                let choice = &choice;
                policy.observe(&Event::Sent { query, choice }, now);
                return Some(index);
            }
            avoid.push(choice.upstream);
        }
    }

    /// Returns the best engine, given full knowledge of every cache and queue.
    fn oracle(&self, prompt: usize) -> Option<usize> {
        let chains = &self.workload.chains;
        let chain = &chains[prompt];
        let backlog = self.engines.iter().map(|it| it.backlog(chains)).sum::<u64>();
        let backlog_s = backlog as f64 / (PREFILL_RATE * self.engines.len() as u64) as f64;
        let weight = 2.0 * (1.0 + backlog_s / 0.05);
        let cost = |engine: &Engine| {
            let jobs = engine.queue.iter().chain(&engine.prefilling);
            let shared = jobs.map(|it| common_prefix_len(&chains[it.prompt], chain)).max();
            let cached = engine.cached_blocks(chain).max(shared.unwrap_or(0)) * BLOCK_TOKENS;
            let uncached = self.workload.prompts[prompt].tokens - cached as u64;
            let used = engine.queue.len() + engine.running.len();
            let slots = used.saturating_sub(BATCH) as u64 * DECODE_MS * 1_000 / BATCH as u64;
            let prefill = engine.backlog(chains) as f64 + weight * uncached as f64;
            let prefill = prefill * 1e6 / PREFILL_RATE as f64;
            (prefill as u64 + slots, used)
        };
        let engines = self.engines.iter().enumerate().filter(|(_, it)| it.alive);
        engines.min_by_key(|(_, it)| cost(it)).map(|(index, _)| index)
    }

    fn start_prefill(&mut self, index: usize, now: Time) {
        let engine = &self.engines[index];
        if engine.prefilling.is_some() || engine.running.len() >= BATCH {
            return;
        }
        let Some(job) = engine.queue.front() else {
            return;
        };
        let chain = &self.workload.chains[job.prompt];
        let cached = engine.cached_blocks(chain);
        let best = self.engines.iter().map(|it| it.cached_blocks(chain)).max();
        let engine = &mut self.engines[index];
        let Some(mut job) = engine.queue.pop_front() else {
            return;
        };
        job.cached = (cached * BLOCK_TOKENS) as u64;
        job.wasted = ((best.unwrap_or(0) - cached) * BLOCK_TOKENS) as u64;
        let micros = 1_000 + (job.tokens - job.cached) * 1_000_000 / PREFILL_RATE;
        engine.store(&chain[..cached], now);
        engine.prefilling = Some(job);
        let run = engine.incarnation.0;
        self.schedule(now + Duration::from_micros(micros), SimEvent::Prefilled(index, run));
    }

    fn prefilled(&mut self, index: usize, run: u64, now: Time) {
        let engine = &mut self.engines[index];
        if engine.incarnation.0 != run {
            return;
        }
        let Some(job) = engine.prefilling.take() else {
            return;
        };
        let incarnation = engine.incarnation;
        let stored = engine.store(&self.workload.chains[job.prompt], now);
        let evicted = engine.evict(now);
        let second = &mut self.seconds[(now.0 / 1_000_000) as usize];
        second.prompt += job.tokens;
        second.cached += job.cached;
        second.wasted += job.wasted;
        let waited = now.since(job.arrived);
        second.first_ms.push(waited.as_secs_f64() * 1_000.0);
        let first = Event::FirstToken { request: job.request, incarnation, cached_tokens: None };
        self.observe(job.daemon, &first, now);
        let end = now + Duration::from_millis(DECODE_MS);
        self.schedule(end, SimEvent::Decoded(index, run, job.request));
        self.engines[index].running.push(job);
        self.schedule_cache_events(index, run, stored, evicted, now);
        self.start_prefill(index, now);
    }

    fn decoded(&mut self, index: usize, run: u64, request: Request, now: Time) {
        let engine = &mut self.engines[index];
        if engine.incarnation.0 != run {
            return;
        }
        let Some(at) = engine.running.iter().position(|it| it.request == request) else {
            return;
        };
        let job = engine.running.swap_remove(at);
        let ended = Event::Ended { request, cached_tokens: Some(job.cached) };
        self.observe(job.daemon, &ended, now);
        self.start_prefill(index, now);
    }

    fn schedule_cache_events(
        &mut self,
        index: usize,
        run: u64,
        stored: Vec<Hash>,
        evicted: Vec<Hash>,
        now: Time,
    ) {
        let delay_ms = match self.scenario.event_delivery {
            EventDelivery::Absent => return,
            EventDelivery::Lossy | EventDelivery::Wrong => 200,
            EventDelivery::Late => 5_000,
        };
        let numbers = |hashes: Vec<Hash>| hashes.into_iter().map(|it| it.0).collect();
        self.cache_event_seqs[index] += 1;
        if self.workload.random().is_multiple_of(50) {
            return;
        }
        let changes = vec![(true, numbers(stored)), (false, numbers(evicted))];
        let seq = self.cache_event_seqs[index];
        let delivery = SimEvent::DeliverCacheEvents(index, run, seq, changes);
        self.schedule(now + Duration::from_millis(delay_ms), delivery);
    }

    fn deliver_cache_events(
        &mut self,
        index: usize,
        run: u64,
        seq: u64,
        changes: Vec<(bool, Vec<u64>)>,
        now: Time,
    ) {
        let mut index = index;
        if self.scenario.event_delivery == EventDelivery::Wrong {
            index = (index + 1 + self.workload.random() as usize % (self.engines.len() - 1))
                % self.engines.len();
        }
        let event = |(stored, hashes): (bool, Vec<u64>)| {
            let hashes = hashes.into_iter().map(Hash).collect();
            let change = if stored { Change::Stored(hashes) } else { Change::Removed(hashes) };
            wire::Event { seq, change }
        };
        let events = Events {
            incarnation: tealturn::kernel::id::Incarnation(run),
            events: changes.into_iter().map(event).collect(),
        };
        let upstream = format!("e{index}").as_str().into();
        for policy in self.daemons.iter().flatten() {
            let event = Event::CacheChanged { upstream: &upstream, events: &events };
            policy.observe(&event, now);
        }
    }

    /// Publishes the last reports to the daemons, and takes new ones.
    fn exchange_reports(&mut self, now: Time) {
        let engines = mem::take(&mut self.engines);
        let upstream = |(index, engine): (usize, &Engine)| {
            Arc::new(Upstream {
                name: format!("e{index}").as_str().into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: "z".into(),
                role: vm::Role::Engine { model: "m".into(), fenced: true },
                incarnation: engine.incarnation,
                alive: engine.alive,
                leaving: false,
                since: Time::default(),
                load: Some(engine.load(&self.workload.chains, REPORT_MS)),
                reported: now + Duration::from_millis(REPORT_MS),
            })
        };
        let reports = engines.iter().enumerate().map(upstream).collect();
        self.directory = Directory::new(mem::replace(&mut self.next_reports, reports));
        self.engines = engines;
        self.schedule(now + Duration::from_millis(REPORT_MS), SimEvent::Report);
    }

    fn observe(&self, daemon: usize, event: &Event<'_>, now: Time) {
        if let Some(policy) = &self.daemons[daemon] {
            policy.observe(event, now);
        }
    }
}

fn new_daemons(policy: &str) -> Vec<Option<Box<dyn Policy>>> {
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        daemons.push((policy != "oracle").then(|| route::policy(policy).expect("a policy")));
    }
    daemons
}

fn common_prefix_len(a: &[Hash], b: &[Hash]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
