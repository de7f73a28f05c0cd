//! Long prompts beside short ones at engines of different speed, placed by daemons that hear of each
//! other late.

#[path = "mix/engine.rs"]
mod engine;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use engine::{Engine, Event, Run};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        cache::Entry,
        call::{Part, Prompt},
        message::Load,
        pace::{Baseline, Observation, Sample},
        peer::Totals,
        place::{Placer, Query, mix},
        rollout::Progress,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Model, Zone},
    },
};

use crate::scene::{MODEL, engines};

const ENGINES: usize = 30;
const DAEMONS: usize = 10;

/// The rate in the settings, which no engine has.
const READ_RATE: f64 = 45.0;

/// The interval of snapshots of loads, and the ages of reports in snapshots.
const SNAPSHOT_MS: u64 = 20;
const REPORT_AGES: std::ops::Range<usize> = 5..40;

/// When other daemons learn what entered a cache.
const ENTRY_DELAY_MS: u64 = 400;

const MAX_INTERVAL_MS: u64 = 400;

/// Calls that arrive in the first seconds are not counted.
const WARM_UP_MS: u64 = 8_000;
const END_MS: u64 = 28_000;

/// When the calls arrive that are counted. The last ones do not end before the end of the test.
const COUNTED_MS: std::ops::Range<u64> = WARM_UP_MS..END_MS - 2_000;

#[derive(Clone, Copy)]
struct Kind {
    calls_a_second: f64,
    objective_ms: u64,
    priority: u8,
    output_tokens: u64,
}

/// A deployment's load for [`ENGINES`] engines.
#[derive(Clone, Copy)]
struct Deployment {
    long: Kind,
    short: Kind,
    subjects: u64,
    /// Every so many engines one has the first speed, the others have the second.
    every: usize,
    speeds: (f64, f64),
}

const BOOKING: Deployment = Deployment {
    long: Kind { calls_a_second: 73.7, objective_ms: 800, priority: 1, output_tokens: 10 },
    short: Kind { calls_a_second: 52.7, objective_ms: 400, priority: 0, output_tokens: 58 },
    subjects: 412,
    every: 4,
    speeds: (0.55, 1.2),
};

const BILLING: Deployment = Deployment {
    long: Kind { calls_a_second: 21.4, objective_ms: 800, priority: 0, output_tokens: 9 },
    short: Kind { calls_a_second: 65.0, objective_ms: 2_000, priority: 2, output_tokens: 49 },
    subjects: 253,
    every: 3,
    speeds: (1.3, 1.0),
};

/// What placement takes into account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Feature {
    None,
    Pace,
    All,
}

#[derive(Clone, Copy)]
struct Scenario {
    deployment: Deployment,
    /// Factors of the long and the short calls at a time in milliseconds.
    load: fn(u64) -> (f64, f64),
    /// Engines that stop at half of the time.
    lost: usize,
    /// Whether other work slows engines down now and then.
    has_neighbours: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Share {
    calls: u32,
    on_time: u32,
}

impl Share {
    fn value(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.calls.max(1))
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Result {
    long: Share,
    short: Share,
    /// Where the calls went, in order.
    engines: Vec<usize>,
    /// The slowdown of each engine in the view of the first daemon.
    slowdowns: Vec<f64>,
}

struct Daemon {
    placer: Placer,
    pool: Vec<Arc<Endpoint>>,
    baseline: Baseline,
    lengths: mix::Lengths,
    /// Calls that no engine had room for: whether long, when they arrived, and the prompt.
    held: Vec<(bool, u64, Prompt)>,
}

struct World {
    scenario: Scenario,
    feature: Feature,
    daemons: Vec<Daemon>,
    engines: Vec<Engine>,
    lost: usize,
    history: VecDeque<Vec<Vec<Load>>>,
    entries: VecDeque<(u64, usize, Vec<Entry>)>,
    rng: StdRng,
    result: Result,
}

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn prompt(rng: &mut StdRng, is_long: bool, deployment: &Deployment) -> Prompt {
    let part = |hash, tokens| Part { hash, tokens };
    let own: u64 = rng.random();
    let parts = match is_long {
        true => vec![
            part(1 + rng.random_range(0..4), 2_520),
            part(100 + rng.random_range(0..deployment.subjects), 3_780),
            part(own, 2_890),
        ],
        false => vec![part(10_000 + rng.random_range(0..20), 198), part(own, 628)],
    };
    let kind = if is_long { &deployment.long } else { &deployment.short };
    Prompt {
        model: Model::from(MODEL),
        tokens: parts.iter().map(|it| it.tokens).sum(),
        max_output: kind.output_tokens,
        parts,
    }
}

impl World {
    fn new(scenario: Scenario, feature: Feature, seed: u64) -> World {
        let daemons = (0..DAEMONS).map(|_| Daemon {
            placer: Placer::new(READ_RATE, Zone::from("a")),
            pool: engines(&[1; ENGINES]),
            baseline: Baseline::default(),
            lengths: mix::Lengths::default(),
            held: Vec::new(),
        });
        let Deployment { every, speeds, .. } = scenario.deployment;
        let speed = |it: usize| if it.is_multiple_of(every) { speeds.0 } else { speeds.1 };
        World {
            daemons: daemons.collect(),
            engines: (0..ENGINES).map(|it| Engine::new(speed(it))).collect(),
            lost: 0,
            history: VecDeque::new(),
            entries: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
            result: Result::default(),
            scenario,
            feature,
        }
    }

    fn play(mut self) -> Result {
        let mut due = (0.0, 0.0);
        for now in 0..END_MS {
            if now % SNAPSHOT_MS == 0 {
                self.snapshot(now);
                self.retry(now);
            }
            let load = (self.scenario.load)(now);
            due.0 += load.0 * self.scenario.deployment.long.calls_a_second / 1_000.0;
            due.1 += load.1 * self.scenario.deployment.short.calls_a_second / 1_000.0;
            while due.0 >= 1.0 || due.1 >= 1.0 {
                let is_long = due.0 >= due.1;
                *(if is_long { &mut due.0 } else { &mut due.1 }) -= 1.0;
                self.arrive(is_long, now);
            }
            if now == END_MS / 2 {
                self.lose_engines(now);
            }
            self.advance_engines(now);
        }
        let reports = self.totals(0, REPORT_AGES.start);
        let first = &self.daemons[0].pool;
        let slowdown = |it: &Arc<Endpoint>| {
            let peers = reports.get(&it.hash).and_then(|it| it.pace);
            it.health.pace(peers.as_ref(), at(END_MS)).slowdown
        };
        self.result.slowdowns = first.iter().map(slowdown).collect();
        self.result
    }

    fn snapshot(&mut self, now: u64) {
        let load = |it: &Arc<Endpoint>| Load {
            engine: it.hash,
            calls: it.health.calls_in_flight(),
            tokens: it.health.pending_prompt_tokens(),
            memory: it.health.reserved_tokens(),
            short_calls: it.health.short_calls(),
            pace: Some(it.health.pace_sample(at(now))).filter(Sample::is_reportable),
            ..Load::default()
        };
        let loads = self.daemons.iter().map(|it| it.pool.iter().map(load).collect());
        self.history.push_front(loads.collect());
        self.history.truncate(REPORT_AGES.end);
        while self.entries.front().is_some_and(|(due, ..)| *due <= now) {
            let (_, from, entries) = self.entries.pop_front().expect("an entry is due");
            for (index, daemon) in self.daemons.iter_mut().enumerate() {
                if index != from {
                    daemon.placer.record_entries(&entries, 98_022, None);
                }
            }
        }
    }

    /// The load of the other daemons as one knows it.
    fn totals(&self, daemon: usize, age: usize) -> Totals {
        let mut totals = Totals::default();
        let loads = &self.history[age.min(self.history.len() - 1)];
        for (index, loads) in loads.iter().enumerate() {
            for load in loads.iter().filter(|_| index != daemon) {
                totals.entry(load.engine).or_default().add(load);
            }
        }
        totals
    }

    fn arrive(&mut self, is_long: bool, now: u64) {
        let prompt = prompt(&mut self.rng, is_long, &self.scenario.deployment);
        let daemon = self.rng.random_range(0..DAEMONS);
        if COUNTED_MS.contains(&now) {
            self.share(is_long).calls += 1;
        }
        let Deployment { long, short, .. } = self.scenario.deployment;
        let objective = Duration::from_millis(if is_long { long } else { short }.objective_ms);
        self.daemons[daemon].lengths.record(&prompt, objective, at(now));
        self.send(daemon, is_long, now, prompt, now);
    }

    fn share(&mut self, is_long: bool) -> &mut Share {
        if is_long { &mut self.result.long } else { &mut self.result.short }
    }

    fn retry(&mut self, now: u64) {
        for daemon in 0..DAEMONS {
            for (is_long, arrived, prompt) in std::mem::take(&mut self.daemons[daemon].held) {
                self.send(daemon, is_long, arrived, prompt, now);
            }
        }
    }

    fn send(&mut self, daemon: usize, is_long: bool, arrived: u64, prompt: Prompt, now: u64) {
        let Deployment { long, short, .. } = self.scenario.deployment;
        let kind = if is_long { long } else { short };
        if now - arrived >= kind.objective_ms {
            return;
        }
        let age = self.rng.random_range(REPORT_AGES);
        let peers = self.totals(daemon, age);
        let random = self.rng.random();
        let state = &mut self.daemons[daemon];
        let objective = Duration::from_millis(kind.objective_ms + arrived - now);
        let mix = state.lengths.call(&prompt, objective).filter(|_| self.feature == Feature::All);
        let is_short = mix.is_some_and(|it| it.is_short);
        let query = Query {
            prompt: Some(&prompt),
            cache_owner: 0,
            excluded: &[],
            build: None,
            old_version_grace: Duration::from_secs(12),
            running_limit_tokens: 49_000,
            kv_stores: &[],
            engine_capacity_tokens: 98_022,
            peers: &peers,
            mix,
            random,
        };
        let choice = state.placer.choose(&query, &state.pool, &Progress::default(), at(now));
        let Ok(choice) = choice else {
            state.held.push((is_long, arrived, prompt));
            return;
        };
        let entries = state.placer.record_send(&query, &choice);
        self.entries.push_back((now + ENTRY_DELAY_MS, daemon, entries));
        let index = state.pool.iter().position(|it| it.name == choice.endpoint.name);
        let index = index.expect("an engine of the pool");
        let health = &choice.endpoint.health;
        let queued_tokens = peers.get(&choice.endpoint.hash).map_or(0, |it| it.tokens)
            + health.pending_prompt_tokens();
        let _death = health.start_call(choice.unread_tokens, prompt.memory_tokens(), at(now));
        if is_short {
            health.start_short_call();
        }
        self.result.engines.push(index);
        self.engines[index].waiting.push(Run {
            is_long,
            priority: kind.priority,
            daemon,
            arrived_ms: arrived,
            sent_ms: now,
            queued_tokens,
            memory_tokens: prompt.memory_tokens(),
            is_short,
            unread_tokens: choice.unread_tokens,
            choice,
            output_tokens: kind.output_tokens,
            produced: 0,
            first_event_ms: None,
            last_event_ms: None,
            longest_interval_ms: 0,
        });
    }

    fn lose_engines(&mut self, now: u64) {
        self.lost = self.scenario.lost;
        for index in 0..self.lost {
            self.daemons.iter().for_each(|it| it.pool[index].health.mark_dead(at(now)));
        }
    }

    fn advance_engines(&mut self, now: u64) {
        let Deployment { long, short, .. } = self.scenario.deployment;
        let (feature, daemons, result) = (self.feature, &self.daemons, &mut self.result);
        for (index, engine) in self.engines.iter_mut().enumerate().skip(self.lost) {
            // Each engine is slowed down for 600 ms of every 4 s.
            let is_slowed = (now + 577 * index as u64) % 4_000 < 600;
            let neighbours = match self.scenario.has_neighbours && is_slowed {
                true => 2.5,
                false => 1.0,
            };
            engine.advance(now, neighbours, |run, event| {
                let Daemon { baseline, .. } = &daemons[run.daemon];
                let health = &run.choice.endpoint.health;
                let observation = match event {
                    Event::First => {
                        health.finish_prompt(run.choice.unread_tokens);
                        let tokens = run.queued_tokens + run.choice.unread_tokens;
                        let prefill = Duration::from_secs_f64(tokens as f64 / READ_RATE / 1_000.0);
                        let elapsed = Duration::from_millis(now - run.sent_ms);
                        Observation::FirstEvent { elapsed, prefill }
                    }
                    Event::Next(interval) => Observation::Interval {
                        elapsed: Duration::from_millis(interval),
                        calls: health.calls_in_flight(),
                        is_prefilling: health.pending_prompt_tokens() > 0,
                    },
                    Event::End => {
                        health.end_call(run.memory_tokens);
                        if run.is_short {
                            health.end_short_call();
                        }
                        let (share, kind) = match run.is_long {
                            true => (&mut result.long, long),
                            false => (&mut result.short, short),
                        };
                        let is_counted = COUNTED_MS.contains(&run.arrived_ms);
                        let is_on_time = run.longest_interval_ms <= MAX_INTERVAL_MS
                            && run
                                .first_event_ms
                                .is_some_and(|it| it - run.arrived_ms <= kind.objective_ms);
                        share.on_time += u32::from(is_counted && is_on_time);
                        return;
                    }
                };
                if feature != Feature::None {
                    health.record_pace(&observation, baseline, at(now));
                }
            });
        }
    }
}

/// The booking mix at its mean load.
const MEAN: Scenario =
    Scenario { deployment: BOOKING, load: |_| (1.0, 1.0), lost: 0, has_neighbours: false };

/// Shares of the long and the short calls that are on time, over three seeds.
fn shares(scenario: Scenario, feature: Feature) -> (f64, f64) {
    const SEEDS: u64 = 3;
    let (mut long, mut short) = (0.0, 0.0);
    for seed in 1..=SEEDS {
        let result = World::new(scenario, feature, seed).play();
        long += result.long.value() / SEEDS as f64;
        short += result.short.value() / SEEDS as f64;
    }
    (long, short)
}

/// Plays a scenario and prints the shares on time; `least` are the least shares of the long and the
/// short calls. Fails if they are reached without the feature, which would show nothing.
fn check(name: &str, scenario: Scenario, least: (f64, f64)) {
    let [none, pace, all] =
        [Feature::None, Feature::Pace, Feature::All].map(|it| shares(scenario, it));
    eprintln!("{name}: long and short on time {none:.3?}, with pace {pace:.3?}, and mix {all:.3?}");
    let reaches = |it: (f64, f64)| it.0 >= least.0 && it.1 >= least.1;
    assert!(reaches(all), "{name}: {all:.3?} on time, {least:?} expected");
    assert!(!reaches(none), "{name}: {none:.3?} on time without the feature");
}

/// Guards against long prompts at slow engines and in front of short ones although engines are idle.
#[test]
fn both_kinds_are_on_time_in_calm() {
    check("calm", Scenario { load: |_| (0.75, 0.75), ..MEAN }, (0.98, 0.99));
    check("mean load", MEAN, (0.97, 0.99));
}

/// Guards against queues of long prompts that grow until short calls miss their objective at all
/// engines.
#[test]
fn both_kinds_are_on_time_at_twice_the_calm_load() {
    check("twice the calm load", Scenario { load: |_| (1.5, 1.5), ..MEAN }, (0.925, 0.98));
}

/// Guards against short calls that queue behind the prompts of the lost engines, which have to be
/// read again elsewhere.
#[test]
fn both_kinds_are_on_time_when_engines_are_lost() {
    check("a fifth of the engines lost", Scenario { lost: 6, ..MEAN }, (0.96, 0.975));
}

/// Guards against placement by the average speed while other work slows single engines down.
#[test]
fn both_kinds_are_on_time_when_engines_are_slowed_down() {
    check("neighbours", Scenario { has_neighbours: true, ..MEAN }, (0.92, 0.98));
}

/// Guards against a preference of engines that stays behind the mix.
#[test]
fn short_calls_are_on_time_when_the_mix_turns_around() {
    let load = |now| if now / 3_000 % 2 == 0 { (2.0, 0.4) } else { (0.4, 2.0) };
    check("mix turns around every 3 s", Scenario { load, ..MEAN }, (0.88, 0.985));
}

/// Guards against an estimate that needs short calls, and against treating prompts that are alike as
/// long ones: placement must be that without the mix, call by call.
#[test]
fn prompts_that_are_all_long_are_placed_by_speed_alone() {
    let scenario = Scenario { load: |_| (1.5, 0.0), ..MEAN };
    let [pace, all] = [Feature::Pace, Feature::All].map(|it| World::new(scenario, it, 1).play());
    assert_eq!(pace, all);
    let [none, all] = [Feature::None, Feature::All].map(|it| shares(scenario, it).0);
    eprintln!("all long: on time {none:.3}, with pace {all:.3}");
    assert!(all >= 0.965, "{all:.3} on time");
    assert!(none < 0.965, "{none:.3} on time without the feature");
}

/// Guards against a preference that costs long prompts their objective where short ones have an
/// ample one.
#[test]
fn urgent_long_prompts_lose_nothing_to_short_ones_with_time() {
    let scenario = Scenario { deployment: BILLING, load: |_| (5.0, 5.0), ..MEAN };
    let [none, all] = [Feature::None, Feature::All].map(|it| shares(scenario, it));
    eprintln!("billing at 5 times the load: on time {none:.3?}, with the feature {all:.3?}");
    assert!(all.0 >= none.0 - 0.01 && all.1 >= none.1 - 0.005, "{all:.3?}, before {none:.3?}");
}

/// Guards against chance: where engines are equally fast, few may seem to differ, and by little.
#[test]
fn engines_of_equal_speed_seem_equal() {
    let deployment = Deployment { speeds: (1.0, 1.0), ..BOOKING };
    let result = World::new(Scenario { deployment, ..MEAN }, Feature::Pace, 1).play();
    eprintln!("slowdowns of equal engines: {:.2?}", result.slowdowns);
    let differing = result.slowdowns.iter().filter(|it| **it != 1.0).count();
    assert!(differing <= ENGINES / 5, "{:.2?}", result.slowdowns);
    assert!(result.slowdowns.iter().all(|it| (0.75..1.33).contains(it)));
}

/// Guards against slow engines that are not found.
#[test]
fn engines_of_different_speed_are_told_apart() {
    let result = World::new(MEAN, Feature::Pace, 1).play();
    eprintln!("slowdowns of uneven engines: {:.2?}", result.slowdowns);
    for (index, slowdown) in result.slowdowns.into_iter().enumerate() {
        let is_slow = index.is_multiple_of(BOOKING.every);
        assert_eq!(slowdown > 1.3, is_slow, "engine {index}: {slowdown:.2}");
    }
}
