//! Keeps in the store which builds services had and which ones began their streams, and looks them up
//! there. What must be written is decided in [`origin`](crate::gateway::origin).

pub mod claim;

use std::{sync::Arc, time::Duration};

use metrics::counter;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

use crate::{
    collections::Map,
    gateway::{
        context::Context,
        exchange::wire::CLAIM_PROTOCOL,
        origin::{LIFETIME, log::Due, row},
        store::{self, Batch, Era, MAX_BATCH_ROWS, Outcome, Row, Topic, Write},
    },
    kernel::{
        clock::Time,
        id::{Build, Service},
    },
    route::pool::name_hash,
};

/// Interval between checks for rows of services to be written.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Writes of a row in a row that may meet one by another daemon.
const MAX_CONFLICTS: usize = 8;

/// The share of the store's writes that the origins of streams may take.
const WRITE_SHARE: f64 = 0.125;

/// Writes of origins a second by all daemons, and as many by hubs. All rows are in one part of the store.
const MAX_WRITES_PER_S: f64 = 50.0;

/// How long the store may take to answer while a caller waits.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// How long the first event of a stream waits until the store lists its build.
const LIST_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks whether the store lists a build.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Interval at which one daemon looks for rows of streams that others have left behind.
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);

/// Writes and removes rows until `stop`.
pub async fn keep(context: Arc<Context>, stop: CancellationToken) {
    let keep = async {
        tokio::join!(keep_builds(&context), keep_streams(&context), sweep(&context));
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = keep => {}
    }
}

async fn keep_builds(context: &Context) {
    loop {
        time::sleep(CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
        let mut has_failed = false;
        for service in due_services(context) {
            if let Err(failure) = record_builds(context, &service).await {
                let service = service.as_str();
                warn!(service, %failure, "failed to record the builds of a service; retrying");
                has_failed = true;
            }
        }
        for (service, builds) in claim::due(context) {
            if let Err(failure) = claim::write(context, &service, builds).await {
                let service = service.as_str();
                warn!(service, %failure, "failed to claim builds of a service; retrying");
                has_failed = true;
            }
        }
        if has_failed {
            time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Whether all daemons claim builds before they begin streams there; `None` if this one doesn't know the others
/// yet.
fn all_claim(context: &Context) -> Option<bool> {
    context.mirror.head(Topic::Fleet)?;
    let members = context.members.all();
    Some(members.iter().all(|(_, it)| it.protocol >= CLAIM_PROTOCOL))
}

/// The services whose streams may be resumed and whose rows must be read or written.
fn due_services(context: &Context) -> Vec<Service> {
    let (view, document) = (context.view.load(), context.document.load());
    let (Some(document), Some(era), Some(all_claim)) =
        (document.as_ref(), context.eras.latest(), all_claim(context))
    else {
        return Vec::new();
    };
    let (mut origins, now) = (context.origins(), context.now());
    let mut due = Vec::new();
    for service in view.services().filter(|it| document.is_resumable(it)) {
        let hash = name_hash(service.as_str());
        if origins.is_row_due(hash, view.builds(service), era, all_claim, now) {
            due.push(service.clone());
        }
    }
    due
}

/// Lets the store list the builds of a service.
async fn record_builds(context: &Context, service: &Service) -> Result<(), store::Error> {
    let (key, hash) = (row::Builds::key(service), name_hash(service.as_str()));
    let answer = context.store.get(Topic::Streams, &key).await?;
    let (mut era, mut stored) = (answer.era, answer.value);
    for _ in 0..MAX_CONFLICTS {
        let listed = decode_builds(stored.as_ref(), era);
        learn(context, service, listed.as_ref(), era);
        let view = context.view.load();
        let registered = view.builds(service);
        let (all_claim, now) = (all_claim(context).unwrap_or(false), context.now());
        let listed_row = listed.as_ref();
        let wanted =
            context.origins().row_to_write(hash, listed_row, era, registered, all_claim, now);
        let Some(wanted) = wanted else {
            context.origins().note_row(hash, listed.unwrap_or_default(), registered);
            return Ok(());
        };
        let value = serde_json::to_vec(&wanted)
            .map_err(|error| store::Error::Refused(error.to_string()))?;
        let expected = Some(stored.as_ref().map_or(0, |it| it.version));
        let write = Write { topic: Topic::Streams, key: key.clone(), expected, value: Some(value) };
        let answer = context.store.write(&write).await?;
        match answer.value {
            Outcome::Committed(_) if answer.era == era => {
                let builds = &wanted.builds;
                info!(
                    service = service.as_str(),
                    ?builds,
                    unclaimed = wanted.unclaimed().map(Build::as_str),
                    era = era.0,
                    "builds of a service recorded"
                );
                context.origins().note_row(hash, wanted, registered);
                return Ok(());
            }
            // It was written to a store that has lost other rows.
            Outcome::Committed(_) => return Err(store::Error::Malformed("another era".to_owned())),
            Outcome::Conflict(row) => (era, stored) = (answer.era, row),
        }
    }
    Err(store::Error::Refused(format!("{MAX_CONFLICTS} conflicting writes")))
}

/// Takes in the row of a service; returns whether it lists all builds that the service had lately.
fn learn(context: &Context, service: &Service, row: Option<&row::Builds>, era: Era) -> bool {
    context.eras.observe(era, context.now());
    let hash = name_hash(service.as_str());
    let is_latest = context.eras.latest() <= Some(era);
    context.origins().learn_row(hash, row, era, context.now()) && is_latest
}

/// The builds in the row of a service. Nobody knows those in a row that can't be read.
fn decode_builds(row: Option<&Row>, era: Era) -> Option<row::Builds> {
    let decoded = decode(row?);
    let lost = || row::Builds { era, builds: vec![row::lost_builds()], unclaimed: None };
    Some(decoded.unwrap_or_else(lost))
}

fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    match serde_json::from_slice(row.value.as_deref().unwrap_or_default()) {
        Ok(value) => Some(value),
        Err(error) => {
            warn!(key = row.key, %error, "ignored an invalid row of builds or streams");
            None
        }
    }
}

/// Waits until the store lists the build that has begun a stream, for [`LIST_TIMEOUT`] at most.
pub async fn wait_until_listed(context: &Context, service: &Service, build: &Build) {
    let hash = name_hash(service.as_str());
    let is_listed = || {
        let era = context.eras.latest().unwrap_or_default();
        context.origins().is_listed(hash, build, era)
    };
    let wait = async {
        while !is_listed() {
            time::sleep(LIST_POLL_INTERVAL).await;
        }
    };
    if time::timeout(LIST_TIMEOUT, wait).await.is_err() {
        counter!("tealturn_streams_unlisted_total").increment(1);
        let (service, build) = (service.as_str(), build.as_str());
        warn!(service, build, "a stream begins before the store lists the build that began it");
    }
}

/// Reads which builds a service had; `None` if the store has not told all of them.
pub async fn read_builds(context: &Context, service: &Service) -> Option<row::Builds> {
    let (era, row) = get(context, &row::Builds::key(service)).await?;
    let row = decode_builds(row.as_ref(), era);
    learn(context, service, row.as_ref(), era).then(|| row.unwrap_or_default())
}

/// Reads which build began a stream; `None` if the store didn't tell whether it knows.
pub async fn read_origin(context: &Context, attempt: u64) -> Option<Option<Build>> {
    let (_, row) = get(context, &row::Stream::key(attempt)).await?;
    match row {
        Some(row) => decode::<row::Stream>(&row).map(|it| Some(it.build)),
        None => Some(None),
    }
}

/// Reads a row while a caller waits; `None` if the store doesn't answer in time.
async fn get(context: &Context, key: &str) -> Option<(Era, Option<Row>)> {
    match time::timeout(READ_TIMEOUT, context.store.get(Topic::Streams, key)).await {
        Ok(Ok(answer)) => Some((answer.era, answer.value)),
        Ok(Err(failure)) => {
            info!(key, %failure, "row of builds or streams not read");
            None
        }
        Err(_) => {
            info!(key, "row of builds or streams not read in time");
            None
        }
    }
}

async fn keep_streams(context: &Context) {
    loop {
        let writers = {
            let plan = context.plan.load();
            match plan.is_hub {
                true => plan.hubs.len() + 1,
                false => context.members.count(),
            }
        };
        let writes_per_s = context.settings.store_writes_per_s * WRITE_SHARE;
        let writes_per_s = writes_per_s.min(MAX_WRITES_PER_S) / writers as f64;
        time::sleep(Duration::from_secs_f64(1.0 / writes_per_s)).await;
        let era = context.eras.latest().unwrap_or_default();
        let due = context.origins().due_rows(era, context.now());
        let Some(due) = due else { continue };
        let result = write_streams(context, &due).await;
        context.origins().settle(due, result.is_ok());
        if let Err(failure) = result {
            warn!(%failure, "failed to record origins of streams; retrying");
            time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn write_streams(context: &Context, due: &Due) -> Result<(), store::Error> {
    let batch = due.batch().map_err(|error| store::Error::Refused(error.to_string()))?;
    context.store.write_all(&batch).await?;
    counter!("tealturn_origins_recorded_total").increment(due.puts.len() as u64);
    Ok(())
}

/// Removes rows of streams that other daemons have left behind.
async fn sweep(context: &Context) {
    let (mut seen_streams, mut seen_claims) = (Map::default(), Map::default());
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        if context.plan.load().rank > 0 {
            (seen_streams, seen_claims) = (Map::default(), Map::default());
            continue;
        }
        if let Err(failure) = sweep_once(context, &mut seen_streams).await {
            info!(%failure, "rows of streams not swept");
        }
        if let Err(failure) = claim::sweep(context, &mut seen_claims).await {
            info!(%failure, "claims of builds not swept");
        }
    }
}

/// Removes the rows that were seen longer than [`LIFETIME`] ago.
async fn sweep_once(context: &Context, seen: &mut Map<String, Time>) -> Result<(), store::Error> {
    let mut keys = Vec::new();
    let mut after = None;
    loop {
        let page = context.store.list(Topic::Streams, after.as_deref()).await?;
        after = page.rows.last().map(|it| it.key.clone());
        let listed = page.rows.into_iter().map(|it| it.key);
        keys.extend(listed.filter(|it| it.starts_with(row::STREAM_PREFIX)));
        if !page.has_more || after.is_none() {
            break;
        }
    }
    remove_expired(context, Topic::Streams, keys, seen).await
}

/// Removes the rows with these keys that were first seen longer than [`LIFETIME`] ago. `seen` has when that
/// was.
async fn remove_expired(
    context: &Context,
    topic: Topic,
    keys: Vec<String>,
    seen: &mut Map<String, Time>,
) -> Result<(), store::Error> {
    let now = context.now();
    let before = std::mem::take(seen);
    for key in keys {
        let first = before.get(&key).copied().unwrap_or(now);
        seen.insert(key, first);
    }
    let mut left: Vec<String> = Vec::new();
    for (key, _) in seen.extract_if(|_, first| now.since(*first) >= LIFETIME) {
        left.push(key);
    }
    for removals in left.chunks(MAX_BATCH_ROWS) {
        let batch = Batch { topic, puts: Vec::new(), removals: removals.to_vec() };
        context.store.write_all(&batch).await?;
    }
    Ok(())
}
