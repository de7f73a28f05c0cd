//! Serves HTTP/1.1 on a listener.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use futures::FutureExt;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use crate::http::stall::Stream;

/// The body of an answer, whole or streamed.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// The wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long a connection without a request is kept after the stop, for a request that was on its way.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// Headers that a request may have.
const MAX_HEADERS: usize = 64;

/// The smallest read buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// What a connection may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's headers; more are answered 431.
    pub header_bytes: usize,
    /// The time from one answer, or the connection's start, to the end of the next request's
    /// headers.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { header_bytes: 32 * 1024, idle: Duration::from_secs(10) }
    }
}

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// The limits of a new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Answers one request.
    async fn handle(&self, request: Request<Incoming>) -> Response<Body>;
}

/// Accepts connections until `stop`, then lets the requests in progress end.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = accepted else {
            // Without this, a lack of file descriptors would keep a processor busy.
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(stream) = Stream::new(stream) else { continue };
        connections.spawn(connection(TokioIo::new(stream), handler.clone(), stop.clone()));
    }
    // Connections that wait to be accepted may have brought requests. Yielding lets the runtime notice them.
    tokio::task::yield_now().await;
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        let Ok(stream) = Stream::new(stream) else { continue };
        connections.spawn(connection(TokioIo::new(stream), handler.clone(), stop.clone()));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// An answer with a whole body.
pub fn answer(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    }
    response
}

/// An answer with a JSON body.
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body),
        Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", error.to_string()),
    }
}

fn connection(
    io: TokioIo<Stream>,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) -> impl Future<Output = ()> {
    let limits = handler.limits();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_headers(MAX_HEADERS)
        .max_header_size(limits.header_bytes)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    async move {
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = stop.cancelled() => {}
        }
        tokio::select! {
            _ = connection.as_mut() => return,
            () = time::sleep(LAST_REQUEST_WAIT) => connection.as_mut().graceful_shutdown(),
        }
        // A caller that breaks off is counted where its request is handled.
        let _ = connection.await;
    }
}
