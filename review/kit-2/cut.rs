//! One daemon is partitioned from all runners: its channels to them hang, also those that it opens.

use std::{
    env,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller,
    proxy::{self, Side},
    record::Record,
    runner::Manner,
    scene::{HOST, NORTEBRACO, PLAIN, Runner, Scene},
};

/// Daemons; the first one is cut off: a share of 0.25.
const DAEMONS: u8 = 4;
const RUNNERS: u8 = 4;

const CALM: Duration = Duration::from_secs(5);
const CUT: Duration = Duration::from_secs(8);

/// `stable_ms`: from then on after the cut began the daemon must serve.
const STABLE: Duration = Duration::from_secs(3);

/// Between two requests of a client, and the clients of each daemon.
const PAUSE: Duration = Duration::from_millis(300);
const CLIENTS: usize = 12;

const LIMIT_MS: u64 = 1_500;

/// A first try.
struct Try {
    daemon: usize,
    sent_at: Instant,
    is_served: bool,
}

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
    let manner = Manner { answer_ms: 15, is_chunked: true, poison: None };
    let scene = Scene::start(folder, DAEMONS, NORTEBRACO)?;
    let processes = scene.daemons.iter().map(|it| it.process.id());
    let sides: Vec<_> = processes.map(|process| Side { process, is_cut: Arc::default() }).collect();
    let mut runners: Vec<Runner> = Vec::new();
    for number in 0..RUNNERS {
        let runner = scene.start_runner(number, "v1", &manner)?;
        let address = scene.proxy_address(number);
        proxy::start(&address, &runner.address, &sides)?;
        scene.register_at(&runner, PLAIN, &address, "ready", 1);
        runners.push(runner);
    }
    thread::sleep(Duration::from_secs(2));
    let (stop, tries) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let numbers = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for (daemon, front) in scene.daemons.iter().map(|it| it.front).enumerate() {
        for client in 0..CLIENTS {
            let (stop, tries, record) = (stop.clone(), tries.clone(), scene.record.clone());
            let numbers = numbers.clone();
            clients.push(thread::spawn(move || {
                thread::sleep(PAUSE.mul_f64(client as f64 / CLIENTS as f64));
                while !stop.load(Ordering::Relaxed) {
                    let number = numbers.fetch_add(1, Ordering::Relaxed);
                    let sent_at = Instant::now();
                    let is_served = send(front, number, &record);
                    let mut tries = tries.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    tries.push(Try { daemon, sent_at, is_served });
                    drop(tries);
                    thread::sleep(PAUSE.saturating_sub(sent_at.elapsed()));
                }
            }));
        }
    }
    thread::sleep(CALM);
    let began = Instant::now();
    if is_troubled {
        scene.record.note(&format!("{} is cut off", scene.daemons[0].name));
        sides[0].is_cut.store(true, Ordering::Relaxed);
    }
    thread::sleep(CUT);
    let ended = Instant::now();
    sides[0].is_cut.store(false, Ordering::Relaxed);
    scene.record.note("the cut ends");
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // Requests that were still under way when the cut ended don't count.
    let last = ended - Duration::from_millis(LIMIT_MS);
    let tries = tries.lock().unwrap_or_else(|it| it.into_inner());
    let share = |is_cut: bool, name: &str| {
        let judged = tries.iter().filter(|it| began + STABLE <= it.sent_at && it.sent_at < last);
        let judged: Vec<_> = judged.filter(|it| (it.daemon == 0) == is_cut).collect();
        let served = judged.iter().filter(|it| it.is_served).count();
        scene.record.tell(&format!("{name}: {served} of {} first tries served", judged.len()));
        (served, judged.len())
    };
    let (cut_served, cut_all) = share(true, "the daemon that is cut off");
    let (other_served, other_all) = share(false, "the others");
    let is_worse = cut_served * other_all * 3 < other_served * cut_all * 2;
    let failed = (cut_all - cut_served) as f64;
    let allowed = 10.0 + (cut_all + other_all) as f64 / 50.0;
    Ok(!(is_worse && failed > allowed) && other_served > 0)
}

/// Sends a request on a new channel; whether it was served.
fn send(front: SocketAddr, number: u64, record: &Record) -> bool {
    let attempt = format!("{number:016x}");
    let (method, path) = if number % 2 == 0 { ("GET", "/open/2f") } else { ("POST", "/save/2f") };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Tealturn-Request-Attempt: {attempt}\r\n\
         X-Tealturn-Deadline-Ms: {LIMIT_MS}\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = caller::call(front, &request, Duration::from_millis(LIMIT_MS + 100));
    let got = answer.as_ref().map_or("no answer".to_owned(), |it| it.status.to_string());
    record.note(&format!("client: {method} {path} {attempt} at {front} got {got}"));
    answer.is_some_and(|it| it.status == 200 && it.is_complete)
}
