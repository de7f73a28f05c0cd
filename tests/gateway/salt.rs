use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use proptest::{collection, prelude::*};
use tealturn::{
    gateway::document::{Document, Limits, Parts, Tenant},
    kernel::id::{Model, Version, Workspace},
};

fn tenant(name: &str, isolated: bool) -> Tenant {
    Tenant { workspace: Workspace::from(name), priority: None, isolated, quota: None }
}

/// A document with these workspaces, each of which is isolated or not.
fn document(workspaces: &[(&str, bool)]) -> Document {
    let tenants = workspaces.iter().map(|(name, isolated)| (tenant(name, *isolated), Vec::new()));
    Document::new(Parts {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits { body_bytes: 1, header_bytes: 1, idle: Duration::from_secs(1) },
        tenants: Some(tenants.collect()),
    })
    .expect("a valid document")
}

fn salt(document: &Document, name: &str) -> String {
    let owner = document.cache_owner(Some(&tenant(name, false)));
    owner.salt(&Model::from("wiki"), Version(1))
}

/// Guards against a new salt, and with it cold caches, for workspaces that a change doesn't concern.
#[test]
fn only_a_change_of_the_isolated_workspaces_changes_the_salt_of_the_others() {
    struct Case {
        name: &'static str,
        before: &'static [(&'static str, bool)],
        after: &'static [(&'static str, bool)],
        keeps: bool,
    }
    for case in [
        Case {
            name: "a new workspace that shares",
            before: &[("a", false), ("x", true)],
            after: &[("a", false), ("b", false), ("x", true)],
            keeps: true,
        },
        Case {
            name: "a workspace that shared is gone",
            before: &[("a", false), ("b", false), ("x", true)],
            after: &[("a", false), ("x", true)],
            keeps: true,
        },
        Case {
            name: "another order",
            before: &[("a", false), ("x", true), ("y", true)],
            after: &[("y", true), ("x", true), ("a", false)],
            keeps: true,
        },
        Case {
            name: "one begins to be isolated",
            before: &[("a", false), ("b", false)],
            after: &[("a", false), ("b", true)],
            keeps: false,
        },
        Case {
            name: "another one is isolated",
            before: &[("a", false), ("x", true), ("y", false)],
            after: &[("a", false), ("x", false), ("y", true)],
            keeps: false,
        },
    ] {
        let (before, after) = (document(case.before), document(case.after));
        assert_eq!(salt(&before, "a") == salt(&after, "a"), case.keeps, "{}", case.name);
    }
}

/// Guards against two owners, models or versions with one salt, which would share cached prompts.
#[test]
fn different_owners_models_and_versions_never_have_the_same_salt() {
    let names = ["", "%", "%2E", ".", "2.x", "a", "a ", "a.b", "a%2Eb", "a\n", "\u{e9}"];
    let models = ["", "m", "m.1", "m.1.2", "m%2E1"];
    let isolated: Vec<_> = names.iter().map(|it| (*it, true)).collect();
    let documents = [
        document(&[]),
        document(&isolated),
        document(&[("a", true), ("b", true)]),
        document(&[("a.b", true)]),
        document(&[("a", true), ("b.", true)]),
    ];
    let mut salts = BTreeMap::new();
    for (index, document) in documents.iter().enumerate() {
        for name in names.iter().map(|it| Some(*it)).chain([None]) {
            let owner = document.cache_owner(name.map(|it| tenant(it, true)).as_ref());
            for model in models {
                for version in [1, 2, 12] {
                    // An isolated workspace has its own salt, whatever the document.
                    let identity = (name, name.is_none().then_some(index), model, version);
                    let salt = owner.salt(&Model::from(model), Version(version));
                    assert!(salt.bytes().all(|it| it > b' ' && it != 0x7f), "{salt:?}");
                    let other = salts.insert(salt.clone(), identity);
                    assert!(
                        other.is_none_or(|it| it == identity),
                        "{salt}: {identity:?} {other:?}"
                    );
                }
            }
        }
    }
}

/// What a configuration says of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Absent,
    Sharing,
    Isolated,
}

const WORKSPACES: [&str; 4] = ["a", "b", "c", "d"];

fn states() -> impl Strategy<Value = Vec<[State; WORKSPACES.len()]>> {
    let state = prop_oneof![
        1 => Just(State::Absent),
        2 => Just(State::Sharing),
        2 => Just(State::Isolated),
    ];
    collection::vec(prop::array::uniform4(state), 1..12)
}

fn listed(states: &[State; WORKSPACES.len()]) -> Vec<(&'static str, bool)> {
    let all = WORKSPACES.into_iter().zip(states);
    let present = all.filter(|(_, state)| **state != State::Absent);
    present.map(|(name, state)| (name, *state == State::Isolated)).collect()
}

proptest! {
    /// Guards against cached prompts that a workspace made while it shared, and others use while it is
    /// isolated, in whatever order configurations come and with daemons that are one behind.
    #[test]
    fn no_workspace_uses_cached_prompts_across_an_isolation(history in states()) {
        let mut makers: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
        let mut previous: Vec<(&str, bool)> = Vec::new();
        for states in &history {
            let current = listed(states);
            for workspaces in [&previous, &current] {
                let document = document(workspaces);
                for (name, _) in workspaces {
                    makers.entry(salt(&document, name)).or_default().insert(name);
                }
            }
            let document = document(&current);
            let is_isolated = |name: &str| current.contains(&(name, true));
            for (user, _) in &current {
                for maker in &makers[&salt(&document, user)] {
                    let is_walled = is_isolated(user) || is_isolated(maker);
                    prop_assert!(
                        maker == user || !is_walled,
                        "{user} uses prompts of {maker}: {current:?}"
                    );
                }
            }
            previous = current;
        }
    }
}
