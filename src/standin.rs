//! Small stand-ins for the platform and the upstreams, for tests and for trying the router out.
//!
//! Each listens on a port of its own and has faults that a call switches on and off
//! (`PUT /faults`, see [`engine::Faults`], [`platform::Faults`] and [`plain::Faults`]).

pub mod answer;
pub mod deployment;
pub mod engine;
pub mod kv;
pub mod ledger;
pub mod page;
pub mod plain;
pub mod platform;
pub mod port;
