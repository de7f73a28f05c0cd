//! Foundations shared by all modules: identifiers, clocks, the daemon's shared context, and the
//! registries of its components and HTTP routes.

pub mod clock;
pub mod context;
pub mod id;
pub mod registry;
