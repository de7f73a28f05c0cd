//! Plans, leases and rollouts, case by case. The runs over seeds are in `control_random`.

use tealturn::{
    catalog::{Catalog, Instance, Limits, Snapshot, Target, Template},
    control::{
        lease::{Change, Holder, Lease, MARGIN, RETRY_AFTER, TTL},
        plan::{Engine, Need, Plan, covers, needs},
        rollout::{Readiness, Rollout},
        shard::{Name, SHARDS, share},
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version, Workspace},
    },
    platform::table::{Failure, Outcome, Row, Transaction, Write},
    upstream::wire::{Role, Weights},
};

fn weights(version: u64, adapters: &[&str]) -> Weights {
    Weights {
        model: Model::from("assistente"),
        version: Version(version),
        adapters: adapters.iter().map(|it| (*it).into()).collect(),
    }
}

fn engines(count: usize) -> Vec<Engine> {
    let engine = |number| Engine {
        name: Upstream::from(format!("runner-{number}").as_str()),
        address: ([127, 0, 0, 1], 1_000).into(),
        model: Model::from("assistente"),
        fenced: true,
        open: true,
        loaded: vec![weights(1, &[])],
    };
    (0..count).map(engine).collect()
}

struct Division {
    name: &'static str,
    /// Version and replicas.
    needs: &'static [(u64, usize)],
    engines: usize,
    /// Version and engines that should have it.
    places: &'static [(u64, usize)],
    standby: usize,
}

const DIVISIONS: &[Division] = &[
    Division {
        name: "demand takes all engines",
        needs: &[(1, 0)],
        engines: 12,
        places: &[(1, 12)],
        standby: 0,
    },
    Division {
        name: "replicas take their number",
        needs: &[(1, 4)],
        engines: 12,
        places: &[(1, 4)],
        standby: 8,
    },
    Division {
        name: "more replicas than engines",
        needs: &[(1, 24)],
        engines: 12,
        places: &[(1, 12)],
        standby: 0,
    },
    Division {
        name: "demand takes what replicas leave",
        needs: &[(1, 4), (2, 0)],
        engines: 12,
        places: &[(1, 4), (2, 8)],
        standby: 0,
    },
    Division {
        name: "two by demand share",
        needs: &[(1, 0), (2, 0)],
        engines: 12,
        places: &[(1, 6), (2, 6)],
        standby: 0,
    },
    Division {
        name: "more versions than engines",
        needs: &[(1, 0), (2, 0), (3, 0)],
        engines: 2,
        places: &[(1, 1), (2, 1), (3, 1)],
        standby: 0,
    },
    Division {
        name: "replicas take all, demand shares them",
        needs: &[(1, 4), (2, 0)],
        engines: 4,
        places: &[(1, 4), (2, 4)],
        standby: 0,
    },
];

#[test]
fn plans_give_each_need_its_places() {
    for case in DIVISIONS {
        let needs = case.needs.iter().map(|(version, replicas)| Need {
            weights: weights(*version, &[]),
            replicas: *replicas,
        });
        let needs: Vec<_> = needs.collect();
        let engines = engines(case.engines);
        let plan = Plan::new(&needs, &engines);
        let goals: Vec<_> = engines.iter().filter_map(|it| plan.goal(&it.name)).collect();
        for (version, places) in case.places {
            let with = goals.iter().filter(|it| it.weights.contains(&weights(*version, &[])));
            assert_eq!(with.count(), *places, "{}: version {version}", case.name);
        }
        let standby = goals.iter().filter(|it| it.role == Role::Standby);
        assert_eq!(standby.count(), case.standby, "{}", case.name);
    }
}

#[test]
fn a_new_version_gets_the_engines_of_the_old() {
    let engines = engines(12);
    let place = |version| {
        let need = Need { weights: weights(version, &[]), replicas: 5 };
        let plan = Plan::new(&[need], &engines);
        let goals = engines.iter().map(|it| plan.goal(&it.name).cloned());
        goals.map(|it| it.is_some_and(|goal| goal.role == Role::Serve)).collect::<Vec<_>>()
    };
    assert_eq!(place(1), place(2));
}

fn catalog(version: u64, own: Option<u64>, adapter: Option<&str>) -> Catalog {
    let limits = Limits { priority: 1, concurrency: 1, tokens_per_second: 1 };
    Catalog {
        templates: vec![Template {
            name: "notes".into(),
            target: Target::Model {
                model: "assistente".into(),
                adapter: adapter.map(Into::into),
                version: Version(version),
                billable: false,
            },
            limits,
            replicas: 3,
        }],
        instances: vec![Instance {
            workspace: "notary".into(),
            template: "notes".into(),
            limits: None,
            version: own.map(Version),
        }],
        ..Catalog::default()
    }
}

#[test]
fn needs_are_those_of_templates_and_instances() {
    let need = |version, adapters: &[&str], replicas| Need {
        weights: weights(version, adapters),
        replicas,
    };
    assert_eq!(needs(&catalog(1, None, None)), [need(1, &[], 3)]);
    assert_eq!(needs(&catalog(1, None, Some("law"))), [need(1, &["law"], 3)]);
    let both = [need(1, &[], 3), need(2, &[], 0)];
    assert_eq!(needs(&catalog(1, Some(2), None)), both);
    assert!(covers(&weights(1, &["law", "tax"]), &weights(1, &["tax"])));
    assert!(!covers(&weights(1, &["law"]), &weights(1, &["tax"])));
    assert!(!covers(&weights(2, &[]), &weights(1, &[])));
}

fn holder(name: &str) -> Holder {
    Holder { daemon: name.into(), incarnation: Incarnation(1) }
}

fn row(transaction: &Transaction, version: u64) -> Row {
    let Write::Put { key, value } = &transaction.writes[0] else {
        panic!("leases are put");
    };
    Row { key: key.clone(), value: value.clone(), version }
}

const START: Time = Time::from_millis(1_000_000);

fn taken(name: &str, version: u64) -> (Lease, Row) {
    let mut lease = Lease::new(Name::Shard(1).key(), holder(name));
    lease.observe(START, None);
    let row = row(&lease.take(START, None), version);
    let committed = Ok(Outcome::Committed { version });
    assert_eq!(lease.answer(START, &committed), Change::Taken);
    (lease, row)
}

#[test]
fn validity_counts_from_before_the_write() {
    let mut lease = Lease::new(Name::Shard(1).key(), holder("a"));
    lease.observe(START, None);
    lease.take(START, None);
    let late = START + TTL - MARGIN - MARGIN;
    lease.answer(late, &Ok(Outcome::Committed { version: 7 }));
    assert!(lease.valid(late).is_some());
    assert!(lease.valid(START + (TTL - MARGIN)).is_none());
    assert_eq!(lease.tenure().map(|it| it.fence), Some(7));
}

#[test]
fn a_lost_answer_is_settled_by_reading_the_row() {
    let (mut lease, _) = taken("a", 7);
    let due = START + TTL / 2;
    let renewal = lease.renew(due).expect("due");
    let lost = Err(Failure::Lost("lost".to_owned()));
    assert_eq!(lease.answer(due, &lost), Change::Unsettled);
    lease.observe(due, Some(&row(&renewal, 9)));
    // The renewal took effect, but nobody knows when it was written.
    assert!(lease.valid(START + TTL).is_none());
    let again = lease.renew(due + RETRY_AFTER).expect("due at once");
    assert_eq!(again.checks[0].version, Some(9));
    lease.answer(due + RETRY_AFTER, &Ok(Outcome::Committed { version: 11 }));
    assert!(lease.valid(START + TTL).is_some());
    assert_eq!(lease.tenure().map(|it| it.fence), Some(7));
}

#[test]
fn a_holder_that_was_overtaken_learns_it() {
    let (mut lease, _) = taken("a", 7);
    let (_, other) = taken("b", 12);
    lease.renew(START + TTL).expect("due");
    let conflict = Ok(Outcome::Conflict { rows: vec![other] });
    assert_eq!(lease.answer(START + TTL, &conflict), Change::Lost);
    assert!(lease.tenure().is_none());
}

#[test]
fn an_observer_waits_from_its_own_first_read() {
    let (_, first) = taken("a", 7);
    let mut lease = Lease::new(Name::Shard(1).key(), holder("b"));
    lease.observe(START, Some(&first));
    assert!(!lease.is_open(START + TTL));
    let renewed = Row { version: 8, ..first };
    lease.observe(START + TTL, Some(&renewed));
    assert!(!lease.is_open(START + TTL + TTL));
    assert!(lease.is_open(START + TTL + TTL + MARGIN));
}

#[test]
fn shares_cover_all_shards() {
    for daemons in [1, 3, 7, 20, 64, 350] {
        let shards = usize::from(SHARDS);
        assert!(share(shards, daemons) * daemons >= shards, "{daemons}");
    }
}

struct Step {
    name: &'static str,
    asked: u64,
    ready: Readiness,
    old_ready: Readiness,
    served: u64,
}

const STEPS: &[Step] = &[
    Step {
        name: "new to this daemon",
        asked: 1,
        ready: Readiness::Nowhere,
        old_ready: Readiness::Nowhere,
        served: 1,
    },
    Step {
        name: "an edit, nothing loaded",
        asked: 2,
        ready: Readiness::Nowhere,
        old_ready: Readiness::Enough,
        served: 1,
    },
    Step {
        name: "a few have it",
        asked: 2,
        ready: Readiness::Somewhere,
        old_ready: Readiness::Enough,
        served: 1,
    },
    Step {
        name: "enough have it",
        asked: 2,
        ready: Readiness::Enough,
        old_ready: Readiness::Somewhere,
        served: 2,
    },
    Step {
        name: "its engines crash: it does not go back",
        asked: 2,
        ready: Readiness::Nowhere,
        old_ready: Readiness::Enough,
        served: 2,
    },
    Step {
        name: "an edit while nothing has the old",
        asked: 3,
        ready: Readiness::Nowhere,
        old_ready: Readiness::Nowhere,
        served: 3,
    },
];

#[test]
fn rollouts_go_on_when_ready_and_never_back() {
    let rollout = Rollout::default();
    for step in STEPS {
        let snapshot = Snapshot::new(&catalog(step.asked, None, None));
        rollout.update(&snapshot, |weights| {
            if weights.version.0 == step.asked { step.ready } else { step.old_ready }
        });
        let (workspace, model) = (Workspace::from("notary"), Model::from("assistente"));
        let grant = snapshot.model(&workspace, &model);
        let mut grant = grant.cloned().expect("granted");
        rollout.resolve(&mut grant);
        let Target::Model { version, .. } = grant.target else {
            panic!("a model");
        };
        assert_eq!(version, Version(step.served), "{}", step.name);
    }
}
