//! Callers of both deployments, which check every answer and measure.

pub mod bench;
pub mod caller;
pub mod compare;
pub mod entry;
pub mod oracle;
pub mod overhead;
pub mod protocol;
pub mod reader;
pub mod report;
pub mod run;
pub mod scene;
pub mod setup;
pub mod traffic;
