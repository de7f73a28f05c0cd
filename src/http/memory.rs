//! Bounds the memory that answers from other processes take while they are held.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};

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

/// A growing answer.
#[derive(Debug)]
pub struct Buffer {
    bytes: BytesMut,
    hold: Hold,
    limit: usize,
}

impl Buffer {
    /// An empty answer that may have `limit` bytes.
    pub fn new(hold: Hold, limit: usize) -> Buffer {
        Buffer { bytes: BytesMut::new(), hold, limit }
    }

    /// Appends bytes; returns whether there was room.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let length = self.bytes.len() + bytes.len();
        if length > self.limit || !self.hold.resize(length) {
            return false;
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// The whole answer.
    pub fn finish(self) -> Bytes {
        self.hold.keep(self.bytes.freeze())
    }
}
