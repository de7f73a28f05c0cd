//! Daemon cores, a table and a network in virtual time. All choices come from one seed.

// Each test uses a part of it.
#![allow(dead_code)]

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use futures::FutureExt;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tealturn::{
    catalog::{
        change::{Change, Id, Verdict},
        edit::{self, Attempt},
        keeper::{Keeper, Update},
        poll,
        store::{Answer, Call},
        sync::{self, Sync},
    },
    fleet::{
        board::Board,
        core::{Core, Own, Received, TICK},
        member::Member,
        message::{self, Envelope, MAX_MESSAGE_BYTES, Message},
        roster::Change as Fleet,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Revision},
    },
    platform::table::Failure,
    timeline::Stamp,
};

use crate::table::{Fault, Memory};

const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
const TABLE_TIMEOUT: Duration = Duration::from_millis(2_000);

pub struct World {
    pub now: Time,
    pub rng: SmallRng,
    pub nodes: Vec<Node>,
    pub table: Memory,
    /// Pairs of daemons of which the second hears nothing of the first.
    pub cuts: BTreeSet<(usize, usize)>,
    /// The share of messages that are lost, and of those that come twice.
    pub loss: f64,
    /// The share of the table's answers that are lost.
    pub table_loss: f64,
    pub table_delay: Duration,
    pub verdicts: Vec<(Change, Verdict)>,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
    /// Calls whose end is still awaited.
    pending: BTreeSet<u64>,
}

pub struct Node {
    pub run: Option<Run>,
    pub paused: Time,
    runs: u64,
}

/// A daemon from its start to its end.
pub struct Run {
    pub core: Core,
    pub board: Arc<Board>,
    pub keeper: Keeper,
    pub sent_bytes: usize,
    pub messages: u64,
    number: u64,
    start: Time,
    drift: f64,
    poll: Option<Sync>,
    attempts: BTreeMap<Id, Attempt>,
}

/// Where an event belongs: the daemon and its run.
type Place = (usize, u64);

#[derive(Clone)]
enum Event {
    Tick(Place),
    Poll(Place),
    Push(Place),
    Request(Place, usize, u64, Message, Envelope),
    Reply(Place, u64, Message, Envelope),
    Fetch(Place, usize, Option<Revision>),
    Fetched(Place, Update),
    Failed(Place, u64, usize, bool),
    Table(Place, u64, Job, Call),
    Answer(Place, u64, Job, Answer),
}

#[derive(Clone, Copy)]
enum Job {
    Poll,
    Edit(Id),
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node >> 8) as u8, node as u8], 7))
}

fn index(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(it) => {
            usize::from(it.ip().octets()[2]) << 8 | usize::from(it.ip().octets()[3])
        }
        SocketAddr::V6(_) => unreachable!("all addresses here are IPv4"),
    }
}

impl World {
    pub fn new(seed: u64, nodes: usize) -> World {
        let node = || Node { run: None, paused: Time(0), runs: 0 };
        World {
            now: Time::from_millis(1_000_000),
            rng: SmallRng::seed_from_u64(seed),
            nodes: (0..nodes).map(|_| node()).collect(),
            table: Memory::default(),
            cuts: BTreeSet::new(),
            loss: 0.0,
            table_loss: 0.0,
            table_delay: Duration::from_millis(3),
            verdicts: Vec::new(),
            queue: BTreeMap::new(),
            count: 0,
            pending: BTreeSet::new(),
        }
    }

    pub fn start(&mut self, node: usize) {
        let number = self.nodes[node].runs + 1;
        let board = Arc::new(Board::default());
        let own = Member {
            daemon: format!("daemon-{node}").as_str().into(),
            incarnation: Incarnation(number),
            zone: format!("zone-{}", node % 3).as_str().into(),
            caller: address(node),
            peer: address(node),
            operator: address(node),
            leaving: false,
        };
        let mut core = Core::new(Time(0), own, board.clone());
        core.set_seeds((0..self.nodes.len()).map(address).collect());
        let greeted = core.greet(&mut self.rng);
        self.nodes[node].runs = number;
        self.nodes[node].paused = self.now;
        self.nodes[node].run = Some(Run {
            core,
            board,
            keeper: Keeper::default(),
            sent_bytes: 0,
            messages: 0,
            number,
            start: self.now,
            drift: self.rng.random_range(0.98..1.02),
            poll: None,
            attempts: BTreeMap::new(),
        });
        for to in greeted {
            self.send((node, number), index(to), false);
        }
        self.later(0, Event::Tick((node, number)));
        let wait = poll::first_wait(self.nodes.len(), self.rng.random_range(0.0..1.0));
        self.later(wait.as_micros() as u64, Event::Poll((node, number)));
    }

    /// Daemons that all started, and have found each other.
    pub fn settled(seed: u64, nodes: usize) -> World {
        let mut world = World::new(seed, nodes);
        for node in 0..nodes {
            world.start(node);
        }
        world.pass(10_000);
        world
    }

    pub fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        self.run(end, &mut |_| {});
    }

    pub fn stop(&mut self, node: usize) {
        self.nodes[node].run = None;
    }

    /// The runs that are up.
    pub fn runs(&self) -> impl Iterator<Item = (usize, &Run)> {
        let runs = self.nodes.iter().enumerate();
        runs.filter_map(|(node, it)| it.run.as_ref().map(|run| (node, run)))
    }

    pub fn local(&self, node: usize) -> Time {
        self.nodes[node].run.as_ref().map_or(Time(0), |it| it.local(self.now))
    }

    /// Sends out a daemon's urgent news.
    pub fn push(&mut self, node: usize) {
        if let Some(run) = &self.nodes[node].run {
            let place = (node, run.number);
            self.later(20_000, Event::Push(place));
        }
    }

    pub fn change(&mut self, node: usize, change: Change) {
        let Some(run) = &mut self.nodes[node].run else {
            return;
        };
        let attempt = Attempt::new(change.clone(), run.keeper.catalog().cloned());
        let step = attempt.start();
        run.attempts.insert(change.id, attempt);
        let place = (node, run.number);
        self.edit(place, change, step);
    }

    /// Runs until `end`, calling `check` after every event.
    pub fn run(&mut self, end: Time, check: &mut dyn FnMut(&World)) {
        while let Some((&(at, count), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let event = self.queue.remove(&(at, count)).expect("the first one");
            self.now = at;
            self.handle(event);
            check(self);
        }
        self.now = end;
    }

    fn later(&mut self, micros: u64, event: Event) {
        self.count += 1;
        let at = self.now + Duration::from_micros(micros);
        self.queue.insert((at, self.count), event);
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(300..20_000)
    }

    fn handle(&mut self, event: Event) {
        let (node, number) = match &event {
            Event::Tick(it) | Event::Poll(it) | Event::Push(it) => *it,
            Event::Reply(it, ..) | Event::Failed(it, ..) => *it,
            Event::Fetched(it, ..) | Event::Answer(it, ..) => *it,
            Event::Request(_, to, ..) | Event::Fetch(_, to, _) => (*to, self.nodes[*to].runs),
            Event::Table(..) => return self.at_table(event),
        };
        let paused = self.nodes[node].paused;
        if paused > self.now {
            let micros = paused.since(self.now).as_micros() as u64;
            return self.later(micros.min(100_000), event);
        }
        let up = self.nodes[node].run.as_ref().is_some_and(|it| it.number == number);
        match event {
            event if up => self.at_node(node, number, event),
            Event::Request(from, to, id, ..) => {
                self.carry(to, from.0, Event::Failed(from, id, to, true));
            }
            _ => {}
        }
    }

    fn at_node(&mut self, node: usize, number: u64, event: Event) {
        let (now, own) = (self.local(node), self.own(node));
        let place = (node, number);
        let rng = &mut self.rng;
        let run = self.nodes[node].run.as_mut().expect("a run that is up");
        match event {
            Event::Tick(_) => {
                if let Some(to) = run.core.tick(now, rng) {
                    self.send(place, index(to), false);
                }
                let jitter = self.rng.random_range(0.8..1.2);
                let micros = TICK.mul_f64(jitter).as_micros() as u64;
                self.later(micros, Event::Tick(place));
            }
            Event::Push(_) => {
                for to in run.core.fanout(now, rng) {
                    self.send(place, index(to), true);
                }
            }
            Event::Poll(_) => {
                let sync = Sync::new(run.keeper.revision());
                let step = sync.start();
                run.poll = Some(sync);
                self.poll(place, step);
            }
            Event::Request(from, _, id, sent, envelope) => {
                let message = message::open("test", &envelope, MAX_MESSAGE_BYTES);
                let message: Message = message.expect("a good message");
                let received = run.core.receive(now, own, &message);
                let answer = run.core.answer(now, own, &message, rng);
                run.sent_bytes += message::size(&answer);
                let reply = Event::Reply(from, id, sent, message::seal("test", &answer));
                self.carry(node, from.0, reply);
                self.take(place, &received);
            }
            Event::Reply(_, id, sent, envelope) => {
                if !self.pending.remove(&id) {
                    return;
                }
                let answer = message::open("test", &envelope, MAX_MESSAGE_BYTES);
                let answer: Message = answer.expect("a good message");
                let received = run.core.answered(now, own, &sent, &answer);
                self.take(place, &received);
            }
            Event::Failed(_, id, to, is_refused) => {
                if self.pending.remove(&id) && is_refused {
                    run.core.refused(address(to));
                }
            }
            Event::Fetch(from, _, revision) => {
                if let Some(update) = run.keeper.update(revision, 512) {
                    self.carry(node, from.0, Event::Fetched(from, update));
                }
            }
            Event::Fetched(_, update) => self.install(place, &update),
            Event::Answer(_, id, job, answer) => {
                if self.pending.remove(&id) {
                    self.answered(place, job, answer);
                }
            }
            Event::Table(..) => unreachable!("no event of a daemon"),
        }
    }

    fn own(&self, node: usize) -> Own {
        let keeper = self.nodes[node].run.as_ref().map(|it| it.keeper.revision());
        Own { stamp: Stamp::default(), ready: true, revision: keeper.flatten() }
    }

    fn send(&mut self, place: Place, to: usize, urgent: bool) {
        let (now, own) = (self.local(place.0), self.own(place.0));
        let Some(run) = &mut self.nodes[place.0].run else {
            return;
        };
        let message = match urgent {
            true => run.core.urgent(now, own),
            false => run.core.message(now, own, &mut self.rng),
        };
        run.sent_bytes += message::size(&message);
        run.messages += 1;
        self.count += 1;
        let id = self.count;
        self.pending.insert(id);
        let envelope = message::seal("test", &message);
        self.carry(place.0, to, Event::Request(place, to, id, message, envelope));
        let timeout = ANSWER_TIMEOUT.as_micros() as u64;
        self.later(timeout, Event::Failed(place, id, to, false));
    }

    /// Carries an event from one daemon to another, or loses it, or carries it twice.
    fn carry(&mut self, from: usize, to: usize, event: Event) {
        if self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        if self.rng.random_bool(self.loss) {
            let delay = self.delay() * 50;
            self.later(delay, event.clone());
        }
        let delay = self.delay();
        self.later(delay, event);
    }

    fn take(&mut self, place: Place, received: &Received) {
        let left = |it: &Fleet| matches!(it, Fleet::Left(_));
        if self.is_urgent(place.0) || received.changes.iter().any(left) {
            self.push(place.0);
        }
        if let Some(from) = received.newer {
            let revision = self.own(place.0).revision;
            let to = index(from);
            self.carry(place.0, to, Event::Fetch(place, to, revision));
        }
    }

    /// Whether the board has told of urgent news since the last time.
    fn is_urgent(&self, node: usize) -> bool {
        let run = self.nodes[node].run.as_ref();
        run.is_some_and(|it| it.board.urgent().now_or_never().is_some())
    }

    fn install(&mut self, place: Place, update: &Update) {
        let Some(run) = &mut self.nodes[place.0].run else {
            return;
        };
        if run.keeper.take(update) {
            self.push(place.0);
        }
    }

    fn poll(&mut self, place: Place, step: sync::Step) {
        if !matches!(step, sync::Step::Call(_)) {
            let fleet = self.nodes[place.0].run.as_ref().map_or(0, |it| it.core.roster().len());
            let wait = poll::interval(fleet + 1, self.rng.random_range(0.0..1.0));
            self.later(wait.as_micros() as u64, Event::Poll(place));
        }
        match step {
            sync::Step::Call(call) => self.call(place, Job::Poll, call),
            sync::Step::Entries(entries) => self.install(place, &Update::Entries(entries)),
            sync::Step::Whole(catalog) => self.install(place, &Update::Whole(Arc::new(catalog))),
            sync::Step::Failed(_) => {}
        }
    }

    fn edit(&mut self, place: Place, change: Change, step: edit::Step) {
        match step {
            edit::Step::Call(call) => self.call(place, Job::Edit(change.id), call),
            edit::Step::Done(done) => {
                for update in &done.updates {
                    self.install(place, update);
                }
                self.verdicts.push((change, done.verdict));
            }
        }
    }

    fn answered(&mut self, place: Place, job: Job, answer: Answer) {
        let Some(run) = &mut self.nodes[place.0].run else {
            return;
        };
        match job {
            Job::Poll => {
                let Some(sync) = &mut run.poll else { return };
                let step = sync.step(answer);
                self.poll(place, step);
            }
            Job::Edit(id) => {
                let Some(mut attempt) = run.attempts.remove(&id) else {
                    return;
                };
                let step = attempt.step(answer);
                let change = attempt.change().clone();
                if matches!(step, edit::Step::Call(_)) {
                    run.attempts.insert(id, attempt);
                }
                self.edit(place, change, step);
            }
        }
    }

    fn call(&mut self, place: Place, job: Job, call: Call) {
        self.count += 1;
        let id = self.count;
        self.pending.insert(id);
        let most = self.table_delay.as_micros() as u64;
        let delay = self.rng.random_range(300..most.max(301));
        self.later(delay, Event::Table(place, id, job, call));
        let lost = Answer::Failed(Failure::Lost("no answer in time".into()));
        let timeout = TABLE_TIMEOUT.as_micros() as u64;
        self.later(timeout, Event::Answer(place, id, job, lost));
    }

    fn at_table(&mut self, event: Event) {
        let Event::Table(place, id, job, call) = event else {
            return;
        };
        let answer = futures::executor::block_on(call.perform(&self.table));
        if !self.rng.random_bool(self.table_loss) {
            let delay = self.delay();
            self.later(delay, Event::Answer(place, id, job, answer));
        }
    }

    pub fn table_is_up(&mut self, up: bool) {
        self.table.set(if up { Fault::None } else { Fault::Down });
    }
}

impl Run {
    pub fn local(&self, now: Time) -> Time {
        let micros = now.since(self.start).as_micros() as f64 * self.drift;
        Time(micros as u64)
    }
}
