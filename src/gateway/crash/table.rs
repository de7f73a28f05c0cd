//! Decides which parts are barred.

use std::time::Duration;

use crate::{
    collections::{Map, Set},
    gateway::{
        call::Part,
        crash::{
            fact::{Crash, Fact, State},
            row::{self, Entry, Row, Rows},
            run::{Process, Run, Runs},
        },
        store,
    },
    kernel::{clock::Time, id::Request},
};

/// Crashes after which a part is barred.
pub const BAR_CRASHES: usize = 3;

/// The same for a part that was in a whole answer lately. Such parts are in many prompts, and so in
/// many of those that an upstream takes with it when it crashes for another reason.
pub const SEEN_BAR_CRASHES: usize = 4;

/// The time over which the crashes of a part that was in a whole answer must be spread. When a zone
/// fails, daemons notice the crashes of its upstreams within a few seconds, and until then some
/// answer of another upstream clears the parts that were in their prompts.
pub const SEEN_SPAN: Duration = Duration::from_millis(2_000);

/// Of the crashes of a part within this time, one counts: upstreams that fail together do so for
/// another reason.
pub const SPACING: Duration = Duration::from_millis(250);

/// How long a part is barred after its last crash.
pub const BAR: Duration = Duration::from_secs(600);

/// How long a part must be barred before that is stored: until then, news of other daemons may tell
/// that another part explains its crashes.
pub const WRITE_DELAY: Duration = Duration::from_millis(1_000);

/// Parts of which crashes are known; beyond it, those with few and old crashes are forgotten.
const MAX_PARTS: usize = 2_048;

/// How long it is remembered that a part was in a whole answer, at least if there is room.
const SEEN_LIFETIME: Duration = Duration::from_secs(60);

/// Parts of which that is remembered, before the older half is forgotten.
const MAX_SEEN: usize = 4_096;

/// A barred part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bar {
    /// The hash of the part.
    pub part: u64,
    /// How long it remains barred.
    pub rest: Duration,
}

/// A part that is barred from now on, or no longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is barred.
    Barred {
        /// The hash of the part.
        part: u64,
        /// Its crashes that this daemon knows: none if another one stored the bar.
        crashes: usize,
        /// The last place that it had in a prompt.
        depth: u8,
    },
    /// It is no longer barred: it was in a whole answer, another part explains the crashes better,
    /// or the time is over.
    Lifted {
        /// The hash of the part.
        part: u64,
    },
}

/// What became of a fact.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Learned {
    /// Whether it was news, to be passed on.
    pub is_news: bool,
    /// A fact to tell in turn: this daemon has seen the part in a whole answer lately.
    pub reply: Option<Fact>,
}

/// The crashes of parts that a daemon knows, and the prompts that it runs.
///
/// Of all parts that have had enough crashes, the one that exceeds its number the most is barred
/// and explains its crashes. Then the same applies to the other parts and the crashes that are not
/// explained, until no part has enough of them. Among equal parts, one that no whole answer had
/// lately goes first, and then the one that is later in prompts, because fewer prompts have it.
#[derive(Debug, Default)]
pub struct Table {
    runs: Runs,
    parts: Map<u64, State>,
    seen: Seen,
    /// The barred parts.
    barred: Map<u64, Term>,
    rows: Rows,
    changes: Vec<Change>,
}

/// The time in which a part is barred.
#[derive(Clone, Copy, Debug)]
struct Term {
    since: Time,
    until: Time,
    /// Whether the crashes that this daemon knows are enough for the bar.
    by_facts: bool,
}

impl Table {
    /// Records that a prompt is about to be sent.
    pub fn started(&mut self, attempt: Request, run: Run) {
        self.runs.start(attempt, run);
    }

    /// Records that an attempt ended, perhaps with a successful answer that is known to be whole.
    /// The facts are to be published.
    pub fn ended(&mut self, attempt: Request, is_whole: bool, now: Time) -> Vec<Fact> {
        let Some(run) = self.runs.end(attempt).filter(|_| is_whole) else {
            return Vec::new();
        };
        run.parts.iter().for_each(|it| self.seen.insert(*it, now));
        self.clear(&run.parts, now)
    }

    /// Records that an upstream process has not crashed, although that was told. A single crash can't
    /// be taken back, so its parts are cleared of all until now. The facts are to be published.
    pub fn retract(&mut self, process: Process, now: Time) -> Vec<Fact> {
        let id = Crash::id(process);
        let has_crash = |state: &State| state.crashes.iter().any(|(_, crash)| *crash == id);
        let parts = self.parts.iter().filter(|(_, state)| has_crash(state));
        let parts: Vec<_> = parts.map(|(part, _)| *part).collect();
        self.clear(&parts, now)
    }

    fn clear(&mut self, parts: &[u64], now: Time) -> Vec<Fact> {
        let mut facts = Vec::new();
        for part in parts {
            let stored = self.rows.0.get(part).map(|it| it.row.clearances);
            let known = self.parts.get(part);
            let clearances = known.map_or(0, |it| it.clearances);
            let has_crashes = known.is_some_and(|it| !it.crashes.is_empty());
            if !has_crashes && stored.is_none_or(|it| it < clearances) {
                continue;
            }
            let state = self.parts.entry(*part).or_default();
            state.clear(clearances.max(stored.unwrap_or_default()) + 1, now);
            facts.push(state.fact(*part, &[], now));
        }
        if !facts.is_empty() {
            self.derive(now);
        }
        facts
    }

    /// Records that an upstream process crashed. Returns the prompts that ran there and the facts to
    /// be published at once.
    pub fn crashed(&mut self, process: Process, now: Time) -> (Vec<Run>, Vec<Fact>) {
        let prompts = self.runs.crash(process);
        let id = Crash::id(process);
        let mut facts = Vec::new();
        for prompt in &prompts {
            for (depth, part) in prompt.parts.iter().enumerate() {
                let depth = u8::try_from(depth).unwrap_or(u8::MAX);
                let is_seen = self.seen.contains(*part, now);
                let state = self.parts.entry(*part).or_default();
                if state.is_expired(now) {
                    state.crashes.clear();
                }
                state.seen |= is_seen;
                state.own = true;
                let is_deeper = depth > state.depth;
                state.depth = state.depth.max(depth);
                state.changed = now;
                if state.add(id, now) || is_deeper {
                    facts.push(state.fact(*part, &[(now, id)], now));
                }
            }
        }
        self.prune();
        self.derive(now);
        (prompts, facts)
    }

    /// Takes in facts of other daemons, and tells what became of each.
    pub fn learn(&mut self, facts: &[Fact], now: Time) -> Vec<Learned> {
        let learned: Vec<_> = facts.iter().map(|it| self.learn_one(it, now)).collect();
        self.prune();
        // An earlier time of a known crash is no news to others, but may count here.
        self.derive(now);
        learned
    }

    fn learn_one(&mut self, fact: &Fact, now: Time) -> Learned {
        let is_empty = fact.crashes.is_empty() && fact.clearances == 0;
        if is_empty && !self.parts.contains_key(&fact.part) {
            return Learned::default();
        }
        let is_seen = self.seen.contains(fact.part, now);
        let state = self.parts.entry(fact.part).or_default();
        if state.is_expired(now) {
            state.crashes.clear();
        }
        if !state.merge(fact, now) {
            return Learned::default();
        }
        state.changed = now;
        let replies = is_seen && !state.seen && !state.crashes.is_empty();
        state.seen |= replies;
        let reply = replies.then(|| state.fact(fact.part, &[], now));
        Learned { is_news: true, reply }
    }

    /// The first of these parts that is barred.
    pub fn bar(&self, parts: &[Part], now: Time) -> Option<Bar> {
        if self.barred.is_empty() {
            return None;
        }
        let barred = parts.iter().find_map(|it| Some((it.hash, self.barred.get(&it.hash)?.until)));
        let (part, until) = barred.filter(|(_, until)| *until > now)?;
        Some(Bar { part, rest: until.since(now) })
    }

    /// The parts that are barred now.
    pub fn barred(&self, now: Time) -> Vec<u64> {
        let barred = self.barred.iter().filter(|(_, term)| term.until > now);
        let mut barred: Vec<_> = barred.map(|(part, _)| *part).collect();
        barred.sort_unstable();
        barred
    }

    /// All facts, for a daemon that knows none or missed some.
    pub fn facts(&self, now: Time) -> Vec<Fact> {
        let known = self.parts.iter().filter(|(_, it)| !it.is_expired(now));
        known.map(|(part, it)| it.fact(*part, &it.crashes, now)).collect()
    }

    /// Sets the ages in a fact that was made a while ago to those of now.
    pub fn update_ages(&self, fact: &mut Fact, now: Time) {
        let Some(state) = self.parts.get(&fact.part) else {
            return;
        };
        for crash in &mut fact.crashes {
            let known = state.crashes.iter().find(|(_, id)| *id == crash.id);
            if let Some((at, id)) = known {
                *crash = state.fact(fact.part, &[(*at, *id)], now).crashes[0];
            }
        }
    }

    /// What changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes in rows of the store by their parts, with the transactions that wrote them; `None` if one
    /// was removed. `wall` is the time now since the Unix epoch.
    pub fn take_rows(&mut self, rows: Vec<(u64, Option<(Row, u64)>)>, now: Time, wall: Duration) {
        for (part, row) in rows {
            match row {
                Some((row, version)) => self.rows.insert(part, row, version, now, wall),
                None => drop(self.rows.0.remove(&part)),
            }
        }
        self.derive(now);
    }

    /// Writes to the store that this daemon should make: rows of parts that it barred because of
    /// crashes of its own, and removals of rows that are over.
    pub fn writes(&mut self, daemon: &str, now: Time, wall: Duration) -> Vec<store::Write> {
        let is_over = |part: &u64, it: &Entry| it.until <= now || !self.applies(*part, it);
        let over: Set<_> =
            self.rows.0.iter().filter(|(part, it)| is_over(part, it)).map(|(it, _)| *it).collect();
        for (part, entry) in &mut self.rows.0 {
            let since = entry.unneeded_since.unwrap_or(now);
            entry.unneeded_since = over.contains(part).then_some(since);
        }
        let mut writes = self.rows.removals(daemon, now);
        for (part, term) in &self.barred {
            let is_due = term.by_facts && term.until > now && now.since(term.since) >= WRITE_DELAY;
            let state = self.parts.get(part).filter(|it| is_due && it.own);
            let Some((state, (last, _))) = state.and_then(|it| Some((it, it.crashes.last()?)))
            else {
                continue;
            };
            let entry = self.rows.0.get(part);
            if entry.is_some_and(|it| it.unneeded_since.is_none()) {
                continue;
            }
            let clearances = state.clearances;
            let last_crash = wall.saturating_sub(now.since(*last));
            let row = Row { daemon: daemon.to_owned(), clearances, last_crash };
            let Ok(value) = serde_json::to_vec(&row) else {
                continue;
            };
            writes.retain(|it| it.key != Row::key(*part));
            writes.push(row::write(*part, entry.map_or(0, |it| it.version), Some(value)));
        }
        writes
    }

    /// Whether a row still bars its part: it doesn't if the part was cleared since, or if the crashes
    /// that this daemon knows are enough to decide and another part explains them.
    fn applies(&self, part: u64, entry: &Entry) -> bool {
        let Some(state) = self.parts.get(&part) else {
            return true;
        };
        let by_facts = self.barred.get(&part).is_some_and(|it| it.by_facts);
        let decides = excess(state, &Set::default()).is_some();
        state.clearances <= entry.row.clearances && (by_facts || !decides)
    }

    /// Parts that are barred because of rows, as the crashes that this daemon knows are too few to
    /// decide.
    fn stored(&self, now: Time) -> Vec<(u64, Time)> {
        let mut stored = Vec::new();
        for (part, entry) in &self.rows.0 {
            let state = self.parts.get(part);
            let decides = state.is_some_and(|it| excess(it, &Set::default()).is_some());
            let is_cleared = state.is_some_and(|it| it.clearances > entry.row.clearances);
            if entry.until > now && !decides && !is_cleared {
                stored.push((*part, entry.until));
            }
        }
        stored
    }

    fn derive(&mut self, now: Time) {
        let known = self.parts.iter().filter(|(_, it)| it.crashes.len() >= BAR_CRASHES);
        let mut candidates: Vec<_> = known.filter(|(_, it)| !it.is_expired(now)).collect();
        let mut explained: Set<u64> = Set::default();
        let mut barred = Map::default();
        let since = |part: &u64| self.barred.get(part).map_or(now, |it| it.since);
        for (part, until) in self.stored(now) {
            let crashes = self.parts.get(&part).map_or(&[][..], |it| &it.crashes);
            explained.extend(crashes.iter().map(|(_, id)| *id));
            barred.insert(part, Term { since: since(&part), until, by_facts: false });
        }
        loop {
            let ranked = candidates.iter().enumerate().filter_map(|(index, (part, state))| {
                let excess = excess(state, &explained)?;
                Some(((excess, !state.seen, state.depth, **part), index))
            });
            let Some((_, index)) = ranked.max() else {
                break;
            };
            let (part, state) = candidates.swap_remove(index);
            explained.extend(state.crashes.iter().map(|(_, id)| *id));
            let last = state.crashes.last().map_or(now, |(at, _)| *at);
            barred.insert(*part, Term { since: since(part), until: last + BAR, by_facts: true });
        }
        for part in barred.keys().filter(|it| !self.barred.contains_key(*it)) {
            let state = self.parts.get(part);
            let (crashes, depth) = state.map_or((0, 0), |it| (it.crashes.len(), it.depth));
            self.changes.push(Change::Barred { part: *part, crashes, depth });
        }
        for part in self.barred.keys().filter(|it| !barred.contains_key(*it)) {
            self.changes.push(Change::Lifted { part: *part });
        }
        self.barred = barred;
    }

    fn prune(&mut self) {
        while self.parts.len() > MAX_PARTS {
            let rank = |it: &State| (it.crashes.len().min(BAR_CRASHES), it.changed);
            let Some(least) = self.parts.iter().min_by_key(|(_, it)| rank(it)) else {
                return;
            };
            let least = *least.0;
            self.parts.remove(&least);
        }
    }
}

/// By how much the crashes of a part that are not explained exceed the number from which it is
/// barred; `None` if they don't reach it.
fn excess(state: &State, explained: &Set<u64>) -> Option<usize> {
    let (mut count, mut first, mut last) = (0, None, None);
    for (at, id) in &state.crashes {
        let is_near = last.is_some_and(|it| at.since(it) < SPACING);
        if is_near || explained.contains(id) {
            continue;
        }
        count += 1;
        first = first.or(Some(*at));
        last = Some(*at);
    }
    let span = last?.since(first?);
    match state.seen {
        true if span < SEEN_SPAN => None,
        true => usize::checked_sub(count, SEEN_BAR_CRASHES),
        false => usize::checked_sub(count, BAR_CRASHES),
    }
}

impl State {
    /// Whether nothing that is known still matters.
    fn is_expired(&self, now: Time) -> bool {
        let last = self.crashes.last().map_or(self.changed, |(at, _)| *at);
        now.since(last) >= BAR
    }
}

/// Parts that were in whole answers lately, in two generations.
#[derive(Debug, Default)]
struct Seen {
    newer: Set<u64>,
    older: Set<u64>,
    began: Time,
}

impl Seen {
    fn insert(&mut self, part: u64, now: Time) {
        self.renew(now);
        self.newer.insert(part);
        if self.newer.len() >= MAX_SEEN / 2 {
            self.older = std::mem::take(&mut self.newer);
        }
    }

    fn contains(&mut self, part: u64, now: Time) -> bool {
        self.renew(now);
        self.newer.contains(&part) || self.older.contains(&part)
    }

    fn renew(&mut self, now: Time) {
        let age = now.since(self.began);
        if age < SEEN_LIFETIME {
            return;
        }
        self.older = std::mem::take(&mut self.newer);
        if age >= SEEN_LIFETIME * 2 {
            self.older.clear();
        }
        self.began = now;
    }
}
