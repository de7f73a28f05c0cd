use std::time::Duration;

use tealturn::{
    gateway::{
        rollout::{Claim, Mark, Marks, Progress, Stage, Watch, loads_at_once},
        roster::Roster,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Version},
    },
};

use crate::scene::{MODEL, engines, name, record};

const START: Time = Time::from_millis(10_000);

fn mark(number: u16, version: u64, stage: Stage) -> Mark {
    Mark { engine: name(number), incarnation: Incarnation(1), version: Version(version), stage }
}

#[test]
fn engines_that_are_furthest_behind_load_first() {
    let model = Model::from(MODEL);
    let mut roster = Roster::default();
    for (number, version) in [(0, 3), (1, 1), (2, 2), (3, 1), (4, 4)] {
        roster.insert(&name(number), record(number, version));
    }
    let mut progress = Progress::default();
    progress.want(&model, Version(4), START);
    let pending = progress.pending(&roster.view(), &model);
    let order: Vec<_> = pending.iter().map(|it| it.name.to_string()).collect();
    assert_eq!(order, ["engine-1", "engine-3", "engine-2", "engine-0"]);
}

#[test]
fn the_time_for_old_weights_counts_from_the_first_newer_version() {
    let model = Model::from(MODEL);
    let mut progress = Progress::default();
    for (version, second) in [(2, 0), (3, 4), (4, 8)] {
        let now = START + Duration::from_secs(second);
        assert!(progress.want(&model, Version(version), now));
        assert!(!progress.want(&model, Version(version), now), "it is known");
    }
    let superseded = |version| progress.superseded(&model, Version(version));
    assert_eq!(superseded(1), Some(START));
    assert_eq!(superseded(2), Some(START + Duration::from_secs(4)));
    assert_eq!(superseded(4), None);
    assert_eq!(progress.target(&model).map(|it| it.version), Some(Version(4)));
}

#[test]
fn what_an_earlier_holder_tells_changes_nothing() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    let loading = Marks { marks: vec![mark(0, 2, Stage::Loading)] };
    let loaded = Marks { marks: vec![mark(0, 2, Stage::Loaded)] };
    assert!(progress.mark(&model, 5, &loading));
    assert!(progress.is_loading(engine, &model));
    assert!(!progress.mark(&model, 4, &loaded), "an earlier holder");
    assert!(progress.is_loading(engine, &model));
    assert!(progress.mark(&model, 5, &loaded));
    assert!(!progress.is_loading(engine, &model));
    assert_eq!(progress.version(engine, &model), Some(Version(2)));
    assert!(!progress.mark(&model, 5, &loaded), "no news");
}

/// A daemon that can't reach the store reads no entries, and a new holder tells only of its own
/// loads.
#[test]
fn what_an_earlier_holder_has_loaded_stays_known() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    progress.mark(&model, 1, &Marks { marks: vec![mark(0, 2, Stage::Loaded)] });
    progress.mark(&model, 2, &Marks { marks: vec![mark(5, 3, Stage::Loaded)] });
    assert_eq!(progress.version(engine, &model), Some(Version(2)));
}

#[test]
fn marks_of_an_earlier_run_of_an_engine_do_not_count() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    let earlier = Mark { incarnation: Incarnation(0), ..mark(0, 2, Stage::Loaded) };
    progress.mark(&model, 1, &Marks { marks: vec![earlier] });
    assert_eq!(progress.version(engine, &model), Some(Version(1)));
}

#[test]
fn a_lease_is_taken_only_when_its_row_has_not_changed_for_long_enough() {
    const IDLE: Duration = Duration::from_millis(4_500);
    let mut watch = Watch::default();
    assert_eq!(watch.claim(None, false, IDLE, START), Claim::Take);
    assert_eq!(watch.claim(Some(7), true, IDLE, START), Claim::Own);
    assert_eq!(watch.claim(Some(7), false, IDLE, START), Claim::Wait);
    assert_eq!(watch.claim(Some(7), false, IDLE, START + IDLE / 2), Claim::Wait);
    assert_eq!(watch.claim(Some(8), false, IDLE, START + IDLE), Claim::Wait, "it was renewed");
    assert_eq!(watch.claim(Some(8), false, IDLE, START + IDLE + IDLE / 2), Claim::Wait);
    assert_eq!(watch.claim(Some(8), false, IDLE, START + IDLE + IDLE), Claim::Take);
}

#[test]
fn a_share_of_the_engines_loads_at_once() {
    for (engines, loads) in [(1, 1), (5, 1), (12, 2), (18, 3), (90, 15)] {
        assert_eq!(loads_at_once(engines, 1.0 / 6.0), loads, "{engines}");
    }
}
