//! Which builds this process must claim in the store before it begins streams there, and what the claims of all
//! processes tell of a stream that nobody knows.
//!
//! A service that had one build gets another one. A process that dies may have begun streams at either, and told
//! nobody. Before it begins any at the later build, it writes a claim, which outlives it. So a stream that no
//! process with a claim knows, all of which still run, began at the build that nobody claims.

use super::{Table, row};
use crate::{gateway::store::Era, kernel::id::Build};

/// What the store has as claimed by this process.
#[derive(Debug)]
pub(super) struct Claimed {
    era: Era,
    builds: Vec<Build>,
}

impl Table {
    /// The builds that this process must have claimed, if the store lacks some of them.
    pub fn claim_to_write(
        &self,
        service: u64,
        registered: &[Build],
        era: Era,
    ) -> Option<Vec<Build>> {
        let ledger = self.ledgers.get(&service).filter(|it| it.reaches(era))?;
        let is_missing =
            |it: &&Build| ledger.requires_claim(it) && !self.is_claimed(service, it, era);
        let mut builds: Vec<Build> = registered.iter().filter(is_missing).cloned().collect();
        if builds.is_empty() {
            return None;
        }
        // It may still have streams at those that it claimed before.
        let earlier = self.claims.get(&service).map_or(&[][..], |it| &it.builds);
        builds.extend_from_slice(earlier);
        builds.sort_unstable();
        builds.dedup();
        Some(builds)
    }

    /// Records that the store has the claim of this process.
    pub fn note_claim(&mut self, service: u64, builds: Vec<Build>, era: Era) {
        self.claims.insert(service, Claimed { era, builds });
    }

    pub(super) fn is_claimed(&self, service: u64, build: &Build, era: Era) -> bool {
        let claimed = self.claims.get(&service);
        claimed.is_some_and(|it| it.era >= era && it.builds.contains(build))
    }
}

/// The first of the claims on another build than `unclaimed` whose process may have begun a stream that nobody
/// knows. `is_ruled_out` tells whether a process has not begun it.
pub fn find_rival<'a>(
    unclaimed: &Build,
    claims: &'a [row::Claim],
    is_ruled_out: impl Fn(&row::Claim) -> bool,
) -> Option<&'a row::Claim> {
    let mut rivals = claims.iter().filter(|it| it.builds.iter().any(|build| build != unclaimed));
    rivals.find(|it| !is_ruled_out(it))
}
