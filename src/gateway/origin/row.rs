//! Rows of the store that outlive all daemons: which builds a service had, and which build began a
//! stream.

use serde::{Deserialize, Serialize};

use crate::{
    gateway::store::Era,
    kernel::id::{Build, Service},
};

/// Key prefix of the rows of services.
const BUILDS_PREFIX: &str = "builds/";

/// Key prefix of the rows of streams.
pub const STREAM_PREFIX: &str = "stream/";

/// The builds that a service had lately.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Builds {
    /// The era of the store in which the row was known to be complete.
    pub era: Era,
    /// The builds, sorted.
    pub builds: Vec<Build>,
}

impl Builds {
    /// The key of the row of a service.
    pub fn key(service: &Service) -> String {
        format!("{BUILDS_PREFIX}{}", service.as_str())
    }
}

/// The origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stream {
    /// The build of the upstream that began it.
    pub build: Build,
}

impl Stream {
    /// The key of the row of the stream that an attempt began.
    pub fn key(attempt: u64) -> String {
        format!("{STREAM_PREFIX}{attempt:016x}")
    }
}

/// Stands for the builds of a service that no daemon remembers and that the store has lost.
pub fn lost_builds() -> Build {
    Build::from("")
}
