//! Asks the daemon that issues an upstream's permits.

use std::time::Duration;

use metrics::counter;
use tracing::info;

use crate::gateway::{
    context::Context,
    permit::{self, Purpose, Verdict},
    roster::Endpoint,
};

/// The longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a daemon sends no request to an upstream whose issuer doesn't answer.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

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
        Some(address) => {
            let make =
                |client: super::ExchangeClient, call| async move { client.permit(call, ask).await };
            context.connections.call(address, ANSWER_TIMEOUT, make).await
        }
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
