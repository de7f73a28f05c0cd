//! What leases and orders cost a daemon, by the number of engines.
//!
//! A daemon decides twice a second: look at `view` for that, and at `tick` for each answer that
//! comes in between.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tealturn::{
    control::{
        core::Core,
        event::{Event, Outcome, Scope, View},
        lease::Holder,
        plan::{Engine, Need},
    },
    kernel::{
        clock::Time,
        id::{Incarnation, Model, Upstream, Version},
    },
    platform::table,
    upstream::wire::Weights,
};

const MODELS: usize = 13;

struct Size {
    engines: usize,
    daemons: usize,
}

const SIZES: &[Size] = &[
    Size { engines: 18, daemons: 7 },
    Size { engines: 100, daemons: 7 },
    Size { engines: 1_000, daemons: 35 },
    Size { engines: 11_000, daemons: 350 },
];

fn weights(number: usize) -> Weights {
    Weights {
        model: Model::from(format!("model-{}", number % MODELS).as_str()),
        version: Version(1),
        adapters: Vec::new(),
    }
}

fn view(size: &Size) -> View {
    let engine = |number: usize| Engine {
        name: Upstream::from(format!("runner-{number}").as_str()),
        address: ([10, 0, 0, 1], 7_000).into(),
        model: weights(number).model,
        fenced: true,
        open: true,
        loaded: vec![weights(number)],
    };
    let need = |number| Need { weights: weights(number), replicas: 0 };
    View {
        engines: (0..size.engines).map(engine).collect(),
        daemons: size.daemons,
        needs: (0..MODELS).map(need).collect(),
    }
}

/// A daemon that holds its share of the leases.
fn holder(size: &Size) -> (Core, Time) {
    let me = Holder { daemon: "daemon-1".into(), incarnation: Incarnation(1) };
    let now = Time::from_millis(1_000);
    let mut core = Core::new(me, 2);
    core.step(now, 1, Event::View(view(size)));
    let rows = Some(Vec::new());
    let scope = Scope::All;
    let outcomes = core.step(now, 1, Event::Scanned { scope, rows });
    let mut version = 0;
    for outcome in outcomes {
        let Outcome::Write { name, .. } = outcome else {
            continue;
        };
        version += 1;
        let result = Ok(table::Outcome::Committed { version });
        core.step(now, 1, Event::Written { name, result });
    }
    (core, now)
}

fn control(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("control");
    group.measurement_time(Duration::from_secs(2));
    group.warm_up_time(Duration::from_millis(500));
    group.sample_size(20);
    for size in SIZES {
        let (mut core, now) = holder(size);
        group.bench_function(BenchmarkId::new("tick", size.engines), |bencher| {
            bencher.iter(|| black_box(core.step(now, 1, Event::Tick)));
        });
        let known = view(size);
        group.bench_function(BenchmarkId::new("view", size.engines), |bencher| {
            bencher.iter(|| black_box(core.step(now, 1, Event::View(known.clone()))));
        });
        let mut changed = [known.clone(), known];
        changed[1].engines[0].open = false;
        let mut turn = 0;
        group.bench_function(BenchmarkId::new("engine_changes", size.engines), |bencher| {
            bencher.iter(|| {
                turn = 1 - turn;
                black_box(core.step(now, 1, Event::View(changed[turn].clone())))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, control);
criterion_main!(benches);
