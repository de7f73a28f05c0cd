//! The accounts of all quotas at one daemon.

use std::{cmp::Ordering, time::Duration};

use crate::{
    admission::bucket::Bucket,
    collections::{Map, Set},
    gateway::{
        quota::{
            Ask, Denial, Grant, SETTLE_TIME, START_SETTLE_TIME, START_TRUST, TAKEOVER_DELAY, Terms,
            account::{Account, Authority, Balance},
        },
        topology::Plan,
    },
    kernel::{clock::Time, id::Incarnation},
    route::pool::{mix, name_hash},
};

/// Retry time of a request that another daemon may be able to grant.
const MISDIRECTED_PAUSE: Duration = Duration::from_millis(200);

/// Retry time of a request that is never admitted, and the longest one of any.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// How long a daemon that didn't answer is not asked.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);

/// Issues quotas.
#[derive(Debug)]
pub struct Issuer {
    accounts: Map<u64, Account>,
    /// When the process started.
    started_at: Time,
    /// What was granted while another daemon may have been issuing the same quota.
    allowances: Map<u64, Bucket>,
    /// Since when this daemon is told what others grant.
    since: Time,
    /// When this daemon was last a spoke.
    spoke_at: Option<Time>,
    /// When this daemon last saw less than a half, and exactly a half, of the daemons.
    minority_at: Option<Time>,
    half_at: Option<Time>,
    /// Whether it has issued whole quotas.
    is_settled: bool,
    /// When hubs that are gone were last heard of, by the hash of the name.
    departed: Map<u64, Time>,
    /// When daemons didn't answer, by the hash of the name.
    silent: Map<u64, Time>,
}

impl Issuer {
    /// The issuer of a process that starts.
    pub fn new(now: Time) -> Issuer {
        Issuer {
            accounts: Map::default(),
            started_at: now,
            allowances: Map::default(),
            since: now,
            spoke_at: None,
            minority_at: None,
            half_at: None,
            is_settled: false,
            departed: Map::default(),
            silent: Map::default(),
        }
    }

    /// Decides on a question, and charges the amount if it is granted.
    ///
    /// # Errors
    ///
    /// [`Denial`] if it isn't.
    pub fn decide(
        &mut self,
        ask: &Ask,
        terms: &Terms,
        authority: Authority,
        now: Time,
    ) -> Result<(), Denial> {
        let amount = ask.amount as f64;
        let since = self.since;
        let account = self.accounts.entry(ask.workspace);
        let account = account.or_insert_with(|| Account::new(terms, since));
        let mut balance = account.available(amount, terms, authority, now);
        let mut rate = terms.refill_per_s();
        let allowance = match authority {
            Authority::Issuer => None,
            Authority::Half => {
                rate /= 2.0;
                None
            }
            Authority::Limited(share) => {
                rate = terms.allowance_per_s() * share;
                let full = terms.allowance() * share;
                let allowance = self.allowances.entry(ask.workspace).or_default();
                allowance.refill(rate, full, now);
                balance = balance.min(allowance.balance());
                Some(allowance)
            }
        };
        if !ask.is_retry && amount > terms.allowed() {
            return Err(Denial { retry_after: MAX_PAUSE, balance });
        }
        if !ask.is_retry && amount > balance {
            let wait = Duration::try_from_secs_f64((amount - balance) / rate).unwrap_or(MAX_PAUSE);
            let retry_after = match allowance {
                Some(_) => wait.min(MISDIRECTED_PAUSE),
                None => wait.min(MAX_PAUSE),
            };
            return Err(Denial { retry_after, balance });
        }
        account.charge(ask.amount, terms, now);
        if let Some(allowance) = allowance {
            allowance.charge(ask.amount);
        }
        Ok(())
    }

    /// Takes back what was granted for a request that did not run.
    pub fn take_back(&mut self, grant: &Grant, now: Time) {
        if let Some(account) = self.accounts.get_mut(&grant.workspace) {
            account.take_back(grant.amount, now);
        }
    }

    /// What is told to other hubs.
    pub fn balances(&self, now: Time) -> Vec<Balance> {
        self.accounts.iter().filter_map(|(workspace, it)| it.balance(*workspace, now)).collect()
    }

    /// Takes what another hub tells of a quota that it issues.
    pub fn learn(&mut self, hub: (u64, Incarnation), balance: &Balance, terms: &Terms, now: Time) {
        let since = self.since;
        let account = self.accounts.entry(balance.workspace);
        let account = account.or_insert_with(|| Account::new(terms, since));
        account.learn(hub, balance, terms, now);
    }

    /// Drops the accounts, which aren't kept up to date at this daemon.
    pub fn forget(&mut self, now: Time) {
        self.accounts.clear();
        self.since = now;
        self.spoke_at = Some(now);
    }

    /// Notes that other daemons may be issuing all quotas.
    pub fn release(&mut self, now: Time) {
        self.accounts.values_mut().for_each(|it| it.release(now));
        self.since = now;
    }

    /// Notes that the issuers of quotas may have changed.
    pub fn change(&mut self, now: Time) {
        self.accounts.values_mut().for_each(|it| it.change(now));
        self.since = now;
    }

    /// Takes note of how twice the daemons seen compares to all, and returns the least of late.
    pub fn settle(&mut self, part: Ordering, now: Time) -> Ordering {
        // All daemons may have been killed together and hear of each other only now.
        let is_starting = !self.is_settled && now.since(self.started_at) < START_TRUST;
        if is_starting && part != Ordering::Greater {
            return Ordering::Greater;
        }
        match part {
            Ordering::Less => self.minority_at = Some(now),
            Ordering::Equal => self.half_at = Some(now),
            Ordering::Greater => {}
        }
        let settle_time = if self.is_settled { SETTLE_TIME } else { START_SETTLE_TIME };
        let is_recent = |at: Option<Time>| at.is_some_and(|it| now.since(it) < settle_time);
        if is_recent(self.minority_at) {
            return Ordering::Less;
        }
        if is_recent(self.half_at) {
            return Ordering::Equal;
        }
        self.is_settled = true;
        Ordering::Greater
    }

    /// Notes that a hub is gone, which was heard of last at `heard_at`.
    pub fn record_departure(&mut self, name: &str, heard_at: Time, now: Time) {
        self.departed.retain(|_, at| now.since(*at) < TAKEOVER_DELAY);
        self.departed.insert(name_hash(name), heard_at);
    }

    /// The number of hubs that have a quota before the daemon `own`, or had until recently.
    pub fn count_preceding(&self, own: &str, plan: &Plan, workspace: u64, now: Time) -> usize {
        let rank = |hub: u64| mix(workspace ^ hub);
        let own = rank(name_hash(own));
        let departed = self.departed.iter().filter(|(_, at)| now.since(**at) < TAKEOVER_DELAY);
        let departed: Set<u64> = departed.map(|(hub, _)| *hub).collect();
        let hubs = plan.hubs.iter().map(|it| name_hash(it)).filter(|it| !departed.contains(it));
        hubs.chain(departed.iter().copied()).filter(|it| rank(*it) > own).count()
    }

    /// Whether this daemon became a hub so recently that another one may still be issuing in its place.
    pub fn is_new_hub(&self, now: Time) -> bool {
        self.spoke_at.is_some_and(|it| now.since(it) < TAKEOVER_DELAY)
    }

    /// Notes that a daemon didn't answer.
    pub fn record_silence(&mut self, daemon: u64, now: Time) {
        self.silent.retain(|_, at| now.since(*at) < SILENCE_PAUSE);
        self.silent.insert(daemon, now);
    }

    /// Whether a daemon should not be asked, because it didn't answer lately.
    pub fn is_silent(&self, daemon: u64, now: Time) -> bool {
        self.silent.get(&daemon).is_some_and(|at| now.since(*at) < SILENCE_PAUSE)
    }
}
