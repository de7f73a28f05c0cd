//! Leases and orders under faults drawn from seeds, with the invariants asserted at each step.
//!
//! `TEALTURN_SCHEDULES=N` runs N schedules of each mode, and `TEALTURN_SEED=S` only that of one
//! seed.

#[path = "control/world.rs"]
mod world;

use std::{
    env,
    panic::{self, AssertUnwindSafe},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use world::{Mode, World};

const SCHEDULES: u64 = 1_000;
const THREADS: usize = 4;

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

fn run(mode: Mode, test: &str) {
    if let Some(seed) = number("TEALTURN_SEED") {
        return World::new(seed, mode).run();
    }
    let schedules = number("TEALTURN_SCHEDULES").unwrap_or(SCHEDULES);
    let (next, loads) = (AtomicU64::new(0), AtomicU64::new(0));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= schedules {
                return;
            }
            let mut world = World::new(seed, mode);
            let outcome = panic::catch_unwind(AssertUnwindSafe(|| world.run()));
            if outcome.is_err() {
                eprintln!(
                    "repeat with: TEALTURN_SEED={seed} cargo test --locked --test control_random {test}"
                );
                next.store(schedules, Ordering::Relaxed);
                panic!("seed {seed} failed");
            }
            loads.fetch_add(world.loads, Ordering::Relaxed);
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let loads = loads.into_inner();
    assert!(loads > schedules, "only {loads} loads in {schedules} schedules");
}

#[test]
fn schedules_within_the_stated_bounds() {
    run(Mode::Bounded, "schedules_within_the_stated_bounds");
}

#[test]
fn schedules_with_orders_long_overdue() {
    run(Mode::Late, "schedules_with_orders_long_overdue");
}
