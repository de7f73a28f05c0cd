//! Quotas of workspaces in random fleets, under random cuts, kills and restarts.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::quota_scene::{Callers, Scene};

/// Guards against combinations of faults that no other test names.
#[test]
fn random_faults_do_not_break_quotas() {
    for seed in 1..=40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let daemons = rng.random_range(1..40);
        let mut scene = Scene::new(daemons, seed);
        for _ in 0..20 {
            let index = rng.random_range(0..daemons);
            match rng.random_range(0..9) {
                0 => scene.fleet.kill(index),
                1 | 2 if scene.fleet.try_context(index).is_none() => scene.fleet.start(index),
                3 => scene.fleet.cut(index, true),
                4 => scene.fleet.cut(index, false),
                5 => (0..index).for_each(|it| scene.fleet.separate(it, 1)),
                6 => (0..daemons).for_each(|it| scene.fleet.separate(it, 0)),
                7 => scene.freeze(index, true),
                _ => (0..daemons).for_each(|it| scene.freeze(it, false)),
            }
            scene.callers = match rng.random_range(0..4) {
                0 => Callers::Nobody,
                1 => Callers::At(rng.random_range(0..daemons)),
                2 => Callers::Moving,
                _ => Callers::Everywhere,
            };
            scene.load = rng.random_range(0.5..8.0);
            scene.run(Duration::from_millis(rng.random_range(100..4_000)));
        }
        scene.assert_kept(&format!("seed {seed}"));
    }
}
