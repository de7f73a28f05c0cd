use std::time::Duration;

use tealturn::{
    gateway::gauge::{EndpointHealth, INACTIVITY_TIMEOUT},
    kernel::clock::Time,
};

const START: Time = Time::from_millis(10_000);

#[test]
fn an_upstream_that_is_quiet_while_calls_wait_is_probed_and_found_dead() {
    let health = EndpointHealth::default();
    assert!(!health.start_probe_if_due(START), "nothing waits there");
    let death = health.start_call(100, 100, START);
    assert!(!health.start_probe_if_due(START + INACTIVITY_TIMEOUT / 2));
    let later = START + INACTIVITY_TIMEOUT;
    assert!(health.start_probe_if_due(later));
    assert!(!health.record_probe(false, later), "one probe may fall to a lost packet");
    assert!(health.is_ejected(later), "but it gets no more calls");
    assert!(!death.is_cancelled());
    assert!(health.start_probe_if_due(later), "the second follows at once");
    assert!(health.record_probe(false, later));
    assert!(health.is_dead() && death.is_cancelled(), "its calls are given up");
    let later = later + Duration::from_secs(1);
    assert!(health.start_probe_if_due(later), "a dead one is probed without calls");
    assert!(health.record_probe(true, later));
    assert!(!health.is_dead() && !health.is_ejected(later));
    assert!(!health.start_call(0, 0, later).is_cancelled());
}

#[test]
fn a_sign_of_life_ends_the_suspicion() {
    let health = EndpointHealth::default();
    let _death = health.start_call(100, 100, START);
    let later = START + INACTIVITY_TIMEOUT;
    health.mark_suspected(later);
    assert!(health.is_ejected(later), "another daemon found it dead");
    health.record_activity(later);
    assert!(!health.is_ejected(later));
    health.mark_suspected(later + INACTIVITY_TIMEOUT / 2);
    assert!(!health.is_ejected(later), "it gave a sign after the other daemon's finding");
}

#[test]
fn a_refused_connection_ends_its_calls_at_once() {
    let health = EndpointHealth::default();
    let death = health.start_call(100, 100, START);
    health.mark_dead();
    assert!(health.is_ejected(START) && death.is_cancelled());
}

#[test]
fn failures_in_a_row_eject_for_longer_and_longer() {
    let health = EndpointHealth::default();
    assert!(!health.record_failure(START));
    assert!(!health.record_failure(START));
    health.record_success(START);
    assert!(!health.record_failure(START) && !health.record_failure(START));
    assert!(health.record_failure(START));
    assert!(health.is_ejected(START + Duration::from_millis(400)));
    assert!(!health.is_ejected(START + Duration::from_millis(500)));
    health.record_failure(START);
    assert!(health.is_ejected(START + Duration::from_millis(900)));
}

#[test]
fn what_calls_take_is_given_back() {
    let health = EndpointHealth::default();
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
fn the_share_of_failures_shows_and_fades() {
    let health = EndpointHealth::default();
    health.record_failure(START);
    assert!(health.recent_outcomes(START).failure_rate() <= 0.25, "one failure alone tells little");
    for _ in 0..5 {
        health.record_success(START);
        health.record_failure(START);
    }
    let share = health.recent_outcomes(START).failure_rate();
    assert!((0.35..0.6).contains(&share), "{share}");
    let later = START + Duration::from_secs(15);
    assert!(
        health.recent_outcomes(later).failure_rate() < 0.15,
        "{}",
        health.recent_outcomes(later).failure_rate()
    );
    assert!(!health.is_ejected(START), "no three of them came in a row");
}

#[test]
fn calls_that_a_crash_broke_do_not_count_once_it_is_back() {
    let health = EndpointHealth::default();
    (0..8).for_each(|_| {
        health.record_failure(START);
    });
    health.mark_dead();
    let later = START + Duration::from_secs(1);
    assert!(health.start_probe_if_due(later) && health.record_probe(true, later));
    assert_eq!(health.recent_outcomes(later).failure_rate(), 0.0);
}
