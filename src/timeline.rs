//! The time line: a bounded record of state changes in each process.

pub mod decision;
pub mod log;
pub mod merge;

use std::{collections::VecDeque, fmt, sync::Mutex};

use serde::{Deserialize, Serialize};

use crate::kernel::{
    clock::Clock,
    id::{Daemon, Request},
};

/// Events that a process keeps.
pub const RING_EVENTS: usize = 4_096;

/// A hybrid logical clock stamp. A stamp taken after another was seen compares higher.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// The wall clock, in microseconds since the Unix epoch.
    pub wall_micros: u64,
    /// Orders events of one microsecond.
    pub logical: u32,
}

/// What an event is about; the cause that links events of several processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The process itself.
    Process,
    /// A request.
    Request(Request),
    /// Another daemon.
    Daemon(String),
    /// An upstream.
    Upstream(String),
    /// A revision of the catalog.
    Revision(u64),
    /// A lease.
    Lease(String),
    /// A workspace.
    Workspace(String),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Subject::Process => f.write_str("process"),
            Subject::Request(request) => write!(f, "request {request}"),
            Subject::Daemon(name) => write!(f, "daemon {name}"),
            Subject::Upstream(name) => write!(f, "upstream {name}"),
            Subject::Revision(number) => write!(f, "revision {number}"),
            Subject::Lease(key) => write!(f, "lease {key}"),
            Subject::Workspace(name) => write!(f, "workspace {name}"),
        }
    }
}

/// A change of state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When it happened.
    pub stamp: Stamp,
    /// Counted from 1 in each run of a process. A missing number was overwritten.
    pub seq: u64,
    /// What it is about.
    pub subject: Subject,
    /// A short code in `snake_case`, such as `upstream_dead`.
    pub kind: String,
    /// Details for people.
    pub detail: String,
}

/// The events of one run of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The process.
    pub daemon: Daemon,
    /// The events still kept, oldest first.
    pub events: Vec<Event>,
}

/// The events of this process, oldest first, in bounded memory.
pub struct Ring {
    clock: Box<dyn Clock>,
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    last: Stamp,
    seq: u64,
    events: VecDeque<Event>,
}

impl Ring {
    /// An empty ring that takes its stamps from `clock`.
    pub fn new(clock: Box<dyn Clock>) -> Ring {
        Ring { clock, inner: Mutex::default() }
    }

    /// Adds an event and returns its stamp.
    pub fn record(&self, subject: Subject, kind: &str, detail: impl Into<String>) -> Stamp {
        let wall = self.clock.wall_micros();
        let mut inner = self.inner.lock().unwrap_or_else(|it| it.into_inner());
        let stamp = inner.last.next(wall);
        inner.last = stamp;
        inner.seq += 1;
        let seq = inner.seq;
        if inner.events.len() == RING_EVENTS {
            inner.events.pop_front();
        }
        let (kind, detail) = (kind.to_owned(), detail.into());
        tracing::info!(subject = %subject, kind, detail);
        inner.events.push_back(Event { stamp, seq, subject, kind, detail });
        stamp
    }

    /// The stamp to send along with a message.
    pub fn stamp(&self) -> Stamp {
        let wall = self.clock.wall_micros();
        let mut inner = self.inner.lock().unwrap_or_else(|it| it.into_inner());
        inner.last = inner.last.next(wall);
        inner.last
    }

    /// Takes note of a stamp that came with a message, so that later events compare higher.
    pub fn observe(&self, stamp: Stamp) {
        let mut inner = self.inner.lock().unwrap_or_else(|it| it.into_inner());
        inner.last = inner.last.max(stamp);
    }

    /// The events still kept, oldest first.
    pub fn events(&self) -> Vec<Event> {
        let inner = self.inner.lock().unwrap_or_else(|it| it.into_inner());
        inner.events.iter().cloned().collect()
    }
}

impl Stamp {
    fn next(self, wall_micros: u64) -> Stamp {
        if wall_micros > self.wall_micros {
            return Stamp { wall_micros, logical: 0 };
        }
        Stamp { wall_micros: self.wall_micros, logical: self.logical + 1 }
    }
}
