//! A bounded map that keeps recently used entries.
//!
//! The map has two generations. When the young generation is full it becomes the old one, and the
//! entries of the previous old generation are dropped.

use std::{
    hash::Hash,
    mem,
    sync::{Mutex, MutexGuard},
};

use crate::collections::Map;

/// A two-generation map. It holds at most twice the capacity of a generation.
#[derive(Debug)]
pub struct Cache<K, V> {
    generation_capacity: usize,
    young: Map<K, V>,
    old: Map<K, V>,
}

impl<K: Eq + Hash, V> Cache<K, V> {
    /// Creates an empty map whose generations hold `generation_capacity` entries each.
    pub fn new(generation_capacity: usize) -> Cache<K, V> {
        Cache { generation_capacity, young: Map::default(), old: Map::default() }
    }

    /// Returns the value of a key without marking it as recently used.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Returns the value of a key without marking it as recently used.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.young.get_mut(key).or_else(|| self.old.get_mut(key))
    }

    /// Returns the value of a key, inserting the result of `make` if there is none, and marks the
    /// key as recently used.
    pub fn get_or_insert_with(&mut self, key: K, make: impl FnOnce() -> V) -> &mut V {
        if self.young.len() >= self.generation_capacity && !self.young.contains_key(&key) {
            self.old = mem::take(&mut self.young);
        }
        let old = self.old.remove(&key);
        self.young.entry(key).or_insert_with(|| old.unwrap_or_else(make))
    }

    /// Removes a key and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.young.remove(key).or_else(|| self.old.remove(key))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the map is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Locks a mutex, ignoring poisoning by a thread that panicked.
pub fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|it| it.into_inner())
}
