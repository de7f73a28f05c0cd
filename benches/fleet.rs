//! What the fleet costs a daemon, against the number of daemons, upstreams and workspaces.
//!
//! The first table runs cores in virtual time: payload bytes sent a second, processor time a
//! second (of the cores, the codec and this harness), and the longest times until a change is in
//! force, a leaving upstream known and a dead daemon noticed everywhere. The second runs real
//! connections in one process. The third gives the memory of a configuration and of full boards.
//!
//! `cargo bench --bench fleet`

#[path = "../tests/fake/node.rs"]
mod node;
#[path = "../tests/fake/table.rs"]
mod table;
#[path = "../tests/fake/world.rs"]
mod world;

use std::{
    fs,
    sync::Arc,
    time::{Duration, Instant},
};

use metrics_exporter_prometheus::PrometheusBuilder;
use node::{Node, Spec};
use table::Memory;
use tealturn::{
    catalog::{
        Catalog, Credential, Instance, Limits, Snapshot, Target, Template,
        change::{Change, Edit, Id},
    },
    fleet::board::{Board, Fact, Key, Value},
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Revision, Version},
    },
};
use world::World;

/// Daemons that serve one workspace.
const SPREAD: usize = 8;

const MEASURED: Duration = Duration::from_secs(60);
const CHANGE_INTERVAL: Duration = Duration::from_secs(13);

struct Size {
    daemons: usize,
    upstreams: usize,
    workspaces: usize,
}

const SIZES: &[Size] = &[
    Size::new(7, 10, 8),
    Size::new(7, 1_000, 8),
    Size::new(7, 11_000, 8),
    Size::new(7, 100, 100),
    Size::new(7, 100, 1_000),
    Size::new(20, 600, 60),
    Size::new(50, 1_600, 150),
    Size::new(100, 3_200, 300),
    Size::new(350, 11_000, 1_000),
];

impl Size {
    const fn new(daemons: usize, upstreams: usize, workspaces: usize) -> Size {
        Size { daemons, upstreams, workspaces }
    }
}

fn main() {
    memory();
    println!(
        "daemons upstreams workspaces sent_B/s cpu_us/s in_force_ms leaving_ms dead_ms joined_95_ms known_%"
    );
    for size in SIZES {
        simulate(size);
    }
    real();
}

fn simulate(size: &Size) {
    let mut world = World::new(1, size.daemons);
    for node in 0..size.daemons {
        world.start(node);
    }
    let joined = until(&mut world, |world, node, local| {
        let run = world.nodes[node].run.as_ref().expect("it is up");
        (run.core.roster().live(local).count() + 1) * 100 >= size.daemons * 95
    });
    for (node, run) in world.runs() {
        // Each daemon polls a part of the upstreams and tells of the runs that it saw.
        for place in (node..size.upstreams).step_by(size.daemons) {
            run.board.publish(&upstream(place, false));
        }
    }
    world.pass(30_000);
    let before: usize = world.runs().map(|(_, it)| it.sent_bytes).sum();
    let (start, mut changes) = (Instant::now(), 0);
    let mut since_change = Duration::ZERO;
    let begin = world.now;
    while world.now.since(begin) < MEASURED {
        report(&world, size, world.now.since(begin).as_secs());
        if since_change >= CHANGE_INTERVAL {
            since_change = Duration::ZERO;
            changes += 1;
            change(&mut world, changes);
        }
        world.pass(1_000);
        since_change += Duration::from_secs(1);
    }
    let spent = start.elapsed();
    let after: usize = world.runs().map(|(_, it)| it.sent_bytes).sum();
    let daemon_seconds = (MEASURED.as_secs() * size.daemons as u64) as f64;
    let known = known(&world);
    world.pass(5_000);
    change(&mut world, changes + 1);
    let in_force = until(&mut world, |world, node, _| {
        let run = world.nodes[node].run.as_ref().expect("it is up");
        run.keeper.revision() == Some(Revision(changes as u64 + 1))
    });
    let fact = upstream(usize::MAX, true);
    world.nodes[0].run.as_ref().expect("it is up").board.publish(&fact);
    world.push(0);
    let leaving = until(&mut world, |world, node, _| {
        let run = world.nodes[node].run.as_ref().expect("it is up");
        run.board.get(&fact.key) == Some(fact.value)
    });
    world.stop(1);
    let dead = until(&mut world, |world, node, local| {
        let Some(run) = &world.nodes[node].run else {
            return true;
        };
        run.core.roster().live(local).all(|it| it.daemon.as_str() != "daemon-1")
    });
    println!(
        "{:7} {:9} {:10} {:8.0} {:8.0} {:11} {:10} {:7} {:12} {:7.1}",
        size.daemons,
        size.upstreams,
        size.workspaces,
        (after - before) as f64 / daemon_seconds,
        spent.as_micros() as f64 / daemon_seconds,
        in_force,
        leaving,
        dead,
        joined,
        known,
    );
}

/// The share of live daemons that a daemon takes for live, in percent.
fn known(world: &World) -> f64 {
    let (mut sum, mut count) = (0, 0);
    for (_, run) in world.runs() {
        sum += run.core.roster().live(run.local(world.now)).count();
        count += world.nodes.len() - 1;
    }
    sum as f64 * 100.0 / count as f64
}

/// Runs until all daemons do, and gives the milliseconds that it took.
fn until(world: &mut World, wanted: impl Fn(&World, usize, Time) -> bool) -> u128 {
    let begin = world.now;
    while world.now.since(begin) < Duration::from_secs(180) {
        let mut nodes = 0..world.nodes.len();
        if nodes.all(|node| wanted(world, node, world.local(node))) {
            break;
        }
        world.pass(10);
    }
    world.now.since(begin).as_millis()
}

fn report(world: &World, size: &Size, second: u64) {
    for (node, run) in world.runs() {
        let daemon = Daemon::from(format!("daemon-{node}").as_str());
        let served = (size.workspaces * SPREAD.min(size.daemons)).div_ceil(size.daemons);
        for place in 0..served {
            let workspace = (node * 7 + place * 31) % size.workspaces;
            run.board.publish(&Fact {
                key: Key::Demand(daemon.clone(), format!("workspace-{workspace}").as_str().into()),
                value: Value::Demand {
                    report: u128::from(second + 1),
                    requests: 3,
                    tokens_per_second: 1_000,
                },
            });
        }
    }
}

fn upstream(place: usize, leaving: bool) -> Fact {
    Fact {
        key: Key::Upstream(format!("engine-{place}").as_str().into()),
        value: Value::Upstream { incarnation: Incarnation(1), leaving },
    }
}

fn change(world: &mut World, number: usize) {
    let change = Change {
        id: Id(number as u128),
        base: Revision(number as u64 - 1),
        edits: vec![Edit::PutTemplate(template(number))],
    };
    world.change(0, change);
}

fn template(number: usize) -> Template {
    Template {
        name: format!("template-{number}").as_str().into(),
        target: Target::Model {
            model: format!("model-{number}").as_str().into(),
            adapter: None,
            version: Version(1),
            billable: false,
        },
        limits: Limits { priority: 1, concurrency: 8, tokens_per_second: 1_000 },
        replicas: 0,
    }
}

/// Daemons with real connections in this process, for ten seconds.
fn real() {
    println!("daemons sent_B/s_with_tarpc cpu_us/s");
    let handle = PrometheusBuilder::new().install_recorder().expect("the first recorder");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("a runtime");
    for daemons in [7, 20] {
        let mut nodes = Vec::new();
        let table = Arc::new(Memory::default());
        let mut seeds = Vec::new();
        for number in 0..daemons {
            let spec = Spec {
                name: format!("daemon-{number}").leak(),
                deployment: "bench",
                seeds: seeds.clone(),
                table: table.clone(),
            };
            let node = runtime.block_on(Node::start(spec, None));
            seeds = vec![node.context.bound_addrs.peer];
            nodes.push(node);
        }
        runtime.block_on(async { tokio::time::sleep(Duration::from_secs(10)).await });
        let (bytes, cpu) = (sent(&handle.render()), processor_micros());
        runtime.block_on(async { tokio::time::sleep(Duration::from_secs(10)).await });
        let (bytes, cpu) = (sent(&handle.render()) - bytes, processor_micros() - cpu);
        let daemon_seconds = 10.0 * daemons as f64;
        println!("{daemons:7} {:21.0} {:8.0}", bytes / daemon_seconds, cpu / daemon_seconds);
    }
}

fn sent(page: &str) -> f64 {
    let mut lines = page.lines();
    let line = lines.find(|it| it.starts_with("tealturn_peer_sent_bytes_total"));
    let value = line.and_then(|it| it.rsplit(' ').next());
    value.and_then(|it| it.parse().ok()).unwrap_or(0.0)
}

/// The processor time of this process so far; the kernel counts it in 10 ms.
fn processor_micros() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux");
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest.split_whitespace().map(|it| it.parse().unwrap_or(0.0)).collect();
    (fields[11] + fields[12]) * 10_000.0
}

fn memory() {
    println!("memory_of workspaces KiB");
    for workspaces in [8, 100, 1_000] {
        let copies = 20;
        let before = resident_kib();
        let kept: Vec<_> = (0..copies)
            .map(|_| {
                let catalog = catalog(workspaces);
                (Snapshot::new(&catalog), catalog)
            })
            .collect();
        let kib = (resident_kib() - before) / copies as f64;
        println!("configuration {workspaces:8} {kib:6.0}");
        drop(kept);
    }
    let before = resident_kib();
    let boards: Vec<Board> = (0..20).map(|_| full()).collect();
    println!("full_board {:11} {:6.0}", "", (resident_kib() - before) / boards.len() as f64);
}

fn full() -> Board {
    let board = Board::default();
    for place in 0..5_000 {
        board.publish(&upstream(place, true));
        board.publish(&Fact {
            key: Key::Suspect(place as u64),
            value: Value::Suspect { crashes: 1, barred: true, lifts: 0 },
        });
        board.publish(&Fact {
            key: Key::Demand("daemon".into(), format!("workspace-{place}").as_str().into()),
            value: Value::Demand { report: 1, requests: 1, tokens_per_second: 1 },
        });
    }
    board
}

/// Four templates a workspace in use, thirteen models in all, two credentials a workspace.
fn catalog(workspaces: usize) -> Catalog {
    let mut catalog = Catalog::default();
    for number in 0..13 {
        catalog.edit(&Edit::PutTemplate(template(number)));
    }
    for workspace in 0..workspaces {
        let name = format!("workspace-{workspace}");
        for place in 0..4 {
            catalog.edit(&Edit::PutInstance(Instance {
                workspace: name.as_str().into(),
                template: template((workspace + place) % 13).name,
                limits: None,
                version: None,
            }));
        }
        for place in 0..2 {
            catalog.edit(&Edit::PutCredential(Credential {
                digest: format!("{:064x}", workspace * 2 + place),
                workspace: name.as_str().into(),
            }));
        }
    }
    catalog
}

fn resident_kib() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split_whitespace().nth(1).and_then(|it| it.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4.0
}
