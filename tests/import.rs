//! Tests which exported KV cache blocks may be imported, and when an import is worthwhile.

use std::{sync::Arc, time::Duration};

use tealturn::{
    kernel::{
        clock::Time,
        id::{Adapter, Incarnation, Version},
    },
    platform::vm::Role,
    prefix::Owner,
    route::import::{Cost, Decision, Export, Query, Reason},
    upstream::directory::{Directory, Upstream},
};

const BLOCKS: u64 = 100;

fn owner() -> Owner {
    Owner { workspace: "w".into(), model: "m".into(), adapter: None, version: Version(2) }
}

fn exporter() -> Upstream {
    Upstream {
        name: "e1".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        role: Role::Engine { model: "m".into(), fenced: true },
        incarnation: Incarnation(5),
        alive: true,
        leaving: false,
        since: Time::default(),
        load: None,
        reported: Time::default(),
    }
}

fn exported() -> Export {
    Export { owner: owner(), exporter: "e1".into(), incarnation: Incarnation(5), blocks: BLOCKS }
}

struct Case {
    name: &'static str,
    exported: fn(&mut Export),
    exporter: fn(&mut Upstream),
    cached: u64,
    /// Duration in milliseconds of an earlier import of [`BLOCKS`] blocks.
    import_ms: u64,
    decision: Decision,
}

const CASE: Case = Case {
    name: "faster than prefill",
    exported: |_| {},
    exporter: |_| {},
    cached: 0,
    import_ms: 10,
    decision: Decision::Import(BLOCKS),
};

const CASES: &[Case] = &[
    CASE,
    Case {
        name: "another workspace",
        exported: |it| it.owner.workspace = "v".into(),
        decision: Decision::Prefill(Reason::OtherWorkspace),
        ..CASE
    },
    Case {
        name: "older weights",
        exported: |it| it.owner.version = Version(1),
        decision: Decision::Prefill(Reason::WeightsMismatch),
        ..CASE
    },
    Case {
        name: "another adapter",
        exported: |it| it.owner.adapter = Some(Adapter::from("law")),
        decision: Decision::Prefill(Reason::WeightsMismatch),
        ..CASE
    },
    Case {
        name: "dead engine",
        exporter: |it| it.alive = false,
        decision: Decision::Prefill(Reason::ExporterGone),
        ..CASE
    },
    Case {
        name: "restarted engine",
        exporter: |it| it.incarnation = Incarnation(6),
        decision: Decision::Prefill(Reason::ExporterGone),
        ..CASE
    },
    Case {
        name: "unknown engine",
        exporter: |it| it.name = "e2".into(),
        decision: Decision::Prefill(Reason::ExporterGone),
        ..CASE
    },
    Case {
        name: "already cached",
        cached: BLOCKS,
        decision: Decision::Prefill(Reason::AlreadyCached),
        ..CASE
    },
    Case {
        name: "slower than prefill",
        import_ms: 100,
        decision: Decision::Prefill(Reason::PrefillFaster),
        ..CASE
    },
    Case {
        name: "slower than prefilling the few missing blocks",
        cached: BLOCKS - 5,
        decision: Decision::Prefill(Reason::PrefillFaster),
        ..CASE
    },
];

#[test]
fn imports_only_permitted_blocks_and_only_if_faster_than_prefill() {
    for case in CASES {
        let (mut exported, mut exporter) = (exported(), exporter());
        (case.exported)(&mut exported);
        (case.exporter)(&mut exporter);
        let directory = Directory::new(vec![Arc::new(exporter)]);
        let mut cost = Cost::default();
        cost.record_import(BLOCKS, Duration::from_millis(case.import_ms));
        let query =
            Query { owner: &owner(), shared: BLOCKS, cached: case.cached, prefill_rate: 100_000 };
        let decision = cost.decide(&query, &exported, &directory);
        assert_eq!(decision, case.decision, "{}", case.name);
    }
}
