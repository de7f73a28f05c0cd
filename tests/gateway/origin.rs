use std::time::Duration;

use tealturn::{
    gateway::origin::{Entry, LIFETIME, MAX_ORIGINS, Table},
    kernel::{clock::Time, id::Build},
};

const START: Time = Time::from_millis(1_000_000);
const SERVICE: u64 = 5;
const STREAM: u64 = 77;

fn entry(attempt: u64, build: &str) -> Entry {
    Entry { attempt, service: SERVICE, build: Build::from(build) }
}

fn builds(names: &[&str]) -> Vec<Build> {
    names.iter().map(|it| Build::from(*it)).collect()
}

fn find(table: &mut Table, attempt: u64, registered: &[&str], now: Time) -> Option<Build> {
    table.find(attempt, SERVICE, &builds(registered), true, now)
}

/// A stream that goes on at a guessed build may hold events of two (docs/incidents/cascade-14ac.md).
#[test]
fn the_build_of_a_stream_is_known_or_the_only_one_and_never_guessed() {
    struct Case {
        what: &'static str,
        /// The origin that is known.
        known: Option<&'static str>,
        registered: &'static [&'static str],
        /// A build that left, and how long ago.
        left: Option<(&'static str, Duration)>,
        /// The build of another stream of the service that a daemon told of.
        told: Option<&'static str>,
        is_current: bool,
        found: Option<&'static str>,
    }
    let unknown = Case {
        what: "one build",
        known: None,
        registered: &["v1"],
        left: None,
        told: None,
        is_current: true,
        found: Some("v1"),
    };
    let second = Duration::from_secs(1);
    for case in [
        Case { what: "two builds", registered: &["v1", "v2"], found: None, ..unknown },
        Case { what: "no upstream", registered: &[], found: None, ..unknown },
        Case { what: "out of touch", is_current: false, found: None, ..unknown },
        Case { what: "one left", left: Some(("v0", LIFETIME - second)), found: None, ..unknown },
        Case { what: "one left long ago", left: Some(("v0", LIFETIME)), ..unknown },
        Case { what: "the same left", left: Some(("v1", second)), ..unknown },
        Case { what: "another was told of", told: Some("v2"), found: None, ..unknown },
        Case { what: "the same was told of", told: Some("v1"), ..unknown },
        Case { what: "known", known: Some("v2"), found: Some("v2"), ..unknown },
        Case {
            what: "known and out of touch",
            known: Some("v1"),
            registered: &["v1", "v2"],
            is_current: false,
            found: Some("v1"),
            ..unknown
        },
        Case {
            what: "known and left",
            known: Some("v1"),
            registered: &["v2"],
            found: Some("v1"),
            ..unknown
        },
        unknown,
    ] {
        let mut table = Table::default();
        if let Some((build, ago)) = case.left {
            table.record_build(SERVICE, &Build::from(build), START - ago);
        }
        if let Some(build) = case.told {
            assert!(table.learn(&entry(1, build), START), "{}", case.what);
        }
        if let Some(build) = case.known {
            table.begin(&entry(STREAM, build), START);
        }
        let registered = builds(case.registered);
        let found = table.find(STREAM, SERVICE, &registered, case.is_current, START);
        assert_eq!(found, case.found.map(Build::from), "{}", case.what);
    }
}

#[test]
fn builds_of_other_services_do_not_count() {
    let mut table = Table::default();
    table.learn(&Entry { service: 6, ..entry(1, "v2") }, START);
    assert_eq!(find(&mut table, STREAM, &["v1"], START), Some(Build::from("v1")));
}

/// Were the later origin taken, a stream that was once joined wrongly would go on so.
#[test]
fn the_first_origin_of_a_stream_stays() {
    let mut table = Table::default();
    table.begin(&entry(STREAM, "v1"), START);
    assert!(!table.learn(&entry(STREAM, "v2"), START), "it should not be passed on");
    table.begin(&entry(STREAM, "v2"), START);
    assert_eq!(find(&mut table, STREAM, &["v1", "v2"], START), Some(Build::from("v1")));
}

#[test]
fn daemons_are_told_once_and_only_while_a_service_has_two_builds() {
    let mut table = Table::default();
    table.begin(&entry(1, "v1"), START);
    table.begin(&entry(2, "v1"), START);
    table.begin(&entry(3, "v1"), START);
    table.end(1, START);
    table.end(2, START + Duration::from_secs(29));
    let later = START + Duration::from_secs(30);
    assert!(table.take_unshared(SERVICE, &builds(&["v1"]), later).is_empty());
    let both = builds(&["v1", "v2"]);
    let told = table.take_unshared(SERVICE, &both, later);
    assert_eq!(told, [entry(2, "v1"), entry(3, "v1")], "the first one's caller is gone");
    assert!(table.take_unshared(SERVICE, &both, later).is_empty());
    table.begin(&entry(4, "v2"), later);
    table.learn(&entry(5, "v2"), later);
    assert_eq!(table.take_unshared(SERVICE, &both, later), [entry(4, "v2")]);
    let mut shared: Vec<_> = table.shared().into_iter().map(|it| it.attempt).collect();
    shared.sort_unstable();
    assert_eq!(shared, [2, 3, 4, 5], "a daemon that starts is told all that was told");
}

/// Guards against news that a hub doesn't pass on because it was told directly before: its spokes would
/// refuse the stream (docs/incidents/cascade-grown-lost.md).
#[test]
fn an_origin_that_was_told_directly_is_passed_on_when_it_is_told_to_all() {
    let both = builds(&["v1", "v2"]);
    let mut table = Table::default();
    assert_eq!(table.known(STREAM, START), None);
    table.keep(&entry(STREAM, "v1"), START);
    assert_eq!(table.known(STREAM, START), Some(Build::from("v1")));
    assert!(table.take_unshared(SERVICE, &both, START).is_empty(), "others are told by its daemon");
    assert!(table.learn(&entry(STREAM, "v1"), START), "news is passed on");
    assert!(!table.learn(&entry(STREAM, "v1"), START), "once");
    table.keep(&entry(STREAM, "v2"), START);
    assert_eq!(table.known(STREAM, START), Some(Build::from("v1")), "the first one stays");
}

#[test]
fn origins_are_kept_for_a_while_after_their_last_use_and_not_without_bound() {
    let both = ["v1", "v2"];
    let mut table = Table::default();
    table.begin(&entry(1, "v1"), START);
    table.begin(&entry(2, "v1"), START);
    let used_at = START + LIFETIME - Duration::from_secs(1);
    assert!(find(&mut table, 1, &both, used_at).is_some());
    table.begin(&entry(3, "v2"), START + LIFETIME);
    assert_eq!(find(&mut table, 1, &both, START + LIFETIME), Some(Build::from("v1")));
    assert_eq!(find(&mut table, 2, &both, START + LIFETIME), None, "it was not used");

    let mut table = Table::default();
    (0..MAX_ORIGINS as u64 + 10).for_each(|it| table.begin(&entry(it, "v1"), START));
    for (attempt, is_kept) in [(0, false), (9, false), (10, true), (MAX_ORIGINS as u64, true)] {
        assert_eq!(find(&mut table, attempt, &both, START).is_some(), is_kept, "{attempt}");
    }
}
