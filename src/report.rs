//! What a daemon tells its operators: its status, health, metrics, log and time line.

pub mod drain;
pub mod health;
pub mod log;
pub mod metric;
pub mod status;
pub mod timeline;
