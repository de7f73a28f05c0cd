use std::time::Duration;

use tealturn::{
    gateway::budget::{RetryBudget, RetryLimits},
    kernel::{clock::Time, id::Service},
};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, extra: 54.0, window: Duration::from_secs(10) };

/// Daemons that share the budget.
const DAEMONS: usize = 7;

#[test]
fn repeats_of_all_daemons_stay_within_the_limits_in_any_window() {
    let service = Service::from("engines");
    let mut budgets: Vec<_> = (0..DAEMONS).map(|_| RetryBudget::new(LIMITS)).collect();
    // (second, calls, repeats) of the whole fleet.
    let mut seen: Vec<(u64, u32, u32)> = Vec::new();
    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        let calls = if (20..30).contains(&second) { 5 } else { 70 };
        let mut repeats = 0;
        for call in 0..calls {
            let budget = &mut budgets[call as usize % DAEMONS];
            budget.call(&service, now);
            // Everything fails: each call would be sent again three times.
            repeats += (0..3).filter(|_| budget.repeat(&service, DAEMONS, now)).count() as u32;
        }
        seen.push((second, calls, repeats));
    }
    for window in seen.windows(10) {
        let calls: u32 = window.iter().map(|it| it.1).sum();
        let repeats: u32 = window.iter().map(|it| it.2).sum();
        let allowed = f64::from(calls) * LIMITS.ratio + LIMITS.extra;
        assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed} from {}", window[0].0);
    }
    let all: u32 = seen.iter().map(|it| it.2).sum();
    assert!(all > 300, "it is used: {all}");
}
