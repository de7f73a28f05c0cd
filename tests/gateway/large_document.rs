//! Large documents in fleets whose VMs have narrow links.

use std::time::Duration;

use tealturn::gateway::context::Context;

use crate::simulation::Fleet;

/// Time from the store's acknowledgement of a document until all daemons must use it.
const APPLY_BOUND: Duration = Duration::from_millis(2_000);

/// Time between two documents.
const DOCUMENT_INTERVAL: Duration = Duration::from_millis(2_200);

/// Bytes a second of the links of most VMs, 10 Mbit/s, and of the largest ones, 200 Mbit/s.
const LINK_BYTES: f64 = 1.25e6;
const LARGE_LINK_BYTES: f64 = 25e6;

/// Bytes of a document with 1,400 routes.
const DOCUMENT_BYTES: usize = 350_000;

fn settled(daemons: usize) -> Fleet {
    let mut fleet = Fleet::new(daemons, 78, 54);
    fleet.run(Duration::from_secs(3));
    let large: Vec<_> = (0..daemons).map(|it| fleet.cpu_millis(it) > 120).collect();
    fleet.limit_links(|it| if large[it] { LARGE_LINK_BYTES } else { LINK_BYTES });
    fleet.run(Duration::from_secs(2));
    fleet
}

fn is_at(context: &Context, version: u64) -> bool {
    context.document.load().as_ref().is_some_and(|it| it.version >= version)
}

/// Guards against a fleet in which messages with a large document don't arrive in time, are sent again
/// and again, and leave no room on the links for anything else.
#[test]
fn a_large_document_reaches_all_daemons_in_time_and_disturbs_no_other_message() {
    struct Case {
        daemons: usize,
        /// Sizes of documents as multiples of [`DOCUMENT_BYTES`], one every [`DOCUMENT_INTERVAL`].
        documents: &'static [usize],
    }
    const CASES: [Case; 5] = [
        Case { daemons: 7, documents: &[1, 1] },
        Case { daemons: 77, documents: &[1, 1] },
        Case { daemons: 77, documents: &[1, 2, 3] },
        Case { daemons: 350, documents: &[1, 1] },
        Case { daemons: 350, documents: &[3] },
    ];
    let mut broken = Vec::new();
    for Case { daemons, documents } in CASES {
        let mut fleet = settled(daemons);
        let name = format!("{daemons} daemons, {documents:?}");
        assert_eq!(fleet.failed_calls, 0, "{name}: calls that fail before the first document");
        fleet.take_traffic();
        for (index, size) in documents.iter().enumerate() {
            let version = 1_000 + index as u64;
            fleet.write_large_document(version, size * DOCUMENT_BYTES);
            let have = |it: &Fleet| it.contexts().iter().all(|it| is_at(it, version));
            let took = fleet.run_until(APPLY_BOUND, have);
            let late = fleet.contexts().iter().filter(|it| !is_at(it, version)).count();
            if took.is_none() {
                broken.push(format!("{name}: {late} daemons lack document {index}"));
            }
            fleet.run(DOCUMENT_INTERVAL - took.unwrap_or(APPLY_BOUND));
        }
        fleet.run(Duration::from_secs(2));
        let most = fleet.take_traffic().iter().map(|it| it.bytes).max();
        eprintln!("{name}: {most:?} bytes of messages at most of one daemon");
        if fleet.failed_calls > 0 {
            broken.push(format!("{name}: {} calls failed", fleet.failed_calls));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
