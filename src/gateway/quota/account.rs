//! What is left of the quota of one workspace, as known to one hub.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    admission::bucket::Bucket,
    collections::Map,
    gateway::quota::Terms,
    kernel::{clock::Time, id::Incarnation},
};

/// How long grants are told after the last one: several messages, of which some may be lost.
const TOLD_FOR: Duration = Duration::from_secs(2);

/// The longest time between two messages of an issuer after which its grants are deducted one by one. After a
/// longer one, its balance is taken: the deduction would also be for time in which this hub was cut off.
const MAX_GAP: Duration = Duration::from_secs(1);

/// What a daemon may issue of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Authority {
    /// All of it, as the issuer in a majority of the daemons.
    Issuer,
    /// Half of it, as the issuer in exactly half of the daemons; the others are no majority.
    Half,
    /// This share of the allowance, because another daemon may issue the quota at the same time.
    Limited(f64),
}

/// What one hub tells another of a quota that it issues.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Balance {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// What this process has granted since it started, less what was returned.
    pub granted: i64,
    /// What is left.
    pub balance: i64,
}

/// Grants of another hub.
#[derive(Clone, Copy, Debug)]
struct Told {
    incarnation: Incarnation,
    granted: i64,
    at: Time,
}

/// The account of one workspace.
#[derive(Clone, Debug)]
pub struct Account {
    /// What is left. It fills up to the largest request that is admitted, but one that is smaller than the
    /// capacity is granted from no more than the capacity. A larger one leaves a debt, so that no window contains
    /// more than the capacity and what accrues in it.
    bucket: Bucket,
    granted: i64,
    /// When this daemon granted or took back something.
    granted_at: Option<Time>,
    told: Map<u64, Told>,
    /// Since when this daemon may have missed grants of others, unless it issues the quota.
    uncertain_at: Time,
    /// Whether it issues the quota, and no other daemon has since.
    pub is_held: bool,
}

impl Account {
    /// An account of a daemon that may have missed grants up to `since`.
    pub fn new(terms: &Terms, since: Time) -> Account {
        Account {
            bucket: Bucket::new(terms.allowance(), since),
            granted: 0,
            granted_at: None,
            told: Map::default(),
            uncertain_at: since,
            is_held: false,
        }
    }

    /// Notes that other daemons may be issuing the quota.
    pub fn release(&mut self, now: Time) {
        self.is_held = false;
        self.uncertain_at = now;
    }

    /// Notes that the issuer may have changed.
    pub fn change(&mut self, now: Time) {
        if !self.is_held {
            self.uncertain_at = now;
        }
    }

    /// Fills the account, and returns what a request of this amount may use.
    pub fn available(
        &mut self,
        amount: f64,
        terms: &Terms,
        authority: Authority,
        now: Time,
    ) -> f64 {
        let terms = match authority {
            Authority::Half => terms.scaled(0.5),
            Authority::Issuer | Authority::Limited(_) => *terms,
        };
        self.refill(&terms, now);
        match authority {
            Authority::Limited(_) => self.release(now),
            // The last grants of the one before were perhaps not told.
            Authority::Issuer | Authority::Half if !self.is_held => {
                let passed = now.since(self.uncertain_at).as_secs_f64();
                self.bucket.limit(terms.allowance() + terms.refill_per_s() * passed);
                self.is_held = true;
            }
            Authority::Issuer | Authority::Half => {}
        }
        self.bucket.balance().min(terms.capacity().max(amount))
    }

    fn refill(&mut self, terms: &Terms, now: Time) {
        let full = terms.capacity().max(terms.allowed());
        self.bucket.refill(terms.refill_per_s(), full, now);
    }

    /// Charges an amount.
    pub fn charge(&mut self, amount: u64, terms: &Terms, now: Time) {
        self.bucket.limit(terms.capacity());
        self.bucket.charge(amount);
        self.granted = self.granted.saturating_add_unsigned(amount);
        self.granted_at = Some(now);
    }

    /// Takes an amount back.
    pub fn take_back(&mut self, amount: u64, now: Time) {
        self.bucket.refund(amount as f64);
        self.granted = self.granted.saturating_sub_unsigned(amount);
        self.granted_at = Some(now);
    }

    /// What is told to other hubs, if this daemon granted anything recently.
    pub fn balance(&self, workspace: u64, now: Time) -> Option<Balance> {
        self.granted_at.filter(|it| now.since(*it) < TOLD_FOR)?;
        let balance = self.bucket.balance() as i64;
        Some(Balance { workspace, granted: self.granted, balance })
    }

    /// Takes what another hub tells.
    pub fn learn(
        &mut self,
        (hub, incarnation): (u64, Incarnation),
        balance: &Balance,
        terms: &Terms,
        now: Time,
    ) {
        self.refill(terms, now);
        let told = Told { incarnation, granted: balance.granted, at: now };
        let before = self.told.insert(hub, told);
        let before = before.filter(|it| it.incarnation == incarnation);
        let Some(before) = before.filter(|it| now.since(it.at) < MAX_GAP) else {
            // The first message after a gap.
            self.bucket.limit(balance.balance as f64);
            return self.release(now);
        };
        // Messages may overtake each other, and amounts are returned.
        let difference = balance.granted.saturating_sub(before.granted);
        if difference > 0 {
            self.bucket.limit(terms.capacity());
            self.release(now);
        }
        self.bucket.refund(-(difference as f64));
    }
}
