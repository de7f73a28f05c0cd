//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use crate::{
    gateway::{budget, quota},
    kernel::id::{Daemon, Zone},
};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon, unique in the deployment.
    pub daemon: Daemon,
    /// Its availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other daemons.
    pub peer: SocketAddr,
    /// Its share of a processor core, in thousandths.
    pub cpu_millis: u32,
    /// Whether all daemons start for the first time, so that few of them are registered yet.
    pub is_first_start: bool,
    /// Time after which a revoked key must no longer be accepted.
    pub revocation: Duration,
    /// Limits on retries.
    pub budget: budget::Limits,
    /// How far the usage of workspaces may exceed their quotas.
    pub quota: Option<quota::Tolerance>,
    /// Minimum time between load orders from two successive holders of the lease that permits them.
    pub order_gap: Duration,
    /// Time after this daemon learns of newly configured weights, from which new calls must start
    /// on them.
    pub weights_deadline: Duration,
    /// Time after its start from which a daemon must hold `weights_deadline`.
    pub steady_after: Duration,
    /// Fraction of a service's engines that load weights at the same time; with more, each loads
    /// more slowly.
    pub load_share: f64,
    /// Lifetime of an address list given to callers.
    pub address_lifetime: Duration,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Writes a second that the store takes from all daemons together.
    pub store_writes_per_s: f64,
    /// Estimated prefill throughput of any engine in prompt tokens per millisecond. Placement uses
    /// it to convert an engine's queued prompt tokens into time.
    pub prefill_tokens_per_ms: f64,
}
