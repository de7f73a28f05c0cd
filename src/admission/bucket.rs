//! A token bucket whose rate may change, and which may go into debt for one request.

use std::time::Duration;

use crate::kernel::clock::Time;

/// Seconds of its rate that a bucket holds at most.
pub const BURST_S: f64 = 2.0;

/// A token bucket. A request runs when the balance is above zero, and is charged whole, so
/// that one larger than the bucket can still run.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    balance: f64,
    filled: Option<Time>,
}

impl Bucket {
    /// A bucket with this balance at `filled`.
    pub fn new(balance: f64, filled: Time) -> Bucket {
        Bucket { balance, filled: Some(filled) }
    }

    /// Fills it at `rate` tokens a second up to now, and tells whether a request may run.
    pub fn fill(&mut self, rate: f64, now: Time) -> bool {
        self.refill(rate, rate * BURST_S, now);
        self.balance > 0.0
    }

    /// Fills it at `rate` tokens a second up to now, with `full` tokens at most. A bucket that was never
    /// filled becomes full.
    pub fn refill(&mut self, rate: f64, full: f64, now: Time) {
        let earned = match self.filled {
            Some(filled) => rate * now.since(filled).as_secs_f64(),
            None => full,
        };
        self.balance = (self.balance + earned).min(full);
        self.filled = Some(now);
    }

    /// Tokens in the bucket; negative if it is in debt.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Removes what exceeds `full` tokens.
    pub fn limit(&mut self, full: f64) {
        self.balance = self.balance.min(full);
    }

    /// Charges a request.
    pub fn charge(&mut self, tokens: u64) {
        self.balance -= tokens as f64;
    }

    /// Gives back what a request was charged too much; a negative number charges more.
    pub fn refund(&mut self, tokens: f64) {
        self.balance += tokens;
    }

    /// The time until the balance is above zero once `tokens` more have been charged.
    pub fn wait(&self, tokens: u64, rate: f64) -> Duration {
        let debt = tokens as f64 - self.balance;
        if debt < 0.0 || rate.is_infinite() {
            return Duration::ZERO;
        }
        let seconds = debt / rate.max(1e-3);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}
