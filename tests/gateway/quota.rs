//! Quotas of workspaces, in fleets of any size.

use std::time::Duration;

use tealturn::{
    gateway::quota::{Ask, Authority, Grant, Issuer, Quota, Terms, Tolerance, Unit},
    kernel::{clock::Time, id::Incarnation},
};

use crate::quota_scene::{Callers, Scene};

const SIZES: [usize; 3] = [7, 76, 350];

/// The least part of what a workspace may use that must be granted.
const LEAST: f64 = 0.98;

const SECOND: Duration = Duration::from_secs(1);

const REQUESTS: Quota = Quota { rate: 10.0, burst: 20.0, unit: Unit::Requests };

fn terms(quota: Quota) -> Terms {
    let window = Duration::from_secs(8);
    Terms::new(quota, Tolerance { window, excess: 0.1, slack: 1_000.0 })
}

fn ask(amount: u64, is_retry: bool) -> Ask {
    Ask { workspace: 7, amount, quota: REQUESTS, is_retry }
}

fn at(ms: u64) -> Time {
    Time(1_000_000) + Duration::from_millis(ms)
}

/// Guards against limits that each daemon keeps for itself, against equal shares when all callers are at one
/// daemon, and against shares that follow demand too late.
#[test]
fn a_fleet_of_any_size_grants_a_quota_and_no_more() {
    struct Case {
        what: &'static str,
        callers: Callers,
        load: f64,
        least: f64,
    }
    for daemons in SIZES {
        for case in [
            Case { what: "one daemon", callers: Callers::At(3), load: 2.0, least: LEAST },
            Case { what: "evenly", callers: Callers::Everywhere, load: 2.0, least: LEAST },
            Case { what: "moving", callers: Callers::Moving, load: 2.0, least: LEAST },
            Case { what: "eightfold", callers: Callers::Everywhere, load: 8.0, least: LEAST },
        ] {
            let mut scene = Scene::new(daemons, 1);
            (scene.callers, scene.load) = (case.callers, case.load);
            scene.run(SECOND * 16);
            scene.assert_kept(case.what);
            for it in &scene.workspaces {
                let usable = it.quota.rate * 16.0 + it.quota.burst;
                let part = it.total / usable;
                assert!(part >= case.least, "{daemons}, {}, {}: {part}", case.what, it.name);
            }
        }
    }
}

/// Guards against refusals of workspaces that stay within their quotas.
#[test]
fn requests_within_a_quota_are_granted() {
    for daemons in SIZES {
        let mut scene = Scene::new(daemons, 2);
        (scene.callers, scene.load) = (Callers::Everywhere, 0.9);
        scene.run(SECOND * 16);
        for it in &scene.workspaces {
            let part = it.total / (it.quota.rate * 16.0 * 0.9);
            assert!(part >= 0.97, "{daemons}, {}: {part} of what was asked for", it.name);
        }
    }
}

/// Guards against full bursts that are granted again by issuers that know nothing of the ones before.
#[test]
fn a_quota_is_kept_when_all_daemons_are_killed_together() {
    for daemons in SIZES {
        let mut scene = Scene::new(daemons, 3);
        (scene.callers, scene.load) = (Callers::Everywhere, 8.0);
        scene.run(SECOND * 8);
        for _ in 0..2 {
            (0..daemons).for_each(|it| scene.fleet.kill(it));
            scene.run(SECOND / 2);
            for index in 0..daemons {
                scene.fleet.start(index);
                scene.fleet.read(index, tealturn::gateway::store::Topic::Operator);
            }
            scene.run(SECOND * 6);
        }
        scene.assert_kept("killed together");
    }
}

/// Guards against successors that don't know what was granted, and against a stop of grants.
#[test]
fn a_quota_is_kept_while_issuers_are_killed_one_after_the_other() {
    for daemons in SIZES {
        for callers in [Callers::Everywhere, Callers::At(1)] {
            let mut scene = Scene::new(daemons, 4);
            (scene.callers, scene.load) = (callers, 2.0);
            scene.run(SECOND * 4);
            let mut killed = Vec::new();
            for round in 0..8 {
                let issuer = scene.issuer(round % 3);
                scene.fleet.kill(issuer);
                killed.push(issuer);
                scene.run(SECOND * 2);
                if killed.len() > 1 {
                    scene.fleet.start(killed.remove(0));
                }
            }
            scene.run(SECOND * 4);
            scene.assert_kept("issuers killed");
            for it in &scene.workspaces {
                let part = it.total / (it.quota.rate * 24.0);
                eprintln!("{daemons} daemons, issuers killed, {}: {part:.3} of the rate", it.name);
                assert!(part >= 0.3, "{daemons}, {}: {part}", it.name);
            }
        }
    }
}

/// Guards against daemons that are cut off and grant a whole quota by themselves: issuers, all daemons of one
/// zone, and every fifth daemon.
#[test]
fn a_quota_is_kept_while_daemons_are_cut_off() {
    for daemons in SIZES {
        for callers in [Callers::Everywhere, Callers::Moving] {
            let mut scene = Scene::new(daemons, 5);
            (scene.callers, scene.load) = (callers, 8.0);
            scene.run(SECOND * 4);
            let issuers: Vec<_> = (0..3).map(|it| scene.issuer(it)).collect();
            for cut in [issuers, (0..daemons).step_by(5).collect()] {
                cut.iter().for_each(|it| scene.fleet.cut(*it, true));
                scene.run(SECOND * 10);
                cut.iter().for_each(|it| scene.fleet.cut(*it, false));
                scene.run(SECOND * 5);
            }
            scene.assert_kept("cut off");
        }
    }
}

fn assert_kept_in_two_parts(daemons: usize) {
    for first in [daemons / 2, daemons / 3, daemons / 2 + 1] {
        // After a time without requests, both would have a full burst.
        for idle in [false, true] {
            let mut scene = Scene::new(daemons, 6);
            scene.load = 8.0;
            scene.callers = if idle { Callers::Nobody } else { Callers::Everywhere };
            scene.run(SECOND * 4);
            scene.callers = Callers::Everywhere;
            (0..first).for_each(|it| scene.fleet.separate(it, 1));
            scene.run(SECOND * 12);
            (0..first).for_each(|it| scene.fleet.separate(it, 0));
            scene.run(SECOND * 10);
            scene.assert_kept(&format!("{first} separated, idle before: {idle}"));
            for it in &scene.workspaces {
                let part = it.total / (it.quota.rate * 22.0);
                assert!(part >= 0.5, "{daemons}, {first}, {}: {part}", it.name);
            }
        }
    }
}

/// Guards against two issuers that grant a whole quota each: in halves of equal size, and in a majority and a
/// minority.
#[test]
fn a_quota_is_kept_in_two_parts_that_do_not_see_each_other() {
    assert_kept_in_two_parts(7);
    assert_kept_in_two_parts(76);
}

/// The same in a fleet whose hubs change in great numbers when it is divided.
#[test]
fn a_quota_is_kept_in_two_parts_of_350_daemons() {
    assert_kept_in_two_parts(350);
}

/// Guards against amounts that accrue while a daemon is suspended.
#[test]
fn a_quota_is_kept_by_an_issuer_that_freezes_and_resumes() {
    for daemons in SIZES {
        let mut scene = Scene::new(daemons, 7);
        (scene.callers, scene.load) = (Callers::Everywhere, 8.0);
        scene.run(SECOND * 4);
        for index in 0..3 {
            let issuer = scene.issuer(index);
            scene.freeze(issuer, true);
            scene.run(SECOND * 5);
            scene.freeze(issuer, false);
            scene.run(SECOND * 4);
        }
        scene.assert_kept("frozen");
    }
}

/// Guards against a burst of the old quota that is granted under the new one.
#[test]
fn a_quota_that_was_lowered_or_raised_is_kept_and_granted() {
    for daemons in SIZES {
        let mut scene = Scene::new(daemons, 8);
        (scene.callers, scene.load) = (Callers::Everywhere, 4.0);
        for factor in [0.25, 8.0, 0.125] {
            scene.run(SECOND * 3);
            scene.callers = Callers::Nobody;
            scene.run(SECOND * 3);
            for it in &mut scene.workspaces {
                it.quota.rate *= factor;
                it.quota.burst *= factor;
            }
            scene.write_quotas();
            scene.run(SECOND * 2);
            // All daemons know it from here on.
            scene.callers = Callers::Everywhere;
            scene.begin();
            scene.run(SECOND * 12);
            scene.assert_kept(&format!("quota times {factor}"));
            for it in &scene.workspaces {
                let part = it.total / (it.quota.rate * 12.0).floor().max(1.0);
                assert!(part >= LEAST, "{daemons}, times {factor}, {}: {part}", it.name);
            }
        }
    }
}

#[test]
fn an_issuer_charges_what_ran_and_takes_back_what_did_not() {
    let mut issuer = Issuer::new(at(0));
    let terms = terms(REQUESTS);
    let mut now = at(60_000);
    let decide = |issuer: &mut Issuer, amount, is_retry, now| {
        issuer.decide(&ask(amount, is_retry), &terms, Authority::Issuer, now)
    };
    for number in 0..21 {
        assert_eq!(decide(&mut issuer, 1, false, now), Ok(()), "{number}");
    }
    let denial = decide(&mut issuer, 1, false, now).expect_err("the burst is used up");
    assert!(denial.retry_after <= Duration::from_millis(100), "{denial:?}");
    // It is admitted when the answer says so.
    now = now + denial.retry_after + Duration::from_millis(1);
    assert_eq!(decide(&mut issuer, 1, false, now), Ok(()));
    assert_eq!(decide(&mut issuer, 5, true, now), Ok(()), "a retry is never refused");
    let denial = decide(&mut issuer, 1, false, now).expect_err("the retry was charged");
    assert!(denial.retry_after > Duration::from_millis(500), "{denial:?}");
    let grant = Grant { workspace: 7, amount: 6, incarnation: Incarnation(1) };
    issuer.take_back(&grant, now);
    assert_eq!(decide(&mut issuer, 1, false, now), Ok(()), "what did not run is free again");
}

/// Guards against an overflow, and against a request that waits for an amount that never accrues.
#[test]
fn a_request_beyond_any_window_is_refused_without_a_charge() {
    let terms = terms(REQUESTS);
    for amount in [101, 1_000_000_000_000_000_000, u64::MAX] {
        let mut issuer = Issuer::new(at(0));
        let denial = issuer.decide(&ask(amount, false), &terms, Authority::Issuer, at(60_000));
        assert_eq!(denial.expect_err("too large").retry_after, Duration::from_secs(3_600));
        let rest = issuer.decide(&ask(20, false), &terms, Authority::Issuer, at(60_000));
        assert_eq!(rest, Ok(()), "{amount} was charged");
    }
}

/// Guards against requests larger than the burst that are never admitted, and against usage beyond the rule
/// when they are.
#[test]
fn a_request_larger_than_the_burst_is_admitted_after_a_pause() {
    let (mut issuer, terms) = (Issuer::new(at(0)), terms(REQUESTS));
    let mut sent: Vec<(Time, u64)> = Vec::new();
    let mut now = at(60_000);
    for round in 0..4_000 {
        now = now + Duration::from_millis(10);
        // Small ones for a while, then large ones that retry until they are admitted.
        let amount = if round % 2_000 < 400 { 1 } else { 90 };
        if issuer.decide(&ask(amount, false), &terms, Authority::Issuer, now).is_ok() {
            sent.push((now, amount));
        }
    }
    assert!(sent.iter().any(|(_, amount)| *amount == 90), "none was admitted");
    let most = sent.iter().map(|(last, _)| {
        let window = sent.iter().filter(|(it, _)| it <= last && last.since(*it).as_secs() < 8);
        window.map(|(_, amount)| amount).sum::<u64>()
    });
    assert!(most.max() <= Some(110), "more than the rule allows in a window");
}
