use std::time::Duration;

use tealturn::{
    gateway::message::{Age, Offset},
    kernel::clock::Time,
};

/// A revoked key must not be accepted for longer because a confirmation was on the way for long, or
/// because the clocks of two VMs differ.
#[test]
fn a_time_that_is_passed_on_is_never_later_than_it_was() {
    struct Case {
        /// How far the receiver's clock is ahead of the sender's, in milliseconds.
        ahead: i64,
        /// How long the receiver's message to the sender was on the way.
        way_there: u64,
        /// When the time lay, after the sender received the message; negative if before.
        at: i64,
    }
    for case in [
        Case { ahead: 0, way_there: 1, at: -500 },
        Case { ahead: 40_000, way_there: 300, at: -500 },
        Case { ahead: -40_000, way_there: 2, at: 200 },
        Case { ahead: 0, way_there: 1, at: -90_000 },
    ] {
        let ms = |millis: i64| Time::from_millis(u64::try_from(millis).expect("positive"));
        let sent = 50_000;
        let received = sent + case.way_there as i64;
        let offset = Offset::new(ms(received + case.at + 100_000), ms(received + 100_000));
        let echo = ms(sent + case.ahead + 50_000);
        let resolved = offset.resolve(echo);
        let truth = sent + case.way_there as i64 + case.at + case.ahead + 50_000;
        let truth = ms(truth.max(0));
        assert!(resolved <= truth, "resolved {resolved:?}, was {truth:?}");
        let early = truth.since(resolved);
        assert!(early <= Duration::from_millis(case.way_there), "{early:?} too early");
    }
}

/// Daemons keep the earliest time at which a target was learned of. If passing it on made it earlier,
/// it would wander back as long as daemons exchange it, and weights would count as superseded for too
/// long.
#[test]
fn a_time_of_which_the_earliest_counts_does_not_get_earlier_on_its_way() {
    const WAY: Duration = Duration::from_millis(5);
    let truth = Time::from_millis(10_000);
    let (mut first, mut second) = (truth, Time::from_millis(60_000));
    let mut now = Time::from_millis(11_000);
    for _ in 0..1_000 {
        let age = Age::new(first, now);
        now = now + WAY;
        second = second.min(age.resolve(now));
        let age = Age::new(second, now);
        now = now + WAY;
        first = first.min(age.resolve(now));
    }
    assert!(first >= truth && second >= truth);
    assert!(second.since(truth) <= WAY);
}
