//! The facts that daemons tell each other.
//!
//! Parts publish facts here and read those of other daemons; the exchange carries them.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    ops::{Bound, Range},
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use metrics::counter;
use tokio::sync::{Notify, broadcast};

pub use super::fact::{Fact, Key, Post, Value};
use crate::{
    collections::Map,
    fleet::fact::{CLASSES, KINDS, URGENT},
    kernel::clock::Time,
};

/// News that a subscriber may be behind.
pub const NEWS_FACTS: usize = 1_024;

/// Messages that carry a fact first of all, after each change of it.
const RUMOUR_SENDS: u32 = 16;

/// Urgent facts that a message carries in turn, however often they were sent before.
const IN_TURN: usize = 3;

/// The most facts of each kind: upstreams, suspects, demand.
const MAX_FACTS: [usize; KINDS] = [4_096, 1_024, 4_096];

/// The facts that this daemon knows, in bounded memory. Its time is that of the last
/// [`Board::advance`].
pub struct Board {
    inner: Mutex<Inner>,
    news: broadcast::Sender<Fact>,
    urgent: Notify,
}

#[derive(Default)]
struct Inner {
    now: Time,
    change: u64,
    slots: Map<Key, Slot>,
    /// Keys by the change that set their value last.
    order: BTreeMap<u64, Key>,
    /// Of these, the keys of facts that are still carried first of all, by class.
    fresh: BTreeMap<(usize, Reverse<u64>), Key>,
    /// Of these, the keys of urgent facts.
    lasting: BTreeMap<u64, Key>,
    counts: [usize; KINDS],
    cursor: u64,
}

struct Slot {
    value: Value,
    origin: Time,
    change: u64,
    sends: u32,
}

impl Default for Board {
    fn default() -> Board {
        Board {
            inner: Mutex::default(),
            news: broadcast::Sender::new(NEWS_FACTS),
            urgent: Notify::new(),
        }
    }
}

impl Board {
    /// Merges a fact that this daemon found out, and tells whether it was news.
    pub fn publish(&self, fact: &Fact) -> bool {
        let merged = self.lock().merge(fact, Duration::ZERO);
        self.tell(merged)
    }

    /// Merges a fact that another daemon passed on, and tells whether it was news.
    pub fn receive(&self, post: &Post) -> bool {
        let age = Duration::from_secs(u64::from(post.age_s));
        let merged = self.lock().merge(&post.fact, age);
        self.tell(merged)
    }

    /// What is known of `key`.
    pub fn get(&self, key: &Key) -> Option<Value> {
        self.lock().slots.get(key).map(|it| it.value)
    }

    /// All facts whose keys `wanted` accepts, in no order.
    pub fn facts(&self, wanted: impl Fn(&Key) -> bool) -> Vec<Fact> {
        let inner = self.lock();
        let wanted = inner.slots.iter().filter(|(key, _)| wanted(key));
        wanted.map(|(key, slot)| slot.fact(key)).collect()
    }

    /// Tells of each fact that is news, whoever published it. A receiver that falls behind by
    /// more than [`NEWS_FACTS`] is told so and should read [`Board::facts`].
    pub fn subscribe(&self) -> broadcast::Receiver<Fact> {
        self.news.subscribe()
    }

    /// Waits until there are urgent facts that were sent to nobody yet.
    pub async fn urgent(&self) {
        self.urgent.notified().await;
    }

    /// Sets the time, and removes the facts that have ended.
    pub fn advance(&self, now: Time) {
        let mut inner = self.lock();
        inner.now = inner.now.max(now);
        inner.expire();
    }

    /// Facts for one message of at most `bytes` for them: urgent ones that were sent to few
    /// daemons first, newest first; then a few urgent ones in turn, so that a lost message only
    /// delays them; then others that were sent to few.
    pub fn outgoing(&self, bytes: usize, size: impl Fn(&Post) -> usize) -> Vec<Post> {
        self.lock().outgoing(bytes, false, size)
    }

    /// Urgent facts only, as [`Board::outgoing`].
    pub fn outgoing_urgent(&self, bytes: usize, size: impl Fn(&Post) -> usize) -> Vec<Post> {
        self.lock().outgoing(bytes, true, size)
    }

    fn tell(&self, merged: Option<Fact>) -> bool {
        let Some(fact) = merged else { return false };
        if fact.is_urgent() {
            self.urgent.notify_one();
        }
        // Nobody may be listening.
        let _ = self.news.send(fact);
        true
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }
}

impl Inner {
    /// Merges a fact; returns what is known now if that is news.
    fn merge(&mut self, fact: &Fact, age: Duration) -> Option<Fact> {
        if !fact.is_consistent() || age >= fact.lifetime() {
            return None;
        }
        let origin = self.now - age;
        let (value, origin) = match self.slots.get_mut(&fact.key) {
            None => (fact.value, origin),
            Some(slot) => {
                let value = slot.value.merge(&fact.value);
                if value == slot.value {
                    if fact.value == value {
                        slot.origin = slot.origin.min(origin);
                    }
                    return None;
                }
                (value, slot.origin.max(origin))
            }
        };
        self.change += 1;
        let slot = Slot { value, origin, change: self.change, sends: 0 };
        let news = slot.fact(&fact.key);
        self.remove(&fact.key);
        self.insert(fact.key.clone(), slot);
        self.evict(fact.key.kind());
        Some(news)
    }

    /// Removes the oldest fact of a kind of which there are too many.
    fn evict(&mut self, kind: usize) {
        if self.counts[kind] <= MAX_FACTS[kind] {
            return;
        }
        let mut oldest = self.order.values().filter(|it| it.kind() == kind);
        if let Some(key) = oldest.next().cloned() {
            counter!("tealturn_board_evictions_total").increment(1);
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        let ended = |key: &Key, slot: &Slot| now.since(slot.origin) >= slot.fact(key).lifetime();
        let slots = self.slots.iter();
        let ended: Vec<_> = slots.filter(|(key, slot)| ended(key, slot)).collect();
        let ended: Vec<_> = ended.into_iter().map(|(key, _)| key.clone()).collect();
        for key in ended {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &Key) {
        let Some(slot) = self.slots.remove(key) else {
            return;
        };
        self.order.remove(&slot.change);
        self.lasting.remove(&slot.change);
        self.fresh.remove(&slot.place());
        self.counts[key.kind()] -= 1;
    }

    fn insert(&mut self, key: Key, slot: Slot) {
        self.order.insert(slot.change, key.clone());
        self.fresh.insert(slot.place(), key.clone());
        if slot.value.class() == URGENT {
            self.lasting.insert(slot.change, key.clone());
        }
        self.counts[key.kind()] += 1;
        self.slots.insert(key, slot);
    }

    fn outgoing(&mut self, bytes: usize, urgent: bool, size: impl Fn(&Post) -> usize) -> Vec<Post> {
        let mut filling = Filling { left: bytes, posts: Vec::new(), chosen: Vec::new() };
        self.fill(&mut filling, URGENT..URGENT + 1, &size);
        if !urgent {
            self.in_turn(&mut filling, &size);
            self.fill(&mut filling, URGENT + 1..CLASSES, &size);
        }
        for change in filling.chosen {
            self.sent(change);
        }
        filling.posts
    }

    /// Takes fresh facts of some classes, newest first.
    fn fill(&self, filling: &mut Filling, classes: Range<usize>, size: &impl Fn(&Post) -> usize) {
        let places = (classes.start, Reverse(u64::MAX))..(classes.end, Reverse(u64::MAX));
        for ((_, change), key) in self.fresh.range(places) {
            let Some(slot) = self.slots.get(key) else {
                continue;
            };
            if !filling.take(slot.post(key, self.now), size) {
                return;
            }
            filling.chosen.push(change.0);
        }
    }

    fn sent(&mut self, change: u64) {
        let Some(key) = self.order.get(&change) else {
            return;
        };
        let Some(slot) = self.slots.get_mut(key) else {
            return;
        };
        slot.sends += 1;
        if slot.sends >= RUMOUR_SENDS {
            self.fresh.remove(&slot.place());
        }
    }

    /// Takes some urgent facts in turn, fresh or not.
    fn in_turn(&mut self, filling: &mut Filling, size: &impl Fn(&Post) -> usize) {
        for _ in 0..IN_TURN.min(self.lasting.len()) {
            let after = (Bound::Excluded(self.cursor), Bound::Unbounded);
            let next = self.lasting.range(after).next();
            let Some((change, key)) = next.or_else(|| self.lasting.first_key_value()) else {
                return;
            };
            self.cursor = *change;
            let Some(slot) = self.slots.get(key) else {
                continue;
            };
            if filling.chosen.contains(change) {
                continue;
            }
            if !filling.take(slot.post(key, self.now), size) {
                return;
            }
        }
    }
}

/// A message's facts while they are chosen.
struct Filling {
    left: usize,
    posts: Vec<Post>,
    chosen: Vec<u64>,
}

impl Filling {
    /// Adds a post if there is room for it.
    fn take(&mut self, post: Post, size: &impl Fn(&Post) -> usize) -> bool {
        let bytes = size(&post);
        if bytes > self.left {
            return false;
        }
        self.left -= bytes;
        self.posts.push(post);
        true
    }
}

impl Slot {
    fn fact(&self, key: &Key) -> Fact {
        Fact { key: key.clone(), value: self.value }
    }

    fn post(&self, key: &Key, now: Time) -> Post {
        let age = now.since(self.origin).as_secs();
        Post { fact: self.fact(key), age_s: u32::try_from(age).unwrap_or(u32::MAX) }
    }

    /// Its place among the fresh facts.
    fn place(&self) -> (usize, Reverse<u64>) {
        (self.value.class(), Reverse(self.change))
    }
}
