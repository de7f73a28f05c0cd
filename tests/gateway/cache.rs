use tealturn::{
    gateway::cache::{Entry, Estimate},
    kernel::id::Incarnation,
};

const CAPACITY: u64 = 10_000;

fn entry(part: u64, tokens: u64, shared: bool) -> Entry {
    Entry { cache: 1, incarnation: Incarnation(1), part, tokens, shared }
}

#[test]
fn evicts_a_part_once_newer_tokens_exceed_the_usable_capacity() {
    let mut cache = Estimate::default();
    cache.record(&entry(1, 4_000, true), CAPACITY);
    cache.record(&entry(2, 4_000, true), CAPACITY);
    assert!(cache.holds(1, Incarnation(1), 1, CAPACITY));
    // Parts that are not shared also use capacity.
    cache.record(&entry(3, 4_500, false), CAPACITY);
    assert!(
        !cache.holds(1, Incarnation(1), 1, CAPACITY),
        "8,500 tokens entered after its last use"
    );
    assert!(cache.holds(1, Incarnation(1), 2, CAPACITY));
    assert!(!cache.holds(1, Incarnation(1), 3, CAPACITY), "part 3 is not shared");
}

#[test]
fn reuse_refreshes_a_part_without_using_capacity() {
    let mut cache = Estimate::default();
    cache.record(&entry(1, 4_000, true), CAPACITY);
    for _ in 0..10 {
        cache.record(&entry(1, 4_000, true), CAPACITY);
    }
    cache.record(&entry(2, 4_000, true), CAPACITY);
    assert!(cache.holds(1, Incarnation(1), 1, CAPACITY));
}

#[test]
fn lower_capacity_evicts_the_least_recently_used_parts_first() {
    let mut cache = Estimate::default();
    cache.record(&entry(1, 2_000, true), CAPACITY);
    cache.record(&entry(2, 2_000, true), CAPACITY);
    cache.record(&entry(3, 2_000, true), CAPACITY);
    let resident = |capacity| {
        let parts = (1..=3).filter(|it| cache.holds(1, Incarnation(1), *it, capacity));
        parts.collect::<Vec<_>>()
    };
    assert_eq!(resident(CAPACITY), [1, 2, 3]);
    assert_eq!(resident(3_000), [2, 3]);
    assert_eq!(resident(1_000), [3]);
}

#[test]
fn a_restarted_engine_starts_with_an_empty_cache() {
    let mut cache = Estimate::default();
    cache.record(&entry(1, 2_000, true), CAPACITY);
    assert!(!cache.holds(1, Incarnation(2), 1, CAPACITY));
    cache.record(&Entry { incarnation: Incarnation(2), ..entry(2, 2_000, true) }, CAPACITY);
    assert!(!cache.holds(1, Incarnation(1), 1, CAPACITY));
    assert!(cache.holds(1, Incarnation(2), 2, CAPACITY));
}
