//! Permits for requests to upstreams that named a limit, in fleets of any size.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        context::Context,
        dialect::Notice,
        limit::Statement,
        permit::{self, Ask, Issuer, Purpose, Verdict},
        roster::Endpoint,
    },
    kernel::{clock::Time, id::Incarnation},
};

use crate::simulation::Fleet;

const SIZES: [usize; 4] = [7, 86, 195, 350];

/// The span in which requests are counted, and the requests allowed in it beside one and a half times
/// what the limit says (rules).
const WINDOW: Duration = Duration::from_secs(4);
const EXTRA: f64 = 5.0;

/// How long after it was told a daemon's requests count.
const TOLD: Duration = Duration::from_millis(500);

/// How long a disturbance excuses a daemon.
const STABLE: Duration = Duration::from_secs(5);

/// How long a daemon waits whose question isn't answered.
const UNANSWERED: Duration = Duration::from_millis(300);

const STEP: Duration = Duration::from_millis(10);

fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + EXTRA
}

fn ask(purpose: Purpose) -> Ask {
    Ask { upstream: 7, incarnation: Incarnation(1), rate: 1.0, purpose }
}

/// The most that were sent in a window.
fn most(sent: &[Time]) -> usize {
    let until =
        |last: &Time| sent.iter().filter(|it| **it <= *last && **it + WINDOW > *last).count();
    sent.iter().map(until).max().unwrap_or(0)
}

#[test]
fn an_issuer_keeps_the_limit_however_often_it_is_asked() {
    struct Case {
        rate: f64,
        orders: bool,
    }
    let cases = [0.0, 0.2, 1.0, 1.2, 7.5, 40.0].into_iter();
    let cases = cases.flat_map(|rate| [false, true].map(|orders| Case { rate, orders }));
    for case in cases {
        let (mut issuer, mut sent) = (Issuer::default(), Vec::new());
        let purpose = if case.orders { Purpose::Order } else { Purpose::Call };
        for ms in 0..20_000 {
            // It is not asked for a while.
            if (6_000..12_000).contains(&ms) {
                continue;
            }
            let now = Time(1) + Duration::from_millis(ms);
            if issuer.decide(&ask(purpose), case.rate, 0.5, now) == Verdict::Granted {
                sent.push(now);
            }
        }
        let most = most(&sent) as f64;
        assert!(most <= allowed(case.rate), "{} {}: {most}", case.rate, case.orders);
        assert!(most >= (0.9 * case.rate * WINDOW.as_secs_f64()).floor(), "{}: {most}", case.rate);
    }
}

/// An engine must get its weights although calls use up what it takes: reports alone would use up what is
/// granted ahead of time.
#[test]
fn a_load_order_and_the_report_before_it_get_permits_ahead_of_calls() {
    const DENIED: Verdict = Verdict::Denied(Duration::from_secs(1));
    let mut issuer = Issuer::default();
    let second = |s: u64| Time(1) + Duration::from_secs(s);
    let mut decide = |purpose, s| issuer.decide(&ask(purpose), 1.0, 0.0, second(s));
    assert_eq!(decide(Purpose::Call, 0), DENIED);
    assert_eq!(decide(Purpose::Report, 0), Verdict::Granted);
    assert_eq!(decide(Purpose::Report, 0), DENIED, "it would leave no permit for the order");
    assert_eq!(decide(Purpose::Order, 0), Verdict::Granted);
    assert_eq!(decide(Purpose::Order, 0), DENIED);
    assert_eq!(decide(Purpose::Report, 1), DENIED);
    assert_eq!(decide(Purpose::Report, 2), Verdict::Granted);
    assert_eq!(decide(Purpose::Order, 2), Verdict::Granted);
    assert_eq!(decide(Purpose::Call, 2), Verdict::Denied(Duration::from_secs(3)));
    assert_eq!(decide(Purpose::Call, 5), Verdict::Granted);
}

/// A fleet whose daemons send requests to one upstream with a limit.
struct Demand {
    fleet: Fleet,
    daemons: usize,
    rng: StdRng,
    rate: f64,
    /// Requests that daemons want to send in a second, all together.
    requests_s: f64,
    /// When each daemon was last disturbed.
    disturbed_at: Vec<Option<Time>>,
    /// What undisturbed daemons sent to the upstream.
    sent: Vec<Time>,
    /// Questions of each step of the last second, and the most in a second.
    questions: VecDeque<usize>,
    most_questions: usize,
}

fn upstream(context: &Context) -> Arc<Endpoint> {
    let view = context.view.load();
    view.all().find(|it| it.name.as_str() == "engine-7").expect("a known engine").clone()
}

impl Demand {
    fn new(daemons: usize, rate: f64, seed: u64) -> Demand {
        let mut fleet = Fleet::new(daemons, 78, seed);
        fleet.run(Duration::from_secs(5));
        let finder = fleet.context(daemons / 2).clone();
        let notice = Notice { limit: Statement::Limited(rate), ..Notice::default() };
        finder.take_notice(&upstream(&finder), notice, finder.now());
        Demand {
            fleet,
            daemons,
            rng: StdRng::seed_from_u64(seed),
            rate,
            requests_s: 6.0,
            disturbed_at: vec![None; daemons],
            sent: Vec::new(),
            questions: VecDeque::new(),
            most_questions: 0,
        }
    }

    fn disturb(&mut self, index: usize) {
        self.disturbed_at[index] = Some(self.fleet.now);
    }

    /// Whether the daemon runs and is not cut off.
    fn answers(&self, context: &Arc<Context>) -> bool {
        self.fleet.contexts().iter().any(|it| Arc::ptr_eq(it, context))
    }

    fn run(&mut self, time: Duration) {
        let end = self.fleet.now + time;
        while self.fleet.now < end {
            self.fleet.run(STEP);
            let wanted = self.requests_s * STEP.as_secs_f64();
            let requests =
                wanted.floor() as usize + usize::from(self.rng.random_bool(wanted.fract()));
            let mut questions = 0;
            for _ in 0..requests {
                let index = self.rng.random_range(0..self.daemons);
                questions += usize::from(self.request(index));
            }
            self.questions.push_back(questions);
            if self.questions.len() > 100 {
                self.questions.pop_front();
            }
            self.most_questions = self.most_questions.max(self.questions.iter().sum());
        }
    }

    /// A daemon wants to send a request; returns whether it asked another one for a permit.
    fn request(&mut self, index: usize) -> bool {
        let Some(context) = self.fleet.try_context(index).cloned() else { return false };
        let (upstream, now) = (upstream(&context), context.now());
        if upstream.health.permit_denied_until(now).is_some() {
            return false;
        }
        let Some(ask) = permit::ask(&upstream, Purpose::Call) else {
            self.send(index);
            return false;
        };
        let plan = context.plan.load_full();
        let own = context.settings.daemon.as_str();
        let name = permit::issuer(own, &plan, upstream.hash);
        let issuer = match name == own {
            true => Some(context.clone()),
            false => self.fleet.named(name).filter(|it| self.answers(&context) && self.answers(it)),
        };
        let verdict = issuer.map(|it| permit::decide(&it, &ask));
        match verdict {
            Some(Verdict::Granted) => self.send(index),
            Some(Verdict::Denied(pause)) => upstream.health.await_permit(now + pause),
            None => upstream.health.await_permit(now + UNANSWERED),
        }
        name != own
    }

    fn send(&mut self, index: usize) {
        let now = self.fleet.now;
        if self.disturbed_at[index].is_none_or(|it| now.since(it) >= STABLE) {
            self.sent.push(now);
        }
    }

    /// Forgets what was sent before all daemons were told.
    fn begin(&mut self) {
        self.run(TOLD * 2);
        self.sent.clear();
    }

    fn assert_kept(&self, what: &str) {
        let most = most(&self.sent) as f64;
        let bound = allowed(self.rate);
        assert!(most <= bound, "{}, {what}: {most} requests in 4 s, allowed {bound}", self.daemons);
    }
}

/// Guards against a limit that each daemon keeps for itself: hundreds of them would send hundreds of
/// times as much (incident inc1).
#[test]
fn a_fleet_of_any_size_keeps_a_limit_and_uses_it() {
    for daemons in SIZES {
        let rates: &[f64] = if daemons < 100 { &[0.5, 1.0, 3.0, 20.0] } else { &[1.0, 20.0] };
        for rate in rates.iter().copied() {
            let mut demand = Demand::new(daemons, rate, 11);
            demand.requests_s = 10.0 * rate;
            demand.begin();
            let watched = Duration::from_secs(12).max(Duration::from_secs(12).div_f64(rate));
            demand.run(watched);
            demand.assert_kept(&format!("limit {rate}"));
            let used = demand.sent.len() as f64 / watched.as_secs_f64();
            eprintln!("{daemons}, limit {rate}: {used:.2} requests a second");
            assert!(used >= 0.7 * rate, "{daemons}, limit {rate}: {used} requests a second");
            // No upstream but this one asks anything of a daemon.
            assert!(demand.most_questions <= 200, "{daemons}: {} questions", demand.most_questions);
        }
    }
}

/// All daemons want to send at the same moment, after a time without any request.
#[test]
fn a_burst_at_all_daemons_keeps_a_limit() {
    for daemons in SIZES {
        let mut demand = Demand::new(daemons, 1.0, 12);
        demand.begin();
        demand.requests_s = 0.0;
        demand.run(Duration::from_secs(6));
        demand.requests_s = 2_000.0;
        demand.run(Duration::from_secs(6));
        demand.assert_kept("burst");
    }
}

/// The issuer dies, daemons are cut off with and without it, start again and are told anew.
#[test]
fn a_limit_is_kept_while_issuers_die_and_daemons_are_cut_off() {
    for (daemons, seeds) in [(7, 1..=4), (86, 1..=2), (195, 1..=1)] {
        for seed in seeds {
            let mut demand = Demand::new(daemons, 2.0, seed);
            demand.requests_s = 60.0;
            demand.begin();
            for round in 0..6 {
                let context = demand.fleet.contexts()[0].clone();
                let (own, plan) = (context.settings.daemon.as_str(), context.plan.load_full());
                let issuer = permit::issuer(own, &plan, upstream(&context).hash).to_owned();
                let issuer = demand.fleet.index(&issuer);
                let other = (issuer + 1 + round) % daemons;
                demand.disturb(issuer);
                demand.disturb(other);
                demand.fleet.kill(issuer);
                demand.fleet.cut(other, true);
                demand.run(Duration::from_secs(3));
                demand.fleet.start(issuer);
                demand.fleet.cut(other, false);
                demand.disturb(issuer);
                demand.disturb(other);
                demand.run(Duration::from_secs(3));
            }
            demand.assert_kept(&format!("seed {seed}"));
            assert!(demand.sent.len() >= 20, "{daemons}: {} requests in 36 s", demand.sent.len());
        }
    }
}

/// Another limit, and the end of one, must reach daemons that send nothing to the upstream themselves.
#[test]
fn all_daemons_know_a_limit_its_change_and_its_end() {
    for daemons in SIZES {
        let mut fleet = Fleet::new(daemons, 78, 13);
        fleet.run(Duration::from_secs(5));
        for (round, rate) in [Some(4.0), Some(1.0), Some(2.0), None].into_iter().enumerate() {
            let finder = fleet.context((round * 3) % daemons).clone();
            let limit = rate.map_or(Statement::Unlimited, Statement::Limited);
            let notice = Notice { limit, ..Notice::default() };
            finder.take_notice(&upstream(&finder), notice, finder.now());
            let know = |it: &Fleet| {
                it.contexts().iter().all(|it| upstream(it).health.limit().rate == rate)
            };
            let took = fleet.run_until(Duration::from_millis(1_500), know);
            assert!(took.is_some(), "{daemons}: {rate:?} not known everywhere");
            fleet.run(Duration::from_secs(1));
            assert!(know(&fleet), "{daemons}: {rate:?} didn't last");
        }
    }
}
