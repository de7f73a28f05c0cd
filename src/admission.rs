//! Limits over all daemons: concurrency, token budgets, priorities, bounded queues.
//!
//! Each daemon holds a share of every workspace's limits (see [`share`]), and admits, queues or
//! refuses without asking anyone. Queued requests are served by priority, then in turn between
//! workspaces, then by deadline. A request that cannot make its deadline is refused at once,
//! with a time to come back.

pub mod account;
pub mod bucket;
pub mod queue;
pub mod retry;
pub mod service;
pub mod share;

use std::time::Duration;

use crate::{
    admission::{
        account::Account,
        queue::{Entry, Queue},
        service::Service,
        share::{Fleet, Ledger},
    },
    catalog::Limits,
    collections::Map,
    fleet::board::Fact,
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Request, Workspace},
    },
};

/// Requests that may wait in a daemon, over all workspaces.
pub const QUEUE_REQUESTS: usize = 4_096;

/// Requests of one workspace that may wait in a daemon.
pub const WORKSPACE_QUEUE_REQUESTS: usize = 256;

/// Requests that a workspace may have waiting although the daemon's queue is full.
pub const RESERVED_QUEUE_REQUESTS: usize = 4;

/// The shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// The longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// A request that asks to run.
#[derive(Clone, Copy, Debug)]
pub struct Ticket<'a> {
    /// The request.
    pub request: Request,
    /// Who asks.
    pub workspace: &'a Workspace,
    /// The workspace's limits, over all daemons.
    pub limits: Limits,
    /// Prompt and answer tokens that it is expected to use.
    pub tokens: u64,
    /// When the whole answer is needed.
    pub deadline: Time,
    /// Served first when higher.
    pub priority: u8,
}

/// The answer to a [`Ticket`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It may run now. [`Admission::finish`] must follow.
    Admitted,
    /// An [`Outcome`] will follow.
    Queued,
    /// It may not run.
    Refused {
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The workspace's concurrency is used up until after the deadline.
    Concurrency,
    /// The workspace's token budget is used up until after the deadline.
    Tokens,
    /// The daemon's part of the upstreams is busy until after the deadline.
    Capacity,
    /// Too many requests are waiting.
    QueueFull,
    /// It waited in vain until its deadline could not be met any more.
    Deadline,
}

impl Reason {
    /// A short code for messages and counters.
    pub fn code(self) -> &'static str {
        match self {
            Reason::Concurrency => "concurrency",
            Reason::Tokens => "tokens",
            Reason::Capacity => "capacity",
            Reason::QueueFull => "queue_full",
            Reason::Deadline => "deadline",
        }
    }
}

/// What became of a queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It may run now. [`Admission::finish`] must follow.
    Admitted(Request),
    /// It was given up.
    Refused {
        /// The request.
        request: Request,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// The admission of one daemon.
#[derive(Debug)]
pub struct Admission {
    accounts: Map<Workspace, Account>,
    running: Map<Request, Running>,
    queue: Queue,
    ledger: Ledger,
    /// Requests that all daemons together may have at upstreams.
    capacity: u32,
    service: Service,
}

/// A request that was admitted.
#[derive(Clone, Debug)]
struct Running {
    workspace: Workspace,
    tokens: u64,
    since: Time,
}

impl Admission {
    /// The admission of a daemon that knows no other daemon yet. Until
    /// [`Admission::capacity`] is called, upstreams are taken to have room for everything.
    pub fn new(daemon: Daemon, incarnation: Incarnation) -> Admission {
        Admission {
            accounts: Map::default(),
            running: Map::default(),
            queue: Queue::default(),
            ledger: Ledger::new(daemon, incarnation),
            capacity: u32::MAX,
            service: Service::default(),
        }
    }

    /// Decides on a request.
    pub fn offer(&mut self, ticket: &Ticket<'_>, now: Time) -> Decision {
        let account = self.accounts.entry(ticket.workspace.clone()).or_default();
        account.offer(ticket, now);
        let blocked = self.blocked(ticket, now);
        let Some(reason) = blocked else {
            self.admit(ticket.request, ticket.workspace, ticket.tokens, now);
            return Decision::Admitted;
        };
        let wait = self.wait(ticket, now);
        if now + wait + self.service.most() > ticket.deadline {
            return refuse(reason, wait);
        }
        if !self.has_room(ticket.workspace) {
            return refuse(Reason::QueueFull, wait);
        }
        self.queue.push(
            ticket.workspace,
            Entry {
                request: ticket.request,
                tokens: ticket.tokens,
                priority: ticket.priority,
                start_by: ticket.deadline - self.service.most(),
            },
        );
        Decision::Queued
    }

    /// Takes note that an admitted request ended, and tells what became of queued ones.
    /// `used_tokens` replaces the expected tokens of its ticket.
    pub fn finish(&mut self, request: Request, used_tokens: u64, now: Time) -> Vec<Outcome> {
        let Some(running) = self.running.remove(&request) else {
            return Vec::new();
        };
        self.service.ended(now.since(running.since));
        if let Some(account) = self.accounts.get_mut(&running.workspace) {
            account.finish(running.tokens, used_tokens);
        }
        self.queue.wake(&running.workspace);
        self.pump(now)
    }

    /// Takes a queued or admitted request back: its caller is gone. Its tokens are not charged.
    pub fn cancel(&mut self, request: Request, now: Time) -> Vec<Outcome> {
        self.queue.remove(request);
        let Some(running) = self.running.remove(&request) else {
            return Vec::new();
        };
        if let Some(account) = self.accounts.get_mut(&running.workspace) {
            account.finish(running.tokens, 0);
        }
        self.queue.wake(&running.workspace);
        self.pump(now)
    }

    /// Refuses queued requests whose time has come, and admits those that may run now. To be
    /// called several times a second.
    pub fn tick(&mut self, now: Time) -> Vec<Outcome> {
        self.queue.wake_all();
        self.pump(now)
    }

    /// Takes in what the peers tell of their demand. Facts of daemons that are not in
    /// `fleet` are left out. To be called about once a second.
    pub fn shares(&mut self, fleet: &Fleet<'_>, facts: &[Fact]) {
        self.ledger.learn(fleet, facts);
    }

    /// This daemon's demand, to be published. To be called about once a second.
    pub fn demand(&mut self, now: Time) -> Vec<Fact> {
        let requests = self.running.len() + self.queue.len();
        let mut facts = Vec::new();
        for (workspace, account) in &mut self.accounts {
            let requests = account.running() + self.queue.waiting(workspace);
            let demand = account.demand(requests as u32, now);
            facts.extend(self.ledger.publish(workspace, demand, now));
        }
        facts.extend(self.ledger.publish_total(requests as u32, now));
        let ledger = &self.ledger;
        let queue = &self.queue;
        self.accounts
            .retain(|key, it| ledger.knows(key) || queue.waiting(key) > 0 || !it.is_idle());
        facts
    }

    /// Sets how many requests all daemons together may have at upstreams (see
    /// [`share::slots`]).
    pub fn capacity(&mut self, requests: u32) {
        self.capacity = requests;
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Requests that this daemon may have in progress for a workspace with these limits.
    pub fn slots(&self, workspace: &Workspace, limits: &Limits, now: Time) -> u32 {
        self.ledger.slots(workspace, limits.concurrency, now)
    }

    /// Tokens a second that this daemon may spend for a workspace with these limits.
    pub fn rate(&self, workspace: &Workspace, limits: &Limits, now: Time) -> f64 {
        self.ledger.rate(workspace, limits.tokens_per_second, now)
    }

    /// Why a request cannot run at once, if so.
    fn blocked(&mut self, ticket: &Ticket<'_>, now: Time) -> Option<Reason> {
        if let Some(reason) = self.exhausted(ticket.workspace, now) {
            return Some(reason);
        }
        let full = self.running.len() >= self.own_capacity();
        let behind = self.queue.is_before(ticket.workspace, ticket.priority);
        (full || behind).then_some(Reason::Capacity)
    }

    /// Which of its limits a workspace has used up, if any.
    fn exhausted(&mut self, workspace: &Workspace, now: Time) -> Option<Reason> {
        let account = self.accounts.get_mut(workspace)?;
        let limits = account.limits();
        let slots = self.ledger.slots(workspace, limits.concurrency, now);
        if account.running() >= slots as usize {
            return Some(Reason::Concurrency);
        }
        let rate = self.ledger.rate(workspace, limits.tokens_per_second, now);
        (!account.has_tokens(rate, now)).then_some(Reason::Tokens)
    }

    fn admit(&mut self, request: Request, workspace: &Workspace, tokens: u64, now: Time) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.admit(tokens);
        }
        let running = Running { workspace: workspace.clone(), tokens, since: now };
        let twice = self.running.insert(request, running);
        assert!(twice.is_none(), "request {request} admitted twice");
    }

    fn pump(&mut self, now: Time) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        for entry in self.queue.expired(now) {
            outcomes.push(Outcome::Refused {
                request: entry.request,
                reason: Reason::Deadline,
                retry_after: clamp(self.backlog()),
            });
        }
        while self.running.len() < self.own_capacity() {
            let Some(workspace) = self.queue.next() else {
                break;
            };
            if self.exhausted(&workspace, now).is_some() {
                self.queue.block(&workspace);
                continue;
            }
            let Some(entry) = self.queue.pop(&workspace) else {
                break;
            };
            self.admit(entry.request, &workspace, entry.tokens, now);
            outcomes.push(Outcome::Admitted(entry.request));
        }
        outcomes
    }

    /// The time until a request that is queued now is likely to be admitted.
    fn wait(&self, ticket: &Ticket<'_>, now: Time) -> Duration {
        let Some(account) = self.accounts.get(ticket.workspace) else {
            return Duration::ZERO;
        };
        let own = self.queue.waiting(ticket.workspace) + 1;
        let slots = self.slots(ticket.workspace, &ticket.limits, now);
        let mut wait = Duration::ZERO;
        if account.running() + own > slots as usize {
            wait = self.service.mean().mul_f64(own as f64 / f64::from(slots.max(1)));
        }
        if self.running.len() >= self.own_capacity() {
            let ahead = self.queue.ahead(ticket.workspace, ticket.priority);
            let turns = (ahead + 1) as f64 / self.own_capacity().max(1) as f64;
            wait = wait.max(self.service.mean().mul_f64(turns));
        }
        let rate = self.rate(ticket.workspace, &ticket.limits, now);
        let queued = self.queue.tokens(ticket.workspace);
        wait.max(account.wait_for_tokens(queued, rate))
    }

    /// The time until all that waits now is likely to have been admitted.
    fn backlog(&self) -> Duration {
        let turns = self.queue.len() as f64 / self.own_capacity().max(1) as f64;
        self.service.mean().mul_f64(turns)
    }

    fn has_room(&self, workspace: &Workspace) -> bool {
        let own = self.queue.waiting(workspace);
        if own >= WORKSPACE_QUEUE_REQUESTS {
            return false;
        }
        self.queue.len() < QUEUE_REQUESTS || own < RESERVED_QUEUE_REQUESTS
    }

    fn own_capacity(&self) -> usize {
        self.ledger.capacity(self.capacity) as usize
    }
}

fn refuse(reason: Reason, wait: Duration) -> Decision {
    Decision::Refused { reason, retry_after: clamp(wait) }
}

fn clamp(wait: Duration) -> Duration {
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
