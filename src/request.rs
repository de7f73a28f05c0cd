//! The life of one request: attempts, streams, idempotency, suspects.

pub mod assembler;
pub mod attempt;
pub mod once;
pub mod refusal;
pub mod suspect;
