//! The gateway's settings.

use std::{net::SocketAddr, time::Duration};

use crate::{
    gateway::budget,
    kernel::id::{Daemon, Zone},
};

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this daemon, unique in the deployment.
    pub daemon: Daemon,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
    /// The time within which a key that was taken away must not be served any more.
    pub revocation: Duration,
    /// The limits on sending calls again.
    pub budget: budget::RetryLimits,
    /// The time that must pass between orders of two holders.
    pub lease: Duration,
    /// The time within which calls must begin on weights that were named.
    pub weights: Duration,
    /// The share of a service's engines that load weights at once; more load more slowly.
    pub load_share: f64,
    /// How long callers may keep an address list.
    pub address_lifetime: Duration,
    /// The time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Prompt tokens that an engine reads in a millisecond, as a guess for comparing engines.
    pub read_rate: f64,
}
