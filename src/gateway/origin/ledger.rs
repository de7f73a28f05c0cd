//! Which builds the row of a service in the store lists, and which it should list.
//!
//! No event of a stream goes to its caller before the row lists the build that began the stream. So a
//! daemon that reads the row after a caller has come back, and finds a single build, knows the origin
//! of the stream without having heard of it.

use super::{Table, row};
use crate::{
    gateway::store::Era,
    kernel::{clock::Time, id::Build},
};

/// The row of a service, as this daemon last read or wrote it.
#[derive(Debug)]
pub(super) struct Ledger {
    era: Era,
    listed: Vec<Build>,
    /// Those of the listed builds that have had upstreams ever since. The row may have lost the others.
    verified: Vec<Build>,
    /// The one of several listed builds that daemons don't claim; `None` if they claim none.
    unclaimed: Option<Build>,
}

impl Ledger {
    /// Whether the row was complete in this era or a later one.
    pub(super) fn reaches(&self, era: Era) -> bool {
        self.era >= era
    }

    /// Whether streams may begin at the build only once it is claimed.
    pub(super) fn requires_claim(&self, build: &Build) -> bool {
        self.listed.len() > 1 && self.unclaimed.as_ref().is_some_and(|it| it != build)
    }
}

impl Table {
    /// Takes in the row of a service, which the store had, or lacked, in `era`; returns whether it lists all
    /// builds that the service had lately.
    pub fn learn_row(
        &mut self,
        service: u64,
        row: Option<&row::Builds>,
        era: Era,
        now: Time,
    ) -> bool {
        let known = self.builds.entry(service).or_default();
        let ledger = self.ledgers.get(&service);
        for build in row.into_iter().flat_map(|it| &it.builds) {
            // One that was off the row has had upstreams again, whenever this daemon saw the last one.
            match ledger.is_some_and(|it| it.listed.contains(build)) {
                true => drop(known.entry(build.clone()).or_insert(now)),
                false => drop(known.insert(build.clone(), now)),
            }
        }
        if !is_incomplete(row, era) {
            return true;
        }
        if ledger.is_none() {
            // This daemon may not have seen the builds that the store has lost either.
            known.entry(row::lost_builds()).or_insert(now);
        }
        false
    }

    /// The row that must replace the one that the store has, if it must be replaced. `all_claim` tells whether
    /// all daemons claim builds.
    pub fn row_to_write(
        &self,
        service: u64,
        row: Option<&row::Builds>,
        era: Era,
        registered: &[Build],
        all_claim: bool,
        now: Time,
    ) -> Option<row::Builds> {
        let recent = self.recent_builds(service, registered, now);
        let listed = row.map_or(&[][..], |it| &it.builds);
        let ledger = self.ledgers.get(&service);
        let was_lost = is_incomplete(row, era) || ledger.is_some_and(|it| it.era < era);
        let mut builds: Vec<Build> =
            listed.iter().filter(|it| recent.contains(it)).cloned().collect();
        if was_lost {
            builds.extend(recent.iter().map(|it| (*it).clone()));
        }
        builds.extend(registered.iter().cloned());
        builds.sort_unstable();
        builds.dedup();
        let is_back = |it: &&Build| {
            ledger.is_some_and(|ledger| ledger.listed.contains(it) && !ledger.verified.contains(it))
        };
        // Another daemon may be about to take a build off that is back. Then its write must fail.
        let must_touch = registered.iter().any(|it| is_back(&it));
        let mut wanted = row::Builds { era, builds, unclaimed: None };
        if wanted.builds.len() > 1 && all_claim && !was_lost {
            wanted.unclaimed = row.and_then(row::Builds::unclaimed).cloned();
            wanted.unclaimed = wanted.unclaimed().cloned();
        }
        let is_same = row
            .is_some_and(|it| (&it.builds, it.unclaimed()) == (&wanted.builds, wanted.unclaimed()));
        let is_empty = row.is_none() && wanted.builds.is_empty();
        let is_written = !is_incomplete(row, era) && (is_same || is_empty) && !must_touch;
        (!is_written).then_some(wanted)
    }

    /// Records that the store has this row.
    pub fn note_row(&mut self, service: u64, row: row::Builds, registered: &[Build]) {
        let verified = row.builds.iter().filter(|it| registered.contains(it)).cloned().collect();
        let unclaimed = row.unclaimed().cloned();
        let ledger = Ledger { era: row.era, listed: row.builds, verified, unclaimed };
        self.ledgers.insert(service, ledger);
    }

    /// Whether this daemon has ever read or written the row of a service.
    pub fn has_row(&self, service: u64) -> bool {
        self.ledgers.contains_key(&service)
    }

    /// Whether the row of a service surely lists a build, and the store has the claim of this process if one
    /// is required. `era` is the latest one of the store.
    pub fn is_listed(&self, service: u64, build: &Build, era: Era) -> bool {
        let Some(ledger) = self.ledgers.get(&service) else {
            return false;
        };
        let is_open = !ledger.requires_claim(build) || self.is_claimed(service, build, era);
        ledger.reaches(era) && ledger.verified.contains(build) && is_open
    }

    /// Whether the row of a service must be read, and may have to be written: it may lack a build of an
    /// upstream, lists one that nobody has used for a while, or says that all daemons claim builds although
    /// some don't.
    pub fn is_row_due(
        &mut self,
        service: u64,
        registered: &[Build],
        era: Era,
        all_claim: bool,
        now: Time,
    ) -> bool {
        let Some(ledger) = self.ledgers.get_mut(&service) else {
            return !registered.is_empty();
        };
        ledger.verified.retain(|it| registered.contains(it));
        let ledger = &self.ledgers[&service];
        let recent = self.recent_builds(service, registered, now);
        ledger.era < era
            || registered.iter().any(|it| !ledger.verified.contains(it))
            || ledger.listed.iter().any(|it| !recent.contains(it))
            || (!all_claim && ledger.listed.len() > 1 && ledger.unclaimed.is_some())
    }
}

/// Whether the store may have lost builds that the row listed: it has come back from an older copy since
/// the row was known to be complete.
fn is_incomplete(row: Option<&row::Builds>, era: Era) -> bool {
    row.map_or(Era::default(), |it| it.era) < era
}
