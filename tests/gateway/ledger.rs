//! The rows of builds and streams that outlive all daemons.

use std::time::Duration;

use tealturn::{
    gateway::{
        origin::{Entry, LIFETIME, Table, row},
        store::{Era, MAX_BATCH_ROWS},
    },
    kernel::{clock::Time, id::Build},
};

const START: Time = Time::from_millis(1_000_000);
const SERVICE: u64 = 5;
const STREAM: u64 = 77;

/// The time after which the caller of a stream that ended is not expected back any more.
const RETURNED: Duration = Duration::from_secs(10);

fn builds(names: &[&str]) -> Vec<Build> {
    names.iter().map(|it| Build::from(*it)).collect()
}

fn row(era: u64, names: &[&str]) -> row::Builds {
    row::Builds { era: Era(era), builds: builds(names) }
}

/// Guards against daemons that take the only build in view for the only one that a service had: they
/// started after another one had left, or the store has lost it (incident ORDER,
/// docs/incidents/cwr-order.md).
#[test]
fn a_daemon_that_starts_takes_a_build_for_the_only_one_if_the_store_lists_no_other() {
    struct Case {
        what: &'static str,
        /// The era of the row and the builds in it.
        stored: Option<(u64, &'static [&'static str])>,
        era: u64,
        registered: &'static [&'static str],
        found: Option<&'static str>,
        written: Option<&'static [&'static str]>,
    }
    let usual = Case {
        what: "one build",
        stored: Some((0, &["v1"])),
        era: 0,
        registered: &["v1"],
        found: Some("v1"),
        written: None,
    };
    for case in [
        Case { what: "first start", stored: None, written: Some(&["v1"]), ..usual },
        Case {
            what: "the only build was replaced",
            registered: &["v2"],
            found: None,
            written: Some(&["v1", "v2"]),
            ..usual
        },
        Case { what: "one of two left", stored: Some((0, &["v1", "v2"])), found: None, ..usual },
        Case {
            what: "the store lost builds",
            era: 1,
            found: None,
            written: Some(&["", "v1"]),
            ..usual
        },
        Case {
            what: "the store lost the row",
            stored: None,
            era: 1,
            found: None,
            written: Some(&["", "v1"]),
            ..usual
        },
        Case {
            what: "complete since the store came back",
            stored: Some((1, &["v1"])),
            era: 1,
            ..usual
        },
        usual,
    ] {
        let mut table = Table::default();
        let stored = case.stored.map(|(era, names)| row(era, names));
        let (stored, era, registered) = (stored.as_ref(), Era(case.era), builds(case.registered));
        table.learn_row(SERVICE, stored, era, &registered, START);
        let found = table.find(STREAM, SERVICE, &registered, true, START);
        assert_eq!(found, case.found.map(Build::from), "{}", case.what);
        let written = table.row_to_write(SERVICE, stored, era, &registered, START);
        let expected = case.written.map(|names| row(case.era, names));
        assert_eq!(written, expected, "{}", case.what);
    }
}

/// Guards against a row that stays incomplete, and refuses streams, after the store came back from an
/// older copy while daemons lived on that know all builds.
#[test]
fn a_daemon_that_knew_the_row_completes_it_after_the_store_came_back() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    table.learn_row(SERVICE, Some(&row(0, &["v1", "v2"])), Era(0), &both, START);
    assert!(!table.is_row_due(SERVICE, &both, Era(0), START));
    assert!(table.is_row_due(SERVICE, &both, Era(1), START));
    let older = row(0, &["v1"]);
    table.learn_row(SERVICE, Some(&older), Era(1), &both, START);
    let written = table.row_to_write(SERVICE, Some(&older), Era(1), &both, START);
    assert_eq!(written, Some(row(1, &["v1", "v2"])));
    assert!(!table.is_listed(SERVICE, &both[1], Era(1)), "not before it is written");
    table.note_row(SERVICE, row(1, &["v1", "v2"]), &both);
    assert!(table.is_listed(SERVICE, &both[1], Era(1)));
}

/// Guards against streams of a build that the row no longer lists: it had left for long, another daemon
/// took it off, and it is back.
#[test]
fn a_build_that_was_away_is_not_taken_for_listed() {
    let (mut table, v1, both) = (Table::default(), builds(&["v1"]), builds(&["v1", "v2"]));
    table.note_row(SERVICE, row(0, &["v1", "v2"]), &both);
    assert!(table.is_listed(SERVICE, &both[1], Era(0)));
    table.is_row_due(SERVICE, &v1, Era(0), START);
    assert!(!table.is_listed(SERVICE, &both[1], Era(0)));
    assert!(table.is_row_due(SERVICE, &both, Era(0), START), "read again once it is back");
}

/// Guards against services that count as having several builds forever, so that streams of unknown origin
/// are refused.
#[test]
fn a_build_is_taken_off_the_row_after_nobody_has_used_it_for_long() {
    let (mut table, v2) = (Table::default(), builds(&["v2"]));
    let stored = row(0, &["v1", "v2"]);
    table.learn_row(SERVICE, Some(&stored), Era(0), &v2, START);
    for (now, is_due) in
        [(START + LIFETIME - Duration::from_secs(1), false), (START + LIFETIME, true)]
    {
        assert_eq!(table.is_row_due(SERVICE, &v2, Era(0), now), is_due);
    }
    let written = table.row_to_write(SERVICE, Some(&stored), Era(0), &v2, START + LIFETIME);
    assert_eq!(written, Some(row(0, &["v2"])));
    // Another daemon that learned of it later must not write it back.
    let mut later = Table::default();
    later.learn_row(SERVICE, Some(&stored), Era(0), &v2, START + LIFETIME / 2);
    let shorter = row(0, &["v2"]);
    later.learn_row(SERVICE, Some(&shorter), Era(0), &v2, START + LIFETIME);
    assert_eq!(later.row_to_write(SERVICE, Some(&shorter), Era(0), &v2, START + LIFETIME), None);
}

fn begin(table: &mut Table, attempts: std::ops::Range<u64>) {
    for attempt in attempts {
        table.begin(&Entry { attempt, service: SERVICE, build: Build::from("v1") }, START);
    }
}

/// Guards against calls to the store where nothing is wrong, and against rows that nobody removes.
#[test]
fn origins_are_written_while_there_are_two_builds_and_removed_once_no_caller_returns() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    begin(&mut table, 0..150);
    table.take_unshared(SERVICE, &builds(&["v1"]), START);
    assert!(table.due_rows(START).is_none(), "nothing is written with one build");
    table.take_unshared(SERVICE, &both, START);
    let first = table.due_rows(START).expect("rows");
    assert_eq!(first.puts.len(), MAX_BATCH_ROWS);
    table.settle(first, false);
    let again = table.due_rows(START).expect("rows");
    assert_eq!(again.puts.len(), MAX_BATCH_ROWS, "a batch that failed is written again");
    table.settle(again, true);
    let rest = table.due_rows(START).expect("rows");
    assert_eq!(rest.puts.len(), 150 - MAX_BATCH_ROWS);
    table.settle(rest, true);
    assert!(table.due_rows(START).is_none());
    (0..100).for_each(|it| table.end(it, START));
    let later = START + RETURNED;
    assert!(table.due_rows(later - Duration::from_secs(1)).is_none(), "callers may return");
    let removed = table.due_rows(later).expect("removals");
    assert_eq!(removed.batch().expect("JSON").removals.len(), 100);
    table.settle(removed, true);
    assert!(table.due_rows(later).is_none(), "the others are in progress");
}
