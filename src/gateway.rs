//! Reverse proxy for calls that the operator's document routes to services. The upstreams of a
//! service register themselves and answer its calls. An engine is an upstream that runs models, and
//! a [`roster::Endpoint`] is what a daemon knows of a registered upstream.
//!
//! The platform is the environment of the daemons and upstreams; the `tealturn-platform` crate
//! connects the gateway to it. The platform calls a workspace a tenant.
//!
//! [`document`], [`roster`], [`place`], [`origin`], [`budget`], [`limit`], [`permit`], [`quota`], [`crash`],
//! [`freshness`], [`reach`], [`room`], [`rollout`] and [`shutdown`] make
//! decisions and perform no I/O. [`relay`] forwards calls, [`follow`] mirrors the contents of the store, and
//! [`operate`] sends load orders to engines. The traits in [`dialect`] and [`store`] hide the
//! external protocols.

pub mod bar;
pub mod brittle;
pub mod budget;
pub mod cache;
pub mod call;
pub mod context;
pub mod controller;
pub mod crash;
pub mod dialect;
pub mod document;
pub mod entry;
pub mod era;
pub mod exchange;
pub mod follow;
pub mod freshness;
pub mod gauge;
pub mod hold;
pub mod limit;
pub mod member;
pub mod message;
pub mod mirror;
pub mod operate;
pub mod origin;
pub mod peer;
pub mod permit;
pub mod place;
pub mod quota;
pub mod reach;
pub mod record;
pub mod relay;
pub mod retract;
pub mod rollout;
pub mod room;
pub mod roster;
pub mod salt;
pub mod settings;
pub mod shutdown;
pub mod store;
pub mod stream;
pub mod topology;
pub mod watch;
