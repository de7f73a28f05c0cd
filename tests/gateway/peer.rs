use std::time::Duration;

use tealturn::{
    gateway::{
        cache::Entry,
        gauge::Outcomes,
        message::{Link, Load, MAX_HOPS, Message, News, Update},
        peer::{Origin, PEER_TIMEOUT, Peers, Updates},
    },
    kernel::{clock::Time, id::Incarnation},
    route::pool::name_hash,
};

const OWN: Incarnation = Incarnation(9);

fn message(from: &str, link: Link, ready: bool, loads: Vec<Load>) -> Message {
    Message {
        from: from.to_owned(),
        incarnation: Incarnation(1),
        link,
        stamp: Time::from_millis(1),
        to: OWN,
        echo: Time::default(),
        acknowledged_update: 0,
        last_update: 0,
        updates: Vec::new(),
        usages: Vec::new(),
        loads,
        live_digest: 0,
        live: Some(vec![(name_hash(from), ready)]),
        heads: [None; 3],
        rows: Vec::new(),
        document: None,
        targets: Vec::new(),
        balances: Vec::new(),
        rollouts_digest: 0,
        rollouts: Vec::new(),
        builds: Vec::new(),
        limits: Vec::new(),
        sightings: Vec::new(),
        withheld: Vec::new(),
    }
}

fn load(calls: u32) -> Vec<Load> {
    let outcomes = Outcomes { calls: 4.0, failures: 1.0 };
    vec![Load { engine: 5, calls, tokens: 100, memory: 1_000, outcomes }]
}

#[test]
fn an_unresponsive_or_unready_peer_is_not_offered_to_callers() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    let accepts = |now| peers.accepting_callers(now).contains(&name_hash("b"));
    assert!(!accepts(start), "it has never responded");
    peers.record(&message("b", Link::Peer, true, Vec::new()), OWN, start);
    assert!(accepts(start));
    assert!(!accepts(start + PEER_TIMEOUT));
    assert!(!peers.any_responsive(start + PEER_TIMEOUT));
    peers.record(&message("b", Link::Peer, false, Vec::new()), OWN, start + PEER_TIMEOUT);
    assert!(!accepts(start + PEER_TIMEOUT));
    assert!(peers.any_responsive(start + PEER_TIMEOUT));
}

#[test]
fn recent_engine_loads_of_all_peers_are_summed() {
    let peers = Peers::default();
    let start = Time::from_millis(1_000);
    peers.record(&message("b", Link::Peer, true, load(2)), OWN, start);
    peers.record(&message("c", Link::Peer, true, load(3)), OWN, start);
    assert_eq!(
        peers.peer_load(start)[&5],
        Load {
            engine: 0,
            calls: 5,
            tokens: 200,
            memory: 2_000,
            outcomes: Outcomes { calls: 8.0, failures: 2.0 },
        }
    );
    let later = start + Duration::from_secs(2);
    peers.record(&message("c", Link::Peer, true, load(1)), OWN, later);
    assert_eq!(peers.peer_load(later)[&5].calls, 1, "the load reported by b has expired");
}

/// Load that came from a hub must not go back up, or hubs would count it again and again.
#[test]
fn a_hub_reports_its_subtree_to_hubs_and_the_fleet_to_spokes() {
    let peers = Peers::default();
    let now = Time::from_millis(1_000);
    for (name, link, calls) in [
        ("spoke-1", Link::Spoke, 1),
        ("spoke-2", Link::Spoke, 10),
        ("hub-1", Link::Peer, 100),
        ("hub-2", Link::Peer, 1_000),
    ] {
        peers.record(&message(name, link, true, load(calls)), OWN, now);
    }
    struct Case {
        to: &'static str,
        link: Link,
        calls: u32,
        live: usize,
    }
    for case in [
        Case { to: "hub-1", link: Link::Peer, calls: 11, live: 2 },
        Case { to: "spoke-1", link: Link::Spoke, calls: 1_110, live: 3 },
        Case { to: "spoke-3", link: Link::Spoke, calls: 1_111, live: 4 },
    ] {
        let reported = peers.reported_load(case.to, case.link, now);
        assert_eq!(reported[&5].calls, case.calls, "{}", case.to);
        assert_eq!(peers.reported_live(case.to, case.link, now).len(), case.live, "{}", case.to);
    }
}

/// A spoke that changes its hub would otherwise count the fleet's load twice for a second.
#[test]
fn what_a_hub_reported_is_dropped_when_another_one_is_used() {
    let peers = Peers::default();
    let now = Time::from_millis(1_000);
    peers.set_hub(Some("hub-1"));
    peers.record(&message("hub-1", Link::Hub, true, load(7)), OWN, now);
    peers.set_hub(Some("hub-2"));
    peers.record(&message("hub-2", Link::Hub, true, load(8)), OWN, now);
    assert_eq!(peers.peer_load(now)[&5].calls, 8);
}

#[test]
fn a_daemon_that_does_not_answer_is_not_used_until_it_is_heard_of() {
    let peers = Peers::default();
    let now = Time::from_millis(1_000);
    assert!(peers.is_responsive("b", now), "nothing is known of it");
    peers.record_failure("b", now);
    assert!(!peers.is_responsive("b", now + Duration::from_secs(60)));
    peers.record(&message("b", Link::Peer, true, Vec::new()), OWN, now);
    assert!(peers.is_responsive("b", now));
    assert!(!peers.is_responsive("b", now + PEER_TIMEOUT * 2));
}

fn update(part: u64) -> Update {
    let entry = Entry { cache: 1, incarnation: Incarnation(1), part, tokens: 1, shared: true };
    Update { hops: 0, news: News::Cached(entry) }
}

#[test]
fn updates_are_returned_once_and_the_oldest_are_dropped() {
    let mut updates = Updates::default();
    (1..=3).for_each(|it| updates.push(Origin::Own, update(it)));
    let (last, all) = updates.after(0, Link::Peer, 1);
    assert_eq!((last, all.len()), (3, 3));
    let (last, new) = updates.after(2, Link::Peer, 1);
    assert_eq!((last, new), (3, vec![update(3)]));
    assert!(updates.after(3, Link::Peer, 1).1.is_empty());
    (0..5_000).for_each(|it| updates.push(Origin::Own, update(it)));
    let (last, kept) = updates.after(3, Link::Peer, 1);
    assert_eq!(last, 5_003);
    assert!(kept.len() < 5_000 && kept.last() == Some(&update(4_999)));
}

#[test]
fn updates_are_passed_on_along_the_tree_only() {
    let mut updates = Updates::default();
    for (part, origin) in [
        (1, Origin::Own),
        (2, Origin::Peer(Link::Spoke, 20)),
        (3, Origin::Peer(Link::Peer, 30)),
        (4, Origin::Peer(Link::Hub, 40)),
    ] {
        updates.push(origin, update(part));
    }
    updates.push(Origin::Peer(Link::Spoke, 20), Update { hops: MAX_HOPS, ..update(5) });
    struct Case {
        link: Link,
        to: u64,
        parts: &'static [u64],
    }
    for case in [
        Case { link: Link::Peer, to: 30, parts: &[1, 2] },
        Case { link: Link::Hub, to: 40, parts: &[1, 2] },
        Case { link: Link::Spoke, to: 20, parts: &[1, 3, 4] },
        Case { link: Link::Spoke, to: 21, parts: &[1, 2, 3, 4] },
    ] {
        let (_, sent) = updates.after(0, case.link, case.to);
        let expected: Vec<_> = case.parts.iter().map(|it| update(*it)).collect();
        assert_eq!(sent, expected, "to {} as {:?}", case.to, case.link);
    }
}

/// A peer that was cut off for long misses updates that the log no longer has, and must be told otherwise.
#[test]
fn the_log_of_updates_tells_whether_it_still_reaches_back() {
    let mut updates = Updates::default();
    let entry = Entry { cache: 1, incarnation: Incarnation(1), part: 1, tokens: 1, shared: true };
    for _ in 0..5_000 {
        updates.push(Origin::Own, Update { hops: 0, news: News::Cached(entry) });
    }
    assert!(updates.reaches(5_000) && updates.reaches(1_000));
    assert!(!updates.reaches(100) && !updates.reaches(0));
}
