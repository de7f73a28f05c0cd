//! Rows that are fetched part by part.

use tealturn::gateway::{
    context::Context,
    exchange::fetch::{self, Assembly, Wanted},
    message::Notice,
    store::{Era, Position, Row, Topic},
};

use crate::simulation::Fleet;

/// Index of the operator's rows in [`Topic::FOLLOWED`].
const TOPIC: usize = 0;

/// Fetches the rows after `after`; before each part, `change` may let the holder learn of others.
/// Returns the rows and how many parts were asked for.
fn fetch(
    fleet: &mut Fleet,
    after: Option<Position>,
    mut change: impl FnMut(&mut Fleet, usize),
) -> (Vec<Row>, usize) {
    let mut assembly = Assembly::default();
    for asked in 0..100 {
        change(fleet, asked);
        let wanted = Wanted { topic: TOPIC, after, offset: assembly.offset() };
        let part = fetch::part(fleet.context(0), &wanted).expect("the holder has rows");
        if let Some(rows) = assembly.push(&part).expect("rows") {
            return (rows, asked + 1);
        }
    }
    panic!("the parts never end");
}

fn held(context: &Context, after: Option<Position>) -> Vec<Row> {
    let mut rows = context.mirror.after(Topic::Operator, after).expect("a copy").rows;
    rows.sort_by_key(|it| it.version);
    rows
}

/// Guards against rows that are cut, mixed of two versions, or sent again from the start.
#[test]
fn parts_make_up_the_rows_that_the_holder_has_in_the_end() {
    struct Case {
        what: &'static str,
        bytes: usize,
        /// Before which part the holder learns of a later document.
        changed_before: Option<usize>,
        most_parts: usize,
    }
    const CASES: [Case; 5] = [
        Case { what: "one part", bytes: 100, changed_before: None, most_parts: 1 },
        Case { what: "many parts", bytes: 1_000_000, changed_before: None, most_parts: 32 },
        Case {
            what: "changed at first",
            bytes: 1_000_000,
            changed_before: Some(0),
            most_parts: 32,
        },
        // The parts before the change, the one that shows it, and all of the later rows.
        Case { what: "changed midway", bytes: 1_000_000, changed_before: Some(9), most_parts: 42 },
        Case {
            what: "changed in the end",
            bytes: 1_000_000,
            changed_before: Some(30),
            most_parts: 63,
        },
    ];
    for Case { what, bytes, changed_before, most_parts } in CASES {
        for has_copy in [false, true] {
            let mut fleet = Fleet::new(3, 4, 1);
            fleet.read(0, Topic::Operator);
            let head = fleet.context(0).mirror.head(Topic::Operator).map(|it| it.position);
            let after = head.filter(|_| has_copy);
            fleet.write_large_document(100, bytes);
            fleet.read(0, Topic::Operator);
            let (mut rows, parts) = fetch(&mut fleet, after, |fleet, asked| {
                if changed_before == Some(asked) {
                    fleet.write_large_document(200, bytes);
                    fleet.read(0, Topic::Operator);
                }
            });
            rows.sort_by_key(|it| it.version);
            assert_eq!(rows, held(fleet.context(0), after), "{what}, {has_copy}");
            assert!(parts <= most_parts, "{what}, {has_copy}: {parts} parts");
        }
    }
}

/// Guards against daemons that read the store again and again for rows that they have, or that miss later
/// ones.
#[test]
fn a_notice_counts_until_its_rows_are_there() {
    let at = |era, version| Position { era: Era(era), version };
    let notice = |until| Notice { topic: TOPIC, until, holder: "b".to_owned() };
    struct Case {
        known: Option<Position>,
        counts: bool,
    }
    let fleet = Fleet::new(1, 1, 1);
    let notices = &fleet.context(0).notices;
    notices.record(Topic::Operator, &notice(at(1, 40)));
    notices.record(Topic::Operator, &notice(at(1, 30)));
    for Case { known, counts } in [
        Case { known: None, counts: true },
        Case { known: Some(at(0, 90)), counts: true },
        Case { known: Some(at(1, 39)), counts: true },
        Case { known: Some(at(1, 40)), counts: false },
        Case { known: Some(at(2, 10)), counts: false },
    ] {
        assert_eq!(notices.get(Topic::Operator, known).is_some(), counts, "{known:?}");
        assert!(notices.get(Topic::Fleet, known).is_none(), "{known:?}");
    }
}
