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

/// The time after which a stream that ended here goes on nowhere else.
const OVER: Duration = Duration::from_secs(30);

fn builds(names: &[&str]) -> Vec<Build> {
    names.iter().map(|it| Build::from(*it)).collect()
}

fn row(era: u64, names: &[&str]) -> row::Builds {
    row::Builds { era: Era(era), builds: builds(names), unclaimed: None }
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
        is_complete: bool,
        found: Option<&'static str>,
        written: Option<&'static [&'static str]>,
        /// The build in the written row that daemons don't claim.
        unclaimed: Option<&'static str>,
    }
    let usual = Case {
        what: "one build",
        stored: Some((0, &["v1"])),
        era: 0,
        registered: &["v1"],
        is_complete: true,
        found: Some("v1"),
        written: None,
        unclaimed: None,
    };
    for case in [
        Case { what: "first start", stored: None, written: Some(&["v1"]), ..usual },
        Case {
            what: "the only build was replaced",
            registered: &["v2"],
            found: None,
            written: Some(&["v1", "v2"]),
            unclaimed: Some("v1"),
            ..usual
        },
        Case { what: "one of two left", stored: Some((0, &["v1", "v2"])), found: None, ..usual },
        Case {
            what: "the store lost builds",
            era: 1,
            is_complete: false,
            found: None,
            written: Some(&["", "v1"]),
            ..usual
        },
        Case {
            what: "the store lost the row",
            stored: None,
            era: 1,
            is_complete: false,
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
        let is_complete = table.learn_row(SERVICE, stored, era, START);
        assert_eq!(is_complete, case.is_complete, "{}", case.what);
        let found = table.find(STREAM, SERVICE, &registered, true, START);
        assert_eq!(found, case.found.map(Build::from), "{}", case.what);
        let written = table.row_to_write(SERVICE, stored, era, &registered, true, START);
        let unclaimed = case.unclaimed.map(Build::from);
        let expected = case.written.map(|names| row::Builds { unclaimed, ..row(case.era, names) });
        assert_eq!(written, expected, "{}", case.what);
    }
}

/// Guards against a row that stays incomplete, and refuses streams, after the store came back from an
/// older copy while daemons lived on that know all builds.
#[test]
fn a_daemon_that_knew_the_row_completes_it_after_the_store_came_back() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    let full = row(0, &["v1", "v2"]);
    table.learn_row(SERVICE, Some(&full), Era(0), START);
    table.note_row(SERVICE, full, &both);
    assert!(!table.is_row_due(SERVICE, &both, Era(0), true, START));
    assert!(table.is_row_due(SERVICE, &both, Era(1), true, START));
    let older = row(0, &["v1"]);
    table.learn_row(SERVICE, Some(&older), Era(1), START);
    let written = table.row_to_write(SERVICE, Some(&older), Era(1), &both, true, START);
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
    table.is_row_due(SERVICE, &v1, Era(0), true, START);
    assert!(!table.is_listed(SERVICE, &both[1], Era(0)));
    assert!(table.is_row_due(SERVICE, &both, Era(0), true, START), "read again once it is back");
}

/// Guards against services that count as having several builds forever, so that streams of unknown origin
/// are refused.
#[test]
fn a_build_is_taken_off_the_row_after_nobody_has_used_it_for_long() {
    let (mut table, v2) = (Table::default(), builds(&["v2"]));
    let stored = row(0, &["v1", "v2"]);
    table.learn_row(SERVICE, Some(&stored), Era(0), START);
    table.note_row(SERVICE, stored.clone(), &v2);
    for (now, is_due) in
        [(START + LIFETIME - Duration::from_secs(1), false), (START + LIFETIME, true)]
    {
        assert_eq!(table.is_row_due(SERVICE, &v2, Era(0), true, now), is_due);
    }
    let written = table.row_to_write(SERVICE, Some(&stored), Era(0), &v2, true, START + LIFETIME);
    assert_eq!(written, Some(row(0, &["v2"])));
    // Another daemon that learned of it later must not write it back.
    let mut later = Table::default();
    later.learn_row(SERVICE, Some(&stored), Era(0), START + LIFETIME / 2);
    later.note_row(SERVICE, stored, &v2);
    let shorter = row(0, &["v2"]);
    later.learn_row(SERVICE, Some(&shorter), Era(0), START + LIFETIME);
    assert_eq!(
        later.row_to_write(SERVICE, Some(&shorter), Era(0), &v2, true, START + LIFETIME),
        None
    );
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
    assert!(table.due_rows(Era(0), START).is_none(), "nothing is written with one build");
    table.take_unshared(SERVICE, &both, START);
    let first = table.due_rows(Era(0), START).expect("rows");
    assert_eq!(first.puts.len(), MAX_BATCH_ROWS);
    table.settle(first, false);
    let again = table.due_rows(Era(0), START).expect("rows");
    assert_eq!(again.puts.len(), MAX_BATCH_ROWS, "a batch that failed is written again");
    table.settle(again, true);
    let rest = table.due_rows(Era(0), START).expect("rows");
    assert_eq!(rest.puts.len(), 150 - MAX_BATCH_ROWS);
    table.settle(rest, true);
    assert!(table.due_rows(Era(0), START).is_none());
    (0..100).for_each(|it| table.end(it, START));
    let later = START + OVER;
    assert!(table.due_rows(Era(0), later - Duration::from_secs(1)).is_none(), "callers may return");
    let removed = table.due_rows(Era(0), later).expect("removals");
    assert_eq!(removed.batch().expect("JSON").removals.len(), 100);
    table.settle(removed, true);
    assert!(table.due_rows(Era(0), later).is_none(), "the others are in progress");
}

/// Guards against a build that is overlooked, or taken off the row, because this daemon saw its last upstream
/// long ago: another daemon has listed it again since.
#[test]
fn a_build_that_another_daemon_listed_again_counts_as_recent() {
    let (mut table, v1) = (Table::default(), builds(&["v1"]));
    table.record_build(SERVICE, &Build::from("v2"), START);
    table.note_row(SERVICE, row(0, &["v1"]), &v1);
    let later = START + LIFETIME * 2;
    let again = row(0, &["v1", "v2"]);
    assert!(table.learn_row(SERVICE, Some(&again), Era(0), later));
    assert_eq!(table.find(STREAM, SERVICE, &v1, true, later), None);
    assert_eq!(table.row_to_write(SERVICE, Some(&again), Era(0), &v1, true, later), None);
}

/// Guards against a build that is lost from the row: another daemon's write that takes it off is still on its
/// way when its upstreams are back.
#[test]
fn the_row_is_written_again_when_a_build_is_back() {
    let (mut table, v1, both) = (Table::default(), builds(&["v1"]), builds(&["v1", "v2"]));
    let stored = row(0, &["v1", "v2"]);
    table.note_row(SERVICE, stored.clone(), &v1);
    let written = table.row_to_write(SERVICE, Some(&stored), Era(0), &both, true, START);
    assert_eq!(written, Some(stored.clone()));
    table.note_row(SERVICE, stored.clone(), &both);
    assert_eq!(table.row_to_write(SERVICE, Some(&stored), Era(0), &both, true, START), None);
}

/// Guards against a build that is missing in the row after the store came back: a daemon that had not heard
/// of it completed the row first, and the build has left since.
#[test]
fn each_daemon_completes_the_row_once_after_the_store_came_back() {
    let (mut table, v1, both) = (Table::default(), builds(&["v1"]), builds(&["v1", "v2"]));
    table.learn_row(SERVICE, Some(&row(0, &["v1", "v2"])), Era(0), START);
    table.note_row(SERVICE, row(0, &["v1", "v2"]), &both);
    let completed = row(1, &["v1"]);
    table.learn_row(SERVICE, Some(&completed), Era(1), START);
    let written = table.row_to_write(SERVICE, Some(&completed), Era(1), &v1, true, START);
    assert_eq!(written, Some(row(1, &["v1", "v2"])));
}

/// Guards against streams that lose their row: another daemon carries them on, and the first one is gone
/// before it wrote the row, or the store has lost it.
#[test]
fn the_row_of_a_stream_is_written_by_each_daemon_that_carries_it_and_after_the_store_came_back() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    let entry = Entry { attempt: STREAM, service: SERVICE, build: Build::from("v1") };
    assert!(table.learn(&entry, START), "the daemon where it began told of it");
    table.begin(&entry, START);
    assert!(table.take_unshared(SERVICE, &both, START).is_empty(), "all know");
    let due = table.due_rows(Era(0), START).expect("a row");
    assert_eq!(due.puts[0].0, row::Stream::key(STREAM));
    table.settle(due, true);
    assert!(table.due_rows(Era(0), START).is_none());
    assert_eq!(table.due_rows(Era(1), START).expect("a row").puts.len(), 1);
}
