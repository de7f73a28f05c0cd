//! Callers that do not read the answers of a server.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use tealturn::http::{
    server::{self, Body, Handler},
    stall::STALL_LIMIT,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::{CancellationToken, DropGuard};

const PIECE: &[u8] = &[b'x'; 4_096];

/// The bytes that a connection may take of an answer that is not read: socket buffers of both sides, and
/// what the server has ready.
const MAX_UNREAD_BYTES: usize = 4 * 1024 * 1024;

/// Added to times that are measured on a busy machine.
const MARGIN: Duration = Duration::from_millis(1_000);

/// Answers without end, and whether each has been given up.
#[derive(Default)]
struct Endless {
    is_given_up: Arc<AtomicBool>,
}

struct Flag(Arc<AtomicBool>);

impl Drop for Flag {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[async_trait]
impl Handler for Endless {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/whole" {
            let whole = PIECE.repeat(2 * MAX_UNREAD_BYTES / PIECE.len());
            return server::answer(StatusCode::OK, "text/plain", whole);
        }
        if request.uri().path() == "/short" {
            return server::answer(StatusCode::OK, "text/plain", PIECE);
        }
        let flag = Flag(self.is_given_up.clone());
        let pieces = futures::stream::repeat(()).map(move |()| {
            let _flag = &flag;
            Ok::<_, Infallible>(Frame::data(Bytes::from_static(PIECE)))
        });
        let body = StreamBody::new(pieces).map_err(|never| match never {});
        Response::new(BodyExt::boxed(body))
    }
}

struct Scene {
    handler: Arc<Endless>,
    address: SocketAddr,
    _stop: DropGuard,
}

async fn scene() -> Scene {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (handler, stop) = (Arc::new(Endless::default()), CancellationToken::new());
    tokio::spawn(server::serve(listener, handler.clone(), stop.clone()));
    Scene { handler, address, _stop: stop.drop_guard() }
}

async fn ask(address: SocketAddr, path: &str) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.expect("a connection");
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    caller.write_all(request.as_bytes()).await.expect("sent");
    caller
}

/// Guards against answers that are held for callers that don't read them, and so keep memory and a run at
/// an upstream.
#[tokio::test]
async fn the_connection_of_a_caller_that_does_not_read_is_closed() {
    let scene = scene().await;
    let start = Instant::now();
    let mut caller = ask(scene.address, "/").await;
    while !scene.handler.is_given_up.load(Ordering::Relaxed) {
        assert!(start.elapsed() < STALL_LIMIT + MARGIN, "held after {:?}", start.elapsed());
        time::sleep(Duration::from_millis(10)).await;
    }
    assert!(start.elapsed() >= STALL_LIMIT, "cut after {:?}", start.elapsed());
    let mut got = Vec::new();
    let _ = caller.read_to_end(&mut got).await;
    assert!(got.len() < MAX_UNREAD_BYTES, "{} bytes were on the way", got.len());
    assert!(!got.ends_with(b"\r\n0\r\n\r\n"), "the answer looks complete");
}

/// Guards against whole answers that are held for callers that don't read them.
#[tokio::test]
async fn a_whole_answer_that_is_not_read_is_cut() {
    let scene = scene().await;
    let mut caller = ask(scene.address, "/whole").await;
    time::sleep(STALL_LIMIT + MARGIN).await;
    let mut got = Vec::new();
    let _ = caller.read_to_end(&mut got).await;
    assert!(got.len() < MAX_UNREAD_BYTES, "{} bytes arrived", got.len());
}

/// Guards against slow but healthy callers whose answers are cut.
#[tokio::test]
async fn a_caller_that_reads_slowly_is_not_cut() {
    const READ_BYTES: usize = 32 * 1024;
    let scene = scene().await;
    let mut caller = ask(scene.address, "/").await;
    let start = Instant::now();
    let mut piece = vec![0; READ_BYTES];
    while start.elapsed() < 3 * STALL_LIMIT {
        time::sleep(STALL_LIMIT / 4).await;
        caller.read_exact(&mut piece).await.expect("more of the answer");
    }
    assert!(!scene.handler.is_given_up.load(Ordering::Relaxed));
}

/// Guards against requests that are cut off by a planned stop although they arrived before it: their
/// connections were not accepted yet, or had brought no request when the stop began.
#[tokio::test]
async fn requests_that_arrived_before_a_stop_are_answered() {
    const CALLERS: usize = 50;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let callers = (0..CALLERS).map(|_| {
        use std::io::Write;
        let mut caller = std::net::TcpStream::connect(address).expect("a connection");
        caller.write_all(b"GET /short HTTP/1.1\r\nhost: a\r\n\r\n").expect("sent");
        caller.set_nonblocking(true).expect("set");
        caller
    });
    let callers: Vec<_> = callers.collect();
    stop.cancel();
    let serving = tokio::spawn(server::serve(listener, Arc::new(Endless::default()), stop));
    let answers = callers.into_iter().enumerate().map(|(number, caller)| async move {
        let mut caller = TcpStream::from_std(caller).expect("a stream");
        let mut got = Vec::new();
        caller.read_to_end(&mut got).await.unwrap_or_else(|it| panic!("caller {number}: {it}"));
        assert!(got.starts_with(b"HTTP/1.1 200"), "caller {number} got {} bytes", got.len());
        assert!(got.len() > PIECE.len(), "caller {number} got {} bytes", got.len());
    });
    futures::future::join_all(answers).await;
    time::timeout(MARGIN, serving).await.expect("an end").expect("no panic");
}
