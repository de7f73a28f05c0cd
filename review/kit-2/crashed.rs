//! Runners crash one after the other, for whatever reason, and the day ends with a final fault: all
//! daemons are killed. Answers have neither a length nor chunks.

use std::{
    env,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use crate::{
    runner::Manner,
    scene::{NORTEBRACO, Runner, Scene},
    traffic::{Kind, Outcome, QUESTION, Traffic},
};

/// Daemons and runners; of these three crash, one after the other: a share of 0.125 each time.
const DAEMONS: u8 = 3;
const RUNNERS: u8 = 8;
const CRASHES: usize = 3;

/// Between two crashes, and how long a runner is down.
const CRASH_INTERVAL: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_secs(2);

/// The first and the last one of the parts that all prompts share.
const PARTS: (u64, u64) = (0xa1, 0xa3);

/// How long it is calm before.
const CALM: Duration = Duration::from_secs(6);

/// From the kill until the daemons start again; `recover_s`; and how long is judged after that.
const RESTART: Duration = Duration::from_secs(1);
const RECOVERY: Duration = Duration::from_secs(12);
const JUDGED: Duration = Duration::from_secs(6);

pub fn play(folder: &str) -> ExitCode {
    match try_play(folder) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn try_play(folder: &str) -> Result<bool, String> {
    // The final fault comes in both cases.
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    // For comparison only: the same with answers in chunks.
    let is_chunked = env::var("CHUNKED").as_deref() == Ok("1");
    let manner = Manner { answer_ms: 1_000, is_chunked, poison: None };
    let mut scene = Scene::start(folder, DAEMONS, NORTEBRACO)?;
    let mut runners: Vec<Runner> = Vec::new();
    for number in 0..RUNNERS {
        let runner = scene.start_runner(number, "v1", &manner)?;
        scene.register(&runner, "ready", 1);
        runners.push(runner);
    }
    thread::sleep(Duration::from_secs(1));
    let kind = Kind { pieces: 20, parts: Some(PARTS), ..QUESTION };
    let fronts: Vec<_> = scene.daemons.iter().map(|it| it.front).collect();
    let begin = Instant::now();
    let traffic = Traffic::start(&fronts, &[(kind, 24)], &scene.record);
    thread::sleep(CALM);
    for (number, runner) in runners.iter_mut().enumerate().take(CRASHES) {
        if is_troubled {
            scene.record.note(&format!("{} crashes", runner.id));
            runner.kill();
            thread::sleep(DOWN);
            *runner = scene.start_runner(number as u8, "v1", &manner)?;
            scene.register(runner, "ready", 1);
            thread::sleep(CRASH_INTERVAL - DOWN);
        } else {
            thread::sleep(CRASH_INTERVAL);
        }
    }
    scene.configure();
    scene.record.note("the final fault: all daemons are killed");
    let killed = Instant::now();
    scene.daemons.clear();
    thread::sleep(RESTART);
    scene.start_daemons(DAEMONS, false)?;
    scene.record.note("the daemons are back");
    let recovered = Instant::now() + RECOVERY;
    thread::sleep(RECOVERY + JUDGED);
    let outcomes = traffic.finish();
    let before = share(&scene, &outcomes, (begin, killed), "before the final fault");
    let after = (recovered, recovered + JUDGED);
    let after = share(&scene, &outcomes, after, "12 s after the daemons are back, and later");
    Ok(before < 0.25 || after >= 0.25)
}

/// The share of the requests sent in a span that were served whole.
fn share(scene: &Scene, outcomes: &[Outcome], span: (Instant, Instant), name: &str) -> f64 {
    let sent = outcomes.iter().filter(|it| span.0 <= it.sent_at && it.sent_at < span.1);
    let (mut all, mut served) = (0, 0);
    for outcome in sent {
        all += 1;
        let answer = outcome.answer.as_ref();
        served += usize::from(answer.is_some_and(|it| it.status == 200 && it.is_complete));
    }
    scene.record.tell(&format!("{name}: {served} of {all} requests served"));
    served as f64 / all.max(1) as f64
}
