//! Connections between daemons: one h2 stream each, which carries `tarpc` calls.
//!
//! The caller names the newest protocol that it speaks in a header of the stream, and the answer's head names
//! the one that both speak. A daemon that names none speaks the first one.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri};
use serde::{Deserialize, Serialize};
use tarpc::{
    serde_transport,
    tokio_serde::{Deserializer, Serializer, formats::Bincode},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{Error, Result, fleet::stream::Stream};

/// The time in which a connection to a daemon must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes that a frame between daemons may have: room for a whole configuration.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Connections that a daemon accepts from others.
const MAX_CONNECTIONS: usize = 1_024;

/// A connection is closed after this time, whether it is used or went silent; the other side
/// opens a new one when it needs one.
const MAX_AGE: Duration = Duration::from_secs(300);

/// The header that names a protocol.
const PROTOCOL_HEADER: &str = "tealturn-protocol";

/// The protocol of daemons that name none.
const FIRST_PROTOCOL: u32 = 1;

/// Lays out the messages of one connection.
pub trait Codec {
    /// The newest protocol that it speaks.
    const NEWEST: u32;

    /// The codec of a connection on which both sides speak `protocol`, from the first to the newest.
    fn speaking(protocol: u32) -> Self;
}

impl<Received, Sent> Codec for Bincode<Received, Sent> {
    const NEWEST: u32 = FIRST_PROTOCOL;

    fn speaking(_: u32) -> Bincode<Received, Sent> {
        Bincode::default()
    }
}

/// Carries messages of type `Sent` to the other side, and of type `Received` from it.
pub type Transport<Received, Sent, Layout = Bincode<Received, Sent>> =
    serde_transport::Transport<Stream, Received, Sent, Layout>;

/// Opens a connection to a daemon.
///
/// # Errors
///
/// [`Error::Connect`] if it does not open in time.
pub async fn connect<Received, Sent, Layout>(
    address: SocketAddr,
    path: &str,
) -> Result<Transport<Received, Sent, Layout>>
where
    Received: for<'de> Deserialize<'de>,
    Sent: Serialize,
    Layout: Codec + Deserializer<Received> + Serializer<Sent>,
{
    let refused = |source| Error::Connect { address, source };
    let (stream, protocol) = time::timeout(CONNECT_TIMEOUT, open(address, path, Layout::NEWEST))
        .await
        .map_err(|elapsed| refused(elapsed.into()))?
        .map_err(refused)?;
    Ok(serde_transport::new(codec().new_framed(stream), Layout::speaking(protocol)))
}

/// The protocol that both sides speak, by the headers of the other one.
fn agreed(headers: &HeaderMap, newest: u32) -> u32 {
    let named = headers.get(PROTOCOL_HEADER).and_then(|it| it.to_str().ok()?.parse().ok());
    named.unwrap_or(FIRST_PROTOCOL).clamp(FIRST_PROTOCOL, newest)
}

async fn open(address: SocketAddr, path: &str, newest: u32) -> std::io::Result<(Stream, u32)> {
    let other = std::io::Error::other;
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = h2::client::handshake(socket).await.map_err(other)?;
    // Its end shows on the stream.
    tokio::spawn(async move { drop(connection.await) });
    let mut sender = sender.ready().await.map_err(other)?;
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(std::io::Error::other)?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    request.headers_mut().insert(PROTOCOL_HEADER, HeaderValue::from(newest));
    let (response, send) = sender.send_request(request, false).map_err(other)?;
    let response = response.await.map_err(other)?;
    let protocol = agreed(response.headers(), newest);
    Ok((Stream::new(send, response.into_body()), protocol))
}

/// Answers other daemons until `stop`: `answer` handles the calls of one connection.
pub async fn serve<Received, Sent, Layout, Answer, Answered>(
    listener: TcpListener,
    answer: Answer,
    stop: CancellationToken,
) where
    Received: for<'de> Deserialize<'de> + Send + 'static,
    Sent: Send + Serialize + 'static,
    Layout: Codec + Deserializer<Received> + Send + Serializer<Sent> + 'static,
    Answer: Fn(Transport<Received, Sent, Layout>) -> Answered + Clone + Send + Sync + 'static,
    Answered: Future<Output = ()> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((socket, _)) = accepted else { continue };
        // Beyond the limit a connection is closed at once.
        let Ok(permit) = room.clone().try_acquire_owned() else {
            continue;
        };
        let (answer, stop) = (answer.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = time::timeout(MAX_AGE, accept(socket, answer)) => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}

async fn accept<Received, Sent, Layout, Answer, Answered>(
    socket: TcpStream,
    answer: Answer,
) -> Result<(), h2::Error>
where
    Received: for<'de> Deserialize<'de>,
    Sent: Serialize,
    Layout: Codec + Deserializer<Received> + Serializer<Sent>,
    Answer: Fn(Transport<Received, Sent, Layout>) -> Answered,
    Answered: Future<Output = ()> + Send + 'static,
{
    if socket.set_nodelay(true).is_err() {
        return Ok(());
    }
    let mut connection = h2::server::Builder::new()
        .max_concurrent_streams(1)
        .handshake::<_, bytes::Bytes>(socket)
        .await?;
    let mut calls = tokio::task::JoinSet::new();
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let protocol = agreed(request.headers(), Layout::NEWEST);
        let mut response = Response::new(());
        response.headers_mut().insert(PROTOCOL_HEADER, HeaderValue::from(protocol));
        let send = respond.send_response(response, false)?;
        let stream = Stream::new(send, request.into_body());
        let transport =
            serde_transport::new(codec().new_framed(stream), Layout::speaking(protocol));
        calls.spawn(answer(transport));
    }
    Ok(())
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
