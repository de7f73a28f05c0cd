//! Leases, and the orders to engines that are given under them.
//!
//! The engines are divided into shards by name. A daemon gives orders to the engines of a shard
//! only while it holds the shard's lease, and starts a load of weights only while it also holds
//! one of the few load leases. See `docs/CONTROL.md`.
//!
//! [`core::Core`] decides, free of I/O; [`edge`] carries its outcomes to the table service and
//! the engines.

pub mod charge;
mod command;
pub mod core;
pub mod edge;
pub mod event;
pub mod lease;
pub mod plan;
pub mod rollout;
pub mod shard;
pub mod slot;
