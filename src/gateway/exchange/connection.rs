//! Connections for calls to single daemons, apart from the messages of the tree.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use tarpc::{
    client::{self, RpcError},
    context as call,
};
use tokio::{
    sync::{Mutex, OnceCell},
    time,
};

use crate::{
    collections::Map,
    fleet::transport,
    gateway::exchange::{ExchangeClient, STREAM_PATH},
};

/// Number of open connections at which all are closed: there are as many as hubs at most.
const MAX_CONNECTIONS: usize = 64;

/// Open connections to other daemons, and those that are being opened.
#[derive(Default)]
pub struct Connections(Mutex<Map<SocketAddr, Arc<OnceCell<ExchangeClient>>>>);

impl Connections {
    /// Makes a call to the daemon at `address`; `None` if it isn't answered within `timeout`.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        make: impl FnOnce(ExchangeClient, call::Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let answered = async {
            let client = self.client(address).await?;
            make(client, call::current()).await.ok()
        };
        let answer = time::timeout(timeout, answered).await.ok().flatten();
        if answer.is_none() {
            // The connection may have gone silent.
            self.0.lock().await.remove(&address);
        }
        answer
    }

    /// The connection to a daemon. Calls that need it while it opens wait for the same one.
    async fn client(&self, address: SocketAddr) -> Option<ExchangeClient> {
        let connection = {
            let mut connections = self.0.lock().await;
            if connections.len() >= MAX_CONNECTIONS && !connections.contains_key(&address) {
                connections.clear();
            }
            connections.entry(address).or_default().clone()
        };
        let open = async {
            let transport = transport::connect(address, STREAM_PATH).await?;
            Ok::<_, crate::Error>(ExchangeClient::new(client::Config::default(), transport).spawn())
        };
        connection.get_or_try_init(|| open).await.ok().cloned()
    }
}
