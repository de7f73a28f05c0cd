//! A run: calls at a rate that does not depend on the answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{task::JoinSet, time};

use crate::{
    Result,
    collections::Map,
    http::client::Client,
    load::{
        caller::{Caller, Done, Outcome},
        report::{Recorder, Report},
        traffic::{Call, Kind, Profile, Traffic},
    },
    platform::vm::{Entry, Role},
    standin::{ledger::Totals, plain::Executions},
};

/// How long callers try to get a first answer before a run begins.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait between two tries of that.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// What a run does.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Who calls.
    pub profile: Profile,
    /// The seed of the traffic.
    pub seed: u64,
    /// Calls a second.
    pub rate: f64,
    /// How long calls are made.
    pub duration: Duration,
    /// Calls of this first part come at half the rate, so that the empty caches fill, and do not
    /// count for hit rate and times.
    pub warmup: Duration,
    /// When the hot prefixes shift, if they do.
    pub shift: Option<Duration>,
    /// The daemons that callers know.
    pub daemons: Vec<SocketAddr>,
    /// Where the stand-in's platform listens.
    pub platform: SocketAddr,
}

/// The calls of a run.
pub struct Ended {
    /// When the run began.
    pub started: Instant,
    /// What was asked, and how it ended.
    pub calls: Vec<(Call, Done)>,
    /// The engines' sums at the end of the warm-up.
    pub before: Totals,
}

/// Runs, and measures.
///
/// # Errors
///
/// Any [`crate::Error`] of the stand-ins that are asked for their counts.
pub async fn run(settings: &Settings) -> Result<Report> {
    let client = Client::new();
    let ended = calls(settings).await?;
    let after: Totals = client.get(settings.platform, "/measures").await?;
    let executions = executions(&client, settings.platform).await?;
    let mut recorder = Recorder::new(settings.profile.name, settings.seed);
    for (call, done) in &ended.calls {
        recorder.add(done, done.started >= ended.started + settings.warmup);
        let Kind::Booking { key, .. } = &call.kind else {
            continue;
        };
        let count = executions.get(key).copied().unwrap_or(0);
        recorder.booking(key, done, count);
    }
    Ok(recorder.finish(&ended.before, &after))
}

/// Makes the calls of a run, and waits for their ends.
///
/// # Errors
///
/// Any [`crate::Error`] of the platform when it is asked for the engines' sums.
pub async fn calls(settings: &Settings) -> Result<Ended> {
    let client = Client::new();
    let profile = settings.profile.clone();
    let caller = Arc::new(Caller::new(profile.clone(), settings.daemons.clone()));
    let mut traffic = Traffic::new(profile, settings.seed);
    let mut calls = JoinSet::new();
    let mut shift = settings.shift;
    let mut measuring = false;
    let mut next = Duration::ZERO;
    let mut ended = Ended { started: Instant::now(), calls: Vec::new(), before: Totals::default() };
    while next < settings.duration {
        time::sleep_until((ended.started + next).into()).await;
        if !measuring && next >= settings.warmup {
            measuring = true;
            ended.before = client.get(settings.platform, "/measures").await?;
        }
        if shift.is_some_and(|at| next >= at) {
            shift = None;
            traffic.shift();
        }
        let (call, caller) = (traffic.call(), caller.clone());
        let place = ended.calls.len() + calls.len();
        calls.spawn(async move {
            let done = caller.call(&call, place).await;
            (call, done)
        });
        while let Some(joined) = calls.try_join_next() {
            ended.calls.extend(joined.ok());
        }
        let rate = match next < settings.warmup {
            true => settings.rate / 2.0,
            false => settings.rate,
        };
        next += Duration::from_secs_f64(traffic.gap(rate));
    }
    while let Some(joined) = calls.join_next().await {
        ended.calls.extend(joined.ok());
    }
    Ok(ended)
}

/// Waits until each workspace gets an answer from each daemon, and tells whether all did.
pub async fn ready(settings: &Settings) -> bool {
    let started = Instant::now();
    for address in &settings.daemons {
        let caller = Caller::new(settings.profile.clone(), vec![*address]);
        for share in &settings.profile.workspaces {
            let call = Call {
                workspace: share.workspace.clone(),
                zone: settings.profile.zones[0].clone(),
                kind: Kind::Completion {
                    prompt: "Are you there?".to_owned(),
                    levels: Vec::new(),
                    max_tokens: 1,
                },
            };
            loop {
                let Done { outcome, .. } = caller.call(&call, 0).await;
                if matches!(outcome, Outcome::Whole(_)) {
                    break;
                }
                if started.elapsed() > READY_TIMEOUT {
                    return false;
                }
                time::sleep(READY_INTERVAL).await;
            }
        }
    }
    true
}

/// How often each booking was run, over all instances of the plain service.
async fn executions(client: &Client, platform: SocketAddr) -> Result<Map<String, u32>> {
    let entries: Vec<Entry> = client.get(platform, "/vms").await?;
    let mut sums = Map::default();
    for entry in entries {
        if !matches!(entry.role, Role::Plain { .. }) {
            continue;
        }
        let own: Executions = client.get(entry.address, "/executions").await?;
        for execution in own.executions {
            *sums.entry(execution.key).or_default() += execution.count;
        }
    }
    Ok(sums)
}
