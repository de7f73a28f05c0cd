//! Stand-ins of runners, each in a process of its own. What they see is printed, a line for each thing.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::http::{self, Request};

/// Events of a stream.
pub const EVENTS: usize = 40;

/// Between two events.
const PAUSE: Duration = Duration::from_millis(100);

struct Runner {
    name: String,
    behaviour: String,
    /// The Unix millisecond of its start.
    born: u128,
    is_leaving: AtomicBool,
    /// The attempt and the tenant that made a cached part, by salt, model and the parts up to it.
    cache: Mutex<BTreeMap<(String, String, String), (String, String)>>,
}

/// Runs a runner until it is killed.
pub fn run(name: &str, ip: &str, behaviour: &str) -> ! {
    // An address has the port of an earlier process.
    let address = if ip.contains(':') { ip.to_owned() } else { format!("{ip}:0") };
    let listener = TcpListener::bind(address).expect("a free port");
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis());
    say(&format!("{} {born}", listener.local_addr().expect("bound")));
    let runner = Runner {
        name: name.to_owned(),
        behaviour: behaviour.to_owned(),
        born,
        is_leaving: AtomicBool::default(),
        cache: Mutex::default(),
    };
    http::serve(listener, move |request, stream| runner.answer(request, stream));
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn say(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

impl Runner {
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let path = request.target.split('?').next().unwrap_or_default();
        let header = |name: &str| request.head.header(name).unwrap_or("-").to_owned();
        match path {
            // The script tells the runner to leave.
            "/leave" => {
                self.is_leaving.store(true, Ordering::SeqCst);
                return http::reply(stream, "200 OK", "", "");
            }
            "/healthz" => {
                let id = format!("X-Tealturn-Instance-Id: {}\r\n{}", self.name, self.leaving());
                let status = if self.leaving().is_empty() { "200 OK" } else { "503 Leaving" };
                return http::reply(stream, status, &id, "");
            }
            "/tealturn/report" => {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\
                     \"kv_total\":115005,\"handles\":0,\"born\":{}}}",
                    self.born
                );
                let head = format!("Content-Type: application/json\r\n{}", self.leaving());
                return http::reply(stream, "200 OK", &head, &body);
            }
            _ => {}
        }
        let (attempt, expected) =
            (header("x-tealturn-request-attempt"), header("x-tealturn-expect-instance"));
        if expected != "-" && expected != self.name {
            let head = format!("X-Tealturn-Request-Attempt: {attempt}\r\n{}", self.leaving());
            return http::reply(stream, "421 Misdirected Request", &head, "");
        }
        let (tenant, salt) = (header("x-tealturn-tenant"), header("x-tealturn-cache-salt"));
        say(&format!(
            "{} runs {attempt} {} {path} tenant={tenant} salt={salt} last_event={} parts={}",
            self.name,
            request.method,
            header("last-event-id"),
            header("x-tealturn-prompt-prefix")
        ));
        self.use_cache(request, &attempt, &tenant, &salt);
        if self.behaviour == "slow" {
            thread::sleep(PAUSE);
        }
        let head = format!(
            "X-Tealturn-Request-Attempt: {attempt}\r\nX-Tealturn-Server-Seal: {}.{attempt}\r\n\
             X-Tealturn-Server-Load: 1,0,64\r\n{}",
            self.name,
            self.leaving()
        );
        if header("x-tealturn-model") == "-" {
            return http::reply(stream, "200 OK", &head, "saved");
        }
        self.stream(stream, &head, &attempt, header("last-event-id").parse().unwrap_or(0))
    }

    /// What all answers of a runner that leaves say.
    fn leaving(&self) -> &'static str {
        if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
    }

    /// Reads the prompt: takes the leading parts that are kept under the same text, and keeps the others.
    fn use_cache(&self, request: &Request, attempt: &str, tenant: &str, salt: &str) {
        let Some(parts) = request.head.header("x-tealturn-prompt-prefix") else { return };
        let model = request.head.header("x-tealturn-model").unwrap_or_default();
        let mut cache = self.cache.lock().unwrap();
        let (mut chain, mut is_kept) = (String::new(), true);
        for part in parts.split(',').map(|it| it.split(':').next().unwrap_or_default().trim()) {
            chain = format!("{chain}/{part}");
            let key = (salt.to_owned(), model.to_owned(), chain.clone());
            is_kept &= cache.contains_key(&key);
            match cache.get(&key).filter(|_| is_kept) {
                Some((maker, owner)) => say(&format!(
                    "{} uses for {attempt} of tenant={tenant} part={part} made by {maker} of tenant={owner} salt={salt}",
                    self.name
                )),
                None => drop(cache.insert(key, (attempt.to_owned(), tenant.to_owned()))),
            }
        }
    }

    /// Answers by events after `last`.
    fn stream(
        &self,
        stream: &mut TcpStream,
        head: &str,
        attempt: &str,
        last: usize,
    ) -> io::Result<bool> {
        let (events, pause) = match &*self.behaviour {
            "long" => (EVENTS, PAUSE),
            // The behaviour names the version of the software.
            "v1" | "v2" => (2 * EVENTS, PAUSE),
            _ => (3, Duration::from_millis(5)),
        };
        // A stream that goes on has chunks; others end with their channel where that is asked for.
        let is_framed = self.behaviour != "long" || last > 0;
        let framing = if is_framed { "Transfer-Encoding: chunked\r\n" } else { "" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{head}X-Tealturn-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=events {
            let event =
                format!("id: {number}\ndata: {}-{}-{number}\n\n", self.name, self.behaviour);
            let piece = match is_framed {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            stream.write_all(piece.as_bytes())?;
            say(&format!("{} wrote for {attempt} event={number} of {events}", self.name));
            thread::sleep(pause);
        }
        if is_framed {
            stream.write_all(b"0\r\n\r\n")?;
            return Ok(true);
        }
        say(&format!("{} ends {attempt} with its channel", self.name));
        stream.shutdown(std::net::Shutdown::Both)?;
        Ok(false)
    }
}
