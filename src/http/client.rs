//! Sends HTTP/1.1 requests, each exactly once.
//!
//! `hyper-util`'s pooled client repeats some requests by itself, which would break at-most-once
//! execution. This one tells instead whether a request may have reached the other side:
//! [`Error::Connect`] means that no byte of it was sent, [`Error::NoResponse`] that it may have
//! been.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    client::conn::http1::SendRequest,
    header,
};
use hyper_util::rt::TokioIo;
use metrics::counter;
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    Error, Result,
    collections::Map,
    http::memory::{Buffer, Memory},
};

/// The time in which a connection must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle connections kept for each address.
const IDLE_PER_ADDRESS: usize = 32;

/// How long an idle connection is kept if the other side does not say how long it keeps it.
const IDLE_LONGEST: Duration = Duration::from_secs(10);

/// The part of the time that the other side keeps an idle connection for which it is used: the
/// rest covers the way there.
const IDLE_USED: f64 = 0.5;

/// Bytes that are not acknowledged for this long break a connection that has gone silent.
const UNACKNOWLEDGED_LONGEST: Duration = Duration::from_secs(3);

/// The time between probes of a silent connection; [`KEEPALIVE_PROBES`] lost ones break it.
const KEEPALIVE_EVERY: Duration = Duration::from_secs(1);

/// Lost probes that break a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Bytes of all answers that are read at the same time, unless the memory is bounded.
const DEFAULT_MEMORY_BYTES: usize = 64 * 1024 * 1024;

/// The part of a bounded memory that one answer may take.
const ANSWERS_PER_MEMORY: usize = 8;

/// Bytes of an answer's head. The HTTP library reads no more than this ahead of a body's reader.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The highest status that an answer may have (RFC 9110, 15).
const MAX_STATUS: u16 = 599;

/// Bytes of a body that are quoted in an error.
const MAX_QUOTE_BYTES: usize = 512;

type Sender = SendRequest<Full<Bytes>>;

/// Opens TCP connections.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection.
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream>;
}

/// Opens connections directly.
struct Direct;

#[async_trait]
impl Connector for Direct {
    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

/// Connections to other processes.
pub struct Client {
    connector: Arc<dyn Connector>,
    idle: Mutex<Map<SocketAddr, Vec<Connection>>>,
    memory: Arc<Memory>,
    max_answer_bytes: usize,
}

impl Default for Client {
    fn default() -> Client {
        Client {
            connector: Arc::new(Direct),
            idle: Mutex::default(),
            memory: Memory::new(DEFAULT_MEMORY_BYTES),
            max_answer_bytes: DEFAULT_MEMORY_BYTES,
        }
    }
}

/// What became of an attempt to open a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// It opened.
    Open,
    /// The other side refused it, or there is no way there.
    Refused,
    /// Nothing came in time.
    Silent,
}

/// Whether a request may be sent on a connection that has carried another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// It may not.
    Forbidden,
}

/// An open connection; dropping it resets it.
struct Connection {
    sender: Sender,
    /// Drives the connection.
    _task: AbortOnDropHandle<()>,
    /// When the other side may close it, if it is idle until then.
    until: Instant,
}

/// An answer whose body is still to be read. Dropping it resets its connection.
pub struct Answer {
    /// Status, headers and body.
    pub response: Response<Incoming>,
    address: SocketAddr,
    connection: Connection,
    is_reused: bool,
}

impl Answer {
    /// Whether its connection had carried an earlier request. The answer to that one may come once more.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// The same as a label.
    pub fn connection(&self) -> &'static str {
        if self.is_reused { "reused" } else { "new" }
    }

    /// Counts an answer that belongs to another request.
    pub fn count_foreign(&self) {
        counter!("tealturn_foreign_answers_total", "connection" => self.connection()).increment(1);
    }

    /// Whether the answer tells where its body ends, by a length or in chunks. Otherwise the body ends
    /// with the connection, as it also does when the sender crashes.
    pub fn is_framed(&self) -> bool {
        // An answer that can't have a body has an exact size, too.
        let has_length = self.response.body().size_hint().exact().is_some();
        has_length || transfer_codings(&self.response).last().is_some_and(is_chunked)
    }

    /// Whether the body has a transfer coding besides chunks. No request here allows one.
    pub fn has_foreign_coding(&self) -> bool {
        transfer_codings(&self.response).any(|it| !is_chunked(it))
    }
}

impl Client {
    /// A client without connections.
    pub fn new() -> Client {
        Client::default()
    }

    /// A client that opens its connections by `connector`.
    pub fn with_connector(connector: Arc<dyn Connector>) -> Client {
        Client { connector, ..Client::default() }
    }

    /// A client without connections whose answers take `bytes` of memory at most, all together. One of
    /// them may take an eighth of that.
    pub fn bounded(bytes: usize) -> Client {
        Client::with_limits(bytes, bytes / ANSWERS_PER_MEMORY)
    }

    /// A client without connections whose answers take `bytes` of memory at most, all together, and
    /// `answer_bytes` each.
    pub fn with_limits(bytes: usize, answer_bytes: usize) -> Client {
        Client { memory: Memory::new(bytes), max_answer_bytes: answer_bytes, ..Client::default() }
    }

    /// The memory that answers take.
    pub fn memory(&self) -> &Arc<Memory> {
        &self.memory
    }

    /// Sends a request on an idle connection or a new one and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, [`Error::NoResponse`] if the request may have
    /// arrived.
    pub async fn send(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer> {
        self.send_if(address, request, Reuse::Allowed, || true).await
    }

    /// Sends a request over a new connection, since an idle one may have gone silent.
    ///
    /// # Errors
    ///
    /// As [`Client::send`].
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer> {
        self.send_if(address, request, Reuse::Forbidden, || true).await
    }

    /// Sends a request unless `may_send` denies it once a new connection is open, which may take
    /// [`CONNECT_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; [`Error::Withheld`] if it was denied.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        reuse: Reuse,
        may_send: impl Fn() -> bool,
    ) -> Result<Answer> {
        let lost = |error: hyper::Error| Error::NoResponse { address, reason: error.to_string() };
        let idle = match reuse {
            Reuse::Allowed => self.take(address),
            Reuse::Forbidden => None,
        };
        if let Some(mut connection) = idle {
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    check_status(address, &response)?;
                    return Ok(Answer { response, address, connection, is_reused: true });
                }
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before the request was written to it.
                    Some(unsent) => request = unsent,
                    None => return Err(lost(error.into_error())),
                },
            }
        }
        let mut connection = self.connect(address).await?;
        if !may_send() {
            return Err(Error::Withheld { address });
        }
        let response = connection.sender.send_request(request).await.map_err(lost)?;
        check_status(address, &response)?;
        Ok(Answer { response, address, connection, is_reused: false })
    }

    /// Sends a request and reads the whole answer, which must have a status of 2xx.
    ///
    /// # Errors
    ///
    /// As [`Client::send`]; [`Error::Status`] for any other status.
    pub async fn fetch(&self, address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Bytes> {
        let answer = self.send(address, request).await?;
        self.finish_success(answer).await
    }

    /// Reads the rest of an answer, which must have a status of 2xx.
    ///
    /// # Errors
    ///
    /// As [`Client::finish`]; [`Error::Status`] for any other status.
    pub async fn finish_success(&self, answer: Answer) -> Result<Bytes> {
        let (status, address) = (answer.response.status(), answer.address);
        let body = self.finish(answer).await?;
        if status.is_success() {
            return Ok(body);
        }
        let quote = &body[..body.len().min(MAX_QUOTE_BYTES)];
        let body = String::from_utf8_lossy(quote).into_owned();
        Err(Error::Status { address, status: status.as_u16(), body })
    }

    /// Sends `GET path` and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// As [`Client::fetch`]; [`Error::Malformed`] for an answer of another shape.
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        let request = request("GET", address, path, Bytes::new())?;
        decode(&self.fetch(address, request).await?)
    }

    /// Sends `POST path` with a JSON body and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn post<B: Serialize + ?Sized, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(|error| malformed(&error))?;
        let request = request("POST", address, path, Bytes::from(body))?;
        decode(&self.fetch(address, request).await?)
    }

    /// Reads the rest of an answer and keeps the connection for later requests.
    ///
    /// # Errors
    ///
    /// [`Error::NoResponse`] if the answer broke off, [`Error::Oversized`] if there is no memory for
    /// it.
    pub async fn finish(&self, answer: Answer) -> Result<Bytes> {
        self.finish_unless_stalled(answer, Duration::MAX).await
    }

    /// The same, unless no byte arrives for `stall`.
    ///
    /// # Errors
    ///
    /// As [`Client::finish`]; [`Error::NoResponse`] also if the answer stalled.
    pub async fn finish_unless_stalled(&self, answer: Answer, stall: Duration) -> Result<Bytes> {
        let Answer { response, address, connection, .. } = answer;
        let kept = idle_time(&response);
        let mut body = response.into_body();
        let mut whole = Buffer::new(self.memory.hold(), self.max_answer_bytes);
        let stalled = |_| {
            let reason = format!("the body stalled for {stall:?}");
            Error::NoResponse { address, reason }
        };
        while let Some(frame) = time::timeout(stall, body.frame()).await.map_err(stalled)? {
            let frame = frame.map_err(|error| {
                let reason = error.to_string();
                Error::NoResponse { address, reason }
            })?;
            let Some(bytes) = frame.data_ref() else { continue };
            if !whole.push(bytes) {
                let (limit, used) = (self.max_answer_bytes, self.memory.used());
                return Err(Error::Oversized { address, limit, used });
            }
        }
        self.keep(address, connection, kept);
        Ok(whole.finish())
    }

    /// Keeps the connection of an answer whose body was read to its end elsewhere.
    pub fn release(&self, answer: Answer) {
        let kept = idle_time(&answer.response);
        self.keep(answer.address, answer.connection, kept);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection> {
        connect(&*self.connector, address).await
    }

    /// Whether a connection to `address` opens within `timeout`. It is closed at once.
    pub async fn opens(&self, address: SocketAddr, timeout: Duration) -> bool {
        self.probe(address, timeout).await == Probe::Open
    }

    /// Tries to open a connection to `address`, which is closed at once.
    pub async fn probe(&self, address: SocketAddr, timeout: Duration) -> Probe {
        match time::timeout(timeout, self.connector.connect(address)).await {
            Ok(Ok(_)) => Probe::Open,
            Ok(Err(_)) => Probe::Refused,
            Err(_) => Probe::Silent,
        }
    }

    /// Closes the idle connections to an address, for instance after one went silent.
    pub fn forget(&self, address: SocketAddr) {
        self.idle().remove(&address);
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(connection) = connections.pop() {
            if connection.sender.is_ready() && now < connection.until {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    fn keep(&self, address: SocketAddr, mut connection: Connection, kept: Duration) {
        if connection.sender.is_closed() || kept.is_zero() {
            return;
        }
        connection.until = Instant::now() + kept;
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        if connections.len() < IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// Checks that the status of an answer is one. The HTTP library takes any number of three digits from 100 on.
fn check_status<B>(address: SocketAddr, response: &Response<B>) -> Result<()> {
    let status = response.status().as_u16();
    if status <= MAX_STATUS {
        return Ok(());
    }
    counter!("tealturn_invalid_statuses_total").increment(1);
    let reason = format!("the status {status} is none: 100 to {MAX_STATUS} was expected");
    Err(Error::NoResponse { address, reason })
}

/// The transfer codings of a body in the order in which they were applied.
fn transfer_codings<B>(response: &Response<B>) -> impl Iterator<Item = &[u8]> {
    let values = response.headers().get_all(header::TRANSFER_ENCODING).iter();
    let codings = values.flat_map(|it| it.as_bytes().split(|it| *it == b','));
    codings.map(<[u8]>::trim_ascii).filter(|it| !it.is_empty())
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.eq_ignore_ascii_case(b"chunked")
}

/// How long the connection of an answer may be used after it.
fn idle_time<B>(response: &Response<B>) -> Duration {
    let header = response.headers().get("keep-alive").and_then(|it| it.to_str().ok());
    let mut fields = header.unwrap_or_default().split(',');
    let timeout = fields.find_map(|it| it.trim().strip_prefix("timeout="));
    match timeout.and_then(|it| it.parse().ok()) {
        Some(seconds) => Duration::from_secs(seconds).mul_f64(IDLE_USED),
        None => IDLE_LONGEST,
    }
}

/// Builds a request with a `Host` header and, if there is a body, JSON as its type.
///
/// # Errors
///
/// [`Error::Malformed`] if `path` is no valid path.
pub fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    let mut builder =
        Request::builder().method(method).uri(path).header("host", address.to_string());
    if !body.is_empty() {
        builder = builder.header("content-type", "application/json");
    }
    builder
        .body(Full::new(body))
        .map_err(|error| Error::Malformed { kind: "request", reason: error.to_string() })
}

async fn connect(connector: &dyn Connector, address: SocketAddr) -> Result<Connection> {
    let refused = |source| Error::Connect { address, source };
    let stream = time::timeout(CONNECT_TIMEOUT, connector.connect(address))
        .await
        .map_err(|elapsed| refused(elapsed.into()))?
        .map_err(refused)?;
    prepare(&stream).map_err(refused)?;
    let (sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| refused(std::io::Error::other(error)))?;
    // The error, if any, reaches the sender of the request.
    let task = tokio::spawn(async move { drop(connection.await) });
    Ok(Connection { sender, _task: AbortOnDropHandle::new(task), until: Instant::now() })
}

/// Lets small writes leave at once, a connection that has gone silent break, and one that is closed
/// take what it has not delivered with it.
fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Without a reset the kernel goes on to send a request that was given up, for as long as a lost path
    // takes to come back.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LONGEST))?;
    let probes = TcpKeepalive::new().with_time(KEEPALIVE_EVERY);
    socket.set_tcp_keepalive(&probes.with_interval(KEEPALIVE_EVERY).with_retries(KEEPALIVE_PROBES))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| malformed(&error))
}

fn malformed(error: &serde_json::Error) -> Error {
    Error::Malformed { kind: "JSON body", reason: error.to_string() }
}
