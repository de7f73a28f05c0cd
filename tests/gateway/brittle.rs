//! Upstreams that fall over when they must reject too many calls in a second, in fleets of any size.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        brittle::{self, Event, State},
        call::Prompt,
        context::Context,
        dialect::Notice,
        limit::{Limit, Statement},
        permit::{self, Purpose, Verdict},
        place::Query,
        roster::Endpoint,
    },
    kernel::{
        clock::Time,
        id::{Service, Upstream},
    },
};

use crate::{
    scene::{SERVICE, name, prompt},
    simulation::Fleet,
};

const STEP: Duration = Duration::from_millis(10);

/// How long upstreams say that they are brittle before they let fewer calls wait (rules: `stable_ms`),
/// and how long from then on.
const STABLE: Duration = Duration::from_secs(3);
const WATCHED: Duration = Duration::from_secs(10);

/// How long an upstream is down after it fell over.
const DOWN: Duration = Duration::from_secs(3);

/// How long a daemon waits whose question for a permit isn't answered, and one whose call was rejected.
const UNANSWERED: Duration = Duration::from_millis(300);
const REJECTION_PAUSE: Duration = Duration::from_millis(250);

/// Attempts without execution after which a call is refused.
const MAX_REJECTIONS: u32 = 3;

/// Falls allowed in one time (rules): this many, and a share of the number of upstreams.
const ALLOWED_FALLS: f64 = 2.0;
const ALLOWED_FALL_SHARE: f64 = 0.1;

/// The service and the load on it.
#[derive(Clone, Copy, Debug)]
struct Scene {
    daemons: usize,
    upstreams: u16,
    slots: u32,
    /// Calls that an upstream lets wait while it is brittle; usually three times its slots.
    waiting: usize,
    call_time: Duration,
    /// Whether they are engines.
    has_prompts: bool,
    objective: Duration,
    /// The calls that come, as a share of those that the upstreams can run.
    load: f64,
    rejections_per_s: f64,
}

impl Scene {
    /// Upstreams of a plain service.
    fn pages(daemons: usize) -> Scene {
        Scene {
            daemons,
            upstreams: 4,
            slots: 6,
            waiting: 3,
            call_time: Duration::from_millis(60),
            has_prompts: false,
            objective: Duration::from_millis(300),
            load: 1.5,
            rejections_per_s: 5.0,
        }
    }

    fn engines(daemons: usize) -> Scene {
        Scene {
            daemons,
            upstreams: 20,
            slots: 16,
            waiting: 4,
            call_time: Duration::from_millis(1_000),
            has_prompts: true,
            objective: Duration::from_millis(600),
            load: 1.5,
            rejections_per_s: 5.0,
        }
    }

    fn calls_per_s(&self) -> f64 {
        let slots = f64::from(u32::from(self.upstreams) * self.slots);
        self.load * slots / self.call_time.as_secs_f64()
    }

    fn allowed_falls(&self) -> u32 {
        (ALLOWED_FALLS + f64::from(self.upstreams) * ALLOWED_FALL_SHARE) as u32
    }
}

#[derive(Debug)]
struct Caller {
    daemon: usize,
    refused_at: Time,
    prompt: Option<Prompt>,
    rejecting: Vec<Upstream>,
}

#[derive(Debug)]
struct Running {
    daemon: usize,
    memory: u64,
    sent_at: Time,
    ends_at: Time,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<Running>,
    waiting: VecDeque<(Running, Duration)>,
    rejected: VecDeque<Time>,
    down_until: Option<Time>,
}

/// What became of the calls while the upstreams let fewer wait.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    falls: u32,
    served: u32,
    rejected: u32,
    refused: u32,
    questions: u32,
}

struct World {
    scene: Scene,
    fleet: Fleet,
    rng: StdRng,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    /// Whether the upstreams say that they are brittle, and whether they let fewer calls wait.
    is_brittle: bool,
    is_short: bool,
    count: Count,
}

impl World {
    fn new(scene: Scene, seed: u64) -> World {
        let mut fleet = Fleet::new(scene.daemons, scene.upstreams, seed);
        for number in 0..scene.upstreams {
            fleet.register_engine(number, scene.slots);
        }
        fleet.run(Duration::from_secs(5));
        World {
            scene,
            fleet,
            rng: StdRng::seed_from_u64(seed),
            servers: (0..scene.upstreams).map(|_| Server::default()).collect(),
            callers: Vec::new(),
            is_brittle: false,
            is_short: false,
            count: Count::default(),
        }
    }

    /// Calls come within what the upstreams can run, then more, and the upstreams become brittle.
    fn play(scene: Scene, seed: u64) -> Count {
        let quiet = Scene { load: 0.5, ..scene };
        let mut world = World::new(quiet, seed);
        world.run(Duration::from_secs(3));
        world.is_brittle = true;
        world.run(STABLE);
        world.count = Count::default();
        world.is_short = true;
        world.scene = scene;
        world.run(WATCHED);
        world.count
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            for number in 0..self.servers.len() {
                self.end_calls(number);
            }
            let wanted = self.scene.calls_per_s() * STEP.as_secs_f64();
            let new = wanted.floor() as usize + usize::from(self.rng.random_bool(wanted.fract()));
            for _ in 0..new {
                let caller = self.caller();
                self.callers.push(caller);
            }
            for caller in std::mem::take(&mut self.callers) {
                self.serve(caller);
            }
        }
    }

    fn caller(&mut self) -> Caller {
        let (subject, own) = (self.rng.random_range(0..50), self.rng.random());
        Caller {
            daemon: self.rng.random_range(0..self.scene.daemons),
            refused_at: self.fleet.now + self.scene.objective,
            prompt: self.scene.has_prompts.then(|| prompt(subject, own)),
            rejecting: Vec::new(),
        }
    }

    /// Ends calls whose time has passed, and an upstream's time in which it is down.
    fn end_calls(&mut self, number: usize) {
        let now = self.fleet.now;
        let server = &mut self.servers[number];
        if server.down_until.take_if(|it| *it <= now).is_some() {
            for context in self.fleet.contexts() {
                endpoint(&context, number).health.record_probe(true, context.now());
            }
        }
        let ended: Vec<_> = server.running.extract_if(.., |it| it.ends_at <= now).collect();
        while server.running.len() < self.scene.slots as usize
            && let Some((mut next, time)) = server.waiting.pop_front()
        {
            next.ends_at = now + time;
            server.running.push(next);
        }
        for call in ended {
            self.count.served += 1;
            let context = self.fleet.context(call.daemon).clone();
            let endpoint = endpoint(&context, number);
            endpoint.health.end_call(call.memory);
            endpoint.health.record_success(context.now());
            let ago = now.since(call.sent_at);
            endpoint.health.record_call_time(ago);
            self.hear(&context, &endpoint, ago);
        }
    }

    /// A daemon gets an answer to a request that was sent this long ago.
    fn hear(&self, context: &Arc<Context>, endpoint: &Endpoint, ago: Duration) {
        let now = context.now();
        let brittleness = match self.is_brittle {
            true => Statement::Limited(self.scene.rejections_per_s),
            false => Statement::Unlimited,
        };
        let notice = Notice { brittleness, ..Notice::default() };
        context.take_notice(endpoint, notice, now - ago);
    }

    /// A daemon's call was rejected.
    fn reject(&self, context: &Arc<Context>, endpoint: &Endpoint) {
        self.hear(context, endpoint, Duration::ZERO);
        if !context.spare(endpoint) {
            endpoint.health.eject_for(REJECTION_PAUSE, context.now());
        }
    }

    /// Tries to send a call. One that no upstream takes waits until its objective has passed.
    fn serve(&mut self, mut caller: Caller) {
        let context = self.fleet.context(caller.daemon).clone();
        loop {
            if self.fleet.now >= caller.refused_at {
                self.count.refused += 1;
                return;
            }
            let Some(endpoint) = self.choose(&context, &caller) else {
                self.callers.push(caller);
                return;
            };
            if !self.permits(&context, &endpoint) {
                continue;
            }
            if self.send(&context, &endpoint, &caller) {
                return;
            }
            caller.rejecting.push(endpoint.name.clone());
            if caller.rejecting.len() as u32 >= MAX_REJECTIONS {
                self.count.refused += 1;
                return;
            }
        }
    }

    fn choose(&mut self, context: &Context, caller: &Caller) -> Option<Arc<Endpoint>> {
        let now = context.now();
        let peers = context.peers.peer_load(now);
        let query = Query {
            prompt: caller.prompt.as_ref(),
            cache_owner: 0,
            is_isolated: false,
            excluded: &caller.rejecting,
            build: None,
            old_version_grace: Duration::from_secs(10),
            running_limit_tokens: u64::MAX,
            kv_stores: &[],
            engine_capacity_tokens: u64::MAX,
            room: None,
            peers: &peers,
            random: self.rng.random(),
        };
        let (view, progress) = (context.view.load(), context.progress.load());
        let upstreams = view.service(&Service::from(SERVICE));
        let choice = context.placer().choose(&query, upstreams, &progress, now);
        choice.ok().map(|it| it.endpoint)
    }

    /// Whether the upstream may be used, which its issuer decides if its requests are limited.
    fn permits(&mut self, context: &Arc<Context>, endpoint: &Endpoint) -> bool {
        let Some(ask) = permit::ask(endpoint, Purpose::Call) else {
            return true;
        };
        self.count.questions += 1;
        let plan = context.plan.load_full();
        let own = context.settings.daemon.as_str();
        let name = permit::issuer(own, &plan, endpoint.hash);
        let issuer = match name == own {
            true => Some(context.clone()),
            false => self.fleet.named(name),
        };
        let now = context.now();
        match issuer.map(|it| permit::decide(&it, &ask)) {
            Some(Verdict::Granted) => return true,
            Some(Verdict::Denied(pause)) => endpoint.health.await_permit(now + pause),
            None => endpoint.health.await_permit(now + UNANSWERED),
        }
        false
    }

    /// Sends a call; returns whether the upstream takes it.
    fn send(&mut self, context: &Arc<Context>, endpoint: &Endpoint, caller: &Caller) -> bool {
        let number = number(endpoint);
        let memory = caller.prompt.as_ref().map_or(0, Prompt::memory_tokens);
        let time = self.scene.call_time.mul_f64(self.rng.random_range(0.5..1.5));
        let (now, slots) = (self.fleet.now, self.scene.slots as usize);
        let waiting = if self.is_short { self.scene.waiting } else { 3 * slots };
        let server = &mut self.servers[number];
        if server.down_until.is_some() {
            endpoint.health.mark_dead(context.now());
            return false;
        }
        let call = Running { daemon: caller.daemon, memory, sent_at: now, ends_at: now + time };
        if server.running.len() < slots {
            server.running.push(call);
        } else if server.waiting.len() < waiting {
            server.waiting.push_back((call, time));
        } else {
            self.count.rejected += 1;
            server.rejected.push_back(now);
            let is_old = |it: &Time| now.since(*it) >= Duration::from_secs(1);
            while server.rejected.front().is_some_and(is_old) {
                server.rejected.pop_front();
            }
            if self.is_short && server.rejected.len() as f64 > self.scene.rejections_per_s {
                self.fall(number);
            }
            self.reject(context, endpoint);
            return false;
        }
        endpoint.health.start_call(0, memory, context.now());
        true
    }

    /// An upstream falls over, and its calls are lost.
    fn fall(&mut self, number: usize) {
        self.count.falls += 1;
        let server = &mut self.servers[number];
        server.rejected.clear();
        server.down_until = Some(self.fleet.now + DOWN);
        let waiting = server.waiting.drain(..).map(|(it, _)| it);
        let lost: Vec<_> = server.running.drain(..).chain(waiting).collect();
        for call in lost {
            let context = self.fleet.context(call.daemon);
            let health = &endpoint(context, number).health;
            health.end_call(call.memory);
            health.mark_dead(context.now());
        }
    }
}

fn endpoint(context: &Context, number: usize) -> Arc<Endpoint> {
    let view = context.view.load();
    let name = name(number as u16);
    view.all().find(|it| it.name == name).expect("a known engine").clone()
}

fn number(endpoint: &Endpoint) -> usize {
    let number = endpoint.name.as_str().trim_start_matches("engine-");
    number.parse().expect("a number")
}

/// Guards against a pace that follows single calls up and down, or never rises again after a rejection.
#[test]
fn the_pace_falls_after_rejections_and_rises_later() {
    struct Case {
        what: &'static str,
        pace: Option<f64>,
        age_ms: u64,
        call_ms: u64,
        calls: u32,
        event: Event,
        changed: Option<f64>,
    }
    let usual = Case {
        what: "the pace is near the estimate of 12",
        pace: Some(10.0),
        age_ms: 10_000,
        call_ms: 1_000,
        calls: 10,
        event: Event::Answered,
        changed: None,
    };
    let cases = [
        Case { what: "nothing is known", pace: None, calls: 0, ..usual },
        Case { what: "a first answer", pace: None, changed: Some(12.0), ..usual },
        Case {
            what: "a first answer that is a rejection",
            pace: None,
            event: Event::Rejected,
            changed: Some(8.4),
            ..usual
        },
        Case { what: "a rejection", event: Event::Rejected, changed: Some(7.0), ..usual },
        Case {
            what: "a rejection at a pace that is safe",
            pace: Some(2.5),
            event: Event::Rejected,
            ..usual
        },
        Case {
            what: "a rejection before any call was completed",
            calls: 0,
            event: Event::Rejected,
            changed: Some(7.0),
            ..usual
        },
        Case { what: "a rejection with another one", age_ms: 200, event: Event::Rejected, ..usual },
        Case { what: "calls take longer", call_ms: 3_000, changed: Some(6.0), ..usual },
        Case { what: "a few calls take longer", call_ms: 3_000, calls: 9, ..usual },
        Case { what: "the pace is low", pace: Some(8.0), changed: Some(10.0), ..usual },
        Case { what: "it changed lately", pace: Some(8.0), age_ms: 1_500, ..usual },
        usual,
    ];
    let now = Time::from_millis(100_000);
    for case in cases {
        let limit = Limit { rate: case.pace, heard_at: now - Duration::from_millis(case.age_ms) };
        let call_time = Duration::from_millis(case.call_ms);
        let (rejections_per_s, calls) = (5.0, case.calls);
        let state = State { rejections_per_s, slots: 16, call_time, calls, limit };
        let changed = brittle::decide(&state, case.event, now);
        let changed = changed.map(|it| (it * 10.0).round() / 10.0);
        assert_eq!(changed, case.changed, "{}", case.what);
    }
}

/// Guards against daemons that each keep away from a full upstream by themselves: together they cause
/// more rejections than it withstands.
#[test]
fn a_fleet_of_any_size_spares_brittle_upstreams() {
    let cases = [7, 58, 350].into_iter();
    let cases = cases.flat_map(|it| [Scene::pages(it), Scene::engines(it)]);
    let mut failures = Vec::new();
    for (scene, seed) in cases.zip(1..) {
        let count = World::play(scene, seed);
        let room = scene.calls_per_s() / scene.load * WATCHED.as_secs_f64();
        let used = f64::from(count.served) / room;
        eprintln!("{} daemons, {} slots: {count:?}, {used:.2} used", scene.daemons, scene.slots);
        if count.falls > scene.allowed_falls() || used < 0.5 {
            failures.push((scene, count, used));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
