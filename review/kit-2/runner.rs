//! A model runner, or a plain one: a process of its own, which can be killed. It writes a line to its
//! standard output for each request that it begins, and for each that it ends.

use std::{
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::http::{self, Request};

/// How a runner behaves.
#[derive(Clone, Copy, Debug)]
pub struct Manner {
    /// How long an answer takes, in milliseconds.
    pub answer_ms: u64,
    /// Whether answers come in chunks; otherwise they have neither a length nor chunks.
    pub is_chunked: bool,
    /// The part of prompts on which it crashes.
    pub poison: Option<u64>,
}

impl Manner {
    /// The same as arguments of the process.
    pub fn arguments(&self) -> [String; 3] {
        let poison = self.poison.map_or("-".to_owned(), |it| format!("{it:x}"));
        [self.answer_ms.to_string(), self.is_chunked.to_string(), poison]
    }

    fn parse(texts: &[&str]) -> Option<Manner> {
        let [answer_ms, is_chunked, poison] = texts else { return None };
        let (answer_ms, is_chunked) = (answer_ms.parse().ok()?, is_chunked.parse().ok()?);
        Some(Manner { answer_ms, is_chunked, poison: u64::from_str_radix(poison, 16).ok() })
    }
}

struct Runner {
    id: String,
    version: String,
    manner: Manner,
    is_leaving: AtomicBool,
}

/// One piece of a stream.
fn piece(number: u64, version: &str, id: &str) -> String {
    format!("id: {number}\ndata: {version} {id} {number}\n\n")
}

pub fn run(address: &str, id: &str, version: &str, manner: &[&str]) -> ExitCode {
    let (Ok(listener), Some(manner)) = (TcpListener::bind(address), Manner::parse(manner)) else {
        return ExitCode::from(2);
    };
    let (id, version) = (id.to_owned(), version.to_owned());
    let runner = Arc::new(Runner { id, version, manner, is_leaving: AtomicBool::new(false) });
    println!("listening");
    let shared = runner.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = shared.clone();
            thread::spawn(move || runner.serve(stream));
        }
    });
    // It ends with its parent, which holds the other end of its standard input.
    let mut line = String::new();
    while std::io::stdin().read_line(&mut line).is_ok_and(|it| it > 0) {
        if line.trim() == "leave" {
            runner.is_leaving.store(true, Ordering::Relaxed);
        }
        line.clear();
    }
    ExitCode::SUCCESS
}

impl Runner {
    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        while let Some(request) = http::read_request(&mut reader) {
            match request.path() {
                "/healthz" => {
                    let headers = format!("X-Tealturn-Instance-Id: {}\r\n", self.id);
                    http::answer(&mut stream, 200, &headers, "")?;
                }
                "/tealturn/report" => {
                    let body = "{\"stage\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,\
                                \"adapters\":[]}],\"busy\":false,\"sequence\":0,\"queued\":0,\
                                \"running\":0,\"kv_used\":0,\"kv_total\":115005,\"handles\":0}";
                    http::answer(&mut stream, 200, "Content-Type: application/json\r\n", body)?;
                }
                "/open/2f" | "/save/2f" => self.answer(&request, &mut stream)?,
                _ => {
                    self.stream(&request, &mut stream)?;
                    if !self.manner.is_chunked {
                        // The answer ends with its channel.
                        return None;
                    }
                }
            }
        }
        Some(())
    }

    /// Answers a plain request.
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> Option<()> {
        let attempt = request.header("x-tealturn-request-attempt").unwrap_or_default();
        let echo = format!("X-Tealturn-Request-Attempt: {attempt}\r\n");
        if request.header("x-tealturn-expect-instance").is_some_and(|it| it != self.id) {
            let headers = format!("{echo}X-Tealturn-Not-Executed: 1\r\n");
            return http::answer(stream, 421, &headers, "");
        }
        println!("run {attempt}");
        thread::sleep(Duration::from_millis(self.manner.answer_ms));
        let headers = format!("{echo}X-Tealturn-Server-Seal: {}.{attempt}\r\n", self.id);
        http::answer(stream, 200, &headers, &"x".repeat(800))
    }

    /// Answers with a stream.
    fn stream(&self, request: &Request, stream: &mut TcpStream) -> Option<()> {
        let attempt = request.header("x-tealturn-request-attempt").unwrap_or_default().to_owned();
        if request.header("x-tealturn-expect-instance").is_some_and(|it| it != self.id) {
            let headers =
                format!("X-Tealturn-Request-Attempt: {attempt}\r\nX-Tealturn-Not-Executed: 1\r\n");
            return http::answer(stream, 421, &headers, "");
        }
        let count = request.header("x-tealturn-token-count").unwrap_or_default();
        let pieces: u64 =
            count.split(',').nth(1).and_then(|it| it.trim().parse().ok()).unwrap_or(1);
        let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        println!("run {attempt} after {after}");
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let leaving = if is_leaving { "Server-Leaving: 1\r\n" } else { "" };
        let pause = Duration::from_millis(self.manner.answer_ms / pieces.max(1));
        let prompt = request.header("x-tealturn-prompt-prefix").unwrap_or_default();
        let parts: Vec<_> = prompt.split(',').filter_map(|it| it.split(':').next()).collect();
        let parts = parts.iter().map(|it| u64::from_str_radix(it.trim(), 16).ok());
        if self.manner.poison.is_some() && parts.into_iter().any(|it| it == self.manner.poison) {
            thread::sleep(pause);
            println!("crash {attempt}");
            std::process::abort();
        }
        let framing =
            if self.manner.is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             {leaving}X-Tealturn-Request-Attempt: {attempt}\r\nX-Tealturn-Server-Seal: {}.{attempt}\r\n\
             X-Tealturn-Weight-Versions: 1\r\n\r\n",
            self.id
        );
        stream.write_all(head.as_bytes()).ok()?;
        for number in after + 1..=pieces {
            thread::sleep(pause);
            let piece = piece(number, &self.version, &self.id);
            let piece = match self.manner.is_chunked {
                true => format!("{:x}\r\n{piece}\r\n", piece.len()),
                false => piece,
            };
            if stream.write_all(piece.as_bytes()).is_err() {
                println!("cut {attempt} at {number}");
                return None;
            }
        }
        if self.manner.is_chunked {
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
        println!("end {attempt}");
        Some(())
    }
}
