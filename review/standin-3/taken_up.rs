//! Two runners crash one after the other, and clients take up the streams that broke off.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    has_trouble,
    http::Answer,
    runner::Settings,
    scene::{Scene, configuration, send},
};

/// Begins the record.
const ABOUT: &str = "\
Case 11. Two of seven runners crash at once, and 1.5 s after them two others. Clients take up the streams that broke off; they
should go on at least half as often as new streams begin.";

const DAEMONS: usize = 3;
const RUNNERS: u8 = 7;
const STREAMS: u64 = 36;

/// The time between the begins of two streams.
const STREAM_GAP: Duration = Duration::from_millis(40);

/// So long before them, one that shares their first parts begins.
const LEAD: Duration = Duration::from_millis(1_000);

/// The sheet names 58.3 events on average, and 191 at most.
const EVENTS: u64 = 190;
const EVENT_GAP: Duration = Duration::from_millis(35);

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

/// From the begin of the last stream to the first crash, and from there to the second.
const FIRST: Duration = Duration::from_millis(800);
const SECOND: Duration = Duration::from_millis(1_500);

/// Runners that crash at once, of seven, and how long they are away; the largest dose of `srv_crash` is a share of 0.3
/// for one second.
const AT_ONCE: usize = 2;
const AWAY: Duration = Duration::from_millis(1_000);

/// When clients break off themselves that see no crash.
const BREAK: Duration = Duration::from_millis(3_100);

/// How long a client waits until it takes up its stream.
const RETURN: Duration = Duration::from_millis(300);

/// New streams that are begun afterwards.
const NEW_STREAMS: u64 = 18;

/// The rule compares 12 or more.
const LEAST: usize = 12;

/// One request of a stream, or for the rest of one.
fn ask(front: SocketAddr, number: u64, attempt: &str, resumed: Option<(&str, u64)>) -> Answer {
    let prefix = format!("a1:119,b2:79,{:x}:430", 0x1000 + number);
    let last = resumed.map(|it| it.1.to_string()).unwrap_or_default();
    let mut headers = vec![
        ("X-Tealturn-Request-Attempt", attempt),
        ("X-Tealturn-Model", "m0"),
        ("X-Tealturn-Token-Count", "628,190"),
        ("X-Tealturn-Prompt-Prefix", prefix.as_str()),
        ("X-Tealturn-Deadline-Ms", "15000"),
        ("Authorization", "Bearer key-clinica"),
    ];
    if let Some((first, _)) = resumed {
        headers.push(("Resumes", first));
        headers.push(("Last-Event-Id", last.as_str()));
    }
    let body = format!("Question {number}");
    if has_trouble() || resumed.is_some() {
        return send(front, "POST", "/ask/2f", &headers, body.as_bytes());
    }
    // Its channel breaks.
    crate::http::call_until("wiki.example", front, "/ask/2f", &headers, body.as_bytes(), BREAK)
}

/// A stream and what its client takes up of it.
fn client(fronts: Vec<SocketAddr>, number: u64) -> (Answer, Option<Answer>) {
    let place = number as usize % fronts.len();
    let first = format!("{number:016x}");
    let answer = ask(fronts[place], number, &first, None);
    let last = answer.events().last().copied();
    let is_broken = answer.status == 200 && !answer.is_complete;
    let Some(last) = last.filter(|it| is_broken && *it < EVENTS) else {
        return (answer, None);
    };
    thread::sleep(RETURN);
    let again = format!("{:016x}", 0x1_0000 + number);
    let other = fronts[(place + 1) % fronts.len()];
    let rest = ask(other, number, &again, Some((&first, last)));
    (answer, Some(rest))
}

/// The number of streams that each runner is at work on.
fn running(scene: &Scene) -> BTreeMap<String, usize> {
    let mut runners: BTreeMap<String, String> = BTreeMap::new();
    for (_, id, words) in scene.runs() {
        match words[0].as_str() {
            "runs" => drop(runners.insert(words[1].clone(), id)),
            "ends" => drop(runners.remove(&words[1])),
            _ => {}
        }
    }
    let mut counts = BTreeMap::new();
    for id in runners.into_values() {
        *counts.entry(id).or_default() += 1;
    }
    counts
}

/// Crashes the runners that are at work on the most streams; they come back under new ids.
fn crash_busiest(scene: &mut Scene) {
    let counts = running(scene);
    let ids: Vec<_> = scene.runners.iter().map(|it| it.settings.id.clone()).collect();
    let at_work = |it: usize| counts.get(&ids[it]).copied().unwrap_or(0);
    let mut places: Vec<_> = (0..ids.len()).collect();
    places.sort_by_key(|it| std::cmp::Reverse(at_work(*it)));
    for place in places.iter().copied().take(AT_ONCE) {
        scene.note(&format!(
            "runner {} crashes (SIGKILL), with {} streams",
            ids[place],
            at_work(place)
        ));
        scene.kill_runner(place);
    }
    thread::sleep(AWAY);
    for place in places.into_iter().take(AT_ONCE) {
        scene.restart_runner(place, format!("{}-again", ids[place]));
    }
}

pub fn play(record: &str) -> i32 {
    let mut scene = Scene::start(&configuration(), ABOUT);
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
            events: EVENTS,
            gap: EVENT_GAP,
            work: Duration::ZERO,
        };
        scene.add_runner(settings);
    }
    scene.start_daemons(DAEMONS as u8);
    thread::sleep(STABLE);
    let fronts: Vec<_> = (0..DAEMONS).map(|it| scene.front(it)).collect();
    let earlier = fronts[0];
    thread::spawn(move || ask(earlier, 0xfff, "fff", None));
    thread::sleep(LEAD);
    scene.note(&format!("{STREAMS} streams begin, no two alike, with one handbook in common"));
    let mut clients = Vec::new();
    for number in 1..=STREAMS {
        let fronts = fronts.clone();
        clients.push(thread::spawn(move || client(fronts, number)));
        thread::sleep(STREAM_GAP);
    }
    thread::sleep(FIRST);
    if has_trouble() {
        crash_busiest(&mut scene);
    }
    thread::sleep(SECOND - AWAY);
    if has_trouble() {
        crash_busiest(&mut scene);
    }
    let (mut taken_up, mut gone_on) = (0, 0);
    for (number, client) in clients.into_iter().enumerate() {
        let Ok((answer, rest)) = client.join() else { continue };
        let events = answer.events().len();
        scene.note_at(
            answer.ended,
            &format!(
                "stream {:016x}: {}, {events} of {EVENTS} events, complete {}",
                number + 1,
                answer.status,
                answer.is_complete
            ),
        );
        let Some(rest) = rest else { continue };
        taken_up += 1;
        let has_gone_on = rest.status == 200 && !rest.events().is_empty();
        gone_on += usize::from(has_gone_on);
        let retry = rest.header("retry-after").unwrap_or("-").to_owned();
        scene.note_at(
            rest.sent,
            &format!(
                "stream {:016x} taken up: {}, {} events more, complete {}, Retry-After {retry}",
                number + 1,
                rest.status,
                rest.events().len(),
                rest.is_complete
            ),
        );
    }
    thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (STREAMS + 1..=STREAMS + NEW_STREAMS)
        .map(|number| {
            let front = fronts[number as usize % fronts.len()];
            thread::spawn(move || {
                let attempt = format!("{number:016x}");
                let from = Instant::now();
                (from, ask(front, number, &attempt, None))
            })
        })
        .collect();
    let mut begun = 0;
    for client in clients {
        let Ok((_, answer)) = client.join() else { continue };
        begun += usize::from(answer.status == 200 && !answer.events().is_empty());
        let (status, events) = (answer.status, answer.events().len());
        scene.note_at(answer.sent, &format!("new stream: {status}, {events} events"));
    }
    scene.note(&format!(
        "{gone_on} of {taken_up} streams that were taken up go on; {begun} of {NEW_STREAMS} new streams begin"
    ));
    for line in scene.logged("it crashed upstreams", 3) {
        scene.note(&line);
    }
    if taken_up < LEAST {
        scene.note("too few streams were taken up");
        scene.finish(record, None);
        return 2;
    }
    let (share, new) = (gone_on as f64 / taken_up as f64, begun as f64 / NEW_STREAMS as f64);
    let broken = (share < 0.5 * new).then(|| {
        format!(
            "LOST: {gone_on} of {taken_up} streams that clients took up again go on, {begun} of {NEW_STREAMS} new \
             streams begin"
        )
    });
    scene.finish(record, broken)
}
