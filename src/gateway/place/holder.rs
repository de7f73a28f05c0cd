//! Finds the engines from which others can fetch shared parts of a prompt.

use std::sync::Arc;

use crate::{
    collections::Map,
    gateway::{
        call::Prompt,
        place::{Query, candidate::Candidate, part_keys},
        roster::Endpoint,
    },
    kernel::id::Version,
};

/// What the candidates hold of a prompt's shared parts.
pub(super) struct Holders {
    /// The number of leading shared parts that each candidate holds.
    pub(super) depths: Vec<usize>,
    pub(super) by_version: Map<Version, Longest>,
}

/// The two candidates with one version of the weights that hold the longest prefix.
pub(super) struct Longest {
    /// The cache keys of all parts of the prompt.
    pub(super) keys: Vec<u64>,
    /// Number of parts held, rank and index of the candidate.
    first: Option<(usize, u64, usize)>,
    second: Option<(usize, u64, usize)>,
}

impl Holders {
    /// Determines what the candidates hold; `depth` returns the number of leading parts with these
    /// cache keys that an engine holds.
    pub(super) fn new(
        query: &Query<'_>,
        prompt: &Prompt,
        all: &[Candidate<'_>],
        depth: impl Fn(&[u64], &Endpoint) -> usize,
    ) -> Holders {
        let mut by_version: Map<Version, Longest> = Map::default();
        let mut depths = Vec::with_capacity(all.len());
        for (index, candidate) in all.iter().enumerate() {
            let longest = by_version.entry(candidate.version).or_insert_with(|| Longest {
                keys: part_keys(prompt, query.cache_owner, candidate.version),
                first: None,
                second: None,
            });
            let depth = depth(&longest.keys[..prompt.shared().len()], candidate.endpoint);
            depths.push(depth);
            longest.insert((depth, candidate.rank, index));
        }
        Holders { depths, by_version }
    }
}

impl Longest {
    fn insert(&mut self, holder: (usize, u64, usize)) {
        let holder = Some(holder);
        if holder > self.first {
            (self.first, self.second) = (holder, self.first);
        } else if holder > self.second {
            self.second = holder;
        }
    }

    /// Returns the other engine with the same weights that holds the longest prefix, if it is
    /// longer than the candidate's. If no engine is known to hold any part, returns the
    /// highest-ranked other engine.
    pub(super) fn fetch_source<'a>(
        &self,
        candidate: usize,
        own_depth: usize,
        all: &[Candidate<'a>],
    ) -> Option<(&'a Arc<Endpoint>, usize)> {
        let is_other = |it: &(usize, u64, usize)| it.2 != candidate;
        let (depth, _, index) = self.first.filter(is_other).or(self.second)?;
        (depth > own_depth || (depth == 0 && own_depth == 0))
            .then_some((all[index].endpoint, depth))
    }
}
