//! What the daemons decide together: membership, the exchange of facts, addresses.

pub mod board;
