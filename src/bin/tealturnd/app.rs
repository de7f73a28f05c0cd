//! The daemon's arguments.

use std::path::PathBuf;

use clap::Parser;

/// The router's daemon.
#[derive(Debug, Parser)]
#[command(version)]
pub struct App {
    /// The settings, a YAML file.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}
