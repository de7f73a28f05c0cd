use std::time::Duration;

use tealturn::{
    gateway::{
        cache::Entry,
        gauge::Outcomes,
        peer::{Load, News, PEER_TIMEOUT, Peers, Updates},
    },
    kernel::{clock::Time, id::Incarnation},
};

fn news(ready: bool, engine_loads: Vec<Load>) -> News {
    News {
        incarnation: Incarnation(1),
        ready,
        document: Some(3),
        age_us: Some(0),
        weights: Vec::new(),
        rollouts: Vec::new(),
        last_update: 0,
        cache_updates: Vec::new(),
        engine_loads,
        dead: Vec::new(),
        suspects: Vec::new(),
    }
}

#[test]
fn an_unresponsive_or_unready_peer_is_not_offered_to_callers() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    assert!(!peers.accepts_callers("b", start), "it has never responded");
    peers.record_news("b", &news(true, Vec::new()), start);
    assert!(peers.accepts_callers("b", start));
    assert!(!peers.accepts_callers("b", start + PEER_TIMEOUT));
    assert!(!peers.any_responsive(start + PEER_TIMEOUT));
    peers.record_news("b", &news(false, Vec::new()), start + PEER_TIMEOUT);
    assert!(!peers.accepts_callers("b", start + PEER_TIMEOUT));
    assert!(peers.any_responsive(start + PEER_TIMEOUT));
}

#[test]
fn recent_engine_loads_of_all_peers_are_summed() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    let outcomes = Outcomes { calls: 4.0, failures: 1.0 };
    let loads = |calls| vec![Load { engine: 5, calls, tokens: 100, memory: 1_000, outcomes }];
    peers.record_news("b", &news(true, loads(2)), start);
    peers.record_news("c", &news(true, loads(3)), start);
    assert_eq!(
        peers.peer_load()[&5],
        Load {
            engine: 0,
            calls: 5,
            tokens: 200,
            memory: 2_000,
            outcomes: Outcomes { calls: 8.0, failures: 2.0 },
        }
    );
    let later = start + Duration::from_secs(2);
    peers.record_news("c", &news(true, loads(1)), later);
    assert_eq!(peers.peer_load()[&5].calls, 1, "the load reported by b has expired");
}

#[test]
fn cache_updates_are_returned_once_and_the_oldest_are_dropped() {
    let mut updates = Updates::default();
    let update =
        |part| Entry { cache: 1, incarnation: Incarnation(1), part, tokens: 1, shared: true };
    (1..=3).for_each(|it| updates.push(update(it)));
    let (last, all) = updates.after(0);
    assert_eq!((last, all.len()), (3, 3));
    let (last, new) = updates.after(2);
    assert_eq!((last, new), (3, vec![update(3)]));
    assert!(updates.after(3).1.is_empty());
    (0..5_000).for_each(|it| updates.push(update(it)));
    let (last, kept) = updates.after(3);
    assert_eq!(last, 5_003);
    assert!(kept.len() < 5_000 && kept.last() == Some(&update(4_999)));
}
