//! Hash maps and sets with a fast hasher that is seeded per process.

/// A hash map with a fast hasher. It is seeded per process because keys come from callers.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the same hasher as [`Map`].
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
