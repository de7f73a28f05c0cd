use std::time::Duration;

use tealturn::{
    gateway::roster::{REMOVED_MEMORY, REREGISTRATION_GRACE, Record, Roster},
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Model, Version},
    },
};

use crate::scene::{MODEL, engines, name, record};

const START: Time = Time::from_millis(10_000);

fn names(roster: &Roster) -> Vec<String> {
    let view = roster.view();
    let mut names: Vec<_> = view.all().map(|it| it.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn an_entry_removed_while_the_store_is_available_is_dropped_at_once() {
    let mut roster = Roster::default();
    roster.insert(&name(0), record(0, 1));
    roster.insert(&name(1), record(1, 1));
    roster.remove(&name(0), START);
    roster.expire(START);
    assert_eq!(names(&roster), ["engine-1"]);
}

#[test]
fn an_entry_that_expired_during_a_store_outage_is_kept_for_a_grace_period() {
    let mut roster = Roster::default();
    roster.insert(&name(0), record(0, 1));
    roster.insert(&name(1), record(1, 1));
    roster.store_lost(START);
    roster.expire(START);
    roster.store_answered(START);
    roster.remove(&name(0), START);
    roster.remove(&name(1), START);
    roster.expire(START);
    assert_eq!(names(&roster), ["engine-0", "engine-1"]);
    roster.insert(&name(1), record(1, 1));
    roster.expire(START + REREGISTRATION_GRACE);
    assert_eq!(names(&roster), ["engine-1"], "the other upstream did not register again");
}

/// Guards against calls to an upstream that has left, because the daemon can't reach the store for longer or
/// again and again.
#[test]
fn a_missing_entry_is_not_kept_longer_by_further_failures() {
    /// A leaving upstream must get no calls from then on.
    const DRAIN: Duration = Duration::from_millis(2_000);
    struct Case {
        what: &'static str,
        /// After its entry was removed, in milliseconds.
        failures: &'static [u64],
        answers: &'static [u64],
    }
    for case in [
        Case { what: "no further failure", failures: &[], answers: &[0] },
        Case { what: "one further failure", failures: &[1_900], answers: &[0, 1_950] },
        Case { what: "fails now and then", failures: &[500, 1_500], answers: &[0, 1_000, 1_900] },
        Case { what: "unavailable to this daemon", failures: &[500, 1_500], answers: &[] },
    ] {
        let mut roster = Roster::default();
        for number in 0..4 {
            roster.insert(&name(number), record(number, 1));
        }
        roster.store_lost(START);
        roster.remove(&name(0), START);
        roster.expire(START);
        for millis in 0..DRAIN.as_millis() as u64 {
            if case.failures.contains(&millis) {
                roster.store_lost(START);
            }
            if case.answers.contains(&millis) {
                roster.store_answered(START + Duration::from_millis(millis));
            }
        }
        roster.expire(START + DRAIN);
        assert_eq!(names(&roster).len(), 3, "{}", case.what);
    }
}

/// Guards against calls to an upstream that has left, because the daemon noticed late that the store was back,
/// and against a service without upstreams after the store has lost most of its entries.
#[test]
fn how_long_missing_entries_are_kept_depends_on_the_outage_and_their_number() {
    struct Case {
        what: &'static str,
        /// When the last call was sent that the store didn't answer, in milliseconds before the removal.
        unanswered: u64,
        missing: u16,
        /// How long they are kept, in milliseconds.
        kept: u64,
    }
    for case in [
        Case { what: "the outage is just over", unanswered: 100, missing: 1, kept: 1_800 },
        Case { what: "it may be over for a while", unanswered: 1_500, missing: 1, kept: 500 },
        Case { what: "it is over for long", unanswered: 2_000, missing: 1, kept: 0 },
        Case { what: "half of the entries", unanswered: 1_500, missing: 2, kept: 500 },
        Case { what: "most entries", unanswered: 1_500, missing: 3, kept: 2_000 },
        Case { what: "all entries", unanswered: 3_500, missing: 4, kept: 2_000 },
    ] {
        let mut roster = Roster::default();
        for number in 0..4 {
            roster.insert(&name(number), record(number, 1));
        }
        roster.store_lost(START - Duration::from_millis(case.unanswered));
        roster.store_answered(START);
        for number in 0..case.missing {
            roster.remove(&name(number), START);
        }
        let mut kept = 0;
        loop {
            roster.expire(START + Duration::from_millis(kept));
            if names(&roster).len() < 4 {
                break;
            }
            kept += 1;
        }
        assert_eq!(kept, case.kept, "{}", case.what);
        assert_eq!(names(&roster).len(), 4 - usize::from(case.missing), "{}", case.what);
    }
}

#[test]
fn a_draining_upstream_gets_no_calls_during_a_store_outage() {
    let mut roster = Roster::default();
    roster.insert(&name(0), record(0, 1));
    roster.store_lost(START);
    roster.insert(&name(0), Record { draining: true, ..record(0, 1) });
    assert!(names(&roster).is_empty());
}

#[test]
fn a_restart_under_the_same_name_resets_the_health() {
    let mut roster = Roster::default();
    roster.insert(&name(0), record(0, 1));
    let view = roster.view();
    let first = view.all().next().expect("an engine").health.clone();
    first.mark_dead(START);
    roster.insert(&name(0), record(0, 2));
    let same = roster.view().all().next().expect("an engine").health.is_dead();
    assert!(same, "new weights are not a restart");
    roster.insert(&name(0), Record { incarnation: Incarnation(2), ..record(0, 2) });
    let restarted = roster.view().all().next().expect("an engine").health.is_dead();
    assert!(!restarted);
}

/// An upstream whose entry lapsed for a moment got calls again although it had announced that it
/// leaves, or asked for a pause that was not over.
#[test]
fn a_returning_entry_of_the_same_process_keeps_what_the_upstream_asked_for() {
    let second = Duration::from_secs(1);
    struct Case {
        what: &'static str,
        incarnation: u64,
        absent: Duration,
        is_kept: bool,
    }
    for case in [
        Case { what: "soon", incarnation: 1, absent: second, is_kept: true },
        Case { what: "another process", incarnation: 2, absent: second, is_kept: false },
        Case { what: "much later", incarnation: 1, absent: REMOVED_MEMORY, is_kept: false },
    ] {
        let mut roster = Roster::default();
        roster.insert(&name(0), record(0, 1));
        roster.insert(&name(1), record(1, 1));
        let view = roster.view();
        for endpoint in view.all() {
            let is_new = match endpoint.name == name(0) {
                true => endpoint.health.record_leaving(),
                false => endpoint.health.record_pause(REMOVED_MEMORY * 2, START),
            };
            assert!(is_new);
        }
        roster.remove(&name(0), START);
        roster.remove(&name(1), START);
        roster.expire(START);
        assert!(names(&roster).is_empty());
        let now = START + case.absent;
        roster.expire(now);
        for number in 0..2 {
            let incarnation = Incarnation(case.incarnation);
            roster.insert(&name(number), Record { incarnation, ..record(number, 1) });
        }
        for endpoint in roster.view().all() {
            let is_kept = endpoint.health.is_unavailable(now);
            assert_eq!(is_kept, case.is_kept, "{}: {}", case.what, endpoint.name);
        }
    }
}

/// An older copy of the store must not bring calls back to an upstream that has left.
#[test]
fn an_older_copy_of_the_store_does_not_undo_a_leaving() {
    struct Case {
        what: &'static str,
        /// The last entry before; `None` if it was removed, after this one.
        last: Record,
        is_removed: bool,
        restored: Record,
        /// Whether it gets calls at once, and after the grace period.
        used: (bool, bool),
    }
    let ready = record(0, 1);
    let draining = Record { draining: true, ..record(0, 1) };
    let later = Record { incarnation: Incarnation(2), ..record(0, 1) };
    for case in [
        Case {
            what: "a ready one",
            last: ready.clone(),
            is_removed: false,
            restored: ready.clone(),
            used: (true, true),
        },
        Case {
            what: "a draining one",
            last: draining.clone(),
            is_removed: false,
            restored: ready.clone(),
            used: (false, false),
        },
        Case {
            what: "one that has drained and gone",
            last: draining.clone(),
            is_removed: true,
            restored: ready.clone(),
            used: (false, false),
        },
        Case {
            what: "one that was gone",
            last: ready.clone(),
            is_removed: true,
            restored: ready.clone(),
            used: (false, true),
        },
        Case {
            what: "another process after a draining one",
            last: draining.clone(),
            is_removed: false,
            restored: later.clone(),
            used: (true, true),
        },
        Case {
            what: "the process before the known one, which doesn't register again",
            last: later,
            is_removed: false,
            restored: ready.clone(),
            used: (true, false),
        },
        Case {
            what: "one that the copy shows draining",
            last: ready.clone(),
            is_removed: false,
            restored: draining,
            used: (false, false),
        },
    ] {
        let mut roster = Roster::default();
        roster.insert(&name(0), case.last);
        if case.is_removed {
            roster.remove(&name(0), START);
            roster.expire(START);
        }
        roster.store_lost(START);
        roster.store_answered(START);
        roster.restore(&name(0), case.restored, START);
        roster.expire(START);
        let at_once = !names(&roster).is_empty();
        roster.expire(START + REREGISTRATION_GRACE);
        let later = !names(&roster).is_empty();
        assert_eq!((at_once, later), case.used, "{}", case.what);
        roster.insert(&name(0), ready.clone());
        assert_eq!(names(&roster), ["engine-0"], "{}: it registered again", case.what);
    }
}

/// An older copy of the store names the weights that an engine had before its last load; calls that expect
/// them would be rejected.
#[test]
fn an_older_copy_of_the_store_brings_no_older_weights_back() {
    struct Case {
        what: &'static str,
        restored: Record,
        version: u64,
    }
    for case in [
        Case { what: "older weights", restored: record(0, 2), version: 3 },
        Case { what: "newer weights", restored: record(0, 4), version: 4 },
        Case {
            what: "a later process",
            restored: Record { incarnation: Incarnation(2), ..record(0, 2) },
            version: 2,
        },
    ] {
        let mut roster = Roster::default();
        roster.insert(&name(0), record(0, 3));
        roster.restore(&name(0), case.restored, START);
        let view = roster.view();
        let version = view.all().next().and_then(|it| it.version(&Model::from(MODEL)));
        assert_eq!(version, Some(Version(case.version)), "{}", case.what);
    }
}

/// A stream must not wait for upstreams that will take no more calls.
#[test]
fn an_upstream_that_leaves_does_not_continue_streams() {
    let engines = engines(&[1; 2]);
    let build = engines[0].record.build.clone();
    engines[0].health.record_leaving();
    assert!(!engines[0].is_staying(&build) && engines[1].is_staying(&build));
    assert!(!engines[1].is_staying(&Build::from("another")));
}
