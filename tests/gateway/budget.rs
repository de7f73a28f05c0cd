use std::time::Duration;

use tealturn::{
    gateway::budget::{Budget, Limits},
    kernel::{clock::Time, id::Service},
};

const LIMITS: Limits = Limits { ratio: 0.2, extra: 54.0, window: Duration::from_secs(10) };

/// The number of daemons that share the budget.
const DAEMONS: usize = 7;

#[test]
fn retries_of_all_daemons_stay_within_the_limits_in_any_window() {
    let service = Service::from("engines");
    let mut budgets: Vec<_> = (0..DAEMONS).map(|_| Budget::new(LIMITS)).collect();
    // (second, calls, retries) across all daemons.
    let mut totals: Vec<(u64, u32, u32)> = Vec::new();
    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        let calls = if (20..30).contains(&second) { 5 } else { 70 };
        let mut retries = 0;
        for call in 0..calls {
            let budget = &mut budgets[call as usize % DAEMONS];
            budget.record_call(&service, now);
            // Every attempt fails, so each call requests three retries.
            retries += (0..3).filter(|_| budget.try_retry(&service, DAEMONS, now)).count() as u32;
        }
        totals.push((second, calls, retries));
    }
    for window in totals.windows(10) {
        let calls: u32 = window.iter().map(|it| it.1).sum();
        let retries: u32 = window.iter().map(|it| it.2).sum();
        let allowed = f64::from(calls) * LIMITS.ratio + LIMITS.extra;
        assert!(
            f64::from(retries) <= allowed,
            "{retries} retries, {allowed} allowed in the window at second {}",
            window[0].0
        );
    }
    let total: u32 = totals.iter().map(|it| it.2).sum();
    assert!(total > 300, "the budget should allow retries, but allowed only {total}");
}
