//! Many daemons place calls by load reports that are some hundred milliseconds old.

use std::{collections::VecDeque, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        message::Load,
        peer::Totals,
        place::{Placer, Query},
        rollout::Progress,
    },
    kernel::{clock::Time, id::Zone},
};

use crate::scene::{engines, prompt};

/// Engines that are left when three in ten of 78 have crashed.
const ENGINES: usize = 55;

/// Prompt tokens that an engine reads in a millisecond.
const READ_RATE: f64 = 56.6;

/// Long prompts a second in a burst, of which each has one of [`SUBJECTS`].
const CALLS_A_SECOND: f64 = 400.0;

const SUBJECTS: u64 = 2_522;

/// Steps of virtual time, which are also the ages of reports.
const STEP: Duration = Duration::from_millis(10);

/// The youngest and the oldest load report, in steps: through two hubs.
const REPORT_STEPS: std::ops::Range<usize> = 20..70;

/// Steps after which all engines have loaded new weights and their caches are empty.
const VERSION_STEPS: usize = 700;

/// The latency objective of a long prompt.
const OBJECTIVE_MS: f64 = 600.0;

/// Guards against a herd: the engine that is the least loaded by old reports gets the calls of all
/// daemons at once, and prefixes are copied to whichever engine that is.
#[test]
fn calls_placed_by_old_reports_do_not_pile_up() {
    let pool = engines(&[1; ENGINES]);
    let mut placer = Placer::new(READ_RATE, Zone::from("a"));
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = Time::from_millis(10_000);
    let mut queued = [0.0_f64; ENGINES];
    let mut history: VecDeque<[f64; ENGINES]> = VecDeque::from(vec![queued; REPORT_STEPS.end + 1]);
    let (mut calls, mut late, mut copies) = (0, 0, 0);
    let mut due = 0.0;
    for step in 0..3_000 {
        now = now + STEP;
        if step % VERSION_STEPS == 0 {
            placer = Placer::new(READ_RATE, Zone::from("a"));
        }
        for tokens in &mut queued {
            *tokens = (*tokens - READ_RATE * STEP.as_secs_f64() * 1_000.0).max(0.0);
        }
        due += CALLS_A_SECOND * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let seen = history[rng.random_range(REPORT_STEPS)];
            let load = |index: usize| Load {
                engine: pool[index].hash,
                calls: (seen[index] / 9_190.0).ceil() as u32,
                tokens: seen[index] as u64,
                memory: seen[index] as u64,
                ..Load::default()
            };
            let totals: Totals = (0..ENGINES).map(|it| (pool[it].hash, load(it))).collect();
            let prompt = prompt(100 + rng.random_range(0..SUBJECTS), rng.random());
            let query = Query {
                prompt: Some(&prompt),
                cache_owner: 0,
                is_isolated: false,
                excluded: &[],
                build: None,
                old_version_grace: Duration::from_secs(12),
                running_limit_tokens: 57_000,
                kv_stores: &[],
                engine_capacity_tokens: 114_380,
                room: None,
                peers: &totals,
                random: rng.random(),
            };
            let choice = placer.choose(&query, &pool, &Progress::default(), now);
            let choice = choice.expect("an engine has room");
            placer.record_send(&query, &choice);
            let index = pool.iter().position(|it| it.name == choice.endpoint.name);
            let index = index.expect("an engine of the pool");
            queued[index] += choice.unread_tokens as f64;
            calls += 1;
            late += u32::from(queued[index] / READ_RATE > OBJECTIVE_MS);
            copies += u32::from(choice.reason == "copy");
        }
        history.push_front(queued);
        history.truncate(REPORT_STEPS.end + 1);
    }
    eprintln!("{calls} calls: {late} late, {copies} copies");
    assert!(late * 100 <= calls * 5, "{late} of {calls} calls were late");
    assert!(copies * 100 <= calls * 20, "{copies} of {calls} calls made a copy of their prefix");
}
