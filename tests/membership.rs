//! Who is taken for live: one-way cuts, halves, pauses, deaths, floods, wrong seeds; and that
//! facts end everywhere.

#[path = "fake/table.rs"]
mod table;
#[path = "fake/world.rs"]
mod world;

use std::time::Duration;

use tealturn::{
    catalog::{
        Credential,
        change::{Change, Edit, Id},
    },
    fleet::{
        board::{Board, Fact, Key, Post, Value},
        contact::{Contact, ISOLATION},
        fact::{DEMAND_LIFETIME, SUSPECT_LIFETIME},
        roster::SILENCE,
    },
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Revision},
    },
};
use world::World;

/// What a daemon may spend on control.
const BYTES_PER_SECOND: usize = 3_000;

fn live(world: &World, node: usize) -> Vec<String> {
    let local = world.local(node);
    let run = world.nodes[node].run.as_ref().expect("it is up");
    let live = run.core.roster().live(local).map(|it| it.daemon.to_string());
    let mut live: Vec<_> = live.collect();
    live.sort();
    live
}

fn others(nodes: impl IntoIterator<Item = usize>, own: usize) -> Vec<String> {
    let others = nodes.into_iter().filter(|it| *it != own);
    others.map(|it| format!("daemon-{it}")).collect()
}

struct Case {
    name: &'static str,
    disturb: fn(&mut World),
    millis: u64,
    /// Of the daemons, which take which for live.
    groups: &'static [&'static [usize]],
}

const CASES: &[Case] = &[
    Case { name: "nothing", disturb: |_| {}, millis: 60_000, groups: &[&[0, 1, 2, 3, 4, 5, 6]] },
    Case {
        name: "a cut in one direction",
        disturb: |it| it.cuts.extend([(0, 1), (3, 2)]),
        millis: 60_000,
        groups: &[&[0, 1, 2, 3, 4, 5, 6]],
    },
    Case {
        name: "half is cut off",
        disturb: |it| {
            for a in 0..3 {
                for b in 3..7 {
                    it.cuts.extend([(a, b), (b, a)]);
                }
            }
        },
        millis: 10_000,
        groups: &[&[0, 1, 2], &[3, 4, 5, 6]],
    },
    Case {
        name: "two died",
        disturb: |it| {
            it.stop(5);
            it.stop(6);
        },
        // All that was sent before has arrived, and is silent for long enough.
        millis: 5_000 + 1_000,
        groups: &[&[0, 1, 2, 3, 4]],
    },
    Case {
        name: "all restart",
        disturb: |it| {
            for node in 0..7 {
                it.stop(node);
                it.start(node);
            }
        },
        millis: 3_000,
        groups: &[&[0, 1, 2, 3, 4, 5, 6]],
    },
    Case {
        name: "one was paused for a minute",
        disturb: |it| {
            it.nodes[2].paused = it.now + Duration::from_secs(60);
            it.pass(60_000);
        },
        millis: 1_500,
        groups: &[&[0, 1, 2, 3, 4, 5, 6]],
    },
    Case {
        name: "half of the messages are lost or come twice",
        disturb: |it| it.loss = 0.3,
        millis: 60_000,
        groups: &[&[0, 1, 2, 3, 4, 5, 6]],
    },
];

#[test]
fn live_daemons_are_known() {
    assert_eq!(SILENCE, Duration::from_secs(5), "the cases wait for it");
    for (seed, case) in CASES.iter().enumerate() {
        let mut world = World::settled(seed as u64, 7);
        (case.disturb)(&mut world);
        world.pass(case.millis);
        for group in case.groups {
            for node in *group {
                let expected = others(group.iter().copied(), *node);
                assert_eq!(live(&world, *node), expected, "{}: daemon {node}", case.name);
            }
        }
    }
}

#[test]
fn a_paused_daemon_keeps_its_peers() {
    let mut world = World::settled(1, 7);
    world.nodes[2].paused = world.now + Duration::from_secs(60);
    // Up to its first steps after the pause.
    world.pass(60_150);
    assert_eq!(live(&world, 2), others(0..7, 2));
}

#[test]
fn a_flood_of_facts_stays_within_the_budget() {
    let mut world = World::settled(1, 7);
    let before: Vec<_> = world.runs().map(|(_, it)| it.sent_bytes).collect();
    let seconds = 60;
    for second in 0..seconds {
        for node in 0..7 {
            let run = world.nodes[node].run.as_ref().expect("it is up");
            for place in 0..100 {
                run.board.publish(&demand(node, place, second));
                run.board.publish(&suspect(second * 1_000 + node as u64 * 100 + place, 1));
            }
            for _ in 0..10 {
                world.push(node);
                world.pass(10);
            }
        }
        world.pass(300);
    }
    for (node, run) in world.runs() {
        let sent = run.sent_bytes - before[node];
        let most = BYTES_PER_SECOND * seconds as usize;
        assert!(sent <= most, "daemon {node} sent {sent} bytes in {seconds} s");
    }
}

/// Reads a second that the table takes.
const TABLE_READS: u64 = 2_000;

#[test]
fn a_herd_does_not_flood_the_table() {
    for daemons in [7, 350] {
        let mut world = World::new(1, daemons);
        world.start(0);
        for number in 0..40 {
            world.pass(1_000);
            world.change(0, credentials(number));
        }
        world.pass(1_000);
        for node in 0..daemons {
            world.stop(node);
            world.start(node);
        }
        for second in 0..7 {
            let before = world.table.calls();
            world.pass(1_000);
            let calls = world.table.calls() - before;
            assert!(calls <= TABLE_READS, "{daemons} daemons, second {second}: {calls} calls");
        }
        for (node, run) in world.runs() {
            assert_eq!(run.keeper.revision(), Some(Revision(40)), "daemon {node}");
        }
    }
}

/// 5,000 credentials in all, as 1,000 workspaces may have them.
fn credentials(number: u64) -> Change {
    let edit = |place: u64| {
        Edit::PutCredential(Credential {
            digest: format!("{:064x}", number * 125 + place),
            workspace: "notary".into(),
        })
    };
    Change {
        id: Id(u128::from(number) + 1),
        base: Revision(number),
        edits: (0..125).map(edit).collect(),
    }
}

fn demand(node: usize, workspace: u64, report: u64) -> Fact {
    let daemon = Daemon::from(format!("daemon-{node}").as_str());
    Fact {
        key: Key::Demand(daemon, format!("workspace-{workspace}").as_str().into()),
        value: Value::Demand { report: u128::from(report), requests: 1, tokens_per_second: 100 },
    }
}

fn suspect(fingerprint: u64, crashes: u8) -> Fact {
    Fact {
        key: Key::Suspect(fingerprint),
        value: Value::Suspect { crashes, barred: false, lifts: 0 },
    }
}

#[test]
fn facts_end_everywhere() {
    let (one, two) = (Board::default(), Board::default());
    let fact = suspect(1, 2);
    one.publish(&fact);
    let (mut now, step) = (Time(0), Duration::from_secs(1));
    // The two tell each other the fact again and again; that must not keep it for ever.
    while now.since(Time(0)) <= SUSPECT_LIFETIME + step {
        one.advance(now);
        two.advance(now);
        for (from, to) in [(&one, &two), (&two, &one)] {
            for post in from.outgoing(1_000, |_| 10) {
                to.receive(&post);
            }
        }
        now = now + step;
    }
    for board in [&one, &two] {
        assert_eq!(board.get(&fact.key), None);
    }
}

#[test]
fn the_board_is_bounded_and_keeps_the_newest() {
    let board = Board::default();
    for fingerprint in 0..10_000 {
        board.publish(&suspect(fingerprint, 1));
    }
    let facts = board.facts(|_| true);
    assert!(facts.len() <= 1_024, "{} facts", facts.len());
    assert!(board.get(&Key::Suspect(9_999)).is_some());
    assert!(board.get(&Key::Suspect(0)).is_none());
    let first = board.outgoing(10, |_| 10);
    assert_eq!(first[0].fact.key, Key::Suspect(9_999), "newest first");
    let old = Post { fact: demand(1, 1, 1), age_s: DEMAND_LIFETIME.as_secs() as u32 };
    assert!(!board.receive(&old), "one that has ended is no news");
    let mixed = Fact {
        key: Key::Suspect(1),
        value: Value::Upstream { incarnation: Incarnation(1), leaving: true },
    };
    assert!(!board.publish(&mixed), "a value of another kind than its key's");
}

#[test]
fn a_daemon_that_is_cut_off_takes_no_new_work() {
    let contact = Contact::default();
    contact.mark(Time::from_millis(1_000));
    let bound = Time::from_millis(1_000) + ISOLATION;
    assert!(!contact.is_lost(bound), "one that knows no other goes on");
    contact.meet();
    assert!(!contact.is_lost(bound - Duration::from_millis(1)));
    assert!(contact.is_lost(bound));
    contact.mark(bound);
    assert!(!contact.is_lost(bound));
}
