//! Limits that upstreams in need name on the requests that they take from all daemons together.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::kernel::clock::Time;

/// How much later than the last statement a request must have been sent for its answer to raise or end
/// the limit. Answers overtake each other, and the time of a statement that another daemon heard is
/// known only roughly.
const STATEMENT_MARGIN: Duration = Duration::from_millis(500);

/// What the head of an upstream's answer says of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Statement {
    /// It takes any number of requests.
    #[default]
    Unlimited,
    /// It takes this many requests a second.
    Limited(f64),
    /// It tells nothing: the limit can't be read, or the answer may be an old one. The last statement
    /// stays in force.
    Unknown,
}

impl Statement {
    /// The same of an answer that can't tell that a limit has ended.
    pub fn without_end(self) -> Statement {
        match self {
            Statement::Unlimited => Statement::Unknown,
            Statement::Limited(_) | Statement::Unknown => self,
        }
    }
}

/// The limit of an upstream process as last stated.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Requests that it takes in a second; `None` for any number.
    pub rate: Option<f64>,
    /// When a daemon heard so; zero if it never named a limit.
    pub heard_at: Time,
}

impl Limit {
    /// Takes what an answer says to a request that was sent at `sent_at`; returns whether the rate
    /// changes.
    pub fn update(&mut self, statement: Statement, sent_at: Time, now: Time) -> bool {
        let rate = match statement {
            Statement::Unlimited => None,
            Statement::Limited(rate) => Some(rate),
            Statement::Unknown => return false,
        };
        let is_lower = match (rate, self.rate) {
            (Some(rate), Some(known)) => rate <= known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let is_known = rate == self.rate && rate.is_none();
        let is_later = sent_at >= self.heard_at + STATEMENT_MARGIN;
        if is_known || !(is_lower || is_later) {
            return false;
        }
        let changes = rate != self.rate;
        *self = Limit { rate, heard_at: now };
        changes
    }

    /// Takes what another daemon knows; returns whether the rate changes.
    pub fn merge(&mut self, other: Limit) -> bool {
        if other.heard_at <= self.heard_at {
            return false;
        }
        let changes = other.rate != self.rate;
        *self = other;
        changes
    }
}
