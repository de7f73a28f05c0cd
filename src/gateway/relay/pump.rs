//! Forwards event streams and resumes them at another upstream after a failure.

use std::{io, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode,
    body::{Body as _, Frame},
    header::{self, HeaderValue},
};
use metrics::counter;
use tokio::{sync::mpsc, time};
use tracing::info;

use crate::{
    gateway::{
        exchange,
        hold::Reservation,
        record,
        relay::{CRASHED_AT_END, MAX_REJECTIONS, Outcome, Relay, WITHHELD},
        stream::{
            Splitter,
            sequence::{Sequence, begins_event},
        },
    },
    http::{client::Answer, server::Body},
};

/// The number of stream chunks buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 8;

/// The interval between checks for memory that other streams have given back.
const MEMORY_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Relay {
    /// Returns a response whose body forwards events as they arrive.
    pub(super) fn deliver_stream(
        mut self,
        reservation: Reservation,
        answer: Box<Answer>,
    ) -> Response<Body> {
        let status = answer.response.status();
        let mut headers = self.caller_headers(&reservation, &answer);
        headers.remove(header::CONTENT_LENGTH);
        // The daemon that took a call knows the build of its upstream.
        let origin = match reservation.is_forwarded {
            true => None,
            false => self.begin_stream(&reservation.choice.endpoint.record.build),
        };
        let is_recorded = reservation.is_forwarded || !self.call.is_resumable();
        let build = reservation.choice.endpoint.record.build.clone();
        let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        tokio::spawn(async move {
            let publish = async {
                if !is_recorded {
                    record::wait_until_listed(&self.context, self.call.service(), &build).await;
                }
                if let Some(origin) = &origin {
                    exchange::origin::tell(&self.context, origin).await;
                }
            };
            tokio::select! {
                () = publish => {}
                () = sender.closed() => {}
            }
            self.forward(reservation, answer, sender).await;
            self.end_stream();
        });
        let body = StreamBody::new(receiver_stream(receiver)).boxed();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn forward(
        &mut self,
        mut reservation: Reservation,
        mut answer: Box<Answer>,
        sender: mpsc::Sender<io::Result<Frame<Bytes>>>,
    ) {
        let mut sequence = self.begin_sequence(&answer);
        let mut splitter = Splitter::new(self.context.client.memory().hold());
        let mut resumed_after = None;
        loop {
            let end = self.forward_events(
                &mut reservation,
                &mut answer,
                &mut splitter,
                &mut sequence,
                &sender,
            );
            let end = end.await;
            let now = self.context.now();
            let upstream = reservation.choice.endpoint.name.clone();
            match end {
                End::Complete => {
                    if let Some(resumed_after) = resumed_after {
                        let attempt = &self.call.head.attempt;
                        let last_event = sequence.last_id();
                        info!(attempt, resumed_after, last_event, "resumed stream complete");
                    }
                    reservation.succeed(answer.is_framed());
                    self.context.client.release(*answer);
                    self.record_metrics();
                    return;
                }
                End::CallerDisconnected => return self.log_disconnection(),
                End::Expired | End::CallerStalled | End::Broken(_) => {}
            }
            if has_more(&answer) || begins_event(splitter.partial(), &*self.context.dialect) {
                sequence.expect_event();
            }
            // Closes the connection, which ends the run, before anything is waited for.
            drop(answer);
            let reason = match end {
                End::Broken(reason) => {
                    reservation.connection_lost().await;
                    reason
                }
                // The upstream is not at fault.
                End::CallerStalled => {
                    "the deadline expired while the caller did not read".to_owned()
                }
                _ => {
                    reservation.choice.endpoint.health.record_failure(now);
                    "the deadline expired".to_owned()
                }
            };
            info!(
                attempt = self.call.head.attempt,
                upstream = upstream.as_str(),
                last_event = sequence.last_id(),
                reason,
                "stream from the upstream ended prematurely"
            );
            let is_resumable = self.call.is_resumable() && sequence.is_resumable();
            let may_resume = is_resumable && self.may_retry();
            self.executions += 1;
            self.excluded.push(upstream);
            let was_forwarded = reservation.is_forwarded;
            drop(reservation);
            splitter.discard_partial();
            sequence.resume();
            let last_event = sequence.last_id().map(str::to_owned);
            let next = match may_resume {
                true => tokio::select! {
                    next = self.resume(last_event.clone(), was_forwarded) => next,
                    () = sender.closed() => return self.log_disconnection(),
                },
                false => None,
            };
            let Some((next_reservation, next_answer)) = next else {
                counter!("tealturn_streams_broken_total").increment(1);
                // The error ends the body abnormally, so that the answer doesn't seem complete.
                let broken = io::Error::other("the answer from the upstream ended prematurely");
                drop(sender.send(Err(broken)).await);
                return;
            };
            resumed_after = Some(last_event);
            (reservation, answer) = (next_reservation, next_answer);
        }
    }

    /// Logs what an upstream answered that was asked to resume the stream.
    fn log_resumption(&self, reservation: &Reservation, outcome: &Outcome) {
        let answer = match outcome {
            Outcome::Answer(answer) => Some(answer),
            _ => None,
        };
        let text = match outcome {
            Outcome::Answer(_) => "answer",
            Outcome::Unreachable(reason) | Outcome::Lost(reason) => reason,
            Outcome::NotExecuted(reason) => reason,
            Outcome::Withheld => WITHHELD,
            Outcome::TimedOut => "timed out",
            Outcome::Expired => "not begun before the grace period of the weights ended",
        };
        info!(
            attempt = self.call.head.attempt,
            upstream = reservation.choice.endpoint.name.as_str(),
            last_event = self.last_event,
            is_framed = answer.map(|it| it.is_framed()),
            outcome = text,
            "upstream was asked to resume the stream"
        );
        let outcome = if answer.is_some() { "resumed" } else { "failed" };
        counter!("tealturn_stream_resumptions_total", "outcome" => outcome).increment(1);
    }

    fn log_disconnection(&self) {
        let attempt = &self.call.head.attempt;
        info!(attempt, "caller disconnected before its stream was complete");
    }

    /// Resumes the stream after event `last` at another upstream, or through another daemon if this
    /// one is cut off or passed the call on before.
    async fn resume(
        &mut self,
        last: Option<String>,
        was_forwarded: bool,
    ) -> Option<(Reservation, Box<Answer>)> {
        self.last_event = last;
        self.is_streaming = true;
        self.waiting_since = self.context.now();
        if !was_forwarded && !self.is_cut_off() {
            let resumed = self.resume_directly().await;
            if resumed.is_some() || !self.is_cut_off() || !self.may_forward() {
                return resumed;
            }
        }
        self.obtain_forwarded().await.ok()
    }

    /// Resumes the stream at another upstream. Tries further ones while attempts are left.
    async fn resume_directly(&mut self) -> Option<(Reservation, Box<Answer>)> {
        while self.rejections < MAX_REJECTIONS {
            self.charge().await.ok()?;
            let reservation = self.acquire().await.ok()?;
            let outcome = self.send_charged(&reservation).await;
            self.log_resumption(&reservation, &outcome);
            match outcome {
                Outcome::Answer(answer) => return Some((reservation, answer)),
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
                Outcome::Lost(_) => reservation.connection_lost().await,
                Outcome::TimedOut => {
                    reservation.choice.endpoint.health.record_failure(self.context.now());
                }
                Outcome::Expired => {}
            }
            let may_retry = self.may_retry();
            self.executions += 1;
            self.excluded.push(reservation.choice.endpoint.name.clone());
            if !may_retry {
                return None;
            }
        }
        None
    }

    /// Why an answer can't be the rest of a stream whose head the caller has.
    pub(super) fn find_fault(&self, answer: &Answer) -> Option<String> {
        if !self.is_streaming {
            return None;
        }
        let (status, headers) = (answer.response.status(), answer.response.headers());
        if status != StatusCode::OK {
            return Some(format!("the answer is not the rest of a stream: its status is {status}"));
        }
        if let Some(media_type) = headers.get(header::CONTENT_TYPE).filter(|it| !is_stream(it)) {
            return Some(format!("the answer is not the rest of a stream: it is {media_type:?}"));
        }
        headers
            .contains_key(header::CONTENT_ENCODING)
            .then(|| "the answer is not the rest of a stream: it is encoded".to_owned())
    }

    async fn forward_events(
        &self,
        reservation: &mut Reservation,
        answer: &mut Answer,
        splitter: &mut Splitter,
        sequence: &mut Sequence,
        sender: &mpsc::Sender<io::Result<Frame<Bytes>>>,
    ) -> End {
        let is_framed = answer.is_framed();
        loop {
            let time_left = self.call.deadline.since(self.context.now());
            let frame = tokio::select! {
                frame = answer.response.body_mut().frame() => frame,
                () = sender.closed() => return End::CallerDisconnected,
                () = reservation.died() => {
                    return End::Broken("the upstream was found dead".to_owned());
                }
                () = time::sleep(time_left) => return End::Expired,
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return End::Broken(error.to_string()),
                None if splitter.is_partial() => {
                    return End::Broken("the stream ended within an event".to_owned());
                }
                None if !is_framed && !self.is_begun(splitter) => {
                    return End::Broken("the stream ended before its first event".to_owned());
                }
                None if sequence.lacks_event() => {
                    return End::Broken(
                        "the stream ended before an event that is missing".to_owned(),
                    );
                }
                None if !reservation.is_whole(is_framed).await => {
                    return End::Broken(CRASHED_AT_END.to_owned());
                }
                None => return End::Complete,
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            reservation.choice.endpoint.health.record_activity(self.context.now());
            reservation.mark_prompt_read();
            let Some(events) = splitter.push(bytes) else {
                if splitter.exceeds_limit() {
                    return End::Broken("an event exceeds the size limit".to_owned());
                }
                continue;
            };
            let fault = sequence.take(&events, &*self.context.dialect).err();
            let sound = events.slice(..fault.map_or(events.len(), |it| it.sound));
            match time::timeout(time_left, self.pass_on(sound, sender)).await {
                Ok(true) => {}
                Ok(false) => return End::CallerDisconnected,
                Err(_) => return End::CallerStalled,
            }
            if let Some(fault) = fault {
                counter!("tealturn_stream_faults_total").increment(1);
                return End::Broken(fault.reason.to_owned());
            }
        }
    }

    /// A stream that begins with this answer, or that its caller resumes.
    fn begin_sequence(&self, answer: &Answer) -> Sequence {
        let (status, headers) = (answer.response.status(), answer.response.headers());
        let version = self.context.dialect.parse_response(&self.call, status, headers).version;
        let head = &self.call.head;
        let last_id = head.last_event.as_deref().filter(|_| self.call.is_resumption());
        Sequence::new(last_id, version)
    }

    /// Whether the caller has an event of the stream. Otherwise it can't have ended.
    fn is_begun(&self, splitter: &Splitter) -> bool {
        self.call.head.last_event.is_some() || splitter.has_returned_events()
    }

    /// Passes bytes on to a caller, once there is memory for as long as it takes the caller to read
    /// them; returns whether the caller is still connected.
    async fn pass_on(&self, bytes: Bytes, sender: &mpsc::Sender<io::Result<Frame<Bytes>>>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        let mut hold = self.context.client.memory().hold();
        while !hold.resize(bytes.len()) {
            tokio::select! {
                () = sender.closed() => return false,
                () = time::sleep(MEMORY_POLL_INTERVAL) => {}
            }
        }
        sender.send(Ok(Frame::data(hold.keep(bytes)))).await.is_ok()
    }
}

/// How the stream from an upstream ended.
enum End {
    Complete,
    CallerDisconnected,
    /// The deadline passed while the caller did not read.
    CallerStalled,
    /// The deadline passed while the upstream sent nothing.
    Expired,
    Broken(String),
}

/// Whether an answer has a length that its body has not reached.
fn has_more(answer: &Answer) -> bool {
    answer.response.body().size_hint().exact().is_some_and(|left| left > 0)
}

/// Whether a media type, which may have parameters, is that of event streams.
fn is_stream(media_type: &HeaderValue) -> bool {
    let essence = media_type.as_bytes().split(|it| *it == b';').next().unwrap_or_default();
    essence.trim_ascii().eq_ignore_ascii_case(b"text/event-stream")
}

fn receiver_stream<T>(receiver: mpsc::Receiver<T>) -> impl futures::Stream<Item = T> {
    futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    })
}
