//! The measures of a run.

use std::{collections::BTreeMap, fmt, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    load::{
        caller::{Done, Outcome},
        protocol::Execution,
    },
    standin::ledger::Totals,
};

/// Microseconds of a millisecond.
const MILLI_MICROS: f64 = 1_000.0;

/// The longest time that the histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// The measures of one run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// The deployment.
    pub deployment: String,
    /// The policy that chose upstreams, if the run sets it.
    pub policy: Option<String>,
    /// The seed of the traffic.
    pub seed: u64,
    /// Calls that were made, those before the measured time included.
    pub calls: u64,
    /// Calls whose whole answer arrived.
    pub whole: u64,
    /// Part of the prompt tokens that were in the engine's cache.
    pub hit_rate: f64,
    /// Part of the prompt tokens that were computed although a live engine held them.
    pub wasted: f64,
    /// Time to the first token.
    pub ttft: Quantiles,
    /// Attempts beside the first of a call.
    pub retries: u64,
    /// Refusals by kind, those that were followed by another attempt included.
    pub refusals: BTreeMap<String, u64>,
    /// Calls that ended with a refusal.
    pub refused: u64,
    /// Calls whose answer was not the right one.
    pub wrong: u64,
    /// Calls that ended without answer and without refusal.
    pub lost: u64,
    /// Bookings that were run more than once.
    pub repeated: u64,
    /// Bookings that were run although the caller was told that they were not, and answered ones
    /// that were not run.
    pub untrue: u64,
    /// The first faults, for people.
    pub faults: Vec<String>,
}

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// The median.
    pub p50_ms: f64,
    /// Of 100, 95 are below.
    pub p95_ms: f64,
    /// Of 100, 99 are below.
    pub p99_ms: f64,
}

/// Faults that are kept with their text.
const MAX_FAULTS: usize = 8;

/// Adds up the ends of calls.
pub struct Recorder {
    report: Report,
    times: Histogram<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
}

impl Recorder {
    /// Nothing yet.
    pub fn new(deployment: &str, seed: u64) -> Recorder {
        Recorder {
            report: Report { deployment: deployment.to_owned(), seed, ..Report::default() },
            times: histogram(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Adds a call. Only those `measured` count for hit rate and times.
    pub fn add(&mut self, done: &Done, measured: bool) {
        self.report.calls += 1;
        self.report.retries += u64::from(done.retries);
        for refusal in &done.refusals {
            *self.report.refusals.entry(refusal.kind.clone()).or_default() += 1;
        }
        match &done.outcome {
            Outcome::Whole(whole) => {
                self.report.whole += 1;
                if !measured || whole.usage.prompt_tokens == 0 {
                    return;
                }
                let micros = whole.first.as_micros() as u64;
                self.times.saturating_record(micros.max(1));
                self.prompt_tokens += whole.usage.prompt_tokens;
                self.cached_tokens += whole.usage.prompt_tokens_details.cached_tokens;
            }
            Outcome::Refused(detail) => {
                self.report.refused += 1;
                *self.report.refusals.entry(detail.kind.clone()).or_default() += 1;
            }
            Outcome::Wrong(reason) => {
                self.report.wrong += 1;
                self.fault(format!("wrong: {reason}"));
            }
            Outcome::Lost(reason) => {
                self.report.lost += 1;
                self.fault(format!("lost: {reason}"));
            }
        }
    }

    /// Adds what became of a booking: how often it was run, and what its caller was told.
    pub fn booking(&mut self, key: &str, done: &Done, executions: u32) {
        if executions > 1 {
            self.report.repeated += 1;
            self.fault(format!("{key} was run {executions} times"));
        }
        let untrue = match &done.outcome {
            Outcome::Whole(_) => executions == 0,
            Outcome::Refused(detail) => detail.run == Execution::NotRun && executions > 0,
            Outcome::Wrong(_) | Outcome::Lost(_) => false,
        };
        if untrue {
            self.report.untrue += 1;
            self.fault(format!("{key} was run {executions} times: {:?}", done.outcome));
        }
    }

    /// The measures, with those of the engines.
    pub fn finish(mut self, before: &Totals, after: &Totals) -> Report {
        self.report.hit_rate = ratio(self.cached_tokens, self.prompt_tokens);
        self.report.wasted = ratio(
            after.wasted_tokens - before.wasted_tokens,
            after.prompt_tokens - before.prompt_tokens,
        );
        self.report.ttft = Quantiles::new(&self.times);
        self.report
    }

    fn fault(&mut self, text: String) {
        if self.report.faults.len() < MAX_FAULTS {
            self.report.faults.push(text);
        }
    }
}

impl Report {
    /// Whether every answer was right, none was lost and every refusal was true.
    pub fn is_right(&self) -> bool {
        self.wrong + self.lost + self.repeated + self.untrue == 0
    }
}

impl Quantiles {
    /// The quantiles of times in microseconds.
    pub fn new(times: &Histogram<u64>) -> Quantiles {
        let millis = |quantile| times.value_at_quantile(quantile) as f64 / MILLI_MICROS;
        Quantiles { p50_ms: millis(0.50), p95_ms: millis(0.95), p99_ms: millis(0.99) }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report { ttft, .. } = self;
        writeln!(f, "deployment            {}", self.deployment)?;
        writeln!(f, "seed                  {}", self.seed)?;
        writeln!(f, "calls                 {}", self.calls)?;
        writeln!(f, "whole answers         {}", self.whole)?;
        writeln!(f, "prefix hit rate       {:.3}", self.hit_rate)?;
        writeln!(f, "wasted recomputation  {:.3}", self.wasted)?;
        writeln!(
            f,
            "time to first token   p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms",
            ttft.p50_ms, ttft.p95_ms, ttft.p99_ms
        )?;
        writeln!(f, "retries               {}", self.retries)?;
        for (kind, count) in &self.refusals {
            writeln!(f, "refusals              {count} {kind}")?;
        }
        writeln!(f, "refused in the end    {}", self.refused)?;
        writeln!(f, "wrong answers         {}", self.wrong)?;
        writeln!(f, "lost answers          {}", self.lost)?;
        writeln!(f, "bookings run twice    {}", self.repeated)?;
        writeln!(f, "untrue refusals       {}", self.untrue)?;
        for fault in &self.faults {
            writeln!(f, "  {fault}")?;
        }
        Ok(())
    }
}

/// An empty histogram of times in microseconds, to three digits.
pub fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_max(MAX_MICROS, 3);
    made.expect("the bounds of the histogram are valid")
}

/// A duration as milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_micros() as f64 / MILLI_MICROS
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
