//! Tests which upstreams a policy may choose, and how it estimates cache contents.

use std::{collections::BTreeMap, sync::Arc, thread, time::Duration};

use tealturn::{
    kernel::{
        clock::Time,
        id::{Adapter, Incarnation, Request, Upstream as Name, Version, Zone},
    },
    platform::vm,
    prefix::{BLOCK_TOKENS, Chain, Hash, Owner},
    route::{self, Choice, Event, Policy, Query, Registration, pool::mix, prefix::Placement},
    upstream::{
        directory::{Directory, Upstream},
        wire::{Load, Role, State, Weights},
    },
};

const BLOCKS: usize = 100;
const NOW: Time = Time::from_millis(100_000);

fn engine(index: usize) -> Upstream {
    let weights = Weights { model: "m".into(), version: Version(1), adapters: vec!["law".into()] };
    let load = Load {
        incarnation: Incarnation(1),
        age_ms: 0,
        running: 1,
        queued: 0,
        prefill_tokens: 0,
        batch: 16,
        prefill_rate: 100_000,
        leaving: false,
        state: State {
            incarnation: Incarnation(1),
            loaded: vec![weights],
            loading: Vec::new(),
            role: Role::Serve,
            fence: 0,
        },
    };
    Upstream {
        name: format!("e{index}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        role: vm::Role::Engine { model: "m".into(), fenced: true },
        incarnation: Incarnation(1),
        alive: true,
        leaving: false,
        since: Time::default(),
        load: Some(load),
        reported: NOW,
    }
}

fn load(it: &mut Upstream) -> &mut Load {
    it.load.as_mut().expect("a load")
}

fn directory(count: usize, change: impl Fn(usize, &mut Upstream)) -> Directory {
    let engines = (0..count).map(|index| {
        let mut engine = engine(index);
        change(index, &mut engine);
        Arc::new(engine)
    });
    Directory::new(engines.collect())
}

fn owner() -> Owner {
    Owner {
        workspace: "w".into(),
        model: "m".into(),
        adapter: Some(Adapter::from("law")),
        version: Version(1),
    }
}

fn chain(number: usize) -> Chain {
    let hash = |block| Hash(mix(mix(number as u64) ^ block));
    Chain((0..BLOCKS as u64).map(hash).collect())
}

/// Chooses an upstream for a prompt with one level. Reports the request as sent if `sent` is set.
fn choose(
    policy: &dyn Policy,
    directory: &Directory,
    number: usize,
    avoid: &[Name],
    now: Time,
    sent: bool,
) -> Option<Choice> {
    let (owner, chain, zone) = (owner(), chain(number), Zone::from("z"));
    let query = Query {
        request: Request(number as u128),
        owner: &owner,
        chain: &chain,
        levels: &[BLOCKS],
        prompt_tokens: (BLOCKS * BLOCK_TOKENS) as u64,
        avoid,
        zone: &zone,
    };
    let choice = policy.choose(&query, directory, now, mix(number as u64))?;
    if sent {
        let choice = &choice;
        policy.observe(&Event::Sent { query, choice }, now);
    }
    Some(choice)
}

struct Case {
    name: &'static str,
    /// Makes an engine ineligible.
    change: fn(&mut Upstream),
}

const INELIGIBLE: &[Case] = &[
    Case { name: "dead", change: |it| it.alive = false },
    Case { name: "leaving according to the VM list", change: |it| it.leaving = true },
    Case { name: "leaving according to its load report", change: |it| load(it).leaving = true },
    Case { name: "no load report yet", change: |it| it.load = None },
    Case {
        name: "load report from an earlier incarnation",
        change: |it| it.incarnation = Incarnation(2),
    },
    Case { name: "standby role", change: |it| load(it).state.role = Role::Standby },
    Case { name: "another model", change: |it| load(it).state.loaded[0].model = "n".into() },
    Case { name: "older weights", change: |it| load(it).state.loaded[0].version = Version(0) },
    Case { name: "newer weights", change: |it| load(it).state.loaded[0].version = Version(2) },
    Case {
        name: "weights still loading",
        change: |it| {
            let state = &mut load(it).state;
            state.loading = std::mem::take(&mut state.loaded);
        },
    },
    Case { name: "adapter not loaded", change: |it| load(it).state.loaded[0].adapters.clear() },
];

#[test]
fn policies_never_choose_ineligible_engines() {
    for registration in inventory::iter::<Registration> {
        for case in INELIGIBLE {
            for count in [2, 12, 200] {
                let policy = (registration.make)();
                let some = directory(count, |index, it| {
                    if index != count - 1 {
                        (case.change)(it);
                    }
                });
                for number in 0..50 {
                    let choice = choose(&*policy, &some, number, &[], NOW, true);
                    let name = choice.map(|it| it.upstream);
                    let only = Name::from(format!("e{}", count - 1).as_str());
                    let context = (registration.name, case.name, count);
                    assert_eq!(name, Some(only), "{context:?}");
                }
                let none = directory(count, |_, it| (case.change)(it));
                let choice = choose(&*policy, &none, 1, &[], NOW, false);
                assert_eq!(choice, None, "{} {}", registration.name, case.name);
            }
        }
    }
}

#[test]
fn policies_never_choose_excluded_upstreams() {
    let all = directory(3, |_, _| {});
    let avoid = ["e0".into(), "e2".into()];
    for registration in inventory::iter::<Registration> {
        let policy = (registration.make)();
        for number in 0..100 {
            let choice = choose(&*policy, &all, number, &avoid, NOW, true);
            let name = choice.map(|it| it.upstream);
            assert_eq!(name, Some("e1".into()), "{}", registration.name);
        }
    }
}

/// Returns the engine that a daemon without any state chooses for each prompt.
fn homes(directory: &Directory, prompts: usize) -> Vec<Name> {
    let policy = Placement::new(true);
    let choice = |number| choose(&policy, directory, number, &[], NOW, false);
    let homes = (0..prompts).map(choice);
    homes.map(|it| it.expect("a choice").upstream).collect()
}

/// Counts the prompts that moved although their home was not the removed engine.
fn count_moved(before: &[Name], after: &[Name], removed_index: usize) -> usize {
    let removed_name = Name::from(format!("e{removed_index}").as_str());
    assert!(!after.contains(&removed_name));
    let pairs = before.iter().zip(after);
    let moved = pairs.filter(|(before, after)| before != after && **before != removed_name);
    moved.count()
}

#[test]
fn homes_agree_between_daemons_and_move_rarely() {
    for count in [12, 1_000] {
        let prompts = 20 * count;
        let before = homes(&directory(count, |_, _| {}), prompts);
        assert_eq!(before, homes(&directory(count, |_, _| {}), prompts));
        let most = prompts / count;
        // In a large pool, removing a member moves a few prompts at each branch of the tree.
        let branches = if count < 64 { 0 } else { count.ilog2() as usize };
        for removed_index in 0..6 {
            let dead =
                homes(&directory(count, |index, it| it.alive = index != removed_index), prompts);
            assert!(count_moved(&before, &dead, removed_index) <= most, "{count}");
            let engines =
                (0..count).filter(|it| *it != removed_index).map(|it| Arc::new(engine(it)));
            let removed = homes(&Directory::new(engines.collect()), prompts);
            assert!(count_moved(&before, &removed, removed_index) <= most * branches, "{count}");
        }
        let mut counts = BTreeMap::new();
        for home in before {
            *counts.entry(home).or_insert(0) += 1;
        }
        let most = counts.values().max().copied().unwrap_or(0);
        assert!(most <= 60, "{most} prompts at one of {count} engines, 20 on average");
    }
}

#[test]
fn restarted_engine_has_no_cached_tokens() {
    let policy = Placement::new(true);
    let all = directory(1, |_, _| {});
    let first = choose(&policy, &all, 1, &[], NOW, true).expect("a choice");
    let ended = Event::Ended { request: Request(1), cached_tokens: Some(0) };
    let first_token = Event::FirstToken {
        request: Request(1),
        incarnation: first.incarnation,
        cached_tokens: None,
    };
    policy.observe(&first_token, NOW);
    policy.observe(&ended, NOW);
    let again = choose(&policy, &all, 1, &[], NOW, false).expect("a choice");
    assert_eq!(again.cached_tokens, (BLOCKS * BLOCK_TOKENS) as u64);
    let restarted = directory(1, |_, it| {
        it.incarnation = Incarnation(2);
        load(it).incarnation = Incarnation(2);
    });
    let after = choose(&policy, &restarted, 1, &[], NOW, false).expect("a choice");
    assert_eq!(after.cached_tokens, 0);
}

#[test]
fn expected_cache_hits_decay_with_age() {
    let policy = Placement::new(true);
    let all = directory(1, |_, _| {});
    choose(&policy, &all, 1, &[], NOW, true);
    let at = |millis| NOW + Duration::from_millis(millis);
    let fresh = choose(&policy, &all, 1, &[], at(100), false).expect("a choice");
    let old = choose(&policy, &all, 1, &[], at(60_000), false).expect("a choice");
    assert!(old.cached_tokens < fresh.cached_tokens);
}

#[test]
fn idle_engine_does_not_attract_all_requests() {
    let policy = Placement::new(true);
    let all = directory(12, |index, it| load(it).running = if index == 5 { 0 } else { 12 });
    let mut at_idle = 0;
    for number in 0..1_000 {
        let choice = choose(&policy, &all, number, &[], NOW, true).expect("a choice");
        at_idle += usize::from(choice.upstream.as_str() == "e5");
    }
    assert!(at_idle <= 500, "{at_idle} of 1,000 requests at the idle engine");
}

#[test]
fn prefix_table_size_is_bounded() {
    let policy = Placement::new(true);
    let all = directory(12, |_, _| {});
    let mut most = 0;
    for number in 0..100_000 {
        choose(&policy, &all, number, &[], NOW, true);
        most = most.max(policy.tracked_prefixes() * usize::from(number % 1_000 == 0));
    }
    assert!(most <= 32_768, "{most} prefixes in the table");
}

#[test]
fn policy_can_be_shared_between_threads() {
    let policy = route::policy("prefix").expect("a policy");
    let all = directory(12, |_, _| {});
    thread::scope(|scope| {
        for part in 0..8 {
            let (policy, all) = (&*policy, &all);
            scope.spawn(move || {
                for number in 0..2_000 {
                    choose(policy, all, part * 10_000 + number % 100, &[], NOW, true);
                }
            });
        }
    });
}
