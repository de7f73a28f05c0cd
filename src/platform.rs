//! The platform's services as the router sees them, behind traits.

pub mod client;
pub mod table;
pub mod vm;
