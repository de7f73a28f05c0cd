//! One lease, as one daemon sees it.
//!
//! A lease is a row of the table service. Its holder writes the row again before the lease runs
//! out; everyone else may write it once it has seen the same version of it for longer than the
//! lease lasts. No clock is compared with another: the holder counts from before it sent the
//! write, an observer from after it read the row.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    kernel::{
        clock::Time,
        id::{Daemon, Incarnation, Upstream},
    },
    platform::table::{Check, Failure, Outcome, Row, Transaction, Version, Write},
};

/// How long a lease lasts after its last renewal.
pub const TTL: Duration = Duration::from_millis(15_000);

/// The holder stops this much earlier, and an observer waits this much longer. Both together
/// allow clocks whose rates differ from true time by up to [`DRIFT_PERCENT`].
pub const MARGIN: Duration = Duration::from_millis(1_000);

/// The largest error of a clock's rate under which no two daemons hold a lease at once.
pub const DRIFT_PERCENT: u64 = 5;

/// The time between renewals.
pub const RENEW_EVERY: Duration = Duration::from_millis(5_000);

/// The wait before a write that got no answer is sent again.
pub const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// A lease that was open for this long may be taken by daemons that have their share already.
pub const ORPHAN_AFTER: Duration = Duration::from_millis(10_000);

/// A daemon's run that can hold leases.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holder {
    /// The daemon.
    pub daemon: Daemon,
    /// Its run: after a restart it is another holder.
    pub incarnation: Incarnation,
}

/// The engine that a load lease is used for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Use {
    /// The engine.
    pub upstream: Upstream,
    /// Where it serves.
    pub address: SocketAddr,
}

/// The value of a lease's row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Value {
    /// Who holds the lease; `None` if it is free.
    pub holder: Option<Holder>,
    /// What a load lease is used for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Use>,
}

/// What a write to the row is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// To become the holder.
    Take,
    /// To stay it.
    Renew,
    /// To give the lease up.
    Release,
}

/// A tenure that this daemon has.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tenure {
    /// The fencing number: the version of the row when the lease was taken. Later holders have
    /// higher ones.
    pub fence: Version,
    /// When this daemon learnt that it holds the lease.
    pub taken: Time,
    /// Orders may be sent before this time.
    pub valid_until: Time,
    /// What the holder before used the lease for, as far as the row said.
    pub before: Option<Use>,
    renew_at: Time,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// The row was never read.
    Unknown,
    /// Nobody holds the lease, as was first read at `since`.
    Free { since: Time },
    /// Another holder wrote the row, whose present version was first read at `since`.
    Other { since: Time },
    /// This daemon holds the lease, though not necessarily validly.
    Own(Tenure),
}

#[derive(Clone, Debug)]
struct Call {
    purpose: Purpose,
    started: Time,
    usage: Option<Use>,
}

/// One lease.
#[derive(Clone, Debug)]
pub struct Lease {
    key: String,
    me: Holder,
    state: State,
    version: Option<Version>,
    usage: Option<Use>,
    before: Option<Use>,
    call: Option<Call>,
    not_before: Time,
}

/// What an answer of the table changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing.
    None,
    /// This daemon holds the lease now.
    Taken,
    /// It does not any more.
    Lost,
    /// The outcome of a write is not known: the row must be read.
    Unsettled,
}

impl Lease {
    /// A lease whose row was not read yet.
    pub fn new(key: String, me: Holder) -> Lease {
        Lease {
            key,
            me,
            state: State::Unknown,
            version: None,
            usage: None,
            before: None,
            call: None,
            not_before: Time::default(),
        }
    }

    /// The key of its row.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The tenure, if this daemon holds the lease; it may have run out.
    pub fn tenure(&self) -> Option<&Tenure> {
        match &self.state {
            State::Own(tenure) => Some(tenure),
            _ => None,
        }
    }

    /// The tenure, if this daemon may act under it at `now`.
    pub fn valid(&self, now: Time) -> Option<&Tenure> {
        self.tenure().filter(|tenure| now < tenure.valid_until)
    }

    /// What the row says that the lease is used for.
    pub fn usage(&self) -> Option<&Use> {
        self.usage.as_ref()
    }

    /// The engine for which a write that takes the lease is on its way.
    pub fn asks_for(&self) -> Option<&Upstream> {
        let call = self.call.as_ref()?;
        call.usage.as_ref().map(|it| &it.upstream)
    }

    /// Whether a write is on its way.
    pub fn is_busy(&self) -> bool {
        self.call.is_some()
    }

    /// Whether it may be taken at `now`: it is free, or its holder let it run out.
    pub fn is_open(&self, now: Time) -> bool {
        if self.call.is_some() || now < self.not_before {
            return false;
        }
        match self.state {
            State::Free { .. } => true,
            State::Other { since } => now >= since + TTL + MARGIN,
            State::Unknown | State::Own(_) => false,
        }
    }

    /// Whether it has been open for [`ORPHAN_AFTER`], and nobody took it.
    pub fn is_orphan(&self, now: Time) -> bool {
        let open_since = match self.state {
            State::Free { since } => since,
            State::Other { since } => since + TTL + MARGIN,
            State::Unknown | State::Own(_) => return false,
        };
        self.is_open(now) && now >= open_since + ORPHAN_AFTER
    }

    /// The write that takes the lease. Call it only if [`Lease::is_open`].
    pub fn take(&mut self, now: Time, usage: Option<Use>) -> Transaction {
        let value = Value { holder: Some(self.me.clone()), usage };
        self.before = match self.state {
            State::Other { .. } => self.usage.clone(),
            _ => None,
        };
        self.write(Purpose::Take, now, value)
    }

    /// The write that renews the lease, if it is time for it.
    pub fn renew(&mut self, now: Time) -> Option<Transaction> {
        let due = self.tenure()?.renew_at <= now;
        if !due || self.call.is_some() || now < self.not_before {
            return None;
        }
        let value = Value { holder: Some(self.me.clone()), usage: self.usage.clone() };
        Some(self.write(Purpose::Renew, now, value))
    }

    /// The write that gives the lease up. From this call on the lease is not valid here.
    pub fn release(&mut self, now: Time) -> Option<Transaction> {
        self.tenure()?;
        if self.call.is_some() {
            return None;
        }
        let transaction = self.write(Purpose::Release, now, Value::default());
        self.state = State::Other { since: now };
        Some(transaction)
    }

    /// Takes the answer to the write that is on its way.
    pub fn answer(&mut self, now: Time, result: &Result<Outcome, Failure>) -> Change {
        let Some(call) = self.call.take() else {
            return Change::None;
        };
        match result {
            Ok(Outcome::Committed { version }) => self.committed(now, call, *version),
            Ok(Outcome::Conflict { rows }) => {
                let row = rows.iter().find(|row| row.key == self.key);
                self.observe(now, row)
            }
            Err(Failure::Unavailable(_)) => {
                self.not_before = now + RETRY_AFTER;
                Change::None
            }
            Err(Failure::Lost(_)) => {
                self.not_before = now + RETRY_AFTER;
                Change::Unsettled
            }
        }
    }

    /// Takes note of the row as it was read; `None` if there is none.
    pub fn observe(&mut self, now: Time, row: Option<&Row>) -> Change {
        if self.call.is_some() {
            return Change::None;
        }
        let Some(row) = row else {
            if self.state == State::Unknown {
                self.state = State::Free { since: now };
            }
            return Change::None;
        };
        if self.version.is_some_and(|known| known >= row.version) {
            return Change::None;
        }
        self.version = Some(row.version);
        // A value that cannot be read counts as another holder's.
        let value = serde_json::from_str::<Value>(&row.value).ok();
        let held = self.tenure().is_some();
        let own = value.as_ref().is_some_and(|it| it.holder.as_ref() == Some(&self.me));
        let free = value.as_ref().is_some_and(|it| it.holder.is_none());
        self.usage = value.and_then(|it| it.usage);
        if own {
            return self.adopt(now, row.version);
        }
        self.state = match free {
            true => State::Free { since: now },
            false => State::Other { since: now },
        };
        match held {
            true => Change::Lost,
            false => Change::None,
        }
    }

    fn committed(&mut self, now: Time, call: Call, version: Version) -> Change {
        assert!(
            self.version.is_none_or(|known| known < version),
            "a commit of {} has no new version",
            self.key
        );
        self.version = Some(version);
        self.usage = call.usage;
        let valid_until = call.started + (TTL - MARGIN);
        let renew_at = call.started + RENEW_EVERY;
        match (call.purpose, &mut self.state) {
            (Purpose::Release, state) => {
                *state = State::Free { since: now };
                Change::None
            }
            (Purpose::Renew, State::Own(tenure)) => {
                tenure.valid_until = valid_until;
                tenure.renew_at = renew_at;
                Change::None
            }
            (_, state) => {
                *state = State::Own(Tenure {
                    fence: version,
                    taken: now,
                    valid_until,
                    before: self.before.take(),
                    renew_at,
                });
                Change::Taken
            }
        }
    }

    /// The row turns out to be this daemon's: a write whose answer was lost took effect. How
    /// long ago that was is not known, so nothing is valid before a renewal.
    fn adopt(&mut self, now: Time, version: Version) -> Change {
        if let State::Own(tenure) = &mut self.state {
            tenure.renew_at = now;
            return Change::None;
        }
        self.state = State::Own(Tenure {
            fence: version,
            taken: now,
            valid_until: Time::default(),
            before: self.before.take(),
            renew_at: now,
        });
        Change::Taken
    }

    fn write(&mut self, purpose: Purpose, now: Time, value: Value) -> Transaction {
        assert!(self.call.is_none(), "{} has a write on its way already", self.key);
        let text = serde_json::to_string(&value).unwrap_or_default();
        self.call = Some(Call { purpose, started: now, usage: value.usage });
        Transaction {
            checks: vec![Check { key: self.key.clone(), version: self.version }],
            writes: vec![Write::Put { key: self.key.clone(), value: text }],
        }
    }
}
