//! Decodes a stream of server-sent events, in bounded memory.

/// Bytes that one line may have.
pub const MAX_LINE_BYTES: usize = 1024 * 1024;

/// One line of meaning.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A comment, sent to keep the connection alive.
    Comment,
    /// The value of a `data` field.
    Data(Vec<u8>),
    /// A line that is longer than [`MAX_LINE_BYTES`]; the stream cannot be read on.
    Overlong,
}

/// Cuts bytes as they arrive into events.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    start: usize,
}

impl Decoder {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next event, if the bytes so far hold one.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let rest = &self.buffer[self.start..];
            let Some(end) = rest.iter().position(|it| *it == b'\n') else {
                return (rest.len() > MAX_LINE_BYTES).then_some(Event::Overlong);
            };
            let line = &rest[..end];
            let event = parse(line.strip_suffix(b"\r").unwrap_or(line));
            self.start += end + 1;
            if event.is_some() {
                return event;
            }
        }
    }
}

fn parse(line: &[u8]) -> Option<Event> {
    if line.starts_with(b":") {
        return Some(Event::Comment);
    }
    let value = line.strip_prefix(b"data:")?;
    let value = value.strip_prefix(b" ").unwrap_or(value);
    Some(Event::Data(value.to_vec()))
}
