use std::time::Duration;

use tealturn::{
    gateway::{
        cache::Held,
        gauge::Outcomes,
        peer::{CacheUpdates, EngineLoad, News, PEER_TIMEOUT, Peers},
    },
    kernel::{clock::Time, id::Incarnation},
};

fn news(ready: bool, shares: Vec<EngineLoad>) -> News {
    News {
        incarnation: Incarnation(1),
        ready,
        document: Some(3),
        age_us: Some(0),
        weights: Vec::new(),
        told: Vec::new(),
        last: 0,
        held: Vec::new(),
        shares,
        dead: Vec::new(),
        suspects: Vec::new(),
    }
}

#[test]
fn a_peer_that_falls_silent_or_is_not_ready_gets_no_callers() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    assert!(!peers.accepts_callers("b", start), "it was never heard");
    peers.record_news("b", &news(true, Vec::new()), start);
    assert!(peers.accepts_callers("b", start));
    assert!(!peers.accepts_callers("b", start + PEER_TIMEOUT));
    assert!(!peers.any_responsive(start + PEER_TIMEOUT));
    peers.record_news("b", &news(false, Vec::new()), start + PEER_TIMEOUT);
    assert!(!peers.accepts_callers("b", start + PEER_TIMEOUT));
    assert!(peers.any_responsive(start + PEER_TIMEOUT));
}

#[test]
fn what_peers_have_at_an_engine_adds_up_while_it_is_young() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    let outcomes = Outcomes { calls: 4.0, failures: 1.0 };
    let share = |calls| vec![EngineLoad { engine: 5, calls, tokens: 100, memory: 1_000, outcomes }];
    peers.record_news("b", &news(true, share(2)), start);
    peers.record_news("c", &news(true, share(3)), start);
    assert_eq!(
        peers.fleet_load()[&5],
        EngineLoad {
            engine: 0,
            calls: 5,
            tokens: 200,
            memory: 2_000,
            outcomes: Outcomes { calls: 8.0, failures: 2.0 },
        }
    );
    let later = start + Duration::from_secs(2);
    peers.record_news("c", &news(true, share(1)), later);
    assert_eq!(peers.fleet_load()[&5].calls, 1, "b has not answered for two seconds");
}

#[test]
fn facts_are_told_once_and_only_those_that_are_kept() {
    let mut facts = CacheUpdates::default();
    let fact = |part| Held { cache: 1, incarnation: Incarnation(1), part, tokens: 1, shared: true };
    (1..=3).for_each(|it| facts.add(fact(it)));
    let (last, all) = facts.after(0);
    assert_eq!((last, all.len()), (3, 3));
    let (last, new) = facts.after(2);
    assert_eq!((last, new), (3, vec![fact(3)]));
    assert!(facts.after(3).1.is_empty());
    (0..5_000).for_each(|it| facts.add(fact(it)));
    let (last, kept) = facts.after(3);
    assert_eq!(last, 5_003);
    assert!(kept.len() < 5_000 && kept.last() == Some(&fact(4_999)));
}
