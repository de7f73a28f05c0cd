//! Identifiers. Names are shared strings, so that a clone costs no allocation.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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

name! {
    /// A customer of the deployment, whose data never meets another's.
    Workspace
}
name! {
    /// A model, as callers name it.
    Model
}
name! {
    /// An adapter on top of a model's weights.
    Adapter
}
name! {
    /// A plain service beside the engines, as callers name it.
    Service
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A process of the router.
    Daemon
}
name! {
    /// A process behind the router: an engine, a plain service or a KV store.
    Upstream
}
name! {
    /// A template of the catalog.
    Template
}

/// A version of a model's weights. A higher number is newer.
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

/// One run of a process, from its start to its end. A later run of the same process has a
/// higher number.
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

/// A revision of the catalog. An accepted change raises it by one.
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

/// One attempt of one request, unique over all daemons: 32 hexadecimal digits as text.
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
