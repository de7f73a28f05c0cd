//! The engines, plain services and KV stores behind the router.

pub mod directory;
pub mod wire;
