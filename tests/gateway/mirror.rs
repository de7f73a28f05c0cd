use tealturn::{
    gateway::{
        mirror::{Delta, Head, Mirror},
        store::{Row, Topic},
    },
    kernel::clock::Time,
};

const TOPIC: Topic = Topic::Upstreams;

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
    let delta = mirror.merge(TOPIC, &rows, None, 10, Time(1)).expect("usable");
    assert!(delta.full && delta.rows.len() == 2);
    mirror
}

#[test]
fn a_copy_passes_on_what_another_one_lacks() {
    let mirror = listed();
    assert_eq!(mirror.after(Topic::Fleet, None), None, "that topic was never read");
    mirror.merge(TOPIC, &[row("c", 12), removed("a", 13)], Some(10), 14, Time(2));
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
        let delta = mirror.after(TOPIC, case.version).expect("the topic was read");
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
        let delta = mirror.merge(TOPIC, &case.rows, case.after, case.version, Time(1));
        assert_eq!(delta.map(|it| it.rows.len()), case.changes, "{}", case.what);
    }
    let mirror = listed();
    mirror.merge(TOPIC, &[], Some(10), 10, Time(9));
    mirror.merge(TOPIC, &[], Some(8), 8, Time(4));
    assert_eq!(mirror.head(TOPIC), Some(Head { version: 10, confirmed_at: Time(9) }));
}

/// After the store has compacted its changes, daemons list all rows anew.
#[test]
fn a_new_listing_removes_the_rows_that_are_gone() {
    let mirror = listed();
    let delta = mirror.merge(TOPIC, &[row("b", 5), row("c", 20)], None, 21, Time(2));
    let delta = delta.expect("usable");
    assert!(!delta.full);
    assert_eq!(keys(&delta), [("a", true), ("c", false)]);
    let behind = mirror.after(TOPIC, Some(10)).expect("the topic was read");
    assert_eq!(keys(&behind), [("a", true), ("c", false)], "others hear of the removal too");
}

#[test]
fn removed_rows_are_not_remembered_without_bound() {
    let mirror = listed();
    for version in 11..3_011 {
        let rows = [removed(&format!("gone-{version}"), version)];
        mirror.merge(TOPIC, &rows, Some(version - 1), version, Time(1));
    }
    let behind = mirror.after(TOPIC, Some(10)).expect("the topic was read");
    assert!(behind.full, "too many rows were removed since");
    assert_eq!(keys(&behind), [("a", false), ("b", false)]);
    let nearly = mirror.after(TOPIC, Some(3_000)).expect("the topic was read");
    assert_eq!((nearly.full, nearly.rows.len()), (false, 10));
}
