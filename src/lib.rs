//! A router for LLM inference requests with long shared prompts.
//!
//! The decision logic ([`prefix`], [`route`], [`admission`], [`request`], [`fleet`], [`control`])
//! performs no I/O: it takes the state, the time and an event, and returns outcomes. The I/O layer
//! ([`http`], [`platform`], [`upstream`], [`serve`]) connects it to the network.

pub mod admission;
pub mod catalog;
pub mod collections;
pub mod control;
pub mod error;
pub mod fleet;
pub mod gateway;
pub mod http;
pub mod kernel;
pub mod load;
pub mod operate;
pub mod platform;
pub mod prefix;
pub mod report;
pub mod request;
pub mod route;
pub mod serve;
pub mod settings;
pub mod standin;
pub mod timeline;
pub mod upstream;

pub use error::{Error, Result};
