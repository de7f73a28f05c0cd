//! Types used throughout the library: identifiers, clocks, the daemon's shared context, and the
//! registries of its components and HTTP routes.
//!
//! Terms: a daemon is a router process. Its peers are the other daemons of the deployment, and a
//! member is one run of a daemon in the fleet. An upstream is a server behind the router. A run of
//! a daemon or an upstream, from start to exit, is identified by its incarnation. A daemon is
//! leaving once its planned shutdown has begun. The configuration is the catalog that operators
//! edit.

pub mod clock;
pub mod context;
pub mod id;
pub mod registry;
