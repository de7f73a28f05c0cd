//! Parts of prompts that crash upstreams, in a fleet: what reaches upstreams and what is missed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        call::Part,
        context::Context,
        crash::{Process, Run},
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Request},
    },
};

use crate::{simulation::Fleet, tree::fill_log};

const SIZES: [usize; 4] = [7, 86, 195, 350];

/// Upstreams that run prompts.
const UPSTREAMS: usize = 140;

/// The time after which a machine that was disturbed must keep the rules again.
const STABLE: Duration = Duration::from_millis(3_000);

/// The crash from which on a part must be known.
const KNOWN_CRASHES: usize = 5;

/// Requests with the part that may reach upstreams later than [`STABLE`] after that crash.
const MAX_LATE: usize = 3;

/// The part of the sound requests, from twice [`STABLE`] after that crash on, that must begin at their first
/// attempt.
const MIN_BEGUN: f64 = 0.5;

/// How long an upstream runs a prompt with the part before it crashes, and any other until it has
/// answered.
const UNTIL_CRASH: Duration = Duration::from_millis(100);
const UNTIL_ANSWERED: Duration = Duration::from_millis(400);

/// How long an upstream is away after a crash.
const AWAY: Duration = Duration::from_secs(3);

/// The longest time until a daemon notices the crash of an upstream that it sent a prompt to.
const NOTICE: Duration = Duration::from_millis(50);

/// The same if a zone fails: connections to it may go silent instead of breaking.
const ZONE_NOTICE: Duration = Duration::from_millis(3_000);

const STEP: Duration = Duration::from_millis(20);

const FIRST: u64 = 1;
const CALLER: u64 = 2;
const CULPRIT: u64 = 3;

/// Other first parts, callers' parts and subjects of sound prompts.
const FIRSTS: u64 = 4;
const CALLERS: u64 = 40;
const SUBJECTS: u64 = 200;

/// A prompt at an upstream.
struct Sent {
    daemon: usize,
    /// The incarnation of the daemon's process that sent it.
    sender: Incarnation,
    attempt: Request,
    upstream: usize,
    /// When the upstream answers, or crashes.
    ends_at: Time,
    crashes: bool,
}

struct Upstream {
    incarnation: u64,
    back_at: Time,
}

/// A crash that a daemon has yet to notice.
struct Unnoticed {
    daemon: usize,
    process: Process,
    at: Time,
}

/// Requests of callers to a fleet.
struct Traffic {
    rng: StdRng,
    /// Requests a second, sound ones and those with the part.
    sound_rate: f64,
    crashing_rate: f64,
    /// Whether the part does not crash upstreams yet.
    is_sound: bool,
    attempts: u128,
    upstreams: Vec<Upstream>,
    sent: Vec<Sent>,
    unnoticed: Vec<Unnoticed>,
    /// When the part crashed upstreams.
    crashes: Vec<Time>,
    /// When requests with the part reached upstreams from daemons in touch.
    reached: Vec<Time>,
    /// When sound requests came with the first part or the caller's part of the crashing ones, the part, and whether
    /// they began.
    related: Vec<(Time, u64, bool)>,
    /// Sound requests that were refused.
    refused: usize,
    /// When each daemon was last out of touch.
    out_of_touch: Vec<Time>,
}

impl Traffic {
    fn new(daemons: usize, crashing_rate: f64, seed: u64) -> Traffic {
        let upstream = |_| Upstream { incarnation: 1, back_at: Time::default() };
        Traffic {
            rng: StdRng::seed_from_u64(seed),
            sound_rate: 60.0 + daemons as f64,
            crashing_rate,
            is_sound: false,
            attempts: 0,
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            sent: Vec::new(),
            unnoticed: Vec::new(),
            crashes: Vec::new(),
            reached: Vec::new(),
            related: Vec::new(),
            refused: 0,
            out_of_touch: vec![Time::default(); daemons],
        }
    }

    /// Lets time pass.
    fn run(&mut self, fleet: &mut Fleet, time: Duration, is_crashing: bool) {
        let end = fleet.now + time;
        while fleet.now < end {
            fleet.run(STEP);
            let now = fleet.now;
            for index in 0..self.out_of_touch.len() {
                if fleet.is_cut(index) || fleet.try_context(index).is_none() {
                    self.out_of_touch[index] = now;
                }
            }
            self.end_prompts(fleet, now);
            self.notice(fleet, now);
            for _ in 0..self.arrivals(self.sound_rate) {
                self.send_sound(fleet, now);
            }
            for _ in 0..if is_crashing { self.arrivals(self.crashing_rate) } else { 0 } {
                self.send_crashing(fleet, now);
            }
        }
    }

    /// Requests that come in a step.
    fn arrivals(&mut self, rate: f64) -> usize {
        let expected = rate * STEP.as_secs_f64();
        expected as usize + usize::from(self.rng.random::<f64>() < expected.fract())
    }

    fn send_sound(&mut self, fleet: &Fleet, now: Time) {
        let first = self.rng.random_range(0..FIRSTS);
        let caller = self.rng.random_range(0..CALLERS);
        let subject = self.rng.random_range(0..SUBJECTS);
        let first = if first == 0 { FIRST } else { 100 + first };
        let caller = if caller == 0 { CALLER } else { 1_000 + caller };
        let begins = self.send(fleet, &[first, caller, 10_000 + subject], now);
        for part in [first, caller] {
            if let Some(begins) = begins.filter(|_| [FIRST, CALLER].contains(&part)) {
                self.related.push((now, part, begins));
            }
        }
        self.refused += usize::from(begins == Some(false));
    }

    fn send_crashing(&mut self, fleet: &Fleet, now: Time) {
        self.send(fleet, &[FIRST, CALLER, CULPRIT], now);
    }

    /// A request at a random daemon; returns whether it reached an upstream, or `None` if its daemon is
    /// down.
    fn send(&mut self, fleet: &Fleet, parts: &[u64], now: Time) -> Option<bool> {
        let daemon = self.rng.random_range(0..self.out_of_touch.len());
        let context = fleet.try_context(daemon)?;
        let shared: Vec<_> = parts.iter().map(|it| Part { hash: *it, tokens: 100 }).collect();
        if context.crashes().bar(&shared, context.now()).is_some() {
            return Some(false);
        }
        let up: Vec<_> = (0..UPSTREAMS).filter(|it| self.upstreams[*it].back_at <= now).collect();
        let upstream = up[self.rng.random_range(0..up.len())];
        let crashes = parts.contains(&CULPRIT) && !self.is_sound;
        let is_in_touch = now.since(self.out_of_touch[daemon]) >= STABLE;
        if crashes && is_in_touch {
            self.reached.push(now);
        }
        self.attempts += 1;
        let attempt = Request(self.attempts);
        let run = Run { process: self.process(upstream), parts: parts.to_vec() };
        context.crashes().started(attempt, run);
        let takes = if crashes { UNTIL_CRASH } else { UNTIL_ANSWERED };
        let ends_at = now + takes.mul_f64(self.rng.random_range(0.5..1.5));
        let sender = context.incarnation;
        self.sent.push(Sent { daemon, sender, attempt, upstream, ends_at, crashes });
        Some(true)
    }

    fn process(&self, upstream: usize) -> Process {
        let incarnation = Incarnation(self.upstreams[upstream].incarnation);
        Process { upstream: upstream as u64, incarnation }
    }

    fn end_prompts(&mut self, fleet: &Fleet, now: Time) {
        let ended: Vec<_> = self.sent.extract_if(.., |it| it.ends_at <= now).collect();
        for it in ended {
            if it.crashes {
                if self.upstreams[it.upstream].back_at <= now {
                    self.crashes.push(now);
                    self.crash(it.upstream, NOTICE, now);
                    self.notice_later(it.daemon, it.upstream, NOTICE, now);
                }
                continue;
            }
            let Some(context) = sender(fleet, &it) else { continue };
            let facts =
                context.change_crashes(|table| table.ended(it.attempt, true, context.now()));
            context.publish_crashes(facts);
        }
    }

    /// Ends what runs at an upstream.
    fn crash(&mut self, upstream: usize, notice: Duration, now: Time) {
        let gone: Vec<_> = self.sent.extract_if(.., |it| it.upstream == upstream).collect();
        for it in gone {
            self.notice_later(it.daemon, upstream, notice, now);
        }
        self.upstreams[upstream].back_at = now + AWAY;
    }

    fn notice_later(&mut self, daemon: usize, upstream: usize, longest: Duration, now: Time) {
        let at = now + longest.mul_f64(self.rng.random());
        self.unnoticed.push(Unnoticed { daemon, process: self.process(upstream), at });
    }

    fn notice(&mut self, fleet: &Fleet, now: Time) {
        let noticed: Vec<_> = self.unnoticed.extract_if(.., |it| it.at <= now).collect();
        for it in noticed {
            let Some(context) = fleet.try_context(it.daemon) else { continue };
            let at = context.now();
            let (_, facts) = context.change_crashes(|table| table.crashed(it.process, at));
            context.publish_crashes(facts);
        }
        for upstream in &mut self.upstreams {
            let is_back = upstream.back_at > now && upstream.back_at <= now + STEP;
            upstream.incarnation += u64::from(is_back);
        }
    }

    /// Every third upstream crashes.
    fn fail_zone(&mut self, now: Time) {
        for upstream in (0..UPSTREAMS).step_by(3) {
            self.crash(upstream, ZONE_NOTICE, now);
        }
    }

    /// Checks the rules.
    fn check(&self, name: &str) {
        // A part that was given up earlier did not crash as many.
        let known_at = self.crashes.get(KNOWN_CRASHES - 1).or(self.crashes.last());
        let known_at = *known_at.unwrap_or_else(|| panic!("{name}: no crash"));
        let late = self.reached.iter().filter(|it| **it > known_at + STABLE).count();
        eprintln!("{name}: {} crashes, {late} late, {} refused", self.crashes.len(), self.refused);
        for part in [FIRST, CALLER] {
            let from = known_at + STABLE * 2;
            let related = self.related.iter().filter(|it| it.0 > from && it.1 == part);
            let begun: Vec<_> = related.map(|(.., begun)| *begun).collect();
            let share = begun.iter().filter(|it| **it).count() as f64 / begun.len() as f64;
            eprintln!("  part {part}: {share:.3} of {} sound requests began", begun.len());
            assert!(share >= MIN_BEGUN, "{name}, part {part}: {share:.3} began");
        }
        assert!(late <= MAX_LATE, "{name}: {late} requests with the part reached upstreams late");
    }
}

/// The daemon that sent a prompt, if its process still runs.
fn sender<'a>(fleet: &'a Fleet, sent: &Sent) -> Option<&'a Context> {
    let context = fleet.try_context(sent.daemon)?;
    (context.incarnation == sent.sender).then_some(context)
}

fn settled(daemons: usize, crashing_rate: f64, seed: u64) -> (Fleet, Traffic) {
    let mut fleet = Fleet::new(daemons, 8, seed);
    let mut traffic = Traffic::new(daemons, crashing_rate, seed);
    traffic.run(&mut fleet, Duration::from_secs(5), false);
    (fleet, traffic)
}

/// Guards against requests with one part that crash upstream after upstream although no two are alike
/// (BUDGET of incident a0f7), and against sound requests that are refused because they share other parts with
/// them.
#[test]
fn a_part_that_crashes_upstreams_is_given_up_by_the_fleet_and_its_neighbours_are_not() {
    for daemons in SIZES {
        for rate in [1.3, 20.0] {
            let (mut fleet, mut traffic) = settled(daemons, rate, 21);
            traffic.run(&mut fleet, Duration::from_secs(15), true);
            traffic.check(&format!("{daemons} daemons, {rate}/s"));
        }
    }
}

/// Guards against a part that crashes upstreams and is spared because it was in whole answers before.
#[test]
fn a_part_that_was_sound_until_now_is_given_up_in_time() {
    for daemons in [7, 86, 350] {
        for rate in [1.3, 20.0] {
            let (mut fleet, mut traffic) = settled(daemons, rate, 27);
            traffic.is_sound = true;
            traffic.run(&mut fleet, Duration::from_secs(5), true);
            traffic.reached.clear();
            traffic.is_sound = false;
            traffic.run(&mut fleet, Duration::from_secs(15), true);
            traffic.check(&format!("{daemons} daemons, {rate}/s"));
        }
    }
}

/// Guards against sound parts that are barred because nothing is known of them yet when the first upstreams
/// crash: only the part that is in all crashes explains those of the others.
#[test]
fn a_part_is_found_before_any_answer_was_seen() {
    for daemons in [7, 86] {
        let mut fleet = Fleet::new(daemons, 8, 28);
        fleet.run(Duration::from_secs(5));
        let mut traffic = Traffic::new(daemons, 20.0, 28);
        traffic.run(&mut fleet, Duration::from_secs(15), true);
        traffic.check(&format!("{daemons} daemons"));
    }
}

/// Guards against daemons that start or were cut off and don't know what the others have found out.
#[test]
fn daemons_that_start_or_were_cut_off_know_the_part() {
    for daemons in [7, 86, 195] {
        for rate in [1.3, 20.0] {
            let (mut fleet, mut traffic) = settled(daemons, rate, 22);
            // Nor does the store tell them.
            fleet.store_answers = false;
            let (late, cut) = (daemons / 2, daemons - 1);
            fleet.kill(late);
            fleet.cut(cut, true);
            traffic.run(&mut fleet, Duration::from_secs(8), true);
            // The log of updates no longer holds what they missed.
            fleet.contexts().iter().for_each(|it| fill_log(it));
            traffic.run(&mut fleet, Duration::from_secs(1), true);
            fleet.start(late);
            fleet.cut(cut, false);
            traffic.run(&mut fleet, STABLE, true);
            for context in fleet.contexts() {
                let (barred, name) =
                    (context.crashes().barred(context.now()), &context.settings.daemon);
                assert_eq!(barred, [CULPRIT], "{daemons} daemons, {rate}/s: {name}");
            }
            traffic.run(&mut fleet, Duration::from_secs(7), true);
            traffic.check(&format!("{daemons} daemons, {rate}/s"));
        }
    }
}

/// Guards against sound parts that are barred because their prompts ran in a zone that failed.
#[test]
fn a_zone_that_fails_bars_no_part() {
    for daemons in SIZES {
        for seed in [23, 24] {
            let (mut fleet, mut traffic) = settled(daemons, 0.0, seed);
            traffic.run(&mut fleet, Duration::from_secs(3), false);
            traffic.fail_zone(fleet.now);
            traffic.run(&mut fleet, Duration::from_secs(6), false);
            assert_eq!(traffic.refused, 0, "{daemons}, seed {seed}");
        }
    }
}

/// Guards against a part that is found too late, or sound ones that are barred, because other upstreams
/// crash at the same time.
#[test]
fn a_part_is_found_while_a_zone_fails() {
    for daemons in [7, 86, 195] {
        for rate in [1.3, 20.0] {
            let (mut fleet, mut traffic) = settled(daemons, rate, 25);
            traffic.run(&mut fleet, Duration::from_secs(1), true);
            traffic.fail_zone(fleet.now);
            traffic.run(&mut fleet, Duration::from_secs(15), true);
            traffic.check(&format!("{daemons} daemons, {rate}/s"));
        }
    }
}

/// Guards against a part that crashes upstreams again once all daemons have started anew: what they knew is
/// gone then, and the store may have been away when they found it out.
#[test]
fn the_part_is_known_after_all_daemons_were_killed() {
    for daemons in SIZES {
        for (rate, store_was_away) in [(1.3, false), (20.0, true)] {
            let (mut fleet, mut traffic) = settled(daemons, rate, 26);
            fleet.store_answers = !store_was_away;
            traffic.run(&mut fleet, Duration::from_secs(7), true);
            fleet.store_answers = true;
            traffic.run(&mut fleet, Duration::from_secs(3), true);
            (0..daemons).for_each(|it| fleet.kill(it));
            (0..daemons).for_each(|it| fleet.start(it));
            traffic.run(&mut fleet, Duration::from_secs(8), true);
            let name = format!("{daemons} daemons, {rate}/s, store away: {store_was_away}");
            traffic.check(&name);
        }
    }
}
