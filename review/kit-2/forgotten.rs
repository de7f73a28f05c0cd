//! Daemons lose power at the same moment. Runners of a new version of the software start a little later, or
//! the store comes back from an older copy meanwhile. Clients take their streams up again, once each.

use std::{
    env,
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::{self, Answer},
    link::Link,
    record::Record,
    runner::Manner,
    scene::{CWR, HOST, MODEL, Runner, Scene},
};

/// Runners of the first version, most of which go on serving, and of the second one.
const RUNNERS: u8 = 8;
const NEW_RUNNERS: u8 = 2;

/// Daemons, and how many of them lose power beside a release; in a drill it is all of them.
const DAEMONS: u8 = 7;
const RELEASE_LOST: u8 = 3;

/// Clients whose streams run when the power is lost, and clients that begin new ones later.
const CLIENTS: u64 = 84;
const NEW_CLIENTS: u64 = 24;

const PIECES: u64 = 58;
const LIMIT: Duration = Duration::from_secs(15);

/// From the loss of power until new runners start, and until the daemons start again.
const RELEASE: Duration = Duration::from_millis(3_000);
const DOWN: Duration = Duration::from_secs(2);

/// Between two runners of a release.
const RELEASE_GAP: Duration = Duration::from_secs(1);

/// How long the store is away in a drill, and how old the copy is.
const AWAY: Duration = Duration::from_secs(1);
const COPY_AGE: Duration = Duration::from_secs(2);

/// `stable_ms`: from then on after their start the daemons are in touch.
const STABLE: Duration = Duration::from_secs(3);

/// The gap after which clients abandon a stream: eight times the pause of 800 ms that the sheet of
/// cwr-tealturn allows.
const GAP: Duration = Duration::from_millis(6_400);

const MANNER: Manner = Manner { answer_ms: 12_000, is_chunked: true, poison: None };

/// An attempt to begin a stream or to take one up again.
struct Attempt {
    is_resumption: bool,
    sent_at: Instant,
    goes_on: bool,
}

type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// What happens besides the loss of power.
#[derive(Clone, Copy, Eq, PartialEq)]
pub enum Besides {
    /// The store is away for a moment and comes back from a copy that is some seconds old.
    Drill,
    Nothing,
    /// Runners are replaced.
    Release,
}

pub fn play(folder: &str, besides: Besides) -> ExitCode {
    match try_play(folder, besides) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn try_play(folder: &str, besides: Besides) -> Result<bool, String> {
    let is_troubled = env::var("TROUBLE").as_deref() != Ok("0");
    // For comparison only: the loss of power alone.
    let is_alone = env::var("ALONE").as_deref() == Ok("1");
    let besides = if is_alone { Besides::Nothing } else { besides };
    let mut scene = Scene::start(folder, DAEMONS, CWR)?;
    let mut runners: Vec<Runner> = Vec::new();
    for number in 0..RUNNERS {
        let runner = scene.start_runner(number, "v1", &MANNER)?;
        scene.register(&runner, "ready", 1);
        runners.push(runner);
    }
    thread::sleep(Duration::from_secs(4));
    let links = scene.start_links()?;
    let fronts: Vec<_> = links.iter().map(|it| it.address).collect();
    let attempts = Attempts::default();
    let clients = start_clients(&fronts, 0..CLIENTS, &attempts, &scene.record);
    thread::sleep(Duration::from_secs(5) - COPY_AGE);
    let copy = scene.store.copy();
    thread::sleep(COPY_AGE);
    if is_troubled {
        let lost = if besides == Besides::Release { RELEASE_LOST } else { DAEMONS };
        scene.record.note(&format!("{lost} of {DAEMONS} daemons lose power"));
        links[..usize::from(lost)].iter().for_each(Link::switch);
        scene.daemons.drain(..usize::from(lost));
        let start = Instant::now();
        if besides == Besides::Drill {
            scene.record.note("the store is away");
            scene.store.set_down(true);
            thread::sleep(AWAY);
            scene.store.restore(copy);
            scene.record.note("the store is back from a copy");
            // What the operator and the runners wrote is written again.
            scene.configure();
            runners.iter().for_each(|it| scene.register(it, "ready", 2));
        }
        thread::sleep(DOWN.saturating_sub(start.elapsed()));
        scene.start_daemons(lost, false)?;
        links[..usize::from(lost)].iter().for_each(Link::switch);
        scene.record.note("the daemons start again");
        let started = Instant::now();
        let new = if besides == Besides::Release { NEW_RUNNERS } else { 0 };
        for number in 0..new {
            let at = RELEASE + RELEASE_GAP * u32::from(number);
            thread::sleep(at.saturating_sub(start.elapsed()));
            let runner = scene.start_runner(RUNNERS + number, "v2", &MANNER)?;
            scene.register(&runner, "ready", 1);
            runners.push(runner);
            // The new one starts first, then the old one drains.
            let old = &mut runners[usize::from(number)];
            old.announce_leaving();
            scene.register(old, "draining", 2);
        }
        thread::sleep(STABLE.saturating_sub(started.elapsed()));
    } else {
        thread::sleep(DOWN + STABLE);
    }
    scene.record.note("the daemons are in touch");
    let in_touch = Instant::now();
    let new = CLIENTS..CLIENTS + NEW_CLIENTS;
    let new_clients = start_clients(&fronts, new, &attempts, &scene.record);
    for client in clients.into_iter().chain(new_clients) {
        let _ = client.join();
    }
    let attempts = attempts.lock().unwrap_or_else(|it| it.into_inner());
    let share = |is_resumption: bool, name: &str| {
        let sent = attempts.iter().filter(|it| it.sent_at >= in_touch);
        let sent: Vec<_> = sent.filter(|it| it.is_resumption == is_resumption).collect();
        let going_on = sent.iter().filter(|it| it.goes_on).count();
        scene.record.tell(&format!("{name} at daemons in touch: {going_on} of {}", sent.len()));
        (going_on as f64 / sent.len().max(1) as f64, sent.len())
    };
    let (begun, _) = share(false, "new streams that begin");
    let (resumed, count) = share(true, "streams taken up again that go on");
    Ok(count < 12 || resumed >= begun / 2.0)
}

fn start_clients(
    fronts: &[SocketAddr],
    numbers: std::ops::Range<u64>,
    attempts: &Attempts,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let start = |number: u64| {
        let (fronts, attempts, record) = (fronts.to_vec(), attempts.clone(), record.clone());
        thread::spawn(move || client(&fronts, number, &attempts, &record))
    };
    numbers.map(start).collect()
}

/// One stream, taken up again once if it goes silent or breaks off.
fn client(fronts: &[SocketAddr], number: u64, attempts: &Attempts, record: &Record) {
    thread::sleep(Duration::from_millis(number % 24 * 60));
    let begin = Instant::now();
    let first = format!("{:016x}", (number + 1) << 8);
    let mut last_event = 0;
    for retry in 0..2 {
        let left = LIMIT.saturating_sub(begin.elapsed());
        if left.is_zero() {
            return;
        }
        let attempt = format!("{:016x}", (number + 1) << 8 | retry);
        let resumes = match last_event {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"),
        };
        let request = format!(
            "POST /ask/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Tealturn-Request-Attempt: {attempt}\r\n\
             X-Tealturn-Model: {MODEL}\r\nX-Tealturn-Token-Count: 826,{PIECES}\r\n\
             X-Tealturn-Prompt-Prefix: {:x}:198,{number:x}abc:628\r\n\
             X-Tealturn-Deadline-Ms: {}\r\n{resumes}Content-Length: 0\r\n\r\n",
            number % 8,
            left.as_millis()
        );
        let front = fronts[((number + retry) % fronts.len() as u64) as usize];
        let sent_at = Instant::now();
        let answer = caller::call(front, &request, left.min(GAP));
        let goes_on = answer.as_ref().is_some_and(|it| it.status == 200);
        record.note(&format!(
            "client {number}: {attempt} after piece {last_event} at {front} got {}",
            answer.as_ref().map_or("no answer".to_owned(), tell)
        ));
        let is_resumption = last_event > 0;
        let mut attempts = attempts.lock().unwrap_or_else(|it| it.into_inner());
        attempts.push(Attempt { is_resumption, sent_at, goes_on });
        drop(attempts);
        if let Some(answer) = answer.filter(|it| it.status == 200) {
            if answer.is_complete {
                return;
            }
            last_event = answer.events().last().map_or(last_event, |(number, _)| *number);
        }
    }
}

fn tell(answer: &Answer) -> String {
    let last = answer.events().last().map_or(0, |(number, _)| *number);
    let end = if answer.is_complete { "complete" } else { "broken off" };
    format!("{}, {end}, last piece {last} of {PIECES}", answer.status)
}
