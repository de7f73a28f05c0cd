//! The exchange between daemons, free of I/O: whom to tell what, and what to make of what comes.
//!
//! Each daemon sends a message to a random live daemon [`RATE`] times a second and is answered
//! by one. Both carry the sender, beats, records of daemons and facts, within a budget of bytes
//! that does not depend on the size of the fleet. Urgent facts go out at once, to
//! [`FANOUT`] daemons, each of which passes them on when they are news to it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use metrics::counter;
use rand::{Rng, RngExt, seq::IteratorRandom};

use crate::{
    collections::Set,
    fleet::{
        board::{Board, Key, Value},
        budget::Budget,
        inquiry::{Inquiry, PAGE_RECORDS},
        member::Member,
        message::{self, Load, Message, Record},
        roster::{BEATS, Change, Roster},
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Revision},
    },
    timeline::Stamp,
};

/// Messages that a daemon sends a second without an urgent reason.
pub const RATE: u32 = 2;

/// Daemons that urgent news goes to at once.
pub const FANOUT: usize = 6;

/// The time between two ticks.
pub const TICK: Duration = Duration::from_millis(1_000 / RATE as u64);

/// A tick that is late by more than this shows that the daemon was paused.
pub const PAUSE: Duration = Duration::from_millis(2_000);

/// Bytes of facts in a message that nobody waits for.
const POST_BYTES: usize = 400;

/// Bytes of urgent facts in a message when the budget is used up.
const SHORT_POST_BYTES: usize = 160;

/// Bytes of facts in an urgent message.
const URGENT_BYTES: usize = 1_200;

/// Records in a message: changed ones, and others in turn.
const RECORDS: usize = 4;

/// One message in so many goes to a seed or a daemon that is silent.
const PROBE_EVERY: u32 = 8;

/// The exchange of one daemon.
pub struct Core {
    own: Member,
    board: Arc<Board>,
    roster: Roster,
    seeds: Vec<SocketAddr>,
    budget: Budget,
    inquiry: Inquiry,
    started: Time,
    ticked: Option<Time>,
    /// Daemons that were told that this one leaves.
    told: Set<Member>,
}

/// What this daemon tells of itself with each message.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// The stamp of its time line.
    pub stamp: Stamp,
    /// Whether it takes requests.
    pub ready: bool,
    /// The revision in force.
    pub revision: Option<Revision>,
}

/// What came of a message.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Received {
    /// Changes of the fleet.
    pub changes: Vec<Change>,
    /// The sender has a configuration, and not an older one than this daemon.
    pub confirms: bool,
    /// Where a newer configuration can be had.
    pub newer: Option<SocketAddr>,
    /// Another daemon goes by this one's name, or this one's clock went back.
    pub contested: bool,
}

impl Core {
    /// The exchange of a daemon that starts.
    pub fn new(now: Time, own: Member, board: Arc<Board>) -> Core {
        Core {
            own,
            board,
            roster: Roster::default(),
            seeds: Vec::new(),
            budget: Budget::new(now),
            inquiry: Inquiry::default(),
            started: now,
            ticked: None,
            told: Set::default(),
        }
    }

    /// This daemon as others see it.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The daemons that it knows.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Sets the addresses, from the settings and the VM list, at which daemons may be found.
    /// They are only ever tried: a wrong one costs a message now and then.
    pub fn set_seeds(&mut self, mut seeds: Vec<SocketAddr>) {
        let own = self.own.peer;
        seeds.retain(|it| *it != own);
        self.seeds = seeds;
    }

    /// Takes note that this daemon leaves.
    pub fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Whether every live daemon has answered a message that told it that this one leaves.
    pub fn is_left(&self, now: Time) -> bool {
        self.own.leaving && self.roster.live(now).all(|it| self.told.contains(it))
    }

    /// The daemons to ask at the start, all at once: the highest revision among them counts.
    pub fn greet(&self, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        self.seeds.iter().copied().sample(rng, FANOUT)
    }

    /// Called every [`TICK`]: the daemon to send a message to.
    pub fn tick(&mut self, now: Time, rng: &mut dyn Rng) -> Option<SocketAddr> {
        let late = self.ticked.map(|it| now.since(it)).unwrap_or_default();
        if late > TICK + PAUSE {
            self.roster.paused(late);
        }
        self.ticked = Some(now);
        self.board.advance(now);
        self.roster.forget(now);
        let probe = rng.random_range(0..PROBE_EVERY) == 0;
        let live = self.roster.live(now).map(|it| it.peer).choose(rng);
        match live {
            Some(live) if !probe => Some(live),
            live => self.stranger(now, rng).or(live),
        }
    }

    /// The daemons to tell urgent news at once; none when that has cost too much lately, in which
    /// case the news goes with the messages of the next ticks.
    pub fn fanout(&mut self, now: Time, rng: &mut dyn Rng) -> Vec<SocketAddr> {
        if self.budget.is_far_ahead(now) {
            counter!("tealturn_peer_urgent_put_off_total").increment(1);
            return Vec::new();
        }
        let live = self.roster.live(now).map(|it| it.peer);
        live.sample(rng, FANOUT)
    }

    /// The message to send now.
    pub fn message(&mut self, now: Time, own: Own, rng: &mut dyn Rng) -> Message {
        let mut message = self.regular(now, own, rng);
        message.asks = self.inquiry.next(now, self.roster.len(), self.seeds.len());
        self.budget.spend(now, message::size(&message));
        message
    }

    /// The message to answer another one with.
    pub fn answer(&mut self, now: Time, own: Own, to: &Message, rng: &mut dyn Rng) -> Message {
        let mut message = self.regular(now, own, rng);
        if let (Some(after), false) = (&to.asks, self.budget.is_far_ahead(now)) {
            message.records = self.roster.after(now, after, PAGE_RECORDS);
        }
        self.budget.spend(now, message::size(&message));
        message
    }

    fn regular(&mut self, now: Time, own: Own, rng: &mut dyn Rng) -> Message {
        let mut message = self.header(now, own);
        if self.budget.spare(now) > 0 {
            message.beats = self.roster.beats(now, BEATS, rng);
            message.posts = self.board.outgoing(POST_BYTES, message::size);
            message.records = self.roster.records(now, RECORDS, 1);
        } else {
            message.posts = self.board.outgoing_urgent(SHORT_POST_BYTES, message::size);
        }
        message
    }

    /// The message that carries urgent facts, the news of a configuration, or that this daemon
    /// leaves.
    pub fn urgent(&mut self, now: Time, own: Own) -> Message {
        let mut message = self.header(now, own);
        message.posts = self.board.outgoing_urgent(URGENT_BYTES, message::size);
        message.records = self.roster.records(now, RECORDS, 0);
        self.budget.spend(now, message::size(&message));
        message
    }

    /// Takes a message.
    pub fn receive(&mut self, now: Time, own: Own, message: &Message) -> Received {
        let mut received = Received::default();
        for record in [&message.from].into_iter().chain(&message.records) {
            if record.member.daemon == self.own.daemon {
                received.contested |= self.contest(&record.member);
                continue;
            }
            received.changes.extend(self.roster.merge(now, record));
        }
        for beat in &message.beats {
            self.roster.beat(now, beat);
        }
        for post in &message.posts {
            self.board.receive(post);
        }
        received.confirms = message.revision.is_some() && message.revision >= own.revision;
        if message.revision > own.revision {
            received.newer = Some(message.from.member.peer);
        }
        received
    }

    /// Takes the answer to a message that this daemon sent.
    pub fn answered(&mut self, now: Time, own: Own, sent: &Message, answer: &Message) -> Received {
        if sent.from.member.leaving {
            let member = &answer.from.member;
            self.told.insert(member.clone());
        }
        let known = self.roster.len();
        let received = self.receive(now, own, answer);
        if sent.asks.is_some() {
            let has_news = self.roster.len() > known;
            self.inquiry.answered(now, &answer.records, has_news);
        }
        received
    }

    /// Takes note that an address refused a connection.
    pub fn refused(&mut self, address: SocketAddr) {
        self.roster.refused(address);
    }

    fn header(&self, now: Time, own: Own) -> Message {
        let from = Record {
            member: self.own.clone(),
            beat: now.since(self.started).as_millis() as u64 + 1,
            load: Load { ready: own.ready, requests: self.requests() },
            quiet_ms: 0,
        };
        Message {
            from,
            stamp: own.stamp,
            revision: own.revision,
            asks: None,
            beats: Vec::new(),
            records: Vec::new(),
            posts: Vec::new(),
        }
    }

    /// The requests that this daemon has, by its own reports of demand.
    pub fn requests(&self) -> u32 {
        let own = &self.own.daemon;
        let mine = |key: &Key| matches!(key, Key::Demand(daemon, _) if daemon == own);
        let mut sum: u32 = 0;
        for fact in self.board.facts(mine) {
            if let Value::Demand { requests, .. } = fact.value {
                sum = sum.saturating_add(requests);
            }
        }
        sum
    }

    /// Answers a record of this daemon's name with a higher run, so that others keep to this one.
    fn contest(&mut self, other: &Member) -> bool {
        if other.incarnation <= self.own.incarnation {
            return false;
        }
        self.own.incarnation = Incarnation(other.incarnation.0 + 1);
        true
    }

    fn stranger(&self, now: Time, rng: &mut dyn Rng) -> Option<SocketAddr> {
        let silent = self.roster.silent(now, rng).map(|it| it.peer);
        let seed = self.seeds.iter().copied().choose(rng);
        match rng.random_range(0..2) {
            0 => silent.or(seed),
            _ => seed.or(silent),
        }
    }
}
