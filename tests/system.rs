//! Daemons before a deployment over real sockets, with failures of daemons, platform and
//! upstreams, alone and together.

#[path = "system/fleet.rs"]
mod fleet;

use std::time::Duration;

use fleet::Fleet;
use tealturn::{
    load::{
        caller::{Done, Outcome},
        protocol::Execution,
        report::Report,
        run,
    },
    standin::{engine, platform},
};
use tokio::{task::JoinHandle, time};

/// Table reads by which a daemon may start; 350 of them may start at once within the table's
/// 2,000 reads a second and 15 s.
const START_READS: u64 = 85;

/// Upstreams that one request may crash.
const MAX_CRASHES: u64 = 3;

async fn load(fleet: &Fleet, seconds: u64) -> JoinHandle<Report> {
    let settings = fleet.load(seconds).await;
    tokio::spawn(async move { run::run(&settings).await.expect("the stand-ins answer") })
}

fn is_whole(done: &Done) -> bool {
    matches!(done.outcome, Outcome::Whole(_))
}

fn table_down(down: bool) -> platform::Faults {
    platform::Faults { table_down: down, ..platform::Faults::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn seven_rolling_replacements_cut_no_request() {
    let mut fleet = Fleet::start(7).await;
    let load = load(&fleet, 40).await;
    for _ in 0..7 {
        fleet.add(1).await;
        fleet.until_ready().await;
        let old = fleet.take(0);
        let context = old.context.clone();
        old.stop().await;
        fleet.unlist(&context);
    }
    let report = load.await.expect("the load runs");
    assert!(report.is_right(), "{report}");
    assert_eq!((report.retries, report.refused), (0, 0), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_daemons_lose_no_answer() {
    let mut fleet = Fleet::start(7).await;
    let load = load(&fleet, 12).await;
    for _ in 0..3 {
        time::sleep(Duration::from_secs(2)).await;
        fleet.take(0).kill();
        fleet.add(1).await;
    }
    let report = load.await.expect("the load runs");
    assert!(report.is_right(), "{report}");
    assert_eq!(report.refused, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_herd_learns_from_one_peer_while_the_table_is_down() {
    let mut fleet = Fleet::start(7).await;
    fleet.deployment.platform.set_faults(table_down(true));
    for _ in 0..6 {
        fleet.take(1).kill();
    }
    let before = fleet.deployment.platform.calls();
    fleet.add(6).await;
    fleet.until_ready().await;
    let after = fleet.deployment.platform.calls();
    let reads = after.table_reads - before.table_reads;
    assert!(reads <= 7 * START_READS, "{reads} reads of the table");
    for address in fleet.callers() {
        let done = fleet.complete(address, "Is it in force?").await;
        assert!(is_whole(&done), "{done:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_herd_without_table_and_peers_says_so_and_serves_once_the_table_is_back() {
    let mut fleet = Fleet::start(1).await;
    fleet.deployment.platform.set_faults(table_down(true));
    fleet.take(0).kill();
    fleet.add(7).await;
    for address in fleet.callers() {
        let refusal = fleet.refused(address, "Is anything in force?").await;
        assert_eq!(refusal.run, Execution::NotRun, "{refusal:?}");
        assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
    }
    assert_eq!(fleet.deployment.ledger.totals().executions, 0);
    fleet.deployment.platform.set_faults(table_down(false));
    fleet.until_ready().await;
    for address in fleet.callers() {
        let done = fleet.complete(address, "Is it in force?").await;
        assert!(is_whole(&done), "{done:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_engines_is_barred_in_all_daemons() {
    let fleet = Fleet::start(7).await;
    for engine in &fleet.deployment.engines {
        engine.set_faults(engine::Faults {
            poison: Some("crash this".to_owned()),
            restart_ms: 200,
            ..engine::Faults::default()
        });
    }
    let load = load(&fleet, 10).await;
    let mut answers = Vec::new();
    for round in 0..28 {
        let address = fleet.callers()[round % 7];
        let call = fleet.complete(address, "please crash this engine");
        // Callers give up and ask another daemon.
        if let Ok(done) = time::timeout(Duration::from_millis(300), call).await {
            eprintln!("{round} {:?} {}", done.outcome, fleet.deployment.ledger.totals().crashes);
            answers.push(done.outcome);
        }
    }
    let report = load.await.expect("the load runs");
    let crashes = fleet.deployment.ledger.totals().crashes;
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
    assert!(!answers.iter().any(|it| matches!(it, Outcome::Whole(_))));
    assert!(report.is_right(), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_herd_restart_and_engine_crashes_meet() {
    let mut fleet = Fleet::start(7).await;
    let load = load(&fleet, 16).await;
    time::sleep(Duration::from_secs(2)).await;
    fleet.deployment.platform.set_faults(platform::Faults {
        vms_down: true,
        silence: true,
        ..table_down(true)
    });
    for place in [0, 5, 7] {
        fleet.deployment.engines[place].set_faults(engine::Faults {
            crash: true,
            restart_ms: 1_000,
            ..engine::Faults::default()
        });
    }
    for _ in 0..3 {
        fleet.take(0).kill();
    }
    fleet.deployment.engines[3]
        .set_faults(engine::Faults { silence: true, ..engine::Faults::default() });
    time::sleep(Duration::from_secs(6)).await;
    fleet.deployment.platform.set_faults(table_down(false));
    fleet.add(3).await;
    let report = load.await.expect("the load runs");
    assert!(report.is_right(), "{report}");
    fleet.until_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_herd_restart_serves_at_once() {
    let mut fleet = Fleet::start(3).await;
    for _ in 0..3 {
        fleet.take(0).kill();
    }
    fleet.add(3).await;
    let load = load(&fleet, 5).await;
    let report = load.await.expect("the load runs");
    assert!(report.is_right() && report.refused == 0, "{report}");
    let overloaded = report.refusals.get("overloaded").copied();
    assert_eq!(overloaded, None, "{report}");
}
