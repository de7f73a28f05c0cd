//! The streams of an engine, which can be read from any offset.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame, header::CONTENT_TYPE};
use tokio::sync::watch;

use crate::{
    http::server::Body,
    kernel::{
        clock::Time,
        id::{Incarnation, Request, Version},
    },
    standin::answer::Answer,
    upstream::wire::{Choice, Chunk, Finish, Usage},
};

/// How far an answer is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Tokens computed, skipped ones included.
    pub tokens: u64,
    /// Why it ended, if it did.
    pub finish: Option<Finish>,
    /// What it cost so far.
    pub usage: Usage,
    /// When it ended.
    pub ended: Time,
}

/// One answer.
#[derive(Debug)]
pub struct Stream {
    /// The attempt.
    pub request: Request,
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// The version of the weights.
    pub version: Version,
    /// The text.
    pub answer: Answer,
    /// How far it is.
    pub progress: watch::Sender<Progress>,
}

impl Stream {
    /// Ends the answer, if it has not ended.
    pub fn end(&self, finish: Finish, now: Time) {
        self.progress.send_if_modified(|it| {
            if it.finish.is_some() {
                return false;
            }
            it.finish = Some(finish);
            it.ended = now;
            true
        });
    }

    fn chunk(&self, offset: u64, progress: &Progress) -> Chunk {
        let count = progress.tokens.saturating_sub(offset);
        let choice = Choice {
            text: self.answer.text(offset, count),
            tokens: count as u32,
            finish_reason: progress.finish,
        };
        Chunk {
            id: self.request,
            incarnation: self.incarnation,
            version: self.version,
            offset,
            choices: vec![choice],
            usage: progress.finish.map(|_| progress.usage),
        }
    }
}

struct Reader {
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    offset: u64,
    phase: Phase,
}

enum Phase {
    Text,
    Done,
    End,
}

/// The stream as server-sent events from token `offset` on. A crash of the engine cuts it.
pub fn events(stream: Arc<Stream>, offset: u64) -> Response<Body> {
    let progress = stream.progress.subscribe();
    let reader = Reader { stream, progress, offset, phase: Phase::Text };
    let frames = stream::unfold(reader, |mut reader| async move {
        let event = reader.next().await?;
        let frame = Frame::data(Bytes::from(format!("data: {event}\n\n")));
        Some((Ok::<_, std::io::Error>(frame), reader))
    });
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

impl Reader {
    async fn next(&mut self) -> Option<String> {
        match self.phase {
            Phase::Text => {}
            Phase::Done => {
                self.phase = Phase::End;
                return Some("[DONE]".to_owned());
            }
            Phase::End => return None,
        }
        let offset = self.offset;
        let news = |it: &Progress| it.tokens > offset || it.finish.is_some();
        let progress = *self.progress.wait_for(news).await.ok()?;
        let chunk = self.stream.chunk(offset, &progress);
        self.offset = offset.max(progress.tokens);
        if progress.finish.is_some() {
            self.phase = Phase::Done;
        }
        serde_json::to_string(&chunk).ok()
    }
}
