//! A run through faults: hit rate and time to the first token over time.

use std::{
    collections::BTreeMap,
    path::Path,
    time::{Duration, Instant},
};

use plotters::{
    chart::ChartBuilder,
    prelude::{IntoDrawingArea, SVGBackend},
    series::LineSeries,
    style::{BLACK, BLUE, Color, RED, WHITE},
};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    Error, Result,
    load::{
        bench::Bench,
        caller::{Done, Outcome},
        compare,
        report::{Quantiles, histogram},
        run,
        traffic::Profile,
    },
    standin::{deployment, engine, platform},
};

/// When an engine crashes, in seconds.
const CRASH_S: u64 = 12;

/// When the hot prefixes shift.
const SHIFT_S: u64 = 24;

/// When all daemons restart.
const HERD_S: u64 = 36;

/// When the table service goes down.
const OUTAGE_S: u64 = 48;

/// When it comes back.
const RETURN_S: u64 = 56;

/// The end of the run.
const END_S: u64 = 62;

/// Load, in percent of what the engines can take.
const LOAD_PERCENT: u32 = 50;

/// The measures of one second.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Second {
    /// Seconds since the start; calls count where they were first sent.
    pub second: u64,
    /// Part of the prompt tokens that were in the engine's cache.
    pub hit_rate: f64,
    /// Time to the first token.
    pub ttft: Quantiles,
    /// Whole answers.
    pub whole: u64,
    /// Calls that ended with a refusal.
    pub refused: u64,
    /// These refusals by kind.
    pub refusals: BTreeMap<String, u64>,
    /// Refusals that were followed by another attempt, by kind.
    pub retried: BTreeMap<String, u64>,
    /// Calls that got a wrong answer, or none.
    pub wrong_or_lost: u64,
}

/// The run of one deployment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Scene {
    /// The deployment.
    pub deployment: String,
    /// The seed of the traffic.
    pub seed: u64,
    /// By second.
    pub seconds: Vec<Second>,
}

/// Runs a deployment through an engine crash, a shift of the hot prefixes, a restart of all
/// daemons and an outage of the table service.
///
/// # Errors
///
/// [`Error::Settings`] for an unknown deployment, and any other [`Error`] of the run.
pub async fn play(name: &str, seed: u64) -> Result<Scene> {
    let unknown = || Error::Settings(vec![format!("unknown deployment {name}")]);
    let profile = Profile::named(name).ok_or_else(unknown)?;
    let mut standins = deployment::Settings::named(name).ok_or_else(unknown)?;
    standins.speed = compare::SPEED;
    let rate = compare::rate(standins.engines, LOAD_PERCENT);
    let mut bench = Bench::start(standins, &profile, "prefix").await?;
    let settings = run::Settings {
        profile,
        seed,
        rate,
        duration: Duration::from_secs(END_S),
        warmup: Duration::ZERO,
        shift: Some(Duration::from_secs(SHIFT_S)),
        daemons: bench.callers(),
        platform: bench.deployment.platform.address(),
    };
    if !run::ready(&settings).await {
        let reason = format!("{name}: not every daemon answers");
        return Err(Error::Unavailable { reason });
    }
    let started = Instant::now();
    let (calls, faults) = tokio::join!(run::calls(&settings), faults(&mut bench, started));
    faults?;
    let ended = calls?;
    let done = ended.calls.iter().map(|(_, done)| done);
    Ok(Scene { deployment: name.to_owned(), seed, seconds: seconds(done, started) })
}

async fn faults(bench: &mut Bench, started: Instant) -> Result<()> {
    let at = |second| time::sleep_until((started + Duration::from_secs(second)).into());
    at(CRASH_S).await;
    bench.deployment.engines[0]
        .set_faults(engine::Faults { crash: true, ..engine::Faults::default() });
    at(HERD_S).await;
    bench.restart_daemons().await?;
    at(OUTAGE_S).await;
    bench
        .deployment
        .platform
        .set_faults(platform::Faults { table_down: true, ..platform::Faults::default() });
    at(RETURN_S).await;
    let usual = platform::Faults::default();
    bench.deployment.platform.set_faults(usual);
    Ok(())
}

fn seconds<'a>(calls: impl Iterator<Item = &'a Done>, started: Instant) -> Vec<Second> {
    let mut by_second: BTreeMap<u64, Vec<&Done>> = BTreeMap::new();
    for done in calls {
        let second = done.started.duration_since(started).as_secs();
        by_second.entry(second).or_default().push(done);
    }
    let seconds = by_second.into_iter();
    seconds.map(|(second, calls)| sum(second, &calls)).collect()
}

fn sum(second: u64, calls: &[&Done]) -> Second {
    let mut sums = Second { second, ..Second::default() };
    let mut times = histogram();
    let (mut prompt, mut cached) = (0, 0);
    for done in calls {
        for refusal in &done.refusals {
            *sums.retried.entry(refusal.kind.clone()).or_default() += 1;
        }
        match &done.outcome {
            Outcome::Whole(whole) => {
                sums.whole += 1;
                if whole.usage.prompt_tokens == 0 {
                    continue;
                }
                times.saturating_record(whole.first.as_micros() as u64);
                prompt += whole.usage.prompt_tokens;
                cached += whole.usage.prompt_tokens_details.cached_tokens;
            }
            Outcome::Refused(detail) => {
                sums.refused += 1;
                *sums.refusals.entry(detail.kind.clone()).or_default() += 1;
            }
            Outcome::Wrong(_) | Outcome::Lost(_) => sums.wrong_or_lost += 1,
        }
    }
    sums.ttft = Quantiles::new(&times);
    sums.hit_rate = cached as f64 / (prompt as f64).max(1.0);
    sums
}

/// Draws hit rate and time to the first token over time.
///
/// # Errors
///
/// [`Error::Io`] if the file cannot be written.
pub fn draw(scene: &Scene, path: &Path) -> Result<()> {
    let failed = |error: String| Error::Io(std::io::Error::other(error));
    let area = SVGBackend::new(path, (900, 600)).into_drawing_area();
    area.fill(&WHITE).map_err(|it| failed(it.to_string()))?;
    let (upper, lower) = area.split_vertically(300);
    let point = |it: &Second| it.second as f64;
    let hit = scene.seconds.iter().map(|it| (point(it), it.hit_rate));
    let median = scene.seconds.iter().map(|it| (point(it), it.ttft.p50_ms));
    let tail = scene.seconds.iter().map(|it| (point(it), it.ttft.p99_ms));
    let tail: Vec<_> = tail.collect();
    let longest = tail.iter().fold(1.0, |longest: f64, it| longest.max(it.1));
    let charts = [
        ("prefix hit rate", 1.0, vec![(hit.collect(), BLUE)]),
        (
            "time to first token, ms (blue p50, red p99)",
            longest,
            vec![(median.collect(), BLUE), (tail, RED)],
        ),
    ];
    for (area, (name, top, lines)) in [upper, lower].iter().zip(charts) {
        let title = format!(
            "{}: {name}. Crash {CRASH_S} s, shift {SHIFT_S} s, herd {HERD_S} s, \
             table down {OUTAGE_S} to {RETURN_S} s",
            scene.deployment
        );
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..END_S as f64, 0.0..top)
            .map_err(|it| failed(it.to_string()))?;
        let mesh = chart.configure_mesh().draw();
        mesh.map_err(|it| failed(it.to_string()))?;
        for second in [CRASH_S, SHIFT_S, HERD_S, OUTAGE_S, RETURN_S] {
            let mark = [(second as f64, 0.0), (second as f64, top)];
            let mark = LineSeries::new(mark, BLACK.mix(0.5));
            let drawn = chart.draw_series(mark);
            drawn.map_err(|it| failed(it.to_string()))?;
        }
        for (points, colour) in lines {
            let points: Vec<(f64, f64)> = points;
            let drawn = chart.draw_series(LineSeries::new(points, colour));
            drawn.map_err(|it| failed(it.to_string()))?;
        }
    }
    area.present().map_err(|it| failed(it.to_string()))
}
