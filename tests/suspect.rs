//! Requests that crash upstreams: seeded runs of seven daemons that hear of each other late.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    fleet::board::{Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{Incarnation, Request, Upstream, Workspace},
    },
    request::suspect::{
        BAR, Fingerprint, MAX_CRASHES, SPREAD, SUSPICION, TABLE_SUSPECTS, Table, Verdict,
    },
};

const DAEMONS: usize = 7;
const UPSTREAMS: usize = 12;
const SEEDS: u64 = 500;

/// A run that ends in a crash takes at least this long, until the crash is noticed.
const RUN_MS: u64 = 250;

/// Facts arrive within the time of two such runs.
const LATE_MS: u64 = 2 * RUN_MS;

/// Requests beside the poisoned one, at any time.
const INNOCENTS: u128 = 20;

/// A request in progress.
struct Run {
    request: Request,
    body: u128,
    daemon: usize,
    place: usize,
    ends: Time,
}

struct World {
    random: StdRng,
    now: Time,
    tables: Vec<Table>,
    runs: [u64; UPSTREAMS],
    running: Vec<Run>,
    mail: Vec<(Time, usize, Fact)>,
    requests: u128,
    crashes: usize,
    finished: usize,
    refused: usize,
}

fn fingerprint(body: u128) -> Fingerprint {
    Fingerprint::new(&Workspace::from("w"), &body.to_le_bytes())
}

fn upstream(place: usize) -> Upstream {
    Upstream::from(format!("e{place}").as_str())
}

impl World {
    fn new(seed: u64) -> World {
        World {
            random: StdRng::seed_from_u64(seed),
            now: Time::from_millis(1),
            tables: (0..DAEMONS).map(|_| Table::default()).collect(),
            runs: [1; UPSTREAMS],
            running: Vec::new(),
            mail: Vec::new(),
            requests: 0,
            crashes: 0,
            finished: 0,
            refused: 0,
        }
    }

    /// Offers a request to a daemon; false if it was refused.
    fn offer(&mut self, body: u128, daemon: usize) -> bool {
        let print = fingerprint(body);
        let table = &mut self.tables[daemon];
        let verdict = table.may_run(print, self.now);
        let occupied = table.occupied();
        let mut place = self.random.random_range(0..UPSTREAMS);
        match verdict {
            Verdict::Run => {}
            Verdict::RunAlone => {
                let free = (0..UPSTREAMS).find(|it| !occupied.contains(&upstream(*it)));
                let Some(free) = free else { return false };
                place = free;
            }
            Verdict::Wait { .. } | Verdict::Barred { .. } => return false,
        }
        self.requests += 1;
        let request = Request(self.requests);
        let incarnation = Incarnation(self.runs[place]);
        table.started(request, print, &upstream(place), incarnation);
        let takes = RUN_MS + self.random.random_range(0..RUN_MS);
        self.running.push(Run {
            request,
            body,
            daemon,
            place,
            ends: self.now + Duration::from_millis(takes),
        });
        true
    }

    fn send(&mut self, from: usize, facts: Vec<Fact>) {
        for fact in facts {
            for daemon in (0..DAEMONS).filter(|it| *it != from) {
                let late = self.random.random_range(0..LATE_MS);
                let at = self.now + Duration::from_millis(late);
                self.mail.push((at, daemon, fact.clone()));
            }
        }
    }

    /// Lets the runs end whose time has come. Body 0 crashes its upstream, and each daemon
    /// offers what it had there again.
    fn advance(&mut self, now: Time) {
        self.now = now;
        let mail = std::mem::take(&mut self.mail);
        for (at, daemon, fact) in mail {
            if at > now {
                self.mail.push((at, daemon, fact));
                continue;
            }
            self.tables[daemon].learn(&fact, at);
        }
        let due = |it: &Run| it.ends <= now;
        while let Some(at) = self.running.iter().position(due) {
            let run = self.running.swap_remove(at);
            if run.body == 0 {
                self.crash(run);
                continue;
            }
            let facts = self.tables[run.daemon].ended(run.request, true, now);
            self.send(run.daemon, facts);
            self.finished += 1;
        }
    }

    fn crash(&mut self, poisoned: Run) {
        self.crashes += 1;
        let place = poisoned.place;
        let incarnation = Incarnation(self.runs[place]);
        self.runs[place] += 1;
        for daemon in 0..DAEMONS {
            let facts = self.tables[daemon].crashed(&upstream(place), incarnation, self.now);
            self.send(daemon, facts);
        }
        let running = std::mem::take(&mut self.running);
        for run in running {
            if run.place != place {
                self.running.push(run);
                continue;
            }
            if !self.offer(run.body, run.daemon) {
                self.refused += 1;
            }
        }
    }

    fn poisoned_runs(&self) -> bool {
        self.running.iter().any(|it| it.body == 0)
    }
}

#[test]
fn a_request_that_is_sent_again_and_again_crashes_few_upstreams() {
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        let mut offered = 0;
        let mut innocent = 1;
        for millis in 1..8_000 {
            world.advance(Time::from_millis(millis));
            if !world.poisoned_runs() {
                let daemon = world.random.random_range(0..DAEMONS);
                world.offer(0, daemon);
            }
            if world.running.len() < INNOCENTS as usize {
                let daemon = world.random.random_range(0..DAEMONS);
                offered += 1;
                assert!(world.offer(innocent, daemon), "seed {seed}: not suspect yet");
                innocent += 1;
            }
            assert!(
                world.crashes <= MAX_CRASHES,
                "seed {seed}: {} upstreams crashed",
                world.crashes
            );
        }
        assert!(world.crashes > 0, "seed {seed}");
        let running = world.running.iter().filter(|it| it.body != 0).count();
        assert_eq!(offered, world.finished + world.refused + running, "seed {seed}");
        assert!(world.finished > 10 * world.refused, "seed {seed}");
    }
}

/// A daemon that ran a request on an upstream that crashed then.
fn marked(now: Time) -> (Table, Fact) {
    let mut table = Table::default();
    table.started(Request(1), fingerprint(1), &upstream(1), Incarnation(1));
    let facts = table.crashed(&upstream(1), Incarnation(1), now);
    assert_eq!(facts.len(), 1);
    (table, facts[0].clone())
}

#[test]
fn a_daemon_that_heard_refuses_until_the_suspicion_expires() {
    let now = Time::from_millis(1_000);
    let (_, fact) = marked(now);
    let mut other = Table::default();
    assert!(other.learn(&fact, now));
    assert!(!other.learn(&fact, now), "the same fact is no news");
    let verdict = other.may_run(fingerprint(1), now);
    assert!(matches!(verdict, Verdict::Barred { .. }), "{verdict:?}");
    assert_eq!(other.may_run(fingerprint(2), now), Verdict::Run);
    assert_eq!(other.may_run(fingerprint(1), now + SUSPICION), Verdict::Run);
    assert!(!other.learn(&fact, now + SUSPICION), "nor when it has expired");
    assert_eq!(other.may_run(fingerprint(1), now + SUSPICION), Verdict::Run);
}

#[test]
fn a_second_crash_bars_and_asking_prolongs_the_bar() {
    let now = Time::from_millis(1_000);
    let (mut table, _) = marked(now);
    let spreading = table.may_run(fingerprint(1), now);
    assert_eq!(spreading, Verdict::Wait { retry_after: SPREAD }, "its mark spreads first");
    let spread = now + SPREAD;
    assert_eq!(table.may_run(fingerprint(1), spread), Verdict::RunAlone);
    table.started(Request(2), fingerprint(1), &upstream(2), Incarnation(1));
    assert_eq!(table.occupied(), [upstream(2)]);
    let facts = table.crashed(&upstream(2), Incarnation(1), now);
    let barred = Value::Suspect { crashes: 2, barred: true, lifts: 0 };
    assert_eq!(facts[0].value, barred);
    let half = BAR / 2;
    for asked in [half, BAR, BAR + half] {
        let verdict = table.may_run(fingerprint(1), now + asked);
        assert_eq!(verdict, Verdict::Barred { retry_after: BAR });
    }
    let expired = now + BAR + half + BAR;
    assert_eq!(table.may_run(fingerprint(1), expired), Verdict::Run);
}

#[test]
fn finishing_clears_and_lifting_clears_everywhere() {
    let now = Time::from_millis(1_000);
    let (mut table, fact) = marked(now);
    table.started(Request(2), fingerprint(1), &upstream(2), Incarnation(1));
    let cleared = table.ended(Request(2), true, now);
    assert_eq!(cleared.len(), 1);
    assert_eq!(table.may_run(fingerprint(1), now), Verdict::Run);
    assert!(!table.learn(&fact, now), "a late mark does not undo the clearing");
    let mut other = Table::default();
    other.learn(&fact, now);
    other.learn(&cleared[0], now);
    assert_eq!(other.may_run(fingerprint(1), now), Verdict::Run);

    let (mut table, fact) = marked(now);
    let lifted = table.lift(fingerprint(1), now).expect("a suspect");
    let mut other = Table::default();
    other.learn(&lifted, now);
    other.learn(&fact, now);
    for table in [&mut table, &mut other] {
        assert_eq!(table.may_run(fingerprint(1), now), Verdict::Run);
    }
}

#[test]
fn an_earlier_run_that_crashed_marks_nothing_of_a_later_one() {
    let mut table = Table::default();
    table.started(Request(1), fingerprint(1), &upstream(1), Incarnation(2));
    let facts = table.crashed(&upstream(1), Incarnation(1), Time::from_millis(1));
    assert!(facts.is_empty());
}

#[test]
fn the_table_is_bounded_and_keeps_the_newest() {
    let mut table = Table::default();
    for number in 0..2 * TABLE_SUSPECTS as u64 {
        let fact = Fact {
            key: Key::Suspect(number),
            value: Value::Suspect { crashes: 1, barred: false, lifts: 0 },
        };
        table.learn(&fact, Time::from_millis(number));
    }
    assert_eq!(table.facts().len(), TABLE_SUSPECTS);
    let newest = Fingerprint(2 * TABLE_SUSPECTS as u64 - 1);
    let now = Time::from_millis(newest.0);
    assert_ne!(table.may_run(newest, now), Verdict::Run);
}

#[test]
fn an_expired_suspicion_still_counts_its_crash() {
    let now = Time::from_millis(1_000);
    let (_, fact) = marked(now);
    let mut other = Table::default();
    assert!(other.learn(&fact, now));
    let expired = now + SUSPICION;
    assert_eq!(other.may_run(fingerprint(1), expired), Verdict::Run);
    other.started(Request(9), fingerprint(1), &upstream(3), Incarnation(1));
    other.crashed(&upstream(3), Incarnation(1), expired);
    let verdict = other.may_run(fingerprint(1), expired + SPREAD);
    assert_eq!(verdict, Verdict::Barred { retry_after: BAR });
}

#[test]
fn an_innocent_request_is_refused_for_half_a_minute_at_most() {
    let now = Time::from_millis(1_000);
    let (_, fact) = marked(now);
    let mut other = Table::default();
    assert!(other.learn(&fact, now));
    let Verdict::Barred { retry_after } = other.may_run(fingerprint(1), now) else {
        panic!("a suspect ran");
    };
    assert!(retry_after <= Duration::from_secs(30), "{retry_after:?}");
}
