use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tealturn::{
    gateway::{
        budget::{Budget, Fleet, Limits},
        message::Usage,
    },
    kernel::{clock::Time, id::Service},
};

const STEP: Duration = Duration::from_millis(100);

/// Steps until all daemons know of a call, by the exchange.
const REPORT_STEPS: usize = 7;

/// Steps in a window of the budget.
const WINDOW_STEPS: usize = 100;

struct Case {
    what: &'static str,
    daemons: usize,
    extra: f64,
    /// Calls of the fleet in a step.
    calls: usize,
    /// The share of daemons whose calls all fail; each such call asks for three retries.
    failing: f64,
    /// Whether daemons hear of each other.
    reports: bool,
    /// Retries that should be allowed in 60 s.
    least: u32,
}

#[test]
fn retries_of_all_daemons_stay_within_the_limits_in_any_window() {
    for case in [
        Case {
            what: "a small fleet",
            daemons: 7,
            extra: 54.0,
            calls: 7,
            failing: 1.0,
            reports: true,
            least: 300,
        },
        Case {
            what: "no reports",
            daemons: 7,
            extra: 54.0,
            calls: 7,
            failing: 1.0,
            reports: false,
            least: 300,
        },
        Case {
            what: "a large fleet",
            daemons: 195,
            extra: 430.0,
            calls: 48,
            failing: 1.0,
            reports: true,
            least: 3_000,
        },
        // Engines that crash fail the calls of some daemons only. An even share of the budget would
        // give these 39 daemons 600 retries in 60 s.
        Case {
            what: "a fifth fails",
            daemons: 195,
            extra: 430.0,
            calls: 48,
            failing: 0.2,
            reports: true,
            least: 2_000,
        },
    ] {
        let limits = Limits { ratio: 0.2, extra: case.extra, window: Duration::from_secs(10) };
        let mut rng = StdRng::seed_from_u64(1);
        let service = Service::from("engines");
        let mut budgets: Vec<_> = (0..case.daemons).map(|_| Budget::new(limits)).collect();
        // What each daemon had used, by step.
        let mut reports: Vec<Vec<Usage>> = Vec::new();
        let mut totals: Vec<(u32, u32)> = Vec::new();
        for step in 0..600_usize {
            let now = Time::default() + STEP * (step as u32 + 1);
            let calls = if (200..300).contains(&step) { 1 } else { case.calls };
            let known = step.checked_sub(REPORT_STEPS).map(|it| &reports[it]);
            let mut retries = 0;
            for _ in 0..calls {
                let daemon = rng.random_range(0..case.daemons);
                let budget = &mut budgets[daemon];
                budget.record_call(&service, now);
                if daemon as f64 >= case.failing * case.daemons as f64 {
                    continue;
                }
                let others = known.filter(|_| case.reports).map(|all| {
                    let mut sum = Usage::default();
                    let others = all.iter().enumerate().filter(|(it, _)| *it != daemon);
                    others.for_each(|(_, it)| sum.add(it));
                    sum
                });
                for _ in 0..3 {
                    let fleet = Fleet { daemons: case.daemons, others, random: rng.random() };
                    retries += u32::from(budget.try_retry(&service, fleet, now));
                }
            }
            totals.push((calls as u32, retries));
            let used = |it: &mut Budget| it.usages(now).first().copied().unwrap_or_default();
            reports.push(budgets.iter_mut().map(used).collect());
        }
        for (start, window) in totals.windows(WINDOW_STEPS).enumerate() {
            let calls: u32 = window.iter().map(|it| it.0).sum();
            let retries: u32 = window.iter().map(|it| it.1).sum();
            let allowed = f64::from(calls) * limits.ratio + limits.extra;
            assert!(
                f64::from(retries) <= allowed,
                "{}: {retries} retries, {allowed} allowed in the window at step {start}",
                case.what
            );
        }
        let total: u32 = totals.iter().map(|it| it.1).sum();
        assert!(total > case.least, "{}: allowed only {total}", case.what);
    }
}
