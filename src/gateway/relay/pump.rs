//! Passes streams on event by event, and continues them at another upstream.

use std::io;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::{HeaderMap, Response, body::Frame, header};
use metrics::counter;
use tokio::{sync::mpsc, time};
use tracing::info;

use crate::{
    gateway::{
        document::RouteKind,
        entry::end_to_end,
        hold::Hold,
        relay::{Drive, MAX_REFUSALS, Sent},
        stream::Splitter,
    },
    http::{client::Answer, server::Body},
};

/// Pieces of a stream that wait for a slow caller.
const WAITING_PIECES: usize = 8;

impl Drive {
    /// Passes a series of events on as they arrive.
    pub(super) fn stream(self, held: Hold, answer: Box<Answer>) -> Response<Body> {
        let status = answer.response.status();
        let headers = stream_headers(answer.response.headers());
        let (sender, receiver) = mpsc::channel(WAITING_PIECES);
        tokio::spawn(self.pump(held, answer, sender));
        let body = StreamBody::new(tokio_stream(receiver)).boxed();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    async fn pump(
        mut self,
        mut held: Hold,
        mut answer: Box<Answer>,
        sender: mpsc::Sender<io::Result<Frame<Bytes>>>,
    ) {
        let mut last_event = self.call.ask.last_event.clone();
        let mut splitter = Splitter::default();
        loop {
            let end = self.events(&mut held, &mut answer, &mut splitter, &mut last_event, &sender);
            let end = end.await;
            let now = self.context.now();
            let upstream = held.choice.endpoint.name.clone();
            match end {
                End::Complete => {
                    held.finish();
                    self.context.client.release(*answer);
                    self.record();
                    return;
                }
                End::CallerLeft => {
                    info!(attempt = self.call.ask.attempt, "the caller left");
                    return;
                }
                End::Expired | End::Broken(_) => {}
            }
            match end {
                End::Broken(_) => held.broken().await,
                _ => drop(held.choice.endpoint.gauge.fail(now)),
            }
            let reason = match end {
                End::Broken(reason) => reason,
                _ => "the deadline has passed".to_owned(),
            };
            info!(
                attempt = self.call.ask.attempt,
                upstream = upstream.as_str(),
                last_event,
                reason,
                "stream broke off"
            );
            let resumable = self.call.route.kind == RouteKind::Stream { resumable: true };
            let again = resumable && self.may_run_again();
            self.runs += 1;
            self.avoid.push(upstream);
            drop(held);
            splitter.clear();
            let next = match again {
                true => self.resume(last_event.clone()).await,
                false => None,
            };
            let Some((next_held, next_answer)) = next else {
                counter!("tealturn_streams_broken_total").increment(1);
                // The connection must not look as if the answer were complete.
                let broken = io::Error::other("the upstream's answer broke off");
                drop(sender.send(Err(broken)).await);
                return;
            };
            (held, answer) = (next_held, next_answer);
        }
    }

    /// Continues a stream at another upstream.
    async fn resume(&mut self, last: Option<String>) -> Option<(Hold, Box<Answer>)> {
        while self.refusals < MAX_REFUSALS {
            let held = self.wait().await.ok()?;
            match self.send_from(&held, last.clone()).await {
                Sent::Answer(answer) if answer.response.status().is_success() => {
                    return Some((held, answer));
                }
                sent @ (Sent::Unreachable(_) | Sent::NotRun(_)) => {
                    self.unsent += u32::from(matches!(sent, Sent::Unreachable(_)));
                    self.refusals += 1;
                    self.avoid.push(held.choice.endpoint.name.clone());
                }
                Sent::Answer(..) | Sent::Lost(_) | Sent::TimedOut => return None,
            }
        }
        None
    }

    async fn events(
        &self,
        held: &mut Hold,
        answer: &mut Answer,
        splitter: &mut Splitter,
        last_event: &mut Option<String>,
        sender: &mpsc::Sender<io::Result<Frame<Bytes>>>,
    ) -> End {
        loop {
            let left = self.call.deadline.since(self.context.now());
            let frame = tokio::select! {
                frame = answer.response.body_mut().frame() => frame,
                () = sender.closed() => return End::CallerLeft,
                () = held.death.cancelled() => {
                    return End::Broken("the upstream is dead".to_owned());
                }
                () = time::sleep(left) => return End::Expired,
            };
            let frame = match frame {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => return End::Broken(error.to_string()),
                None if splitter.is_partial() => {
                    return End::Broken("it ended within an event".to_owned());
                }
                None => return End::Complete,
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            held.choice.endpoint.gauge.hear(self.context.now());
            held.first();
            let Some(events) = splitter.push(bytes) else {
                if splitter.is_overlong() {
                    return End::Broken("an event is too long".to_owned());
                }
                continue;
            };
            if events.last_id.is_some() {
                *last_event = events.last_id;
            }
            let sent = time::timeout(left, sender.send(Ok(Frame::data(events.bytes)))).await;
            match sent {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return End::CallerLeft,
                Err(_) => return End::Expired,
            }
        }
    }
}

/// How an upstream's stream ended.
enum End {
    Complete,
    CallerLeft,
    Expired,
    Broken(String),
}

fn stream_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end(headers);
    kept.remove(header::CONTENT_LENGTH);
    kept
}

fn tokio_stream<T>(receiver: mpsc::Receiver<T>) -> impl futures::Stream<Item = T> {
    futures::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|item| (item, receiver))
    })
}
