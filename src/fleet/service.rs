//! The calls between daemons, by `tarpc` over h2 with `bincode`.

// The service macro writes items of its own without documentation.
#![allow(missing_docs)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures::StreamExt;
use http::{Method, Request, Response, Uri};
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::{codec::LengthDelimitedCodec, sync::CancellationToken};

use crate::{
    Error, Result,
    fleet::{
        message::{Envelope, Refusal},
        stream::Stream,
    },
};

/// The time in which a connection to a daemon must open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes that a frame between daemons may have: room for a whole configuration.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Connections that a daemon accepts from others.
const MAX_CONNECTIONS: usize = 1_024;

/// Calls of one connection that are answered at once.
const MAX_CALLS: usize = 16;

/// A connection is closed after this time, whether it is used or went silent; the other side
/// opens a new one when it needs one.
const MAX_AGE: Duration = Duration::from_secs(300);

/// The calls of one daemon to another.
#[tarpc::service]
pub trait Exchange {
    /// Sends a message and is answered by one.
    async fn exchange(envelope: Envelope) -> Result<Envelope, Refusal>;
    /// Asks for the changes of the configuration after a revision.
    async fn update(envelope: Envelope) -> Result<Envelope, Refusal>;
}

/// Answers the calls of other daemons.
#[async_trait]
pub trait Handler: Send + Sync {
    /// As [`Exchange::exchange`].
    async fn exchange(&self, envelope: Envelope) -> Result<Envelope, Refusal>;
    /// As [`Exchange::update`].
    async fn update(&self, envelope: Envelope) -> Result<Envelope, Refusal>;
}

#[derive(Clone)]
struct Server(Arc<dyn Handler>);

impl Exchange for Server {
    async fn exchange(self, _: context::Context, envelope: Envelope) -> Result<Envelope, Refusal> {
        self.0.exchange(envelope).await
    }

    async fn update(self, _: context::Context, envelope: Envelope) -> Result<Envelope, Refusal> {
        self.0.update(envelope).await
    }
}

/// Opens a connection to a daemon.
///
/// # Errors
///
/// [`Error::Connect`] if it does not open in time.
pub async fn connect(address: SocketAddr) -> Result<ExchangeClient> {
    let refused = |source| Error::Connect { address, source };
    time::timeout(CONNECT_TIMEOUT, open(address))
        .await
        .map_err(|elapsed| refused(elapsed.into()))?
        .map_err(refused)
}

async fn open(address: SocketAddr) -> std::io::Result<ExchangeClient> {
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
        .path_and_query("/exchange")
        .build()
        .map_err(std::io::Error::other)?;
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    let (response, send) = sender.send_request(request, false).map_err(other)?;
    let receive = response.await.map_err(other)?.into_body();
    let transport = tarpc::serde_transport::new(
        codec().new_framed(Stream::new(send, receive)),
        Bincode::default(),
    );
    Ok(ExchangeClient::new(client::Config::default(), transport).spawn())
}

/// Answers other daemons until `stop`.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
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
        let (server, stop) = (Server(handler.clone()), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = time::timeout(MAX_AGE, answer(socket, server)) => {}
                () = stop.cancelled() => {}
            }
            drop(permit);
        });
    }
}

async fn answer(socket: TcpStream, server: Server) -> Result<(), h2::Error> {
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
        let transport = tarpc::serde_transport::new(codec().new_framed(stream), Bincode::default());
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(server.clone().serve());
        calls.spawn(async move {
            let calls = requests.for_each_concurrent(MAX_CALLS, |call| call);
            calls.await;
        });
    }
    Ok(())
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}
