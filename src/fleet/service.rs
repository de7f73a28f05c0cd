//! The calls between daemons, by `tarpc` over h2 with `bincode`.

// The service macro writes items of its own without documentation.
#![allow(missing_docs)]

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use futures::StreamExt;
use tarpc::{
    client, context,
    server::{BaseChannel, Channel},
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::{
    Result,
    fleet::{
        message::{Envelope, Refusal},
        transport::{self, Transport},
    },
};

/// The path of the streams that carry these calls.
const PATH: &str = "/exchange";

/// Calls of one connection that are answered at once.
const MAX_CALLS: usize = 16;

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
    let transport = transport::connect::<_, _, Bincode<_, _>>(address, PATH).await?;
    Ok(ExchangeClient::new(client::Config::default(), transport).spawn())
}

/// Answers other daemons until `stop`.
pub async fn serve(listener: TcpListener, handler: Arc<dyn Handler>, stop: CancellationToken) {
    let answer = move |transport: Transport<_, _>| {
        let channel = BaseChannel::with_defaults(transport);
        let requests = channel.execute(Server(handler.clone()).serve());
        requests.for_each_concurrent(MAX_CALLS, |call| call)
    };
    transport::serve(listener, answer, stop).await;
}
