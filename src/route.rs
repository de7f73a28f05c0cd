//! Upstream selection for requests.
//!
//! The policies choose among engines, the upstreams that serve a model. The engines that have the
//! same weights loaded are the members of a [`pool::Pool`].

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
    /// The ID of the attempt. A request that is retried gets a new one for each attempt.
    pub request: Request,
    /// The workspace that sent the prompt, and the weights that must serve it.
    pub owner: &'a Owner,
    /// The hashes of the prompt's prefixes, one for each full block.
    pub chain: &'a Chain,
    /// Prefix lengths in blocks that the caller marked as shared, shortest first. Empty if the
    /// caller marked none.
    pub levels: &'a [usize],
    /// The length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Upstreams to exclude: those where this request failed and, if it is suspected of having
    /// crashed an upstream, those that run another suspect (see [`crate::request::suspect`]).
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
    /// Prompt tokens that are estimated to be in its cache, 0 if the policy makes no estimate.
    pub cached_tokens: u64,
    /// The expected time to the first token, zero if the policy makes no estimate.
    pub expected_ttft: Duration,
    /// A short code for the reason of the choice: the name of the policy for those of [`baseline`],
    /// one of the codes listed at [`search`] for the others.
    pub reason: &'static str,
}

/// An event that a policy learns from.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An attempt was sent to the chosen upstream.
    Sent {
        /// The request and the ID of the attempt.
        query: Query<'a>,
        /// The upstream it was sent to.
        choice: &'a Choice,
    },
    /// The first token arrived.
    FirstToken {
        /// The ID of the attempt.
        request: Request,
        /// The incarnation that computed it. It can be newer than the chosen one.
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
    /// Chooses an upstream, or returns `None` if there is none that has the owner's weights and
    /// that [`Query::allows`]. `random` must be a new random number for each call.
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
