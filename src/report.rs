//! What a daemon tells its operators: its status, its time line, a request's decisions.

pub mod status;
pub mod timeline;
