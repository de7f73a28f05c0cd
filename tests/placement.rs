//! Placement against toy caches in virtual time: hit rate and recomputation beside an oracle
//! that knows every cache, plain rendezvous, and the baselines.

#[path = "toy/engine.rs"]
mod engine;
#[path = "toy/fleet.rs"]
mod fleet;
#[path = "toy/load.rs"]
mod load;

use fleet::{Plan, Second, Telling};

const PLAN: Plan = Plan {
    policy: "prefix",
    seed: 1,
    engines: 12,
    requests_per_s: 800,
    telling: Telling::Lossy,
    levels: true,
    seconds: 20,
    crash_s: None,
    shift_s: None,
    shifted: 0,
    herd_s: None,
};

/// The second from which a fleet that started with empty caches counts as steady.
const STEADY_S: usize = 10;

/// The second at which a fault comes, and the time until it must be made good.
const FAULT_S: u64 = 10;
const RECOVERY_S: usize = 5;

#[derive(Clone, Copy, Debug)]
struct Measure {
    hit_rate: f64,
    wasted: f64,
    p99_ms: f64,
}

/// What a run gave from the second `from` on.
fn measure(plan: &Plan, policy: &'static str, from: usize) -> Measure {
    let seconds = fleet::run(Plan { policy, ..*plan });
    let seconds = &seconds[from..];
    let sum = |part: fn(&Second) -> u64| seconds.iter().map(part).sum::<u64>() as f64;
    let prompt = sum(|it| it.prompt);
    let mut first: Vec<f64> = seconds.iter().flat_map(|it| it.first_ms.clone()).collect();
    first.sort_by(f64::total_cmp);
    let measure = Measure {
        hit_rate: sum(|it| it.cached) / prompt,
        wasted: sum(|it| it.wasted) / prompt,
        p99_ms: first[first.len() * 99 / 100],
    };
    println!("{policy}: {measure:?} of {plan:?}");
    measure
}

const SEEDS: [u64; 3] = [1, 2, 3];

const TELLINGS: [Telling; 2] = [Telling::Lossy, Telling::Wrong];

struct Case {
    name: &'static str,
    plan: Plan,
    from: usize,
    /// The least part of the oracle's hit rate.
    of_oracle: f64,
}

const ORACLE: &[Case] = &[
    Case { name: "steady", plan: PLAN, from: STEADY_S, of_oracle: 0.95 },
    Case {
        name: "steady, the other deployment",
        plan: Plan { engines: 18, requests_per_s: 1_200, seed: 3, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.95,
    },
    Case {
        name: "steady, callers name no levels",
        plan: Plan { levels: false, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.95,
    },
    Case {
        name: "events absent",
        plan: Plan { telling: Telling::Absent, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.9,
    },
    Case {
        name: "events late",
        plan: Plan { telling: Telling::Late, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.9,
    },
    Case {
        name: "events wrong",
        plan: Plan { telling: Telling::Wrong, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.9,
    },
    Case {
        name: "events wrong, callers name no levels",
        plan: Plan { telling: Telling::Wrong, levels: false, ..PLAN },
        from: STEADY_S,
        of_oracle: 0.9,
    },
    Case {
        name: "an engine crashed",
        plan: Plan { crash_s: Some(FAULT_S), ..PLAN },
        from: FAULT_S as usize + RECOVERY_S,
        of_oracle: 0.95,
    },
    Case {
        name: "the largest workspace has new handbooks",
        plan: Plan { shift_s: Some(FAULT_S), shifted: 1, ..PLAN },
        from: FAULT_S as usize + RECOVERY_S,
        of_oracle: 0.95,
    },
    Case {
        name: "all daemons restarted",
        plan: Plan { herd_s: Some(FAULT_S), ..PLAN },
        from: FAULT_S as usize,
        of_oracle: 0.95,
    },
];

/// All that is cached becomes useless in one moment, under full load.
const ALL_SHIFTED: Case = Case {
    name: "all workspaces have new handbooks",
    plan: Plan { shift_s: Some(FAULT_S), shifted: 8, ..PLAN },
    from: FAULT_S as usize + RECOVERY_S,
    of_oracle: 0.95,
};

fn check(case: &Case) {
    let own = measure(&case.plan, "prefix", case.from);
    let oracle = measure(&case.plan, "oracle", case.from);
    let part = own.hit_rate / oracle.hit_rate;
    println!("{}: {part:.4} of the oracle's", case.name);
    assert!(part >= case.of_oracle, "{}: {part:.4}", case.name);
    assert!(own.wasted <= 0.05, "{}: {:.3}", case.name, own.wasted);
}

#[test]
fn hit_rate_is_close_to_the_oracles() {
    for case in ORACLE {
        check(case);
    }
}

#[test]
fn recovers_when_all_prefixes_shift_at_once() {
    check(&ALL_SHIFTED);
}

/// Hit rates over a few seeds, since one run of many daemons is chance by a part in a thousand.
fn never_worse(levels: bool, telling: Telling) {
    let (mut own, mut alone) = (0.0, 0.0);
    for seed in SEEDS {
        let plan = Plan { seed, telling, levels, ..PLAN };
        own += measure(&plan, "prefix", STEADY_S).hit_rate;
        alone += measure(&plan, "rendezvous", STEADY_S).hit_rate;
    }
    assert!(own >= alone, "{telling:?}: {own:.4} below {alone:.4}");
}

#[test]
fn never_worse_than_rendezvous_alone() {
    for telling in TELLINGS {
        never_worse(true, telling);
    }
}

#[test]
fn never_worse_than_rendezvous_alone_without_levels() {
    for telling in TELLINGS {
        never_worse(false, telling);
    }
}

#[test]
fn better_than_every_baseline() {
    let own = measure(&PLAN, "prefix", STEADY_S);
    for policy in ["random", "least_load", "session_hash"] {
        let baseline = measure(&PLAN, policy, STEADY_S);
        assert!(own.hit_rate > baseline.hit_rate, "{policy}");
        assert!(own.p99_ms < baseline.p99_ms, "{policy}");
    }
}
