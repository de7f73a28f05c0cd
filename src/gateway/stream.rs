//! Splits a server-sent event stream at event boundaries.

pub mod sequence;

use bytes::{Bytes, BytesMut};

use crate::http::memory::Hold;

/// The maximum number of bytes buffered for an incomplete event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of an event stream until events are complete.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// The memory of the buffer.
    hold: Hold,
    exceeds_limit: bool,
    has_returned_events: bool,
    search: Search,
}

/// The search for empty lines in bytes that grow. Each byte is searched once.
#[derive(Debug, Default)]
struct Search {
    /// Bytes that were searched.
    position: usize,
    /// The start of the last line.
    line_start: usize,
    /// Whether CR alone ended the line before it.
    follows_cr: bool,
}

impl Splitter {
    /// A splitter without bytes that takes its memory from `hold`.
    pub fn new(hold: Hold) -> Splitter {
        Splitter {
            buffer: BytesMut::new(),
            hold,
            exceeds_limit: false,
            has_returned_events: false,
            search: Search::default(),
        }
    }

    /// Appends bytes and returns those of the events that are now complete, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if !self.hold.resize(self.buffer.len() + bytes.len()) {
            self.exceeds_limit = true;
            return None;
        }
        self.buffer.extend_from_slice(bytes);
        let end = self.search.end_of_events(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        self.search.skip(end);
        self.hold.resize(self.buffer.len());
        self.has_returned_events = true;
        Some(bytes)
    }

    /// Whether any event was complete.
    pub fn has_returned_events(&self) -> bool {
        self.has_returned_events
    }

    /// Whether an incomplete event is buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The bytes of the incomplete event.
    pub fn partial(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the buffered event exceeds the size limit, or there is no memory for it.
    pub fn exceeds_limit(&self) -> bool {
        self.exceeds_limit || self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Discards the incomplete event.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.search = Search::default();
    }
}

impl Search {
    /// Returns the offset after the last empty line found. Lines end with LF, CRLF or CR.
    fn end_of_events(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        while let Some(byte) = bytes.get(self.position) {
            let index = self.position;
            let ends_with_cr = match (byte, bytes.get(index + 1)) {
                (b'\n', _) => Some(false),
                // An LF that belongs to this line end may follow. It isn't awaited after an empty line
                // in a stream whose lines end with CR alone, where the event would be held back.
                (b'\r', None) if !(self.follows_cr && index == self.line_start) => break,
                (b'\r', next) => (next != Some(&b'\n')).then_some(true),
                _ => None,
            };
            self.position += 1;
            let Some(ends_with_cr) = ends_with_cr else { continue };
            let line = &bytes[self.line_start..index];
            if line.is_empty() || line == b"\r" {
                end = Some(index + 1);
            }
            self.line_start = index + 1;
            self.follows_cr = ends_with_cr;
        }
        end
    }

    /// Leaves out the first `length` bytes, which were searched.
    fn skip(&mut self, length: usize) {
        self.position -= length;
        self.line_start -= length;
    }
}
