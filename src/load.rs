//! Callers of both deployments, which check every answer and measure.

pub mod caller;
pub mod entry;
pub mod protocol;
pub mod reader;
pub mod report;
pub mod run;
pub mod traffic;
