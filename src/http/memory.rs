//! Bounds the memory that calls, their bodies and answers from other processes take while they are held.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use crate::http::server::Body;

/// Bytes up to which an answer, or a piece of one, isn't counted. Ordinary answers stay below, so that
/// none of them fails because others are endless.
const UNCOUNTED_BYTES: usize = 4 * 1024;

/// Memory that is shared by all answers.
#[derive(Debug)]
pub struct Memory {
    used: AtomicUsize,
    limit: usize,
}

/// A part of the memory; given back when dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// Memory of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Memory> {
        Arc::new(Memory { used: AtomicUsize::new(0), limit })
    }

    /// Bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// A hold of no bytes.
    pub fn hold(self: &Arc<Memory>) -> Hold {
        Hold { memory: self.clone(), bytes: 0 }
    }
}

impl Hold {
    /// Holds what `bytes` bytes take in place of what it held; returns whether there was room.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let bytes = if bytes <= UNCOUNTED_BYTES { 0 } else { bytes };
        let used = &self.memory.used;
        if bytes <= self.bytes {
            used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        }
        let more = bytes - self.bytes;
        if used.fetch_add(more, Ordering::Relaxed) + more > self.memory.limit {
            used.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.bytes = bytes;
        true
    }

    /// Bytes whose memory is held for as long as they exist.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        match self.bytes {
            0 => bytes,
            _ => Bytes::from_owner(Held { bytes, _hold: self }),
        }
    }

    /// A body whose memory is held until it has been sent or dropped.
    pub fn keep_body(self, body: Body) -> Body {
        HeldBody { body, _hold: self }.boxed()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

struct Held {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

struct HeldBody {
    body: Body,
    _hold: Hold,
}

impl hyper::body::Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A growing body.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    hold: Hold,
    limit: usize,
}

impl Buffer {
    /// An empty body that may have `limit` bytes.
    pub fn new(hold: Hold, limit: usize) -> Buffer {
        Buffer { bytes: Vec::new(), hold, limit }
    }

    /// Appends bytes; returns whether there was room.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.bytes.len() + bytes.len();
        if length > self.limit || !self.reserve(length) {
            return false;
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Makes room for `length` bytes, and for twice what there was if that can be held: what counts is
    /// what is allocated.
    fn reserve(&mut self, length: usize) -> bool {
        if length <= self.bytes.capacity() {
            return true;
        }
        let doubled = (2 * self.bytes.capacity()).min(self.limit).max(length);
        let capacity = if self.hold.resize(doubled) { doubled } else { length };
        if !self.hold.resize(capacity) {
            return false;
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        true
    }

    /// Bytes that it has.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The whole body.
    pub fn finish(self) -> Bytes {
        self.hold.keep(Bytes::from(self.bytes))
    }
}
