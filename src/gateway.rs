//! The pass-through path: calls that an operator's document routes to services, which are
//! answered by upstreams that register themselves.
//!
//! The decisions ([`document`], [`roster`], [`place`], [`budget`], [`freshness`], [`rollout`]) are
//! free of I/O. [`relay`] carries calls, [`follow`] keeps what the store holds, [`operate`] gives
//! orders to engines. What the outside speaks is behind the traits of [`dialect`] and [`store`].

pub mod budget;
pub mod cache;
pub mod call;
pub mod context;
pub mod controller;
pub mod dialect;
pub mod document;
pub mod entry;
pub mod follow;
pub mod freshness;
pub mod gauge;
pub mod hold;
pub mod member;
pub mod operate;
pub mod peer;
pub mod place;
pub mod pulse;
pub mod relay;
pub mod rollout;
pub mod roster;
pub mod settings;
pub mod store;
pub mod stream;
pub mod watch;
