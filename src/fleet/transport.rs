//! Connections between daemons: one h2 stream each, which carries `tarpc` calls with `bincode`.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use http::{Method, Request, Response, Uri};
use serde::{Deserialize, Serialize};
use tarpc::{serde_transport, tokio_serde::formats::Bincode};
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

/// Carries messages of type `Sent` to the other side, and of type `Received` from it.
pub type Transport<Received, Sent> =
    serde_transport::Transport<Stream, Received, Sent, Bincode<Received, Sent>>;

/// Opens a connection to a daemon.
///
/// # Errors
///
/// [`Error::Connect`] if it does not open in time.
pub async fn connect<Received, Sent>(
    address: SocketAddr,
    path: &str,
) -> Result<Transport<Received, Sent>>
where
    Received: for<'de> Deserialize<'de>,
    Sent: Serialize,
{
    let refused = |source| Error::Connect { address, source };
    let stream = time::timeout(CONNECT_TIMEOUT, open(address, path))
        .await
        .map_err(|elapsed| refused(elapsed.into()))?
        .map_err(refused)?;
    Ok(serde_transport::new(codec().new_framed(stream), Bincode::default()))
}

async fn open(address: SocketAddr, path: &str) -> std::io::Result<Stream> {
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
    let (response, send) = sender.send_request(request, false).map_err(other)?;
    let receive = response.await.map_err(other)?.into_body();
    Ok(Stream::new(send, receive))
}

/// Answers other daemons until `stop`: `answer` handles the calls of one connection.
pub async fn serve<Received, Sent, Answer, Answered>(
    listener: TcpListener,
    answer: Answer,
    stop: CancellationToken,
) where
    Received: for<'de> Deserialize<'de> + Send + 'static,
    Sent: Send + Serialize + 'static,
    Answer: Fn(Transport<Received, Sent>) -> Answered + Clone + Send + Sync + 'static,
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

async fn accept<Received, Sent, Answer, Answered>(
    socket: TcpStream,
    answer: Answer,
) -> Result<(), h2::Error>
where
    Received: for<'de> Deserialize<'de>,
    Sent: Serialize,
    Answer: Fn(Transport<Received, Sent>) -> Answered,
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
        let send = respond.send_response(Response::new(()), false)?;
        let stream = Stream::new(send, request.into_body());
        let transport = serde_transport::new(codec().new_framed(stream), Bincode::default());
        calls.spawn(answer(transport));
    }
    Ok(())
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
