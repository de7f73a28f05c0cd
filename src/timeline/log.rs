//! Log lines of several processes, read from files: what became of one request.

use std::{
    collections::BTreeSet,
    fmt,
    time::{Duration, SystemTime},
};

use serde_json::{Map, Value};

/// How long before a request's first line and after its last one the lines of the upstreams that
/// it was sent to are shown: a crash is found within a second, an order is carried out within
/// seconds.
const AROUND: Duration = Duration::from_secs(5);

/// The field that carries a request's identifier.
const REQUEST: &str = "attempt";

/// The fields that name an upstream.
const UPSTREAMS: [&str; 2] = ["upstream", "engine"];

/// Fields that are shown in places of their own, or nowhere.
const SHOWN: [&str; 4] = ["timestamp", "level", "message", REQUEST];

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When it was written, by the clock of its VM.
    pub at: SystemTime,
    /// The process that wrote it.
    pub process: String,
    /// What happened.
    pub message: String,
    fields: Map<String, Value>,
}

/// The lines of all processes, in the order of their clocks.
#[derive(Debug, Default)]
pub struct Log {
    lines: Vec<Line>,
    /// Lines that are no JSON object with a time and a message.
    pub unreadable: usize,
}

impl Log {
    /// Adds the log of a process.
    pub fn add(&mut self, process: &str, text: &str) {
        for text in text.lines().filter(|it| !it.trim().is_empty()) {
            match Line::parse(process, text) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
        self.lines.sort_by_key(|it| it.at);
    }

    /// The lines of a request, and those that tell of the upstreams it was sent to around that
    /// time.
    pub fn explain(&self, request: &str) -> Vec<&Line> {
        let own = |it: &&Line| it.text(REQUEST) == Some(request);
        let (Some(first), Some(last)) =
            (self.lines.iter().find(own), self.lines.iter().rev().find(own))
        else {
            return Vec::new();
        };
        let upstreams: BTreeSet<&str> =
            self.lines.iter().filter(own).flat_map(Line::upstreams).collect();
        let (from, to) = (first.at - AROUND, last.at + AROUND);
        let mut found = Vec::new();
        for line in &self.lines {
            let of_upstream = line.at >= from
                && line.at <= to
                && line.text(REQUEST).is_none()
                && line.upstreams().any(|it| upstreams.contains(it));
            if own(&line) || of_upstream {
                found.push(line);
            }
        }
        found
    }
}

impl Line {
    fn parse(process: &str, text: &str) -> Option<Line> {
        let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
        let at = humantime::parse_rfc3339(fields.get("timestamp")?.as_str()?).ok()?;
        let message = fields.get("message")?.as_str()?.to_owned();
        Some(Line { at, process: process.to_owned(), message, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    fn upstreams(&self) -> impl Iterator<Item = &str> {
        UPSTREAMS.iter().filter_map(|it| self.text(it))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = humantime::format_rfc3339_micros(self.at);
        write!(f, "{at}  {}  {}", self.process, self.message)?;
        for (name, value) in &self.fields {
            if SHOWN.contains(&name.as_str()) || value.is_null() {
                continue;
            }
            match value.as_str() {
                Some(text) => write!(f, "  {name}={text}")?,
                None => write!(f, "  {name}={value}")?,
            }
        }
        Ok(())
    }
}
