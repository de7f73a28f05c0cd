//! Address lists: near, open and uncrowded daemons, enough of them after the loss of a zone.

use std::{collections::BTreeSet, net::SocketAddr};

use rand::{SeedableRng, rngs::SmallRng};
use tealturn::{
    fleet::address::{self, Address, Caller, Candidate, FAR, NEAR},
    kernel::id::Zone,
};

/// Daemons left for a caller when a zone is lost, in a fleet that has them.
const ENOUGH: usize = 2;

fn candidates(daemons: usize, zones: usize, crowded: &[usize]) -> Vec<Candidate> {
    let candidate = |place: usize| Candidate {
        address: Address {
            address: SocketAddr::from(([10, 0, 0, 1], place as u16)),
            zone: zone(place % zones),
            daemon: format!("daemon-{place}").as_str().into(),
        },
        requests: if crowded.contains(&place) { 500 } else { 5 },
    };
    (0..daemons).map(candidate).collect()
}

fn zone(place: usize) -> Zone {
    Zone::from(format!("zone-{place}").as_str())
}

struct Case {
    name: &'static str,
    daemons: usize,
    zones: usize,
    crowded: &'static [usize],
    caller: Option<usize>,
    workspace: Option<&'static str>,
    /// How many of the list are in the caller's zone, and in all.
    near: usize,
    all: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "a small fleet is listed whole",
        daemons: 7,
        zones: 3,
        crowded: &[],
        caller: Some(0),
        workspace: None,
        near: 3,
        all: 7,
    },
    Case {
        name: "the crowded one is left out",
        daemons: 7,
        zones: 4,
        crowded: &[0],
        caller: Some(0),
        workspace: None,
        near: 1,
        all: 6,
    },
    Case {
        name: "all are crowded alike",
        daemons: 3,
        zones: 3,
        crowded: &[0, 1, 2],
        caller: Some(1),
        workspace: None,
        near: 1,
        all: 3,
    },
    Case {
        name: "too few would be left",
        daemons: 3,
        zones: 3,
        crowded: &[0],
        caller: Some(0),
        workspace: None,
        near: 1,
        all: 3,
    },
    Case {
        name: "a large fleet",
        daemons: 350,
        zones: 8,
        crowded: &[],
        caller: Some(3),
        workspace: Some("notary"),
        near: NEAR,
        all: NEAR + FAR,
    },
    Case {
        name: "a caller without a zone",
        daemons: 350,
        zones: 8,
        crowded: &[],
        caller: None,
        workspace: None,
        near: 0,
        all: NEAR + FAR,
    },
    Case {
        name: "a caller from a zone without daemons",
        daemons: 20,
        zones: 4,
        crowded: &[],
        caller: Some(9),
        workspace: None,
        near: 0,
        all: NEAR + FAR,
    },
];

#[test]
fn lists_are_near_uncrowded_and_survive_a_zone() {
    for case in CASES {
        let candidates = candidates(case.daemons, case.zones, case.crowded);
        let caller =
            Caller { zone: case.caller.map(zone), workspace: case.workspace.map(Into::into) };
        for seed in 0..50 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let list = address::choose(&caller, &candidates, &mut rng);
            let near = list.iter().filter(|it| Some(&it.zone) == caller.zone.as_ref());
            assert_eq!(near.clone().count(), case.near, "{}: near", case.name);
            assert_eq!(list.len(), case.all, "{}: all", case.name);
            let first = list.iter().take(case.near);
            assert!(first.eq(near), "{}: the near ones come first", case.name);
            let names: BTreeSet<_> = list.iter().map(|it| &it.daemon).collect();
            assert_eq!(names.len(), list.len(), "{}: one twice", case.name);
            let zones: BTreeSet<_> = list.iter().map(|it| &it.zone).collect();
            let spread = case.zones.min(list.len() - case.near + usize::from(case.near > 0));
            assert!(zones.len() >= spread.min(case.zones), "{}: {zones:?}", case.name);
            for lost in 0..case.zones {
                let left = list.iter().filter(|it| it.zone != zone(lost)).count();
                assert!(left >= ENOUGH, "{}: {left} left without zone {lost}", case.name);
            }
        }
    }
}

#[test]
fn a_workspace_meets_on_few_daemons_and_workspaces_on_many() {
    let candidates = candidates(350, 8, &[]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut all = BTreeSet::new();
    for workspace in 0..1_000 {
        let caller = Caller {
            zone: Some(zone(workspace % 8)),
            workspace: Some(format!("workspace-{workspace}").as_str().into()),
        };
        let mut own = BTreeSet::new();
        for _ in 0..5 {
            let list = address::choose(&caller, &candidates, &mut rng);
            own.extend(list.into_iter().map(|it| it.daemon));
        }
        assert_eq!(own.len(), NEAR + FAR, "workspace {workspace}");
        all.extend(own);
    }
    assert_eq!(all.len(), 350, "all daemons have work");
}
