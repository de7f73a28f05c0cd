use std::time::Duration;

use tealturn::{
    gateway::gauge::{Health, INACTIVITY_TIMEOUT},
    kernel::clock::Time,
};

const START: Time = Time::from_millis(10_000);

#[test]
fn an_inactive_upstream_with_calls_in_flight_is_probed_and_marked_dead() {
    let health = Health::default();
    assert!(!health.start_probe_if_due(START), "no calls are in flight");
    let death = health.start_call(100, 100, START);
    assert!(!health.start_probe_if_due(START + INACTIVITY_TIMEOUT / 2));
    let later = START + INACTIVITY_TIMEOUT;
    assert!(health.start_probe_if_due(later));
    assert!(!health.record_probe(false, later), "a single failed probe may be due to packet loss");
    assert!(health.is_unavailable(later), "a suspected upstream gets no calls");
    assert!(!death.is_cancelled());
    assert!(health.start_probe_if_due(later), "the second probe follows at once");
    assert!(health.record_probe(false, later));
    assert!(health.is_dead() && death.is_cancelled(), "its calls are cancelled");
    let later = later + Duration::from_secs(1);
    assert!(health.start_probe_if_due(later), "a dead upstream is probed even without calls");
    assert!(health.record_probe(true, later));
    assert!(!health.is_dead() && !health.is_unavailable(later));
    assert!(!health.start_call(0, 0, later).is_cancelled());
}

#[test]
fn activity_clears_suspicion() {
    let health = Health::default();
    let _death = health.start_call(100, 100, START);
    let later = START + INACTIVITY_TIMEOUT;
    health.mark_suspected(later);
    assert!(health.is_unavailable(later), "another daemon reported it dead");
    health.record_activity(later);
    assert!(!health.is_unavailable(later));
    health.mark_suspected(later + INACTIVITY_TIMEOUT / 2);
    assert!(!health.is_unavailable(later), "recent activity takes precedence over the report");
}

#[test]
fn a_refused_connection_cancels_calls_at_once() {
    let health = Health::default();
    let death = health.start_call(100, 100, START);
    health.mark_dead();
    assert!(health.is_unavailable(START) && death.is_cancelled());
}

#[test]
fn consecutive_failures_eject_with_exponential_backoff() {
    let health = Health::default();
    assert!(!health.record_failure(START));
    assert!(!health.record_failure(START));
    health.record_success(START);
    assert!(!health.record_failure(START) && !health.record_failure(START));
    assert!(health.record_failure(START));
    assert!(health.is_unavailable(START + Duration::from_millis(400)));
    assert!(!health.is_unavailable(START + Duration::from_millis(500)));
    health.record_failure(START);
    assert!(health.is_unavailable(START + Duration::from_millis(900)));
}

#[test]
fn finished_calls_release_what_they_reserved() {
    let health = Health::default();
    let _death = health.start_call(2_890, 9_200, START);
    assert_eq!(
        (health.calls_in_flight(), health.pending_prompt_tokens(), health.reserved_tokens()),
        (1, 2_890, 9_200)
    );
    health.finish_prompt(2_890);
    assert_eq!(
        (health.calls_in_flight(), health.pending_prompt_tokens(), health.reserved_tokens()),
        (1, 0, 9_200)
    );
    health.end_call(9_200);
    assert_eq!(
        (health.calls_in_flight(), health.pending_prompt_tokens(), health.reserved_tokens()),
        (0, 0, 0)
    );
}

#[test]
fn the_failure_rate_rises_and_decays() {
    let health = Health::default();
    health.record_failure(START);
    assert!(
        health.recent_outcomes(START).failure_rate() <= 0.25,
        "a single failure has little effect"
    );
    for _ in 0..5 {
        health.record_success(START);
        health.record_failure(START);
    }
    let rate = health.recent_outcomes(START).failure_rate();
    assert!((0.35..0.6).contains(&rate), "{rate}");
    let later = START + Duration::from_secs(15);
    assert!(
        health.recent_outcomes(later).failure_rate() < 0.15,
        "{}",
        health.recent_outcomes(later).failure_rate()
    );
    assert!(!health.is_unavailable(START), "no three failures were consecutive");
}

#[test]
fn failures_due_to_a_crash_do_not_count_after_the_restart() {
    let health = Health::default();
    (0..8).for_each(|_| {
        health.record_failure(START);
    });
    health.mark_dead();
    let later = START + Duration::from_secs(1);
    assert!(health.start_probe_if_due(later) && health.record_probe(true, later));
    assert_eq!(health.recent_outcomes(later).failure_rate(), 0.0);
}
