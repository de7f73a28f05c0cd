//! The router's operator tool.

mod app;

use std::process::ExitCode;

use app::App;
use clap::{ArgMatches, FromArgMatches, error::ErrorKind};
use tealturn::operate::{self, Failure, session::Session};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = app::command().get_matches();
    match run(&arguments).await {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

async fn run(arguments: &ArgMatches) -> Result<String, Failure> {
    let app = App::from_arg_matches(arguments).unwrap_or_else(|error| error.exit());
    for verb in operate::verbs() {
        let command = verb.command();
        let Some(arguments) = arguments.subcommand_matches(command.get_name()) else {
            continue;
        };
        if let Some(done) = verb.run_offline(arguments) {
            return done;
        }
        let Some(daemon) = app.daemon else {
            let message = "--daemon IP:PORT is required";
            app::command().error(ErrorKind::MissingRequiredArgument, message).exit()
        };
        return verb.run(&Session::new(daemon), arguments).await;
    }
    unreachable!("clap accepts registered verbs only")
}
