//! What a workspace may use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::{
    call::{Head, TokenCount},
    dialect::Refusal,
};

/// The quota of a workspace.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// What it may use a second, above zero.
    pub rate: f64,
    /// What it may use beyond that.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and of the longest answers.
    Tokens {
        /// Those of a request that doesn't state them.
        unstated: u64,
    },
}

impl Quota {
    /// What a request uses.
    ///
    /// # Errors
    ///
    /// [`Refusal::Malformed`] if its tokens count and can't be read.
    pub fn amount(&self, head: &Head) -> Result<u64, Refusal> {
        match (self.unit, head.tokens) {
            (Unit::Requests, _) => Ok(1),
            (Unit::Tokens { .. }, TokenCount::Stated(tokens)) => Ok(tokens),
            (Unit::Tokens { unstated }, TokenCount::Absent) => Ok(unstated),
            (Unit::Tokens { .. }, TokenCount::Malformed) => Err(Refusal::Malformed),
        }
    }
}

/// How far usage may exceed quotas: in any window by a part of what the quota allows there, and by a fixed
/// amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The window.
    pub window: Duration,
    /// The part.
    pub excess: f64,
    /// The amount, in tokens.
    pub slack: f64,
}

impl Default for Tolerance {
    /// That of deployments whose settings name none.
    fn default() -> Tolerance {
        Tolerance { window: Duration::from_secs(8), excess: 0.0, slack: 0.0 }
    }
}

/// A quota with the tolerance that applies to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    quota: Quota,
    window_s: f64,
    excess: f64,
    slack: f64,
}

impl Terms {
    /// The terms of a quota. The fixed amount counts tokens: applied to requests, it would be many times
    /// what their quotas allow.
    pub fn new(quota: Quota, tolerance: Tolerance) -> Terms {
        let slack = match quota.unit {
            Unit::Requests => 0.0,
            Unit::Tokens { .. } => tolerance.slack,
        };
        Terms { quota, window_s: tolerance.window.as_secs_f64(), excess: tolerance.excess, slack }
    }

    /// What the quota allows in one window, which is also the largest request that is admitted.
    pub fn allowed(&self) -> f64 {
        self.quota.rate * self.window_s + self.quota.burst
    }

    /// What usage may exceed that by in one window.
    pub fn tolerance(&self) -> f64 {
        self.allowed() * self.excess + self.slack
    }

    /// What is granted at once at most: with the refill of one window, the quota and half of the tolerance.
    /// The other half is for several issuers at once.
    pub fn capacity(&self) -> f64 {
        self.quota.burst * (1.0 + self.excess / 2.0) + self.slack / 2.0
    }

    /// What is granted a second.
    pub fn refill_per_s(&self) -> f64 {
        self.quota.rate * (1.0 + self.excess / 2.0)
    }

    /// What an issuer may grant at once that doesn't know what others have granted.
    pub fn allowance(&self) -> f64 {
        self.tolerance() / 4.0
    }

    /// The same a second.
    pub fn allowance_per_s(&self) -> f64 {
        self.allowance() / self.window_s
    }

    /// The terms for a part of the fleet.
    pub fn scaled(&self, share: f64) -> Terms {
        let Quota { rate, burst, unit } = self.quota;
        let quota = Quota { rate: rate * share, burst: burst * share, unit };
        Terms { quota, slack: self.slack * share, ..*self }
    }
}
