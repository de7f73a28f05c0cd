//! Daemons with policies of their own before toy engines, in virtual time.

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
    load::Load,
};

const DAEMONS: usize = 7;
const REPORT_MS: u64 = 100;
const DECODE_MS: u64 = 120;
const RESTART_MS: u64 = 500;

/// What becomes of the engines' cache events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Telling {
    Absent,
    /// After a delay, a few lost.
    Lossy,
    Late,
    /// Told of another engine than the one they are about.
    Wrong,
}

#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub policy: &'static str,
    pub seed: u64,
    pub engines: usize,
    pub requests_per_s: u64,
    pub telling: Telling,
    /// Whether callers name the levels of their prompts.
    pub levels: bool,
    pub seconds: u64,
    /// When an engine crashes.
    pub crash_s: Option<u64>,
    /// When the first so many workspaces, the largest first, go over to new handbooks.
    pub shift_s: Option<u64>,
    pub shifted: usize,
    /// When all daemons restart.
    pub herd_s: Option<u64>,
}

#[derive(Debug, Default)]
pub struct Second {
    pub prompt: u64,
    pub cached: u64,
    pub wasted: u64,
    pub first_ms: Vec<f64>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum What {
    Arrival,
    Prefilled(usize, u64),
    Decoded(usize, u64, Request),
    Report,
    Tell(usize, u64, u64, Vec<(bool, Vec<u64>)>),
    Crash(usize),
    Back(usize),
    Shift,
    Herd,
}

pub struct Fleet {
    plan: Plan,
    load: Load,
    engines: Vec<Engine>,
    /// `None` for the oracle.
    daemons: Vec<Option<Box<dyn Policy>>>,
    directory: Directory,
    /// What the next directory tells: reports take a while to arrive.
    reports: Vec<Arc<Upstream>>,
    told: Vec<u64>,
    agenda: BinaryHeap<Reverse<(Time, u64, What)>>,
    count: u64,
    pub seconds: Vec<Second>,
}

/// Runs a plan and returns what each second gave.
pub fn run(plan: Plan) -> Vec<Second> {
    let mut fleet = Fleet::new(plan);
    while let Some(Reverse((now, _, what))) = fleet.agenda.pop() {
        if now >= Time::from_millis(plan.seconds * 1_000) {
            break;
        }
        fleet.step(what, now);
    }
    fleet.seconds
}

impl Fleet {
    fn new(plan: Plan) -> Fleet {
        let engine = || Engine::new(1, true);
        let mut fleet = Fleet {
            plan,
            load: Load::new(plan.seed),
            engines: (0..plan.engines).map(|_| engine()).collect(),
            daemons: daemons(plan.policy),
            directory: Directory::default(),
            reports: Vec::new(),
            told: vec![0; plan.engines],
            agenda: BinaryHeap::new(),
            count: 0,
            seconds: (0..plan.seconds).map(|_| Second::default()).collect(),
        };
        fleet.report(Time::default());
        fleet.directory = Directory::new(fleet.reports.clone());
        fleet.at(Time::default(), What::Arrival);
        let faults = [
            (plan.crash_s, What::Crash(0)),
            (plan.shift_s, What::Shift),
            (plan.herd_s, What::Herd),
        ];
        for (second, what) in faults {
            let Some(second) = second else { continue };
            fleet.at(Time::from_millis(second * 1_000), what);
        }
        fleet
    }

    fn at(&mut self, time: Time, what: What) {
        self.count += 1;
        self.agenda.push(Reverse((time, self.count, what)));
    }

    fn step(&mut self, what: What, now: Time) {
        match what {
            What::Arrival => {
                let gap = self.load.random() % (2_000_000 / self.plan.requests_per_s);
                self.at(now + Duration::from_micros(gap), What::Arrival);
                let prompt = self.load.draw();
                self.place(prompt, now);
            }
            What::Prefilled(place, run) => self.prefilled(place, run, now),
            What::Decoded(place, run, request) => self.decoded(place, run, request, now),
            What::Report => self.report(now),
            What::Tell(place, run, seq, changes) => self.tell(place, run, seq, changes, now),
            What::Crash(place) => {
                for job in self.engines[place].crash() {
                    self.observe(
                        job.daemon,
                        &Event::Ended { request: job.request, cached_tokens: None },
                        now,
                    );
                    self.place(job.prompt, now);
                }
                self.at(now + Duration::from_millis(RESTART_MS), What::Back(place));
            }
            What::Back(place) => self.engines[place].alive = true,
            What::Shift => {
                for edition in &mut self.load.editions[..self.plan.shifted] {
                    *edition += 1;
                }
            }
            What::Herd => self.daemons = daemons(self.plan.policy),
        }
    }

    fn place(&mut self, prompt: usize, now: Time) {
        self.count += 1;
        let request = Request(u128::from(self.count));
        let daemon = self.load.random() as usize % DAEMONS;
        let random = self.load.random();
        let place = self.choose(prompt, request, daemon, random, now);
        let Some(place) = place else {
            // The engine has crashed and the directory does not tell yet.
            let retry = now + Duration::from_millis(REPORT_MS);
            self.at(retry, What::Arrival);
            return;
        };
        self.engines[place].queue.push_back(Job {
            request,
            daemon,
            prompt,
            arrived: now,
            tokens: self.load.prompts[prompt].tokens,
            cached: 0,
            wasted: 0,
        });
        self.start(place, now);
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
        let it = &self.load.prompts[prompt];
        let chain = Chain(self.load.chains[prompt].clone());
        let zone = Zone::from("z");
        let mut avoid = Vec::new();
        loop {
            let query = Query {
                request,
                owner: &self.load.owners[it.owner],
                chain: &chain,
                levels: if self.plan.levels { &it.levels } else { &[] },
                prompt_tokens: it.tokens,
                avoid: &avoid,
                zone: &zone,
            };
            let choice: Choice = policy.choose(&query, &self.directory, now, random)?;
            let place: usize = choice.upstream.as_str()[1..].parse().expect("a place");
            if self.engines[place].alive && self.engines[place].incarnation == choice.incarnation {
                let choice = &choice;
                policy.observe(&Event::Sent { query, choice }, now);
                return Some(place);
            }
            avoid.push(choice.upstream);
        }
    }

    /// The best engine for one who knows every cache and every queue.
    fn oracle(&self, prompt: usize) -> Option<usize> {
        let chains = &self.load.chains;
        let chain = &chains[prompt];
        let backlog = self.engines.iter().map(|it| it.backlog(chains)).sum::<u64>();
        let backlog_s = backlog as f64 / (PREFILL_RATE * self.engines.len() as u64) as f64;
        let weight = 2.0 * (1.0 + backlog_s / 0.05);
        let cost = |engine: &Engine| {
            let jobs = engine.queue.iter().chain(&engine.prefilling);
            let shared = jobs.map(|it| common(&chains[it.prompt], chain)).max();
            let held = engine.held(chain).max(shared.unwrap_or(0)) * BLOCK_TOKENS;
            let uncached = self.load.prompts[prompt].tokens - held as u64;
            let used = engine.queue.len() + engine.running.len();
            let slots = used.saturating_sub(BATCH) as u64 * DECODE_MS * 1_000 / BATCH as u64;
            let prefill = engine.backlog(chains) as f64 + weight * uncached as f64;
            let prefill = prefill * 1e6 / PREFILL_RATE as f64;
            (prefill as u64 + slots, used)
        };
        let engines = self.engines.iter().enumerate().filter(|(_, it)| it.alive);
        engines.min_by_key(|(_, it)| cost(it)).map(|(place, _)| place)
    }

    fn start(&mut self, place: usize, now: Time) {
        let engine = &self.engines[place];
        if engine.prefilling.is_some() || engine.running.len() >= BATCH {
            return;
        }
        let Some(job) = engine.queue.front() else {
            return;
        };
        let chain = &self.load.chains[job.prompt];
        let held = engine.held(chain);
        let best = self.engines.iter().map(|it| it.held(chain)).max();
        let engine = &mut self.engines[place];
        let Some(mut job) = engine.queue.pop_front() else {
            return;
        };
        job.cached = (held * BLOCK_TOKENS) as u64;
        job.wasted = ((best.unwrap_or(0) - held) * BLOCK_TOKENS) as u64;
        let micros = 1_000 + (job.tokens - job.cached) * 1_000_000 / PREFILL_RATE;
        engine.store(&chain[..held], now);
        engine.prefilling = Some(job);
        let run = engine.incarnation.0;
        self.at(now + Duration::from_micros(micros), What::Prefilled(place, run));
    }

    fn prefilled(&mut self, place: usize, run: u64, now: Time) {
        let engine = &mut self.engines[place];
        if engine.incarnation.0 != run {
            return;
        }
        let Some(job) = engine.prefilling.take() else {
            return;
        };
        let incarnation = engine.incarnation;
        let stored = engine.store(&self.load.chains[job.prompt], now);
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
        self.at(end, What::Decoded(place, run, job.request));
        self.engines[place].running.push(job);
        self.announce(place, run, stored, evicted, now);
        self.start(place, now);
    }

    fn decoded(&mut self, place: usize, run: u64, request: Request, now: Time) {
        let engine = &mut self.engines[place];
        if engine.incarnation.0 != run {
            return;
        }
        let Some(at) = engine.running.iter().position(|it| it.request == request) else {
            return;
        };
        let job = engine.running.swap_remove(at);
        let ended = Event::Ended { request, cached_tokens: Some(job.cached) };
        self.observe(job.daemon, &ended, now);
        self.start(place, now);
    }

    fn announce(
        &mut self,
        place: usize,
        run: u64,
        stored: Vec<Hash>,
        evicted: Vec<Hash>,
        now: Time,
    ) {
        let delay_ms = match self.plan.telling {
            Telling::Absent => return,
            Telling::Lossy | Telling::Wrong => 200,
            Telling::Late => 5_000,
        };
        let numbers = |hashes: Vec<Hash>| hashes.into_iter().map(|it| it.0).collect();
        self.told[place] += 1;
        if self.load.random().is_multiple_of(50) {
            return;
        }
        let changes = vec![(true, numbers(stored)), (false, numbers(evicted))];
        let seq = self.told[place];
        let tell = What::Tell(place, run, seq, changes);
        self.at(now + Duration::from_millis(delay_ms), tell);
    }

    fn tell(
        &mut self,
        place: usize,
        run: u64,
        seq: u64,
        changes: Vec<(bool, Vec<u64>)>,
        now: Time,
    ) {
        let mut place = place;
        if self.plan.telling == Telling::Wrong {
            place = (place + 1 + self.load.random() as usize % (self.engines.len() - 1))
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
        let upstream = format!("e{place}").as_str().into();
        for policy in self.daemons.iter().flatten() {
            let event = Event::CacheChanged { upstream: &upstream, events: &events };
            policy.observe(&event, now);
        }
    }

    /// Gives the daemons the last reports, and takes new ones.
    fn report(&mut self, now: Time) {
        let engines = mem::take(&mut self.engines);
        let upstream = |(place, engine): (usize, &Engine)| {
            Arc::new(Upstream {
                name: format!("e{place}").as_str().into(),
                address: ([127, 0, 0, 1], 1).into(),
                zone: "z".into(),
                role: vm::Role::Engine { model: "m".into(), fenced: true },
                incarnation: engine.incarnation,
                alive: engine.alive,
                leaving: false,
                since: Time::default(),
                load: Some(engine.load(&self.load.chains, REPORT_MS)),
                reported: now + Duration::from_millis(REPORT_MS),
            })
        };
        let reports = engines.iter().enumerate().map(upstream).collect();
        self.directory = Directory::new(mem::replace(&mut self.reports, reports));
        self.engines = engines;
        self.at(now + Duration::from_millis(REPORT_MS), What::Report);
    }

    fn observe(&self, daemon: usize, event: &Event<'_>, now: Time) {
        if let Some(policy) = &self.daemons[daemon] {
            policy.observe(event, now);
        }
    }
}

fn daemons(policy: &str) -> Vec<Option<Box<dyn Policy>>> {
    let mut daemons = Vec::new();
    for _ in 0..DAEMONS {
        daemons.push((policy != "oracle").then(|| route::policy(policy).expect("a policy")));
    }
    daemons
}

fn common(a: &[Hash], b: &[Hash]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}
