//! How a daemon that knows few others learns the rest: it asks for them page by page, by name.

use std::time::Duration;

use crate::{
    fleet::message::Record,
    kernel::{clock::Time, id::Daemon},
};

/// Records in a page.
pub const PAGE_RECORDS: usize = 48;

/// The wait after a round that brought news, and before the first one.
const SHORT_WAIT: Duration = Duration::from_millis(2_000);

/// The wait after a round that brought none: the VM list is wrong, or the missing daemons are
/// dead.
const LONG_WAIT: Duration = Duration::from_secs(30);

/// Where the asking stands.
#[derive(Clone, Debug)]
pub struct Inquiry {
    after: Daemon,
    has_news: bool,
    next: Time,
}

impl Default for Inquiry {
    fn default() -> Inquiry {
        Inquiry { after: Daemon::from(""), has_news: false, next: Time(0) }
    }
}

impl Inquiry {
    /// What to ask for now, when `known` daemons are known and there may be `expected`.
    pub fn next(&self, now: Time, known: usize, expected: usize) -> Option<Daemon> {
        if known > 0 && (known >= expected || now < self.next) {
            return None;
        }
        Some(self.after.clone())
    }

    /// Takes a page.
    pub fn answered(&mut self, now: Time, page: &[Record], has_news: bool) {
        self.has_news |= has_news;
        if let (true, Some(last)) = (page.len() >= PAGE_RECORDS, page.last()) {
            self.after = last.member.daemon.clone();
            return;
        }
        let wait = if self.has_news { SHORT_WAIT } else { LONG_WAIT };
        *self = Inquiry { next: now + wait, ..Inquiry::default() };
    }
}
