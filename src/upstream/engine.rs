//! Opens, resumes, reads and cancels the streams of engines.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{StatusCode, body::Body};
use tokio::time;

use crate::{
    Error,
    http::client::{self, Answer, Client},
    kernel::id::{Incarnation, Request},
    upstream::{
        sse::{Decoder, Event},
        wire::{Chunk, Completion, Refusal},
    },
};

/// The mark after the last chunk.
const DONE: &[u8] = b"[DONE]";

/// The longest wait for the end of a stream whose last chunk has arrived.
const END_TIMEOUT: Duration = Duration::from_millis(200);

/// The longest wait for the answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a stream did not open.
#[derive(Debug)]
pub enum Failure {
    /// No byte was sent. Whether the connection was refused, as by a process that has ended.
    Unreachable(bool),
    /// The engine ran nothing. The refusal is left out if its body could not be read.
    Refused(StatusCode, Option<Refusal>),
    /// This run of the engine does not know the stream.
    UnknownStream(Option<Incarnation>),
    /// The request may have arrived.
    Lost,
}

/// What was read from a stream.
#[derive(Debug)]
pub enum Read {
    /// A chunk.
    Chunk(Box<Chunk>),
    /// A sign of life.
    Comment,
    /// The mark after the last chunk.
    Done,
    /// Bytes that are no chunk.
    Malformed,
    /// The connection ended.
    Closed,
}

/// An open stream.
pub struct Stream {
    answer: Answer,
    decoder: Decoder,
}

/// Sends a completion; over a new connection if `fresh`.
///
/// # Errors
///
/// Why the stream did not open.
pub async fn open(
    client: &Client,
    address: SocketAddr,
    completion: &Completion,
    fresh: bool,
) -> Result<Stream, Failure> {
    let body = serde_json::to_vec(completion).map_err(|_| Failure::Unreachable(false))?;
    let request = client::request("POST", address, "/v1/completions", Bytes::from(body))
        .map_err(|_| Failure::Unreachable(false))?;
    let sent = if fresh {
        client.send_fresh(address, request).await
    } else {
        client.send(address, request).await
    };
    stream(client, sent).await
}

/// Asks for the stream of an attempt from token `offset` on, over a new connection.
///
/// # Errors
///
/// Why the stream did not open.
pub async fn resume(
    client: &Client,
    address: SocketAddr,
    attempt: Request,
    offset: u64,
) -> Result<Stream, Failure> {
    let path = format!("/v1/streams/{attempt}?offset={offset}");
    let request = client::request("GET", address, &path, Bytes::new())
        .map_err(|_| Failure::Unreachable(false))?;
    stream(client, client.send_fresh(address, request).await).await
}

/// Cancels an attempt. A lost cancellation costs work, but never a wrong answer.
pub async fn cancel(client: &Client, address: SocketAddr, attempt: Request) {
    let path = format!("/v1/streams/{attempt}");
    let Ok(request) = client::request("DELETE", address, &path, Bytes::new()) else {
        return;
    };
    let Ok(Ok(answer)) = time::timeout(CANCEL_TIMEOUT, client.send_fresh(address, request)).await
    else {
        return;
    };
    drop(time::timeout(CANCEL_TIMEOUT, client.finish(answer)).await);
}

impl Stream {
    /// Reads on. Dropping the future loses nothing.
    pub async fn read(&mut self) -> Read {
        loop {
            if let Some(event) = self.decoder.next_event() {
                return event.into();
            }
            let Some(Ok(frame)) = self.answer.response.body_mut().frame().await else {
                return Read::Closed;
            };
            if let Some(bytes) = frame.data_ref() {
                self.decoder.push(bytes);
            }
        }
    }

    /// Reads the rest of a stream whose last chunk has arrived, and keeps its connection.
    pub async fn finish(mut self, client: &Client) {
        let end = async {
            loop {
                match self.read().await {
                    Read::Closed => return self.answer.response.body().is_end_stream(),
                    Read::Done | Read::Comment => {}
                    Read::Chunk(_) | Read::Malformed => return false,
                }
            }
        };
        if time::timeout(END_TIMEOUT, end).await == Ok(true) {
            client.release(self.answer);
        }
    }
}

impl From<Event> for Read {
    fn from(event: Event) -> Read {
        match event {
            Event::Comment => Read::Comment,
            Event::Overlong => Read::Malformed,
            Event::Data(data) if data == DONE => Read::Done,
            Event::Data(data) => match serde_json::from_slice(&data) {
                Ok(chunk) => Read::Chunk(Box::new(chunk)),
                Err(_) => Read::Malformed,
            },
        }
    }
}

async fn stream(client: &Client, sent: Result<Answer, Error>) -> Result<Stream, Failure> {
    let answer = match sent {
        Ok(answer) => answer,
        Err(Error::Connect { source, .. }) => {
            let refused = source.kind() == std::io::ErrorKind::ConnectionRefused;
            return Err(Failure::Unreachable(refused));
        }
        Err(_) => return Err(Failure::Lost),
    };
    let status = answer.response.status();
    match status {
        StatusCode::OK => Ok(Stream { answer, decoder: Decoder::default() }),
        StatusCode::NOT_FOUND => {
            let refusal = refusal(client, answer).await;
            Err(Failure::UnknownStream(refusal.map(|it| it.incarnation)))
        }
        StatusCode::CONFLICT
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::BAD_REQUEST => Err(Failure::Refused(status, refusal(client, answer).await)),
        _ => Err(Failure::Lost),
    }
}

async fn refusal(client: &Client, answer: Answer) -> Option<Refusal> {
    let body = client.finish(answer).await.ok()?;
    serde_json::from_slice(&body).ok()
}
