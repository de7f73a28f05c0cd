//! Hash maps and sets with a fast, seeded hasher.

/// A hash map whose hasher is fast and seeded per process, since keys come from callers.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// A hash set with the hasher of [`Map`].
pub type Set<T> = std::collections::HashSet<T, foldhash::fast::RandomState>;
