use tealturn::{
    gateway::topology::{Candidate, FULL_MESH_DAEMONS, MIN_WATCHERS, Plan, is_caller, plan},
    kernel::id::Zone,
};

struct Fleet {
    names: Vec<String>,
    zones: Vec<Zone>,
    /// Index of daemons that don't respond.
    gone: Vec<usize>,
}

impl Fleet {
    fn new(daemons: usize, zones: usize) -> Fleet {
        Fleet {
            names: (0..daemons).map(|it| format!("vm-{it}")).collect(),
            zones: (0..zones).map(|it| Zone::from(&*format!("zone-{it}"))).collect(),
            gone: Vec::new(),
        }
    }

    /// The plan of each daemon. One in 13 has four times the processor time of the others.
    fn plans(&self) -> Vec<Plan> {
        let candidate = |(index, name)| Candidate {
            name,
            zone: &self.zones[index % self.zones.len()],
            cpu_millis: if index % 13 == 0 { 500 } else { 120 },
            responsive: !self.gone.contains(&index),
        };
        let names = self.names.iter().map(String::as_str);
        let candidates: Vec<_> = names.enumerate().map(candidate).collect();
        self.names.iter().map(|it| plan(it, &candidates)).collect()
    }
}

#[test]
fn hubs_and_their_spokes_grow_with_the_root_of_the_fleet() {
    struct Case {
        daemons: usize,
        zones: usize,
        hubs: usize,
        watchers: usize,
        spokes_of_a_hub: usize,
    }
    for case in [
        Case { daemons: 7, zones: 3, hubs: 7, watchers: 7, spokes_of_a_hub: 0 },
        Case { daemons: FULL_MESH_DAEMONS, zones: 4, hubs: 12, watchers: 12, spokes_of_a_hub: 0 },
        Case { daemons: 30, zones: 5, hubs: 15, watchers: 5, spokes_of_a_hub: 8 },
        Case { daemons: 86, zones: 4, hubs: 12, watchers: 4, spokes_of_a_hub: 20 },
        Case { daemons: 195, zones: 5, hubs: 15, watchers: 5, spokes_of_a_hub: 30 },
        Case { daemons: 350, zones: 5, hubs: 20, watchers: 5, spokes_of_a_hub: 40 },
    ] {
        let fleet = Fleet::new(case.daemons, case.zones);
        let plans = fleet.plans();
        let name = case.daemons;
        assert_eq!(plans.iter().filter(|it| it.is_hub).count(), case.hubs, "{name}");
        let watchers = plans.iter().filter(|it| it.is_watcher).count();
        assert_eq!(watchers, case.watchers, "{name}");
        assert!(watchers >= MIN_WATCHERS.min(name));
        for (index, own) in fleet.names.iter().enumerate() {
            assert!(!plans[index].is_watcher || plans[index].is_hub, "{own}");
            let uses = |it: &&Plan| !it.is_hub && it.hubs.first() == Some(own);
            let spokes = plans.iter().filter(uses).count();
            assert!(spokes <= case.spokes_of_a_hub, "{own} of {name}: {spokes}");
            assert!(spokes == 0 || plans[index].is_hub, "{own}");
        }
    }
}

#[test]
fn large_vms_become_hubs_and_spokes_use_those_of_their_zone() {
    let fleet = Fleet::new(195, 5);
    let plans = fleet.plans();
    assert!((0..195).step_by(13).all(|it| plans[it].is_hub), "15 have much processor time");
    for (index, plan) in plans.iter().enumerate().filter(|(_, it)| !it.is_hub) {
        let hub: usize = plan.hubs[0].trim_start_matches("vm-").parse().expect("a number");
        assert_eq!(hub % 5, index % 5, "zone of the hub of vm-{index}");
    }
    let ranks: std::collections::BTreeSet<_> = plans.iter().map(|it| it.rank).collect();
    assert_eq!(ranks.len(), 195, "each daemon has another rank");
    assert!(plans.iter().filter(|it| it.is_watcher).all(|it| it.rank < 5));
}

#[test]
fn the_place_of_a_hub_that_is_gone_is_taken() {
    let mut fleet = Fleet::new(195, 5);
    // All large VMs of all zones.
    fleet.gone = (0..195).step_by(13).collect();
    let plans = fleet.plans();
    let alive = |it: &usize| !fleet.gone.contains(it);
    let hubs = (0..195).filter(alive).filter(|it| plans[*it].is_hub).count();
    assert_eq!(hubs, 15);
    for index in (0..195).filter(alive) {
        for hub in &plans[index].hubs {
            let hub: usize = hub.trim_start_matches("vm-").parse().expect("a number");
            assert!(alive(&hub), "vm-{index} would use vm-{hub}");
        }
    }
}

#[test]
fn one_of_two_hubs_calls_the_other() {
    let names: Vec<_> = (0..20).map(|it| format!("vm-{it}")).collect();
    let mut calls = Vec::new();
    for own in &names {
        let others = names.iter().filter(|it| *it != own);
        for other in others.clone() {
            assert!(is_caller(own, other) != is_caller(other, own), "{own} {other}");
        }
        calls.push(others.filter(|it| is_caller(own, it)).count());
    }
    assert!(calls.iter().all(|it| (3..=16).contains(it)), "{calls:?}");
}
