//! The arguments of the load.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Parser, Subcommand};
use tealturn::load::compare;

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
    /// Compare policies in one process, each with stand-ins and daemons of its own.
    Compare(Compare),
    /// Measure what a daemon adds to the time to the first token.
    Overhead(Overhead),
    /// Run one deployment through an engine crash, a shift of the hot prefixes, a restart of all
    /// daemons and an outage of the table service. Prints the measures of each second as JSON.
    Scene(Scene),
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

/// A comparison of policies.
#[derive(Debug, Parser)]
pub struct Compare {
    /// A deployment; may be given several times.
    #[arg(long = "deployment", value_name = "NAME", default_values = ["nortebraco", "cascade"])]
    pub deployments: Vec<String>,
    /// A policy; may be given several times.
    #[arg(long = "policy", value_name = "NAME", default_values = compare::POLICIES)]
    pub policies: Vec<String>,
    /// A seed of the traffic; may be given several times.
    #[arg(long = "seed", value_name = "NUMBER", default_values_t = [1, 2, 3])]
    pub seeds: Vec<u64>,
    /// Load, in percent of what the engines can take.
    #[arg(long, default_value_t = 80)]
    pub load_percent: u32,
    /// How long calls are made in each run, in seconds.
    #[arg(long, default_value_t = 12)]
    pub seconds: u64,
    /// The first part of this, in seconds, that does not count for hit rate and times.
    #[arg(long, default_value_t = 4)]
    pub warmup: u64,
    /// How the engines' cache events fail: usual, absent or wrong.
    #[arg(long, default_value = "usual")]
    pub events: String,
    /// Where the table of all runs is saved as JSON.
    #[arg(long, value_name = "FILE")]
    pub output: Option<PathBuf>,
}

/// A measurement of what a daemon adds.
#[derive(Debug, Parser)]
pub struct Overhead {
    /// The deployment: nortebraco or cascade.
    #[arg(long, default_value = "nortebraco")]
    pub deployment: String,
    /// Where the daemon listens for callers.
    #[arg(long, value_name = "IP:PORT")]
    pub daemon: SocketAddr,
    /// Where the stand-in's platform listens.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: SocketAddr,
    /// Questions on each way.
    #[arg(long, default_value_t = 1_000)]
    pub questions: u64,
    /// Print the measures as JSON.
    #[arg(long)]
    pub json: bool,
}

/// A run through faults.
#[derive(Debug, Parser)]
pub struct Scene {
    /// The deployment: nortebraco or cascade.
    #[arg(long, default_value = "nortebraco")]
    pub deployment: String,
    /// The seed of the traffic.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Where the picture is saved as SVG.
    #[arg(long, value_name = "FILE")]
    pub output: PathBuf,
}
