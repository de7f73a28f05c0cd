//! Policies side by side: each gets stand-ins and daemons of its own, and the same calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    Error, Result,
    load::{
        bench::{Bench, ORACLE},
        report::Report,
        run,
        traffic::Profile,
    },
    standin::{
        deployment,
        engine::{Faults, batch::Speed},
    },
};

/// The policies that are compared. The last knows every cache.
pub const POLICIES: [&str; 5] = ["prefix", "random", "least_load", "session_hash", ORACLE];

/// Engines slow enough that the load on them, and not this machine, sets the times.
pub const SPEED: Speed = Speed { batch: 8, step: Duration::from_millis(16), prefill_rate: 25_000 };

/// Calls a second that one such engine can take when 94 of 100 prompt tokens are cached: 16
/// steps for an answer, in batches of 8, and 420 tokens to prefill.
const CALLS_PER_ENGINE: f64 = 20.0;

/// What is compared.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The deployments.
    pub deployments: Vec<String>,
    /// The policies.
    pub policies: Vec<String>,
    /// The seeds of the traffic.
    pub seeds: Vec<u64>,
    /// Load, in percent of what the engines can take.
    pub load_percent: u32,
    /// How long calls are made in each run.
    pub duration: Duration,
    /// Calls of this first part do not count for hit rate and times.
    pub warmup: Duration,
    /// How the engines' cache events fail.
    pub events: Events,
}

/// How the engines' cache events fail.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Events {
    /// They come a little late and with a few gaps.
    #[default]
    Usual,
    /// None comes.
    Absent,
    /// Half name other blocks.
    Wrong,
}

/// The reports of all runs.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Table {
    /// Load, in percent of what the engines can take.
    pub load_percent: u32,
    /// How the engines' cache events failed.
    pub events: Events,
    /// By deployment, seed and policy.
    pub reports: Vec<Report>,
}

/// Runs all policies, one after the other.
///
/// # Errors
///
/// [`Error::Settings`] for an unknown deployment or policy, and any other [`Error`] of a run.
pub async fn compare(settings: &Settings) -> Result<Table> {
    let mut table =
        Table { load_percent: settings.load_percent, events: settings.events, reports: Vec::new() };
    for deployment in &settings.deployments {
        for seed in &settings.seeds {
            for policy in &settings.policies {
                let report = one(settings, deployment, *seed, policy).await?;
                println!("{}", line(&report));
                for fault in &report.faults {
                    eprintln!("{fault}");
                }
                table.reports.push(report);
            }
        }
    }
    Ok(table)
}

/// The head of the Markdown table of [`line`].
pub const HEAD: &str = "\
| deployment | seed | policy | hit rate | wasted | p50 ms | p95 ms | p99 ms | whole | refused | wrong or lost |
|---|---|---|---|---|---|---|---|---|---|---|";

/// A report as one line of a Markdown table.
pub fn line(report: &Report) -> String {
    let policy = report.policy.as_deref().unwrap_or("");
    let Report { ttft, .. } = report;
    format!(
        "| {} | {} | {policy} | {:.3} | {:.3} | {:.0} | {:.0} | {:.0} | {} | {} | {} |",
        report.deployment,
        report.seed,
        report.hit_rate,
        report.wasted,
        ttft.p50_ms,
        ttft.p95_ms,
        ttft.p99_ms,
        report.whole,
        report.refused,
        report.wrong + report.lost,
    )
}

/// Calls a second that load so many engines so much.
pub fn rate(engines: usize, load_percent: u32) -> f64 {
    CALLS_PER_ENGINE * engines as f64 * f64::from(load_percent) / 100.0
}

async fn one(settings: &Settings, deployment: &str, seed: u64, policy: &str) -> Result<Report> {
    let unknown = || Error::Settings(vec![format!("unknown deployment {deployment}")]);
    let profile = Profile::named(deployment).ok_or_else(unknown)?;
    let mut standins = deployment::Settings::named(deployment).ok_or_else(unknown)?;
    standins.speed = SPEED;
    let rate = rate(standins.engines, settings.load_percent);
    let bench = Bench::start(standins, &profile, policy).await?;
    for engine in &bench.deployment.engines {
        engine.set_faults(faults(settings.events));
    }
    let settings = run::Settings {
        profile,
        seed,
        rate,
        duration: settings.duration,
        warmup: settings.warmup,
        shift: None,
        daemons: bench.callers(),
        platform: bench.deployment.platform.address(),
    };
    if !run::ready(&settings).await {
        let reason = format!("{deployment}, {policy}: not every daemon answers");
        return Err(Error::Unavailable { reason });
    }
    let report = run::run(&settings).await?;
    Ok(Report { policy: Some(policy.to_owned()), ..report })
}

fn faults(events: Events) -> Faults {
    let usual = Faults::default();
    match events {
        Events::Usual => usual,
        Events::Absent => Faults { event_drop_percent: 100, ..usual },
        Events::Wrong => Faults { event_wrong_percent: 50, ..usual },
    }
}
