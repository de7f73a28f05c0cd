//! Daemons, engines and a table service in virtual time, with faults drawn from a seed.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
};

use rand::{Rng, RngExt, SeedableRng, rngs::SmallRng};
use tealturn::{
    control::{
        charge::{FLIGHT, Rejection},
        core::Core,
        event::{Asker, Event, Outcome, Scope, View},
        lease::{DRIFT_PERCENT, Holder},
        plan::{Engine, Need, Plan, READY_PERCENT},
        shard::Name,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version},
    },
    platform::table::{self, Failure, Row, Transaction, Write},
    upstream::wire::{Order, Role, State, Weights},
};

pub const LOADS: u16 = 2;
const MILLI: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLI;
/// Faults end here.
const HEAL: u64 = 60 * SECOND;
/// Everything must have converged here.
const END: u64 = HEAL + 150 * SECOND;
const TICK: u64 = 500 * MILLI;
const CALL_TIMEOUT: u64 = 2 * SECOND;
/// Daemons may act on what held this long ago: a view is 2 s old, a lease valid for 14 s, an order
/// 2 s on its way, and clocks drift.
const LAG: u64 = 20 * SECOND;

/// An order that arrives this soon after an engine came back may be meant for its run before:
/// read 1 s earlier, sent 1 s later, 2 s on its way, and clocks drift.
const MISTAKEN: u64 = 4_300 * MILLI;

/// What a schedule may do beyond the bounds that the design states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Orders arrive within [`FLIGHT`] or never.
    Bounded,
    /// A process may be paused between its last check and the send: orders arrive much later.
    Late,
}

enum Happening {
    Tick(usize, u64),
    View(usize, u64),
    Commit(usize, u64, Name, Transaction, bool),
    Answer(usize, u64, Reply),
    Arrive(usize, u64, usize, Order, bool),
    Loaded(usize, u64, Weights),
    Fault,
}

enum Reply {
    Scanned(Scope, Option<Vec<Row>>),
    Written(Name, Result<table::Outcome, Failure>),
    Observed(Asker, Upstream, Time, Option<State>),
    Obeyed(Upstream, Result<State, Rejection>),
}

struct Daemon {
    core: Core,
    run: u64,
    alive: bool,
    stopping: bool,
    offset: u64,
    rate: f64,
    paused_until: u64,
}

struct Runner {
    name: Upstream,
    address: SocketAddr,
    fenced: bool,
    alive: bool,
    state: State,
    obeyed: u64,
    /// When it came back from a crash.
    since: Option<u64>,
    /// It got an order that was meant for its run before, and loads what that one had.
    mistaken: bool,
}

pub struct World {
    mode: Mode,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<(u64, u64), Happening>,
    random: SmallRng,
    daemons: Vec<Daemon>,
    runners: Vec<Runner>,
    rows: BTreeMap<String, Row>,
    commits: u64,
    down_until: u64,
    needs: Vec<(u64, Vec<Need>)>,
    /// When engines crashed or came back.
    changes: Vec<u64>,
    pub loads: u64,
    pub takeovers: u64,
}

fn need(version: u64, replicas: usize) -> Vec<Need> {
    let weights = Weights {
        model: Model::from("assistente"),
        version: Version(version),
        adapters: Vec::new(),
    };
    vec![Need { weights, replicas }]
}

impl World {
    pub fn new(seed: u64, mode: Mode) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let daemons = random.random_range(2..=5);
        let runners = random.random_range(3..=8);
        let mut world = World {
            mode,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            random,
            daemons: Vec::new(),
            runners: Vec::new(),
            rows: BTreeMap::new(),
            commits: 0,
            down_until: 0,
            needs: vec![(0, need(1, 0))],
            changes: Vec::new(),
            loads: 0,
            takeovers: 0,
        };
        for number in 0..daemons {
            let daemon = world.daemon(number, 1);
            world.daemons.push(daemon);
            world.boot(number);
        }
        for number in 0..runners {
            let fenced = world.random.random_bool(0.5);
            world.runners.push(Runner {
                name: Upstream::from(format!("runner-{number}").as_str()),
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
                fenced,
                alive: true,
                state: State {
                    incarnation: Incarnation(1),
                    loaded: vec![need(1, 0)[0].weights.clone()],
                    loading: Vec::new(),
                    role: Role::Serve,
                    fence: 0,
                },
                obeyed: 0,
                since: None,
                mistaken: false,
            });
        }
        world.later(SECOND, Happening::Fault);
        world
    }

    pub fn run(&mut self) {
        while let Some(Reverse(key)) = self.queue.pop() {
            if key.0 > END {
                break;
            }
            self.now = key.0;
            let happening = self.happenings.remove(&key).expect("queued");
            self.happen(happening);
            self.check_leases();
        }
        self.check_converged();
    }

    fn later(&mut self, delay: u64, happening: Happening) {
        self.order += 1;
        let key = (self.now + delay, self.order);
        self.queue.push(Reverse(key));
        self.happenings.insert(key, happening);
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.now < HEAL && self.random.random_bool(probability)
    }

    fn hop(&mut self) -> u64 {
        self.random.random_range(MILLI..50 * MILLI)
    }

    fn daemon(&mut self, number: usize, run: u64) -> Daemon {
        let name = format!("daemon-{number}");
        let me = Holder { daemon: name.as_str().into(), incarnation: Incarnation(run) };
        let drift = DRIFT_PERCENT as f64 / 100.0;
        Daemon {
            core: Core::new(me, LOADS),
            run,
            alive: true,
            stopping: false,
            offset: self.random.random_range(0..1_000 * SECOND),
            rate: self.random.random_range(1.0 - drift..1.0 + drift),
            paused_until: 0,
        }
    }

    fn boot(&mut self, number: usize) {
        let run = self.daemons[number].run;
        self.later(0, Happening::View(number, run));
        self.later(MILLI, Happening::Tick(number, run));
    }

    fn local(&self, number: usize) -> Time {
        let daemon = &self.daemons[number];
        Time(daemon.offset + (self.now as f64 * daemon.rate) as u64)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(number, run) => {
                self.later(TICK, Happening::Tick(number, run));
                self.feed(number, run, Event::Tick);
            }
            Happening::View(number, run) => self.view(number, run),
            Happening::Commit(number, run, name, transaction, answered) => {
                let outcome = self.commit(&transaction);
                if answered {
                    let hop = self.hop();
                    let reply = Reply::Written(name, Ok(outcome));
                    self.later(hop, Happening::Answer(number, run, reply));
                }
            }
            Happening::Answer(number, run, reply) => self.answer(number, run, reply),
            Happening::Arrive(number, run, runner, order, answered) => {
                let result = self.obey(runner, order);
                if answered {
                    let hop = self.hop();
                    let reply = Reply::Obeyed(self.runners[runner].name.clone(), result);
                    self.later(hop, Happening::Answer(number, run, reply));
                }
            }
            Happening::Loaded(runner, run, weights) => self.loaded(runner, run, weights),
            Happening::Fault => self.fault(),
        }
    }

    /// Whether the daemon's run is gone, or paused: then the happening waits.
    fn feed(&mut self, number: usize, run: u64, event: Event) {
        let now = self.local(number);
        let random = self.random.next_u64();
        let daemon = &mut self.daemons[number];
        if !daemon.alive || daemon.run != run || daemon.paused_until > self.now {
            return;
        }
        let outcomes = daemon.core.step(now, random, event);
        if self.chance(0.002) {
            // Paused between the decision and the last check before the send.
            self.daemons[number].paused_until = self.now + self.random.random_range(0..40 * SECOND);
        }
        for outcome in outcomes {
            self.carry_out(number, run, outcome);
        }
    }

    fn view(&mut self, number: usize, run: u64) {
        let every = self.random.random_range(500 * MILLI..2 * SECOND);
        self.later(every, Happening::View(number, run));
        let engines = self.runners.iter().map(|it| Engine {
            name: it.name.clone(),
            address: it.address,
            model: Model::from("assistente"),
            fenced: it.fenced,
            open: it.alive,
            loaded: it.state.loaded.clone(),
        });
        let view = View {
            engines: engines.collect(),
            daemons: self.daemons.iter().filter(|it| it.alive && !it.stopping).count(),
            needs: self.needs.last().expect("never empty").1.clone(),
        };
        self.feed(number, run, Event::View(view));
    }

    fn answer(&mut self, number: usize, run: u64, reply: Reply) {
        let paused_until = self.daemons[number].paused_until;
        if paused_until > self.now {
            // It finds the answer when it wakes.
            let delay = paused_until - self.now;
            return self.later(delay, Happening::Answer(number, run, reply));
        }
        match reply {
            Reply::Scanned(scope, rows) => {
                self.feed(number, run, Event::Scanned { scope, rows });
            }
            Reply::Written(name, result) => {
                if let (Name::Shard(_), Ok(table::Outcome::Committed { .. })) = (name, &result) {
                    self.takeovers += 1;
                }
                self.feed(number, run, Event::Written { name, result });
            }
            Reply::Observed(asker, upstream, asked, state) => {
                let event = Event::Observed { asker, upstream, asked, state };
                self.feed(number, run, event);
            }
            Reply::Obeyed(upstream, result) => {
                self.feed(number, run, Event::Obeyed { upstream, result });
            }
        }
    }

    fn carry_out(&mut self, number: usize, run: u64, outcome: Outcome) {
        let pause = self.daemons[number].paused_until.saturating_sub(self.now);
        let hop = self.hop();
        match outcome {
            Outcome::Scan(scope) => {
                let prefix = match scope {
                    Scope::All => "control/",
                    Scope::Loads => "control/load/",
                };
                let rows = self.rows.values().filter(|it| it.key.starts_with(prefix));
                let rows = rows.cloned().collect();
                let fails = self.down_until > self.now || self.chance(0.05);
                let reply = Reply::Scanned(scope, (!fails).then_some(rows));
                self.later(pause + hop, Happening::Answer(number, run, reply));
            }
            Outcome::Write { name, transaction } => {
                self.write(number, run, name, transaction, pause + hop);
            }
            Outcome::Read { asker, upstream, .. } => {
                let asked = self.local(number);
                let runner = self.runners.iter().find(|it| it.name == upstream);
                let runner = runner.expect("only engines that exist are asked");
                let state = runner.alive.then(|| runner.state.clone());
                let state = state.filter(|_| !self.chance(0.05));
                let reply = Reply::Observed(asker, upstream, asked, state);
                self.later(hop, Happening::Answer(number, run, reply));
            }
            Outcome::Order { upstream, order, valid_until, .. } => {
                self.send(number, run, &upstream, order, valid_until, pause)
            }
        }
    }

    fn write(&mut self, number: usize, run: u64, name: Name, transaction: Transaction, delay: u64) {
        let failed = |failure| Reply::Written(name, Err(failure));
        if self.down_until > self.now + delay {
            let reply = failed(Failure::Unavailable("down".to_owned()));
            return self.later(delay, Happening::Answer(number, run, reply));
        }
        let lost = self.chance(0.1);
        if lost {
            let reply = failed(Failure::Lost("lost".to_owned()));
            self.later(delay + CALL_TIMEOUT, Happening::Answer(number, run, reply));
            if self.chance(0.3) {
                return;
            }
        }
        // A write whose answer is lost may take effect much later.
        let late =
            if lost && self.chance(0.3) { self.random.random_range(0..20 * SECOND) } else { 0 };
        let commit = Happening::Commit(number, run, name, transaction, !lost);
        self.later(delay + late, commit);
    }

    fn send(
        &mut self,
        number: usize,
        run: u64,
        upstream: &Upstream,
        order: Order,
        valid_until: Time,
        pause: u64,
    ) {
        let place = self.runners.iter().position(|it| it.name == *upstream);
        let place = place.expect("only engines that exist are commanded");
        // The edge checks right before it sends; after a pause, by its own clock.
        let passed = (pause as f64 * self.daemons[number].rate) as u64;
        let checked = self.local(number).0 + passed;
        let failed = |rejection| Reply::Obeyed(upstream.clone(), Err(rejection));
        if checked >= valid_until.0 {
            let reply = failed(Rejection::NotSent);
            return self.later(pause, Happening::Answer(number, run, reply));
        }
        // Bounds are true time; a new holder waits by a clock that may be fast.
        let flight = FLIGHT.as_micros() as u64 * 100 / (100 + DRIFT_PERCENT);
        let mut hop = self.hop();
        let lost = self.chance(0.2);
        if lost {
            let reply = failed(Rejection::Lost);
            self.later(pause + CALL_TIMEOUT, Happening::Answer(number, run, reply));
            if self.chance(0.4) {
                return;
            }
            if self.chance(0.3) {
                // Its successor may be quicker than the order.
                self.stop(number);
            }
            hop = self.random.random_range(0..flight);
            if self.mode == Mode::Late && self.chance(0.5) {
                hop = self.random.random_range(0..60 * SECOND);
            }
        }
        let arrive = Happening::Arrive(number, run, place, order, !lost);
        self.later(pause + hop, arrive);
    }

    fn commit(&mut self, transaction: &Transaction) -> table::Outcome {
        let version = |key: &str| self.rows.get(key).map(|it| it.version);
        let failed = transaction.checks.iter();
        let failed: Vec<_> = failed.filter(|it| version(&it.key) != it.version).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|it| self.rows.get(&it.key));
            return table::Outcome::Conflict { rows: rows.cloned().collect() };
        }
        self.commits += 1;
        for write in &transaction.writes {
            let Write::Put { key, value } = write else {
                panic!("leases are never deleted");
            };
            let row = Row { key: key.clone(), value: value.clone(), version: self.commits };
            self.rows.insert(key.clone(), row);
        }
        table::Outcome::Committed { version: self.commits }
    }

    fn obey(&mut self, place: usize, order: Order) -> Result<State, Rejection> {
        let slow = self.chance(0.1);
        let longest = if slow { 28 * SECOND } else { 3 * SECOND };
        let load = self.random.random_range(300 * MILLI..longest);
        let runner = &mut self.runners[place];
        if !runner.alive {
            return Err(Rejection::NotSent);
        }
        if runner.fenced && order.fence < runner.state.fence {
            return Err(Rejection::Fenced);
        }
        let newest = runner.obeyed;
        runner.obeyed = newest.max(order.fence);
        if runner.fenced || self.mode == Mode::Bounded {
            assert!(
                order.fence >= newest,
                "{} obeyed order {} after {newest}",
                runner.name,
                order.fence
            );
        }
        runner.state.fence = runner.state.fence.max(order.fence);
        runner.state.role = order.role;
        let served = self.served();
        let runner = &mut self.runners[place];
        runner.state.loaded.retain(|it| order.weights.contains(it));
        runner.state.loading.retain(|it| order.weights.contains(it));
        let mut started = Vec::new();
        for weights in order.weights {
            if runner.state.loaded.contains(&weights) || runner.state.loading.contains(&weights) {
                continue;
            }
            runner.state.loading.push(weights.clone());
            started.push(weights);
        }
        let recent = runner.since.is_some_and(|it| self.now < it + MISTAKEN);
        runner.mistaken |= recent && !started.is_empty();
        let (run, state) = (runner.state.incarnation.0, runner.state.clone());
        for weights in started {
            self.loads += 1;
            self.later(load, Happening::Loaded(place, run, weights));
        }
        if self.mode == Mode::Bounded {
            self.check_loads();
            if self.served() < served {
                self.check_capacity();
            }
        }
        Ok(state)
    }

    fn loaded(&mut self, place: usize, run: u64, weights: Weights) {
        let runner = &mut self.runners[place];
        if runner.state.incarnation.0 != run || !runner.state.loading.contains(&weights) {
            return;
        }
        runner.state.loading.retain(|it| *it != weights);
        runner.state.loaded.push(weights);
        runner.mistaken &= !runner.state.loading.is_empty();
    }

    fn fault(&mut self) {
        if self.now >= HEAL {
            return self.heal();
        }
        let next = self.random.random_range(500 * MILLI..6 * SECOND);
        self.later(next, Happening::Fault);
        let daemon = self.random.random_range(0..self.daemons.len());
        let runner = self.random.random_range(0..self.runners.len());
        match self.random.random_range(0..9) {
            0 => self.daemons[daemon].alive = false,
            1 | 2 => self.restart(daemon),
            3 => {
                let pause = self.random.random_range(0..40 * SECOND);
                self.daemons[daemon].paused_until = self.now + pause;
            }
            4 => {
                let outage = self.random.random_range(0..40 * SECOND);
                self.down_until = self.now + outage;
            }
            5 => self.crash(runner),
            6 | 7 => self.stop(daemon),
            _ => {
                let version = self.random.random_range(1..=4);
                let replicas = self.random.random_range(0..=self.runners.len());
                self.needs.push((self.now, need(version, replicas)));
            }
        }
        if self.random.random_bool(0.3) {
            self.revive(runner);
        }
    }

    fn heal(&mut self) {
        self.down_until = 0;
        for number in 0..self.daemons.len() {
            self.daemons[number].alive = false;
            self.restart(number);
        }
        for place in 0..self.runners.len() {
            self.revive(place);
        }
    }

    fn restart(&mut self, number: usize) {
        if self.daemons[number].alive && !self.daemons[number].stopping {
            return;
        }
        let run = self.daemons[number].run + 1;
        self.daemons[number] = self.daemon(number, run);
        self.boot(number);
    }

    fn stop(&mut self, number: usize) {
        self.daemons[number].stopping = true;
        self.daemons[number].core.stop();
    }

    fn crash(&mut self, place: usize) {
        self.changes.push(self.now);
        let runner = &mut self.runners[place];
        runner.alive = false;
        runner.state.loaded.clear();
        runner.state.loading.clear();
        runner.state.incarnation.0 += 1;
        runner.state.fence = 0;
        runner.obeyed = 0;
        runner.mistaken = false;
    }

    fn revive(&mut self, place: usize) {
        if !self.runners[place].alive {
            self.changes.push(self.now);
            self.runners[place].alive = true;
            self.runners[place].since = Some(self.now);
        }
    }

    fn check_leases(&self) {
        let mut holders: BTreeMap<Name, usize> = BTreeMap::new();
        for number in 0..self.daemons.len() {
            let now = self.local(number);
            let daemon = &self.daemons[number];
            if !daemon.alive {
                continue;
            }
            for (name, lease) in daemon.core.leases() {
                if lease.valid(now).is_none() {
                    continue;
                }
                if let Some(other) = holders.insert(name, number) {
                    panic!("daemons {other} and {number} both hold {name:?}");
                }
            }
        }
    }

    fn check_loads(&self) {
        let loading = self.runners.iter();
        let loading = loading.filter(|it| it.alive && !it.mistaken && !it.state.loading.is_empty());
        let count = loading.count();
        assert!(count <= usize::from(LOADS), "{count} engines load at once");
    }

    /// How many engines have the version ready that most have.
    fn served(&self) -> usize {
        let mut counts: BTreeMap<Version, usize> = BTreeMap::new();
        let alive = self.runners.iter().filter(|it| it.alive);
        for weights in alive.flat_map(|it| &it.state.loaded) {
            *counts.entry(weights.version).or_default() += 1;
        }
        counts.into_values().max().unwrap_or_default()
    }

    /// The version that most engines had ready lost one: those that the catalog asked for lately must be ready on
    /// enough others.
    fn check_capacity(&self) {
        let since = self.now.saturating_sub(LAG);
        let changes = self.changes.iter().filter(|at| **at >= since).count();
        let alive = self.runners.iter().filter(|it| it.alive).count();
        let mut seen = Vec::new();
        for (number, (_, needs)) in self.needs.iter().enumerate() {
            let replaced = self.needs.get(number + 1).map(|it| it.0);
            if replaced.is_some_and(|at| at < since) {
                continue;
            }
            let need = &needs[0];
            let places = match need.replicas {
                0 => alive,
                replicas => replicas.min(alive),
            };
            let minimum = (places * READY_PERCENT).div_ceil(100);
            let ready = self.runners.iter();
            let ready = ready.filter(|it| it.alive && it.state.loaded.contains(&need.weights));
            let ready = ready.count();
            if ready + changes >= minimum {
                return;
            }
            seen.push((need.weights.version, ready, minimum));
        }
        panic!("weights dropped while (version, ready, minimum) is {seen:?}");
    }

    fn check_converged(&self) {
        let engines = self.runners.iter().map(|it| Engine {
            name: it.name.clone(),
            address: it.address,
            model: Model::from("assistente"),
            fenced: it.fenced,
            open: true,
            loaded: it.state.loaded.clone(),
        });
        let engines: Vec<_> = engines.collect();
        let needs = &self.needs.last().expect("never empty").1;
        let plan = Plan::new(needs, &engines);
        for runner in &self.runners {
            let goal = plan.goal(&runner.name).expect("all are planned");
            assert!(runner.state.loading.is_empty(), "{} still loads", runner.name);
            assert_eq!(runner.state.loaded, goal.weights, "{}", runner.name);
            assert_eq!(runner.state.role, goal.role, "{}", runner.name);
        }
    }
}
