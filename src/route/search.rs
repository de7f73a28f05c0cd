//! Searches for the best engine among the homes of a prompt's prefixes.
//!
//! The homes of a level are a subset of the homes of the preceding level, so that prompts that
//! share a long prefix go to engines that have its shorter prefixes cached. The homes of the first
//! level are the first members in its rendezvous ordering of the pool. All daemons compute the same
//! orderings. The number of homes and the inferred levels depend on the demand that a daemon has
//! recorded, so they can differ between daemons; daemons that have recorded none and have the same
//! load reports find the same homes. Cache contents and load decide between a small number of
//! candidates, whose [`Choice::reason`] is
//!
//! - `home` for homes of the longest level,
//! - `shared_home` for homes of the first level, which all prompts with that level share,
//! - `next_home` for the engine that would be the next home of a level,
//! - `cached` for engines that are expected to hold a level, and
//! - `no_prefix` for random engines, if the prompt has no levels.
//!
//! An engine that gets the prompt because a home is overloaded has the reason of that home.

use std::time::Duration;

use crate::{
    kernel::clock::Time,
    prefix::{BLOCK_TOKENS, Hash},
    route::{
        Choice, Query,
        engine::Engines,
        homes::LOAD_PER_HOME,
        level::{self, Levels, MAX_LEVELS},
        pool::{Member, Pool, index_at_rank, mix},
        prefix_table::{Entry, Table},
    },
};

/// Assumed probability that a home holds its prefixes when nothing else is known.
const HOME_HIT_PROBABILITY: f64 = 0.6;

/// Weight of prefill time in the cost, in an idle pool. It is above 1 because other requests wait
/// for the prefill too.
const PREFILL_WEIGHT: f64 = 2.0;

/// Mean backlog of a pool, in seconds, at which the cost of prefilling doubles. Without this, a
/// busy pool recomputes prefixes that it already holds, and makes no progress on other work.
const BACKLOG_DOUBLING_S: f64 = 0.6;

/// Additional cost of caching a prefix outside its homes, as a fraction of its prefill time. The
/// copy takes cache space from other prefixes.
const COPY_WEIGHT: f64 = 0.1;

/// Latency added to requests to another availability zone.
const ZONE_PENALTY: Duration = Duration::from_millis(2);

/// Load of an engine above which some of its prompts overflow, that is, become candidates for the
/// next engine in the ordering instead; as a multiple of the mean load of the pool.
const LOAD_BOUND_RATIO: f64 = 1.3;

/// Load of an engine below which none of its prompts overflow.
const MIN_LOAD_BOUND: f64 = 0.4;

/// Maximum number of times that a prompt overflows to the next engine.
const MAX_OVERFLOW_STEPS: usize = 3;

/// Maximum number of candidates compared: at most five from the orderings, and
/// [`MAX_HOLDER_CANDIDATES`].
const MAX_CANDIDATES: usize = 8;

/// Maximum number of candidates taken from the expected holders of the levels, longest level first.
/// With three, copies outside the homes that were made while queues were long kept being used.
const MAX_HOLDER_CANDIDATES: usize = 1;

/// Mean backlog of a pool, in seconds, above which prompts go only to homes of their longest level and
/// to holders. Copies elsewhere would add to the backlog, and displace other prefixes.
const MAX_COPY_BACKLOG_S: f64 = 0.2;

/// The state of a policy that a search uses.
#[derive(Clone, Copy)]
pub struct State<'a> {
    /// The recently requested prefixes.
    pub table: &'a Table,
    /// The state of the engines.
    pub engines: &'a Engines,
    /// Whether to use the expected cache contents.
    pub track_caches: bool,
}

/// The search for an upstream for one request.
pub struct Search<'a> {
    query: &'a Query<'a>,
    pool: &'a Pool,
    policy: State<'a>,
    now: Time,
    levels: [Level; MAX_LEVELS],
    len: usize,
    prefill_weight: f64,
}

/// A level of the prompt with its table entry.
#[derive(Clone, Copy, Default)]
struct Level {
    hash: u64,
    tokens: f64,
    homes: usize,
    entry: Entry,
}

/// An engine that is considered for the request.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    member: &'a Member,
    /// The number of levels, starting with the first, that the engine is a home of. An engine that
    /// the prompt overflowed to has the number of the home that it replaces.
    home_levels: usize,
    reason: &'static str,
}

/// The estimated outcome of choosing a candidate. Times and costs are in seconds.
#[derive(Clone, Copy)]
struct Estimate {
    cost: f64,
    ttft: f64,
    cached_tokens: f64,
}

impl<'a> Search<'a> {
    /// Prepares a search, and updates the number of homes of each level.
    pub fn new(query: &'a Query<'a>, pool: &'a Pool, policy: State<'a>, now: Time) -> Search<'a> {
        let mut search = Search {
            query,
            pool,
            policy,
            now,
            levels: [Level::default(); MAX_LEVELS],
            len: 0,
            prefill_weight: prefill_weight(pool),
        };
        let pool_demand = policy.table.get(Hash(pool.id()));
        let pool_demand = pool_demand.map_or(0.0, |it| it.projected_demand(now));
        let mut limit = pool.open_count().max(1);
        for level in Levels::new(query, policy.table, now).iter() {
            let level_state = search.level_state(level, pool_demand, limit);
            limit = level_state.homes;
            search.levels[search.len] = level_state;
            search.len += 1;
        }
        search
    }

    /// Returns the candidate with the lowest cost, if any engine is eligible.
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

    fn level_state(&self, level: &level::Level, pool_demand: f64, limit: usize) -> Level {
        let (now, pool) = (self.now, self.pool);
        let (entry, homes) = self.policy.table.update(level.hash, |entry| {
            let demand_share = entry.projected_demand(now) / pool_demand.max(1.0);
            let wanted = (demand_share.min(1.0) * pool.engines_in_use() / LOAD_PER_HOME).ceil();
            let homes = entry.home_count.adjust((wanted as usize).min(limit) as u32, now);
            (*entry, homes)
        });
        Level {
            hash: level.hash.0,
            tokens: (level.blocks * BLOCK_TOKENS) as f64,
            homes: homes.min(limit),
            entry,
        }
    }

    /// Adds two random engines, for a prompt that has no prefix that could be cached.
    fn add_random(&self, candidates: &mut Candidates<'a>, random: u64) {
        for key in [mix(random), mix(!random)] {
            if let Some(member) = self.member_at_rank(key, 0) {
                candidates.add(member, 0, "no_prefix");
            }
        }
    }

    fn add_homes(&self, candidates: &mut Candidates<'a>, random: u64) {
        let longest = self.len - 1;
        let homes = self.levels[longest].homes;
        let first = random as usize % homes;
        self.add_at_rank(candidates, longest, first, self.len, "home");
        if homes > 1 {
            let second = (first + 1 + (random >> 32) as usize % (homes - 1)) % homes;
            self.add_at_rank(candidates, longest, second, self.len, "home");
        }
        if self.pool.mean_backlog_s() > MAX_COPY_BACKLOG_S {
            return;
        }
        for level in (1..self.len).rev() {
            let homes = self.levels[level].homes;
            if homes < self.levels[level - 1].homes {
                self.add_at_rank(candidates, level, homes, level, "next_home");
                break;
            }
        }
        let homes = self.levels[0].homes;
        let other = (random >> 16) as usize % homes;
        self.add_at_rank(candidates, 0, other, 1, "shared_home");
        self.add_at_rank(candidates, 0, homes, 0, "next_home");
    }

    /// Adds the engine at `rank` in the ordering of a level, or one that it overflows to. The ranks
    /// below the number of homes are the level's homes.
    fn add_at_rank(
        &self,
        candidates: &mut Candidates<'a>,
        level: usize,
        rank: usize,
        home_levels: usize,
        reason: &'static str,
    ) {
        let mut pool_rank = rank;
        for level in (1..=level).rev() {
            pool_rank =
                index_at_rank(self.levels[level].hash, self.levels[level - 1].homes, pool_rank);
        }
        if let Some(member) = self.bounded_load_member(pool_rank) {
            candidates.add(member, home_levels, reason);
        }
    }

    /// Returns the member at `rank` in the ordering of the first level, or one of the next members
    /// if its load is above the bound. Only the excess share of its prompts overflows, selected by
    /// the hashes of the longest level and of the member's name, so that daemons with the same view
    /// of levels and load agree.
    fn bounded_load_member(&self, rank: usize) -> Option<&'a Member> {
        let (first, last) = (&self.levels[0], &self.levels[self.len - 1]);
        let bound = (LOAD_BOUND_RATIO * self.pool.mean_load()).max(MIN_LOAD_BOUND);
        let mut member = self.member_at_rank(first.hash, rank)?;
        for step in 1..=MAX_OVERFLOW_STEPS {
            let engine = self.policy.engines.get_or_insert(member.hash);
            let mut state = engine.lock_incarnation(member.upstream.incarnation, self.now);
            let excess = 1.0 - bound / state.average_load(&member.upstream).max(bound);
            let fraction = mix(last.hash ^ member.hash) as f64 / u64::MAX as f64;
            if fraction >= excess {
                break;
            }
            let Some(next) = self.member_at_rank(first.hash, rank + step) else {
                break;
            };
            member = next;
        }
        Some(member)
    }

    /// Adds engines that are expected to hold levels of the prompt, those of the longest levels
    /// first.
    fn add_holders(&self, candidates: &mut Candidates<'a>) {
        if !self.policy.track_caches {
            return;
        }
        let levels = &self.levels[..self.len];
        let holders = levels.iter().rev().flat_map(|it| it.entry.holders());
        let mut added = 0;
        for holder in holders {
            let Some(member) = self.pool.find_by_hash(holder.engine_hash) else {
                continue;
            };
            let is_current = member.upstream.incarnation == holder.incarnation;
            if !is_current || !self.query.allows(&member.upstream) {
                continue;
            }
            if candidates.add(member, 0, "cached") {
                added += 1;
            }
            if added == MAX_HOLDER_CANDIDATES {
                break;
            }
        }
    }

    fn member_at_rank(&self, key: u64, rank: usize) -> Option<&'a Member> {
        self.pool.member_at_rank(key, rank, |it| self.query.allows(it))
    }

    fn estimate(&self, candidate: Candidate<'_>) -> Estimate {
        let upstream = &candidate.member.upstream;
        let engine = self.policy.engines.get_or_insert(candidate.member.hash);
        let mut state = engine.lock_incarnation(upstream.incarnation, self.now);
        let has_cold_cache = state.has_cold_cache(self.now);
        let (mut cached_tokens, mut hit_probability) = (0.0, 0.0_f64);
        for (index, level) in self.levels[..self.len].iter().enumerate().rev() {
            let holder = level.entry.holder(candidate.member.hash, upstream.incarnation);
            if let Some(holder) = holder.filter(|_| self.policy.track_caches) {
                hit_probability = hit_probability.max(state.hit_probability(holder, self.now));
            }
            if index < candidate.home_levels && !has_cold_cache {
                hit_probability = hit_probability.max(HOME_HIT_PROBABILITY);
            }
            let shorter = index.checked_sub(1).map_or(0.0, |it| self.levels[it].tokens);
            cached_tokens += hit_probability * (level.tokens - shorter);
        }
        let mut queue = state.queue_delay(upstream, self.now);
        drop(state);
        if upstream.zone != *self.query.zone {
            queue += ZONE_PENALTY;
        }
        let rate = upstream.load.as_ref().map_or(1, |it| it.prefill_rate.max(1));
        let uncached = (self.query.prompt_tokens as f64 - cached_tokens).max(0.0);
        let (queue, prefill) = (queue.as_secs_f64(), uncached / rate as f64);
        let home_level = candidate.home_levels.checked_sub(1);
        let home_tokens = home_level.map_or(0.0, |it| self.levels[it].tokens);
        let longest = self.levels[..self.len].last().map_or(0.0, |it| it.tokens);
        let copy_cost = COPY_WEIGHT * (longest - home_tokens) / rate as f64;
        Estimate {
            cost: queue + self.prefill_weight * prefill + copy_cost,
            ttft: queue + prefill,
            cached_tokens,
        }
    }
}

/// Distinct candidates in the order in which they were added.
#[derive(Default)]
struct Candidates<'a> {
    list: [Option<Candidate<'a>>; MAX_CANDIDATES],
    len: usize,
}

impl<'a> Candidates<'a> {
    /// Adds a candidate unless it is already present or the list is full.
    fn add(&mut self, member: &'a Member, home_levels: usize, reason: &'static str) -> bool {
        if self.len == MAX_CANDIDATES || self.iter().any(|it| it.member.hash == member.hash) {
            return false;
        }
        self.list[self.len] = Some(Candidate { member, home_levels, reason });
        self.len += 1;
        true
    }

    fn iter(&self) -> impl Iterator<Item = Candidate<'a>> {
        self.list[..self.len].iter().flatten().copied()
    }
}

/// Returns the weight of prefill time in the cost, given the backlog of the pool.
fn prefill_weight(pool: &Pool) -> f64 {
    PREFILL_WEIGHT * (1.0 + pool.mean_backlog_s() / BACKLOG_DOUBLING_S)
}

fn choice(candidate: &Candidate<'_>, estimate: &Estimate) -> Choice {
    let upstream = &candidate.member.upstream;
    Choice {
        upstream: upstream.name.clone(),
        address: upstream.address,
        incarnation: upstream.incarnation,
        cached_tokens: estimate.cached_tokens as u64,
        expected_ttft: Duration::from_secs_f64(estimate.ttft),
        reason: candidate.reason,
    }
}
