//! Rows of the store that outlive all daemons: which builds a service had, and which build began a
//! stream.

use serde::{Deserialize, Serialize};

use crate::{
    gateway::store::Era,
    kernel::id::{Build, Incarnation, Service},
    route::pool::name_hash,
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
    /// The one of several builds at which daemons begin streams without a [`Claim`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unclaimed: Option<Build>,
}

impl Builds {
    /// The key of the row of a service.
    pub fn key(service: &Service) -> String {
        format!("{BUILDS_PREFIX}{}", service.as_str())
    }

    /// The build at which daemons begin streams without a [`Claim`], if all other builds are claimed.
    pub fn unclaimed(&self) -> Option<&Build> {
        let unclaimed = match &self.builds[..] {
            [only] => Some(only),
            _ => self.unclaimed.as_ref(),
        };
        let lost = lost_builds();
        unclaimed.filter(|it| self.builds.contains(it) && !self.builds.contains(&lost))
    }
}

/// The builds at which a daemon process may have begun streams, besides the unclaimed one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The name of the daemon.
    pub daemon: String,
    /// Its process.
    pub incarnation: Incarnation,
    /// The builds, sorted.
    pub builds: Vec<Build>,
}

impl Claim {
    /// The prefix of the keys of all claims at a service.
    pub fn prefix(service: &Service) -> String {
        format!("{:016x}/", name_hash(service.as_str()))
    }

    /// The key of the claim of a daemon process at a service.
    pub fn key(service: &Service, daemon: &str, incarnation: Incarnation) -> String {
        format!("{}{daemon}/{incarnation}", Claim::prefix(service))
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
