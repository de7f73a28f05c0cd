//! Serves HTTP/1.1 on a listener.

use std::{convert::Infallible, future::Future, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

/// The body of an answer, whole or streamed.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// A sender has this long for all headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// The wait after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Headers that a request may have.
const MAX_HEADERS: usize = 64;

/// Bytes of headers that a connection buffers.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
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
        // Small pieces of an answer must leave at once.
        if stream.set_nodelay(true).is_err() {
            continue;
        }
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
    io: TokioIo<tokio::net::TcpStream>,
    handler: Arc<dyn Handler>,
    stop: CancellationToken,
) -> impl Future<Output = ()> {
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(io, service);
    async move {
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        // A caller that breaks off is counted where its request is handled.
        let _ = connection.await;
    }
}
