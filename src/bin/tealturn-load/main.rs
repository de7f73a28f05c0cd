//! Callers of a deployment, which check every answer and measure.

mod app;

use std::{fmt::Display, fs, io, process::ExitCode, time::Duration};

use app::{App, Command, Compare, Overhead, Run, Scene};
use clap::Parser;
use serde::Serialize;
use tealturn::{
    Error, Result,
    load::{
        compare::{self, Events},
        overhead,
        report::Report,
        run::{self, Settings},
        scene,
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
        Command::Compare(arguments) => compare(arguments).await,
        Command::Overhead(arguments) => overhead(arguments).await,
        Command::Scene(arguments) => scene(arguments).await,
    }
}

async fn load(arguments: Run) -> Result<bool> {
    let settings = Settings {
        profile: profile(&arguments.deployment)?,
        seed: arguments.seed,
        rate: arguments.rate,
        duration: Duration::from_secs(arguments.seconds),
        warmup: Duration::from_secs(arguments.warmup),
        shift: None,
        daemons: arguments.daemons,
        platform: arguments.platform,
    };
    if !run::ready(&settings).await {
        let reason = "not every daemon answers every workspace".to_owned();
        return Err(Error::Unavailable { reason });
    }
    let report = run::run(&settings).await?;
    print(&report, arguments.json)?;
    Ok(report.is_right())
}

async fn compare(arguments: Compare) -> Result<bool> {
    let events = match arguments.events.as_str() {
        "usual" => Events::Usual,
        "absent" => Events::Absent,
        "wrong" => Events::Wrong,
        other => return Err(Error::Settings(vec![format!("unknown events {other}")])),
    };
    let settings = compare::Settings {
        deployments: arguments.deployments,
        policies: arguments.policies,
        seeds: arguments.seeds,
        load_percent: arguments.load_percent,
        duration: Duration::from_secs(arguments.seconds),
        warmup: Duration::from_secs(arguments.warmup),
        events,
    };
    println!("{}", compare::HEAD);
    let table = compare::compare(&settings).await?;
    if let Some(path) = arguments.output {
        let json = serde_json::to_string_pretty(&table).map_err(io::Error::other)?;
        fs::write(path, json)?;
    }
    Ok(table.reports.iter().all(Report::is_right))
}

async fn overhead(arguments: Overhead) -> Result<bool> {
    let profile = profile(&arguments.deployment)?;
    let Overhead { daemon, platform, .. } = arguments;
    let measured = overhead::measure(&profile, daemon, platform, arguments.questions).await?;
    print(&measured, arguments.json)?;
    Ok(true)
}

async fn scene(arguments: Scene) -> Result<bool> {
    let scene = scene::play(&arguments.deployment, arguments.seed).await?;
    let json = serde_json::to_string_pretty(&scene).map_err(io::Error::other)?;
    println!("{json}");
    scene::draw(&scene, &arguments.output)?;
    Ok(scene.seconds.iter().all(|it| it.wrong_or_lost == 0))
}

fn profile(name: &str) -> Result<Profile> {
    let unknown = || Error::Settings(vec![format!("unknown deployment {name}")]);
    Profile::named(name).ok_or_else(unknown)
}

fn print<T: Display + Serialize>(measures: &T, json: bool) -> Result<()> {
    if json {
        let json = serde_json::to_string_pretty(measures).map_err(io::Error::other)?;
        println!("{json}");
    } else {
        print!("{measures}");
    }
    Ok(())
}
