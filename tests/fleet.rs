//! Randomised runs of 3 to 7 daemons in virtual time: crashes, herds, cuts in one direction and
//! in both, pauses, clock drift, a table that is down, slow or loses answers, racing operators.
//!
//! `TEALTURN_SCHEDULES=N` runs N schedules, `TEALTURN_SEED=S` only one.

#[path = "fake/table.rs"]
mod table;
#[path = "fake/world.rs"]
mod world;

use std::{
    collections::BTreeMap,
    env, panic,
    sync::atomic::{AtomicU64, Ordering},
    thread,
    time::Duration,
};

use rand::RngExt;
use tealturn::{
    catalog::{
        Limits, Target, Template,
        change::{Applied, Change, Edit, Entry, Id, Verdict},
        store::{self, LOG},
    },
    fleet::{
        board::{Fact, Key, Value},
        budget::{BYTES_PER_SECOND, MAX_AHEAD_BYTES, MAX_SAVED_BYTES},
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Revision, Version},
    },
};
use world::World;

const SCHEDULES: u64 = 1_000;
const THREADS: u64 = 4;
const FAULTS: Duration = Duration::from_secs(40);

/// An accepted change must be in force everywhere after this time.
const IN_FORCE: Duration = Duration::from_secs(3);

/// A daemon or upstream that leaves must be known everywhere after this time.
const LEFT: Duration = Duration::from_secs(3);

/// What the checks have seen so far.
#[derive(Default)]
struct Witness {
    /// By daemon and run.
    revisions: BTreeMap<(usize, Incarnation), Revision>,
    /// By the daemon that knows it and its run, and the daemon or upstream that leaves.
    left: BTreeMap<(usize, Incarnation, String), Incarnation>,
}

impl Witness {
    fn check(&mut self, world: &World) {
        for (node, run) in world.runs() {
            let own = run.core.own().incarnation;
            let Some(revision) = run.keeper.revision() else {
                continue;
            };
            let last = self.revisions.insert((node, own), revision);
            assert!(last <= Some(revision), "daemon {node} reverted from {last:?} to {revision}");
        }
    }

    fn check_left(&mut self, world: &World) {
        for (node, run) in world.runs() {
            let own = run.core.own().incarnation;
            let local = run.local(world.now);
            for member in run.core.roster().live(local) {
                let name = member.daemon.to_string();
                self.leaves(node, own, name, member.incarnation, member.leaving);
            }
            for fact in run.board.facts(|it| matches!(it, Key::Upstream(_))) {
                let (Key::Upstream(name), Value::Upstream { incarnation, leaving }) =
                    (fact.key, fact.value)
                else {
                    continue;
                };
                self.leaves(node, own, name.to_string(), incarnation, leaving);
            }
        }
    }

    fn leaves(&mut self, node: usize, own: Incarnation, name: String, run: Incarnation, is: bool) {
        let key = (node, own, name);
        let seen = self.left.get(&key).copied();
        if is {
            self.left.insert(key, run);
            return;
        }
        assert!(seen < Some(run), "{key:?} returned from leaving to live: {seen:?} {run}");
    }
}

fn template(name: u64, version: u64) -> Edit {
    let name = format!("template-{name}");
    Edit::PutTemplate(Template {
        name: name.as_str().into(),
        target: Target::Model {
            model: name.as_str().into(),
            adapter: None,
            version: Version(version),
            billable: false,
        },
        limits: Limits { priority: 1, concurrency: 8, tokens_per_second: 1_000 },
        replicas: 0,
    })
}

/// One fault or one deed of an operator.
fn disturb(world: &mut World) {
    let nodes = world.nodes.len();
    let node = world.rng.random_range(0..nodes);
    let other = world.rng.random_range(0..nodes);
    match world.rng.random_range(0..16) {
        0 => world.stop(node),
        1 | 2 if world.nodes[node].run.is_none() => world.start(node),
        3 => {
            for node in 0..nodes {
                world.stop(node);
                world.start(node);
            }
        }
        4 | 5 => drop(world.cuts.insert((node, other))),
        6 => {
            let half = nodes / 2;
            for (a, b) in (0..half).flat_map(|a| (half..nodes).map(move |b| (a, b))) {
                world.cuts.extend([(a, b), (b, a)]);
            }
        }
        7 => world.cuts.clear(),
        8 => {
            let pause = world.rng.random_range(1..60_000);
            world.nodes[node].paused = world.now + Duration::from_millis(pause);
        }
        9 => world.table_is_up(false),
        10 => {
            world.table_is_up(true);
            world.table_loss = [0.0, 0.3, 1.0][world.rng.random_range(0..3)];
            world.table_delay =
                Duration::from_millis([3, 500, 5_000][world.rng.random_range(0..3)]);
        }
        11 => world.loss = [0.0, 0.1, 0.5][world.rng.random_range(0..3)],
        12 => {
            if let Some(run) = &world.nodes[node].run {
                let name = format!("engine-{}", world.rng.random_range(0..6));
                let fact = Fact {
                    key: Key::Upstream(name.as_str().into()),
                    value: Value::Upstream {
                        incarnation: Incarnation(world.rng.random_range(1..4)),
                        leaving: world.rng.random_bool(0.7),
                    },
                };
                run.board.publish(&fact);
                world.push(node);
            }
        }
        13 if world.rng.random_bool(0.3) => {
            if let Some(run) = &mut world.nodes[node].run {
                run.core.leave();
                world.push(node);
            }
        }
        _ => operate(world, node),
    }
}

/// An operator changes something on a revision that some daemon showed, or asks again after an
/// unknown end.
fn operate(world: &mut World, node: usize) {
    let again = world.verdicts.iter().rev().find_map(|(change, verdict)| match verdict {
        Verdict::Unavailable(it) if it.applied == Applied::Unknown => Some(change.clone()),
        _ => None,
    });
    if let (Some(change), true) = (again, world.rng.random_bool(0.5)) {
        return world.change(node, change);
    }
    let shown = world.runs().filter_map(|(_, it)| it.keeper.revision()).max();
    let mut edits = vec![template(world.rng.random_range(0..4), world.rng.random_range(1..100))];
    if world.rng.random_bool(0.2) {
        edits.push(template(9, world.rng.random_range(1..100)));
    }
    let change = Change { id: Id(world.rng.random()), base: shown.unwrap_or_default(), edits };
    // Two operators race now and then.
    if world.rng.random_bool(0.3) {
        let rival = Change { id: Id(world.rng.random()), ..change.clone() };
        let other = world.rng.random_range(0..world.nodes.len());
        world.change(other, rival);
    }
    world.change(node, change);
}

fn heal(world: &mut World) {
    world.cuts.clear();
    world.loss = 0.0;
    world.table_loss = 0.0;
    world.table_delay = Duration::from_millis(3);
    world.table_is_up(true);
    for node in 0..world.nodes.len() {
        world.nodes[node].paused = world.now;
        if world.nodes[node].run.is_none() {
            world.start(node);
        }
    }
}

fn schedule(seed: u64) {
    let mut world = World::new(seed, 0);
    let nodes = world.rng.random_range(3..=7);
    let mut world = World::new(seed, nodes);
    let mut witness = Witness::default();
    for node in 0..nodes {
        world.start(node);
    }
    let end = world.now + FAULTS;
    while world.now < end {
        let until = world.now + Duration::from_millis(world.rng.random_range(1..1_500));
        world.run(until, &mut |it| witness.check(it));
        witness.check_left(&world);
        disturb(&mut world);
    }
    heal(&mut world);
    // What was under way has ended; now one more change, and a fact.
    let until = world.now + Duration::from_secs(8);
    world.run(until, &mut |it| witness.check(it));
    let base = world.runs().filter_map(|(_, it)| it.keeper.revision()).max();
    let last = Change { id: Id(1), base: base.unwrap_or_default(), edits: vec![template(5, 1)] };
    world.change(0, last);
    let fact = Fact {
        key: Key::Upstream("engine-last".into()),
        value: Value::Upstream { incarnation: Incarnation(1), leaving: true },
    };
    if let Some(run) = &world.nodes[nodes - 1].run {
        run.board.publish(&fact);
    }
    world.push(nodes - 1);
    let until = world.now + IN_FORCE.max(LEFT);
    world.run(until, &mut |it| witness.check(it));
    witness.check_left(&world);
    check_force(&world, &fact);
    check_verdicts(&world);
    check_members(&world);
    check_bytes(&world);
}

fn check_force(world: &World, fact: &Fact) {
    let log = log(world);
    let accepted = log.last_key_value().map(|(revision, _)| *revision);
    let last = log.last_key_value().map(|(_, it)| it.change);
    assert_eq!(last, Some(Id(1)), "the last change was not accepted");
    let mut shown = Vec::new();
    for (node, run) in world.runs() {
        let own = run.keeper.revision();
        assert_eq!(own, accepted, "daemon {node} is behind after {IN_FORCE:?}");
        assert_eq!(run.board.get(&fact.key), Some(fact.value), "daemon {node}: a fact is missing");
        shown.push(run.keeper.catalog());
    }
    assert!(shown.windows(2).all(|it| it[0] == it[1]), "one revision, two configurations");
}

/// The accepted changes, which follow each other.
fn log(world: &World) -> BTreeMap<Revision, Entry> {
    let rows = world.table.rows().into_iter().filter(|it| it.key.starts_with(LOG));
    let entries = rows.map(|it| store::decode::<Entry>(&it).expect("a good row"));
    let log: BTreeMap<_, _> = entries.map(|it| (it.revision, it)).collect();
    let count = log.len() as u64;
    let last = log.last_key_value().map_or(0, |(revision, _)| revision.0);
    assert_eq!(last, count, "revisions are missing");
    log
}

fn check_verdicts(world: &World) {
    let log = log(world);
    for (change, verdict) in &world.verdicts {
        let applied = log.values().filter(|it| it.change == change.id);
        let applied: Vec<_> = applied.map(|it| it.revision).collect();
        assert!(applied.len() <= 1, "{change:?} was applied twice: {applied:?}");
        match verdict {
            Verdict::Accepted(it) => assert_eq!(applied, [it.revision], "{change:?}"),
            Verdict::Unavailable(it) if it.applied == Applied::Unknown => {}
            // Sent before under its name, it may have been applied then.
            Verdict::Unavailable(_) if is_repeated(world, change) => {}
            _ => assert!(applied.is_empty(), "{verdict:?} although applied: {change:?}"),
        }
        if let [revision] = applied[..] {
            assert_eq!(revision.0, change.base.0 + 1, "accepted on another base: {change:?}");
        }
    }
}

fn is_repeated(world: &World, change: &Change) -> bool {
    let sent = world.verdicts.iter().filter(|(it, _)| it.id == change.id);
    sent.count() > 1
}

fn check_members(world: &World) {
    let up: Vec<_> = world.runs().map(|(_, it)| it.core.own().clone()).collect();
    for (node, run) in world.runs() {
        let local = run.local(world.now);
        let live: Vec<_> = run.core.roster().live(local).collect();
        for member in &up {
            let known = member == run.core.own() || live.contains(&member);
            assert!(known, "daemon {node} does not know {member:?}");
        }
        assert_eq!(live.len() + 1, up.len(), "daemon {node} lists dead daemons");
    }
}

fn check_bytes(world: &World) {
    for (node, run) in world.runs() {
        let time = run.local(world.now).since(Time(0)).as_secs() as i64 + 1;
        let most = BYTES_PER_SECOND * time + MAX_SAVED_BYTES + MAX_AHEAD_BYTES;
        let sent = run.sent_bytes as i64;
        assert!(sent <= most, "daemon {node} sent {sent} bytes in {time} s, at most {most}");
    }
}

#[test]
fn random_schedules() {
    if let Ok(seed) = env::var("TEALTURN_SEED") {
        return schedule(seed.parse().expect("a number"));
    }
    let count =
        env::var("TEALTURN_SCHEDULES").map_or(SCHEDULES, |it| it.parse().expect("a number"));
    let next = AtomicU64::new(0);
    let failed = AtomicU64::new(0);
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= count || failed.load(Ordering::Relaxed) > 0 {
                        return;
                    }
                    if panic::catch_unwind(|| schedule(seed)).is_err() {
                        failed.fetch_add(1, Ordering::Relaxed);
                        eprintln!("repeat: TEALTURN_SEED={seed} cargo test --locked --test fleet random_schedules");
                    }
                }
            });
        }
    });
    assert_eq!(failed.into_inner(), 0, "schedules failed, see above");
}
