//! The search for the best engine among the homes of a prompt's prefixes.
//!
//! The homes of a level are some of the homes of the level before it, so that a file's requests
//! meet where its handbook is cached. The homes of the first level are the first ones in its
//! rendezvous order over the pool. With no knowledge but the load reports, all daemons find
//! the same homes; what is known of the caches and the load decides between few candidates.

use std::time::Duration;

use crate::{
    kernel::clock::Time,
    prefix::{BLOCK_TOKENS, Hash},
    route::{
        Choice, Query,
        engine::Engines,
        homes::LOAD_PER_HOME,
        level::{Level, Levels, MAX_LEVELS},
        pool::{Member, Pool, index_at_rank, mix},
        prefix_table::{PrefixEntry, PrefixTable},
    },
};

/// How likely a home is to hold its prefixes when nothing else is known.
const HOME_CREDIT: f64 = 0.6;

/// The cost of prefilling in an idle pool, beside its time: others wait for it too.
const WASTE_WEIGHT: f64 = 2.0;

/// The mean backlog of a pool that doubles the cost of prefilling, in seconds. Without it a
/// busy pool would recompute what it holds, and get no other work done.
const BACKLOG_S: f64 = 0.6;

/// The cost of using a prefix away from its homes, beside the time to compute it: the copy
/// stays in a cache that has other uses.
const COPY_WEIGHT: f64 = 0.1;

/// The time that another availability zone adds to a request.
const ZONE_PENALTY: Duration = Duration::from_millis(2);

/// The load, against the mean of the pool, above which a home passes prompts on.
const BOUND: f64 = 1.3;

/// The load below which no home passes prompts on.
const BOUND_MIN: f64 = 0.4;

/// HomeCount that a prompt is passed on to at most.
const BOUND_STEPS: usize = 3;

/// Candidates that are compared at most.
const CANDIDATES: usize = 8;

/// Candidates that are taken from the known holders of the longest levels.
const HOLDER_CANDIDATES: usize = 3;

/// What a policy knows.
#[derive(Clone, Copy)]
pub struct PolicyState<'a> {
    /// The prefixes that were asked for lately.
    pub table: &'a PrefixTable,
    /// The engines.
    pub engines: &'a Engines,
    /// Whether to use what is known of the caches.
    pub track_caches: bool,
}

/// A search for one request.
pub struct Search<'a> {
    query: &'a Query<'a>,
    pool: &'a Pool,
    knowledge: PolicyState<'a>,
    now: Time,
    steps: [Step; MAX_LEVELS],
    len: usize,
    waste_weight: f64,
}

/// A level with what is known of it.
#[derive(Clone, Copy, Default)]
struct Step {
    hash: u64,
    tokens: f64,
    homes: usize,
    entry: PrefixEntry,
}

/// An engine that may be chosen.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    member: &'a Member,
    /// Of how many levels, from the first on, it is a home.
    levels: usize,
    reason: &'static str,
}

/// What a choice is expected to give.
#[derive(Clone, Copy)]
struct Estimate {
    cost: f64,
    first_token: f64,
    cached_tokens: f64,
}

impl<'a> Search<'a> {
    /// Prepares a search. Takes note of how many homes each level has now.
    pub fn new(
        query: &'a Query<'a>,
        pool: &'a Pool,
        knowledge: PolicyState<'a>,
        now: Time,
    ) -> Search<'a> {
        let mut search = Search {
            query,
            pool,
            knowledge,
            now,
            steps: [Step::default(); MAX_LEVELS],
            len: 0,
            waste_weight: waste_weight(pool),
        };
        let demand = knowledge.table.get(Hash(pool.id()));
        let demand = demand.map_or(0.0, |it| it.projected_demand(now));
        let mut limit = pool.open_count().max(1);
        for level in Levels::new(query, knowledge.table, now).iter() {
            let step = search.step(level, demand, limit);
            limit = step.homes;
            search.steps[search.len] = step;
            search.len += 1;
        }
        search
    }

    /// The best candidate, if any engine may be chosen.
    pub fn best(&self, random: u64) -> Option<Choice> {
        let mut candidates = Candidates::default();
        if self.len == 0 {
            self.add_random(&mut candidates, random);
        } else {
            self.add_homes(&mut candidates, random);
            self.add_holders(&mut candidates);
        }
        let mut best: Option<(Candidate<'_>, Estimate)> = None;
        for candidate in candidates.iter() {
            let estimate = self.estimate(candidate);
            if best.is_none_or(|(_, it)| estimate.cost < it.cost) {
                best = Some((candidate, estimate));
            }
        }
        best.map(|(candidate, estimate)| choice(&candidate, &estimate))
    }

    fn step(&self, level: &Level, demand: f64, limit: usize) -> Step {
        let (now, pool) = (self.now, self.pool);
        let (entry, homes) = self.knowledge.table.update(level.hash, |entry| {
            let part = entry.projected_demand(now) / demand.max(1.0);
            let wanted = (part.min(1.0) * pool.engines_in_use() / LOAD_PER_HOME).ceil();
            let homes = entry.home_count.adjust((wanted as usize).min(limit) as u32, now);
            (*entry, homes)
        });
        Step {
            hash: level.hash.0,
            tokens: (level.blocks * BLOCK_TOKENS) as f64,
            homes: homes.min(limit),
            entry,
        }
    }

    /// Two engines at random: the prompt has no prefix that could be cached.
    fn add_random(&self, candidates: &mut Candidates<'a>, random: u64) {
        for key in [mix(random), mix(!random)] {
            if let Some(member) = self.home(key, 0) {
                candidates.add(member, 0, "no_prefix");
            }
        }
    }

    fn add_homes(&self, candidates: &mut Candidates<'a>, random: u64) {
        let deepest = self.len - 1;
        let homes = self.steps[deepest].homes;
        let first = random as usize % homes;
        self.add_seat(candidates, deepest, first, self.len, "home");
        if homes > 1 {
            let second = (first + 1 + (random >> 32) as usize % (homes - 1)) % homes;
            self.add_seat(candidates, deepest, second, self.len, "home");
        }
        for level in (1..self.len).rev() {
            let homes = self.steps[level].homes;
            if homes < self.steps[level - 1].homes {
                self.add_seat(candidates, level, homes, level, "next_home");
                break;
            }
        }
        let homes = self.steps[0].homes;
        let other = (random >> 16) as usize % homes;
        self.add_seat(candidates, 0, other, 1, "shared_home");
        self.add_seat(candidates, 0, homes, 0, "next_home");
    }

    /// Adds the home of rank `rank` of a level.
    fn add_seat(
        &self,
        candidates: &mut Candidates<'a>,
        level: usize,
        rank: usize,
        levels: usize,
        reason: &'static str,
    ) {
        let mut place = rank;
        for level in (1..=level).rev() {
            place = index_at_rank(self.steps[level].hash, self.steps[level - 1].homes, place);
        }
        if let Some(member) = self.bounded(place) {
            candidates.add(member, levels, reason);
        }
    }

    /// The home at `place` in the order of the first level, or one of the next if it is loaded
    /// above the bound. Of the prompts that meet there, the part that is too much goes on; which
    /// ones do depends on their longest level alone, so that all daemons agree.
    fn bounded(&self, place: usize) -> Option<&'a Member> {
        let (first, last) = (&self.steps[0], &self.steps[self.len - 1]);
        let bound = (BOUND * self.pool.mean_load()).max(BOUND_MIN);
        let mut home = self.home(first.hash, place)?;
        for step in 1..=BOUND_STEPS {
            let engine = self.knowledge.engines.get_or_insert(home.hash);
            let mut state = engine.lock_run(home.upstream.incarnation, self.now);
            let excess = 1.0 - bound / state.average_load(&home.upstream).max(bound);
            let share = mix(last.hash ^ home.hash) as f64 / u64::MAX as f64;
            if share >= excess {
                break;
            }
            let Some(next) = self.home(first.hash, place + step) else {
                break;
            };
            home = next;
        }
        Some(home)
    }

    /// Adds engines that are known to hold the longest levels.
    fn add_holders(&self, candidates: &mut Candidates<'a>) {
        if !self.knowledge.track_caches {
            return;
        }
        let steps = &self.steps[..self.len];
        let holders = steps.iter().rev().flat_map(|it| it.entry.holders());
        let mut added = 0;
        for holder in holders {
            let Some(member) = self.pool.find_by_hash(holder.engine) else {
                continue;
            };
            let current = member.upstream.incarnation == holder.incarnation;
            if !current || !self.query.allows(&member.upstream) {
                continue;
            }
            if candidates.add(member, 0, "cached") {
                added += 1;
            }
            if added == HOLDER_CANDIDATES {
                break;
            }
        }
    }

    fn home(&self, key: u64, place: usize) -> Option<&'a Member> {
        self.pool.home(key, place, |it| self.query.allows(it))
    }

    fn estimate(&self, candidate: Candidate<'_>) -> Estimate {
        let upstream = &candidate.member.upstream;
        let engine = self.knowledge.engines.get_or_insert(candidate.member.hash);
        let mut state = engine.lock_run(upstream.incarnation, self.now);
        let empty = state.has_cold_cache(self.now);
        let (mut cached_tokens, mut credit) = (0.0, 0.0_f64);
        for (index, step) in self.steps[..self.len].iter().enumerate().rev() {
            let holder = step.entry.holder(candidate.member.hash, upstream.incarnation);
            if let Some(holder) = holder.filter(|_| self.knowledge.track_caches) {
                credit = credit.max(state.hit_probability(holder, self.now));
            }
            if index < candidate.levels && !empty {
                credit = credit.max(HOME_CREDIT);
            }
            let shorter = index.checked_sub(1).map_or(0.0, |it| self.steps[it].tokens);
            cached_tokens += credit * (step.tokens - shorter);
        }
        let mut queue = state.queue_delay(upstream, self.now);
        drop(state);
        if upstream.zone != *self.query.zone {
            queue += ZONE_PENALTY;
        }
        let rate = upstream.load.as_ref().map_or(1, |it| it.prefill_rate.max(1));
        let uncached = (self.query.prompt_tokens as f64 - cached_tokens).max(0.0);
        let (queue, prefill) = (queue.as_secs_f64(), uncached / rate as f64);
        let kept = candidate.levels.checked_sub(1);
        let kept = kept.map_or(0.0, |it| self.steps[it].tokens);
        let longest = self.steps[..self.len].last().map_or(0.0, |it| it.tokens);
        let copies = COPY_WEIGHT * (longest - kept) / rate as f64;
        Estimate {
            cost: queue + self.waste_weight * prefill + copies,
            first_token: queue + prefill,
            cached_tokens,
        }
    }
}

/// Distinct candidates, in the order in which they were added.
#[derive(Default)]
struct Candidates<'a> {
    list: [Option<Candidate<'a>>; CANDIDATES],
    len: usize,
}

impl<'a> Candidates<'a> {
    /// Adds a candidate, unless it is there already or there are enough.
    fn add(&mut self, member: &'a Member, levels: usize, reason: &'static str) -> bool {
        if self.len == CANDIDATES || self.iter().any(|it| it.member.hash == member.hash) {
            return false;
        }
        self.list[self.len] = Some(Candidate { member, levels, reason });
        self.len += 1;
        true
    }

    fn iter(&self) -> impl Iterator<Item = Candidate<'a>> {
        self.list[..self.len].iter().flatten().copied()
    }
}

fn waste_weight(pool: &Pool) -> f64 {
    WASTE_WEIGHT * (1.0 + pool.mean_backlog_s() / BACKLOG_S)
}

fn choice(candidate: &Candidate<'_>, estimate: &Estimate) -> Choice {
    let upstream = &candidate.member.upstream;
    Choice {
        upstream: upstream.name.clone(),
        address: upstream.address,
        incarnation: upstream.incarnation,
        cached_tokens: estimate.cached_tokens as u64,
        expected_ttft: Duration::from_secs_f64(estimate.first_token),
        reason: candidate.reason,
    }
}
