//! Splits a series of events into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes of one event that are kept while its end is missing.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Collects the bytes of a series of events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
}

/// Whole events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Events {
    /// Their bytes, as they came.
    pub bytes: Bytes,
    /// The identifier of the last of them, if it has one.
    pub last_id: Option<String>,
}

impl Splitter {
    /// Adds bytes; returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Events> {
        self.buffer.extend_from_slice(bytes);
        let end = end_of_events(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let last_id = last_id(&bytes);
        Some(Events { bytes, last_id })
    }

    /// Whether an event has begun whose end is missing.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether an event is longer than may be kept.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Drops an event that has begun.
    pub fn clear(&mut self) {
        self.buffer.clear();
    }
}

/// The place after the last empty line.
fn end_of_events(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut line = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = &bytes[line..place];
        if text.is_empty() || text == b"\r" {
            end = Some(place + 1);
        }
        line = place + 1;
    }
    end
}

fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|it| *it == b'\n').rev();
    for line in lines {
        let Some(id) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(id).ok().map(|it| it.trim().to_owned());
    }
    None
}
