use std::time::Duration;

use tealturn::{
    gateway::pace::{Baseline, Estimate, Observation, Pace, Sample},
    kernel::clock::Time,
};

const START: Time = Time::from_millis(100_000);

fn first_event(millis: u64) -> Observation {
    Observation::FirstEvent {
        elapsed: Duration::from_millis(millis),
        prefill: Duration::from_millis(80),
    }
}

fn interval(millis: u64) -> Observation {
    let elapsed = Duration::from_millis(millis);
    Observation::Interval { elapsed, calls: 4, is_prefilling: false }
}

/// A baseline after many observations of average engines.
fn baseline(usual: &Observation) -> Baseline {
    let (baseline, mut average) = (Baseline::default(), Estimate::default());
    for _ in 0..100 {
        average.record(usual, &baseline, START);
    }
    assert_eq!(average.pace(None, START), Pace::default());
    baseline
}

/// Guards against a kind of observation that is not used, and against one that is used alone.
#[test]
fn a_slow_engine_is_recognised_by_each_kind_of_observation() {
    struct Case {
        usual: Observation,
        slow: Observation,
        observations: usize,
    }
    for Case { usual, slow, observations } in [
        Case { usual: first_event(100), slow: first_event(180), observations: 20 },
        Case { usual: interval(30), slow: interval(54), observations: 200 },
        Case { usual: Observation::Report(1.0), slow: Observation::Report(1.8), observations: 40 },
    ] {
        let (baseline, mut engine) = (baseline(&usual), Estimate::default());
        let mut others = Estimate::default();
        for _ in 0..observations {
            engine.record(&slow, &baseline, START);
            (0..9).for_each(|_| others.record(&usual, &baseline, START));
        }
        let slowdown = engine.pace(None, START).slowdown;
        assert!((1.3..2.0).contains(&slowdown), "{slow:?}: {slowdown}");
        let later = START + Duration::from_secs(120);
        assert_eq!(engine.pace(None, later), Pace::default(), "{slow:?} counts for too long");
    }
}

/// Guards against a single late event that keeps calls away from an engine.
#[test]
fn one_observation_makes_no_difference() {
    let (baseline, mut engine) = (baseline(&first_event(100)), Estimate::default());
    engine.record(&first_event(4_000), &baseline, START);
    assert_eq!(engine.pace(None, START), Pace::default());
}

/// Guards against figures that no machine can have.
#[test]
fn implausible_reports_are_ignored() {
    let baseline = baseline(&Observation::Report(1.0));
    for figure in [0.0, -1.0, 1e18, f64::NAN, f64::INFINITY] {
        let mut engine = Estimate::default();
        for _ in 0..50 {
            engine.record(&Observation::Report(figure), &baseline, START);
        }
        assert_eq!(engine.pace(None, START), Pace::default(), "{figure}");
    }
}

/// Other work slows a machine down for a moment. Guards against a report that counts for longer, and
/// against one that is taken for the lasting speed.
#[test]
fn a_report_counts_for_a_moment() {
    let (baseline, mut engine) = (baseline(&Observation::Report(1.0)), Estimate::default());
    for _ in 0..20 {
        engine.record(&Observation::Report(1.0), &baseline, START);
    }
    engine.record(&Observation::Report(2.5), &baseline, START);
    let slowdown = engine.pace(None, START).slowdown;
    assert!(slowdown > 2.0, "{slowdown}");
    let later = START + Duration::from_secs(1);
    assert_eq!(engine.pace(None, later), Pace::default());
}

/// In a large fleet a daemon sends an engine a call every 18 s. Guards against an estimate that is
/// never made because no daemon sees enough by itself.
#[test]
fn observations_of_many_daemons_count_together() {
    let engine = Estimate::default();
    let one = Sample { weight: 1.0, sum: 0.6 };
    let many = (0..19).fold(one, |sum, _| sum.combined_with(&one));
    assert_eq!(engine.pace(Some(&one), START), Pace::default());
    let slowdown = engine.pace(Some(&many), START).slowdown;
    assert!((1.5..1.85).contains(&slowdown), "{slowdown}");
    let broken = Sample { weight: f32::NAN, sum: f32::INFINITY };
    assert_eq!(engine.pace(Some(&broken), START), Pace::default());
}
