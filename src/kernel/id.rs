//! Identifiers. String identifiers are reference-counted, so cloning one does not allocate.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(value: &str) -> $name {
                $name(Arc::from(value))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// The name of a workspace: a customer of the deployment, whose data is isolated from that of
    /// other customers.
    Workspace
}
string_id! {
    /// The name of a model, as callers specify it.
    Model
}
string_id! {
    /// The name of an adapter that is applied to a model's weights.
    Adapter
}
string_id! {
    /// The name of a plain service, that is, one other than an inference engine, as callers specify
    /// it.
    Service
}
string_id! {
    /// The name of an availability zone.
    Zone
}
string_id! {
    /// The name of a router daemon.
    Daemon
}
string_id! {
    /// The name of a server behind the router: an inference engine, a plain service, or a store of
    /// attention KV caches.
    Upstream
}
string_id! {
    /// The version of an upstream's software, as it registers it. The weights that it serves have
    /// a [`Version`] of their own.
    Build
}
string_id! {
    /// The name of a template in the catalog: what its instances serve to their workspaces.
    Template
}

/// The version of a model's weights. Higher numbers are newer.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies one run of a daemon or an upstream, from start to exit. Later runs under the same
/// name have higher numbers; different names may have the same one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The revision of the catalog. Each accepted change increments it by one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Identifies a caller's request, or one attempt to execute it: each choice of an engine for a
/// completion starts a new attempt. Its text form is 32 hexadecimal digits.
///
/// How far it is unique depends on its source: across all daemons for
/// [`kernel::context::Context::next_request_id`](crate::kernel::context::Context::next_request_id),
/// within one daemon process for
/// [`gateway::context::Context::next_attempt_id`][next_attempt_id].
///
/// [next_attempt_id]: crate::gateway::context::Context::next_attempt_id
#[derive(
    Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Request(pub u128);

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for Request {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Request, Self::Err> {
        u128::from_str_radix(text, 16).map(Request)
    }
}
