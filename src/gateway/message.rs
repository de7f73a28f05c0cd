//! The message that daemons send each other, as a request and as its response.
//!
//! Daemons don't share a clock. A message carries times as offsets from the moment at which its
//! sender received the last message of the receiver, and the receiver adds them to the time at which
//! it had sent that one. The result is never later than the time that is meant, however long either
//! message was on the way.
//!
//! The types derive the layout of protocol 1, which older builds read; later ones are laid out in
//! [`wire`](crate::gateway::exchange::wire). A new field carries `#[serde(skip)]`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    fleet::board::Fact,
    gateway::{
        cache, crash,
        gauge::Outcomes,
        origin, quota, rollout,
        store::{Position, Row},
    },
    kernel::{
        clock::Time,
        id::{Build, Incarnation, Model, Version},
    },
};

/// What the sender of a message is to its receiver.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Link {
    /// Another member of the full mesh, or another hub.
    Peer,
    /// A spoke of the receiver.
    Spoke,
    /// The hub that the receiver uses.
    Hub,
}

impl Link {
    /// What the receiver is to the sender.
    pub fn reversed(self) -> Link {
        match self {
            Link::Peer => Link::Peer,
            Link::Spoke => Link::Hub,
            Link::Hub => Link::Spoke,
        }
    }
}

/// Load and recent call outcomes at one upstream, of one daemon or of several.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Hash of the upstream's name; 0 in sums, where it is the map's key.
    pub engine: u64,
    /// Calls in progress.
    pub calls: u32,
    /// Prompt tokens that the calls are still expected to prefill.
    pub tokens: u64,
    /// Engine memory reserved for the calls, in tokens.
    pub memory: u64,
    /// Outcomes of recent calls.
    pub outcomes: Outcomes,
}

impl Load {
    /// Adds the load that others place on the same upstream.
    pub fn add(&mut self, other: &Load) {
        self.calls += other.calls;
        self.tokens += other.tokens;
        self.memory += other.memory;
        self.outcomes = self.outcomes.combined_with(&other.outcomes);
    }
}

/// A time on its way to another daemon, in microseconds after the sender received the last message
/// of the receiver; negative if before.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Offset(pub(super) i64);

impl Offset {
    /// The time `at` for a peer whose last message was received at `heard_at`.
    pub fn new(at: Time, heard_at: Time) -> Offset {
        Offset(at.0 as i64 - heard_at.0 as i64)
    }

    /// The time by the receiver's clock. `echo` is when it sent the message that the offset refers
    /// to. A time before the origin of the clock becomes the origin.
    pub fn resolve(self, echo: Time) -> Time {
        Time((echo.0 as i64).saturating_add(self.0).max(0) as u64)
    }
}

/// A time on its way to another daemon, as its age when the message was sent. Other than with
/// [`Offset`], the result is never earlier than the time that is meant. Where daemons keep the
/// earliest of several reports, one that is passed on again and again must not get earlier.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Age(pub(super) u64);

impl Age {
    /// The age of `at` in a message sent at `now`.
    pub fn new(at: Time, now: Time) -> Age {
        Age(now.since(at).as_micros() as u64)
    }

    /// The time by the clock of a receiver that has received the message at `now`.
    pub fn resolve(self, now: Time) -> Time {
        now - Duration::from_micros(self.0)
    }
}

/// How far the sender's copy of a topic reaches; see [`mirror`](crate::gateway::mirror).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// The latest transaction that it includes.
    pub position: Position,
    /// When it was confirmed to be the latest.
    pub confirmed_at: Offset,
}

/// Rows of one topic that the receiver lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rows {
    /// Index in [`Topic::FOLLOWED`](crate::gateway::store::Topic::FOLLOWED).
    pub topic: usize,
    /// The transaction that the rows continue, of the same era as the sender's head; `None` if they
    /// are all rows.
    pub after: Option<u64>,
    /// The rows.
    pub rows: Vec<Row>,
}

/// Tells of rows that are too large for a message; see [`fetch`](crate::gateway::exchange::fetch).
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Index in [`Topic::FOLLOWED`](crate::gateway::store::Topic::FOLLOWED).
    pub topic: usize,
    /// The transaction that wrote the latest of them.
    pub until: Position,
    /// A daemon that has them, which need not be the sender.
    pub holder: String,
}

/// Versions of a model's weights that the operator set.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Targets {
    /// The model.
    pub model: Model,
    /// The latest versions, oldest first.
    pub versions: Vec<Target>,
}

/// A version of a model's weights that the operator set; see [`rollout::Target`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The version.
    pub version: Version,
    /// How long ago that was learned.
    pub age: Age,
    /// Whether the age is only assumed.
    pub is_assumed: bool,
}

/// Rollout progress of a model's engines, as reported by the holder of the lease on load orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollout {
    /// The model.
    pub model: Model,
    /// Fencing token of the lease holder; a higher one takes precedence.
    pub fence: u64,
    /// Progress of each engine.
    pub statuses: rollout::Statuses,
}

/// An upstream process that was found dead recently.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sighting {
    /// Hash of the upstream's name.
    pub engine: u64,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// When any daemon last found it dead.
    pub dead_at: Offset,
    /// When any daemon last found it alive, if it did.
    pub alive_at: Option<Offset>,
}

/// A build that upstreams of a service had lately.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Release {
    /// Hash of the service's name.
    pub service: u64,
    /// The build.
    pub build: Build,
    /// How long ago it was last in use.
    pub age: Age,
}

/// The limit of an upstream process, see [`limit::Limit`](crate::gateway::limit::Limit).
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Hash of the upstream's name.
    pub upstream: u64,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Requests that it takes in a second; `None` if it no longer names a limit.
    pub rate: Option<f64>,
    /// When a daemon heard so.
    pub heard_at: Offset,
}

/// News that is passed on along the tree.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum News {
    /// A prompt part that was sent to an engine.
    Cached(cache::Entry),
    /// A request suspected of crashing upstreams, or cleared of that.
    Suspect(Fact),
    /// The build that began a stream.
    Began(origin::Entry),
    /// A part that was in prompts when upstreams crashed, or was cleared of that.
    Crashed(crash::Fact),
}

/// News and how many daemons have passed it on. It is dropped after [`MAX_HOPS`], because daemons
/// whose views of the tree differ may form a circle.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Update {
    /// The number of daemons that have passed it on.
    pub hops: u8,
    /// The news.
    pub news: News,
}

/// The longest way through the tree: from a spoke to its hub, to another hub and to its spoke.
pub const MAX_HOPS: u8 = 3;

/// Calls to a service and retries of them in the window of the retry budget, of one daemon or of
/// several.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Hash of the service's name; 0 in sums, where it is the map's key.
    pub service: u64,
    /// First attempts of calls.
    pub calls: u32,
    /// Further attempts.
    pub retries: u32,
}

impl Usage {
    /// Adds the use by others of the same service.
    pub fn add(&mut self, other: &Usage) {
        self.calls = self.calls.saturating_add(other.calls);
        self.retries = self.retries.saturating_add(other.retries);
    }
}

/// A message from one daemon to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Message {
    /// Name of the sender.
    pub from: String,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// What the sender is to the receiver.
    pub link: Link,
    /// The sender's clock.
    pub stamp: Time,
    /// Incarnation of the receiver's process as far as the sender knows it. The fields that depend
    /// on what the receiver sent count for that process only.
    pub to: Incarnation,
    /// The stamp of the last message received from the receiver, to which offsets refer. Zero if
    /// there was none; then offsets are meaningless.
    pub echo: Time,
    /// The last update received from the receiver.
    pub acknowledged_update: u64,
    /// Sequence number of the sender's last update.
    pub last_update: u64,
    /// Updates that the receiver lacks.
    pub updates: Vec<Update>,
    /// Use of the retry budget, by service.
    pub usages: Vec<Usage>,
    /// Load at each upstream where calls are in flight or failed recently.
    pub loads: Vec<Load>,
    /// Digest of the last list of live daemons received from the receiver.
    pub live_digest: u64,
    /// Daemons that are alive, the sender included, by the hash of the name, and whether they may
    /// be listed in the addresses given to callers. `None` if the receiver has the same list.
    pub live: Option<Vec<(u64, bool)>>,
    /// How far the sender's copies of the followed topics reach.
    pub heads: [Option<Head>; 3],
    /// Rows that the receiver lacks.
    pub rows: Vec<Rows>,
    /// The latest version of the document that the sender knows of, whether or not the store has
    /// it. Until a receiver has it, nothing confirms its own.
    pub document: Option<u64>,
    /// The operator's target versions.
    pub targets: Vec<Targets>,
    /// Digest of the sender's rollout reports.
    pub rollouts_digest: u64,
    /// Rollout progress, if the receiver's digest differs.
    pub rollouts: Vec<Rollout>,
    /// Upstreams that were found dead recently.
    pub sightings: Vec<Sighting>,
    /// Limits that upstreams name, and those that ended recently.
    pub limits: Vec<Limit>,
    /// Builds of the services that have had more than one lately.
    pub builds: Vec<Release>,
    /// Quotas of workspaces from which the sender has granted amounts recently, told from hub to hub.
    pub balances: Vec<quota::Balance>,
    /// Rows that the receiver lacks and that are too large for a message.
    #[serde(skip)]
    pub withheld: Vec<Notice>,
}
