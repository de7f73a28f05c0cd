use std::time::Duration;

use tealturn::{
    gateway::{
        cache::CacheEntry,
        gauge::Outcomes,
        peer::{Facts, News, Peers, SILENT, Share},
    },
    kernel::{clock::Time, id::Incarnation},
};

fn news(ready: bool, shares: Vec<Share>) -> News {
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
    assert!(!peers.takes_callers("b", start), "it was never heard");
    peers.learn("b", &news(true, Vec::new()), start);
    assert!(peers.takes_callers("b", start));
    assert!(!peers.takes_callers("b", start + SILENT));
    assert!(!peers.any_answers(start + SILENT));
    peers.learn("b", &news(false, Vec::new()), start + SILENT);
    assert!(!peers.takes_callers("b", start + SILENT));
    assert!(peers.any_answers(start + SILENT));
}

#[test]
fn what_peers_have_at_an_engine_adds_up_while_it_is_young() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    let outcomes = Outcomes { calls: 4.0, failures: 1.0 };
    let share = |calls| vec![Share { engine: 5, calls, tokens: 100, memory: 1_000, outcomes }];
    peers.learn("b", &news(true, share(2)), start);
    peers.learn("c", &news(true, share(3)), start);
    assert_eq!(
        peers.load()[&5],
        Share {
            engine: 0,
            calls: 5,
            tokens: 200,
            memory: 2_000,
            outcomes: Outcomes { calls: 8.0, failures: 2.0 },
        }
    );
    let later = start + Duration::from_secs(2);
    peers.learn("c", &news(true, share(1)), later);
    assert_eq!(peers.load()[&5].calls, 1, "b has not answered for two seconds");
}

#[test]
fn facts_are_told_once_and_only_those_that_are_kept() {
    let mut facts = Facts::default();
    let fact =
        |part| CacheEntry { cache: 1, incarnation: Incarnation(1), part, tokens: 1, shared: true };
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
