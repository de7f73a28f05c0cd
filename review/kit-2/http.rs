//! HTTP/1.1 over blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
};

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.find(|(it, _)| *it == name).map(|(_, value)| unescape(value))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: String = rest.by_ref().take(2).map(char::from).collect();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads the first line and the headers.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first = lines.first()?.clone();
    let headers = lines[1..].iter().filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    Some((first, headers.collect()))
}

pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(stream)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let length = find(&headers, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Request { target, headers, body })
}

/// Writes a whole answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> Option<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()
}
