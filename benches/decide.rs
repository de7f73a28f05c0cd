//! The cost and the memory of the decisions against the size of the deployment.

use std::{collections::VecDeque, fs, hint::black_box, sync::Arc, time::Duration};

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use tealturn::{
    admission::{Admission, Decision, Outcome, Ticket},
    catalog::Limits,
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Model, Request, Version, Workspace, Zone},
    },
    platform::vm,
    prefix::{BLOCK_BYTES, BLOCK_TOKENS, Chain, Hash, Owner},
    route::{self, Event, Policy, Query, pool::mix},
    upstream::{
        directory::{Directory, Upstream},
        wire::{Load, Role, State, Weights},
    },
};

const UPSTREAMS: [usize; 4] = [10, 100, 1_000, 11_000];
const WORKSPACES: [usize; 4] = [1, 10, 100, 1_000];

/// Distinct prompts that are asked for in turn.
const PROMPTS: usize = 10_000;

/// Blocks of a prompt, and where its levels end.
const BLOCKS: usize = 122;
const LEVELS: [usize; 3] = [80, 96, 120];

/// Requests a second of one daemon: 10,000 over 350.
const GAP: Duration = Duration::from_millis(35);

fn engine(place: usize) -> Arc<Upstream> {
    let weights = Weights { model: Model::from("m"), version: Version(1), adapters: Vec::new() };
    let load = Load {
        incarnation: Incarnation(1),
        age_ms: 100,
        running: 8,
        queued: 0,
        prefill_tokens: 200,
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
    Arc::new(Upstream {
        name: format!("engine-{place}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        role: vm::Role::Engine { model: "m".into(), fenced: true },
        incarnation: Incarnation(1),
        alive: true,
        leaving: false,
        since: Time::default(),
        load: Some(load),
        reported: Time::default(),
    })
}

fn owner(place: usize) -> Owner {
    Owner {
        workspace: format!("workspace-{place}").as_str().into(),
        model: "m".into(),
        adapter: None,
        version: Version(1),
    }
}

/// A prompt of one of two handbooks of its owner, with conventions and a file.
fn chain(owner: usize, prompt: usize) -> Chain {
    let mut key = mix(owner as u64);
    let mut hashes = Vec::new();
    let ids = [prompt % 2, prompt % 10, prompt % 120, prompt];
    for block in 0..BLOCKS {
        if let Some(level) = [0, LEVELS[0], LEVELS[1], LEVELS[2]].iter().position(|it| *it == block)
        {
            key = mix(key ^ mix(ids[level] as u64));
        }
        key = mix(key);
        hashes.push(Hash(key));
    }
    Chain(hashes)
}

/// A policy before a directory, with prompts to place in turn.
struct Bench {
    policy: Box<dyn Policy>,
    directory: Directory,
    owners: Vec<Owner>,
    chains: Vec<Chain>,
    zone: Zone,
    next: usize,
    now: Time,
}

impl Bench {
    fn new(policy: &str, upstreams: usize, workspaces: usize) -> Bench {
        let policy = route::policy(policy).expect("a policy");
        let chains = (0..PROMPTS).map(|it| chain(it % workspaces, it / workspaces));
        Bench {
            policy,
            directory: Directory::new((0..upstreams).map(engine).collect()),
            owners: (0..workspaces).map(owner).collect(),
            chains: chains.collect(),
            zone: "z".into(),
            next: 0,
            now: Time::from_millis(1),
        }
    }

    /// A policy that knows its prompts.
    fn warm(policy: &str, upstreams: usize, workspaces: usize) -> Bench {
        let mut bench = Bench::new(policy, upstreams, workspaces);
        for _ in 0..PROMPTS {
            bench.place(true);
        }
        bench
    }

    /// Chooses for the next prompt; tells the policy of its way if `observe` is set.
    fn place(&mut self, observe: bool) {
        self.next += 1;
        self.now = self.now + GAP;
        let place = self.next % PROMPTS;
        let request = Request(self.next as u128);
        let query = Query {
            request,
            owner: &self.owners[place % self.owners.len()],
            chain: &self.chains[place],
            levels: &LEVELS,
            prompt_tokens: (BLOCKS * BLOCK_TOKENS) as u64,
            avoid: &[],
            zone: &self.zone,
        };
        let random = mix(self.next as u64);
        let choice = self.policy.choose(&query, &self.directory, self.now, random);
        let choice = black_box(choice.expect("a choice"));
        if !observe {
            return;
        }
        let choice = &choice;
        self.policy.observe(&Event::Sent { query, choice }, self.now);
        let first =
            Event::FirstToken { request, incarnation: choice.incarnation, cached_tokens: None };
        self.policy.observe(&first, self.now);
        let cached_tokens = Some(choice.cached_tokens);
        let ended = Event::Ended { request, cached_tokens };
        self.policy.observe(&ended, self.now);
    }
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for policy in ["prefix", "rendezvous", "least_load"] {
        for upstreams in UPSTREAMS {
            let mut bench = Bench::warm(policy, upstreams, 8);
            let id = BenchmarkId::new(policy, format!("{upstreams} upstreams"));
            group.bench_function(id, |it| it.iter(|| bench.place(false)));
        }
    }
    for workspaces in WORKSPACES {
        let mut bench = Bench::warm("prefix", 1_000, workspaces);
        let id = BenchmarkId::new("prefix", format!("1000 upstreams, {workspaces} workspaces"));
        group.bench_function(id, |it| it.iter(|| bench.place(false)));
    }
    group.finish();
}

fn observe(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose_and_observe");
    for upstreams in UPSTREAMS {
        let mut bench = Bench::warm("prefix", upstreams, 8);
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |it| it.iter(|| bench.place(true)));
    }
    group.finish();
}

/// The once per directory that the first choice pays.
fn arrange(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("arrange");
    for upstreams in UPSTREAMS {
        let engines: Vec<_> = (0..upstreams).map(engine).collect();
        let owner = owner(0);
        let id = BenchmarkId::from_parameter(upstreams);
        group.bench_function(id, |it| {
            it.iter(|| Directory::new(engines.clone()).pool(&owner).map(|it| it.open_count()));
        });
    }
    group.finish();
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admission");
    for workspaces in WORKSPACES {
        let (mut own, names) = admitting(workspaces);
        let mut number = 1_u128 << 64;
        group.bench_function(BenchmarkId::new("offer_finish", workspaces), |it| {
            it.iter(|| {
                number += 1;
                let now = Time::from_millis(number as u64);
                own.offer(&ticket(number, &names[number as usize % workspaces], now), now);
                black_box(own.finish(Request(number), 100, now));
            });
        });
        let mut running = VecDeque::new();
        let (mut own, names) = admitting(workspaces);
        own.capacity(64);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("queue_full", workspaces), |it| {
            it.iter(|| {
                number += 1;
                let now = Time::from_millis(number as u64);
                let ticket = ticket(number, &names[number as usize % workspaces], now);
                if own.offer(&ticket, now) == Decision::Admitted {
                    running.push_back(ticket.request);
                }
                if running.len() < 64 {
                    return;
                }
                let Some(first) = running.pop_front() else {
                    return;
                };
                for outcome in own.finish(first, 100, now) {
                    if let Outcome::Admitted(request) = outcome {
                        running.push_back(request);
                    }
                }
            });
        });
    }
    group.finish();
}

fn admitting(workspaces: usize) -> (Admission, Vec<Workspace>) {
    let names = (0..workspaces).map(|it| owner(it).workspace).collect();
    (Admission::new(Daemon::from("d"), Incarnation(1)), names)
}

fn ticket(number: u128, workspace: &Workspace, now: Time) -> Ticket<'_> {
    Ticket {
        request: Request(number),
        workspace,
        limits: Limits { priority: 1, concurrency: 1_000_000, tokens_per_second: 1 << 40 },
        tokens: 100,
        deadline: now + Duration::from_secs(3_600),
        priority: 1,
    }
}

fn hash(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("hash");
    let salt = owner(0).salt();
    for kilobytes in [1, 32, 256] {
        let prompt = vec![b'x'; kilobytes * 1_024];
        assert!(prompt.len() >= BLOCK_BYTES);
        group.throughput(Throughput::Bytes(prompt.len() as u64));
        group.bench_function(BenchmarkId::new("chain_kb", kilobytes), |it| {
            it.iter(|| Chain::new(&salt, black_box(&prompt)));
        });
    }
    group.bench_function("salt", |it| {
        let owner = owner(0);
        it.iter(|| owner.salt());
    });
    group.finish();
}

/// Memory of this process in use, in KB.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Prints by how much the memory grows while a policy and an admission are filled. Nothing is
/// freed in between, so that nothing is reused.
fn memory(_: &mut Criterion) {
    let mut kept = Vec::new();
    for upstreams in UPSTREAMS {
        for workspaces in [1, 1_000] {
            let mut bench = Bench::new("prefix", upstreams, workspaces);
            let before = resident_kb();
            for _ in 0..20 * PROMPTS {
                bench.place(true);
            }
            let grown = resident_kb() - before;
            println!("memory: {upstreams} upstreams, {workspaces} workspaces: policy {grown} KB");
            kept.push(bench);
        }
    }
    let mut kept = Vec::new();
    for workspaces in WORKSPACES {
        let names: Vec<_> = (0..workspaces).map(|it| owner(it).workspace).collect();
        let before = resident_kb();
        let mut own = Admission::new(Daemon::from("d"), Incarnation(1));
        own.capacity(16);
        for number in 0..8_000_u128 {
            let name = &names[number as usize % workspaces];
            let now = Time::from_millis(1);
            own.offer(&ticket(number, name, now), now);
        }
        let (grown, waiting) = (resident_kb() - before, own.waiting());
        println!("memory: admission, {workspaces} workspaces, {waiting} waiting: {grown} KB");
        kept.push(own);
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700));
    targets = memory, choose, observe, arrange, admission, hash
}
criterion_main!(benches);
