//! Hash maps and sets with a fast hasher that is seeded per process.

/// A hash map with a fast hasher. Keys come from callers, so the hasher is seeded per process,
/// which makes it harder to choose keys that collide.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the same hasher as [`Map`].
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
