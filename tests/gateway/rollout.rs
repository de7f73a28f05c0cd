use std::time::Duration;

use tealturn::{
    gateway::{
        message::Load,
        peer::Totals,
        rollout::{self, Progress, Target, max_concurrent_loads},
        roster::Roster,
        store::Era,
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Version},
    },
};

use crate::scene::{MODEL, engines, name, record};

const START: Time = Time::from_millis(10_000);

fn known(version: u64, since: Time) -> Target {
    Target { version: Version(version), since, is_assumed: false }
}

fn status(number: u16, version: u64, stage: rollout::Stage) -> rollout::Status {
    rollout::Status {
        engine: name(number),
        incarnation: Incarnation(1),
        version: Version(version),
        stage,
    }
}

#[test]
fn engines_that_are_furthest_behind_load_first() {
    let model = Model::from(MODEL);
    let mut roster = Roster::default();
    for (number, version) in [(0, 3), (1, 1), (2, 2), (3, 1), (4, 4)] {
        roster.insert(&name(number), record(number, version));
    }
    let mut progress = Progress::default();
    progress.set_target(&model, known(4, START));
    let pending = progress.pending(&roster.view(), &model, &Totals::default());
    let order: Vec<_> = pending.iter().map(|it| it.name.to_string()).collect();
    assert_eq!(order, ["engine-1", "engine-3", "engine-2", "engine-0"]);
}

/// Guards against rollouts that take several times as long under load: engines whose running calls last
/// for seconds, and silent ones, kept idle ones from loading (a quarter of the engines silent, a burst).
#[test]
fn idle_engines_load_before_busy_and_dead_ones() {
    struct Case {
        dead: &'static [u16],
        /// Engine memory that other daemons' calls use, by engine.
        memory: [u64; 3],
        order: [&'static str; 3],
    }
    for case in [
        Case { dead: &[], memory: [0, 0, 0], order: ["engine-0", "engine-1", "engine-2"] },
        Case { dead: &[], memory: [30_000, 9_000, 0], order: ["engine-2", "engine-1", "engine-0"] },
        Case {
            dead: &[2],
            memory: [30_000, 9_000, 0],
            order: ["engine-1", "engine-0", "engine-2"],
        },
    ] {
        let model = Model::from(MODEL);
        let mut roster = Roster::default();
        for number in 0..3 {
            roster.insert(&name(number), record(number, 1));
        }
        let view = roster.view();
        let mut peers = Totals::default();
        for endpoint in view.all() {
            let number = endpoint.name.as_str().trim_start_matches("engine-");
            let number: u16 = number.parse().expect("the number of the engine");
            if case.dead.contains(&number) {
                endpoint.health.mark_dead(START);
            }
            let memory = case.memory[usize::from(number)];
            peers.insert(endpoint.hash, Load { memory, ..Load::default() });
        }
        let mut progress = Progress::default();
        progress.set_target(&model, known(2, START));
        let pending = progress.pending(&view, &model, &peers);
        let order: Vec<_> = pending.iter().map(|it| it.name.to_string()).collect();
        assert_eq!(order, case.order, "{:?} {:?}", case.dead, case.memory);
    }
}

/// An engine that said that it leaves was ordered to load weights that it would not serve.
#[test]
fn an_engine_that_leaves_loads_no_weights() {
    let model = Model::from(MODEL);
    let mut roster = Roster::default();
    for number in 0..3 {
        roster.insert(&name(number), record(number, 1));
    }
    let mut progress = Progress::default();
    progress.set_target(&model, known(2, START));
    let view = roster.view();
    let pending = progress.pending(&view, &model, &Totals::default());
    pending[1].health.record_leaving();
    pending[2].health.record_pause(Duration::from_secs(9), START);
    let names: Vec<_> = progress
        .pending(&view, &model, &Totals::default())
        .iter()
        .map(|it| it.name.clone())
        .collect();
    assert_eq!(names, [pending[0].name.clone(), pending[2].name.clone()], "a pause is no reason");
}

#[test]
fn the_time_for_old_weights_counts_from_the_first_newer_version() {
    let model = Model::from(MODEL);
    let mut progress = Progress::default();
    for (version, second) in [(2, 0), (3, 4), (4, 8)] {
        let now = START + Duration::from_secs(second);
        assert!(progress.set_target(&model, known(version, now)));
        assert!(!progress.set_target(&model, known(version, now)), "already the target");
    }
    let superseded = |version| progress.superseded_since(&model, Version(version));
    assert_eq!(superseded(1), Some(START));
    assert_eq!(superseded(2), Some(START + Duration::from_secs(4)));
    assert_eq!(superseded(4), None);
    assert_eq!(progress.target(&model).map(|it| it.version), Some(Version(4)));
}

/// A daemon that starts doesn't know how long a target has been set. Counting from its start would
/// let calls begin on old weights too late (see docs/incidents/cascade-b38c.md).
#[test]
fn what_a_daemon_assumes_at_its_start_gives_way_to_what_others_know() {
    let model = Model::from(MODEL);
    let assumed = Target { is_assumed: true, ..known(2, START) };
    let superseded = |it: &Progress| it.superseded_since(&model, Version(1));
    struct Case {
        known_since: Time,
        what: &'static str,
    }
    for case in [
        Case { known_since: START - Duration::from_secs(5), what: "named before the assumed time" },
        Case { known_since: START + Duration::from_secs(5), what: "named after the assumed time" },
    ] {
        let known = known(2, case.known_since);
        let mut progress = Progress::default();
        assert!(progress.set_target(&model, assumed));
        assert_eq!(superseded(&progress), Some(START), "{}", case.what);
        assert!(progress.set_target(&model, known), "{}", case.what);
        assert!(!progress.set_target(&model, assumed), "{}", case.what);
        assert_eq!(superseded(&progress), Some(case.known_since), "{}", case.what);
        let earlier = Target { since: case.known_since - Duration::from_secs(1), ..known };
        assert!(progress.set_target(&model, earlier), "the earliest time counts");
        assert!(!progress.set_target(&model, known));
    }
}

/// An engine that stays on version 1 while 2 and 3 are set: a daemon may hear of 3 first.
#[test]
fn targets_that_are_heard_of_out_of_order_are_sorted() {
    let model = Model::from(MODEL);
    let mut progress = Progress::default();
    progress.set_target(&model, known(3, START + Duration::from_secs(4)));
    progress.set_target(&model, known(2, START));
    assert_eq!(progress.superseded_since(&model, Version(1)), Some(START));
    assert_eq!(progress.target(&model).map(|it| it.version), Some(Version(3)));
}

#[test]
fn statuses_with_an_older_fence_are_ignored() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    let loading =
        rollout::Statuses { revision: 1, marks: vec![status(0, 2, rollout::Stage::Loading)] };
    let loaded =
        rollout::Statuses { revision: 2, marks: vec![status(0, 2, rollout::Stage::Loaded)] };
    assert!(progress.update_statuses(&model, 5, &loading));
    assert!(progress.is_loading(engine, &model));
    assert!(!progress.update_statuses(&model, 4, &loaded), "older fencing token");
    assert_eq!(progress.latest_fence(), 5);
    assert!(progress.is_loading(engine, &model));
    assert!(progress.update_statuses(&model, 5, &loaded));
    assert!(!progress.is_loading(engine, &model));
    assert_eq!(progress.version(engine, &model), Some(Version(2)));
    assert!(!progress.update_statuses(&model, 5, &loaded), "unchanged");
    assert!(!progress.update_statuses(&model, 5, &loading), "older revision");
    assert!(!progress.is_loading(engine, &model));
}

/// Guards against forgetting loads reported by an earlier lease holder: a daemon that can't reach
/// the store reads no entries, and a new holder publishes only its own loads.
#[test]
fn what_an_earlier_holder_has_loaded_stays_known() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    progress.update_statuses(
        &model,
        1,
        &rollout::Statuses { revision: 1, marks: vec![status(0, 2, rollout::Stage::Loaded)] },
    );
    progress.update_statuses(
        &model,
        2,
        &rollout::Statuses { revision: 1, marks: vec![status(5, 3, rollout::Stage::Loaded)] },
    );
    assert_eq!(progress.version(engine, &model), Some(Version(2)));
}

#[test]
fn statuses_of_an_earlier_incarnation_are_ignored() {
    let model = Model::from(MODEL);
    let engine = &engines(&[1])[0];
    let mut progress = Progress::default();
    let earlier =
        rollout::Status { incarnation: Incarnation(0), ..status(0, 2, rollout::Stage::Loaded) };
    progress.update_statuses(&model, 1, &rollout::Statuses { revision: 1, marks: vec![earlier] });
    assert_eq!(progress.version(engine, &model), Some(Version(1)));
}

#[test]
fn a_lease_is_taken_only_when_its_row_has_not_changed_for_long_enough() {
    const TAKEOVER_DELAY: Duration = Duration::from_millis(4_500);
    let mut watch = rollout::Watch::default();
    assert_eq!(watch.decide(None, false, TAKEOVER_DELAY, START), rollout::Action::TakeOver);
    assert_eq!(watch.decide(Some(7), true, TAKEOVER_DELAY, START), rollout::Action::Renew);
    assert_eq!(watch.decide(Some(7), false, TAKEOVER_DELAY, START), rollout::Action::Wait);
    assert_eq!(
        watch.decide(Some(7), false, TAKEOVER_DELAY, START + TAKEOVER_DELAY / 2),
        rollout::Action::Wait
    );
    assert_eq!(
        watch.decide(Some(8), false, TAKEOVER_DELAY, START + TAKEOVER_DELAY),
        rollout::Action::Wait,
        "it was renewed"
    );
    assert_eq!(
        watch.decide(Some(8), false, TAKEOVER_DELAY, START + TAKEOVER_DELAY + TAKEOVER_DELAY / 2),
        rollout::Action::Wait
    );
    assert_eq!(
        watch.decide(Some(8), false, TAKEOVER_DELAY, START + TAKEOVER_DELAY + TAKEOVER_DELAY),
        rollout::Action::TakeOver
    );
}

/// The store may have lost the lease's row, or the last tokens, while the earlier holder still orders.
#[test]
fn after_a_restore_a_lease_is_taken_late_and_with_a_higher_token() {
    const TAKEOVER_DELAY: Duration = Duration::from_millis(4_500);
    let mut watch = rollout::Watch::default();
    assert_eq!(watch.decide(Some(7), false, TAKEOVER_DELAY, START), rollout::Action::Wait);
    let restored_at = START + TAKEOVER_DELAY / 2;
    watch.restored(restored_at);
    let end = START + TAKEOVER_DELAY;
    assert_eq!(watch.decide(Some(7), false, TAKEOVER_DELAY, end), rollout::Action::Wait);
    watch.reset();
    assert_eq!(watch.decide(None, false, TAKEOVER_DELAY, end), rollout::Action::Wait);
    let end = restored_at + TAKEOVER_DELAY;
    assert_eq!(watch.decide(None, false, TAKEOVER_DELAY, end), rollout::Action::TakeOver);
    struct Case {
        previous: u64,
        era: u64,
        fence: u64,
    }
    for case in [
        Case { previous: 0, era: 0, fence: 1 },
        Case { previous: 1, era: 0, fence: 2 },
        Case { previous: 0, era: 1, fence: (1 << 32) + 1 },
        Case { previous: 2, era: 1, fence: (1 << 32) + 1 },
        Case { previous: (1 << 32) + 1, era: 1, fence: (1 << 32) + 2 },
        Case { previous: (1 << 32) + 2, era: 9, fence: (9 << 32) + 1 },
    ] {
        let fence = rollout::next_fence(case.previous, Era(case.era));
        assert_eq!(fence, case.fence, "{} in era {}", case.previous, case.era);
        assert!(rollout::is_fence_of(fence, Era(case.era)));
    }
}

#[test]
fn a_share_of_the_engines_loads_at_once() {
    for (engines, loads) in [(1, 1), (5, 1), (12, 2), (18, 3), (90, 15)] {
        assert_eq!(max_concurrent_loads(engines, 1.0 / 6.0), loads, "{engines}");
    }
}
