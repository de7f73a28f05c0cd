//! The daemon's arguments.

use std::path::PathBuf;

use clap::Parser;

/// What `--help` adds about the settings, with their units.
const SETTINGS_HELP: &str = "\
Settings (YAML; addresses are IP:PORT, port 0 lets the system choose):
  deployment          name; daemons of another deployment are refused
  daemon              name of this daemon, unique in the deployment
  zone                availability zone of this daemon
  listen.caller       address for callers
  listen.peer         address for other daemons
  listen.operator     address for operators
  platform.table      address of the table service
  platform.vms        address of the VM list
  seeds               addresses where some other daemons listen for peers [none]
  policy              policy that chooses upstreams [prefix]
  address_lifetime_s  how long callers may keep an address list, 1 to 300 seconds [10]
  weight_loads        engines that load weights at once over the whole fleet, 1 to 64,
                      the same in all daemons [2]
  log.format          text or json [text]
  log.filter          tracing filter [info]

Signals: SIGTERM leaves the address lists, lets all requests end and exits; a second SIGTERM
exits at once.

Exit codes: 0 drained, 1 failed, 2 invalid settings or arguments (nothing was started),
3 stopped by a second signal before it was drained.";

/// The router's daemon.
#[derive(Debug, Parser)]
#[command(version, after_help = SETTINGS_HELP)]
pub struct App {
    /// The settings, a YAML file.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings and exit: 0 if they are valid, 2 if not.
    #[arg(long)]
    pub check: bool,
}
