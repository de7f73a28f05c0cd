//! Relays a call: sends it to upstreams, retries it where allowed, and passes the answer on.

mod admit;
mod forward;
mod pump;
mod resumption;
mod turn;
mod unclaimed;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode};
use metrics::{counter, histogram};
use tokio::time;
use tracing::info;

use crate::{
    Error,
    gateway::{
        call::{Call, Dispatch},
        context::Context,
        dialect::Refusal,
        entry::{LEAVING_RETRY_AFTER, end_to_end},
        exchange::quota::{self, Charge},
        hold::Reservation,
        place::{self, Choice, Source},
        roster::Endpoint,
        shutdown,
    },
    http::{
        client::{Answer, Reuse},
        server::Body,
    },
    kernel::{
        clock::Time,
        id::{Build, Upstream},
    },
    request::suspect::Fingerprint,
};

/// The time before the deadline that is reserved for returning the answer to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);

/// The number of attempts without execution after which a call is refused.
const MAX_REJECTIONS: u32 = 3;

/// The attempt timeout of a call that may be retried, as a multiple of the latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: u32 = 3;

/// How long an upstream that did not execute a call receives no others. It rejected the call, as an
/// engine does that is loading weights or is full, or it is not the upstream that the call was for.
const REJECTION_PAUSE: Duration = Duration::from_millis(250);

/// The retry delay sent to callers when their call was not executed and is not sent to any further
/// upstream.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How long before the end of the grace period of superseded weights a call that an engine has not
/// begun is given up there. It covers the time in which this daemon learned of the newer weights and
/// in which the engine notices.
const START_MARGIN: Duration = Duration::from_millis(500);

/// The interval between checks whether the weights that a call waits for have been superseded.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Why nothing was sent to the selected upstream.
const WITHHELD: &str = "the upstream or this daemon left while the connection was being opened";

/// Why an answer without framing is not whole although its connection ended without an error.
const CRASHED_AT_END: &str = "the upstream accepts no connections after the end of an answer whose \
                              length is unknown";

/// The outcome of an attempt.
enum Outcome {
    /// The upstream sent the head of an answer.
    Answer(Box<Answer>),
    /// Nothing was sent, because no connection could be opened or the request target is not a valid
    /// URI.
    Unreachable(String),
    /// Nothing was sent, because the upstream left while the connection was being opened.
    Withheld,
    /// The upstream did not execute the call.
    NotExecuted(&'static str),
    /// The attempt failed, and the upstream may have executed the call.
    Lost(String),
    /// The attempt timed out, and the upstream may have executed the call.
    TimedOut,
    /// The engine had not begun the call when the grace period of its weights ended. It may have
    /// executed the call nevertheless.
    Expired,
}

/// A call in progress.
struct Relay {
    context: Arc<Context>,
    call: Call,
    fingerprint: Fingerprint,
    /// The event after which the next upstream continues the stream.
    last_event: Option<String>,
    /// Whether the caller has the head of a stream, so that only its rest may follow.
    is_streaming: bool,
    /// The build that began the stream, which alone may continue it.
    origin: Option<Build>,
    /// When it began to wait for an upstream: when it was received, when the origin of the stream that it
    /// resumes was found, or when its stream broke off.
    waiting_since: Time,
    /// Upstreams where an attempt failed.
    excluded: Vec<Upstream>,
    /// Those of them that rejected the call without executing it, and may be asked again.
    rejecting: Vec<Upstream>,
    /// All upstreams that rejected the call without executing it.
    rejected_by: Vec<Upstream>,
    /// Failed attempts that may have executed the call.
    executions: u32,
    /// Whether an attempt that has not failed may have executed the call.
    is_sent: bool,
    /// Failed attempts that did not execute the call, including those without a connection.
    rejections: u32,
    /// Attempts, counted when their upstream is selected, including those without a connection.
    sends: u32,
    /// Attempts for which no connection could be opened.
    connect_failures: u32,
    /// What the workspace was charged for the current attempt.
    charge: Option<Charge>,
}

/// Relays a call and returns the response for the caller.
pub async fn relay(context: Arc<Context>, call: Call) -> Response<Body> {
    // Attempts by the daemon that passed the call on count as those of this one.
    let executions = call.head.forwarded.unwrap_or(0);
    let mut active = Relay {
        context,
        fingerprint: call.fingerprint(),
        last_event: call.head.last_event.clone(),
        is_streaming: false,
        waiting_since: call.received,
        call,
        origin: None,
        excluded: Vec::new(),
        rejecting: Vec::new(),
        rejected_by: Vec::new(),
        executions,
        is_sent: false,
        rejections: 0,
        sends: executions,
        connect_failures: 0,
        charge: None,
    };
    match active.obtain_in_time().await {
        Ok((reservation, answer)) => active.deliver(reservation, answer).await,
        Err(refusal) => active.refuse(refusal),
    }
}

impl Relay {
    fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let (call, now) = (&self.call, self.context.now());
        info!(
            attempt = call.head.attempt,
            route = call.route.name,
            resumes = call.head.resumes,
            ?refusal,
            sends = self.sends,
            runs = self.executions,
            waited_ms = now.since(call.received).as_millis() as u64,
            "call refused: no complete answer from an upstream"
        );
        counter!("tealturn_calls_unanswered_total").increment(1);
        self.context.dialect.error_response(refusal)
    }

    /// The refusal for a call that is not sent to any further upstream: none can take it, too many
    /// did not execute it, too little time is left, its key may have been revoked, or the retry
    /// budget of its service is used up.
    fn no_upstream(&self) -> Refusal {
        match self.executions {
            0 => Refusal::NotRun(self.retry_after()),
            _ => Refusal::Lost,
        }
    }

    /// The retry delay for the caller. It is longer if all upstreams of the route asked for a
    /// pause, and then randomized so that callers do not retry at the same time.
    fn retry_after(&self) -> Duration {
        let now = self.context.now();
        let view = self.context.view.load();
        // The caller's next attempt may go to another service of the route.
        let services = self.call.route.backends.iter().filter(|(_, weight)| *weight > 0);
        let endpoints = services.flat_map(|(service, _)| view.service(service));
        match place::pause_end(endpoints, now) {
            Some(end) => end.since(now) + RETRY_AFTER.mul_f64(rand::random()),
            None => RETRY_AFTER,
        }
    }

    /// Obtains an answer, unless the daemon closes before there is one.
    async fn obtain_in_time(&mut self) -> Result<(Reservation, Box<Answer>), Refusal> {
        let closing = self.context.closing.clone();
        tokio::select! {
            obtained = self.obtain() => obtained,
            () = closing.cancelled() => Err(match self.is_sent || self.executions > 0 {
                true => Refusal::Lost,
                false => Refusal::NotRun(LEAVING_RETRY_AFTER),
            }),
        }
    }

    /// Whether the call may be sent to an upstream although a planned shutdown may have begun.
    fn may_begin(&self, now: Time) -> bool {
        let (call, route) = (&self.call, &self.call.route);
        let call = shutdown::Call {
            deadline: call.deadline,
            is_repeatable: route.kind.is_repeatable(),
            latency_objective: route.latency_objective,
        };
        self.context.shutdown().is_none_or(|it| it.may_begin(&call, now))
    }

    /// Obtains an answer from an upstream, or through another daemon if this one is cut off.
    async fn obtain(&mut self) -> Result<(Reservation, Box<Answer>), Refusal> {
        if !self.is_cut_off() {
            let result = match self.find_origin().await {
                Ok(()) => self.obtain_answer().await,
                Err(refusal) => Err(refusal),
            };
            if result.is_ok() || !self.is_cut_off() || !self.may_forward() {
                return result;
            }
        }
        self.obtain_forwarded().await
    }

    /// Sends the call to upstreams until one of them answers.
    async fn obtain_answer(&mut self) -> Result<(Reservation, Box<Answer>), Refusal> {
        while self.rejections < MAX_REJECTIONS {
            self.charge().await?;
            let reservation = self.acquire().await?;
            let result = self.send_charged(&reservation).await;
            let now = self.context.now();
            let health = &reservation.choice.endpoint.health;
            let outcome = match &result {
                Outcome::Answer(..) => "answer",
                Outcome::Unreachable(reason) | Outcome::Lost(reason) => reason,
                Outcome::NotExecuted(reason) => reason,
                Outcome::Withheld => WITHHELD,
                Outcome::TimedOut => "timed out",
                Outcome::Expired => "not begun before the grace period of the weights ended",
            };
            if !matches!(result, Outcome::Answer(..)) {
                info!(
                    attempt = self.call.head.attempt,
                    upstream = reservation.choice.endpoint.name.as_str(),
                    reason = reservation.choice.reason,
                    version = reservation.choice.version.map(|it| it.0),
                    outcome,
                    "attempt at the selected upstream failed"
                );
            }
            match result {
                Outcome::Answer(answer) => {
                    let failed = answer.response.status().is_server_error();
                    if failed && self.may_retry() {
                        health.record_failure(now);
                        self.executions += 1;
                        self.excluded.push(reservation.choice.endpoint.name.clone());
                        continue;
                    }
                    return Ok((reservation, answer));
                }
                Outcome::Unreachable(_) => {
                    self.record_unreachable(&reservation.choice.endpoint);
                    continue;
                }
                Outcome::Withheld => {
                    self.record_withheld(&reservation.choice.endpoint);
                    continue;
                }
                Outcome::NotExecuted(_) => {
                    self.record_rejection(&reservation);
                    continue;
                }
                Outcome::Lost(_) => {
                    reservation.connection_lost().await;
                    if !self.may_retry() {
                        self.executions += 1;
                        return Err(Refusal::Lost);
                    }
                    self.executions += 1;
                }
                Outcome::Expired => {
                    if !self.may_retry() {
                        self.executions += 1;
                        return Err(Refusal::TimedOut);
                    }
                    self.executions += 1;
                }
                Outcome::TimedOut => {
                    health.record_failure(now);
                    let expired = now + RESPONSE_MARGIN >= self.call.deadline;
                    if expired || !self.may_retry() {
                        self.executions += 1;
                        return Err(Refusal::TimedOut);
                    }
                    self.executions += 1;
                }
            }
            self.excluded.push(reservation.choice.endpoint.name.clone());
        }
        Err(self.no_upstream())
    }

    /// Records that no connection to an upstream could be opened.
    fn record_unreachable(&mut self, endpoint: &Endpoint) {
        endpoint.health.mark_dead(self.context.now());
        self.connect_failures += 1;
        self.rejections += 1;
        self.excluded.push(endpoint.name.clone());
    }

    /// Records that the call was not sent to an upstream that has left.
    fn record_withheld(&mut self, endpoint: &Endpoint) {
        counter!("tealturn_calls_withheld_total").increment(1);
        self.connect_failures += 1;
        self.rejections += 1;
        self.excluded.push(endpoint.name.clone());
    }

    /// Records that an upstream did not execute the call.
    fn record_rejection(&mut self, reservation: &Reservation) {
        if !self.context.spare(&reservation.choice.endpoint) {
            self.pause_after_rejection(reservation, REJECTION_PAUSE);
        }
        self.rejections += 1;
        self.rejected_by.push(reservation.choice.endpoint.name.clone());
        self.exclude_rejecting(&reservation.choice.endpoint.name);
    }

    /// Charges the quota of the workspace for the next attempt, unless an attempt that did not run has left
    /// its charge.
    async fn charge(&mut self) -> Result<(), Refusal> {
        if self.charge.as_ref().is_none_or(Charge::is_executed) {
            self.charge = quota::charge(&self.context, &self.call, self.executions > 0).await?;
        }
        Ok(())
    }

    /// Sends the call. An attempt that is given up before its answer counts as executed.
    async fn send_charged(&mut self, reservation: &Reservation) -> Outcome {
        self.charge.iter_mut().for_each(Charge::executed);
        self.is_sent = true;
        let outcome = self.send(reservation).await;
        if matches!(outcome, Outcome::Unreachable(_) | Outcome::Withheld | Outcome::NotExecuted(_))
        {
            self.charge.iter_mut().for_each(Charge::rejected);
            self.is_sent = false;
        }
        outcome
    }

    /// Whether the call may be sent to another upstream after an attempt that may have executed it. The
    /// daemon that passed a call on counts the attempts, and retries it itself.
    fn may_retry(&self) -> bool {
        let is_forwarded = self.call.head.forwarded.is_some();
        let route = &self.call.route;
        !is_forwarded && route.kind.is_repeatable() && self.executions + 1 < route.max_attempts
    }

    fn dispatch(&self, choice: &Choice, time_left: Duration) -> Dispatch {
        let (prompt, owner) = (self.call.head.prompt.as_ref(), self.cache_owner());
        let salt = prompt.zip(choice.version).map(|(it, version)| owner.salt(&it.model, version));
        Dispatch {
            upstream: choice.endpoint.name.clone(),
            incarnation: choice.endpoint.record.incarnation,
            time_left,
            version: choice.version,
            cache_salt: salt,
            fetch_from: choice.source.as_ref().map(Source::address),
            save_to: choice.save_to.map(|it| it.address),
            last_event: self.last_event.clone(),
        }
    }

    /// The request with these headers; `None` if the target is not a valid URI.
    fn request(&self, headers: HeaderMap) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.call.body.clone()));
        *request.method_mut() = self.call.method.clone();
        *request.uri_mut() = self.call.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    fn attempt_timeout(&self, time_left: Duration) -> Duration {
        if !self.may_retry() {
            return time_left;
        }
        let objectives = self.call.route.latency_objective * ATTEMPT_TIMEOUT_OBJECTIVES;
        time_left.min(objectives.max(time_left / 4))
    }

    async fn send(&self, reservation: &Reservation) -> Outcome {
        let (context, call) = (&self.context, &self.call);
        let sent_at = context.now();
        let time_left = call.deadline.since(sent_at).saturating_sub(RESPONSE_MARGIN);
        let dispatch = self.dispatch(&reservation.choice, time_left);
        let mut headers = call.headers.clone();
        context.dialect.write_request_headers(call, &dispatch, &mut headers);
        let Some(request) = self.request(headers) else {
            return Outcome::Unreachable("request target is not a valid URI".to_owned());
        };
        let address = reservation.choice.endpoint.record.address;
        let attempt_timeout = self.attempt_timeout(time_left);
        // A server may close an idle connection while the request arrives. A call that must not execute
        // twice could not be retried then. An upstream that rejected the call may write the rejection once
        // more on a connection that it keeps, and all sends of the call carry the same attempt.
        let may_reuse = call.route.kind.is_repeatable()
            && !self.rejected_by.contains(&reservation.choice.endpoint.name);
        let reuse = if may_reuse { Reuse::Allowed } else { Reuse::Forbidden };
        let may_send = || !reservation.is_leaving() && self.may_begin(context.now());
        let request_sent = context.client.send_if(address, request, reuse, may_send);
        let sent = tokio::select! {
            sent = time::timeout(attempt_timeout, request_sent) => sent,
            () = reservation.died() => {
                return Outcome::Lost("the upstream was found dead".to_owned());
            }
            () = reservation.path_lost_at_leaving() => {
                return Outcome::Lost("the path to the upstream, which leaves, was lost".to_owned());
            }
            () = self.weights_expire(&reservation.choice) => return Outcome::Expired,
        };
        match sent {
            Err(_) => Outcome::TimedOut,
            Ok(Err(Error::Connect { source, .. })) => Outcome::Unreachable(source.to_string()),
            Ok(Err(Error::Withheld { .. })) => Outcome::Withheld,
            Ok(Err(error)) => Outcome::Lost(error.to_string()),
            Ok(Ok(answer)) => self.classify(reservation, answer, sent_at),
        }
    }

    /// Waits until the call may no longer begin on the weights of the selected upstream. They may be
    /// superseded while the call waits there.
    async fn weights_expire(&self, choice: &Choice) {
        let context = &self.context;
        let (Some(prompt), Some(version)) = (&self.call.head.prompt, choice.version) else {
            return std::future::pending().await;
        };
        let grace = context.settings.weights_deadline.saturating_sub(START_MARGIN);
        loop {
            let since = context.progress.load().superseded_since(&prompt.model, version);
            let time_left = since.map(|it| (it + grace).since(context.now()));
            if time_left.is_some_and(|it| it.is_zero()) {
                return;
            }
            let pause = time_left.unwrap_or(START_CHECK_INTERVAL).min(START_CHECK_INTERVAL);
            time::sleep(pause).await;
        }
    }

    /// Classifies the answer to a request that was sent at `sent_at`, by its head.
    fn classify(&self, reservation: &Reservation, answer: Answer, sent_at: Time) -> Outcome {
        let (status, headers) = (answer.response.status(), answer.response.headers());
        let head = self.context.dialect.parse_response(&self.call, status, headers);
        let endpoint = &reservation.choice.endpoint;
        let Endpoint { name, health, .. } = &**endpoint;
        let now = self.context.now();
        let mut notice = head.notice;
        if !head.matches_request {
            // It may have been made before the upstream named its limits.
            notice.limit = notice.limit.without_end();
            notice.brittleness = notice.brittleness.without_end();
        }
        self.context.take_notice(endpoint, notice, sent_at);
        if let Some(pause) = head.pause.filter(|it| health.record_pause(*it, now)) {
            let pause_ms = pause.as_millis() as u64;
            info!(upstream = name.as_str(), pause_ms, "upstream asked for a pause");
        }
        let connection = answer.connection();
        if !head.matches_request {
            info!(
                attempt = self.call.head.attempt,
                upstream = name.as_str(),
                other_attempt = head.other_attempt,
                status = status.as_u16(),
                connection,
                "answer discarded: it belongs to another request"
            );
            answer.count_foreign();
            return Outcome::Lost("the answer belongs to another request".to_owned());
        }
        health.record_activity(now);
        if head.misdirected || head.not_executed {
            counter!("tealturn_rejections_total", "connection" => connection).increment(1);
        }
        if head.misdirected {
            return Outcome::NotExecuted("another incarnation or other weights are at the address");
        }
        if head.not_executed {
            return Outcome::NotExecuted("the upstream rejected the call without executing it");
        }
        if status.is_informational() {
            return Outcome::Lost("the upstream switched protocols unasked".to_owned());
        }
        if answer.has_foreign_coding() {
            return Outcome::Lost("the answer has a transfer coding other than chunks".to_owned());
        }
        if status.is_success() && !head.signed {
            return Outcome::Lost("the answer is not signed".to_owned());
        }
        if let Some(fault) = self.find_fault(&answer) {
            return Outcome::Lost(fault);
        }
        Outcome::Answer(Box::new(answer))
    }

    /// Whether the caller would take an answer of this status as a statement that its call, which must not
    /// run twice, has not run. Answers of upstreams that do state this are not passed on.
    fn denies_execution(&self, status: StatusCode) -> bool {
        let may_repeat = self.call.route.kind.is_repeatable();
        !may_repeat && self.context.dialect.denies_execution(status)
    }

    /// Refuses a call that an upstream turned away without stating that it has not run. The answer may
    /// come late, after the call has run.
    fn refuse_uncertain(
        &mut self,
        reservation: &Reservation,
        status: StatusCode,
    ) -> Response<Body> {
        if status.is_server_error() {
            reservation.choice.endpoint.health.record_failure(self.context.now());
        }
        info!(
            attempt = self.call.head.attempt,
            upstream = reservation.choice.endpoint.name.as_str(),
            status = status.as_u16(),
            "refusal not passed on: the upstream did not state that the call has not run"
        );
        counter!("tealturn_refusals_withheld_total").increment(1);
        self.executions += 1;
        self.refuse(Refusal::Lost)
    }

    /// Passes an answer on to the caller.
    async fn deliver(mut self, reservation: Reservation, answer: Box<Answer>) -> Response<Body> {
        let success = answer.response.status().is_success();
        if success && self.call.route.kind.is_stream() {
            return self.deliver_stream(reservation, answer);
        }
        if self.denies_execution(answer.response.status()) {
            return self.refuse_uncertain(&reservation, answer.response.status());
        }
        let (mut reservation, mut answer) = (reservation, answer);
        loop {
            let status = answer.response.status();
            let is_framed = answer.is_framed();
            let headers = self.caller_headers(&reservation, &answer);
            let time_left = self.call.deadline.since(self.context.now());
            let read = time::timeout(time_left, self.read_whole(&reservation, *answer));
            let read = tokio::select! {
                read = read => read,
                () = self.context.closing.cancelled() => return self.refuse(Refusal::Lost),
            };
            match read {
                Ok(Ok(body)) => {
                    if status.is_server_error() {
                        reservation.choice.endpoint.health.record_failure(self.context.now());
                    } else {
                        reservation.succeed(is_framed && status.is_success());
                    }
                    self.record_metrics();
                    let body = Full::new(body).map_err(|never| match never {}).boxed();
                    let mut response = Response::new(body);
                    *response.status_mut() = status;
                    *response.headers_mut() = headers;
                    return response;
                }
                Ok(Err(error)) => {
                    let upstream = reservation.choice.endpoint.name.as_str();
                    info!(
                        attempt = self.call.head.attempt,
                        upstream,
                        %error,
                        "answer from the upstream ended prematurely"
                    );
                }
                Err(_) => return self.refuse(Refusal::TimedOut),
            }
            reservation.connection_lost().await;
            if !self.may_retry() {
                return self.refuse(Refusal::Lost);
            }
            self.executions += 1;
            self.excluded.push(reservation.choice.endpoint.name.clone());
            (reservation, answer) = match self.obtain_in_time().await {
                Ok(found) => found,
                Err(refusal) => return self.refuse(refusal),
            };
        }
    }

    /// The headers of an answer for the caller, or for the daemon that passed the call on.
    fn caller_headers(&self, reservation: &Reservation, answer: &Answer) -> HeaderMap {
        let mut headers = end_to_end(answer.response.headers());
        if self.call.head.forwarded.is_some() && self.call.head.asks_upstream {
            self.context.dialect.name_upstream(&reservation.choice.endpoint, &mut headers);
        }
        headers
    }

    /// Reads the body of an answer.
    async fn read_whole(&self, reservation: &Reservation, answer: Answer) -> Result<Bytes, Error> {
        let is_framed = answer.is_framed();
        let body = self.context.client.finish(answer).await?;
        if reservation.is_whole(is_framed).await {
            return Ok(body);
        }
        let address = reservation.choice.endpoint.record.address;
        Err(Error::NoResponse { address, reason: CRASHED_AT_END.to_owned() })
    }

    fn record_metrics(&self) {
        let took = self.context.now().since(self.call.received);
        counter!("tealturn_calls_answered_total").increment(1);
        histogram!("tealturn_call_seconds").record(took.as_secs_f64());
    }
}
