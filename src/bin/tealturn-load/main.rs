//! Callers of a deployment, which check every answer and measure.

mod app;

use std::{io, process::ExitCode, time::Duration};

use app::{App, Command, Run};
use clap::Parser;
use tealturn::{
    Error, Result,
    load::{
        run::{self, Settings},
        traffic::Profile,
    },
};

fn main() -> ExitCode {
    match run(App::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> Result<bool> {
    match command {
        Command::Run(arguments) => load(arguments).await,
    }
}

async fn load(arguments: Run) -> Result<bool> {
    let unknown = || Error::Settings(vec![format!("unknown deployment {}", arguments.deployment)]);
    let settings = Settings {
        profile: Profile::named(&arguments.deployment).ok_or_else(unknown)?,
        seed: arguments.seed,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        warmup: Duration::from_secs(arguments.warmup),
        daemons: arguments.daemons,
        platform: arguments.platform,
    };
    if !run::ready(&settings).await {
        let reason = "not every daemon answers every workspace".to_owned();
        return Err(Error::Unavailable { reason });
    }
    let report = run::run(&settings).await?;
    if arguments.json {
        let json = serde_json::to_string_pretty(&report).map_err(io::Error::other)?;
        println!("{json}");
    } else {
        print!("{report}");
    }
    Ok(report.is_right())
}
