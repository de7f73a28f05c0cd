//! Upstream selection for requests.

pub mod baseline;
pub mod engine;
pub mod homes;
pub mod import;
pub mod level;
pub mod pool;
pub mod prefix;
pub mod prefix_table;
pub mod recent;
pub mod search;

use std::{net::SocketAddr, time::Duration};

use crate::{
    kernel::{
        clock::Time,
        id::{Incarnation, Request, Upstream, Zone},
    },
    prefix::{Chain, Owner},
    upstream::{
        directory::{self, Directory},
        wire::Events,
    },
};

/// The request to place, and the constraints on its placement.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The ID of the attempt.
    pub request: Request,
    /// The workspace that sent the prompt, and the weights that must serve it.
    pub owner: &'a Owner,
    /// The prefix hashes of the prompt's blocks.
    pub chain: &'a Chain,
    /// Prefix lengths in blocks that the caller marked as shared, shortest first. Empty if the
    /// caller marked none.
    pub levels: &'a [usize],
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Upstreams to exclude, because this request failed there or because they are running
    /// another suspect.
    pub avoid: &'a [Upstream],
    /// The availability zone of this daemon.
    pub zone: &'a Zone,
}

impl Query<'_> {
    /// Returns whether an upstream that has the owner's weights may be chosen.
    pub fn allows(&self, upstream: &directory::Upstream) -> bool {
        let leaving = upstream.load.as_ref().is_some_and(|it| it.leaving);
        upstream.is_open() && !leaving && !self.avoid.contains(&upstream.name)
    }
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The name of the upstream.
    pub upstream: Upstream,
    /// The address to send the request to.
    pub address: SocketAddr,
    /// The incarnation of the upstream that was chosen.
    pub incarnation: Incarnation,
    /// Prompt tokens that are expected to be in its cache.
    pub cached_tokens: u64,
    /// The expected time to the first token.
    pub expected_ttft: Duration,
    /// A short code for the reason of the choice.
    pub reason: &'static str,
}

/// An event that a policy learns from.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A request was sent to the chosen upstream.
    Sent {
        /// The request.
        query: Query<'a>,
        /// The upstream it was sent to.
        choice: &'a Choice,
    },
    /// The first token arrived.
    FirstToken {
        /// The ID of the attempt.
        request: Request,
        /// The incarnation that computed it.
        incarnation: Incarnation,
        /// Prompt tokens that were in the cache, if the engine reported it.
        cached_tokens: Option<u64>,
    },
    /// An attempt ended, successfully or not.
    Ended {
        /// The ID of the attempt.
        request: Request,
        /// Prompt tokens that were in the cache, if the engine reported it.
        cached_tokens: Option<u64>,
    },
    /// An engine published changes to its cache.
    CacheChanged {
        /// The name of the engine.
        upstream: &'a Upstream,
        /// The cache events.
        events: &'a Events,
    },
}

/// A placement policy. Its methods run on the request path and are called from several threads.
pub trait Policy: Send + Sync {
    /// Chooses an upstream, or returns `None` if no upstream is eligible. `random` must be a new
    /// random number for each call.
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        now: Time,
        random: u64,
    ) -> Option<Choice>;

    /// Updates the policy with an event.
    fn observe(&self, event: &Event<'_>, now: Time);
}

/// Registers a [`Policy`] under a name, with `inventory::submit!`.
pub struct Registration {
    /// The name of the policy in the settings.
    pub name: &'static str,
    /// Creates the policy.
    pub make: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Creates the policy that is registered under `name`.
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    let registered = inventory::iter::<Registration>.into_iter();
    registered.into_iter().find(|it| it.name == name).map(|it| (it.make)())
}

/// Returns the names of all registered policies in alphabetical order.
pub fn policies() -> Vec<&'static str> {
    let registered = inventory::iter::<Registration>.into_iter();
    let mut names: Vec<_> = registered.map(|it| it.name).collect();
    names.sort_unstable();
    names
}
