//! HTTP on both sides, over `hyper`, with no repetition of requests behind the caller's back.

pub mod client;
pub mod memory;
pub mod server;
pub mod stall;
