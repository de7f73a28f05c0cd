//! Carries a call from its first sending to the end of its answer.

mod admit;
mod pump;

use std::{sync::Arc, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::Response;
use metrics::{counter, histogram};
use tokio::time;
use tracing::info;

use crate::{
    Error,
    gateway::{
        call::{Call, Dispatch},
        context::Context,
        dialect::Refusal,
        document::KvStore,
        entry::end_to_end,
        hold::Hold,
        place::{Choice, Source},
    },
    http::{client::Answer, server::Body},
    kernel::id::Upstream,
    request::suspect::Fingerprint,
};

/// The part of a caller's time that is kept for the way back.
const WAY_BACK: Duration = Duration::from_millis(10);

/// Sendings of one call that ran nothing, after which it is refused.
const MAX_REFUSALS: u32 = 3;

/// Objectives after which an unanswered call is sent elsewhere, if it may run again.
const PATIENCE: u32 = 3;

/// How long an engine that has refused a call gets no others: it loads weights or is full.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);

/// When a caller may come back after a refusal for want of an upstream.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// What a sending came to.
enum Sent {
    /// The head of an answer.
    Answer(Box<Answer>),
    /// Nothing was sent.
    Unreachable(String),
    /// The upstream ran nothing.
    NotRun(&'static str),
    /// It may have run.
    Lost(String),
    /// It may have run; the time for it has passed.
    TimedOut,
}

/// A call in progress.
struct Drive {
    context: Arc<Context>,
    call: Call,
    fingerprint: Fingerprint,
    avoid: Vec<Upstream>,
    runs: u32,
    refusals: u32,
    sends: u32,
    /// Sendings for which no connection opened.
    unsent: u32,
}

/// Serves a call.
pub async fn relay(context: Arc<Context>, call: Call) -> Response<Body> {
    let mut drive = Drive {
        context,
        fingerprint: call.fingerprint(),
        call,
        avoid: Vec::new(),
        runs: 0,
        refusals: 0,
        sends: 0,
        unsent: 0,
    };
    match drive.run().await {
        Ok((held, answer)) => drive.answer(held, answer).await,
        Err(refusal) => drive.refuse(refusal),
    }
}

impl Drive {
    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let (call, now) = (&self.call, self.context.now());
        info!(
            attempt = call.ask.attempt,
            route = call.route.name,
            ?refusal,
            sends = self.sends,
            runs = self.runs,
            waited_ms = now.since(call.received).as_millis() as u64,
            "no answer"
        );
        counter!("tealturn_calls_unanswered_total").increment(1);
        self.context.dialect.error_response(refusal)
    }

    /// What to tell a caller when no upstream can take the call.
    fn unplaced(&self) -> Refusal {
        match self.runs {
            0 => Refusal::NotRun(RETRY_AFTER),
            _ => Refusal::Lost,
        }
    }

    /// Sends the call until there is an answer to pass on.
    async fn run(&mut self) -> Result<(Hold, Box<Answer>), Refusal> {
        loop {
            let held = self.wait().await?;
            let sent = self.send(&held).await;
            let (context, now) = (self.context.clone(), self.context.now());
            let gauge = &held.choice.endpoint.gauge;
            let outcome = match &sent {
                Sent::Answer(..) => "answer",
                Sent::Unreachable(reason) | Sent::Lost(reason) => reason,
                Sent::NotRun(reason) => reason,
                Sent::TimedOut => "timed out",
            };
            if !matches!(sent, Sent::Answer(..)) {
                info!(
                    attempt = self.call.ask.attempt,
                    upstream = held.choice.endpoint.name.as_str(),
                    reason = held.choice.reason,
                    version = held.choice.version.map(|it| it.0),
                    outcome,
                    "not answered"
                );
            }
            match sent {
                Sent::Answer(answer) => {
                    let failed = answer.response.status().is_server_error();
                    if failed && self.may_run_again() {
                        gauge.fail(now);
                        self.runs += 1;
                        self.avoid.push(held.choice.endpoint.name.clone());
                        continue;
                    }
                    return Ok((held, answer));
                }
                Sent::Unreachable(_) => {
                    gauge.refuse();
                    self.unsent += 1;
                    self.refusals += 1;
                }
                Sent::NotRun(_) => {
                    gauge.pause(REFUSED_PAUSE, now);
                    self.refusals += 1;
                }
                Sent::Lost(_) => {
                    held.broken().await;
                    if !self.may_run_again() {
                        self.runs += 1;
                        return Err(Refusal::Lost);
                    }
                    self.runs += 1;
                }
                Sent::TimedOut => {
                    gauge.fail(now);
                    let over = now + WAY_BACK >= self.call.deadline;
                    if over || !self.may_run_again() {
                        self.runs += 1;
                        return Err(Refusal::TimedOut);
                    }
                    self.runs += 1;
                }
            }
            if self.refusals >= MAX_REFUSALS {
                return Err(self.unplaced());
            }
            self.avoid.push(held.choice.endpoint.name.clone());
            drop((held, context));
        }
    }

    /// Whether a call whose sending may have run may be sent to another upstream.
    fn may_run_again(&self) -> bool {
        self.call.route.kind.is_repeatable() && self.runs + 1 < self.call.route.max_attempts
    }

    fn kv_store(&self) -> Option<KvStore> {
        self.context.document.load().as_ref().and_then(|it| it.kv_store())
    }

    fn dispatch(&self, choice: &Choice, left: Duration, last_event: Option<String>) -> Dispatch {
        Dispatch {
            upstream: choice.endpoint.name.clone(),
            incarnation: choice.endpoint.record.incarnation,
            left,
            version: choice.version,
            salt: choice.version.and_then(|it| self.call.salt(it)),
            fetch: choice.source.as_ref().map(Source::address),
            save: self.kv_store().filter(|_| choice.save).map(|it| it.address),
            last_event: last_event.or_else(|| self.call.ask.last_event.clone()),
        }
    }

    async fn send(&self, held: &Hold) -> Sent {
        self.send_from(held, None).await
    }

    async fn send_from(&self, held: &Hold, last_event: Option<String>) -> Sent {
        let (context, call) = (&self.context, &self.call);
        let left = call.deadline.since(context.now()).saturating_sub(WAY_BACK);
        let dispatch = self.dispatch(&held.choice, left, last_event);
        let mut headers = call.headers.clone();
        context.dialect.write_request_headers(call, &dispatch, &mut headers);
        let mut request = hyper::Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        match call.target.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(_) => return Sent::Unreachable("the target is no URI".to_owned()),
        }
        *request.headers_mut() = headers;
        let address = held.choice.endpoint.record.address;
        let patience = match self.may_run_again() {
            true => left.min((call.route.latency_target * PATIENCE).max(left / 4)),
            false => left,
        };
        let send = async {
            match call.route.kind.is_repeatable() {
                true => context.client.send(address, request).await,
                // An idle connection may be closed as the request arrives; that would be the end
                // of a call that may run once only.
                false => context.client.send_fresh(address, request).await,
            }
        };
        let sent = tokio::select! {
            sent = time::timeout(patience, send) => sent,
            () = held.death.cancelled() => return Sent::Lost("the upstream is dead".to_owned()),
        };
        match sent {
            Err(_) => Sent::TimedOut,
            Ok(Err(Error::Connect { source, .. })) => Sent::Unreachable(source.to_string()),
            Ok(Err(error)) => Sent::Lost(error.to_string()),
            Ok(Ok(answer)) => self.judge(held, answer),
        }
    }

    /// Reads the head of an answer.
    fn judge(&self, held: &Hold, answer: Answer) -> Sent {
        let (status, headers) = (answer.response.status(), answer.response.headers());
        let reply = self.context.dialect.parse_response(&self.call, status, headers);
        let gauge = &held.choice.endpoint.gauge;
        if !reply.matches_request {
            return Sent::Lost("the answer is another request's".to_owned());
        }
        gauge.hear(self.context.now());
        if reply.misdirected {
            return Sent::NotRun("another run or other weights are at the address");
        }
        if reply.not_run {
            return Sent::NotRun("the upstream has refused it");
        }
        if status.is_success() && !reply.signed {
            return Sent::Lost("the answer is not signed".to_owned());
        }
        Sent::Answer(Box::new(answer))
    }

    /// Passes an answer on.
    async fn answer(mut self, held: Hold, answer: Box<Answer>) -> Response<Body> {
        let success = answer.response.status().is_success();
        if success && self.call.route.kind.is_stream() {
            return self.stream(held, answer);
        }
        let (mut held, mut answer) = (held, answer);
        loop {
            let status = answer.response.status();
            let headers = end_to_end(answer.response.headers());
            let left = self.call.deadline.since(self.context.now());
            let finish = self.context.client.finish(*answer);
            match time::timeout(left, finish).await {
                Ok(Ok(body)) => {
                    if status.is_server_error() {
                        held.choice.endpoint.gauge.fail(self.context.now());
                    } else {
                        held.finish();
                    }
                    self.record();
                    let body = Full::new(body).map_err(|never| match never {}).boxed();
                    let mut response = Response::new(body);
                    *response.status_mut() = status;
                    *response.headers_mut() = headers;
                    return response;
                }
                Ok(Err(error)) => {
                    let upstream = held.choice.endpoint.name.as_str();
                    info!(attempt = self.call.ask.attempt, upstream, %error, "answer broke off");
                }
                Err(_) => return self.refuse(Refusal::TimedOut),
            }
            held.broken().await;
            if !self.may_run_again() {
                return self.refuse(Refusal::Lost);
            }
            self.runs += 1;
            self.avoid.push(held.choice.endpoint.name.clone());
            (held, answer) = match self.run().await {
                Ok(found) => found,
                Err(refusal) => return self.refuse(refusal),
            };
        }
    }

    fn record(&self) {
        let took = self.context.now().since(self.call.received);
        counter!("tealturn_calls_answered_total").increment(1);
        histogram!("tealturn_call_seconds").record(took.as_secs_f64());
    }
}
