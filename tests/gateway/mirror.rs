use tealturn::{
    gateway::{
        mirror::{Delta, Head, Mirror},
        store::{Era, Position, Row, Topic},
    },
    kernel::clock::Time,
};

const TOPIC: Topic = Topic::Upstreams;

fn at(version: u64) -> Position {
    Position { era: Era(0), version }
}

/// A position after the store has come back from an older copy.
fn restored(version: u64) -> Position {
    Position { era: Era(1), version }
}

fn row(key: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: Some(vec![version as u8]), version, removed: false }
}

fn removed(key: &str, version: u64) -> Row {
    Row { key: key.to_owned(), value: None, version, removed: true }
}

fn keys(delta: &Delta) -> Vec<(&str, bool)> {
    let mut keys: Vec<_> = delta.rows.iter().map(|it| (&*it.key, it.removed)).collect();
    keys.sort_unstable();
    keys
}

fn listed() -> Mirror {
    let mirror = Mirror::default();
    let rows = [row("a", 3), row("b", 5)];
    let delta = mirror.merge(TOPIC, &rows, None, at(10), Time(1)).expect("usable");
    assert!(delta.full && delta.rows.len() == 2);
    mirror
}

#[test]
fn a_copy_passes_on_what_another_one_lacks() {
    let mirror = listed();
    assert_eq!(mirror.after(Topic::Fleet, None), None, "that topic was never read");
    mirror.merge(TOPIC, &[row("c", 12), removed("a", 13)], Some(10), at(14), Time(2));
    struct Case {
        version: Option<u64>,
        full: bool,
        keys: &'static [(&'static str, bool)],
    }
    for case in [
        Case { version: None, full: true, keys: &[("b", false), ("c", false)] },
        Case { version: Some(9), full: true, keys: &[("b", false), ("c", false)] },
        Case { version: Some(10), full: false, keys: &[("a", true), ("c", false)] },
        Case { version: Some(12), full: false, keys: &[("a", true)] },
        Case { version: Some(14), full: false, keys: &[] },
    ] {
        let delta = mirror.after(TOPIC, case.version.map(at)).expect("the topic was read");
        assert_eq!(
            (delta.full, keys(&delta)),
            (case.full, case.keys.to_vec()),
            "{:?}",
            case.version
        );
    }
}

#[test]
fn rows_that_come_late_or_leave_a_gap_change_nothing() {
    struct Case {
        what: &'static str,
        rows: Vec<Row>,
        after: Option<u64>,
        version: u64,
        changes: Option<usize>,
    }
    for case in [
        Case {
            what: "a gap",
            rows: vec![row("a", 12)],
            after: Some(11),
            version: 12,
            changes: None,
        },
        Case {
            what: "an old listing",
            rows: vec![row("a", 2)],
            after: None,
            version: 9,
            changes: None,
        },
        Case {
            what: "known rows",
            rows: vec![row("b", 5)],
            after: Some(4),
            version: 8,
            changes: Some(0),
        },
        Case {
            what: "new rows",
            rows: vec![row("b", 6)],
            after: Some(4),
            version: 11,
            changes: Some(1),
        },
    ] {
        let mirror = listed();
        let delta = mirror.merge(TOPIC, &case.rows, case.after, at(case.version), Time(1));
        assert_eq!(delta.map(|it| it.rows.len()), case.changes, "{}", case.what);
    }
    let mirror = listed();
    mirror.merge(TOPIC, &[], Some(10), at(10), Time(9));
    mirror.merge(TOPIC, &[], Some(8), at(8), Time(4));
    assert_eq!(mirror.head(TOPIC), Some(Head { position: at(10), confirmed_at: Time(9) }));
}

/// After the store has compacted its changes, daemons list all rows anew.
#[test]
fn a_new_listing_removes_the_rows_that_are_gone() {
    let mirror = listed();
    let delta = mirror.merge(TOPIC, &[row("b", 5), row("c", 20)], None, at(21), Time(2));
    let delta = delta.expect("usable");
    assert!(!delta.full);
    assert_eq!(keys(&delta), [("a", true), ("c", false)]);
    let behind = mirror.after(TOPIC, Some(at(10))).expect("the topic was read");
    assert_eq!(keys(&behind), [("a", true), ("c", false)], "others hear of the removal too");
}

#[test]
fn removed_rows_are_not_remembered_without_bound() {
    let mirror = listed();
    for version in 11..3_011 {
        let rows = [removed(&format!("gone-{version}"), version)];
        mirror.merge(TOPIC, &rows, Some(version - 1), at(version), Time(1));
    }
    let behind = mirror.after(TOPIC, Some(at(10))).expect("the topic was read");
    assert!(behind.full, "too many rows were removed since");
    assert_eq!(keys(&behind), [("a", false), ("b", false)]);
    let nearly = mirror.after(TOPIC, Some(at(3_000))).expect("the topic was read");
    assert_eq!((nearly.full, nearly.rows.len()), (false, 10));
}

/// A copy that compared versions only would keep rows that the store has lost.
#[test]
fn rows_of_a_later_era_replace_all_others_whatever_their_versions() {
    let mirror = listed();
    mirror.merge(TOPIC, &[row("c", 12)], Some(10), at(14), Time(2));
    let rows = [row("a", 3), row("b", 4)];
    let delta = mirror.merge(TOPIC, &rows, None, restored(6), Time(3)).expect("usable");
    assert!(delta.restored && !delta.full);
    assert_eq!(keys(&delta), [("a", false), ("b", false), ("c", true)]);
    assert_eq!(mirror.head(TOPIC), Some(Head { position: restored(6), confirmed_at: Time(3) }));
    assert_eq!(mirror.row(TOPIC, "b"), Some(row("b", 4)));
    assert_eq!(mirror.row(TOPIC, "c"), None);
    let others = mirror.after(TOPIC, Some(at(14))).expect("the topic was read");
    assert!(others.full, "a daemon in the earlier era needs all rows");
    assert_eq!(keys(&others), [("a", false), ("b", false)]);
    let behind = mirror.after(TOPIC, Some(restored(6))).expect("the topic was read");
    assert!(!behind.full && behind.rows.is_empty());
}

/// Rows that another daemon read before the store lost them must not come back.
#[test]
fn rows_of_an_earlier_era_change_and_confirm_nothing() {
    let mirror = listed();
    mirror.merge(TOPIC, &[row("a", 3)], None, restored(6), Time(3));
    struct Case {
        what: &'static str,
        after: Option<u64>,
        position: Position,
    }
    for case in [
        Case { what: "a listing", after: None, position: at(20) },
        Case { what: "changes", after: Some(6), position: at(20) },
        Case {
            what: "changes without a listing",
            after: Some(6),
            position: Position { era: Era(2), version: 20 },
        },
    ] {
        let delta = mirror.merge(TOPIC, &[row("b", 20)], case.after, case.position, Time(9));
        assert_eq!(delta, None, "{}", case.what);
        let head = Head { position: restored(6), confirmed_at: Time(3) };
        assert_eq!(mirror.head(TOPIC), Some(head), "{}", case.what);
    }
    let delta = mirror.merge(TOPIC, &[row("b", 7)], Some(6), restored(7), Time(4));
    assert_eq!(delta.map(|it| it.rows.len()), Some(1), "a version that was given out again");
}
