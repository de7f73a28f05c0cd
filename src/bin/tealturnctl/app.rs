//! The operator's arguments.

use std::net::SocketAddr;

use clap::{Args, Command};
use tealturn::operate;

/// The arguments that all verbs share.
#[derive(Args, Debug)]
pub struct App {
    /// Where a daemon listens for operators.
    #[arg(long, value_name = "IP:PORT", global = true)]
    pub daemon: Option<SocketAddr>,
}

/// The command line, with the registered verbs.
pub fn command() -> Command {
    let command = Command::new("tealturnctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("The router's operator tool")
        .after_help(
            "Exit codes: 0 done, 1 the daemon failed, 2 invalid input, 4 conflict, \
             5 not applied, 6 unknown whether applied.",
        )
        .subcommand_required(true)
        .subcommands(operate::verbs().into_iter().map(|it| it.command()));
    App::augment_args(command)
}
