//! Bounds the bytes that a daemon sends to its peers.

use crate::kernel::clock::Time;

/// Bytes of payload that a daemon may send a second over a longer time. As much comes in, and
/// the framing adds to it; together they stay under 3 KB a second.
pub const BYTES_PER_SECOND: i64 = 1_100;

/// Bytes that may be saved up.
pub const MAX_SAVED_BYTES: i64 = 8 * 1_024;

/// Urgent messages are put off while more bytes than this were sent ahead of the budget.
pub const MAX_AHEAD_BYTES: i64 = 16 * 1_024;

/// The bytes that may be sent now.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    bytes: i64,
    at: Time,
}

impl Budget {
    /// A full budget.
    pub fn new(now: Time) -> Budget {
        Budget { bytes: MAX_SAVED_BYTES, at: now }
    }

    /// The bytes that may be sent now; none after too much was sent.
    pub fn spare(&mut self, now: Time) -> usize {
        self.fill(now);
        usize::try_from(self.bytes).unwrap_or(0)
    }

    /// Whether no more urgent messages may be sent now.
    pub fn is_far_ahead(&mut self, now: Time) -> bool {
        self.fill(now);
        self.bytes <= -MAX_AHEAD_BYTES
    }

    /// Takes note that bytes were sent.
    pub fn spend(&mut self, now: Time, bytes: usize) {
        self.fill(now);
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    fn fill(&mut self, now: Time) {
        let micros = now.since(self.at).as_micros();
        let micros = i64::try_from(micros).unwrap_or(i64::MAX);
        let earned = micros.saturating_mul(BYTES_PER_SECOND) / 1_000_000;
        if earned == 0 {
            return;
        }
        self.at = now;
        self.bytes = self.bytes.saturating_add(earned).min(MAX_SAVED_BYTES);
    }
}
