//! Writes, reads and removes the claims of daemons on builds.

use metrics::counter;
use tokio::time;
use tracing::info;

use super::{READ_TIMEOUT, remove_expired};
use crate::{
    collections::Map,
    gateway::{
        context::Context,
        origin::row::Claim,
        store::{self, Era, Outcome, Topic, Write},
    },
    kernel::{
        clock::Time,
        id::{Build, Service},
    },
    route::pool::name_hash,
};

/// The services at which this process must claim builds, and the builds.
pub(super) fn due(context: &Context) -> Vec<(Service, Vec<Build>)> {
    let Some(era) = context.eras.latest() else {
        return Vec::new();
    };
    let (view, origins) = (context.view.load(), context.origins());
    let mut due = Vec::new();
    for service in view.services() {
        let hash = name_hash(service.as_str());
        if let Some(builds) = origins.claim_to_write(hash, view.builds(service), era) {
            due.push((service.clone(), builds));
        }
    }
    due
}

/// Claims builds of a service for this process.
pub(super) async fn write(
    context: &Context,
    service: &Service,
    builds: Vec<Build>,
) -> Result<(), store::Error> {
    let daemon = context.settings.daemon.as_str();
    let key = Claim::key(service, daemon, context.incarnation);
    let claim = Claim { daemon: daemon.to_owned(), incarnation: context.incarnation, builds };
    let value = serde_json::to_vec(&claim);
    let value = value.map_err(|error| store::Error::Refused(error.to_string()))?;
    let write = Write { topic: Topic::Claims, key, expected: None, value: Some(value) };
    let answer = context.store.write(&write).await?;
    context.eras.observe(answer.era, context.now());
    match answer.value {
        Outcome::Committed(_) => {
            info!(service = service.as_str(), builds = ?claim.builds, "builds claimed");
            counter!("tealturn_builds_claimed_total").increment(1);
            let hash = name_hash(service.as_str());
            context.origins().note_claim(hash, claim.builds, answer.era);
            Ok(())
        }
        Outcome::Conflict(_) => {
            Err(store::Error::Malformed("a conflict of an unconditional write".to_owned()))
        }
    }
}

/// Reads all claims at a service while a caller waits; `None` if the store didn't tell them in `era`, or one
/// can't be read.
pub async fn read(context: &Context, service: &Service, era: Era) -> Option<Vec<Claim>> {
    match time::timeout(READ_TIMEOUT, read_all(context, service, era)).await {
        Ok(Ok(claims)) => Some(claims),
        Ok(Err(failure)) => {
            info!(service = service.as_str(), %failure, "claims at a service not read");
            None
        }
        Err(_) => {
            info!(service = service.as_str(), "claims at a service not read in time");
            None
        }
    }
}

async fn read_all(
    context: &Context,
    service: &Service,
    era: Era,
) -> Result<Vec<Claim>, store::Error> {
    let prefix = Claim::prefix(service);
    let mut claims = Vec::new();
    let mut after = prefix.clone();
    loop {
        let page = context.store.list(Topic::Claims, Some(&after)).await?;
        if page.era != era {
            return Err(store::Error::Malformed(format!("era {}, not {era}", page.era)));
        }
        for row in &page.rows {
            if !row.key.starts_with(&prefix) {
                return Ok(claims);
            }
            let claim = serde_json::from_slice(row.value.as_deref().unwrap_or_default());
            let malformed = |error| store::Error::Malformed(format!("claim {}: {error}", row.key));
            claims.push(claim.map_err(malformed)?);
        }
        match page.rows.into_iter().next_back() {
            Some(last) if page.has_more => after = last.key,
            _ => return Ok(claims),
        }
    }
}

/// Removes the claims of processes that ended long ago. `seen` has when they were first found.
pub(super) async fn sweep(
    context: &Context,
    seen: &mut Map<String, Time>,
) -> Result<(), store::Error> {
    let mut ended = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = context.store.list(Topic::Claims, after.as_deref()).await?;
        after = page.rows.last().map(|it| it.key.clone());
        for row in page.rows {
            let claim = serde_json::from_slice(row.value.as_deref().unwrap_or_default());
            let is_running = claim.is_ok_and(|it: Claim| is_registered(context, &it));
            if !is_running {
                ended.push(row.key);
            }
        }
        if !page.has_more || after.is_none() {
            break;
        }
    }
    remove_expired(context, Topic::Claims, ended, seen).await
}

/// Whether the process that made a claim is the registered one of its daemon.
pub fn is_registered(context: &Context, claim: &Claim) -> bool {
    let members = context.members.all();
    members.iter().any(|(name, it)| (name, it.incarnation) == (&claim.daemon, claim.incarnation))
}
