//! Daemons that are cut off from the upstreams of a service.

use std::time::Duration;

use tealturn::{
    gateway::{
        context::Context,
        gauge::{INACTIVITY_TIMEOUT, Sighting},
        reach, watch,
    },
    kernel::{clock::Time, id::Service},
};

use crate::{
    scene::{SERVICE, engines},
    simulation::{Fleet, ZONES},
};

const START: Time = Time::from_millis(10_000);

/// The time after a cut from which callers must be served.
const STABLE: Duration = Duration::from_secs(3);

const TICK: Duration = Duration::from_millis(100);

fn seen_alive(at: Time) -> Sighting {
    Sighting { dead_at: None, alive_at: Some(at) }
}

/// Guards against a daemon that passes calls on though it reaches upstreams, or when these have crashed, and
/// against one that doesn't when it must.
#[test]
fn a_daemon_is_cut_off_if_others_see_the_upstreams_alive_that_it_cannot_reach() {
    struct Case {
        what: &'static str,
        upstreams: usize,
        /// Those that it found dead, and how much later others saw them alive, in milliseconds.
        dead: &'static [(usize, Option<u64>)],
        /// Those that leave.
        leaving: &'static [usize],
        /// The one to which it opens a connection, after all that.
        reached: Option<usize>,
        is_cut_off: bool,
    }
    const CASE: Case =
        Case { what: "", upstreams: 4, dead: &[], leaving: &[], reached: None, is_cut_off: false };
    for case in [
        Case { what: "no upstream is dead", ..CASE },
        Case { what: "no upstream", upstreams: 0, ..CASE },
        Case { what: "one path is lost", dead: &[(0, Some(400))], ..CASE },
        Case {
            what: "two paths are lost",
            dead: &[(0, Some(400)), (1, Some(400))],
            is_cut_off: true,
            ..CASE
        },
        Case {
            what: "two crashed, their last bytes came late elsewhere",
            dead: &[(0, Some(200)), (1, Some(250))],
            ..CASE
        },
        Case { what: "all crashed", dead: &[(0, None), (1, None), (2, None), (3, None)], ..CASE },
        Case {
            what: "another one is reached",
            dead: &[(0, Some(400)), (1, Some(400))],
            reached: Some(3),
            ..CASE
        },
        Case {
            what: "one of the two is reached again",
            dead: &[(0, Some(400)), (1, Some(400)), (2, Some(400))],
            reached: Some(1),
            ..CASE
        },
        Case {
            what: "the only one",
            upstreams: 1,
            dead: &[(0, Some(400))],
            is_cut_off: true,
            ..CASE
        },
        Case {
            what: "the only one that stays",
            dead: &[(0, Some(400))],
            leaving: &[1, 2, 3],
            is_cut_off: true,
            ..CASE
        },
        Case {
            what: "those that leave don't count",
            dead: &[(0, Some(400)), (1, Some(400))],
            leaving: &[0, 1],
            ..CASE
        },
    ] {
        let upstreams = engines(&vec![1; case.upstreams]);
        for (index, alive_after) in case.dead {
            let health = &upstreams[*index].health;
            health.mark_dead(START);
            if let Some(millis) = alive_after {
                let at = START + Duration::from_millis(*millis);
                health.record_sighting(seen_alive(at), at);
            }
            health.record_probe(false, START + Duration::from_millis(500));
        }
        case.leaving.iter().for_each(|it| assert!(upstreams[*it].health.record_leaving()));
        if let Some(index) = case.reached {
            upstreams[index].health.record_probe(true, START + STABLE);
        }
        assert_eq!(reach::is_cut_off(&upstreams), case.is_cut_off, "{}", case.what);
    }
}

/// Guards against other daemons that hold an upstream for suspect again and again because a daemon which is
/// cut off fails to probe it.
#[test]
fn a_failed_probe_over_a_lost_path_is_no_news_of_the_upstream() {
    let upstreams = engines(&[1]);
    let health = &upstreams[0].health;
    health.mark_dead(START);
    let later = START + Duration::from_secs(1);
    health.record_sighting(seen_alive(later), later);
    health.record_probe(false, later + TICK);
    assert_eq!(health.sighting(), Sighting { dead_at: Some(START), alive_at: Some(later) });
    // Without a sign of life, it is.
    let upstreams = engines(&[1]);
    let health = &upstreams[0].health;
    health.mark_dead(START);
    health.record_probe(false, later);
    assert_eq!(health.sighting().dead_at, Some(later));
}

/// Guards against crashes that are taken back, so that a request crashes one upstream after the other, because
/// another daemon has connected to the next process at the same address.
#[test]
fn an_upstream_that_is_back_after_a_crash_is_no_lost_path() {
    let upstreams = engines(&[1, 1]);
    for endpoint in &upstreams {
        let health = &endpoint.health;
        health.mark_dead(START);
        let back = START + Duration::from_secs(2);
        health.record_sighting(seen_alive(back), back + TICK);
        assert_eq!(health.path_lost_at(), None, "before this daemon has tried");
        assert!(health.start_probe_if_due(7, back + TICK), "it tries at once");
        health.record_probe(true, back + TICK);
        assert_eq!(health.path_lost_at(), None);
    }
    assert!(!reach::is_cut_off(&upstreams));
}

/// A fleet of which some daemons are cut off from the engines.
struct Scene {
    fleet: Fleet,
    is_cut_off: Vec<bool>,
    ticks: usize,
    /// Probes by the daemons that are not cut off.
    probes: usize,
}

impl Scene {
    fn new(daemons: usize, is_cut_off: impl Fn(usize) -> bool) -> Scene {
        let mut fleet = Fleet::new(daemons, 40, 7);
        fleet.run(Duration::from_secs(5));
        let is_cut_off = (0..daemons).map(is_cut_off).collect();
        Scene { fleet, is_cut_off, ticks: 0, probes: 0 }
    }

    /// Each engine sends something to two of the daemons that reach it; probes are answered unless
    /// the daemon is cut off.
    fn tick(&mut self) {
        self.fleet.run(TICK);
        self.ticks += 1;
        let daemons = self.is_cut_off.len();
        for index in 0..daemons {
            let context = self.fleet.context(index).clone();
            let is_cut_off = self.is_cut_off[index];
            watch::update_cut_off(&context);
            for endpoint in watch::due_probes(&context) {
                endpoint.health.record_probe(!is_cut_off, context.now());
                self.probes += usize::from(!is_cut_off);
            }
            for (number, endpoint) in context.view.load().all().enumerate() {
                let turn = (number * 3 + self.ticks + index) % daemons.div_ceil(2);
                if !is_cut_off && turn == 0 {
                    endpoint.health.record_activity(context.now());
                }
            }
        }
    }

    /// The daemons that find the engine dead.
    fn lose(&self, engines: usize, is_affected: impl Fn(usize) -> bool) {
        for index in (0..self.is_cut_off.len()).filter(|it| is_affected(*it)) {
            let context = self.fleet.context(index);
            let view = context.view.load();
            view.all().take(engines).for_each(|it| it.health.mark_dead(context.now()));
        }
    }

    fn passes_on(&self, index: usize) -> bool {
        self.fleet.context(index).is_cut_off(&Service::from(SERVICE))
    }
}

fn helper(context: &Context) -> Option<reach::Helper> {
    let accepting = context.peers.accepting_callers(context.now());
    let own = context.settings.daemon.as_str();
    reach::choose(&context.members.all(), own, &accepting, &[], rand::random())
}

/// Guards against daemons of fleets of any size that don't notice that they are cut off, or pass calls to
/// others that are, and against harm to those that aren't.
#[test]
fn daemons_of_a_fleet_of_any_size_know_who_is_cut_off() {
    struct Case {
        daemons: usize,
        is_cut_off: fn(usize) -> bool,
    }
    for case in [
        Case { daemons: 7, is_cut_off: |it| it < 3 },
        Case { daemons: 7, is_cut_off: |it| it != 3 },
        Case { daemons: 77, is_cut_off: |it| it.is_multiple_of(ZONES) },
        Case { daemons: 350, is_cut_off: |it| it.is_multiple_of(ZONES) },
    ] {
        let mut scene = Scene::new(case.daemons, case.is_cut_off);
        // Calls find a few engines dead; probes find the others.
        scene.lose(3, case.is_cut_off);
        let ticks = STABLE.as_millis() / TICK.as_millis();
        (0..ticks).for_each(|_| scene.tick());
        let now_ready = |it: &Scene, index| {
            let context = it.fleet.context(index);
            context.is_ready() && context.accepts_callers()
        };
        for index in 0..case.daemons {
            let (what, is_cut_off) =
                (format!("daemon {index} of {}", case.daemons), (case.is_cut_off)(index));
            assert_eq!(scene.passes_on(index), is_cut_off, "{what}");
            assert_eq!(now_ready(&scene, index), !is_cut_off, "{what}");
            let context = scene.fleet.context(index).clone();
            if !is_cut_off {
                let view = context.view.load();
                let suspected = view.all().filter(|it| it.health.is_unavailable(context.now()));
                assert_eq!(suspected.count(), 0, "{what}");
                continue;
            }
            for _ in 0..10 {
                let helper = helper(&context).expect("a daemon that takes callers");
                let chosen = scene.fleet.index(&helper.name);
                assert!(!(case.is_cut_off)(chosen), "{what} chose {chosen}");
            }
        }
        // The cut ends.
        scene.is_cut_off.fill(false);
        (0..ticks).for_each(|_| scene.tick());
        for index in 0..case.daemons {
            let is_ready = now_ready(&scene, index);
            assert!(!scene.passes_on(index) && is_ready, "{index} of {} healed", case.daemons);
        }
    }
}

/// Guards against daemons that all take themselves for cut off, and so serve nobody, when engines crash.
#[test]
fn no_daemon_is_cut_off_when_engines_crash() {
    for daemons in [7, 77] {
        let mut scene = Scene::new(daemons, |_| true);
        (0..10).for_each(|_| scene.tick());
        scene.fleet.run(INACTIVITY_TIMEOUT);
        scene.lose(40, |_| true);
        for _ in 0..40 {
            scene.tick();
            assert!((0..daemons).all(|it| !scene.passes_on(it)), "{daemons} daemons");
        }
    }
}
