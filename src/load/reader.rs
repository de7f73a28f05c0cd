//! Reads a streamed answer and checks that it is whole, in order and the caller's own.

use crate::{
    load::protocol::{Chunk, Detail, Refusal, Usage},
    standin::answer::Answer,
};

/// Bytes of one token of an answer.
const TOKEN_BYTES: usize = 8;

/// What a stream has shown so far.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum State {
    /// It goes on.
    Open,
    /// The answer is whole.
    Whole(Usage),
    /// The router broke it off and said why.
    Refused(Detail),
    /// It is not the answer to this prompt.
    Wrong(String),
}

/// The reader of one stream.
pub struct Reader {
    expected: String,
    received: usize,
    usage: Option<Usage>,
    buffer: Vec<u8>,
}

impl Reader {
    /// A reader of the answer of `tokens` tokens to `prompt`.
    pub fn new(prompt: &str, tokens: u32) -> Reader {
        Reader {
            expected: Answer::new(prompt).text(0, u64::from(tokens)),
            received: 0,
            usage: None,
            buffer: Vec::new(),
        }
    }

    /// Whether any text has arrived.
    pub fn has_text(&self) -> bool {
        self.received > 0
    }

    /// Takes bytes of the stream.
    pub fn read(&mut self, bytes: &[u8]) -> State {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = find(&self.buffer, b"\n\n") {
            let event = self.buffer.drain(..end + 2).collect::<Vec<u8>>();
            let state = match std::str::from_utf8(&event[..end]) {
                Ok(text) => self.event(text),
                Err(error) => State::Wrong(error.to_string()),
            };
            if state != State::Open {
                return state;
            }
        }
        State::Open
    }

    fn event(&mut self, text: &str) -> State {
        let mut is_error = false;
        let mut data = String::new();
        for line in text.lines() {
            if let Some(rest) = line.strip_prefix("data: ") {
                data.push_str(rest);
            }
            is_error |= line == "event: error";
        }
        if is_error {
            return match serde_json::from_str::<Refusal>(&data) {
                Ok(refusal) => State::Refused(refusal.error),
                Err(error) => State::Wrong(format!("malformed refusal: {error}")),
            };
        }
        if data == "[DONE]" {
            return self.done();
        }
        if data.is_empty() {
            return State::Open;
        }
        match serde_json::from_str::<Chunk>(&data) {
            Ok(chunk) => self.chunk(&chunk),
            Err(error) => State::Wrong(format!("malformed chunk: {error}")),
        }
    }

    fn chunk(&mut self, chunk: &Chunk) -> State {
        let offset = chunk.offset as usize * TOKEN_BYTES;
        if offset != self.received {
            return State::Wrong(format!("a chunk at byte {offset} after {} bytes", self.received));
        }
        for choice in &chunk.choices {
            let rest = &self.expected[self.received..];
            if !rest.starts_with(&choice.text) {
                return State::Wrong(format!("other text after {} bytes", self.received));
            }
            self.received += choice.text.len();
        }
        self.usage = chunk.usage.or(self.usage);
        State::Open
    }

    fn done(&self) -> State {
        if self.received != self.expected.len() {
            return State::Wrong(format!(
                "ended after {} of {} bytes",
                self.received,
                self.expected.len()
            ));
        }
        self.usage.map_or_else(|| State::Wrong("ended without usage".to_owned()), State::Whole)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|it| it == pattern)
}
