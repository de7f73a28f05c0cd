//! At most one run for each idempotency key, over all daemons, by rows of the table service.
//!
//! Before the first byte goes to an upstream, a row is inserted that names the request's digest
//! and a token of this attempt; the daemon whose token is in the row is its holder. A lost
//! answer to the insert is settled by reading the row and comparing the token. A row without a
//! result is never taken over, since its holder may be paused and act later. Only the holder
//! writes the result: not run, or run with the answer for those who ask again.
//!
//! A second row orders the first by age, so that old rows are found without reading the rest.
//! A holder sends only within [`SEND_WINDOW`] of the caller's request, which is far shorter
//! than [`KEEP`]: so no holder is still to act when its row is pruned.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Request, Workspace},
    },
    platform::table::{Check, Outcome as Committed, Row, Transaction, Version, Write},
    request::refusal::{Execution, Kind, Refusal},
    upstream::wire::{Finish, Usage},
};

/// Rows are kept for this long.
pub const KEEP: Duration = Duration::from_secs(24 * 3_600);

/// A holder sends within this time after the caller's request arrived, or never.
pub const SEND_WINDOW: Duration = Duration::from_secs(30);

/// A process that did not run for this long was paused.
pub const PAUSE: Duration = Duration::from_secs(10);

/// The most by which the wall clocks of two daemons may differ.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Bytes of an answer that are kept for those who ask again.
pub const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Rows that are pruned at once.
pub const PRUNE_BATCH: usize = 50;

/// The start of the keys of the rows that order others by age.
pub const AGES: &str = "once-age/";

/// Commits that are tried to become the holder.
const MAX_TRIES: u32 = 4;

/// A request that may run at most once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Whose it is.
    pub workspace: Workspace,
    /// The idempotency key.
    pub key: String,
    /// The digest of what is asked: 64 hexadecimal digits.
    pub digest: String,
    /// The token of this attempt.
    pub token: Request,
    /// The daemon that it arrived at.
    pub daemon: Daemon,
    /// The run of that daemon.
    pub incarnation: Incarnation,
    /// When it arrived at the earliest, by [`Awake::received`].
    pub received: Now,
}

/// A point in time on both clocks of a process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Now {
    /// The monotonic clock, which may stand still while a VM is suspended.
    pub time: Time,
    /// The wall clock, in seconds since the Unix epoch.
    pub wall_s: u64,
}

/// Tells when a request may have arrived at a process that is paused at times: what waited in a
/// socket's buffer is read after the pause, and looks as if it had just arrived.
#[derive(Clone, Copy, Debug, Default)]
pub struct Awake {
    last: Now,
    pause: Option<Pause>,
}

/// The last pause of a process.
#[derive(Clone, Copy, Debug)]
struct Pause {
    from: Now,
    to: Now,
}

impl Awake {
    /// A process that starts now.
    pub fn new(now: Now) -> Awake {
        Awake { last: now, pause: None }
    }

    /// The process runs; to be told much more often than every [`PAUSE`].
    pub fn tick(&mut self, now: Now) {
        if now.since(self.last) > PAUSE {
            self.pause = Some(Pause { from: self.last, to: now });
        }
        self.last = now;
    }

    /// The earliest time at which a request that is read now can have arrived.
    pub fn received(&mut self, now: Now) -> Now {
        if now.since(self.last) > PAUSE {
            self.tick(now);
        }
        match self.pause {
            Some(pause) if now.since(pause.to) < PAUSE => pause.from,
            _ => now,
        }
    }
}

impl Now {
    /// The time since `earlier`, by the clock that says more.
    pub fn since(self, earlier: Now) -> Duration {
        let wall = Duration::from_secs(self.wall_s.saturating_sub(earlier.wall_s));
        self.time.since(earlier.time).max(wall)
    }
}

/// The row of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The digest of what is asked.
    pub digest: String,
    /// The token of the holder's attempt.
    pub token: Request,
    /// The holder.
    pub daemon: Daemon,
    /// The holder's run.
    pub incarnation: Incarnation,
    /// When the holder took it, in seconds since the Unix epoch.
    pub taken_s: u64,
    /// What is known of the run.
    pub state: State,
}

/// What is known of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Nothing: the holder may have sent the request, or may still send it.
    Pending,
    /// The holder sent nothing, and will not.
    NotRun {
        /// When its caller was told, in seconds since the Unix epoch.
        told_s: u64,
    },
    /// It was run; the answer is left out if it is too long or was lost.
    Run(Option<Answer>),
}

/// An answer that is kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// A plain service's.
    Call {
        /// The HTTP status.
        status: u16,
        /// The content type, if there was one.
        content_type: Option<String>,
        /// The body.
        body: String,
    },
    /// A model's.
    Completion {
        /// The text.
        text: String,
        /// Why it ended.
        finish: Finish,
        /// What it cost.
        usage: Usage,
    },
}

/// How the holder's attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// No byte was sent to an upstream that ran it, nor will be.
    NotRun {
        /// When the caller is told, in seconds since the Unix epoch.
        told_s: u64,
    },
    /// It was run, with this answer if it is known.
    Run(Option<Answer>),
    /// It may have been run, or may still be.
    Unknown,
}

/// What the table answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The answer to a commit.
    Commit(Committed),
    /// The answer to a read.
    Row(Option<Row>),
    /// Nothing was applied.
    Unavailable,
    /// A commit may have been applied, or a read gave no answer.
    Lost,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Commit this.
    Commit(Transaction),
    /// Read this row.
    Read(String),
    /// This attempt is the holder: ask [`Claim::may_send`], send, and call [`Claim::settle`].
    Hold,
    /// Answer with what is kept.
    Replay(Answer),
    /// Refuse.
    Refuse(Refusal),
}

/// One attempt to become the holder of a key.
#[derive(Clone, Debug)]
pub struct Claim {
    call: Call,
    over: Option<Over>,
    tries: u32,
    held: Option<Version>,
}

/// A row marked not run, which may be taken over.
#[derive(Clone, Debug)]
struct Over {
    version: Version,
    age: String,
}

impl Claim {
    /// An attempt of which the table knows nothing, and its first step.
    pub fn new(call: Call) -> (Claim, Step) {
        let mut claim = Claim { call, over: None, tries: 0, held: None };
        let step = claim.take();
        (claim, step)
    }

    /// Decides on an answer of the table.
    pub fn on(&mut self, event: Event, now: Now) -> Step {
        assert!(self.held.is_none(), "the claim is decided already");
        match self.decide(event) {
            // A row that says more may have been pruned since the request arrived.
            Step::Refuse(refusal) if !self.is_fresh(now) => Step::Refuse(refusal.keyed()),
            step => step,
        }
    }

    fn decide(&mut self, event: Event) -> Step {
        match event {
            Event::Commit(Committed::Committed { version }) => self.hold(version),
            Event::Commit(Committed::Conflict { rows }) => match rows.first() {
                Some(row) => self.found(row),
                // The row that was to be taken over has been pruned.
                None => self.again(),
            },
            Event::Row(Some(row)) => self.found(&row),
            Event::Row(None) => self.again(),
            Event::Lost => Step::Read(self.call.row()),
            Event::Unavailable => self.unavailable(),
        }
    }

    /// Whether the holder may still send. To be asked right before. If not, it settles the row
    /// as not run, but answers its caller that it does not know: an earlier row of the key may
    /// have been pruned meanwhile.
    pub fn may_send(&self, now: Now) -> bool {
        self.held.is_some() && self.is_fresh(now)
    }

    /// The write that tells others how the holder's attempt ended, if there is something to
    /// tell. It is repeated until it is answered; a conflict means that it was applied before.
    pub fn settle(&self, outcome: Outcome) -> Option<Transaction> {
        let version = self.held?;
        let state = match outcome {
            Outcome::NotRun { told_s } => State::NotRun { told_s },
            Outcome::Run(answer) => State::Run(answer.filter(Answer::is_short)),
            Outcome::Unknown => return None,
        };
        Some(Transaction {
            checks: vec![Check { key: self.call.row(), version: Some(version) }],
            writes: vec![self.put(state)],
        })
    }

    fn is_fresh(&self, now: Now) -> bool {
        now.since(self.call.received) < SEND_WINDOW
    }

    fn take(&mut self) -> Step {
        self.tries += 1;
        let age = age(self.call.received.wall_s, self.call.token);
        let mut writes =
            vec![self.put(State::Pending), Write::Put { key: age, value: quote(&self.call.row()) }];
        if let Some(over) = &self.over {
            let key = over.age.clone();
            writes.push(Write::Delete { key });
        }
        Step::Commit(Transaction {
            checks: vec![Check {
                key: self.call.row(),
                version: self.over.as_ref().map(|it| it.version),
            }],
            writes,
        })
    }

    fn again(&mut self) -> Step {
        self.over = None;
        if self.tries >= MAX_TRIES {
            return self.unavailable();
        }
        self.take()
    }

    fn hold(&mut self, version: Version) -> Step {
        self.held = Some(version);
        Step::Hold
    }

    fn found(&mut self, row: &Row) -> Step {
        let Ok(record) = serde_json::from_str::<Record>(&row.value) else {
            return refuse(Kind::Unsettled, Execution::Unknown, "the key's row is unreadable");
        };
        if record.token == self.call.token {
            return self.hold(row.version);
        }
        if record.digest != self.call.digest {
            let message = "the idempotency key was used for another request";
            return Step::Refuse(Refusal::not_run(Kind::KeyReused, message));
        }
        let margin = CLOCK_MARGIN.as_secs();
        match record.state {
            State::Run(Some(answer)) => Step::Replay(answer),
            State::Run(None) => {
                let message = "it was run, and its answer was not kept";
                refuse(Kind::AlreadyRun, Execution::Run, message)
            }
            State::Pending => {
                let message = "it was sent before, and how it ended is not known yet";
                refuse(Kind::Unsettled, Execution::Unknown, message)
            }
            // The holder's caller was told that the key was not run. What had arrived before
            // that must not run after it; what arrives later is a request of its own.
            State::NotRun { told_s } if self.call.received.wall_s <= told_s + margin => {
                let message = "it was refused elsewhere a moment ago";
                refuse(Kind::Unsettled, Execution::Unknown, message)
            }
            State::NotRun { .. } if self.tries < MAX_TRIES => {
                self.over =
                    Some(Over { version: row.version, age: age(record.taken_s, record.token) });
                self.take()
            }
            State::NotRun { .. } => self.unavailable(),
        }
    }

    /// This attempt sends nothing; but whether an earlier one with the same key did can't be
    /// known without the table.
    fn unavailable(&self) -> Step {
        let message = "the table service is not available, so nothing was sent now; \
                       whether the key was used before is not known";
        refuse(Kind::StoreUnavailable, Execution::Unknown, message)
    }

    fn put(&self, state: State) -> Write {
        let call = &self.call;
        let record = Record {
            digest: call.digest.clone(),
            token: call.token,
            daemon: call.daemon.clone(),
            incarnation: call.incarnation,
            taken_s: call.received.wall_s,
            state,
        };
        Write::Put {
            key: call.row(),
            // The encoding of a plain struct cannot fail.
            value: serde_json::to_string(&record).unwrap_or_default(),
        }
    }
}

impl Call {
    /// The key of its row. The length keeps workspaces apart whose names hold a `/`.
    pub fn row(&self) -> String {
        let workspace = self.workspace.as_str();
        format!("once/{}/{workspace}/{}", workspace.len(), self.key)
    }
}

impl Answer {
    fn is_short(&self) -> bool {
        let length = match self {
            Answer::Call { body, .. } => body.len(),
            Answer::Completion { text, .. } => text.len(),
        };
        length <= MAX_KEPT_BYTES
    }
}

/// The transaction that prunes one row, given the row that orders it by age; none if it is not
/// old enough. Checking the latter's version keeps a late prune from a key's newer row.
pub fn prune(age: &Row, wall_s: u64) -> Option<Transaction> {
    let rest = age.key.strip_prefix(AGES)?;
    let taken_s: u64 = rest.split_once('/')?.0.parse().ok()?;
    if wall_s.saturating_sub(taken_s) < KEEP.as_secs() {
        return None;
    }
    let row = serde_json::from_str::<String>(&age.value).ok()?;
    Some(Transaction {
        checks: vec![Check { key: age.key.clone(), version: Some(age.version) }],
        writes: vec![Write::Delete { key: age.key.clone() }, Write::Delete { key: row }],
    })
}

fn age(taken_s: u64, token: Request) -> String {
    format!("{AGES}{taken_s:012}/{token}")
}

fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

fn refuse(kind: Kind, run: Execution, message: &str) -> Step {
    Step::Refuse(Refusal {
        kind,
        message: message.to_owned(),
        run,
        retry_after: (run == Execution::Unknown).then_some(CLOCK_MARGIN),
    })
}
