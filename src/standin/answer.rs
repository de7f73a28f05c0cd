//! The text that every stand-in engine answers to a prompt.
//!
//! A token depends on the prompt and its place only, so a caller can check a whole answer. An
//! answer to a request for at most N tokens has exactly N.

use std::fmt::Write;

/// Hexadecimal digits of a token; a space follows them.
const DIGITS: usize = 7;

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Answer {
    seed: u64,
}

impl Answer {
    /// The answer to `prompt`.
    pub fn new(prompt: &str) -> Answer {
        let digest = blake3::hash(prompt.as_bytes());
        let mut seed = [0; 8];
        seed.copy_from_slice(&digest.as_bytes()[..8]);
        Answer { seed: u64::from_le_bytes(seed) }
    }

    /// The text of `count` tokens, from token `offset` on.
    pub fn text(&self, offset: u64, count: u64) -> String {
        let mut text = String::with_capacity(count as usize * (DIGITS + 1));
        for place in offset..offset + count {
            let bits = mix(self.seed.wrapping_add(place)) >> (64 - 4 * DIGITS);
            // Writing to a string cannot fail.
            let _ = write!(text, "{bits:0width$x} ", width = DIGITS);
        }
        text
    }
}

/// Token `place` of the answer to `prompt`, counted from 0.
pub fn token(prompt: &str, place: u64) -> String {
    Answer::new(prompt).text(place, 1)
}

/// The finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
