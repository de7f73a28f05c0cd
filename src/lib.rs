//! A router for language-model traffic with long shared prompts.
//!
//! The decisions ([`prefix`], [`route`], [`admission`], [`request`], [`fleet`], [`control`])
//! are free of I/O: they take the state, the time and an event and return outcomes. The edge
//! ([`http`], [`platform`], [`upstream`], [`serve`]) carries them over the network.

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
