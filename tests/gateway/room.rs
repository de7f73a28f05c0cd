//! Capacity that is short: who runs, waits or is refused.

use std::time::Duration;

use tealturn::{
    admission::retry::retry_after,
    gateway::{
        message::Load,
        peer::Totals,
        room::{
            Event, Outcome, Queue, Reason, Ticket,
            engine::{Engines, Fleet, Room},
            limit::{Capacity, Limits},
        },
    },
    kernel::{
        clock::Time,
        id::{Request, Workspace},
    },
    request::suspect::Fingerprint,
};

use crate::{
    room::fleet::{Burst, CAPACITY, Count, Kind, LONG, Policy, Result, SHORT, Scene, World},
    scene::engines,
};

#[path = "room/fleet.rs"]
mod fleet;

const START: Time = Time::from_millis(100_000);
const LIMIT: Capacity = Capacity { running: 30_000, late: 21_000 };

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A call that is on time for 1 s and has a deadline in 5 s.
fn ticket(id: u128, priority: u8, workspace: &str, tokens: u64) -> Ticket {
    Ticket {
        request: Request(id),
        fingerprint: Fingerprint(id as u64),
        workspace: Workspace::from(workspace),
        priority,
        returns: false,
        is_restricted: false,
        tokens,
        capacity: LIMIT,
        on_time_until: START + ms(1_000),
        start_by: START + ms(4_900),
        deadline: START + ms(5_000),
    }
}

/// The call that is offered capacity, if one is.
fn offered(outcomes: &[Outcome]) -> Option<u128> {
    let offer = |it: &Outcome| match it {
        Outcome::Offer { request, .. } => Some(request.0),
        Outcome::Refuse { .. } => None,
    };
    outcomes.iter().find_map(offer)
}

/// A queue with these calls, none of which was offered capacity yet, and the event that ends this.
fn queue(tickets: &[Ticket], now: Time) -> (Queue, Event) {
    let mut queue = Queue::default();
    let first = ticket(0, 9, "first", 1);
    assert_eq!(offered(&queue.decide(Event::Arrived(first), now, 0.5)), Some(0));
    for ticket in tickets {
        let outcomes = queue.decide(Event::Arrived(ticket.clone()), now, 0.5);
        assert_eq!(outcomes, [], "{ticket:?}");
    }
    (queue, Event::Left(Request(0)))
}

/// Guards against calls that poll in no order, so that one overtakes a more urgent one.
#[test]
fn calls_are_offered_capacity_in_order() {
    let late = |it: Ticket| Ticket { on_time_until: START - ms(1), ..it };
    let due = |it: Ticket, millis| Ticket { start_by: START + ms(millis), ..it };
    let sent = |it: Ticket| Ticket { returns: true, ..it };
    struct Case {
        name: &'static str,
        waiting: Vec<Ticket>,
        order: Vec<u128>,
    }
    let cases = [
        Case {
            name: "the urgent kind after a burst of the less urgent one",
            waiting: vec![ticket(1, 2, "a", 900), ticket(2, 2, "b", 900), ticket(3, 0, "a", 900)],
            order: vec![3, 2, 1],
        },
        Case {
            name: "calls that were rejected by an engine",
            waiting: vec![ticket(1, 1, "a", 900), sent(ticket(2, 1, "b", 900))],
            order: vec![2, 1],
        },
        Case {
            name: "a workspace with most of the calls",
            waiting: vec![
                ticket(1, 1, "a", 900),
                ticket(2, 1, "a", 900),
                ticket(3, 1, "a", 900),
                ticket(4, 1, "b", 900),
            ],
            order: vec![1, 4, 2, 3],
        },
        Case {
            name: "deadlines within a workspace",
            waiting: vec![due(ticket(1, 1, "a", 900), 3_000), due(ticket(2, 1, "a", 900), 2_000)],
            order: vec![2, 1],
        },
        Case {
            name: "late calls in an overload",
            waiting: vec![
                late(due(ticket(1, 1, "a", 900), 900)),
                ticket(2, 1, "b", 900),
                late(ticket(3, 0, "c", 900)),
            ],
            order: vec![3, 2, 1],
        },
        Case {
            name: "a lasting burst of the urgent kind: after four times its tokens the other goes",
            waiting: vec![
                ticket(1, 0, "a", 900),
                ticket(2, 0, "a", 900),
                ticket(3, 0, "a", 900),
                ticket(4, 0, "a", 900),
                ticket(5, 0, "a", 900),
                ticket(6, 2, "b", 900),
            ],
            order: vec![1, 2, 3, 4, 6, 5],
        },
    ];
    for case in cases {
        let (mut queue, mut event) = queue(&case.waiting, START);
        let mut order = Vec::new();
        while let Some(id) = offered(&queue.decide(event, START, 0.5)) {
            order.push(id);
            event = Event::Began(Request(id));
        }
        assert_eq!(order, case.order, "{}", case.name);
        assert!(queue.is_empty(), "{}", case.name);
    }
}

/// Guards against a long prompt that never finds room because short ones take what comes free.
#[test]
fn a_call_goes_ahead_only_where_the_first_one_has_no_room() {
    struct Case {
        name: &'static str,
        waiting: Vec<Ticket>,
        /// Tokens that running calls take at the engine with the most free memory.
        used: u64,
        /// The calls that are offered capacity in a round, and those that begin.
        offered: Vec<u128>,
        begun: Vec<u128>,
    }
    let late = |it: Ticket| Ticket { on_time_until: START - ms(1), ..it };
    let cases = [
        Case {
            name: "equal calls: only the first is tried",
            waiting: vec![ticket(1, 1, "a", 9_000), ticket(2, 1, "b", 9_000)],
            used: 25_000,
            offered: vec![1],
            begun: vec![],
        },
        Case {
            name: "a smaller one fits where the first does not",
            waiting: vec![ticket(1, 1, "a", 9_000), ticket(2, 1, "b", 900)],
            used: 25_000,
            offered: vec![1, 2],
            begun: vec![2],
        },
        Case {
            name: "a less urgent smaller one leaves room for the urgent ones",
            waiting: vec![ticket(1, 0, "a", 9_000), ticket(2, 1, "b", 900)],
            used: 25_000,
            offered: vec![1],
            begun: vec![],
        },
        Case {
            name: "a late call has a lower limit than one on time",
            waiting: vec![late(ticket(1, 1, "a", 5_000)), ticket(2, 1, "b", 5_000)],
            used: 24_000,
            offered: vec![2, 1],
            begun: vec![2],
        },
        Case {
            name: "a stream that few engines may continue says nothing of other calls",
            waiting: vec![
                Ticket { is_restricted: true, ..ticket(1, 0, "a", 900) },
                ticket(2, 0, "b", 900),
            ],
            used: 10_000,
            offered: vec![1, 2],
            begun: vec![2],
        },
    ];
    for case in cases {
        let (mut queue, mut event) = queue(&case.waiting, START);
        let (mut order, mut begun) = (Vec::new(), Vec::new());
        loop {
            let outcomes = queue.decide(event, START, 0.5);
            let [Outcome::Offer { request, limit, spared }] = outcomes[..] else {
                break;
            };
            let waiting = case.waiting.iter().find(|it| it.request == request);
            let waiting = waiting.expect("an offered call waits");
            order.push(request.0);
            // The first on-time call that finds no room keeps the engine with the most room.
            let is_first_on_time = case.waiting[0].on_time_until > START;
            let expected = (!begun.is_empty() || order.len() > 1)
                && is_first_on_time
                && !case.waiting[0].is_restricted;
            assert_eq!(spared, expected.then_some(7), "{}: {order:?}", case.name);
            let fits = case.used + waiting.tokens <= limit && !waiting.is_restricted;
            event = match fits {
                true => Event::Began(request),
                false => Event::NoRoom(request, Some(7)),
            };
            if fits {
                begun.push(request.0);
            }
        }
        assert_eq!((order, begun), (case.offered, case.begun), "{}", case.name);
    }
}

/// Guards against calls that are held until it is too late, and against callers that are sent away
/// although their turn would have come.
#[test]
fn a_call_is_refused_at_once_only_if_the_queue_ahead_takes_too_long() {
    struct Case {
        name: &'static str,
        /// Calls of 1,000 tokens that begin in a second, for 3 s, and those that wait then.
        begun_per_s: u64,
        waiting: u128,
        priority: u8,
        refused: bool,
    }
    let cases = [
        Case { name: "nothing waits", begun_per_s: 1, waiting: 0, priority: 1, refused: false },
        Case { name: "no rate known", begun_per_s: 0, waiting: 40, priority: 1, refused: false },
        Case { name: "10 s of queue", begun_per_s: 4, waiting: 40, priority: 1, refused: true },
        Case { name: "2 s of queue", begun_per_s: 20, waiting: 40, priority: 1, refused: false },
        Case {
            name: "a more urgent one",
            begun_per_s: 4,
            waiting: 40,
            priority: 0,
            refused: false,
        },
    ];
    for case in cases {
        let mut queue = Queue::default();
        let mut now = START;
        let until = |it: Ticket, now: Time| Ticket {
            on_time_until: now + ms(1_000),
            start_by: now + ms(4_900),
            deadline: now + ms(5_000),
            ..it
        };
        for number in 0..case.begun_per_s * 3 {
            now = START + ms(number * 1_000 / case.begun_per_s);
            let ticket = until(ticket(1_000 + u128::from(number), 1, "z", 1_000), now);
            let request = ticket.request;
            assert_eq!(offered(&queue.decide(Event::Arrived(ticket), now, 0.5)), Some(request.0));
            queue.decide(Event::Began(request), now, 0.5);
        }
        for number in 0..case.waiting {
            let workspace = format!("w{number}");
            let waiting = Ticket {
                start_by: now + ms(60_000),
                ..until(ticket(1 + number, 1, &workspace, 1_000), now)
            };
            let outcomes = queue.decide(Event::Arrived(waiting), now, 0.5);
            assert!(outcomes.iter().all(|it| matches!(it, Outcome::Offer { .. })), "{outcomes:?}");
        }
        let last = until(ticket(5_000, case.priority, "own", 1_000), now);
        let outcomes = queue.decide(Event::Arrived(last.clone()), now, 0.5);
        let refusal = outcomes.iter().find_map(|it| match it {
            Outcome::Refuse { retry_after, reason, .. } => Some((*retry_after, *reason)),
            Outcome::Offer { .. } => None,
        });
        assert_eq!(refusal.is_some(), case.refused, "{}: {outcomes:?}", case.name);
        let Some((after, reason)) = refusal else { continue };
        assert!(matches!(reason, Reason::Queue { ahead_tokens: 40_000, .. }), "{reason:?}");
        assert!(after <= ms(5_000) / 3, "{}: {after:?}", case.name);
        // It returns before the others of its priority, in a second daemon's life or this one's.
        let again = Ticket { request: Request(5_001), ..last };
        queue.decide(Event::Arrived(again), now, 0.5);
        assert_eq!(offered(&queue.decide(Event::Left(Request(1)), now, 0.5)), Some(5_001));
    }
}

#[test]
fn callers_are_told_to_return_when_it_is_useful_and_not_together() {
    struct Case {
        name: &'static str,
        wait: Duration,
        left: Duration,
        range: (Duration, Duration),
    }
    let cases = [
        Case {
            name: "capacity is expected soon",
            wait: ms(400),
            left: ms(15_000),
            range: (ms(400), ms(2_150)),
        },
        Case {
            name: "capacity is expected at no useful time",
            wait: ms(60_000),
            left: ms(6_000),
            range: (ms(1_300), ms(2_000)),
        },
        Case { name: "no wait is expected", wait: ms(0), left: ms(3_000), range: (ms(0), ms(350)) },
        Case { name: "no time is left", wait: ms(9), left: ms(0), range: (ms(0), ms(0)) },
        Case {
            name: "an endless wait",
            wait: Duration::MAX,
            left: ms(300),
            range: (ms(65), ms(100)),
        },
    ];
    for case in cases {
        let of = |random| retry_after(case.wait, case.left, random);
        assert_eq!((of(0.0), of(1.0)), case.range, "{}", case.name);
        assert!((of(0.25) + of(0.75)).abs_diff(of(0.5) * 2) < ms(1), "{}", case.name);
    }
}

/// Guards against less urgent calls that fill the engines when urgent ones are about to come, and
/// against room that stays free for urgent calls which do not come.
#[test]
fn less_urgent_calls_leave_room_for_urgent_ones_seen_lately() {
    struct Case {
        name: &'static str,
        /// Priority, tokens and age in seconds.
        seen: Vec<(u8, u64, u64)>,
        priority: u8,
        is_late: bool,
        limit: u64,
    }
    let long = (0, 9_200, 1);
    let case = |name, seen: &[(u8, u64, u64)], priority, is_late, limit| Case {
        name,
        seen: seen.to_vec(),
        priority,
        is_late,
        limit,
    };
    let cases = [
        case("only one kind", &[(2, 900, 1)], 2, false, 30_000),
        case("the urgent kind itself", &[long, (2, 900, 1)], 0, false, 30_000),
        case("room for one long prompt", &[long, (2, 900, 1)], 2, false, 20_800),
        case("no urgent call for long", &[(0, 9_200, 11)], 2, false, 30_000),
        case("small urgent calls: at least an eighth", &[(0, 900, 1)], 1, false, 26_250),
        case("huge urgent calls: at most a third", &[(0, 50_000, 1)], 1, false, 20_000),
        case("a late urgent call", &[long], 0, true, 21_000),
        case("a late less urgent call", &[long], 2, true, 20_800),
    ];
    for case in cases {
        let mut limits = Limits::default();
        let now = START + ms(20_000);
        for (priority, tokens, age_s) in case.seen {
            limits.record(priority, tokens, now - ms(age_s * 1_000));
        }
        let limit = limits.limit(LIMIT, case.priority, case.is_late, now);
        assert_eq!(limit, case.limit, "{}", case.name);
    }
}

/// Guards against a rejected long prompt that keeps short ones from the engine, and against daemons
/// that hear of no others and each take all of the engines.
#[test]
fn an_engine_has_room_by_what_is_known_of_it() {
    let alone = Fleet { own: 1, daemons: 1, is_heard: false };
    let heard = Fleet { own: 1, daemons: 77, is_heard: true };
    let cut_off = Fleet { is_heard: false, ..heard };
    struct Case {
        name: &'static str,
        fleet: Fleet,
        /// What other daemons and this one use.
        others: u64,
        own: u64,
        rejected: Option<u64>,
        is_spared: bool,
        tokens: u64,
        fits: bool,
    }
    let base = Case {
        name: "a free engine",
        fleet: heard,
        others: 0,
        own: 0,
        rejected: None,
        is_spared: false,
        tokens: 9_200,
        fits: true,
    };
    let cases = [
        Case { name: "larger than the engine, idle", tokens: 90_000, ..base },
        Case { name: "larger than the engine", tokens: 90_000, own: 900, fits: false, ..base },
        Case { name: "up to 0.95 of it", others: 40_000, own: 9_400, ..base },
        Case { name: "above 0.95 of it", others: 40_000, own: 9_500, fits: false, ..base },
        Case { name: "rejected the same size", rejected: Some(9_200), fits: false, ..base },
        Case { name: "rejected, but a smaller one fits", rejected: Some(9_201), ..base },
        Case { name: "spared for another call", is_spared: true, fits: false, ..base },
        Case { name: "the only daemon", fleet: alone, own: 20_000, ..base },
        Case {
            name: "a second call while cut off",
            fleet: cut_off,
            own: 9_200,
            fits: false,
            ..base
        },
        Case { fits: true, ..base },
    ];
    let endpoint = engines(&[1]).remove(0);
    for case in cases {
        let mut known = Engines::default();
        let load = Load { engine: endpoint.hash, memory: case.others, ..Load::default() };
        known.observe(&Totals::from_iter([(endpoint.hash, load)]), case.fleet, START);
        if let Some(tokens) = case.rejected {
            known.reject(endpoint.hash, tokens, START);
        }
        let room = Room {
            engines: &known,
            capacity_tokens: CAPACITY,
            spared: case.is_spared.then_some(endpoint.hash),
            now: START + ms(10),
        };
        endpoint.health.start_call(0, case.own, START);
        let fits = room.fits(&endpoint, case.others, case.tokens, 30_873);
        endpoint.health.end_call(case.own);
        assert_eq!(fits, case.fits, "{}", case.name);
    }
}

/// Guards against 77 daemons that hear of no others and fill the same engines.
#[test]
fn daemons_that_hear_of_no_others_use_an_even_share() {
    let endpoints = engines(&[1; 90]);
    for (tokens, per_engine) in [(9_200, 3.36), (900, 34.3)] {
        let mut taken = vec![0_u64; endpoints.len()];
        for own in 0..77 {
            let mut known = Engines::default();
            let fleet = Fleet { own: own * 7_919 + 13, daemons: 77, is_heard: false };
            known.observe(&Totals::default(), fleet, START);
            let room =
                Room { engines: &known, capacity_tokens: CAPACITY, spared: None, now: START };
            for (index, endpoint) in endpoints.iter().enumerate() {
                taken[index] += u64::from(room.fits(endpoint, 0, tokens, 30_873));
            }
        }
        let mean = taken.iter().sum::<u64>() as f64 / taken.len() as f64;
        assert!((0.6..=1.3).contains(&(mean / per_engine)), "{tokens}: {mean}");
    }
}

/// Calls as those of solar billing on 32 engines and 16 daemons, more than there.
fn scene(name: &'static str, long_per_s: f64, short_per_s: f64) -> Scene {
    Scene {
        name,
        daemons: 16,
        engines: 32,
        kinds: vec![Kind { per_s: long_per_s, ..LONG }, Kind { per_s: short_per_s, ..SHORT }],
        bursts: Vec::new(),
        workspaces: 16,
        hot_factor: 1.0,
        silent: None,
        seconds: 25.0,
        seed: 1,
    }
}

fn on_time(count: &Count) -> f64 {
    f64::from(count.on_time) / f64::from(count.calls)
}

/// How much more often the less urgent kind was served than the urgent one.
fn inversion(result: &Result) -> f64 {
    result.kinds[1].served() - result.kinds[0].served()
}

/// Guards against short prompts that take the room of more urgent long ones, and against engines that
/// reject what daemons with old reports send. Each load is one at which polling in no order fails.
#[test]
fn urgent_calls_are_served_in_overloads() {
    struct Case {
        scene: Scene,
        /// The least share of urgent calls on time, which polling does not reach.
        urgent_on_time: f64,
    }
    let bursts = vec![
        Burst { kind: 1, from_s: 3.0, to_s: 9.0, factor: 2.5 },
        Burst { kind: 0, from_s: 9.0, to_s: 15.0, factor: 1.6 },
    ];
    let cases = [
        Case {
            scene: Scene {
                bursts,
                ..scene("2.5 times the less urgent kind, then 1.6 times the urgent", 150.0, 400.0)
            },
            urgent_on_time: 0.6,
        },
        Case {
            scene: Scene {
                silent: Some((4.0, 18.0)),
                ..scene("a quarter of the engines silent for 14 s", 150.0, 400.0)
            },
            urgent_on_time: 0.6,
        },
        Case {
            scene: scene("200 long and 500 short calls per second", 200.0, 500.0),
            urgent_on_time: 0.55,
        },
    ];
    for case in cases {
        let name = case.scene.name;
        let (queued, polled) =
            (World::run(&case.scene, Policy::Queue), World::run(&case.scene, Policy::Polling));
        for (policy, it) in [("queue", &queued), ("polling", &polled)] {
            let Result { kinds, rejected, used_share, .. } = it;
            eprintln!("{name}, {policy}: {kinds:?}, {rejected} rejected, {used_share:.3} used");
        }
        let urgent = (on_time(&queued.kinds[0]), on_time(&polled.kinds[0]));
        assert!(urgent.0 >= case.urgent_on_time, "{name}: {urgent:?}");
        assert!(urgent.1 < case.urgent_on_time, "{name}: polling passes: {urgent:?}");
        assert!(inversion(&queued) < 0.06, "{name}: {:?}", queued.kinds);
        assert!(inversion(&polled) > 0.06, "{name}: polling passes: {:?}", polled.kinds);
        assert!(queued.used_share >= 0.8, "{name}: {}", queued.used_share);
        assert_eq!(queued.needless_refusals, 0, "{name}");
        let calls: u32 = queued.kinds.iter().map(|it| it.calls).sum();
        let rejected = |it: &Result| f64::from(it.rejected) / f64::from(calls);
        assert!(rejected(&queued) < 0.15, "{name}: {}", queued.rejected);
        assert!(rejected(&polled) > 0.3, "{name}: polling passes: {}", polled.rejected);
    }
}

/// Guards against a workspace whose calls displace those of all others.
#[test]
fn a_workspace_at_7_5_times_its_usual_pays_for_it() {
    let scene = Scene { hot_factor: 7.5, ..scene("a hot workspace", 150.0, 400.0) };
    let gap = |policy| {
        let workspaces = World::run(&scene, policy).workspaces;
        let others = workspaces[1..].iter().map(Count::served).fold(1.0, f64::min);
        (others, others - workspaces[0].served())
    };
    let (queued, polled) = (gap(Policy::Queue), gap(Policy::Polling));
    assert!(queued.0 > 0.8 && queued.1 > 0.15, "{queued:?}");
    assert!(polled.1 < 0.15, "polling passes: {polled:?}");
}

/// Guards against kinds, workspaces or sizes that get nothing in a lasting overload, and against
/// callers that return together.
#[test]
fn nobody_starves_and_callers_return_spread_out() {
    let mut scene = scene("280 long and 600 short calls per second", 280.0, 600.0);
    scene.bursts.push(Burst { kind: 1, from_s: 8.0, to_s: 14.0, factor: 2.5 });
    let result = World::run(&scene, Policy::Queue);
    for (index, count) in result.kinds.iter().chain(&result.workspaces).enumerate() {
        assert!(count.served() > 0.15, "{index}: {count:?}");
    }
    let mut slots = vec![0_u32; 250];
    for (at, after) in &result.refusals {
        let slot = (*at + *after).since(START).as_millis() as usize / 100;
        if let Some(count) = slots.get_mut(slot) {
            *count += 1;
        }
    }
    // The load changes within seconds, so each 100 ms are compared with the 2 s around them.
    for around in slots.windows(21) {
        let mean = f64::from(around.iter().sum::<u32>()) / around.len() as f64;
        let here = f64::from(around[10]);
        assert!(here < (mean * 1.6).max(40.0), "{here} return in 100 ms, {mean} on average");
    }
}

/// Guards against refusals while there is room.
#[test]
fn nothing_is_refused_under_the_usual_load() {
    for seed in 1..4 {
        let scene = Scene { seed, ..scene("the usual load", 60.0, 150.0) };
        let result = World::run(&scene, Policy::Queue);
        assert_eq!((result.refusals.len(), result.needless_refusals), (0, 0), "seed {seed}");
    }
}
