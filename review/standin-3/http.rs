//! Enough of HTTP/1.1 for stand-ins and callers: one request at a time on a blocking connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head and body of a request that arrived.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A field of the query, without its escapes.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|it| it.split_once('='));
        fields.find(|(it, _)| *it == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
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

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, ahead: Vec::new() }
    }

    /// Reads more bytes; returns how many, 0 at the end.
    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..count).collect())
    }

    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            let (name, value) = line.split_once(':').ok_or_else(|| broken("a header"))?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the next chunk of a body; `None` after the last one.
    fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| broken("a chunk's size"))?;
        let bytes = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(bytes))
    }

    /// Reads the next request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        if self.ahead.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let line = self.line()?;
        let mut words = line.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        let (method, target) = (method.to_owned(), target.to_owned());
        let headers = self.headers()?;
        let mut request = Request { method, target, headers, body: Vec::new() };
        let is_chunked = request.header("transfer-encoding").is_some();
        if is_chunked {
            while let Some(chunk) = self.chunk()? {
                request.body.extend(chunk);
            }
        } else if let Some(length) = request.header("content-length") {
            let length = length.parse().map_err(|_| broken("a length"))?;
            request.body = self.exactly(length)?;
        }
        Ok(Some(request))
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// An answer as a caller got it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer ended as HTTP says that it ends.
    pub is_complete: bool,
    pub sent: Instant,
    pub head_at: Option<Instant>,
    pub ended: Instant,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The identifiers of the events of a stream, in order.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rfind("\n\n").map_or(0, |it| it + 2);
        let lines = text[..whole].lines();
        lines.filter_map(|it| it.strip_prefix("id: ")?.trim().parse().ok()).collect()
    }
}

/// Sends a request over a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> Answer {
    let sent = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: false,
        sent,
        head_at: None,
        ended: sent,
    };
    let _ = exchange(address, method, target, headers, body, patience, None, &mut answer);
    answer.ended = Instant::now();
    answer
}

/// Sends a request as [`call`] does, and breaks the channel off after a time.
pub fn call_until(
    host: &str,
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    span: Duration,
) -> Answer {
    let mut all = vec![("Host", host)];
    all.extend_from_slice(headers);
    let sent = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: false,
        sent,
        head_at: None,
        ended: sent,
    };
    let until = Some(sent + span);
    let _ = exchange(address, "POST", target, &all, body, span, until, &mut answer);
    answer.ended = Instant::now();
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
    until: Option<Instant>,
    answer: &mut Answer,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    let mut connection = Connection::new(stream);
    let mut text = format!("{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    connection.stream.write_all(&bytes)?;
    let line = connection.line()?;
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| broken("a status line"))?;
    answer.headers = connection.headers()?;
    answer.status = status;
    answer.head_at = Some(Instant::now());
    if answer.header("transfer-encoding").is_some() {
        while let Some(chunk) = connection.chunk()? {
            answer.body.extend(chunk);
            if until.is_some_and(|it| Instant::now() >= it) {
                return Ok(());
            }
        }
    } else if let Some(length) = answer.header("content-length") {
        let length = length.parse().map_err(|_| broken("a length"))?;
        answer.body = connection.exactly(length)?;
    } else {
        while connection.fill()? > 0 {}
        answer.body = std::mem::take(&mut connection.ahead);
    }
    answer.is_complete = true;
    Ok(())
}
