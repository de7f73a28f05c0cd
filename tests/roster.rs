//! Upstreams are dead by their own silence only, and facts about them only grow.

use std::time::Duration;

use tealturn::{
    fleet::board::{Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{Incarnation, Upstream},
    },
    platform::vm::{Entry, Role, State},
    upstream::{
        roster::{FAILED_PROBES, FORGET_AFTER, Probe, Roster},
        wire::{self, Load},
    },
};

fn entry(state: State) -> Entry {
    Entry {
        name: "engine-1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "sala-a".into(),
        role: Role::Engine { model: "assistente".into(), fenced: true },
        state,
    }
}

fn load(incarnation: u64, leaving: bool) -> Probe {
    let incarnation = Incarnation(incarnation);
    Probe::Reported(Load {
        incarnation,
        age_ms: 0,
        running: 0,
        queued: 0,
        prefill_tokens: 0,
        batch: 8,
        prefill_rate: 1,
        leaving,
        state: wire::State {
            incarnation,
            loaded: Vec::new(),
            loading: Vec::new(),
            role: wire::Role::Serve,
            fence: 0,
        },
    })
}

fn fact(incarnation: u64, leaving: bool) -> Fact {
    Fact {
        key: Key::Upstream("engine-1".into()),
        value: Value::Upstream { incarnation: Incarnation(incarnation), leaving },
    }
}

/// What a daemon hears, one after another.
enum Hear {
    Listed(State),
    Unlisted,
    Load(u64, bool),
    Silence(u32),
    Fact(u64, bool),
    Pause(Duration),
}

/// Whether the upstream is known, open, and its newest run.
type Expected = Option<(bool, u64)>;

struct Case {
    name: &'static str,
    hears: Vec<Hear>,
    expected: Expected,
}

fn cases() -> Vec<Case> {
    use Hear::*;
    let start = || vec![Listed(State::Live), Load(5, false)];
    let case = |name, more: Vec<Hear>, expected| Case {
        name,
        hears: start().into_iter().chain(more).collect(),
        expected,
    };
    vec![
        Case {
            name: "listed, but never heard",
            hears: vec![Listed(State::Live)],
            expected: Some((false, 0)),
        },
        case("heard", vec![], Some((true, 5))),
        case(
            "missing from the list, but heard",
            vec![Unlisted, Pause(FORGET_AFTER * 3), Unlisted],
            Some((true, 5)),
        ),
        case("one lost probe", vec![Silence(1)], Some((true, 5))),
        case("silent", vec![Silence(FAILED_PROBES)], Some((false, 5))),
        case(
            "silent, then back as another run",
            vec![Silence(FAILED_PROBES), Load(6, false)],
            Some((true, 6)),
        ),
        case(
            "silent and missing for long",
            vec![Silence(FAILED_PROBES), Unlisted, Pause(FORGET_AFTER * 2), Unlisted],
            None,
        ),
        case("a late report of an older run", vec![Load(6, false), Load(5, true)], Some((true, 6))),
        case("leaving", vec![Load(5, true)], Some((false, 5))),
        case(
            "a late report from before it was leaving",
            vec![Load(5, true), Load(5, false)],
            Some((false, 5)),
        ),
        case(
            "the list says leaving, then lags back",
            vec![Listed(State::Leaving), Listed(State::Live), Load(5, false)],
            Some((false, 5)),
        ),
        case(
            "a VM that leaves, whatever run is on it",
            vec![Listed(State::Leaving), Load(6, false)],
            Some((false, 6)),
        ),
        case(
            "a run that left is followed by one that stays",
            vec![Load(5, true), Load(6, false)],
            Some((true, 6)),
        ),
        case("told of leaving", vec![Fact(5, true)], Some((false, 5))),
        case("told of a newer run", vec![Fact(7, false)], Some((true, 7))),
        case("told of an older run", vec![Fact(4, true)], Some((true, 5))),
    ]
}

#[test]
fn facts_only_grow() {
    for case in cases() {
        let name = Upstream::from("engine-1");
        let mut roster = Roster::default();
        let mut now = Time::from_millis(1);
        for hear in case.hears {
            match hear {
                Hear::Listed(state) => drop(roster.list(&[entry(state)], now)),
                Hear::Unlisted => drop(roster.list(&[], now)),
                Hear::Load(run, leaving) => drop(roster.probe(&name, load(run, leaving), now)),
                Hear::Silence(probes) => {
                    for _ in 0..probes {
                        roster.probe(&name, Probe::Failed, now);
                    }
                }
                Hear::Fact(run, leaving) => drop(roster.merge(&[fact(run, leaving)], now)),
                Hear::Pause(time) => now = now + time,
            }
        }
        let directory = roster.directory().expect(case.name);
        let found = directory.get(&name);
        let found = found.map(|it| (it.is_open(), it.incarnation.0));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}
