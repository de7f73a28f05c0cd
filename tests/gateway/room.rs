//! Capacity that is short: who runs, waits or is refused.

use std::time::Duration;

use crate::room::fleet::{Burst, Kind, LONG, Policy, Result, SHORT, Scene, World};

#[path = "room/fleet.rs"]
mod fleet;

fn scene(name: &'static str) -> Scene {
    Scene {
        name,
        daemons: 16,
        engines: 32,
        kinds: vec![Kind { per_s: 96.0, ..LONG }, Kind { per_s: 240.0, ..SHORT }],
        bursts: Vec::new(),
        workspaces: 16,
        hot_factor: 1.0,
        silent: None,
        seconds: 25.0,
        seed: 1,
    }
}

#[test]
fn trial() {
    let base = scene("base");
    let burst = Scene {
        name: "burst",
        bursts: vec![
            Burst { kind: 1, from_s: 3.0, to_s: 9.0, factor: 2.5 },
            Burst { kind: 0, from_s: 9.0, to_s: 15.0, factor: 1.6 },
        ],
        ..scene("")
    };
    let silent = Scene { name: "silent", silent: Some((4.0, 18.0)), ..scene("") };
    let hot = Scene { name: "hot", hot_factor: 7.5, ..scene("") };
    let mut over = scene("over");
    over.kinds[0].per_s = 280.0;
    over.kinds[1].per_s = 600.0;
    for scene in [base, burst, silent, hot, over] {
        for policy in [Policy::Queue, Policy::Polling] {
            let r: Result = World::run(&scene, policy);
            let w = &r.workspaces;
            let min = w[1..].iter().map(|it| it.served()).fold(1.0, f64::min);
            println!(
                "{:8} {policy:?} {:?} hot {:.3} min {min:.3} refusals {} needless {} rejected {} used {:.3} too late {} held {:?}",
                scene.name,
                r.kinds,
                w[0].served(),
                r.refusals.len(),
                r.needless_refusals,
                r.rejected,
                r.used_share,
                r.sent_too_late,
                r.max_held
            );
        }
    }
    let _ = Duration::ZERO;
}
