//! The form in which callers get completions: server-sent events, or one JSON document.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde::Serialize;
use tokio::{
    sync::mpsc,
    time::{self, Interval},
};

use crate::{
    kernel::id::{Model, Request},
    request::{
        assembler::{End, Piece},
        refusal::Refusal,
    },
    upstream::wire::{Finish, Usage},
};

/// Between two comments that tell a waiting caller that its connection works.
pub const HEARTBEAT: Duration = Duration::from_millis(1_000);

const COMMENT: &[u8] = b": waiting\n\n";

/// A part of what a caller gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Part {
    /// A piece of the answer. The last one carries the end.
    Piece(Piece),
    /// In place of the rest.
    Refusal(Refusal),
}

/// Writes the answer to one request.
#[derive(Clone, Debug)]
pub struct Form {
    /// The request.
    pub request: Request,
    /// The model, as the caller named it.
    pub model: Model,
}

#[derive(Serialize)]
struct Document<'a> {
    id: Request,
    object: &'static str,
    model: &'a str,
    offset: u64,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Tokens>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<Finish>,
}

#[derive(Serialize)]
struct Tokens {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: Details,
}

#[derive(Serialize)]
struct Details {
    cached_tokens: u64,
}

impl Form {
    /// The JSON document for a text that starts at `offset` in the answer.
    pub fn document(&self, offset: u64, text: &str, end: Option<End>) -> Vec<u8> {
        let document = Document {
            id: self.request,
            object: "text_completion",
            model: self.model.as_str(),
            offset,
            choices: [Choice { index: 0, text, finish_reason: end.map(|it| it.finish) }],
            usage: end.map(|it| Tokens::new(&it.usage)),
        };
        // Only maps with keys that are no strings, and failing writers, give errors.
        serde_json::to_vec(&document).unwrap_or_default()
    }

    /// The server-sent events for a part.
    pub fn events(&self, part: &Part) -> Bytes {
        let mut events = Vec::new();
        match part {
            Part::Piece(piece) => {
                events.extend_from_slice(b"data: ");
                events.extend(self.document(piece.offset, &piece.text, piece.end));
                events.extend_from_slice(b"\n\n");
                if piece.end.is_some() {
                    events.extend_from_slice(b"data: [DONE]\n\n");
                }
            }
            Part::Refusal(refusal) => {
                events.extend_from_slice(b"event: error\ndata: ");
                events.extend(serde_json::to_vec(&refusal.document()).unwrap_or_default());
                events.extend_from_slice(b"\n\n");
            }
        }
        events.into()
    }
}

impl Tokens {
    fn new(usage: &Usage) -> Tokens {
        Tokens {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
            prompt_tokens_details: Details { cached_tokens: usage.cached_tokens },
        }
    }
}

/// The body of a streamed answer. Dropping it tells the sender that the caller is gone.
pub struct Events {
    form: Form,
    first: Option<Part>,
    parts: mpsc::Receiver<Part>,
    heartbeat: Interval,
    ended: bool,
}

impl Events {
    /// The events for `first`, if it has arrived already, and for what follows.
    pub fn new(form: Form, first: Option<Part>, parts: mpsc::Receiver<Part>) -> Events {
        Events { form, first, parts, heartbeat: time::interval(HEARTBEAT), ended: false }
    }
}

impl Body for Events {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = self.get_mut();
        if this.ended {
            return Poll::Ready(None);
        }
        let part = match this.first.take() {
            Some(part) => Poll::Ready(Some(part)),
            None => this.parts.poll_recv(cx),
        };
        let Poll::Ready(part) = part else {
            ready!(this.heartbeat.poll_tick(cx));
            return Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(COMMENT)))));
        };
        this.heartbeat.reset();
        let Some(part) = part else {
            // The sender always ends with a last piece or a refusal.
            let cut = io::Error::new(io::ErrorKind::UnexpectedEof, "the answer broke off");
            return Poll::Ready(Some(Err(cut)));
        };
        this.ended = match &part {
            Part::Piece(piece) => piece.end.is_some(),
            Part::Refusal(_) => true,
        };
        Poll::Ready(Some(Ok(Frame::data(this.form.events(&part)))))
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }
}
