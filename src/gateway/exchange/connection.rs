//! Connections for calls to single daemons, apart from the messages of the tree.

use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};

use tarpc::{client::RpcError, context as call};
use tokio::{
    sync::{Mutex, OnceCell},
    time,
};

use crate::{
    collections::Map,
    gateway::exchange::{self, ExchangeClient},
};

/// Number of open connections at which all are closed: there are as many as hubs at most.
const MAX_CONNECTIONS: usize = 64;

/// A connection that is open or being opened.
type Connection = Arc<OnceCell<ExchangeClient>>;

/// Connections to other daemons.
#[derive(Default)]
pub struct Connections(Mutex<Map<SocketAddr, Connection>>);

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
        let connection = self.connection(address).await;
        let answered = async {
            let client =
                connection.get_or_try_init(|| exchange::connect(address)).await.ok()?.clone();
            make(client, call::current()).await.ok()
        };
        let answer = time::timeout(timeout, answered).await.ok().flatten();
        if answer.is_none() {
            self.close(address, &connection).await;
        }
        answer
    }

    /// The connection to a daemon. Calls that need it while it opens wait for the same one.
    async fn connection(&self, address: SocketAddr) -> Connection {
        let mut connections = self.0.lock().await;
        if connections.len() >= MAX_CONNECTIONS && !connections.contains_key(&address) {
            connections.clear();
        }
        connections.entry(address).or_default().clone()
    }

    /// Closes a connection that may have gone silent, unless another one has replaced it.
    async fn close(&self, address: SocketAddr, connection: &Connection) {
        let mut connections = self.0.lock().await;
        if connections.get(&address).is_some_and(|it| Arc::ptr_eq(it, connection)) {
            connections.remove(&address);
        }
    }
}
