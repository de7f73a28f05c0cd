//! Decides which calls of a daemon run, wait or are refused when upstreams are short of capacity.
//!
//! The calls to a service wait in one queue: the most urgent first, then those that were sent before
//! or whose caller returns after a refusal, then workspaces in turn, then by deadline. Of equal
//! priority, those that can still meet their latency objective go before late ones: serving the
//! calls with the nearest deadlines first would make all of them late in an overload. The first call for which there may be capacity is offered an upstream; the caller of
//! [`Queue::decide`] reports whether one had room for it. Only one call is offered at a time, so no
//! call overtakes another that could use the same room. The queue performs no I/O and reads no
//! clock.

pub mod engine;
pub mod limit;
pub mod rate;
pub mod refusal;
pub mod service;

use std::{cmp::Reverse, collections::BTreeMap, time::Duration};

use crate::{
    admission::{
        QUEUE_REQUESTS, WORKSPACE_QUEUE_REQUESTS,
        queue::{self, Entry},
        retry,
    },
    collections::Map,
    gateway::room::{
        limit::{Capacity, Limits},
        rate::Rate,
        refusal::Refused,
    },
    kernel::{
        clock::Time,
        id::{Request, Workspace},
    },
    request::suspect::Fingerprint,
};

/// Interval between attempts to place calls for which there was no room, unless room came free.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Tokens of more urgent calls that begin before a waiting call gets a turn, as a multiple of its
/// own. It keeps less urgent calls from starving under a lasting overload by urgent ones.
const URGENT_TURNS: u64 = 4;

/// Interval between checks whether late calls can still begin before their deadlines.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// The highest priority number that is distinguished; engines know 0 to 9.
const MAX_PRIORITY: u8 = 99;

/// Multiples of it are spread evenly modulo 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;

/// A call that asks for capacity.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// Identifies it.
    pub request: Request,
    /// Recognises its repetition after a refusal.
    pub fingerprint: Fingerprint,
    /// Who asks.
    pub workspace: Workspace,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// Whether it was already sent to an upstream that did not answer it. The queue sets it for the
    /// repetition of a refused call.
    pub returns: bool,
    /// Whether only some of the upstreams may take it.
    pub is_restricted: bool,
    /// The engine memory that it takes in tokens; 1 if the upstreams are not engines.
    pub tokens: u64,
    /// Limits on what running calls take of each upstream.
    pub capacity: Capacity,
    /// Until when it can begin and still meet its latency objective.
    pub on_time_until: Time,
    /// When it must begin to be answered before its deadline.
    pub start_by: Time,
    /// When its answer is due.
    pub deadline: Time,
}

/// What happened to a call or its upstreams.
#[derive(Clone, Debug)]
pub enum Event {
    /// A call arrives.
    Arrived(Ticket),
    /// The offered call begins.
    Began(Request),
    /// No upstream has room for the offered call. The engine with the most free memory, which is
    /// left to it for the rest of the round.
    NoRoom(Request, Option<u64>),
    /// A call no longer waits.
    Left(Request),
    /// A call of this daemon ended.
    Freed,
    /// Time has passed.
    Tick,
}

/// What is to be done with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// Send it if an upstream has room, and report [`Event::Began`], [`Event::NoRoom`] or
    /// [`Event::Left`].
    Offer {
        /// The call.
        request: Request,
        /// The limit on what running calls take of the upstream, including this one.
        limit: u64,
        /// An engine that is left to a call further ahead.
        spared: Option<u64>,
    },
    /// Refuse it.
    Refuse {
        /// The call.
        request: Request,
        /// When its caller should return.
        retry_after: Duration,
        /// Why.
        reason: Reason,
    },
}

/// Why a call is refused, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// The queue ahead would take longer than the call may wait.
    Queue {
        /// Tokens that wait ahead of it.
        ahead_tokens: u64,
        /// When they will have begun.
        wait: Duration,
    },
    /// Too many calls wait.
    Full,
    /// It can no longer begin in time.
    Deadline,
}

/// The waiting calls of a service.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: queue::Queue,
    tickets: Map<Request, Ticket>,
    rate: Rate,
    limits: Limits,
    refused: Refused,
    /// Tokens of more urgent calls that began while calls of a priority waited.
    passed: BTreeMap<u8, u64>,
    offered: Option<Request>,
    round: Round,
    reviewed_at: Time,
}

/// A pass over the waiting calls in their order.
#[derive(Clone, Debug, Default)]
struct Round {
    began_at: Time,
    /// The highest use of an upstream, without the call, that was too high for a call of the round.
    /// Calls which need it to be at most that low are not offered.
    full_at: Option<i64>,
    /// Calls that found no room at the upstreams which may take them. This says nothing of others.
    restricted: Vec<Request>,
    /// The engine that is left to the first call that found no room.
    spared: Option<u64>,
}

impl Queue {
    /// The number of waiting calls.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Takes in what happened and decides what follows. `random` from 0 to 1 spreads the times at
    /// which refused callers return.
    pub fn decide(&mut self, event: Event, now: Time, random: f64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        if self.offered.is_none() && now.since(self.round.began_at) >= ROUND_INTERVAL {
            self.round = Round { began_at: now, ..Round::default() };
        }
        match event {
            Event::Arrived(ticket) => {
                if let Some(refusal) = self.enter(ticket, now, random) {
                    outcomes.push(refusal);
                    return outcomes;
                }
            }
            Event::Began(request) => self.begin(request, now),
            Event::NoRoom(request, least_used) => self.skip(request, least_used, now),
            Event::Left(request) => {
                self.waiting.remove(request);
                self.forget(request);
            }
            Event::Freed => self.round = Round { began_at: now, ..Round::default() },
            Event::Tick => {
                self.expire(now, random, &mut outcomes);
                self.review(now, random, &mut outcomes);
            }
        }
        outcomes.extend(self.offer(now));
        outcomes
    }

    /// Queues a call, or refuses it.
    fn enter(&mut self, ticket: Ticket, now: Time, random: f64) -> Option<Outcome> {
        let returns = self.refused.take(ticket.fingerprint, now) || ticket.returns;
        let ticket = Ticket { returns, ..ticket };
        let (priority, tokens) = (ticket.priority.min(MAX_PRIORITY), ticket.tokens);
        self.limits.record(priority, tokens, now);
        let rank = rank(priority, returns);
        let (ahead_tokens, wait) = self.wait(&ticket, rank, now);
        let is_full = self.len() >= QUEUE_REQUESTS
            || self.waiting.waiting(&ticket.workspace) >= WORKSPACE_QUEUE_REQUESTS;
        if is_full || now + wait > ticket.start_by {
            let reason = if is_full { Reason::Full } else { Reason::Queue { ahead_tokens, wait } };
            return Some(self.refuse(&ticket, wait, reason, now, random));
        }
        let entry =
            Entry { request: ticket.request, tokens, priority: rank, start_by: ticket.start_by };
        self.waiting.push(&ticket.workspace, entry);
        self.tickets.insert(ticket.request, ticket);
        None
    }

    /// The tokens of the calls that are likely to begin before one, and when they will have begun.
    fn wait(&self, ticket: &Ticket, rank: u8, now: Time) -> (u64, Duration) {
        let is_late = now > ticket.on_time_until;
        let is_ahead = |entry: &Entry| {
            let other = self.tickets.get(&entry.request);
            let is_behind =
                |it: &Ticket| !is_late && now > it.on_time_until && it.priority >= ticket.priority;
            entry.request != ticket.request && !other.is_some_and(is_behind)
        };
        let ahead = self.waiting.tokens_ahead(&ticket.workspace, rank, ticket.tokens, is_ahead);
        let class = (ticket.priority.min(MAX_PRIORITY), is_late);
        let wait = self.rate.wait(class, ahead, now).filter(|_| ahead > 0);
        (ahead, wait.unwrap_or_default())
    }

    /// Refuses the late calls that can no longer begin before their deadlines, as far as can be
    /// told. Their callers may still return.
    fn review(&mut self, now: Time, random: f64, outcomes: &mut Vec<Outcome>) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        let late = self.tickets.values().filter(|it| now > it.on_time_until);
        let late = late.filter(|it| self.offered != Some(it.request));
        let mut late: Vec<_> = late.map(|it| (Reverse(it.start_by), it.request)).collect();
        // Those with the most time left go first: their callers can return, and others move up.
        late.sort_unstable();
        for (index, (_, request)) in late.into_iter().enumerate() {
            let Some(ticket) = self.tickets.get(&request) else {
                continue;
            };
            let rank = rank(ticket.priority.min(MAX_PRIORITY), ticket.returns);
            let (ahead_tokens, wait) = self.wait(ticket, rank, now);
            if now + wait <= ticket.start_by {
                continue;
            }
            self.waiting.remove(request);
            let Some(ticket) = self.forget(request) else {
                continue;
            };
            let reason = Reason::Queue { ahead_tokens, wait };
            let random = (random + index as f64 * GOLDEN_RATIO).fract();
            outcomes.push(self.refuse(&ticket, wait, reason, now, random));
        }
    }

    fn refuse(
        &mut self,
        ticket: &Ticket,
        wait: Duration,
        reason: Reason,
        now: Time,
        random: f64,
    ) -> Outcome {
        self.refused.record(ticket.fingerprint, ticket.deadline);
        let retry_after = retry::retry_after(wait, ticket.deadline.since(now), random);
        Outcome::Refuse { request: ticket.request, retry_after, reason }
    }

    fn begin(&mut self, request: Request, now: Time) {
        self.waiting.serve(request);
        let Some(ticket) = self.forget(request) else {
            return;
        };
        let priority = ticket.priority.min(MAX_PRIORITY);
        self.rate.record((priority, now > ticket.on_time_until), ticket.tokens, now);
        let mut passed = BTreeMap::new();
        for waiting in self.tickets.values() {
            let other = waiting.priority.min(MAX_PRIORITY);
            if other == priority {
                continue;
            }
            let before = self.passed.get(&other).copied().unwrap_or_default();
            passed.insert(other, before + if other > priority { ticket.tokens } else { 0 });
        }
        // A turn ends the count of its priority.
        self.passed = passed;
    }

    fn skip(&mut self, request: Request, least_used: Option<u64>, now: Time) {
        if self.offered.take_if(|it| *it == request).is_none() {
            return;
        }
        let Some(ticket) = self.tickets.get(&request) else {
            return;
        };
        if ticket.is_restricted {
            self.round.restricted.push(request);
            return;
        }
        let needs = self.needs(ticket, now);
        // A late call yields to others and has no engine spared for it.
        if now <= ticket.on_time_until && self.round.spared.is_none() {
            self.round.spared = least_used;
        }
        self.round.full_at = Some(self.round.full_at.map_or(needs, |it| it.max(needs)));
    }

    fn forget(&mut self, request: Request) -> Option<Ticket> {
        self.offered.take_if(|it| *it == request);
        self.tickets.remove(&request)
    }

    fn expire(&mut self, now: Time, random: f64, outcomes: &mut Vec<Outcome>) {
        self.waiting.wake_all();
        for entry in self.waiting.expired(now) {
            let Some(ticket) = self.forget(entry.request) else {
                continue;
            };
            outcomes.push(self.refuse(&ticket, Duration::ZERO, Reason::Deadline, now, random));
        }
    }

    /// The limit on what running calls take of an upstream if this call is among them.
    fn limit(&self, ticket: &Ticket, now: Time) -> u64 {
        let priority = ticket.priority.min(MAX_PRIORITY);
        let is_late = now > ticket.on_time_until;
        if !is_late && self.has_turn(ticket) {
            return ticket.capacity.running;
        }
        self.limits.limit(ticket.capacity, priority, is_late, now)
    }

    /// The use of an upstream up to which it has room for the call.
    fn needs(&self, ticket: &Ticket, now: Time) -> i64 {
        let limit = i64::try_from(self.limit(ticket, now)).unwrap_or(i64::MAX);
        limit.saturating_sub_unsigned(ticket.tokens)
    }

    /// Whether so many more urgent calls began before it that a call goes ahead of them.
    fn has_turn(&self, ticket: &Ticket) -> bool {
        let passed = self.passed.get(&ticket.priority.min(MAX_PRIORITY));
        passed.is_some_and(|it| *it >= ticket.tokens.saturating_mul(URGENT_TURNS))
    }

    /// Offers capacity to the first call that may find some.
    fn offer(&mut self, now: Time) -> Option<Outcome> {
        if self.offered.is_some() {
            return None;
        }
        let may_fit = |entry: &Entry| {
            let ticket = self.tickets.get(&entry.request);
            let ticket = ticket.filter(|it| !self.round.restricted.contains(&it.request));
            ticket.filter(|it| self.round.full_at.is_none_or(|full| self.needs(it, now) > full))
        };
        let has_turn = |entry: &Entry| may_fit(entry).is_some_and(|it| self.has_turn(it));
        let first = self.waiting.first(has_turn);
        let first = first.or_else(|| self.waiting.first(|it| may_fit(it).is_some()))?;
        let is_on_time = |entry: &Entry| {
            let is_equal = is_equal_priority(entry, &first);
            is_equal && may_fit(entry).is_some_and(|it| now <= it.on_time_until)
        };
        let entry = self.waiting.first(is_on_time).unwrap_or(first);
        let ticket = self.tickets.get(&entry.request)?;
        let (request, limit) = (entry.request, self.limit(ticket, now));
        self.offered = Some(request);
        Some(Outcome::Offer { request, limit, spared: self.round.spared })
    }
}

/// The place of a call in [`queue::Queue`], where the highest goes first.
fn rank(priority: u8, returns: bool) -> u8 {
    (MAX_PRIORITY - priority) * 2 + u8::from(returns)
}

fn is_equal_priority(left: &Entry, right: &Entry) -> bool {
    left.priority / 2 == right.priority / 2
}
