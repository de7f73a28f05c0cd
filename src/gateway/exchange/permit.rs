//! Asks the daemon that issues an upstream's permits.

use std::{net::SocketAddr, time::Duration};

use metrics::counter;
use tarpc::{client, context as call};
use tokio::{sync::Mutex, time};
use tracing::info;

use crate::{
    collections::Map,
    fleet::transport,
    gateway::{
        context::Context,
        exchange::{ExchangeClient, STREAM_PATH},
        permit::{self, Ask, Purpose, Verdict},
        roster::Endpoint,
    },
};

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a daemon sends no request to an upstream whose issuer doesn't answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Open connections to issuers, above which all are closed: there are as many as hubs at most.
const MAX_CONNECTIONS: usize = 64;

/// Connections to daemons that issue permits.
#[derive(Default)]
pub struct Connections(Mutex<Map<SocketAddr, ExchangeClient>>);

impl Connections {
    async fn ask(&self, address: SocketAddr, ask: Ask) -> Option<Verdict> {
        let result = time::timeout(ANSWER_TIMEOUT, self.try_ask(address, ask)).await;
        let verdict = result.ok().flatten();
        if verdict.is_none() {
            // It may have gone silent.
            self.0.lock().await.remove(&address);
        }
        verdict
    }

    async fn try_ask(&self, address: SocketAddr, ask: Ask) -> Option<Verdict> {
        let open = self.0.lock().await.get(&address).cloned();
        let connection = match open {
            Some(connection) => connection,
            None => {
                let transport = transport::connect(address, STREAM_PATH).await.ok()?;
                let new = ExchangeClient::new(client::Config::default(), transport).spawn();
                let mut connections = self.0.lock().await;
                if connections.len() >= MAX_CONNECTIONS {
                    connections.clear();
                }
                connections.insert(address, new.clone());
                new
            }
        };
        connection.permit(call::current(), ask).await.ok()
    }
}

/// Whether a request may be sent to an upstream now. If not, it gets no calls from this daemon until
/// the issuer may be asked again.
pub async fn obtain(context: &Context, upstream: &Endpoint, purpose: Purpose) -> bool {
    let Some(ask) = permit::ask(upstream, purpose) else {
        return true;
    };
    let is_denied = upstream.health.permit_denied_until(context.now()).is_some();
    if is_denied && purpose == Purpose::Call {
        return false;
    }
    let (own, plan) = (context.settings.daemon.as_str(), context.plan.load_full());
    let issuer = permit::issuer(own, &plan, upstream.hash);
    let verdict = match context.members.peer_address(issuer) {
        _ if issuer == own => Some(permit::decide(context, &ask)),
        Some(address) => context.issuers.ask(address, ask).await,
        None => None,
    };
    let (outcome, pause) = match verdict {
        Some(Verdict::Granted) => ("granted", None),
        Some(Verdict::Denied(pause)) => ("denied", Some(pause)),
        None => ("unanswered", Some(FAILURE_PAUSE)),
    };
    counter!("tealturn_permits_total", "outcome" => outcome).increment(1);
    let Some(pause) = pause else { return true };
    upstream.health.await_permit(context.now() + pause);
    if verdict.is_none() {
        info!(upstream = upstream.name.as_str(), issuer, "no answer to the question for a permit");
    }
    false
}
