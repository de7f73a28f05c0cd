//! A request that crashes the runner that runs it, and comes again after all daemons were killed.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    has_trouble,
    http::Answer,
    runner::{self, Settings},
    scene::{Scene, configuration, send},
};

/// Begins the record.
const ABOUT: &str = "\
Case 15. A request crashes each runner that runs it. After all daemons were killed and are in touch again, it may reach
runners in three retries at most.";

const DAEMONS: u8 = 7;
const RUNNERS: u8 = 7;

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

/// How long a runner is away that has crashed.
const AWAY: Duration = Duration::from_secs(2);

/// The time between the requests of two callers.
const CALLER_GAP: Duration = Duration::from_millis(50);

/// More than so many retries break the rule.
const MOST: usize = 3;

fn crash(front: SocketAddr, number: u64) -> Answer {
    let attempt = format!("{number:016x}");
    let headers = [
        ("X-Tealturn-Request-Attempt", attempt.as_str()),
        ("X-Tealturn-Deadline-Ms", "600"),
        ("Authorization", "Bearer key-clinica"),
    ];
    send(front, "POST", &format!("/save{}", runner::CRASHING_PATH), &headers, b"the same body")
}

/// Sends the request to every machine, within some tenths of a second.
fn round(scene: &mut Scene, number: &mut u64) {
    let mut callers = Vec::new();
    for place in 0..usize::from(DAEMONS) {
        let front = scene.front(place);
        *number += 1;
        let own = *number;
        callers.push((own, place, thread::spawn(move || crash(front, own))));
        thread::sleep(CALLER_GAP);
    }
    for (own, place, caller) in callers {
        let Ok(answer) = caller.join() else { continue };
        let name = scene.daemons[place].name.clone();
        scene.note_at(
            answer.sent,
            &format!("attempt {own:016x} at {name}: answered {}", answer.status),
        );
    }
}

/// Starts runners again that have crashed, under new ids, once they were away for long enough.
fn revive(scene: &mut Scene, lives: &mut u32) {
    thread::sleep(AWAY);
    for place in 0..usize::from(RUNNERS) {
        if scene.has_ended(place) {
            *lives += 1;
            let gone = scene.runners[place].settings.id.clone();
            scene.note(&format!("runner {gone} has crashed and is back"));
            scene.restart_runner(place, format!("i-{place}-{lives}"));
        }
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
    scene.start_daemons(DAEMONS);
    thread::sleep(STABLE);
    let (mut number, mut lives) = (0, 0);
    scene.note("the request comes for the first time, from several callers at all machines");
    round(&mut scene, &mut number);
    revive(&mut scene, &mut lives);
    thread::sleep(STABLE);
    scene.note("it comes again");
    round(&mut scene, &mut number);
    revive(&mut scene, &mut lives);
    if has_trouble() {
        scene.note("all daemons are killed");
        for place in 0..usize::from(DAEMONS) {
            scene.kill_daemon(place);
        }
        thread::sleep(Duration::from_millis(500));
        for place in 0..usize::from(DAEMONS) {
            scene.start_daemon(place);
        }
        scene.until_ready();
        scene.note("all daemons are ready again");
    }
    thread::sleep(STABLE + Duration::from_millis(500));
    let in_touch = scene.started.elapsed().as_secs_f64();
    scene.note("all daemons are in touch; it comes again");
    round(&mut scene, &mut number);
    revive(&mut scene, &mut lives);
    let runs = scene.runs();
    let crashes: Vec<f64> = runs.iter().filter(|it| it.2[0] == "crashes").map(|it| it.0).collect();
    let Some(third) = crashes.get(2).copied() else {
        scene.note("fewer than three crashes");
        return match scene.finish(record, None) {
            _ if has_trouble() => 2,
            code => code,
        };
    };
    let counted_from = third + STABLE.as_secs_f64();
    let late =
        runs.iter().filter(|it| it.2[0] == "runs" && it.0 > counted_from && it.0 >= in_touch);
    let late = late.count();
    scene.note(&format!(
        "{} crashes, the third at {third:.3}; retries that reached runners later than stable_ms after it, sent by \
         daemons in touch: {late}",
        crashes.len()
    ));
    let broken = (late > MOST).then(|| {
        format!("BUDGET: the request reached runners in {late} retries, {MOST} are allowed")
    });
    scene.finish(record, broken)
}
