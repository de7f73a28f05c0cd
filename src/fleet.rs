//! What the daemons decide together: membership, the exchange of facts, addresses.

pub mod address;
pub mod board;
pub mod member;
pub mod watch;
