//! One part of prompts crashes the runners that begin an answer on it. Answers have neither a length nor
//! chunks.

use std::{
    env,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    runner::Manner,
    scene::{NORTEBRACO, Runner, Scene},
    traffic::{self, Kind, Outcome, QUESTION, Traffic},
};

const RUNNERS: u8 = 8;

/// The parts with which all prompts of the kind begin and end, before each one's own part, and the part
/// between them that crashes runners.
const FIRST: u64 = 0xa1;
const LAST: u64 = 0xa3;
const POISON: u64 = 0xa2;

/// Between two requests that crash runners.
const POISON_INTERVAL: Duration = Duration::from_millis(600);

/// How long a runner that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);

/// Twice `stable_ms`.
const SETTLED: Duration = Duration::from_secs(6);

/// How long it is calm before, and how long is judged after.
const CALM: Duration = Duration::from_secs(8);
const JUDGED: Duration = Duration::from_secs(8);

/// From this number of crashes on, those that follow don't put off the judgement.
const CRASHES: usize = 5;

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
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    // For comparison only: the same with answers in chunks.
    let is_chunked = env::var("CHUNKED").as_deref() == Ok("1");
    let manner = Manner { answer_ms: 1_000, is_chunked, poison: Some(POISON) };
    let scene = Scene::start(folder, 3, NORTEBRACO)?;
    let mut runners: Vec<Runner> = Vec::new();
    for number in 0..RUNNERS {
        let runner = scene.start_runner(number, "v1", &manner)?;
        scene.register(&runner, "ready", 1);
        runners.push(runner);
    }
    thread::sleep(Duration::from_secs(1));
    let sound = Kind { pieces: 20, parts: Some((FIRST, LAST)), ..QUESTION };
    let fronts: Vec<_> = scene.daemons.iter().map(|it| it.front).collect();
    let begin = Instant::now();
    let traffic = Traffic::start(&fronts, &[(sound, 24)], &scene.record);
    // The clients begin one after the other.
    thread::sleep(Duration::from_secs(4) + CALM);
    let calm = (begin + Duration::from_secs(4), Instant::now());
    let poisoned = Arc::new(AtomicBool::new(is_troubled));
    let poisoner = poison(&fronts, sound, poisoned.clone(), &scene);
    let (mut crashes, mut last_crash) = (0, Instant::now());
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while last_crash.elapsed() < SETTLED + JUDGED {
        thread::sleep(Duration::from_millis(20));
        for (number, runner) in runners.iter_mut().enumerate() {
            if down.iter().all(|(it, _)| *it != number) && runner.has_crashed() {
                down.push((number, Instant::now()));
                crashes += 1;
                scene.record.note(&format!("crash {crashes}: {}", runner.id));
                if crashes <= CRASHES {
                    last_crash = Instant::now();
                }
            }
        }
        let (back, still) = down.into_iter().partition(|(_, at)| at.elapsed() >= DOWN);
        down = still;
        for (number, _) in back {
            runners[number] = scene.start_runner(number as u8, "v1", &manner)?;
            scene.register(&runners[number], "ready", 1);
        }
    }
    let judged = (last_crash + SETTLED, Instant::now());
    poisoned.store(false, Ordering::Relaxed);
    let _ = poisoner.join();
    let outcomes = traffic.finish();
    scene.record.tell(&format!("{crashes} crashes"));
    let before = share(&scene, &outcomes, calm, "calm");
    let after = share(&scene, &outcomes, judged, "6 s after the last crash that counts");
    Ok(before > 0.0 && after >= before / 2.0)
}

/// Sends requests with the part that crashes runners, no two alike, until it is told to stop.
fn poison(
    fronts: &[SocketAddr],
    sound: Kind,
    is_on: Arc<AtomicBool>,
    scene: &Scene,
) -> thread::JoinHandle<()> {
    let (fronts, record) = (fronts.to_vec(), scene.record.clone());
    thread::spawn(move || {
        let mut number = 0x1_0000;
        while is_on.load(Ordering::Relaxed) {
            number += 1;
            let front = fronts[number as usize % fronts.len()];
            let kind = Kind { name: "quick-question-that-crashes", middle: Some(POISON), ..sound };
            let record = record.clone();
            thread::spawn(move || drop(traffic::send(kind, front, number, &record)));
            thread::sleep(POISON_INTERVAL);
        }
    })
}

/// The share of the sound requests sent in a span that began at their first attempt.
fn share(scene: &Scene, outcomes: &[Outcome], span: (Instant, Instant), name: &str) -> f64 {
    let sent = outcomes.iter().filter(|it| span.0 <= it.sent_at && it.sent_at < span.1);
    let (mut all, mut begun) = (0, 0);
    for outcome in sent {
        all += 1;
        begun += usize::from(outcome.answer.as_ref().is_some_and(|it| it.status == 200));
    }
    scene.record.tell(&format!("{name}: {begun} of {all} sound requests began"));
    if all < 20 { 1.0 } else { begun as f64 / all as f64 }
}
