//! The router's daemon.

mod app;

use std::process::ExitCode;

use app::App;
use clap::Parser;
use tealturn::{
    Result,
    report::{log, metric},
    serve::{Controller, Listening},
    settings::Settings,
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The settings are not valid; nothing was started.
const EXIT_SETTINGS: u8 = 2;

/// A second signal ended the process before it was drained.
const EXIT_CUT: u8 = 3;

fn main() -> ExitCode {
    let app = App::parse();
    let settings = match Settings::read(&app.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if app.check {
        println!("{}: valid", app.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = log::start(&settings.log) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    metric::start();
    match run(settings) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let controller = Controller::bind(settings).await?;
    Listening::new(&controller.context.bound_addrs).print()?;
    let stop = CancellationToken::new();
    let mut serving = tokio::spawn(controller.run(stop.clone()));
    tokio::select! {
        _ = terminate.recv() => stop.cancel(),
        _ = &mut serving => return Ok(ExitCode::SUCCESS),
    }
    tokio::select! {
        _ = terminate.recv() => Ok(ExitCode::from(EXIT_CUT)),
        _ = serving => Ok(ExitCode::SUCCESS),
    }
}
