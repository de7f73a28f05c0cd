//! A bounded map that keeps what was touched lately.
//!
//! Two generations bound it: when the young one is full it becomes the old one, and what was
//! not touched since is forgotten.

use std::{
    hash::Hash,
    mem,
    sync::{Mutex, MutexGuard},
};

use crate::collections::Map;

/// A map of at most twice its limit.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    limit: usize,
    young: Map<K, V>,
    old: Map<K, V>,
}

impl<K: Eq + Hash, V> RecentMap<K, V> {
    /// An empty map whose generations hold `limit` entries each.
    pub fn new(limit: usize) -> RecentMap<K, V> {
        RecentMap { limit, young: Map::default(), old: Map::default() }
    }

    /// The value of a key. It counts as no use of it.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// The value of a key. It counts as no use of it.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.young.get_mut(key).or_else(|| self.old.get_mut(key))
    }

    /// The value of a key, made by `make` if there is none; it counts as used now.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        if self.young.len() >= self.limit && !self.young.contains_key(&key) {
            self.old = mem::take(&mut self.young);
        }
        let old = self.old.remove(&key);
        self.young.entry(key).or_insert_with(|| old.unwrap_or_else(make))
    }

    /// Takes a value out.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.young.remove(key).or_else(|| self.old.remove(key))
    }

    /// Entries in the map.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the map has no entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Locks a mutex. One that a panic left behind is taken as it is.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}
