//! Requests through daemons and stand-ins over real sockets, with faults on the way.

#[path = "serve/input.rs"]
mod input;
#[path = "serve/router.rs"]
mod router;

use std::time::Duration;

use router::{Router, TOKENS, completion, expected, read};
use tealturn::{
    request::{
        refusal::{Execution, Kind},
        suspect::MAX_CRASHES,
    },
    standin::{engine, plain, platform},
};
use tokio::time;

const COMPLETIONS: &str = "/v1/completions";
const FILING: &str = "/s/wiki-app/filings";

/// What happens to the engine while it answers.
struct Fault {
    name: &'static str,
    faults: fn() -> engine::Faults,
}

fn slow() -> engine::Faults {
    engine::Faults { slow_percent: 1_000, ..engine::Faults::default() }
}

const FAULTS: &[Fault] = &[
    Fault { name: "none", faults: slow },
    Fault { name: "silent connections", faults: || engine::Faults { silence: true, ..slow() } },
    Fault {
        name: "crash, back at once",
        faults: || engine::Faults { crash: true, restart_ms: 0, ..slow() },
    },
    Fault {
        name: "crash, away for long",
        faults: || engine::Faults { crash: true, restart_ms: 60_000, ..slow() },
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_through_faults_of_the_engine() {
    for fault in FAULTS {
        let router = Router::start(1).await;
        router.slow(1_000);
        let prompt = format!("handbook, then {}", fault.name);
        let (answer, engine) = router.run("notary", "unused", &prompt).await;
        engine.set_faults((fault.faults)());
        let answered = read(answer).await;
        let (text, done) = answered.stream();
        assert_eq!(answered.refusal(), None, "{}", fault.name);
        assert_eq!(text, expected(&prompt), "{}", fault.name);
        assert!(done && answered.whole, "{}", fault.name);
        router.idle().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_no_mark_against_the_upstream() {
    let router = Router::start(1).await;
    router.slow(1_000);
    let (answer, engine) = router.run("notary", "unused", "page").await;
    engine.set_faults(engine::Faults { silence: true, ..slow() });
    assert!(read(answer).await.stream().1);
    assert_eq!(router.deployment.ledger.runs("page"), 1, "it was resumed");
    let events = router.contexts[0].ring.events();
    assert!(events.iter().all(|it| it.kind != "upstream_dead"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_billable_answer_is_repeated_and_not_run_again() {
    let router = Router::start(2).await;
    let first = router.complete(0, "clinic", Some("bill-1"), "fees").await;
    assert_eq!(first.stream(), (expected("fees"), true));
    let body = completion("fees");
    let again = router.settled(1, COMPLETIONS, "clinic", "bill-1", &body).await;
    assert_eq!(again.stream(), (expected("fees"), true));
    assert_eq!(router.deployment.ledger.runs("fees"), 1);
    let other = router.complete(1, "clinic", Some("bill-1"), "other").await;
    let refusal = other.refusal().expect("a refusal");
    assert_eq!(refusal.kind, Kind::KeyReused);
    assert_eq!(router.deployment.ledger.runs("other"), 0);
    // Another workspace's key of the same name is another key.
    let notary = router.complete(0, "notary", Some("bill-1"), "deeds").await;
    assert_eq!(notary.stream(), (expected("deeds"), true));
    router.idle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_billable_answer_that_breaks_off_is_not_run_again() {
    let router = Router::start(2).await;
    router.slow(1_000);
    let (answer, engine) = router.run("clinic", "bill-2", "fees").await;
    engine.set_faults(engine::Faults { crash: true, ..slow() });
    let answered = read(answer).await;
    let refusal = answered.refusal().expect("a typed end");
    assert_eq!(refusal.kind, Kind::Incomplete);
    assert_eq!(refusal.run, Execution::Run);
    let (text, done) = answered.stream();
    assert!(!done && expected("fees").starts_with(&text));
    let again = router.complete(1, "clinic", Some("bill-2"), "fees").await;
    let refusal = again.refusal().expect("a refusal");
    assert_ne!(refusal.run, Execution::NotRun);
    assert_eq!(router.deployment.ledger.runs("fees"), 1);
    router.idle().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_the_engine() {
    let router = Router::start(1).await;
    // The whole answer would take longer than anything that is waited for.
    let percent = 50_000;
    assert!(router::PATIENCE < Duration::from_millis(4) * TOKENS * percent / 100);
    router.slow(percent);
    let (answer, _) = router.run("notary", "unused", "page").await;
    drop(answer);
    router.idle().await;
    let idle = async {
        for engine in &router.deployment.engines {
            while router.load(engine).await.running > 0 {
                time::sleep(Duration::from_millis(10)).await;
            }
        }
    };
    time::timeout(router::PATIENCE, idle).await.expect("cancelled");
}

/// A fault of the plain service or the table, and what callers are told.
struct Filing {
    name: &'static str,
    plain: fn() -> plain::Faults,
    platform: fn() -> platform::Faults,
    kind: Option<Kind>,
    run: Execution,
    /// What one who asks again elsewhere, after the faults, is told.
    again: Option<Kind>,
    executed: u32,
}

const FILINGS: &[Filing] = &[
    Filing {
        name: "no fault",
        plain: plain::Faults::default,
        platform: platform::Faults::default,
        kind: None,
        run: Execution::Run,
        again: None,
        executed: 1,
    },
    Filing {
        name: "the service's answer is lost",
        plain: || plain::Faults { lose_answers: true, ..plain::Faults::default() },
        platform: platform::Faults::default,
        kind: Some(Kind::Incomplete),
        run: Execution::Unknown,
        again: Some(Kind::Unsettled),
        executed: 1,
    },
    Filing {
        name: "the table is down",
        plain: plain::Faults::default,
        platform: || platform::Faults { table_down: true, ..platform::Faults::default() },
        kind: Some(Kind::StoreUnavailable),
        run: Execution::Unknown,
        again: None,
        executed: 1,
    },
    Filing {
        name: "every second commit's answer is lost",
        plain: plain::Faults::default,
        platform: || platform::Faults { table_lose_one_in: 2, ..platform::Faults::default() },
        kind: None,
        run: Execution::Run,
        again: None,
        executed: 1,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn a_filing_runs_at_most_once() {
    for case in FILINGS {
        let router = Router::start(2).await;
        for plain in &router.deployment.plains {
            plain.set_faults((case.plain)());
        }
        router.deployment.platform.set_faults((case.platform)());
        let key = Some("filing-1");
        let first = router.ask(0, FILING, "notary", key, "fee").await;
        let refusal = first.refusal();
        assert_eq!(refusal.as_ref().map(|it| it.kind), case.kind, "{}", case.name);
        let run = refusal.map_or(Execution::Run, |it| it.run);
        assert_eq!(run, case.run, "{}", case.name);
        for plain in &router.deployment.plains {
            plain.set_faults(plain::Faults::default());
        }
        let faults = platform::Faults::default();
        router.deployment.platform.set_faults(faults);
        let again = match case.again {
            Some(_) => router.ask(1, FILING, "notary", key, "fee").await,
            None => router.settled(1, FILING, "notary", "filing-1", "fee").await,
        };
        let kind = again.refusal().map(|it| it.kind);
        assert_eq!(kind, case.again, "{}", case.name);
        let executed = router.deployment.executed("filing-1");
        assert_eq!(executed, case.executed, "{}", case.name);
        if kind.is_none() && case.kind.is_none() {
            assert_eq!(again.body, first.body, "{}", case.name);
        }
        router.idle().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_was_refused_as_not_run_can_be_sent_again() {
    let router = Router::start(2).await;
    for plain in &router.deployment.plains {
        plain.set_faults(plain::Faults {
            crash: true,
            restart_ms: 2_000,
            ..plain::Faults::default()
        });
    }
    let key = Some("filing-2");
    let first = router.ask(0, FILING, "notary", key, "fee").await;
    let refusal = first.refusal().expect("a refusal");
    assert_eq!(refusal.kind, Kind::NoUpstream);
    assert_eq!(refusal.run, Execution::NotRun);
    assert!(first.headers.contains_key("retry-after"));
    assert_eq!(router.deployment.executed("filing-2"), 0);
    let again = router.settled(1, FILING, "notary", "filing-2", "fee").await;
    assert_eq!(again.refusal(), None);
    assert_eq!(router.deployment.executed("filing-2"), 1);
}

/// A prompt that crashes each engine that computes it, sent again and again at all daemons.
#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_crashes_few_engines_and_harms_no_neighbour() {
    let router = Router::start(2).await;
    for engine in &router.deployment.engines {
        engine.set_faults(engine::Faults {
            poison: Some("poison".to_owned()),
            restart_ms: 50,
            ..engine::Faults::default()
        });
    }
    let router = &router;
    let neighbours = async {
        for place in 0..8 {
            let prompt = format!("page {place}");
            let answered = router.complete(place % 2, "notary", None, &prompt).await;
            let Some(refusal) = answered.refusal() else {
                assert_eq!(answered.stream(), (expected(&prompt), true));
                continue;
            };
            let ran = router.deployment.ledger.runs(&prompt) > 0;
            let truth = refusal.run != Execution::NotRun || !ran;
            assert!(truth, "{prompt} ran, but was refused with {refusal:?}");
            time::sleep(Duration::from_millis(100)).await;
        }
    };
    let senders = |first: usize| async move {
        for place in first..first + 20 {
            let answered = router.complete(place % 2, "notary", None, "poison").await;
            assert!(answered.refusal().is_some());
            // Long enough for crashed engines to come back and load their weights.
            time::sleep(Duration::from_millis(150)).await;
        }
    };
    let all = async { tokio::join!(neighbours, senders(0), senders(1)) };
    time::timeout(router::PATIENCE, all).await.expect("answers");
    let crashes = router.deployment.ledger.totals().crashes;
    assert!(crashes <= MAX_CRASHES as u64, "{crashes} engines crashed");
    router.idle().await;
}
