//! Stand-ins for the platform and the upstreams of a deployment.

mod app;

use std::{io, process::ExitCode};

use app::{App, Command, List, Serve};
use bytes::Bytes;
use clap::Parser;
use tealturn::{
    Error, Result,
    http::client::{self, Client},
    kernel::id::Zone,
    platform::vm::{Entry, Role, State},
    standin::deployment::{Deployment, Settings},
};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    match run(App::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> Result<()> {
    match command {
        Command::Serve(arguments) => serve(arguments).await,
        Command::List(arguments) => list(arguments).await,
    }
}

async fn serve(arguments: Serve) -> Result<()> {
    let unknown = || Error::Settings(vec![format!("unknown deployment {}", arguments.deployment)]);
    let mut settings = Settings::named(&arguments.deployment).ok_or_else(unknown)?;
    settings.engines = arguments.engines.unwrap_or(settings.engines);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let stop = CancellationToken::new();
    let deployment = Deployment::start(&settings, stop.clone()).await?;
    let line = serde_json::to_string(&deployment.addresses()).map_err(io::Error::other)?;
    println!("{line}");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop.cancel();
    Ok(())
}

async fn list(arguments: List) -> Result<()> {
    let entry = Entry {
        name: arguments.name,
        address: arguments.caller,
        zone: Zone::from(arguments.zone.as_str()),
        role: Role::Daemon { peer: arguments.peer },
        state: State::Live,
    };
    let body = serde_json::to_vec(&entry).map_err(io::Error::other)?;
    let path = format!("/vms/{}", entry.name);
    let request = client::request("PUT", arguments.platform, &path, Bytes::from(body))?;
    Client::new().fetch(arguments.platform, request).await?;
    Ok(())
}
