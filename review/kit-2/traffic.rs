//! Clients that send streams one after the other, each on a new channel.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    caller::{self, Answer},
    record::Record,
    scene::{HOST, MODEL},
};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// The first and the last one of the shared parts of all prompts; without them, some prompts share
    /// their first part.
    pub parts: Option<(u64, u64)>,
    /// The part between these.
    pub middle: Option<u64>,
    pub name: &'static str,
    pub path: &'static str,
    /// Prompt tokens of the shared part and of the request's own.
    pub tokens: (u64, u64),
    /// Pieces of the answer.
    pub pieces: u64,
    pub limit_ms: u64,
}

pub const QUESTION: Kind = Kind {
    parts: None,
    middle: None,
    name: "quick-question",
    path: "/ask/",
    tokens: (198, 628),
    pieces: 58,
    limit_ms: 15_000,
};

/// A request and what its client got.
pub struct Outcome {
    pub sent_at: Instant,
    pub answer: Option<Answer>,
}

/// The clients.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts so many clients of each kind at these daemons.
    pub fn start(daemons: &[SocketAddr], kinds: &[(Kind, usize)], record: &Record) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let numbers = Arc::new(AtomicU64::new(1));
        let mut clients = Vec::new();
        for (kind, count) in kinds.iter().copied() {
            for client in 0..count {
                let (stop, outcomes) = (stop.clone(), outcomes.clone());
                let (numbers, record) = (numbers.clone(), record.clone());
                let daemon = daemons[client % daemons.len()];
                clients.push(thread::spawn(move || {
                    // They don't begin all at once.
                    thread::sleep(Duration::from_secs(4).mul_f64(client as f64 / count as f64));
                    while !stop.load(Ordering::Relaxed) {
                        let number = numbers.fetch_add(1, Ordering::Relaxed);
                        let outcome = send(kind, daemon, number, &record);
                        let mut outcomes =
                            outcomes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                        outcomes.push(outcome);
                    }
                }));
            }
        }
        Traffic { stop, outcomes, clients }
    }

    /// Lets the requests under way end, and returns what became of all.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        let mut outcomes = self.outcomes.lock().unwrap_or_else(|it| it.into_inner());
        std::mem::take(&mut outcomes)
    }
}

/// Sends one request and reads its answer.
pub fn send(kind: Kind, daemon: SocketAddr, number: u64, record: &Record) -> Outcome {
    let attempt = format!("{number:016x}");
    let Kind { name, path, tokens: (shared, own), pieces, limit_ms, parts, middle } = kind;
    let prefix = match parts {
        Some((first, last)) => {
            let share = shared / 3;
            let middle = middle.unwrap_or(0x100 + number % 40);
            format!("{first:x}:{share},{middle:x}:{share},{last:x}:{share}")
        }
        None => format!("{:x}:{shared}", number % 40),
    };
    // No two prompts are alike.
    let body = attempt.repeat(106);
    let request = format!(
        "POST {path}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Tealturn-Request-Attempt: {attempt}\r\n\
         X-Tealturn-Model: {MODEL}\r\nX-Tealturn-Token-Count: {},{pieces}\r\n\
         X-Tealturn-Prompt-Prefix: {prefix},{number:x}abc:{own}\r\n\
         X-Tealturn-Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        shared + own,
        body.len()
    );
    let sent_at = Instant::now();
    record.note(&format!("client: {name} {attempt} sent to {daemon}"));
    let answer = caller::call(daemon, &request, Duration::from_millis(limit_ms));
    let got = answer.as_ref().map_or("no answer".to_owned(), |it| {
        let last = it.events().last().map_or(0, |(number, _)| *number);
        let end = if it.is_complete { "complete" } else { "broken off" };
        format!("{}, {end}, last piece {last} of {pieces}", it.status)
    });
    record.note(&format!("client: {name} {attempt} got {got}"));
    if answer.as_ref().is_none_or(|it| it.status != 200) {
        thread::sleep(Duration::from_millis(250));
    }
    Outcome { sent_at, answer }
}
