use tealturn::{
    gateway::cache::{CacheEntry, CacheModel},
    kernel::id::Incarnation,
};

const ROOM: u64 = 10_000;

fn held(part: u64, tokens: u64, shared: bool) -> CacheEntry {
    CacheEntry { cache: 1, incarnation: Incarnation(1), part, tokens, shared }
}

#[test]
fn a_part_is_gone_once_others_have_taken_its_room() {
    let mut cache = CacheModel::default();
    cache.hold(&held(1, 4_000, true), ROOM);
    cache.hold(&held(2, 4_000, true), ROOM);
    assert!(cache.holds(1, Incarnation(1), 1, ROOM));
    // Parts that no other call can use take room as well.
    cache.hold(&held(3, 4_500, false), ROOM);
    assert!(!cache.holds(1, Incarnation(1), 1, ROOM), "8,500 tokens have entered since");
    assert!(cache.holds(1, Incarnation(1), 2, ROOM));
    assert!(!cache.holds(1, Incarnation(1), 3, ROOM), "it is not shared");
}

#[test]
fn a_use_keeps_a_part_and_takes_no_room() {
    let mut cache = CacheModel::default();
    cache.hold(&held(1, 4_000, true), ROOM);
    for _ in 0..10 {
        cache.hold(&held(1, 4_000, true), ROOM);
    }
    cache.hold(&held(2, 4_000, true), ROOM);
    assert!(cache.holds(1, Incarnation(1), 1, ROOM));
}

#[test]
fn less_room_drops_the_oldest_first() {
    let mut cache = CacheModel::default();
    cache.hold(&held(1, 2_000, true), ROOM);
    cache.hold(&held(2, 2_000, true), ROOM);
    cache.hold(&held(3, 2_000, true), ROOM);
    let there = |room| {
        let parts = (1..=3).filter(|it| cache.holds(1, Incarnation(1), *it, room));
        parts.collect::<Vec<_>>()
    };
    assert_eq!(there(ROOM), [1, 2, 3]);
    assert_eq!(there(3_000), [2, 3]);
    assert_eq!(there(1_000), [3]);
}

#[test]
fn another_run_of_an_engine_holds_nothing() {
    let mut cache = CacheModel::default();
    cache.hold(&held(1, 2_000, true), ROOM);
    assert!(!cache.holds(1, Incarnation(2), 1, ROOM));
    cache.hold(&CacheEntry { incarnation: Incarnation(2), ..held(2, 2_000, true) }, ROOM);
    assert!(!cache.holds(1, Incarnation(1), 1, ROOM));
    assert!(cache.holds(1, Incarnation(2), 2, ROOM));
}
