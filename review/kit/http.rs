//! HTTP/1.1 over threads, for stand-ins and callers.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A head and what follows it on the connection.
pub struct Head {
    /// The request or status line.
    pub line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

/// Reads from a connection, byte by byte where the end is not known.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more; returns whether there was any before the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(Some(String::from_utf8_lossy(&line[..end]).into_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// The next head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let Some(field) = self.line()? else { return Ok(None) };
            if field.is_empty() {
                return Ok(Some(Head { line, headers }));
            }
            if let Some((name, value)) = field.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the body that belongs to a head into `body`; returns whether it came to its end.
    pub fn body(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<bool> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let Some(size) = self.line()? else { return Ok(false) };
                let size = size.split(';').next().unwrap_or_default().trim();
                let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(false) };
                if size == 0 {
                    return Ok(self.line()?.is_some());
                }
                let Some(bytes) = self.exactly(size)? else { return Ok(false) };
                body.extend(bytes);
                if self.line()?.is_none() {
                    return Ok(false);
                }
            }
        }
        let length = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let Some(bytes) = self.exactly(length)? else { return Ok(false) };
        body.extend(bytes);
        Ok(true)
    }
}

/// A request as it arrived.
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Serves each connection by a thread. `answer` returns whether the connection stays open.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(head)) = reader.head() {
                    let mut body = Vec::new();
                    if !reader.body(&head, &mut body).unwrap_or(false) {
                        return;
                    }
                    let mut words = head.line.split(' ').map(str::to_owned);
                    let method = words.next().unwrap_or_default();
                    let target = words.next().unwrap_or_default();
                    let request = Request { method, target, head, body };
                    let Ok(mut stream) = reader.stream.try_clone() else { return };
                    if !answer(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes an answer with a length.
pub fn reply(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<bool> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())?;
    Ok(true)
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub complete: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(address: SocketAddr, head: &str, body: &str, patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let _ = exchange(address, head, body, patience, &mut answer);
    answer
}

fn exchange(
    address: SocketAddr,
    head: &str,
    body: &str,
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_nodelay(true)?;
    let length =
        if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    stream.write_all(format!("{head}{length}\r\n{body}").as_bytes())?;
    let mut reader = Reader::new(stream);
    let Some(read) = reader.head()? else { return Ok(()) };
    answer.status = read.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    answer.headers = read.headers.clone();
    answer.complete = reader.body(&read, &mut answer.body)?;
    Ok(())
}
