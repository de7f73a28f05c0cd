//! The engines, plain services and KV stores behind the router.

pub mod directory;
pub mod engine;
pub mod poll;
pub mod roster;
pub mod sse;
pub mod wire;
