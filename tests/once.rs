//! At most one run for each idempotency key, and no false "not run", over seeds.
//!
//! `ONCE_SEEDS=N` runs N seeds, `ONCE_SEED=S` runs the one seed S.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    env,
    ops::Range,
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    kernel::{
        clock::Time,
        id::{Incarnation, Request},
    },
    platform::table::{Check, Outcome as Committed, Row, Transaction, Write},
    request::{
        once::{
            self, AGES, Answer, Awake, CLOCK_MARGIN, Call, Claim, Event, KEEP, Now, Outcome,
            PRUNE_BATCH, Step,
        },
        refusal::{Execution, Kind},
    },
};

const SEEDS: u64 = 1_000;
const KEYS: usize = 5;
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

/// Callers ask again for a key within this time, which is shorter than [`KEEP`].
const REPEATS_MS: u64 = 20 * HOUR;

/// When the run ends, in milliseconds.
const END_MS: u64 = 120 * HOUR;

/// A daemon waits this long for the table and for the service.
const TIMEOUT_MS: u64 = 2 * SECOND;

/// A table in memory.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    version: u64,
}

impl Table {
    fn commit(&mut self, transaction: &Transaction) -> Committed {
        let current = |key: &str| self.rows.get(key).map(|it| it.version);
        let failed = |it: &&Check| current(&it.key) != it.version;
        let failed: Vec<_> = transaction.checks.iter().filter(failed).collect();
        if !failed.is_empty() {
            let rows = failed.iter().filter_map(|it| self.rows.get(&it.key));
            return Committed::Conflict { rows: rows.cloned().collect() };
        }
        self.version += 1;
        for write in &transaction.writes {
            match write {
                Write::Delete { key } => drop(self.rows.remove(key)),
                Write::Put { key, value } => {
                    let row = Row { key: key.clone(), value: value.clone(), version: self.version };
                    self.rows.insert(key.clone(), row);
                }
            }
        }
        Committed::Committed { version: self.version }
    }

    fn ages(&self) -> Vec<Row> {
        let rows = self.rows.range(AGES.to_owned()..);
        let rows = rows.filter(|(key, _)| key.starts_with(AGES));
        rows.map(|(_, row)| row.clone()).take(PRUNE_BATCH).collect()
    }
}

/// What a daemon asks of the table.
#[derive(Clone, Debug)]
enum Ask {
    Commit(Transaction),
    Read(String),
}

/// Something that happens, to a daemon's run where it names one.
#[derive(Clone, Debug)]
enum Happen {
    Arrive(usize, usize),
    Apply(usize, u64, usize, u32, Ask),
    Answer(usize, u64, usize, u32, Event),
    Serve(usize, u64, usize),
    Served(usize, u64, usize, Option<bool>),
    Settle(usize, u64, usize, Outcome),
    Scan(usize),
    Prune(usize, Vec<Row>),
    Crash(usize),
    Pause(usize, u64),
    Tick(usize),
}

/// One sending of a key by its caller.
struct Sending {
    key: usize,
    /// The body is another than that of the key's first sending.
    other: bool,
    claim: Option<Claim>,
    /// Counts what was asked of the table, so that late answers are told apart.
    asked: u32,
    received: u64,
    ran: Option<u64>,
    refused: Option<u64>,
}

struct Daemon {
    run: u64,
    /// By how much its wall clock is ahead of the slowest, in seconds.
    ahead_s: u64,
    paused_until: u64,
    awake: Awake,
    /// Its timer has run since the last pause.
    ticks: bool,
}

#[derive(Default)]
struct Totals {
    runs: u64,
    replays: u64,
    not_run: u64,
    unknown: u64,
}

struct World {
    random: StdRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happens: BTreeMap<u64, Happen>,
    table: Table,
    outages: Vec<Range<u64>>,
    daemons: Vec<Daemon>,
    sendings: Vec<Sending>,
    lose_percent: u32,
    totals: Totals,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = StdRng::seed_from_u64(seed);
        let daemons = random.random_range(3..=5);
        let lose_percent = [0, 10, 40][random.random_range(0..3)];
        let mut world = World {
            random,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            happens: BTreeMap::new(),
            table: Table::default(),
            outages: Vec::new(),
            daemons: Vec::new(),
            sendings: Vec::new(),
            lose_percent,
            totals: Totals::default(),
        };
        for _ in 0..daemons {
            let ahead_s = world.random.random_range(0..CLOCK_MARGIN.as_secs());
            world.daemons.push(Daemon {
                run: 1,
                ahead_s,
                paused_until: 0,
                awake: Awake::default(),
                ticks: true,
            });
        }
        world.plan();
        world
    }

    /// Plans callers and faults.
    fn plan(&mut self) {
        for key in 0..KEYS {
            let first = self.random.random_range(0..60 * SECOND);
            self.send(key, first, false);
            for _ in 0..self.random.random_range(1..=4) {
                let wait = match self.random.random_range(0..3) {
                    0 => self.random.random_range(0..50),
                    1 => self.random.random_range(0..30 * SECOND),
                    _ => self.random.random_range(0..REPEATS_MS),
                };
                let other = self.random.random_ratio(1, 10);
                self.send(key, first + wait, other);
            }
        }
        for _ in 0..self.random.random_range(0..3) {
            let start = self.random.random_range(0..90 * SECOND);
            let length = self.random.random_range(0..30 * SECOND);
            self.outages.push(start..start + length);
        }
        for daemon in 0..self.daemons.len() {
            for _ in 0..self.random.random_range(0..3) {
                let at = self.random.random_range(0..70 * SECOND);
                let long = self.random.random_ratio(1, 2);
                let most = if long { 60 * HOUR } else { 20 * SECOND };
                let length = self.random.random_range(0..most);
                self.plan_at(at, Happen::Pause(daemon, length));
            }
            if self.random.random_ratio(1, 3) {
                let at = self.random.random_range(0..70 * SECOND);
                self.plan_at(at, Happen::Crash(daemon));
            }
            for hour in 0..END_MS / HOUR {
                let at = hour * HOUR + self.random.random_range(0..HOUR);
                self.plan_at(at, Happen::Scan(daemon));
            }
        }
    }

    fn send(&mut self, key: usize, at: u64, other: bool) {
        let daemon = self.random.random_range(0..self.daemons.len());
        let sending = self.sendings.len();
        self.sendings.push(Sending {
            key,
            other,
            claim: None,
            asked: 0,
            received: 0,
            ran: None,
            refused: None,
        });
        self.plan_at(at, Happen::Arrive(daemon, sending));
    }

    fn plan_at(&mut self, at: u64, happen: Happen) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.happens.insert(self.order, happen);
    }

    fn plan_in(&mut self, wait: Range<u64>, happen: Happen) {
        let wait = self.random.random_range(wait);
        self.plan_at(self.now + wait, happen);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn run(&mut self) {
        while let Some(Reverse((at, order))) = self.queue.pop() {
            let happen = self.happens.remove(&order).expect("planned");
            self.now = self.now.max(at);
            if self.now > END_MS {
                break;
            }
            let paused = happen.daemon().map(|it| self.daemons[it].paused_until);
            if let Some(until) = paused.filter(|it| *it > self.now) {
                // It takes its part in the order in which it came.
                self.queue.push(Reverse((until, order)));
                self.happens.insert(order, happen);
                continue;
            }
            self.happen(happen);
        }
        self.check();
    }

    fn happen(&mut self, happen: Happen) {
        match happen {
            Happen::Arrive(daemon, sending) => self.arrive(daemon, sending),
            Happen::Apply(daemon, run, sending, asked, ask) => {
                self.apply(daemon, run, sending, asked, &ask);
            }
            Happen::Answer(daemon, run, sending, asked, event) => {
                let current = self.sendings[sending].asked == asked;
                if self.daemons[daemon].run == run && current {
                    self.sendings[sending].asked += 1;
                    let now = self.clocks(daemon);
                    let claim = self.sendings[sending].claim.as_mut().expect("it has asked");
                    let step = claim.on(event, now);
                    self.step(daemon, sending, step);
                }
            }
            Happen::Serve(daemon, run, sending) => self.serve(daemon, run, sending),
            Happen::Served(daemon, run, sending, answer) => {
                if self.daemons[daemon].run == run {
                    let outcome = match answer {
                        Some(true) => Outcome::Run(Some(self.answer(sending))),
                        Some(false) => Outcome::NotRun { told_s: self.clocks(daemon).wall_s },
                        None => Outcome::Unknown,
                    };
                    if answer == Some(false) {
                        self.refuse(sending, Execution::NotRun);
                    }
                    self.happen(Happen::Settle(daemon, run, sending, outcome));
                }
            }
            Happen::Settle(daemon, run, sending, outcome) => {
                if self.daemons[daemon].run == run {
                    self.settle(daemon, run, sending, outcome);
                }
            }
            Happen::Scan(daemon) => {
                let rows = self.table.ages();
                self.plan_in(0..SECOND, Happen::Prune(daemon, rows));
            }
            Happen::Prune(daemon, rows) => {
                let wall_s = self.clocks(daemon).wall_s;
                for row in rows {
                    if let Some(transaction) = once::prune(&row, wall_s) {
                        self.table.commit(&transaction);
                    }
                }
            }
            Happen::Crash(daemon) => self.daemons[daemon].run += 1,
            Happen::Pause(daemon, length) => self.pause(daemon, self.now + length),
            Happen::Tick(daemon) => {
                let now = self.clocks(daemon);
                self.daemons[daemon].awake.tick(now);
                self.daemons[daemon].ticks = true;
            }
        }
    }

    fn clocks(&self, daemon: usize) -> Now {
        Now {
            time: Time::from_millis(self.now),
            wall_s: self.now / 1_000 + self.daemons[daemon].ahead_s,
        }
    }

    fn pause(&mut self, daemon: usize, until: u64) {
        let now = self.clocks(daemon);
        let it = &mut self.daemons[daemon];
        if it.ticks {
            it.awake.tick(now);
        }
        it.ticks = false;
        it.paused_until = it.paused_until.max(until);
        let wake = self.random.random_range(0..SECOND);
        self.plan_at(until + wake, Happen::Tick(daemon));
    }

    fn arrive(&mut self, daemon: usize, sending: usize) {
        let now = self.clocks(daemon);
        let it = &mut self.daemons[daemon];
        if it.ticks {
            it.awake.tick(now);
        }
        let received = it.awake.received(now);
        let run = it.run;
        let it = &mut self.sendings[sending];
        it.received = self.now;
        let (claim, step) = Claim::new(Call {
            workspace: "notary".into(),
            key: it.key.to_string(),
            digest: format!("{}-{}", it.key, it.other),
            token: Request(sending as u128),
            daemon: format!("daemon-{daemon}").as_str().into(),
            incarnation: Incarnation(run),
            received,
        });
        it.claim = Some(claim);
        self.step(daemon, sending, step);
    }

    fn step(&mut self, daemon: usize, sending: usize, step: Step) {
        let run = self.daemons[daemon].run;
        match step {
            Step::Commit(transaction) => self.ask(daemon, sending, Ask::Commit(transaction)),
            Step::Read(key) => self.ask(daemon, sending, Ask::Read(key)),
            Step::Hold => {
                let now = self.clocks(daemon);
                let claim = self.sendings[sending].claim.as_ref().expect("it holds");
                if !claim.may_send(now) {
                    self.refuse(sending, Execution::Unknown);
                    let told_s = now.wall_s;
                    return self.settle(daemon, run, sending, Outcome::NotRun { told_s });
                }
                if self.chance(15) {
                    return self.happen(Happen::Served(daemon, run, sending, Some(false)));
                }
                self.plan_in(0..100, Happen::Serve(daemon, run, sending));
            }
            Step::Replay(answer) => {
                assert_eq!(answer, self.answer(sending), "the answer of another request");
                self.totals.replays += 1;
            }
            Step::Refuse(refusal) => {
                let other_body = refusal.kind == Kind::KeyReused;
                assert!(!other_body || refusal.run != Execution::Run);
                self.refuse(sending, refusal.run);
            }
        }
    }

    fn ask(&mut self, daemon: usize, sending: usize, ask: Ask) {
        let run = self.daemons[daemon].run;
        let asked = self.sendings[sending].asked;
        // Some questions reach the table long after their sender has given up.
        let late = self.chance(self.lose_percent / 4);
        let wait = if late { 0..60 * SECOND } else { 0..200 };
        self.plan_in(wait, Happen::Apply(daemon, run, sending, asked, ask));
        let timeout = Happen::Answer(daemon, run, sending, asked, Event::Lost);
        self.plan_at(self.now + TIMEOUT_MS, timeout);
    }

    fn apply(&mut self, daemon: usize, run: u64, sending: usize, asked: u32, ask: &Ask) {
        let down = self.outages.iter().any(|it| it.contains(&self.now));
        let event = match ask {
            _ if down => Event::Unavailable,
            Ask::Commit(transaction) => Event::Commit(self.table.commit(transaction)),
            Ask::Read(key) => Event::Row(self.table.rows.get(key).cloned()),
        };
        if self.chance(self.lose_percent) {
            return;
        }
        self.plan_in(0..200, Happen::Answer(daemon, run, sending, asked, event));
    }

    fn serve(&mut self, daemon: usize, run: u64, sending: usize) {
        let it = &mut self.sendings[sending];
        assert!(it.ran.is_none(), "one sending ran twice");
        it.ran = Some(self.now);
        self.totals.runs += 1;
        let lost = self.chance(20);
        let answer = if lost { None } else { Some(true) };
        let wait = if lost { TIMEOUT_MS } else { 0 };
        self.plan_in(wait..wait + 300, Happen::Served(daemon, run, sending, answer));
    }

    /// The holder tells the table how it ended, until the table answers.
    fn settle(&mut self, daemon: usize, run: u64, sending: usize, outcome: Outcome) {
        let claim = self.sendings[sending].claim.as_ref().expect("it holds");
        let Some(transaction) = claim.settle(outcome.clone()) else {
            return;
        };
        let down = self.outages.iter().any(|it| it.contains(&self.now));
        let reached = !down && !self.chance(self.lose_percent / 2);
        if reached {
            self.table.commit(&transaction);
        }
        if !reached || self.chance(self.lose_percent) {
            self.plan_in(SECOND..5 * SECOND, Happen::Settle(daemon, run, sending, outcome));
        }
    }

    fn answer(&self, sending: usize) -> Answer {
        let it = &self.sendings[sending];
        Answer::Call { status: 200, content_type: None, body: format!("{}-{}", it.key, it.other) }
    }

    fn refuse(&mut self, sending: usize, run: Execution) {
        match run {
            Execution::NotRun => {
                self.sendings[sending].refused = Some(self.now);
                self.totals.not_run += 1;
            }
            Execution::Run => {
                let (key, other) = (self.sendings[sending].key, self.sendings[sending].other);
                let mut same = self.sendings.iter();
                let ran = same.any(|it| it.key == key && it.other == other && it.ran.is_some());
                assert!(ran, "\"run\" for a key that was not run");
            }
            Execution::Unknown => self.totals.unknown += 1,
        }
    }

    fn check(&self) {
        for key in 0..KEYS {
            let of_key = || self.sendings.iter().filter(|it| it.key == key);
            let runs = of_key().filter(|it| it.ran.is_some()).count();
            assert!(runs <= 1, "key {key} ran {runs} times");
            let Some(ran) = of_key().find(|it| it.ran.is_some()) else {
                continue;
            };
            // What was received after the refusal is a request of its own.
            let same = of_key().filter(|it| it.other == ran.other);
            for refused in same.filter_map(|it| it.refused) {
                let truth = ran.received > refused;
                assert!(truth, "key {key}: \"not run\" at {refused}, but it ran");
            }
        }
    }
}

impl Happen {
    /// The daemon that must be awake for it.
    fn daemon(&self) -> Option<usize> {
        match self {
            Happen::Arrive(daemon, _)
            | Happen::Answer(daemon, ..)
            | Happen::Served(daemon, ..)
            | Happen::Settle(daemon, ..)
            | Happen::Scan(daemon)
            | Happen::Prune(daemon, _)
            | Happen::Tick(daemon) => Some(*daemon),
            Happen::Apply(..) | Happen::Serve(..) | Happen::Crash(_) | Happen::Pause(..) => None,
        }
    }
}

fn number(name: &str) -> Option<u64> {
    env::var(name).ok().map(|it| it.parse().expect(name))
}

#[test]
fn a_key_runs_at_most_once() {
    assert!(Duration::from_millis(REPEATS_MS) < KEEP);
    let seeds = match number("ONCE_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("ONCE_SEEDS").unwrap_or(SEEDS),
    };
    let all = seeds.end - seeds.start > 1;
    let mut totals = Totals::default();
    for seed in seeds {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            world.run();
            world.totals
        });
        let Ok(run) = run else {
            panic!(
                "seed {seed} failed; repeat: \
                 ONCE_SEED={seed} cargo test --locked --test once a_key_runs_at_most_once"
            );
        };
        totals.runs += run.runs;
        totals.replays += run.replays;
        totals.not_run += run.not_run;
        totals.unknown += run.unknown;
    }
    // Each kind of ending must have been met, or the run shows nothing.
    let met = [totals.runs, totals.replays, totals.not_run, totals.unknown];
    assert!(!all || met.iter().all(|it| *it > 0), "{met:?}");
    println!("runs, replays, not run, unknown: {met:?}");
}

/// A late prune must not remove the row of a run that came after it looked.
#[test]
fn a_late_prune_leaves_a_newer_row() {
    let mut table = Table::default();
    let claim = |token, wall_s| {
        Claim::new(Call {
            workspace: "notary".into(),
            key: "filing".to_owned(),
            digest: String::new(),
            token: Request(token),
            daemon: "daemon".into(),
            incarnation: Incarnation(1),
            received: Now { time: Time::default(), wall_s },
        })
    };
    let commit = |table: &mut Table, step| match step {
        Step::Commit(transaction) => Event::Commit(table.commit(&transaction)),
        other => panic!("{other:?}"),
    };
    let (mut first, step) = claim(1, 0);
    let event = commit(&mut table, step);
    assert_eq!(first.on(event, Now::default()), Step::Hold);
    let not_run = first.settle(Outcome::NotRun { told_s: 0 }).expect("held");
    table.commit(&not_run);
    let seen = table.ages();

    let later = KEEP.as_secs() - 1;
    let now = Now { time: Time::default(), wall_s: later };
    let (mut second, step) = claim(2, later);
    let event = commit(&mut table, step);
    let step = second.on(event, now);
    let event = commit(&mut table, step);
    assert_eq!(second.on(event, now), Step::Hold);

    let prunes = seen.iter().filter_map(|it| once::prune(it, later + 2));
    for prune in prunes {
        table.commit(&prune);
    }
    assert!(table.rows.contains_key("once/6/notary/filing"));
    assert_eq!(table.ages().len(), 1);
}
