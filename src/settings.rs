//! The settings of a process, from a YAML file.

pub mod check;
pub mod tree;

use std::{fs, net::SocketAddr, path::Path};

use serde::{Deserialize, Serialize};
use serde_saphyr::Spanned;

use crate::{
    Error, Result,
    kernel::id::{Daemon, Zone},
    settings::tree::Node,
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
    /// How logs are written.
    #[serde(default)]
    pub log: Log,
}

/// How logs are written.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// The form of a line.
    pub format: Format,
    /// Which lines are written: a `tracing` filter, such as `info` or `tealturn::fleet=debug`.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: Format::Text, filter: "info".to_owned() }
    }
}

/// The form of a line of the log.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object.
    Json,
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
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|error| Error::Settings(vec![format!("{file}: {error}")]))?;
        Settings::parse(&file, &text)
    }

    /// Reads the text of a file that is called `file` in errors.
    ///
    /// # Errors
    ///
    /// As [`Settings::read`].
    pub fn parse(file: &str, text: &str) -> Result<Settings> {
        let fault = |error: serde_saphyr::Error| {
            Error::Settings(vec![format!("{file}: not valid YAML: {error}")])
        };
        let root: Spanned<Node> = serde_saphyr::from_str(text).map_err(fault)?;
        let faults = check::daemon(file, &root.into());
        if !faults.is_empty() {
            return Err(Error::Settings(faults));
        }
        serde_saphyr::from_str(text).map_err(fault)
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
