//! The life of one request: attempts, streams, idempotency, suspects.

pub mod suspect;
