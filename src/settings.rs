//! The settings of a process, from a YAML file.

use std::{fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    kernel::id::{Daemon, Zone},
};

/// The settings of a daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The deployment; daemons of another one are refused.
    pub deployment: String,
    /// The name of this daemon.
    pub daemon: Daemon,
    /// Its availability zone.
    pub zone: Zone,
    /// Where it listens.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Where some other daemons listen for peers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The policy that chooses upstreams.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// How long callers may keep an address list, in seconds.
    #[serde(default = "default_address_lifetime")]
    pub address_lifetime_s: u64,
    /// The most engines that load weights at once, over the whole fleet. The same in all daemons.
    #[serde(default = "default_weight_loads")]
    pub weight_loads: u16,
}

/// Where a daemon listens. Port 0 lets the system choose.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Where the platform's services listen.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// [`Error::Settings`] with a line for each fault.
    pub fn read(path: &Path) -> Result<Settings> {
        let fault = |reason: String| Error::Settings(vec![format!("{}: {reason}", path.display())]);
        let text = fs::read_to_string(path).map_err(|error| fault(error.to_string()))?;
        serde_saphyr::from_str(&text).map_err(|error| fault(error.to_string()))
    }
}

fn default_policy() -> String {
    "prefix".to_owned()
}

fn default_address_lifetime() -> u64 {
    10
}

fn default_weight_loads() -> u16 {
    2
}
