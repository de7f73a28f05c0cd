//! Admission: shares of limits over daemons, fairness, deadlines, overload, in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    admission::{
        Admission, Decision, Outcome, QUEUE_REQUESTS, Reason, Ticket,
        bucket::BURST_S,
        retry::Budgets,
        share::{Fleet, SETTLE},
    },
    catalog::Limits,
    fleet::board::{Fact, Key},
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Request, Workspace},
    },
};

const FREE: Limits = Limits { priority: 0, concurrency: u32::MAX, tokens_per_second: 1 << 40 };

fn names(count: usize) -> Vec<Daemon> {
    let name = |place| Daemon::from(format!("d{place}").as_str());
    (0..count).map(name).collect()
}

fn admission() -> Admission {
    Admission::new(Daemon::from("d0"), Incarnation(1))
}

fn ticket(number: u128, workspace: &Workspace, limits: Limits, deadline: Time) -> Ticket<'_> {
    Ticket {
        request: Request(number),
        workspace,
        limits,
        tokens: 100,
        deadline,
        priority: limits.priority,
    }
}

// Shares.

/// Daemons whose facts reach each other late, but within [`SETTLE`].
struct Sharing {
    random: StdRng,
    names: Vec<Daemon>,
    daemons: Vec<Admission>,
    mail: Vec<(Time, usize, Fact)>,
    heard: Vec<BTreeMap<Daemon, Fact>>,
    running: Vec<Vec<(Time, u128)>>,
    requests: u128,
    admitted_tokens: u64,
}

const SHARED: Limits = Limits { priority: 0, concurrency: 50, tokens_per_second: 20_000 };
const TOKENS: u64 = 400;
const SHARING_S: u64 = 60;

/// Tenths of a second after which the demand moves: faster than it settles, and slower.
const MOVES_FAST: u64 = 30;
const MOVES_SLOW: u64 = 200;

impl Sharing {
    fn new(seed: u64, daemons: usize) -> Sharing {
        let names = names(daemons);
        let make = |it: &Daemon| Admission::new(it.clone(), Incarnation(1));
        Sharing {
            random: StdRng::seed_from_u64(seed),
            daemons: names.iter().map(make).collect(),
            mail: Vec::new(),
            heard: vec![BTreeMap::new(); daemons],
            running: vec![Vec::new(); daemons],
            requests: 0,
            admitted_tokens: 0,
            names,
        }
    }

    fn exchange(&mut self, now: Time) {
        let all = self.names.clone();
        for place in 0..all.len() {
            for fact in self.daemons[place].demand(now) {
                for other in (0..all.len()).filter(|it| *it != place) {
                    let late = self.random.random_range(0..SETTLE.as_millis() as u64);
                    let at = now + Duration::from_millis(late);
                    self.mail.push((at, other, fact.clone()));
                }
            }
        }
        let (due, mail) =
            std::mem::take(&mut self.mail).into_iter().partition(|(at, _, _)| *at <= now);
        self.mail = mail;
        let due: Vec<(Time, usize, Fact)> = due;
        for (_, other, fact) in due {
            let Key::Demand(daemon, workspace) = &fact.key else {
                continue;
            };
            if workspace.as_str().is_empty() {
                continue;
            }
            let known = self.heard[other].get(daemon).map(|it| it.value);
            let value = known.map_or(fact.value, |it| it.merge(&fact.value));
            self.heard[other].insert(daemon.clone(), Fact { value, ..fact });
        }
        for place in 0..all.len() {
            let facts: Vec<Fact> = self.heard[place].values().cloned().collect();
            let fleet = Fleet { daemons: &all, silent: 0 };
            self.daemons[place].shares(&fleet, &facts);
        }
    }

    fn admitted(&mut self, place: usize, request: u128, now: Time) {
        let takes = self.random.random_range(100..1_500);
        self.running[place].push((now + Duration::from_millis(takes), request));
        self.admitted_tokens += TOKENS;
    }

    fn outcomes(&mut self, place: usize, outcomes: Vec<Outcome>, now: Time) {
        for outcome in outcomes {
            if let Outcome::Admitted(request) = outcome {
                self.admitted(place, request.0, now);
            }
        }
    }

    fn advance(&mut self, place: usize, demand: u64, now: Time) {
        let mut left = Vec::new();
        for (ends, request) in std::mem::take(&mut self.running[place]) {
            if ends > now {
                left.push((ends, request));
                continue;
            }
            let outcomes = self.daemons[place].finish(Request(request), TOKENS, now);
            self.outcomes(place, outcomes, now);
        }
        self.running[place].append(&mut left);
        let outcomes = self.daemons[place].tick(now);
        self.outcomes(place, outcomes, now);
        for _ in 0..demand {
            self.requests += 1;
            let workspace = Workspace::from("w");
            let ticket = Ticket {
                tokens: TOKENS,
                ..ticket(self.requests, &workspace, SHARED, now + Duration::from_secs(3))
            };
            let decision = self.daemons[place].offer(&ticket, now);
            if decision == Decision::Admitted {
                let request = self.requests;
                self.admitted(place, request, now);
            }
        }
    }
}

/// The shares never add up to more than a limit, while demand moves between daemons and facts
/// are late. Requests in progress exceed it only by those that began under an earlier share.
#[test]
fn shares_stay_within_the_limits() {
    for seed in 0..30 {
        let count = 3 + seed as usize % 5;
        let mut world = Sharing::new(seed, count);
        let workspace = Workspace::from("w");
        let moves = if seed % 2 == 0 { MOVES_FAST } else { MOVES_SLOW };
        let mut demand = vec![0; count];
        for step in 0..SHARING_S * 10 {
            let now = Time::from_millis(1_000 + step * 100);
            if step % 10 == 0 {
                world.exchange(now);
            }
            if step % moves == 0 {
                let busy = world.random.random_range(0..count);
                for (place, demand) in demand.iter_mut().enumerate() {
                    let most = if place == busy { 12 } else { 3 };
                    *demand = world.random.random_range(0..most);
                }
            }
            for (place, demand) in demand.iter().enumerate() {
                world.advance(place, *demand, now);
            }
            let slots = |it: &Admission| it.slots(&workspace, &SHARED, now);
            let slots: u32 = world.daemons.iter().map(slots).sum();
            assert!(slots <= SHARED.concurrency, "seed {seed}: {slots} slots at {now:?}");
            let rate = |it: &Admission| it.rate(&workspace, &SHARED, now);
            let rate: f64 = world.daemons.iter().map(rate).sum();
            let limit = SHARED.tokens_per_second as f64;
            assert!(rate <= limit * 1.000_001, "seed {seed}: {rate} tokens/s at {now:?}");
            let running: usize = world.running.iter().map(Vec::len).sum();
            let most = 2 * SHARED.concurrency as usize;
            assert!(running <= most, "seed {seed}: {running} run at {now:?}");
        }
        let budget = SHARED.tokens_per_second as f64 * (SHARING_S as f64 + BURST_S);
        let most = budget + (count as u64 * TOKENS) as f64;
        let used = world.admitted_tokens as f64;
        assert!(used <= most, "seed {seed}: {used} tokens of {most}");
        if moves == MOVES_SLOW {
            let offered = (u128::from(TOKENS) * world.requests) as f64;
            let useful = budget.min(offered);
            assert!(used >= 0.5 * useful, "seed {seed}: {used} of {useful}");
        }
    }
}

#[test]
fn a_daemon_that_hears_nothing_holds_an_equal_share() {
    let mut own = admission();
    let all = names(7);
    let fleet = Fleet { daemons: &all, silent: 6 };
    own.shares(&fleet, &[]);
    let workspace = Workspace::from("w");
    let limits = Limits { concurrency: 70, ..FREE };
    let deadline = Time::from_millis(60_000);
    let now = Time::from_millis(1);
    let mut admitted = 0;
    for number in 0..100 {
        let decision = own.offer(&ticket(number, &workspace, limits, deadline), now);
        admitted += usize::from(decision == Decision::Admitted);
    }
    assert_eq!(admitted, 10);
    own.demand(now);
    let later = now + SETTLE + SETTLE;
    own.demand(later);
    assert_eq!(own.slots(&workspace, &limits, later), 10);
}

// Deadlines, priorities, bounds.

#[test]
fn what_cannot_make_its_deadline_is_refused_at_once() {
    let mut own = admission();
    own.capacity(1);
    let workspace = Workspace::from("w");
    let now = Time::from_millis(1_000);
    let soon = now + Duration::from_millis(600);
    assert_eq!(own.offer(&ticket(1, &workspace, FREE, soon), now), Decision::Admitted);
    let refused = own.offer(&ticket(2, &workspace, FREE, soon), now);
    let Decision::Refused { reason, retry_after } = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, Reason::Capacity);
    assert!(retry_after > Duration::ZERO && retry_after < Duration::from_secs(5));
    assert_eq!(own.waiting(), 0);
}

#[test]
fn a_queued_request_is_given_up_when_its_time_has_passed() {
    let mut own = admission();
    own.capacity(1);
    let workspace = Workspace::from("w");
    let now = Time::from_millis(1_000);
    let later = now + Duration::from_secs(3);
    own.offer(&ticket(1, &workspace, FREE, later), now);
    assert_eq!(own.offer(&ticket(2, &workspace, FREE, later), now), Decision::Queued);
    assert!(own.tick(now + Duration::from_secs(2)).is_empty());
    let outcomes = own.tick(now + Duration::from_millis(2_600));
    let [Outcome::Refused { request, reason, .. }] = outcomes[..] else {
        panic!("{outcomes:?}");
    };
    assert_eq!((request, reason), (Request(2), Reason::Deadline));
}

#[test]
fn the_higher_priority_goes_first_then_the_earlier_deadline() {
    let mut own = admission();
    own.capacity(1);
    let workspace = Workspace::from("w");
    let now = Time::from_millis(1_000);
    let in_s = |seconds| now + Duration::from_secs(seconds);
    let low = FREE;
    let high = Limits { priority: 5, ..FREE };
    own.offer(&ticket(1, &workspace, low, in_s(60)), now);
    for (number, limits, deadline) in [(2, low, 50), (3, low, 40), (4, high, 60), (5, high, 30)] {
        let ticket = ticket(number, &workspace, limits, in_s(deadline));
        assert_eq!(own.offer(&ticket, now), Decision::Queued);
    }
    let mut order = vec![1];
    for _ in 0..4 {
        let last = order[order.len() - 1];
        let outcomes = own.finish(Request(last), 100, now);
        let [Outcome::Admitted(request)] = outcomes[..] else {
            panic!("{outcomes:?}");
        };
        order.push(request.0);
    }
    assert_eq!(order, [1, 5, 4, 3, 2]);
}

#[test]
fn a_cancelled_request_frees_its_place() {
    let mut own = admission();
    own.capacity(1);
    let workspace = Workspace::from("w");
    let now = Time::from_millis(1_000);
    let later = now + Duration::from_secs(60);
    for number in 1..4 {
        own.offer(&ticket(number, &workspace, FREE, later), now);
    }
    assert!(own.cancel(Request(2), now).is_empty());
    assert_eq!(own.cancel(Request(1), now), [Outcome::Admitted(Request(3))]);
}

// Overload.

/// What a workspace got in a run of one daemon with a fixed capacity.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    offered: usize,
    good: usize,
}

const SLOTS: u32 = 32;
const SERVICE_MS: u64 = 400;
const DEADLINE_MS: u64 = 2_000;
const OVERLOAD_S: u64 = 60;

/// Offers requests of two workspaces, in requests a second, and counts the answers that are
/// complete by their deadline.
fn overload(rates: [u64; 2]) -> [Got; 2] {
    let mut own = admission();
    own.capacity(SLOTS);
    let workspaces = [Workspace::from("large"), Workspace::from("small")];
    let mut random = StdRng::seed_from_u64(7);
    let mut ends: BinaryHeap<Reverse<(Time, u128)>> = BinaryHeap::new();
    let mut requests: BTreeMap<u128, (usize, Time)> = BTreeMap::new();
    let mut got = [Got::default(); 2];
    let mut number = 0;
    for millis in 1..OVERLOAD_S * 1_000 {
        let now = Time::from_millis(millis);
        let mut admitted = Vec::new();
        while let Some(Reverse((end, request))) = ends.peek().copied() {
            if end > now {
                break;
            }
            ends.pop();
            let (place, deadline) = requests[&request];
            got[place].good += usize::from(end <= deadline);
            admitted.extend(own.finish(Request(request), 100, now));
        }
        if millis % 20 == 0 {
            admitted.extend(own.tick(now));
        }
        let mut started = Vec::new();
        for outcome in admitted {
            match outcome {
                Outcome::Admitted(request) => started.push(request.0),
                Outcome::Refused { request, .. } => drop(requests.remove(&request.0)),
            }
        }
        for (place, rate) in rates.iter().enumerate() {
            if random.random_range(0..1_000) >= *rate {
                continue;
            }
            number += 1;
            got[place].offered += 1;
            let deadline = now + Duration::from_millis(DEADLINE_MS);
            requests.insert(number, (place, deadline));
            let ticket = ticket(number, &workspaces[place], FREE, deadline);
            if own.offer(&ticket, now) == Decision::Admitted {
                started.push(number);
            }
        }
        for request in started {
            let takes = random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            ends.push(Reverse((now + Duration::from_millis(takes), request)));
        }
        assert!(own.running() <= SLOTS as usize);
        assert!(own.waiting() <= QUEUE_REQUESTS);
        let longest = DEADLINE_MS * u64::from(SLOTS) / SERVICE_MS;
        assert!(own.waiting() as u64 <= 2 * longest, "{} wait", own.waiting());
    }
    got
}

#[test]
fn goodput_holds_under_twice_the_load() {
    let capacity = u64::from(SLOTS) * 1_000 / SERVICE_MS;
    let mut peak = 0;
    for part in [6, 8, 10, 12] {
        let [large, _] = overload([capacity * part / 10, 0]);
        peak = peak.max(large.good);
    }
    let [twice, _] = overload([capacity * 2, 0]);
    println!("peak {peak}, at twice the load {twice:?}");
    assert!(twice.good * 10 >= peak * 9, "{} of {peak}", twice.good);
}

#[test]
fn a_small_workspace_keeps_its_share_beside_a_large_one() {
    let capacity = u64::from(SLOTS) * 1_000 / SERVICE_MS;
    let [large, small] = overload([capacity * 2, capacity / 5]);
    println!("large {large:?}, small {small:?}");
    assert!(small.good * 10 >= small.offered * 9, "{small:?} beside {large:?}");
}

// Retries.

#[test]
fn retries_never_multiply_an_outage() {
    let mut budgets = Budgets::default();
    let workspace = Workspace::from("w");
    let mut retries = 0;
    for _ in 0..10_000 {
        budgets.attempt(&workspace);
        while budgets.retry(&workspace) {
            retries += 1;
        }
    }
    assert!(retries <= 10_000 / 10 + 10, "{retries}");
    assert!(retries >= 1_000, "{retries}");
}
