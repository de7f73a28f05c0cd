//! What the daemons decide together: membership, the exchange of facts, addresses.

pub mod address;
pub mod board;
pub mod budget;
pub mod contact;
pub mod core;
pub mod exchange;
pub mod fact;
pub mod inquiry;
pub mod link;
pub mod member;
pub mod message;
pub mod page;
pub mod roster;
pub mod service;
pub mod stream;
pub mod transport;
