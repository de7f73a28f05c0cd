//! The arguments of the stand-ins.

use std::net::SocketAddr;

use clap::{Parser, Subcommand};

/// Stand-ins for the platform and the upstreams of a deployment.
#[derive(Debug, Parser)]
#[command(version)]
pub struct App {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the stand-ins can be asked to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve until SIGTERM or SIGINT. Prints the addresses as one JSON line.
    Serve(Serve),
    /// Put a daemon into the VM list of a running stand-in.
    List(List),
}

/// What is served.
#[derive(Debug, Parser)]
pub struct Serve {
    /// The deployment: nortebraco or cascade.
    #[arg(long, default_value = "nortebraco")]
    pub deployment: String,
    /// The number of engines, if not the deployment's own.
    #[arg(long)]
    pub engines: Option<usize>,
}

/// The daemon that is listed.
#[derive(Debug, Parser)]
pub struct List {
    /// Where the stand-in's platform listens.
    #[arg(long, value_name = "IP:PORT")]
    pub platform: SocketAddr,
    /// The daemon's name.
    #[arg(long)]
    pub name: String,
    /// Its availability zone.
    #[arg(long)]
    pub zone: String,
    /// Where it listens for callers.
    #[arg(long, value_name = "IP:PORT")]
    pub caller: SocketAddr,
    /// Where it listens for other daemons.
    #[arg(long, value_name = "IP:PORT")]
    pub peer: SocketAddr,
}
