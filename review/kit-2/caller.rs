//! A client: sends a request and reads the whole answer.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http;

/// What a client got.
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the answer ended as a complete one.
    pub is_complete: bool,
}

impl Answer {
    /// Numbers and data of the events.
    pub fn events(&self) -> Vec<(u64, String)> {
        let mut events = Vec::new();
        for event in self.body.split("\n\n").filter(|it| !it.is_empty()) {
            let field = |name: &str| {
                let value = event.lines().find_map(|it| it.strip_prefix(name));
                value.unwrap_or_default().trim().to_owned()
            };
            events.push((field("id:").parse().unwrap_or(0), field("data:")));
        }
        events
    }
}

/// Sends a request on a new channel; nothing if there is none, or no head of an answer.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = http::read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    let is_complete = match http::find(&headers, "content-length") {
        Some(length) => {
            let length: u64 = length.parse().ok()?;
            reader.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
        }
        None => read_chunks(&mut reader, &mut body).is_some(),
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Answer { status, body, is_complete })
}

/// Reads chunks up to the last one.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
