//! A runner that leaves crashes while it writes answers without a length.

use std::{net::SocketAddr, thread, time::Duration};

use crate::{
    has_trouble,
    runner::Settings,
    scene::{Scene, configuration, send},
};

const DAEMONS: u8 = 3;
const RUNNERS: u8 = 7;
const STREAMS: u64 = 28;
const EVENTS: u64 = 58;

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

pub fn play(record: &str) -> i32 {
    let mut scene = Scene::start(&configuration());
    for number in 0..RUNNERS {
        let settings = Settings {
            id: format!("i-{number}"),
            address: scene.runner_address(50 + number),
            store: scene.store,
            service: "assistente".to_owned(),
            zone: ["sala-a", "sala-b", "sala-c"][usize::from(number) % 3].to_owned(),
            build: "v1".to_owned(),
            log: scene.log().display().to_string(),
            is_engine: true,
            slots: 64,
            is_unframed: true,
            events: EVENTS,
            gap: Duration::from_millis(50),
            work: Duration::from_millis(15),
        };
        scene.add_runner(settings);
    }
    scene.start_daemons(DAEMONS);
    thread::sleep(STABLE);
    scene.note(&format!("{STREAMS} streams begin; answers have neither a length nor chunks"));
    let mut callers = Vec::new();
    for number in 0..STREAMS {
        let front: SocketAddr = scene.front(number as usize % usize::from(DAEMONS));
        callers.push(thread::spawn(move || {
            let attempt = format!("{:016x}", number + 1);
            let prefix = format!("a{number}:119,b{number}:79,c{number}:430");
            let headers = [
                ("X-Tealturn-Request-Attempt", attempt.as_str()),
                ("X-Tealturn-Model", "m0"),
                ("X-Tealturn-Token-Count", "628,58"),
                ("X-Tealturn-Prompt-Prefix", prefix.as_str()),
                ("X-Tealturn-Deadline-Ms", "15000"),
                ("Authorization", "Bearer key-clinica"),
            ];
            let body = format!("Question {number}");
            (attempt.clone(), send(front, "POST", "/ask/2f", &headers, body.as_bytes()))
        }));
    }
    thread::sleep(Duration::from_millis(500));
    let count = |runs: &[(f64, String, Vec<String>)], number: u8| {
        let id = format!("i-{number}");
        runs.iter().filter(|it| it.1 == id && it.2[0] == "runs").count()
    };
    let runs = scene.runs();
    let busiest = (0..RUNNERS).max_by_key(|it| count(&runs, *it)).unwrap_or(0);
    let streams = count(&runs, busiest);
    scene.note(&format!("runner i-{busiest}, with {streams} streams, reports that it drains"));
    scene.drain_runner(usize::from(busiest));
    thread::sleep(Duration::from_millis(1_000));
    if has_trouble() {
        scene.note(&format!("runner i-{busiest} crashes (SIGKILL)"));
        scene.kill_runner(usize::from(busiest));
    }
    let mut wrong = 0;
    for caller in callers {
        let Ok((attempt, answer)) = caller.join() else { continue };
        let events = answer.events();
        let is_whole = events.iter().copied().eq(1..=EVENTS);
        let seal = answer.header("x-tealturn-server-seal").unwrap_or("-").to_owned();
        let line = format!(
            "stream {attempt}: {}, seal {seal}, {} of {EVENTS} events, the last is {}; it ended as {}",
            answer.status,
            events.len(),
            events.last().copied().unwrap_or(0),
            if answer.is_complete { "complete" } else { "broken off" }
        );
        scene.note_at(answer.ended, &line);
        if answer.status == 200 && answer.is_complete && !is_whole {
            wrong += 1;
        }
    }
    let broken = (wrong > 0)
        .then(|| format!("ORDER: {wrong} streams ended as complete before their last piece"));
    scene.finish(record, broken)
}
