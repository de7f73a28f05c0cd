//! A request that crashes the runner that runs it, some tenths of a second after that has begun, comes again and again.

use std::{thread, time::Duration};

use crate::{
    has_trouble,
    runner::{self, Settings},
    scene::{Scene, configuration, send},
};

/// Begins the record.
const ABOUT: &str = "\
Case 12. A request crashes each runner that runs it, some tenths of a second after it has begun. Later than stable_ms after
the third crash it may reach runners in three retries at most.";

const DAEMONS: usize = 3;
const RUNNERS: u8 = 6;

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

/// How long a runner is away that has crashed.
const AWAY: f64 = 2.0;

/// How often the request comes, and how long after the one before.
const TIMES: usize = 12;
const GAP: Duration = Duration::from_millis(2_500);

/// More than so many retries break the rule.
const MOST: usize = 3;

/// Starts runners again that have crashed, under new ids, once they were away for long enough.
fn revive(scene: &mut Scene, lives: &mut u32) {
    let now = scene.started.elapsed().as_secs_f64();
    for place in 0..usize::from(RUNNERS) {
        if !scene.has_ended(place) {
            continue;
        }
        let gone = scene.runners[place].settings.id.clone();
        let runs = scene.runs();
        let crash = runs.iter().rfind(|it| it.1 == gone && it.2[0] == "crashes").map(|it| it.0);
        if crash.is_some_and(|it| now - it < AWAY) {
            continue;
        }
        *lives += 1;
        scene.note(&format!("runner {gone} has crashed and is back"));
        scene.restart_runner(place, format!("i-{place}-{lives}"));
    }
}

pub fn play(record: &str) -> i32 {
    let mut scene = Scene::start(&configuration(), ABOUT);
    for number in 0..RUNNERS {
        let settings = Settings {
            id: format!("i-{number}-0"),
            address: scene.runner_address(50 + number),
            store: scene.store,
            service: "wiki-app".to_owned(),
            zone: ["sala-a", "sala-b", "sala-c"][usize::from(number) % 3].to_owned(),
            build: "v1".to_owned(),
            log: scene.log().display().to_string(),
            is_engine: false,
            slots: 6,
            events: 0,
            gap: Duration::ZERO,
            work: Duration::from_millis(15),
        };
        scene.add_runner(settings);
    }
    scene.start_daemons(DAEMONS as u8);
    thread::sleep(STABLE);
    scene.note("the request comes for the first time");
    let (mut lives, mut answered) = (0, 0);
    for number in 0..TIMES {
        let page = if has_trouble() { runner::CRASHING_PATH } else { "/2f" };
        let attempt = format!("{:016x}", number + 1);
        let headers = [
            ("X-Tealturn-Request-Attempt", attempt.as_str()),
            ("X-Tealturn-Deadline-Ms", "600"),
            ("Authorization", "Bearer key-clinica"),
        ];
        let place = number % DAEMONS;
        let answer = send(scene.front(place), "GET", &format!("/open{page}"), &headers, b"");
        answered += usize::from(answer.status == 200);
        let name = scene.daemons[place].name.clone();
        scene.note_at(
            answer.sent,
            &format!("attempt {attempt} at {name}: answered {}", answer.status),
        );
        thread::sleep(GAP);
        revive(&mut scene, &mut lives);
    }
    let runs = scene.runs();
    let crashes: Vec<f64> = runs.iter().filter(|it| it.2[0] == "crashes").map(|it| it.0).collect();
    let from = crashes.get(2).map(|it| it + STABLE.as_secs_f64());
    let is_late = |at: f64| from.is_some_and(|it| at > it);
    let late = runs.iter().filter(|it| it.2[0] == "runs" && is_late(it.0)).count();
    scene.note(&format!(
        "{} crashes; retries that reached runners later than stable_ms after the third: {late}",
        crashes.len()
    ));
    if !has_trouble() && answered < TIMES {
        scene.note(&format!("only {answered} of {TIMES} sound requests were answered 200"));
        scene.finish(record, None);
        return 2;
    }
    let broken = (late > MOST).then(|| {
        format!("BUDGET: the request reached runners in {late} retries, {MOST} are allowed")
    });
    scene.finish(record, broken)
}
