//! A stand-in for a runner: PROTOCOL.md, "Runners", "Service discovery".
//!
//! It ends when its standard input does.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Connection, Request},
    scene,
};

/// The settings of a small deployment: `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// The model of engines, in the weights that all of them have.
const MODEL: &str = "{\"name\":\"m0\",\"version\":1,\"adapters\":[]}";

/// The id of the part of prompts that crashes runners.
pub const CRASHING_PART: &str = "bad0";

/// The end of the path of a request that crashes the runner that runs it, for instance since it takes all memory: the
/// runner works at it for [`LATE`] before, whether or not its channel is open. Most runners drop a request when its
/// channel closes, and these don't.
pub const CRASHING_PATH: &str = "/all-pages-of-all-years";
const LATE: Duration = Duration::from_millis(400);

#[derive(Clone, Debug)]
pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub store: SocketAddr,
    pub service: String,
    pub zone: String,
    /// The version of its software.
    pub build: String,
    pub log: String,
    pub is_engine: bool,
    pub slots: u32,
    /// Events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// What other requests take.
    pub work: Duration,
}

impl Settings {
    pub fn arguments(&self) -> Vec<String> {
        vec![
            self.id.clone(),
            self.address.to_string(),
            self.store.to_string(),
            self.service.clone(),
            self.zone.clone(),
            self.build.clone(),
            self.log.clone(),
            self.is_engine.to_string(),
            self.slots.to_string(),
            self.events.to_string(),
            self.gap.as_millis().to_string(),
            self.work.as_millis().to_string(),
        ]
    }

    pub fn parse(arguments: &[String]) -> Option<Settings> {
        let [id, address, store, service, zone, build, log, engine, slots, events, gap, work] =
            arguments
        else {
            return None;
        };
        Some(Settings {
            id: id.clone(),
            address: address.parse().ok()?,
            store: store.parse().ok()?,
            service: service.clone(),
            zone: zone.clone(),
            build: build.clone(),
            log: log.clone(),
            is_engine: engine.parse().ok()?,
            slots: slots.parse().ok()?,
            events: events.parse().ok()?,
            gap: Duration::from_millis(gap.parse().ok()?),
            work: Duration::from_millis(work.parse().ok()?),
        })
    }
}

struct Runner {
    settings: Settings,
    born: u128,
    log: Mutex<File>,
    sequence: AtomicU64,
    running: AtomicU64,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis())
}

pub fn run(settings: Settings) {
    let listener = TcpListener::bind(settings.address).expect("the runner's address");
    let log = OpenOptions::new().create(true).append(true).open(&settings.log).expect("a log");
    let runner = Arc::new(Runner {
        settings,
        born: now_ms(),
        log: Mutex::new(log),
        sequence: AtomicU64::default(),
        running: AtomicU64::default(),
    });
    scene::end_with_input();
    let registering = runner.clone();
    thread::spawn(move || {
        loop {
            registering.register();
            thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let runner = runner.clone();
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(Some(request)) = connection.request() {
                match runner.answer(&mut connection, &request) {
                    Ok(true) => {}
                    Ok(false) | Err(_) => return,
                }
            }
        });
    }
}

impl Runner {
    /// Writes a line of what happened: the time, the runner, and the words.
    fn note(&self, words: &str) {
        let line = format!("{} {} {words}\n", now_ms(), self.settings.id);
        let _ = self.log.lock().expect("no panic").write_all(line.as_bytes());
    }

    fn register(&self) {
        let Settings { id, address, store, service, zone, build, slots, .. } = &self.settings;
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let models = if self.settings.is_engine { MODEL } else { "" };
        let born = self.born;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{build}\",\"slots\":{slots},\"state\":\"ready\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born},\"models\":[{models}]}}"
        );
        let target = format!("/standin/put?table=servers&key={id}");
        let patience = Duration::from_secs(1);
        http::call(*store, "POST", &target, &[], entry.as_bytes(), patience);
    }

    /// Answers a request; returns whether the connection is kept.
    fn answer(&self, connection: &mut Connection, request: &Request) -> io::Result<bool> {
        let Settings { id, .. } = &self.settings;
        match request.path() {
            "/tealturn/report" => {
                let (born, running) = (self.born, self.running.load(Ordering::Relaxed));
                let models = if self.settings.is_engine { MODEL } else { "" };
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{models}],\"busy\":false,\"sequence\":0,\
                     \"queued\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":115005,\
                     \"handles\":0,\"born\":{born}}}"
                );
                connection.answer(200, &[("Content-Type", "application/json")], body.as_bytes())?;
                return Ok(true);
            }
            _ => {}
        }
        let attempt = request.header("x-tealturn-request-attempt").unwrap_or("-").to_owned();
        let mut headers = vec![("X-Tealturn-Request-Attempt", attempt.as_str())];
        if request.header("x-tealturn-expect-instance").is_some_and(|it| it != id) {
            headers.push(("X-Tealturn-Instance-Id", id));
            connection.answer(421, &headers, b"")?;
            return Ok(true);
        }
        if self.running.load(Ordering::Relaxed) >= u64::from(self.settings.slots) {
            headers.push(("X-Tealturn-Not-Executed", "1"));
            connection.answer(503, &headers, b"full")?;
            return Ok(true);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.work(connection, request, &attempt, &headers);
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn work(
        &self,
        connection: &mut Connection,
        request: &Request,
        attempt: &str,
        headers: &[(&str, &str)],
    ) -> io::Result<bool> {
        let last = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.note(&format!("runs {attempt} after {last} {} {}", request.method, request.target));
        let parts = request.header("x-tealturn-prompt-prefix").unwrap_or_default();
        let mut shared: Vec<_> = parts.split(',').filter_map(|it| it.split(':').next()).collect();
        shared.pop();
        if shared.contains(&CRASHING_PART) {
            thread::sleep(Duration::from_millis(20));
            self.note(&format!("crashes {attempt}"));
            process::exit(1);
        }
        if request.path().ends_with(CRASHING_PATH) {
            thread::sleep(LATE);
            self.note(&format!("crashes {attempt}"));
            process::exit(1);
        }
        let seal = format!("{}.{attempt}", self.settings.id);
        let mut headers = headers.to_vec();
        headers.push(("X-Tealturn-Server-Seal", &seal));
        if self.settings.is_engine {
            return self.stream(connection, attempt, last, &headers);
        }
        thread::sleep(self.settings.work);
        let body = format!("{} {} by {}\n", request.method, request.target, self.settings.id);
        connection.answer(200, &headers, body.repeat(12).as_bytes())?;
        self.note(&format!("ends {attempt}"));
        Ok(true)
    }

    fn stream(
        &self,
        connection: &mut Connection,
        attempt: &str,
        last: u64,
        headers: &[(&str, &str)],
    ) -> io::Result<bool> {
        let mut text = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        text.push_str("X-Tealturn-Weight-Versions: 1\r\n");
        text.push_str("Transfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        connection.stream.write_all(text.as_bytes())?;
        for number in last + 1..=self.settings.events {
            thread::sleep(self.settings.gap);
            let event = format!("id: {number}\ndata: {} by {}\n\n", number, self.settings.build);
            let bytes = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(error) = connection.stream.write_all(bytes.as_bytes()) {
                self.note(&format!("loses {attempt} before {number}"));
                return Err(error);
            }
        }
        self.note(&format!("ends {attempt}"));
        connection.stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
