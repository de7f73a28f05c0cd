//! Sound requests beside one part of prompts that crashes runners.
//!
//! For a while, requests with a crashing part come at any machine, no two alike; sound ones share their caller and
//! their other parts. What the staff of the tenant ask differs between two cases, see [`Variant`].

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    has_trouble,
    http::Answer,
    runner::{self, Settings},
    scene::{Scene, configuration, send},
};

/// Begins the record.
const ALIKE: &str = "\
Case 13. Requests with one part of their prompt crash runners. Of the sound ones of the same key two of three are the same
question (Alike); later than 2 x stable_ms after the fifth crash they should begin half as often as before.";
const NEXT_PAGE: &str = "\
Case 14. Requests with one part of their prompt crash runners; a sound part follows it. Sound requests of the same key have
that part, too (NextPage); later than 2 x stable_ms after the last crash they should begin half as often as before.";

const DAEMONS: u8 = 3;

/// `stable_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);

/// How long sound requests come before the first crashing one, and for how long they are counted afterwards.
const CALM: Duration = Duration::from_secs(15);
const WATCHED: Duration = Duration::from_secs(12);

/// Crashing requests are sent for so long until there was a fifth crash, or there will be none.
const OUTBREAK: Duration = Duration::from_secs(8);

/// The time between two sound requests of the tenant, and between two crashing ones.
const SOUND_GAP: Duration = Duration::from_millis(300);
const CRASHING_GAP: Duration = Duration::from_millis(500);

/// How long a runner is away that has crashed.
const AWAY: Duration = Duration::from_secs(2);

/// The rule compares 20 or more of each.
const LEAST: usize = 20;

/// What the staff ask.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Variant {
    /// Two of three requests are the same question. The crashing part is the second one.
    Alike,
    /// All differ. The crashing part is the first one; the second one is that of a page to which the staff turn
    /// [`TURN`] after the first crashing request.
    NextPage,
}

impl Variant {
    fn about(self) -> &'static str {
        match self {
            Variant::Alike => ALIKE,
            Variant::NextPage => NEXT_PAGE,
        }
    }

    fn runners(self) -> u8 {
        match self {
            Variant::Alike => 4,
            Variant::NextPage => 6,
        }
    }

    /// The events of an answer; the sheet names 58.3 on average, and 191 at most.
    fn events(self) -> u64 {
        match self {
            Variant::Alike => 170,
            Variant::NextPage => 58,
        }
    }
}

/// When the staff turn to another page.
const TURN: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// Always the same.
    Alike,
    /// On the first page.
    Other,
    /// On the second page.
    NextPage,
    /// With the crashing part.
    Crashing,
    /// With the crashing part, on the second page.
    CrashingNextPage,
}

struct Call {
    kind: Kind,
    attempt: String,
    answer: Answer,
}

fn spawn_call(front: SocketAddr, kind: Kind, number: u64, calls: &Arc<Mutex<Vec<Call>>>) {
    let calls = calls.clone();
    thread::spawn(move || {
        let attempt = format!("{number:016x}");
        let own = format!("{:x}", 0x1000 + number);
        let (prefix, body) = match kind {
            Kind::Alike => (
                "a1:119,b2:79,c3:430".to_owned(),
                "Which papers does a first visit need?".to_owned(),
            ),
            Kind::Other => (format!("a1:119,b2:79,{own}:430"), format!("Question {number}")),
            Kind::NextPage => (format!("a1:119,b7:79,{own}:430"), format!("Question {number}")),
            Kind::Crashing => {
                let part = runner::CRASHING_PART;
                (format!("a1:119,{part}:79,{own}:430"), format!("Question {number}, too"))
            }
            Kind::CrashingNextPage => {
                let part = runner::CRASHING_PART;
                (format!("{part}:119,b7:79,{own}:430"), format!("Question {number}, too"))
            }
        };
        let headers = [
            ("X-Tealturn-Request-Attempt", attempt.as_str()),
            ("X-Tealturn-Model", "m0"),
            ("X-Tealturn-Token-Count", "628,58"),
            ("X-Tealturn-Prompt-Prefix", prefix.as_str()),
            ("X-Tealturn-Deadline-Ms", "15000"),
            ("Authorization", "Bearer key-clinica"),
        ];
        let answer = send(front, "POST", "/ask/2f", &headers, body.as_bytes());
        calls.lock().expect("no panic").push(Call { kind, attempt, answer });
    });
}

/// Sends requests of a kind to random machines until told to stop.
fn press(
    fronts: Vec<SocketAddr>,
    gap: Duration,
    kind: impl Fn(u64) -> Kind + Send + 'static,
    number: Arc<AtomicU64>,
    calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
) {
    thread::spawn(move || {
        let mut turn = 0_u64;
        while !stop.load(Ordering::Relaxed) {
            // Any machine: a fixed sequence without a pattern.
            let place = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
            let front = fronts[place as usize % fronts.len()];
            spawn_call(front, kind(turn), number.fetch_add(1, Ordering::Relaxed), &calls);
            turn += 1;
            thread::sleep(gap);
        }
    });
}

pub fn play(record: &str, variant: Variant) -> i32 {
    let mut scene = Scene::start(&configuration(), variant.about());
    let runners = variant.runners();
    for number in 0..runners {
        let settings = Settings {
            id: format!("i-{number}-0"),
            address: scene.runner_address(50 + number),
            store: scene.store,
            service: "assistente".to_owned(),
            zone: ["sala-a", "sala-b", "sala-c"][usize::from(number) % 3].to_owned(),
            build: "v1".to_owned(),
            log: scene.log().display().to_string(),
            is_engine: true,
            slots: 64,
            events: variant.events(),
            gap: Duration::from_millis(35),
            work: Duration::from_millis(15),
        };
        scene.add_runner(settings);
    }
    scene.start_daemons(DAEMONS);
    thread::sleep(STABLE);
    scene.note(&format!(
        "{DAEMONS} daemons ready and in touch, {runners} runners; sound requests begin"
    ));

    let fronts: Vec<_> = (0..usize::from(DAEMONS)).map(|it| scene.front(it)).collect();
    let (calls, number) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicU64::new(1)));
    let stop = Arc::new(AtomicBool::new(false));
    let turn_at = Instant::now() + CALM + TURN;
    let sound = move |turn: u64| match variant {
        Variant::Alike if turn % 3 < 2 => Kind::Alike,
        Variant::NextPage if Instant::now() >= turn_at => Kind::NextPage,
        _ => Kind::Other,
    };
    press(fronts.clone(), SOUND_GAP, sound, number.clone(), calls.clone(), stop.clone());
    let calm_from = Instant::now();
    thread::sleep(CALM);
    let calm_until = Instant::now();
    if has_trouble() {
        scene.note("requests with a part that crashes runners begin");
        let crashing = move |_: u64| match variant {
            Variant::Alike => Kind::Crashing,
            Variant::NextPage => Kind::CrashingNextPage,
        };
        press(fronts, CRASHING_GAP, crashing, number.clone(), calls.clone(), stop.clone());
    }

    // Runners that have crashed come back under another id.
    let mut crashes: Vec<Instant> = Vec::new();
    let mut away: Vec<(usize, Instant)> = Vec::new();
    let mut lives = 0;
    let is_over = |crashes: &[Instant]| {
        let fifth = crashes.get(4).copied();
        let last = match fifth {
            Some(fifth) => fifth,
            None if calm_until.elapsed() < OUTBREAK => return false,
            None => crashes.last().copied().unwrap_or(calm_until),
        };
        last.elapsed() >= 2 * STABLE + WATCHED
    };
    while !is_over(&crashes) {
        for place in 0..usize::from(runners) {
            if !away.iter().any(|it| it.0 == place) && scene.has_ended(place) {
                crashes.push(Instant::now());
                away.push((place, Instant::now()));
                let id = scene.runners[place].settings.id.clone();
                scene.note(&format!("runner {id} has crashed"));
            }
        }
        if let Some(at) = away.iter().position(|it| it.1.elapsed() >= AWAY) {
            let (place, _) = away.remove(at);
            lives += 1;
            scene.restart_runner(place, format!("i-{place}-{lives}"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let end = Instant::now();
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(8));

    let last = crashes.get(4).or(crashes.last()).copied().unwrap_or(calm_until);
    let from = last + 2 * STABLE;
    let calls = std::mem::take(&mut *calls.lock().expect("no panic"));
    let count = |from: Instant, until: Instant, kinds: &[Kind]| {
        let sent = calls.iter().filter(|it| kinds.contains(&it.kind));
        let sent = sent.filter(|it| it.answer.sent >= from && it.answer.sent < until);
        let begun =
            sent.clone().filter(|it| it.answer.status == 200 && !it.answer.events().is_empty());
        (sent.count(), begun.count())
    };
    let all = [Kind::Alike, Kind::Other, Kind::NextPage];
    let (before, after) = (count(calm_from, calm_until, &all), count(from, end, &all));
    let crashing = [Kind::Crashing, Kind::CrashingNextPage];
    for (what, kinds) in [
        ("alike", &all[..1]),
        ("others", &all[1..2]),
        ("on the next page", &all[2..]),
        ("with the crashing part", &crashing),
    ] {
        let (calm, late) = (count(calm_from, calm_until, kinds), count(from, end, kinds));
        scene.note(&format!(
            "{what}: before, {} of {} began at the first attempt; from 2 x stable_ms after the last counted crash on, \
             {} of {}",
            calm.1, calm.0, late.1, late.0
        ));
    }
    scene.note(&format!("{} crashes", crashes.len()));
    for line in scene.logged("it crashed upstreams", 2) {
        scene.note(&line);
    }
    for call in &calls {
        let retry = call.answer.header("retry-after").unwrap_or("-").to_owned();
        scene.note_at(
            call.answer.sent,
            &format!(
                "{:?} {} answered {} with {} events, complete {}, Retry-After {retry}",
                call.kind,
                call.attempt,
                call.answer.status,
                call.answer.events().len(),
                call.answer.is_complete
            ),
        );
    }
    if before.0 < LEAST || after.0 < LEAST {
        scene.note("too few sound requests");
        scene.finish(record, None);
        return 2;
    }
    let share = |(sent, begun): (usize, usize)| begun as f64 / sent as f64;
    let broken = (share(after) < 0.5 * share(before)).then(|| {
        format!(
            "LOST: {} of {} sound requests of the route with the same key began at the first attempt, {} of {} before",
            after.1, after.0, before.1, before.0
        )
    });
    scene.finish(record, broken)
}
