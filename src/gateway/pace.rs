//! Estimates how fast each engine works, from its observed behaviour.
//!
//! Engines of one deployment may differ in speed, and other work on their machines may slow them
//! down. Each observation is compared with the average of its [`Class`] over all engines, so that
//! neither the rate in the settings nor the length of prompts has to be exact. The logarithms of the
//! ratios are averaged for each engine with exponential decay, and daemons exchange the averages of
//! the engines that differ. An engine that is not known to differ counts as average.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::kernel::clock::Time;

/// Time constant of the exponential decay of observations. In a fleet of 77 daemons, one sends a
/// given engine a call every 18 s, so that the fleet makes about 60 observations in this time.
const DECAY_TIME: Duration = Duration::from_secs(15);

/// Time constant of the decay of the deviation of a reported work time from its average. Other work
/// slows a machine down for about 600 ms at a time.
const EXCESS_DECAY_TIME: Duration = Duration::from_millis(300);

/// Weight of the latest reported work time in its average.
const REPORT_SHARE: f64 = 0.05;

/// Weight of the assumption that an engine is average, in observations.
const ASSUMED_WEIGHT: f32 = 4.0;

/// Total weight of observations below which an engine counts as average. The time to a single first
/// event varies by a factor of two between calls at engines of equal speed.
const MIN_WEIGHT: f32 = 6.0;

/// Total weight of this daemon's observations below which it does not report them. It is that of one
/// first event about 10 s ago.
const MIN_REPORTED_WEIGHT: f32 = 0.5;

/// Smallest logarithm of a slowdown that a daemon reports of its own observations. All daemons
/// together tell smaller differences from chance than one does.
const MIN_REPORTED_DIFFERENCE: f32 = 0.12;

/// Smallest logarithm of an engine's slowdown that counts as a difference. With 0.12, 8 of 30 engines
/// of equal speed seemed 0.78 to 1.18 times as slow as the others.
const MIN_DIFFERENCE: f32 = 0.25;

/// Largest logarithm of a ratio in either direction. Larger ones are lost packets and frozen
/// machines, not speed.
const MAX_DIFFERENCE: f32 = 1.6;

/// Weight of an interval between events. A stream has about ten, which are not independent.
const INTERVAL_WEIGHT: f32 = 0.1;

/// Weight of a reported work time, which the engine states in each answer.
const REPORT_WEIGHT: f32 = 0.5;

/// Observations of a class before its average is known.
const MIN_CLASS_OBSERVATIONS: u32 = 20;

/// Observations of a class after which older ones lose their weight in its average.
const MAX_CLASS_OBSERVATIONS: u32 = 100;

/// Time that a call needs up to its first event besides prefill: network, scheduling, one step.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(15);

/// Duration of a decoding step of an average engine. The engines of the known deployments need 3.8 to
/// 8 ms.
const STEP: Duration = Duration::from_millis(6);

/// Shortest and longest reported work time that is plausible, relative to the usual one.
const PLAUSIBLE_WORK_TIME: std::ops::RangeInclusive<f64> = 0.05..=20.0;

/// Decayed sum of the logarithms of an engine's slowdown, of one daemon or of several.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Total weight of the observations.
    pub weight: f32,
    /// Weighted sum of the logarithms.
    pub sum: f32,
}

impl Sample {
    /// The sum of both.
    pub fn combined_with(&self, other: &Sample) -> Sample {
        Sample { weight: self.weight + other.weight, sum: self.sum + other.sum }
    }

    /// Whether other daemons are told of it: the engine differs noticeably from the average as far as
    /// this sample shows.
    pub fn is_reportable(&self) -> bool {
        self.weight >= MIN_REPORTED_WEIGHT
            && (self.sum / self.weight).abs() >= MIN_REPORTED_DIFFERENCE
    }

    /// The estimated logarithm of the slowdown; 0 unless it is known to differ noticeably.
    fn difference(&self) -> f64 {
        let mean = self.sum / (self.weight + ASSUMED_WEIGHT);
        let is_known = self.weight >= MIN_WEIGHT && mean.abs() >= MIN_DIFFERENCE;
        match is_known && mean.is_finite() {
            true => f64::from(mean.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE)),
            false => 0.0,
        }
    }

    fn decayed(&self, age: Duration) -> Sample {
        let factor = (-age.as_secs_f32() / DECAY_TIME.as_secs_f32()).exp();
        Sample { weight: self.weight * factor, sum: self.sum * factor }
    }
}

/// The speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The time that it needs for its work, relative to the average engine.
    pub slowdown: f64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace { slowdown: 1.0 }
    }
}

impl Pace {
    /// Prompt tokens that it prefills in a millisecond, of which the average engine does `average`.
    pub fn prefill_tokens_per_ms(&self, average: f64) -> f64 {
        average / self.slowdown
    }

    /// The duration of one decoding step.
    pub fn step(&self) -> Duration {
        STEP.mul_f64(self.slowdown)
    }

    /// How much longer `steps` decoding steps take than at the average engine, in milliseconds;
    /// negative at a faster one.
    pub fn additional_step_ms(&self, steps: u64) -> f64 {
        steps as f64 * STEP.as_secs_f64() * 1_000.0 * (self.slowdown - 1.0)
    }
}

/// Something that an engine did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It sent the first event of a call.
    FirstEvent {
        /// The time since the call was sent.
        elapsed: Duration,
        /// The time that the average engine needs to prefill the tokens that were queued there and
        /// those of the call.
        prefill: Duration,
    },
    /// It sent another event of a stream.
    Interval {
        /// The time since the previous event.
        elapsed: Duration,
        /// Calls in progress there.
        calls: u32,
        /// Whether prompts were being prefilled there.
        is_prefilling: bool,
    },
    /// It stated how long work takes now, relative to the usual time.
    Report(f64),
}

/// Observations that are comparable between engines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Class {
    /// First events, by the expected prefill time.
    FirstEvent(usize),
    /// Intervals without prefill, by the calls in progress.
    Decoding(usize),
    /// Intervals while prompts are being prefilled.
    Prefilling,
    /// Reported work times.
    Report,
}

const FIRST_EVENT_CLASSES: usize = 8;
const DECODING_CLASSES: usize = 4;
const CLASSES: usize = FIRST_EVENT_CLASSES + DECODING_CLASSES + 2;

impl Class {
    fn index(self) -> usize {
        match self {
            Class::FirstEvent(size) => size.min(FIRST_EVENT_CLASSES - 1),
            Class::Decoding(size) => FIRST_EVENT_CLASSES + size.min(DECODING_CLASSES - 1),
            Class::Prefilling => CLASSES - 2,
            Class::Report => CLASSES - 1,
        }
    }
}

impl Observation {
    /// Its class, the logarithm of the measured time relative to the expected one, and its weight;
    /// `None` if it is implausible.
    fn ratio(&self) -> Option<(Class, f32, f32)> {
        let (class, ratio, weight) = match *self {
            Observation::FirstEvent { elapsed, prefill } => {
                let expected = prefill + FIRST_EVENT_OVERHEAD;
                let size = (expected.as_millis() as u64 / 15).max(1).ilog2() as usize;
                (Class::FirstEvent(size), elapsed.as_secs_f64() / expected.as_secs_f64(), 1.0)
            }
            Observation::Interval { elapsed, calls, is_prefilling } => {
                let class = match is_prefilling {
                    true => Class::Prefilling,
                    false => Class::Decoding(calls.max(1).ilog2() as usize / 2),
                };
                (class, elapsed.as_secs_f64() / STEP.as_secs_f64(), INTERVAL_WEIGHT)
            }
            Observation::Report(work_time) if PLAUSIBLE_WORK_TIME.contains(&work_time) => {
                (Class::Report, work_time, REPORT_WEIGHT)
            }
            Observation::Report(_) => return None,
        };
        let logarithm = ratio.ln() as f32;
        logarithm.is_finite().then_some((class, logarithm, weight))
    }
}

/// The average of each class of observations over all engines, as seen by this daemon.
#[derive(Debug, Default)]
pub struct Baseline {
    classes: Mutex<[Average; CLASSES]>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Average {
    observations: u32,
    mean: f32,
}

impl Baseline {
    /// Records an observation after which the engine's excess was `excess`. Returns how it deviates
    /// from the average, or `None` if it is implausible or the average is not yet known.
    fn deviation(&self, observation: &Observation, excess: f32) -> Option<Sample> {
        let (class, logarithm, weight) = observation.ratio()?;
        let logarithm = logarithm - excess;
        let mut classes = self.lock();
        let average = &mut classes[class.index()];
        let deviation = logarithm - average.mean;
        let is_known = average.observations >= MIN_CLASS_OBSERVATIONS;
        average.observations = (average.observations + 1).min(MAX_CLASS_OBSERVATIONS);
        let step = match is_known {
            true => deviation.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE),
            false => deviation,
        };
        average.mean += step / average.observations as f32;
        let deviation = deviation.clamp(-MAX_DIFFERENCE, MAX_DIFFERENCE);
        is_known.then_some(Sample { weight, sum: weight * deviation })
    }

    fn lock(&self) -> MutexGuard<'_, [Average; CLASSES]> {
        self.classes.lock().unwrap_or_else(|it| it.into_inner())
    }
}

/// What this daemon has observed of one engine process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    sample: Sample,
    /// The time up to which the sample is decayed.
    at: Time,
    /// The average and the latest logarithm of the work times that it stated, and when it stated the
    /// latest.
    reported: Option<(f64, f64, Time)>,
}

impl Estimate {
    /// Records an observation.
    pub fn record(&mut self, observation: &Observation, baseline: &Baseline, now: Time) {
        if let Observation::Report(work_time) = *observation {
            if !PLAUSIBLE_WORK_TIME.contains(&work_time) {
                return;
            }
            let latest = work_time.ln();
            let average = self.reported.map_or(latest, |(it, _, _)| it);
            self.reported = Some((average + (latest - average) * REPORT_SHARE, latest, now));
        }
        // What other work adds for a moment is left out of the lasting estimate.
        let excess = self.excess(now) as f32;
        if let Some(deviation) = baseline.deviation(observation, excess) {
            self.sample = self.sample(now).combined_with(&deviation);
            self.at = now;
        }
    }

    /// The observations, decayed.
    pub fn sample(&self, now: Time) -> Sample {
        self.sample.decayed(now.since(self.at))
    }

    /// The pace of the engine, with the observations of other daemons.
    pub fn pace(&self, peers: Option<&Sample>, now: Time) -> Pace {
        let own = self.sample(now);
        let sample = peers.map_or(own, |it| own.combined_with(it));
        let excess = self.excess(now);
        let excess = if excess.abs() < f64::from(MIN_DIFFERENCE) { 0.0 } else { excess };
        Pace { slowdown: (sample.difference() + excess).exp() }
    }

    /// How far the last stated work time lies above the usual one of this engine, decayed.
    fn excess(&self, now: Time) -> f64 {
        let Some((average, latest, at)) = self.reported else {
            return 0.0;
        };
        let age = now.since(at).as_secs_f64();
        (latest - average) * (-age / EXCESS_DECAY_TIME.as_secs_f64()).exp()
    }
}
