//! What a daemon knows of one workspace's use of its limits.

use std::time::Duration;

use crate::{
    admission::{Ticket, bucket::Bucket, share::Demand},
    catalog::Limits,
    kernel::clock::Time,
};

/// The time over which the demand for tokens is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(5);

/// The use of one workspace.
#[derive(Clone, Debug)]
pub struct Account {
    limits: Limits,
    running: usize,
    bucket: Bucket,
    offered: u64,
    /// Requests wanted at once: rises at once and fades, so that it does not follow each end.
    requests: f64,
    tokens_per_second: f64,
    measured: Option<Time>,
}

impl Default for Account {
    fn default() -> Account {
        Account {
            limits: Limits { priority: 0, concurrency: 0, tokens_per_second: 0 },
            running: 0,
            bucket: Bucket::default(),
            offered: 0,
            requests: 0.0,
            tokens_per_second: 0.0,
            measured: None,
        }
    }
}

impl Account {
    /// The limits that came with the last ticket.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Requests in progress.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether nothing runs and nothing was asked for lately.
    pub fn is_idle(&self) -> bool {
        self.running == 0
            && self.offered == 0
            && self.tokens_per_second < 1.0
            && self.requests < 1.0
    }

    /// Takes note of a ticket, whatever is decided on it.
    pub fn offer(&mut self, ticket: &Ticket<'_>, now: Time) {
        self.limits = ticket.limits;
        self.offered += ticket.tokens;
        self.measured.get_or_insert(now);
    }

    /// Whether the token budget allows a request now, at this daemon's `rate`.
    pub fn has_tokens(&mut self, rate: f64, now: Time) -> bool {
        self.bucket.fill(rate, now)
    }

    /// The time until the budget allows a request after `tokens` that are queued before it.
    pub fn wait_for_tokens(&self, tokens: u64, rate: f64) -> Duration {
        self.bucket.wait(tokens, rate)
    }

    /// Charges a request that was admitted.
    pub fn admit(&mut self, tokens: u64) {
        self.running += 1;
        self.bucket.charge(tokens);
    }

    /// Takes note that an admitted request ended, and corrects its charge.
    pub fn finish(&mut self, charged: u64, used: u64) {
        assert!(self.running > 0, "a request ended that was not admitted");
        self.running -= 1;
        self.bucket.refund(charged as f64 - used as f64);
    }

    /// The demand, when `requests` are running or queued now.
    pub fn demand(&mut self, requests: u32, now: Time) -> Demand {
        let since = now.since(self.measured.unwrap_or(now)).as_secs_f64();
        if since > 0.0 {
            let weight = (since / DEMAND_WINDOW.as_secs_f64()).min(1.0);
            let rate = self.offered as f64 / since;
            self.tokens_per_second += weight * (rate - self.tokens_per_second);
            self.requests -= weight * self.requests;
            self.offered = 0;
            self.measured = Some(now);
        }
        self.requests = self.requests.max(f64::from(requests));
        Demand {
            requests: self.requests.round() as u32,
            tokens_per_second: self.tokens_per_second.round() as u64,
        }
    }
}
