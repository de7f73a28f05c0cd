//! The arguments of the load.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};

/// Callers of a deployment, which check every answer and measure.
#[derive(Debug, Parser)]
#[command(version)]
pub struct App {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the load can be asked to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Call running daemons. Exits with 1 if an answer was wrong or lost or a refusal untrue.
    Run(Run),
}

/// A run against daemons.
#[derive(Debug, Parser)]
pub struct Run {
    /// The deployment: nortebraco or cascade.
    #[arg(long, default_value = "nortebraco")]
    pub deployment: String,
    /// Where a daemon listens for callers; may be given several times.
    #[arg(long = "daemon", value_name = "IP:PORT", required = true)]
    pub daemons: Vec<SocketAddr>,
    /// Where the stand-in's platform listens.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: SocketAddr,
    /// Where a daemon listens for operators: the load's catalog is put there first.
    #[arg(long, value_name = "IP:PORT")]
    pub operator: Option<SocketAddr>,
    /// The seed of the traffic.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Calls a second.
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// How long calls are made, in seconds.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// The first part of this, in seconds, that does not count for hit rate and times.
    #[arg(long, default_value_t = 5)]
    pub warmup: u64,
    /// Print the measures as JSON.
    #[arg(long)]
    pub json: bool,
}
