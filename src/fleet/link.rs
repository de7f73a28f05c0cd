//! The connections of a daemon to others. One that gives no answer is dropped, and the next call
//! opens a new one.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tarpc::{client::RpcError, context};
use tokio::time;

use crate::{
    Error, Result,
    collections::Map,
    fleet::{
        message::{Envelope, Refusal},
        service::{self, ExchangeClient},
    },
    kernel::clock::Time,
};

/// The longest wait for the answer to a message.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The longest wait for a configuration.
pub const UPDATE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// A connection that is not used for this long is closed.
const IDLE: Duration = Duration::from_secs(30);

/// The connections to other daemons, by address.
#[derive(Default)]
pub struct Links(Mutex<Map<SocketAddr, Link>>);

struct Link {
    client: ExchangeClient,
    used: Time,
}

/// The call of a daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// [`service::Exchange::exchange`].
    Exchange,
    /// [`service::Exchange::update`].
    Update,
}

impl Links {
    /// Calls the daemon at an address.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, [`Error::NoResponse`] if there was no answer in
    /// time, [`Error::Refused`] if the daemon did not take the message.
    pub async fn call(
        &self,
        now: Time,
        address: SocketAddr,
        call: Call,
        envelope: Envelope,
    ) -> Result<Envelope> {
        let client = match self.take(now, address) {
            Some(client) => client,
            None => self.open(now, address).await?,
        };
        let answer = perform(&client, call, envelope).await;
        if !matches!(answer, Some(Ok(_))) {
            self.lock().remove(&address);
        }
        let lost = |reason: String| Error::NoResponse { address, reason };
        match answer {
            Some(Ok(Ok(envelope))) => Ok(envelope),
            Some(Ok(Err(refusal))) => Err(Error::Refused { address, reason: refusal.to_string() }),
            Some(Err(error)) => Err(lost(error.to_string())),
            None => Err(lost("the connection is silent".to_owned())),
        }
    }

    /// Closes the connections that were not used lately.
    pub fn close_idle(&self, now: Time) {
        self.lock().retain(|_, it| now.since(it.used) < IDLE);
    }

    fn take(&self, now: Time, address: SocketAddr) -> Option<ExchangeClient> {
        let mut links = self.lock();
        let link = links.get_mut(&address)?;
        link.used = now;
        Some(link.client.clone())
    }

    async fn open(&self, now: Time, address: SocketAddr) -> Result<ExchangeClient> {
        let client = service::connect(address).await?;
        let link = Link { client: client.clone(), used: now };
        self.lock().insert(address, link);
        Ok(client)
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Link>> {
        self.0.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// `None` if there was no answer in time.
async fn perform(
    client: &ExchangeClient,
    call: Call,
    envelope: Envelope,
) -> Option<Result<Result<Envelope, Refusal>, RpcError>> {
    let context = context::current();
    match call {
        Call::Exchange => {
            let answer = client.exchange(context, envelope);
            time::timeout(ANSWER_TIMEOUT, answer).await.ok()
        }
        Call::Update => {
            let answer = client.update(context, envelope);
            time::timeout(UPDATE_TIMEOUT, answer).await.ok()
        }
    }
}
