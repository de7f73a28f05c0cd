//! The time lines of several processes as one, in causal order, with its gaps.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    kernel::id::Daemon,
    timeline::{Event, Page, Stamp},
};

/// What one process answered.
#[derive(Clone, Debug)]
pub struct Source {
    /// Where it was asked.
    pub address: SocketAddr,
    /// Its page, or why there is none.
    pub page: Result<Page, String>,
}

/// An event with the process that recorded it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// The process.
    pub daemon: Daemon,
    /// The event.
    pub event: Event,
}

/// Events that are missing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Gap {
    /// A process did not answer.
    Unreachable {
        /// Where it was asked.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
    /// A process that another one knows was not asked.
    NotAsked {
        /// The process.
        daemon: Daemon,
    },
    /// A process has overwritten its first events.
    Overwritten {
        /// The process.
        daemon: Daemon,
        /// How many.
        events: u64,
    },
    /// Events in the middle are missing.
    Missing {
        /// The process.
        daemon: Daemon,
        /// The number of the last event before the gap.
        after: u64,
        /// The number of the first event after it.
        before: u64,
    },
}

/// The time lines of several processes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Merged {
    /// The events: each comes after those that caused it.
    pub entries: Vec<Entry>,
    /// What is missing.
    pub gaps: Vec<Gap>,
}

impl Merged {
    /// Merges pages. `known` are the processes that should have been asked.
    ///
    /// Stamps order events of several processes: a message carries its sender's stamp, and what
    /// its receiver records after it has a higher one, however wrong their wall clocks are.
    pub fn new(sources: Vec<Source>, known: &[Daemon]) -> Merged {
        let mut merged = Merged::default();
        let mut seen = BTreeSet::new();
        for source in sources {
            match source.page {
                Ok(page) => {
                    // Two addresses may lead to one process.
                    if seen.insert(page.daemon.clone()) {
                        merged.add(page);
                    }
                }
                Err(reason) => {
                    merged.gaps.push(Gap::Unreachable { address: source.address, reason })
                }
            }
        }
        for daemon in known {
            if !seen.contains(daemon) {
                let daemon = daemon.clone();
                merged.gaps.push(Gap::NotAsked { daemon });
            }
        }
        let key = |it: &Entry| (it.event.stamp, it.daemon.clone(), it.event.seq);
        merged.entries.sort_by_cached_key(key);
        merged
    }

    /// The events as a trace in the JSON format of browsers' trace viewers: a row for each
    /// process, times in microseconds.
    pub fn trace(&self) -> serde_json::Value {
        let names: BTreeSet<_> = self.entries.iter().map(|it| &it.daemon).collect();
        let names: Vec<_> = names.into_iter().collect();
        let mut events = Vec::new();
        for (place, name) in names.iter().enumerate() {
            events.push(json!({
                "name": "process_name",
                "ph": "M",
                "pid": place,
                "args": { "name": name },
            }));
        }
        for Entry { daemon, event } in &self.entries {
            let place = names.binary_search(&daemon).unwrap_or_default();
            // Events of one microsecond keep their order by fractions of it.
            let time = event.stamp.wall_micros as f64 + f64::from(event.stamp.logical) / 1_000.0;
            events.push(json!({
                "name": event.kind,
                "cat": event.subject.to_string(),
                "ph": "i",
                "s": "p",
                "ts": time,
                "pid": place,
                "tid": 0,
                "args": { "subject": event.subject.to_string(), "detail": event.detail },
            }));
        }
        json!({ "traceEvents": events, "otherData": { "gaps": self.gaps } })
    }

    fn add(&mut self, page: Page) {
        let daemon = page.daemon;
        let mut last = 0;
        for event in page.events {
            if event.seq != last + 1 {
                let daemon = daemon.clone();
                self.gaps.push(match last {
                    0 => Gap::Overwritten { daemon, events: event.seq - 1 },
                    after => Gap::Missing { daemon, after, before: event.seq },
                });
            }
            last = event.seq;
            self.entries.push(Entry { daemon: daemon.clone(), event });
        }
    }
}

impl fmt::Display for Merged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Entry { daemon, event } in &self.entries {
            let Event { stamp, subject, kind, detail, .. } = event;
            write!(f, "{stamp}  {daemon}  {subject}  {kind}")?;
            if !detail.is_empty() {
                write!(f, "  {detail}")?;
            }
            writeln!(f)?;
        }
        for gap in &self.gaps {
            writeln!(f, "gap: {gap}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Gap::Unreachable { address, reason } => write!(f, "{address} did not answer: {reason}"),
            Gap::NotAsked { daemon } => write!(f, "{daemon} was not asked"),
            Gap::Overwritten { daemon, events } => {
                write!(f, "{daemon} has overwritten its first {events} events")
            }
            Gap::Missing { daemon, after, before } => {
                write!(f, "{daemon} has no events between {after} and {before}")
            }
        }
    }
}

/// The wall clock in UTC, then the logical part.
impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (seconds, micros) = (self.wall_micros / 1_000_000, self.wall_micros % 1_000_000);
        let (days, second) = (seconds / 86_400, seconds % 86_400);
        let (year, month, day) = date(days);
        let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{micros:06}Z+{}",
            self.logical
        )
    }
}

/// Year, month and day of a number of days since 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    const DAYS_400_YEARS: u64 = 146_097;
    const DAYS_TO_1970: u64 = 719_468;
    // Years begin in March, so that a leap day is the last of its year.
    let days = days + DAYS_TO_1970;
    let era = days / DAYS_400_YEARS;
    let day = days % DAYS_400_YEARS;
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = year + era * 400 + u64::from(month <= 2);
    (year, month, day)
}
