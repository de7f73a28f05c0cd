//! Builds that daemons claim before they begin streams there.

use tealturn::{
    gateway::{
        origin::{LIFETIME, Table, claim::find_rival, row},
        store::Era,
    },
    kernel::{
        clock::Time,
        id::{Build, Incarnation},
    },
};

const START: Time = Time::from_millis(1_000_000);
const SERVICE: u64 = 5;
const ERA: Era = Era(0);

fn builds(names: &[&str]) -> Vec<Build> {
    names.iter().map(|it| Build::from(*it)).collect()
}

fn row(names: &[&str], unclaimed: Option<&str>) -> row::Builds {
    row::Builds { era: ERA, builds: builds(names), unclaimed: unclaimed.map(Build::from) }
}

/// Guards against a build that is taken for the unclaimed one although daemons began streams at others without a
/// claim: there were several builds from the start, some daemon doesn't claim, or the store has lost claims.
#[test]
fn a_build_stays_unclaimed_only_while_all_daemons_claim_the_others() {
    struct Case {
        what: &'static str,
        stored: Option<row::Builds>,
        /// The era in which this daemon last had the row, if it had it, and that of the store.
        known_era: Option<u64>,
        era: u64,
        registered: &'static [&'static str],
        all_claim: bool,
        now: Time,
        expected: Option<row::Builds>,
    }
    let usual = || Case {
        what: "a second build",
        stored: Some(row(&["v1"], None)),
        known_era: Some(0),
        era: 0,
        registered: &["v1", "v2"],
        all_claim: true,
        now: START,
        expected: Some(row(&["v1", "v2"], Some("v1"))),
    };
    for case in [
        usual(),
        Case { what: "at a daemon that has just started", known_era: None, ..usual() },
        Case {
            what: "a third build",
            stored: Some(row(&["v1", "v2"], Some("v1"))),
            registered: &["v1", "v2", "v3"],
            expected: Some(row(&["v1", "v2", "v3"], Some("v1"))),
            ..usual()
        },
        Case {
            what: "two builds from the start",
            stored: None,
            known_era: None,
            expected: Some(row(&["v1", "v2"], None)),
            ..usual()
        },
        Case {
            what: "a daemon that doesn't claim",
            all_claim: false,
            expected: Some(row(&["v1", "v2"], None)),
            ..usual()
        },
        Case {
            what: "a daemon that doesn't claim came later",
            stored: Some(row(&["v1", "v2"], Some("v1"))),
            all_claim: false,
            expected: Some(row(&["v1", "v2"], None)),
            ..usual()
        },
        Case {
            what: "nothing to change",
            stored: Some(row(&["v1", "v2"], Some("v1"))),
            expected: None,
            ..usual()
        },
        Case {
            what: "the store came back from an older copy",
            stored: Some(row(&["v1", "v2"], Some("v1"))),
            era: 1,
            expected: Some(row::Builds { era: Era(1), ..row(&["v1", "v2"], None) }),
            ..usual()
        },
        Case {
            what: "the unclaimed build has left for long",
            stored: Some(row(&["v1", "v2", "v3"], Some("v1"))),
            registered: &["v2", "v3"],
            now: START + LIFETIME,
            expected: Some(row(&["v2", "v3"], None)),
            ..usual()
        },
        Case {
            what: "one build is left",
            stored: Some(row(&["v1", "v2"], Some("v1"))),
            registered: &["v2"],
            now: START + LIFETIME,
            expected: Some(row(&["v2"], None)),
            ..usual()
        },
    ] {
        let mut table = Table::default();
        let registered = builds(case.registered);
        if let Some(era) = case.known_era {
            let known = case.stored.clone().unwrap_or_default();
            table.learn_row(SERVICE, Some(&known), Era(era), START);
            table.note_row(SERVICE, row::Builds { era: Era(era), ..known }, &registered);
        }
        table.learn_row(SERVICE, case.stored.as_ref(), Era(case.era), case.now);
        let Case { stored, era, all_claim, now, .. } = case;
        let stored = stored.as_ref();
        let written = table.row_to_write(SERVICE, stored, Era(era), &registered, all_claim, now);
        assert_eq!(written, case.expected, "{}", case.what);
    }
}

/// Guards against a row that goes on to say that all daemons claim builds: one that doesn't has joined them, and no
/// build has changed.
#[test]
fn the_row_is_due_when_a_daemon_that_does_not_claim_joins() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    table.note_row(SERVICE, row(&["v1", "v2"], Some("v1")), &both);
    assert!(!table.is_row_due(SERVICE, &both, ERA, true, START));
    assert!(table.is_row_due(SERVICE, &both, ERA, false, START));
    table.note_row(SERVICE, row(&["v1", "v2"], None), &both);
    assert!(!table.is_row_due(SERVICE, &both, ERA, false, START), "once");
}

/// Guards against streams at a build that this process has not claimed, which nobody could tell from those of the
/// unclaimed build after its end.
#[test]
fn a_later_build_is_open_to_streams_once_it_is_listed_and_claimed() {
    let (mut table, both) = (Table::default(), builds(&["v1", "v2"]));
    let is_open = |table: &Table, era| {
        let open = both.iter().map(|it| table.is_listed(SERVICE, it, Era(era)));
        open.collect::<Vec<_>>()
    };
    table.note_row(SERVICE, row(&["v1"], None), &both);
    assert_eq!(table.claim_to_write(SERVICE, &both, ERA), None, "not listed yet");
    assert_eq!(is_open(&table, 0), [true, false]);
    table.note_row(SERVICE, row(&["v1", "v2"], Some("v1")), &both);
    assert_eq!(is_open(&table, 0), [true, false]);
    let claim = table.claim_to_write(SERVICE, &both, ERA).expect("a claim");
    assert_eq!(claim, builds(&["v2"]));
    table.note_claim(SERVICE, claim, ERA);
    assert_eq!(is_open(&table, 0), [true, true]);
    assert_eq!(table.claim_to_write(SERVICE, &both, ERA), None, "once");
    let three = builds(&["v1", "v2", "v3"]);
    table.note_row(SERVICE, row(&["v1", "v2", "v3"], Some("v1")), &three);
    let claim = table.claim_to_write(SERVICE, &three, ERA);
    assert_eq!(claim, Some(builds(&["v2", "v3"])), "it may still have streams at v2");
    let restored = row::Builds { era: Era(1), ..row(&["v1", "v2"], Some("v1")) };
    table.note_row(SERVICE, restored, &both);
    assert_eq!(is_open(&table, 1), [true, false], "the store may have lost the claim");
    assert_eq!(table.claim_to_write(SERVICE, &both, Era(1)), Some(builds(&["v2"])));
    let unclaimed = row::Builds { era: Era(1), ..row(&["v1", "v2"], None) };
    table.note_row(SERVICE, unclaimed, &both);
    assert_eq!(is_open(&table, 1), [true, true], "nothing is concluded from claims");
    assert_eq!(table.claim_to_write(SERVICE, &both, Era(1)), None);
}

/// Guards against a stream that goes on at the unclaimed build although a process that is gone, or didn't answer,
/// may have begun it at another one.
#[test]
fn a_stream_is_of_the_unclaimed_build_if_no_process_with_a_claim_may_have_begun_it() {
    let claim = |daemon: &str, incarnation, names: &[&str]| row::Claim {
        daemon: daemon.to_owned(),
        incarnation: Incarnation(incarnation),
        builds: builds(names),
    };
    struct Case {
        what: &'static str,
        claims: Vec<row::Claim>,
        rival: Option<&'static str>,
    }
    // Process 1 of each daemon runs and doesn't know the stream.
    let is_ruled_out = |it: &row::Claim| it.incarnation == Incarnation(1);
    for case in [
        Case { what: "no claims", claims: Vec::new(), rival: None },
        Case {
            what: "all run",
            claims: vec![claim("a", 1, &["v2"]), claim("b", 1, &["v2"])],
            rival: None,
        },
        Case {
            what: "one has ended",
            claims: vec![claim("a", 1, &["v2"]), claim("b", 0, &["v1", "v2"])],
            rival: Some("b"),
        },
        Case {
            what: "one that has ended claimed the same build",
            claims: vec![claim("a", 1, &["v2"]), claim("b", 0, &["v1"])],
            rival: None,
        },
    ] {
        let rival = find_rival(&Build::from("v1"), &case.claims, is_ruled_out);
        assert_eq!(rival.map(|it| it.daemon.as_str()), case.rival, "{}", case.what);
    }
}

/// Guards against rows that builds before this one wrote, and against streams that go on after the store has lost
/// builds.
#[test]
fn a_row_names_the_unclaimed_build_only_if_it_lists_it_and_no_lost_ones() {
    struct Case {
        json: &'static str,
        unclaimed: Option<&'static str>,
    }
    for case in [
        Case { json: r#"{"era":0,"builds":["v1"]}"#, unclaimed: Some("v1") },
        Case { json: r#"{"era":0,"builds":["v1","v2"]}"#, unclaimed: None },
        Case { json: r#"{"era":0,"builds":["v1","v2"],"unclaimed":"v1"}"#, unclaimed: Some("v1") },
        Case { json: r#"{"era":0,"builds":["v2","v3"],"unclaimed":"v1"}"#, unclaimed: None },
        Case { json: r#"{"era":0,"builds":["","v1"],"unclaimed":"v1"}"#, unclaimed: None },
        Case { json: r#"{"era":0,"builds":[""]}"#, unclaimed: None },
        Case { json: r#"{"era":0,"builds":[]}"#, unclaimed: None },
    ] {
        let row: row::Builds = serde_json::from_str(case.json).expect("a row");
        assert_eq!(row.unclaimed().map(Build::as_str), case.unclaimed, "{}", case.json);
    }
    let one = serde_json::to_string(&row(&["v1"], None)).expect("JSON");
    assert_eq!(one, r#"{"era":0,"builds":["v1"]}"#, "as builds before this one write it");
}
