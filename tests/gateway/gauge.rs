use std::time::Duration;

use tealturn::{
    gateway::gauge::{Gauge, QUIET},
    kernel::clock::Time,
};

const START: Time = Time::from_millis(10_000);

#[test]
fn an_upstream_that_is_quiet_while_calls_wait_is_probed_and_found_dead() {
    let gauge = Gauge::default();
    assert!(!gauge.probe(START), "nothing waits there");
    let death = gauge.start(100, 100, START);
    assert!(!gauge.probe(START + QUIET / 2));
    let later = START + QUIET;
    assert!(gauge.probe(later));
    assert!(!gauge.probed(false, later), "one probe may fall to a lost packet");
    assert!(gauge.is_ejected(later), "but it gets no more calls");
    assert!(!death.is_cancelled());
    assert!(gauge.probe(later), "the second follows at once");
    assert!(gauge.probed(false, later));
    assert!(gauge.is_dead() && death.is_cancelled(), "its calls are given up");
    let later = later + Duration::from_secs(1);
    assert!(gauge.probe(later), "a dead one is probed without calls");
    assert!(gauge.probed(true, later));
    assert!(!gauge.is_dead() && !gauge.is_ejected(later));
    assert!(!gauge.start(0, 0, later).is_cancelled());
}

#[test]
fn a_sign_of_life_ends_the_suspicion() {
    let gauge = Gauge::default();
    let _death = gauge.start(100, 100, START);
    let later = START + QUIET;
    gauge.suspect(later);
    assert!(gauge.is_ejected(later), "another daemon found it dead");
    gauge.hear(later);
    assert!(!gauge.is_ejected(later));
    gauge.suspect(later + QUIET / 2);
    assert!(!gauge.is_ejected(later), "it gave a sign after the other daemon's finding");
}

#[test]
fn a_refused_connection_ends_its_calls_at_once() {
    let gauge = Gauge::default();
    let death = gauge.start(100, 100, START);
    gauge.refuse();
    assert!(gauge.is_ejected(START) && death.is_cancelled());
}

#[test]
fn failures_in_a_row_eject_for_longer_and_longer() {
    let gauge = Gauge::default();
    assert!(!gauge.fail(START));
    assert!(!gauge.fail(START));
    gauge.succeed(START);
    assert!(!gauge.fail(START) && !gauge.fail(START));
    assert!(gauge.fail(START));
    assert!(gauge.is_ejected(START + Duration::from_millis(400)));
    assert!(!gauge.is_ejected(START + Duration::from_millis(500)));
    gauge.fail(START);
    assert!(gauge.is_ejected(START + Duration::from_millis(900)));
}

#[test]
fn what_calls_take_is_given_back() {
    let gauge = Gauge::default();
    let _death = gauge.start(2_890, 9_200, START);
    assert_eq!((gauge.calls(), gauge.tokens(), gauge.memory()), (1, 2_890, 9_200));
    gauge.read(2_890);
    assert_eq!((gauge.calls(), gauge.tokens(), gauge.memory()), (1, 0, 9_200));
    gauge.end(9_200);
    assert_eq!((gauge.calls(), gauge.tokens(), gauge.memory()), (0, 0, 0));
}

#[test]
fn the_share_of_failures_shows_and_fades() {
    let gauge = Gauge::default();
    gauge.fail(START);
    assert!(gauge.outcomes(START).failing() <= 0.25, "one failure alone tells little");
    for _ in 0..5 {
        gauge.succeed(START);
        gauge.fail(START);
    }
    let share = gauge.outcomes(START).failing();
    assert!((0.35..0.6).contains(&share), "{share}");
    let later = START + Duration::from_secs(15);
    assert!(gauge.outcomes(later).failing() < 0.15, "{}", gauge.outcomes(later).failing());
    assert!(!gauge.is_ejected(START), "no three of them came in a row");
}

#[test]
fn calls_that_a_crash_broke_do_not_count_once_it_is_back() {
    let gauge = Gauge::default();
    (0..8).for_each(|_| {
        gauge.fail(START);
    });
    gauge.refuse();
    let later = START + Duration::from_secs(1);
    assert!(gauge.probe(later) && gauge.probed(true, later));
    assert_eq!(gauge.outcomes(later).failing(), 0.0);
}
