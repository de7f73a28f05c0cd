//! Daemons that share engines which are short of memory, in virtual time. Their knowledge of each
//! other is 0.1 to 0.85 s old.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        call::{Part, Prompt},
        message::Load,
        peer::Totals,
        place::{Placer, Query},
        rollout::Progress,
        room::{
            Event, Outcome, Queue, Ticket,
            engine::{Engines, Fleet, Room, daemon_hash},
            limit::Capacity,
        },
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Model, Request, Workspace, Zone},
    },
    request::suspect::Fingerprint,
};

use crate::scene::{MODEL, engines};

/// Memory of an engine in tokens, and what running calls may take of it.
pub const CAPACITY: u64 = 61_747;
pub const RUNNING_LIMIT: u64 = CAPACITY / 2;
const LATE_LIMIT: u64 = CAPACITY * 35 / 100;

/// Prompt tokens that an engine reads in a millisecond, and the time of a decoding step.
const RATE: f64 = 38.4;
const STEP_MS: f64 = 4.73;

const TICK: Duration = Duration::from_millis(5);
const START: Time = Time::from_millis(100_000);

/// The time in which an engine that went silent is found dead.
const DETECTION: Duration = Duration::from_millis(600);

/// How calls get room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By [`Queue`] and [`Room`].
    Queue,
    /// Each call polls every 20 ms in no order, gives up after its latency objective and returns
    /// after about a second, which a daemon does whose routes do not differ in priority.
    Polling,
}

/// A kind of calls.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub priority: u8,
    pub shared_tokens: u64,
    pub own_tokens: u64,
    pub output: u64,
    pub objective: Duration,
    pub deadline: Duration,
    pub per_s: f64,
}

/// The long calls of the solar billing deployment.
pub const LONG: Kind = Kind {
    priority: 0,
    shared_tokens: 6_300,
    own_tokens: 2_890,
    output: 9,
    objective: Duration::from_millis(800),
    deadline: Duration::from_secs(5),
    per_s: 0.0,
};

/// Its short calls.
pub const SHORT: Kind = Kind {
    priority: 2,
    shared_tokens: 198,
    own_tokens: 628,
    output: 49,
    objective: Duration::from_millis(2_000),
    deadline: Duration::from_secs(15),
    per_s: 0.0,
};

/// A time in which a kind has a multiple of its usual calls.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub kind: usize,
    pub from_s: f64,
    pub to_s: f64,
    pub factor: f64,
}

/// A load.
#[derive(Clone, Debug)]
pub struct Scene {
    pub name: &'static str,
    pub daemons: usize,
    pub engines: usize,
    pub kinds: Vec<Kind>,
    pub bursts: Vec<Burst>,
    pub workspaces: u64,
    /// How many times the usual calls of a workspace the first one sends.
    pub hot_factor: f64,
    /// When a quarter of the engines is silent, in seconds.
    pub silent: Option<(f64, f64)>,
    pub seconds: f64,
    pub seed: u64,
}

/// What became of the calls of one kind or workspace.
#[derive(Clone, Copy, Debug, Default)]
pub struct Count {
    pub calls: u32,
    pub on_time: u32,
    pub late: u32,
}

impl Count {
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.calls.max(1))
    }

    fn add(&mut self, is_on_time: bool) {
        match is_on_time {
            true => self.on_time += 1,
            false => self.late += 1,
        }
    }
}

/// The result of a load.
#[derive(Clone, Debug, Default)]
pub struct Result {
    pub kinds: Vec<Count>,
    pub workspaces: Vec<Count>,
    /// Refusals, and the time after which their callers returned.
    pub refusals: Vec<(Time, Duration)>,
    /// Refusals at a time when under half of the room was taken and no call waited.
    pub needless_refusals: u32,
    /// Calls that an engine rejected because it lacked memory.
    pub rejected: u32,
    /// The mean share of [`RUNNING_LIMIT`] that was taken while calls waited at every daemon.
    pub used_share: f64,
    /// Attempts whose first event came after their deadline.
    pub sent_too_late: u32,
    /// The longest time that a call waited in vain.
    pub max_held: Duration,
}

#[derive(Clone, Debug)]
struct Caller {
    id: u128,
    kind: usize,
    workspace: u64,
    subject: u64,
    began: Time,
    deadline: Time,
    arrived: Time,
    polls_at: Time,
    was_sent: bool,
}

struct Running {
    caller: Caller,
    daemon: usize,
    memory: u64,
    unread: u64,
    reads_at: Time,
    ends_at: Time,
    is_read: bool,
}

struct Daemon {
    endpoints: Vec<Arc<Endpoint>>,
    placer: Placer,
    queue: Queue,
    engines: Engines,
    peers: Totals,
    peers_at: Time,
    waiting: Vec<Caller>,
}

/// Own load of each daemon at each engine: calls, tokens and memory.
type Snapshot = Vec<Vec<(u32, u64, u64)>>;

pub struct World<'a> {
    scene: &'a Scene,
    policy: Policy,
    rng: StdRng,
    now: Time,
    daemons: Vec<Daemon>,
    running: Vec<Vec<Running>>,
    reads_until: Vec<Time>,
    history: VecDeque<(Time, Snapshot)>,
    returns: Vec<(Time, Caller)>,
    used: (f64, u32),
    result: Result,
}

impl<'a> World<'a> {
    pub fn run(scene: &'a Scene, policy: Policy) -> Result {
        let daemon = |_| Daemon {
            endpoints: engines(&vec![1; scene.engines]),
            placer: Placer::new(RATE, Zone::from("a")),
            queue: Queue::default(),
            engines: Engines::default(),
            peers: Totals::default(),
            peers_at: Time::default(),
            waiting: Vec::new(),
        };
        let mut world = World {
            scene,
            policy,
            rng: StdRng::seed_from_u64(scene.seed),
            now: START,
            daemons: (0..scene.daemons).map(daemon).collect(),
            running: (0..scene.engines).map(|_| Vec::new()).collect(),
            reads_until: vec![START; scene.engines],
            history: VecDeque::new(),
            returns: Vec::new(),
            used: (0.0, 0),
            result: Result {
                kinds: vec![Count::default(); scene.kinds.len()],
                workspaces: vec![Count::default(); scene.workspaces as usize],
                ..Result::default()
            },
        };
        let end = START + Duration::from_secs_f64(scene.seconds);
        let mut id = 0;
        while world.now < end {
            world.now = world.now + TICK;
            world.exchange();
            world.progress();
            world.arrive(&mut id);
            for index in 0..scene.daemons {
                world.check(index);
            }
            world.measure();
        }
        world.result.used_share = world.used.0 / f64::from(world.used.1.max(1));
        world.result
    }

    fn elapsed_s(&self) -> f64 {
        self.now.since(START).as_secs_f64()
    }

    fn is_silent(&self, engine: usize) -> bool {
        let silent = self.scene.silent.filter(|_| engine.is_multiple_of(4));
        silent.is_some_and(|(from, to)| (from..to).contains(&self.elapsed_s()))
    }

    /// Each daemon learns the load of the others as it was 0.1 to 0.85 s ago.
    fn exchange(&mut self) {
        let own = |daemon: &Daemon| {
            let load = |it: &Arc<Endpoint>| {
                let health = &it.health;
                let tokens = health.pending_prompt_tokens();
                (health.calls_in_flight(), tokens, health.reserved_tokens())
            };
            daemon.endpoints.iter().map(load).collect()
        };
        let snapshot: Snapshot = self.daemons.iter().map(own).collect();
        self.history.push_back((self.now, snapshot));
        while self.history.len() > 200 {
            self.history.pop_front();
        }
        for index in 0..self.daemons.len() {
            if self.now.since(self.daemons[index].peers_at) < Duration::from_millis(100) {
                continue;
            }
            let mut peers = Totals::default();
            for other in (0..self.daemons.len()).filter(|it| *it != index) {
                let age = Duration::from_millis(self.rng.random_range(100..=850));
                let at = self.now - age;
                let known = self.history.iter().rev().find(|(it, _)| *it <= at);
                let Some((_, snapshot)) = known else { continue };
                for (number, (calls, tokens, memory)) in snapshot[other].iter().enumerate() {
                    let engine = self.daemons[index].endpoints[number].hash;
                    let load = Load {
                        engine,
                        calls: *calls,
                        tokens: *tokens,
                        memory: *memory,
                        ..Load::default()
                    };
                    peers.entry(engine).or_default().add(&load);
                }
            }
            self.daemons[index].peers = peers;
            self.daemons[index].peers_at = self.now;
        }
    }

    /// Engines read prompts and end calls.
    fn progress(&mut self) {
        for engine in 0..self.scene.engines {
            let is_silent = self.is_silent(engine);
            let from = self.scene.silent.map_or(f64::MAX, |(from, _)| from);
            let found = from + DETECTION.as_secs_f64();
            let is_found = is_silent && self.elapsed_s() >= found;
            for daemon in &self.daemons {
                let health = &daemon.endpoints[engine].health;
                match (is_found, health.is_dead()) {
                    (true, false) => health.mark_dead(self.now),
                    (false, true) => drop(health.record_probe(true, self.now)),
                    _ => {}
                }
            }
            if is_silent && !is_found {
                continue;
            }
            let mut ended = Vec::new();
            let mut index = 0;
            while index < self.running[engine].len() {
                let run = &mut self.running[engine][index];
                let health = &self.daemons[run.daemon].endpoints[engine].health;
                if !run.is_read && (run.reads_at <= self.now || is_found) {
                    run.is_read = true;
                    health.finish_prompt(run.unread);
                    if !is_found {
                        let kind = &self.scene.kinds[run.caller.kind];
                        let on_time = run.reads_at <= run.caller.began + kind.objective;
                        if run.reads_at > run.caller.deadline {
                            self.result.sent_too_late += 1;
                        } else {
                            self.result.kinds[run.caller.kind].add(on_time);
                            self.result.workspaces[run.caller.workspace as usize].add(on_time);
                        }
                    }
                }
                if run.ends_at <= self.now || is_found {
                    health.end_call(run.memory);
                    ended.push(self.running[engine].remove(index));
                } else {
                    index += 1;
                }
            }
            for run in ended {
                self.decide(run.daemon, Event::Freed);
                if is_found && run.reads_at > self.now {
                    let caller = Caller { was_sent: true, ..run.caller };
                    self.enter(run.daemon, caller);
                }
            }
            if is_found {
                self.reads_until[engine] = self.now;
            }
        }
    }

    fn arrive(&mut self, id: &mut u128) {
        let elapsed = self.elapsed_s();
        for (index, kind) in self.scene.kinds.iter().enumerate() {
            let mut rate = kind.per_s;
            for burst in &self.scene.bursts {
                if burst.kind == index && (burst.from_s..burst.to_s).contains(&elapsed) {
                    rate *= burst.factor;
                }
            }
            let workspaces = self.scene.workspaces;
            let weights = workspaces as f64 - 1.0 + self.scene.hot_factor;
            let mut expected = rate * weights / workspaces as f64 * TICK.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                let drawn = self.rng.random::<f64>() * weights - self.scene.hot_factor;
                let workspace = if drawn < 0.0 { 0 } else { drawn as u64 + 1 };
                *id += 1;
                let workspace = workspace.min(workspaces - 1);
                self.result.kinds[index].calls += 1;
                self.result.workspaces[workspace as usize].calls += 1;
                let caller = Caller {
                    id: *id,
                    kind: index,
                    workspace,
                    subject: 100 + self.rng.random_range(0..40),
                    began: self.now,
                    deadline: self.now + kind.deadline,
                    arrived: self.now,
                    polls_at: self.now,
                    was_sent: false,
                };
                let daemon = self.rng.random_range(0..self.scene.daemons);
                self.enter(daemon, caller);
            }
        }
        let now = self.now;
        let (due, returns) =
            std::mem::take(&mut self.returns).into_iter().partition(|(at, _)| *at <= now);
        self.returns = returns;
        let due: Vec<(Time, Caller)> = due;
        for (_, caller) in due {
            let daemon = self.rng.random_range(0..self.scene.daemons);
            self.enter(daemon, Caller { arrived: now, polls_at: now, ..caller });
        }
    }

    fn enter(&mut self, daemon: usize, caller: Caller) {
        let kind = self.scene.kinds[caller.kind];
        self.daemons[daemon].waiting.push(caller.clone());
        if self.policy == Policy::Polling {
            return;
        }
        let margin = Duration::from_secs_f64(kind.own_tokens as f64 / RATE / 1_000.0);
        let ticket = Ticket {
            request: Request(caller.id),
            fingerprint: Fingerprint(caller.id as u64),
            workspace: Workspace::from(&*format!("w{}", caller.workspace)),
            priority: kind.priority,
            returns: caller.was_sent,
            is_restricted: false,
            tokens: kind.memory(),
            capacity: Capacity { running: RUNNING_LIMIT, late: LATE_LIMIT },
            on_time_until: caller.began + kind.objective.saturating_sub(Duration::from_millis(200)),
            start_by: caller.deadline - margin - Duration::from_millis(10),
            deadline: caller.deadline,
        };
        self.decide(daemon, Event::Arrived(ticket));
    }

    fn check(&mut self, daemon: usize) {
        if self.policy == Policy::Queue {
            self.decide(daemon, Event::Tick);
            return;
        }
        let mut waiting = self.daemons[daemon].waiting.clone();
        waiting.retain(|it| it.polls_at <= self.now);
        for caller in waiting {
            let kind = self.scene.kinds[caller.kind];
            let waited = self.now.since(caller.arrived);
            let is_on_time = waited + Duration::from_millis(200) < kind.objective;
            let limit = if is_on_time { RUNNING_LIMIT } else { LATE_LIMIT };
            if self.place(daemon, &caller, limit, None) {
                continue;
            }
            if waited >= kind.objective || self.now + Duration::from_millis(200) >= caller.deadline
            {
                let after = Duration::from_secs_f64(0.5 + self.rng.random::<f64>());
                self.refuse(daemon, caller.id, after);
                continue;
            }
            let pause = Duration::from_millis(20).mul_f64(0.5 + self.rng.random::<f64>());
            let at = self.now + pause;
            let waiting = self.daemons[daemon].waiting.iter_mut();
            waiting.filter(|it| it.id == caller.id).for_each(|it| it.polls_at = at);
        }
    }

    fn decide(&mut self, daemon: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let random = self.rng.random();
            for outcome in self.daemons[daemon].queue.decide(event.clone(), self.now, random) {
                match outcome {
                    Outcome::Refuse { request, retry_after, .. } => {
                        self.refuse(daemon, request.0, retry_after);
                    }
                    Outcome::Offer { request, limit, spared } => {
                        let waiting = &self.daemons[daemon].waiting;
                        let caller = waiting.iter().find(|it| it.id == request.0).cloned();
                        let caller = caller.expect("an offered call waits");
                        events.push_back(match self.place(daemon, &caller, limit, spared) {
                            true => Event::Began(request),
                            false => Event::NoRoom(request, self.least_used(daemon)),
                        });
                    }
                }
            }
        }
    }

    fn least_used(&self, daemon: usize) -> Option<u64> {
        let Daemon { endpoints, peers, .. } = &self.daemons[daemon];
        let open = endpoints.iter().filter(|it| !it.health.is_unavailable(self.now));
        let used = |it: &Arc<Endpoint>| {
            peers.get(&it.hash).map_or(0, |it| it.memory) + it.health.reserved_tokens()
        };
        open.min_by_key(|it| used(it)).map(|it| it.hash)
    }

    /// Sends a call if an engine has room; returns whether it no longer waits.
    fn place(&mut self, index: usize, caller: &Caller, limit: u64, spared: Option<u64>) -> bool {
        let kind = self.scene.kinds[caller.kind];
        let daemon = &mut self.daemons[index];
        let prompt = kind.prompt(caller);
        let fleet = Fleet {
            own: daemon_hash(&format!("daemon-{index}")),
            daemons: self.scene.daemons,
            is_heard: true,
        };
        daemon.engines.observe(&daemon.peers, fleet, self.now);
        let room =
            Room { engines: &daemon.engines, capacity_tokens: CAPACITY, spared, now: self.now };
        let query = Query {
            prompt: Some(&prompt),
            cache_owner: 0,
            is_isolated: false,
            excluded: &[],
            build: None,
            old_version_grace: Duration::from_secs(10),
            running_limit_tokens: limit,
            kv_stores: &[],
            engine_capacity_tokens: CAPACITY,
            room: (self.policy == Policy::Queue).then_some(room),
            peers: &daemon.peers,
            random: self.rng.random(),
        };
        let progress = Progress::default();
        let Ok(choice) = daemon.placer.choose(&query, &daemon.endpoints, &progress, self.now)
        else {
            return false;
        };
        daemon.placer.record_send(&query, &choice);
        let engine = daemon.endpoints.iter().position(|it| it.hash == choice.endpoint.hash);
        let engine = engine.expect("an engine of the scene");
        let memory = kind.memory();
        let used: u64 = self.running[engine].iter().map(|it| it.memory).sum();
        if used + memory > CAPACITY {
            self.result.rejected += 1;
            match self.policy {
                Policy::Queue => daemon.engines.reject(choice.endpoint.hash, memory, self.now),
                Policy::Polling => {
                    choice.endpoint.health.eject_for(Duration::from_millis(250), self.now);
                }
            }
            return false;
        }
        choice.endpoint.health.start_call(choice.unread_tokens, memory, self.now);
        daemon.waiting.retain(|it| it.id != caller.id);
        let millis = |it: f64| Duration::from_secs_f64(it / 1_000.0);
        let reads_at =
            self.reads_until[engine].max(self.now) + millis(choice.unread_tokens as f64 / RATE);
        self.reads_until[engine] = reads_at;
        let outputs = kind.output as f64 * STEP_MS;
        self.running[engine].push(Running {
            caller: caller.clone(),
            daemon: index,
            memory,
            unread: choice.unread_tokens,
            reads_at,
            ends_at: reads_at + millis(outputs),
            is_read: false,
        });
        true
    }

    fn refuse(&mut self, daemon: usize, id: u128, after: Duration) {
        let taken: u64 = self.running.iter().flatten().map(|it| it.memory).sum();
        let room = RUNNING_LIMIT * self.scene.engines as u64;
        let waiting: usize = self.daemons.iter().map(|it| it.waiting.len()).sum();
        if taken * 2 < room && waiting <= 1 {
            self.result.needless_refusals += 1;
        }
        let waiting = &mut self.daemons[daemon].waiting;
        let index = waiting.iter().position(|it| it.id == id).expect("a refused call waits");
        let caller = waiting.swap_remove(index);
        self.result.max_held = self.result.max_held.max(self.now.since(caller.arrived));
        self.result.refusals.push((self.now, after));
        let left = caller.deadline.since(self.now);
        let after = after.min(left / 3);
        if left > Duration::from_millis(300) {
            self.returns.push((self.now + after, caller));
        }
    }

    fn measure(&mut self) {
        if self.daemons.iter().any(|it| it.waiting.is_empty()) {
            return;
        }
        let up = (0..self.scene.engines).filter(|it| !self.is_silent(*it));
        let taken: u64 = up.clone().flat_map(|it| &self.running[it]).map(|it| it.memory).sum();
        let room = RUNNING_LIMIT * up.count() as u64;
        self.used.0 += taken as f64 / room as f64;
        self.used.1 += 1;
    }
}

impl Kind {
    pub fn memory(&self) -> u64 {
        self.shared_tokens + self.own_tokens + self.output
    }

    fn prompt(&self, caller: &Caller) -> Prompt {
        Prompt {
            model: Model::from(MODEL),
            tokens: self.shared_tokens + self.own_tokens,
            max_output: self.output,
            parts: vec![
                Part { hash: caller.subject ^ (self.own_tokens << 32), tokens: self.shared_tokens },
                Part { hash: caller.id as u64 | 1 << 63, tokens: self.own_tokens },
            ],
        }
    }
}
