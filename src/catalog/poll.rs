//! Keeps the configuration in force up to date with the table.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use metrics::{counter, gauge};
use rand::RngExt;
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    catalog::{
        Catalog, Snapshot,
        keeper::{Keeper, Update},
        sync::{Step, Sync},
    },
    fleet::contact,
    kernel::{
        context::Context,
        registry::{Component, Registration},
    },
    platform::{table::Failure, vm::Role},
    timeline::Subject,
};

/// The mean time between two polls of a small fleet.
pub const POLL_INTERVAL: Duration = Duration::from_millis(1_000);

/// What each daemon of the fleet adds to the mean time between polls, so that the polls of all
/// together stay under 70 a second.
pub const POLL_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(15);

/// The longest wait for the VM list before the first reading.
const VM_LIST_WAIT: Duration = Duration::from_millis(100);

inventory::submit! {
    Registration {
        name: "configuration",
        make: || Box::new(Poll),
    }
}

struct Poll;

#[async_trait]
impl Component for Poll {
    async fn run(&self, context: Arc<Context>, stop: CancellationToken) {
        let fleet = expected(&context).await;
        let wait = first_wait(fleet, rand::rng().random_range(0.0..1.0));
        time::sleep(wait).await;
        loop {
            if let Err(failure) = poll(&context).await {
                counter!("tealturn_catalog_poll_failures_total").increment(1);
                tracing::debug!(%failure, "the configuration could not be polled");
            }
            let fleet = context.members.count();
            let wait = interval(fleet, rand::rng().random_range(0.0..1.0));
            tokio::select! {
                () = time::sleep(wait) => {}
                () = stop.cancelled() => return,
            }
        }
    }
}

/// How many daemons may be starting at this moment.
async fn expected(context: &Context) -> usize {
    let listed = time::timeout(VM_LIST_WAIT, context.vms.entries()).await;
    let entries = listed.ok().and_then(Result::ok).unwrap_or_default();
    let daemons = entries.iter().filter(|it| matches!(it.role, Role::Daemon { .. }));
    daemons.count().max(context.settings.seeds.len() + 1)
}

/// The wait before the first reading. When many daemons start at once, the first ones read all,
/// and the others have it from them before their turn comes.
pub fn first_wait(daemons: usize, draw: f64) -> Duration {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    POLL_INTERVAL_PER_DAEMON.saturating_mul(daemons).mul_f64(draw)
}

/// The time until the next poll in a fleet of `daemons`; `draw` is a random number below 1.
pub fn interval(daemons: usize, draw: f64) -> Duration {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    let mean = POLL_INTERVAL.max(POLL_INTERVAL_PER_DAEMON.saturating_mul(daemons));
    mean.mul_f64(0.5 + draw)
}

/// Reads the table once and puts in force what is new.
///
/// # Errors
///
/// The table's failure; what was in force stays.
pub async fn poll(context: &Context) -> Result<(), Failure> {
    let mut sync = Sync::new(context.configuration.revision());
    let mut step = sync.start();
    loop {
        match step {
            Step::Call(call) => {
                counter!("tealturn_catalog_table_calls_total").increment(1);
                step = sync.step(call.perform(&*context.table).await);
            }
            Step::Entries(entries) => {
                install(context, &Update::Entries(entries));
                break;
            }
            Step::Whole(catalog) => {
                install(context, &Update::Whole(Arc::new(catalog)));
                break;
            }
            Step::Failed(failure) => return Err(failure),
        }
    }
    contact::confirmed(context);
    Ok(())
}

/// Puts a confirmed configuration in force if it is newer.
pub fn install(context: &Context, update: &Update) {
    let apply = |keeper: &mut Keeper| keeper.take(update);
    let Some(catalog) = context.configuration.change(apply, |it| swap(context, it)) else {
        return;
    };
    let revision = catalog.revision;
    gauge!("tealturn_catalog_revision").set(revision.0 as f64);
    let event = Subject::Revision(revision.0);
    context.ring.record(event, "configuration_in_force", "");
    tracing::info!(%revision, "configuration in force");
}

fn swap(context: &Context, catalog: &Catalog) {
    let snapshot = Arc::new(Snapshot::new(catalog));
    let old = context.catalog.swap(snapshot);
    assert!(
        old.revision() <= catalog.revision,
        "a configuration reverted from {} to {}",
        old.revision(),
        catalog.revision
    );
}
