use std::time::Duration;

use tealturn::{
    gateway::gauge::{Health, INACTIVITY_TIMEOUT, Sighting},
    kernel::clock::Time,
};

const START: Time = Time::from_millis(10_000);

fn dead_at(time: Time) -> Sighting {
    Sighting { dead_at: Some(time), alive_at: None }
}

#[test]
fn an_inactive_upstream_with_calls_in_flight_is_probed_and_marked_dead() {
    let health = Health::default();
    assert!(!health.start_probe_if_due(1, START), "no calls are in flight");
    let death = health.start_call(100, 100, START);
    assert!(!health.start_probe_if_due(1, START + INACTIVITY_TIMEOUT / 2));
    let later = START + INACTIVITY_TIMEOUT;
    assert!(health.start_probe_if_due(1, later));
    assert!(!health.record_probe(false, later), "a single failed probe may be due to packet loss");
    assert!(health.is_unavailable(later), "a suspected upstream gets no calls");
    assert!(!death.is_cancelled());
    assert!(health.start_probe_if_due(1, later), "the second probe follows at once");
    assert!(health.record_probe(false, later));
    assert!(health.is_dead() && death.is_cancelled(), "its calls are cancelled");
    let later = later + Duration::from_secs(1);
    assert!(health.start_probe_if_due(1, later), "a dead upstream is probed even without calls");
    assert!(health.record_probe(true, later));
    assert!(!health.is_dead() && !health.is_unavailable(later));
    assert!(!health.start_call(0, 0, later).is_cancelled());
}

#[test]
fn activity_clears_suspicion() {
    let health = Health::default();
    let _death = health.start_call(100, 100, START);
    let later = START + INACTIVITY_TIMEOUT;
    health.record_sighting(dead_at(later), later);
    assert!(health.is_unavailable(later), "another daemon reported it dead");
    health.record_activity(later);
    assert!(!health.is_unavailable(later));
    let shortly_after = later + INACTIVITY_TIMEOUT / 2;
    health.record_sighting(dead_at(shortly_after), shortly_after);
    assert!(!health.is_unavailable(later), "recent activity takes precedence over the report");
}

#[test]
fn a_refused_connection_cancels_calls_at_once() {
    let health = Health::default();
    let death = health.start_call(100, 100, START);
    health.mark_dead(START);
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
    health.mark_dead(START);
    let later = START + Duration::from_secs(1);
    assert!(health.start_probe_if_due(1, later) && health.record_probe(true, later));
    assert_eq!(health.recent_outcomes(later).failure_rate(), 0.0);
}

/// A dark engine is probed by each of hundreds of daemons; together they must not probe it more
/// often than a few daemons do, and all must use it again soon after one of them reached it.
#[test]
fn daemons_of_a_large_fleet_share_the_probes_of_a_dead_upstream() {
    const DAEMONS: usize = 195;
    const DARK: Duration = Duration::from_secs(16);
    const STEP: Duration = Duration::from_millis(100);
    let fleet: Vec<_> = (0..DAEMONS).map(|_| Health::default()).collect();
    let mut now = START;
    fleet.iter().for_each(|it| it.mark_dead(now));
    let mut probes = 0;
    while now < START + DARK {
        for daemon in fleet.iter().filter(|it| it.start_probe_if_due(DAEMONS, now)) {
            daemon.record_probe(false, now);
            probes += 1;
        }
        now = now + STEP;
    }
    // Each daemon probes once on its own; a fleet of four would make 40 probes.
    assert!(probes < DAEMONS + 4 * 40, "{probes} probes");
    let first = &fleet[0];
    assert!(first.record_probe(true, now));
    let later = now + STEP;
    for daemon in &fleet[1..] {
        daemon.record_sighting(first.sighting(), later);
        assert!(daemon.is_dead(), "a daemon trusts its own probe only");
        assert!(daemon.start_probe_if_due(DAEMONS, later), "which is due at once");
    }
}

#[test]
fn an_old_report_of_a_death_does_not_outweigh_a_later_sign_of_life() {
    let health = Health::default();
    health.record_activity(START);
    let later = START + INACTIVITY_TIMEOUT * 2;
    health.record_sighting(dead_at(START), later);
    assert!(!health.is_unavailable(later), "it answered this daemon after that");
    let alive = Sighting { dead_at: Some(later), alive_at: Some(later) };
    health.record_sighting(alive, later);
    assert!(!health.is_unavailable(later), "it answered another daemon after that");
    health.record_sighting(dead_at(later + INACTIVITY_TIMEOUT), later + INACTIVITY_TIMEOUT);
    assert!(health.is_unavailable(later + INACTIVITY_TIMEOUT));
}

/// An upstream that said that it leaves got calls again after a call that succeeded there.
#[test]
fn an_upstream_that_announced_that_it_leaves_stays_unavailable() {
    let health = Health::default();
    assert!(!health.is_leaving());
    assert!(health.record_leaving() && !health.record_leaving(), "it is new once");
    health.record_activity(START);
    health.record_success(START);
    health.record_probe(true, START);
    health.record_sighting(Sighting { dead_at: None, alive_at: Some(START) }, START);
    assert!(health.is_leaving() && health.is_unavailable(START + Duration::from_secs(3_600)));
}

/// A pause shorter than asked for, such as after a call in flight succeeded.
#[test]
fn nothing_but_time_ends_a_pause() {
    struct Case {
        what: &'static str,
        event: fn(&Health),
    }
    const PAUSE: Duration = Duration::from_secs(3);
    const LATER: Time = Time::from_millis(10_500);
    for case in [
        Case { what: "success", event: |it| it.record_success(LATER) },
        Case { what: "activity", event: |it| it.record_activity(LATER) },
        Case { what: "probe", event: |it| assert!(!it.record_probe(true, LATER)) },
        Case { what: "rejection", event: |it| it.eject_for(Duration::from_millis(250), LATER) },
        Case {
            what: "shorter pause",
            event: |it| assert!(!it.record_pause(Duration::from_secs(1), LATER), "goes on"),
        },
        Case { what: "no pause", event: |it| assert!(!it.record_pause(Duration::ZERO, LATER)) },
    ] {
        let (health, what) = (Health::default(), case.what);
        assert!(health.record_pause(PAUSE, START));
        (case.event)(&health);
        let end = START + PAUSE;
        let shortly_before = end - Duration::from_micros(1);
        assert!(health.is_unavailable(shortly_before), "{what}");
        assert_eq!(health.paused_until(shortly_before), Some(end), "{what}");
        assert!(!health.is_unavailable(end) && health.paused_until(end).is_none(), "{what}");
        assert!(health.record_pause(PAUSE, end), "{what}: a new pause starts");
    }
}

/// The end of a very long pause wrapped around to an early time.
#[test]
fn a_longer_pause_extends_one_in_force() {
    let health = Health::default();
    assert!(health.record_pause(Duration::from_secs(1), START));
    assert!(!health.record_pause(Duration::from_secs(2), START));
    assert!(health.is_unavailable(START + Duration::from_millis(1_999)));
    for longest in [Duration::from_secs(u64::MAX / 1_000_000 + 1), Duration::MAX] {
        let health = Health::default();
        assert!(health.record_pause(longest, START));
        assert!(health.is_unavailable(START + Duration::from_secs(1_000_000)), "{longest:?}");
    }
}
