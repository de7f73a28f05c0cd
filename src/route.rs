//! The choice of an upstream for a request.

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

/// What has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The attempt.
    pub request: Request,
    /// Whose prompt it is, and the weights that must answer.
    pub owner: &'a Owner,
    /// The prompt's blocks.
    pub chain: &'a Chain,
    /// Where the caller's levels end, in blocks, shortest first; empty if the caller names none.
    pub levels: &'a [usize],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Upstreams that must not be chosen: they failed this request, or run another suspect.
    pub avoid: &'a [Upstream],
    /// The availability zone of this daemon.
    pub zone: &'a Zone,
}

impl Query<'_> {
    /// Whether an upstream that has the owner's weights may be chosen.
    pub fn allows(&self, upstream: &directory::Upstream) -> bool {
        let leaving = upstream.load.as_ref().is_some_and(|it| it.leaving);
        upstream.is_open() && !leaving && !self.avoid.contains(&upstream.name)
    }
}

/// A chosen upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Upstream,
    /// Where it serves.
    pub address: SocketAddr,
    /// The run that was meant.
    pub incarnation: Incarnation,
    /// Tokens of the prompt that are expected to be in its cache.
    pub cached_tokens: u64,
    /// The expected time to the first token.
    pub expected_ttft: Duration,
    /// Why it was chosen, as a short code.
    pub reason: &'static str,
}

/// What a policy learns from.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A request was sent to the chosen upstream.
    Sent {
        /// What was placed.
        query: Query<'a>,
        /// Where.
        choice: &'a Choice,
    },
    /// The first token arrived.
    FirstToken {
        /// The attempt.
        request: Request,
        /// The run that computed it.
        incarnation: Incarnation,
        /// Tokens of the prompt that were in its cache, if the engine says so.
        cached_tokens: Option<u64>,
    },
    /// An attempt ended, in whatever way.
    Ended {
        /// The attempt.
        request: Request,
        /// Tokens of the prompt that were in the engine's cache, if the engine said so.
        cached_tokens: Option<u64>,
    },
    /// An engine told of changes of its cache.
    CacheChanged {
        /// The engine.
        upstream: &'a Upstream,
        /// What it told.
        events: &'a Events,
    },
}

/// Chooses upstreams. Called on the path of each request, from several threads.
pub trait Policy: Send + Sync {
    /// Chooses an upstream, or none if no upstream may be chosen. `random` is a fresh random
    /// number.
    fn choose(
        &self,
        query: &Query<'_>,
        directory: &Directory,
        now: Time,
        random: u64,
    ) -> Option<Choice>;

    /// Takes note of an event.
    fn observe(&self, event: &Event<'_>, now: Time);
}

/// Registers a [`Policy`] under a name, with `inventory::submit!`.
pub struct Registration {
    /// The name, as settings give it.
    pub name: &'static str,
    /// Makes the policy.
    pub make: fn() -> Box<dyn Policy>,
}

inventory::collect!(Registration);

/// Makes the policy that is registered under `name`.
pub fn policy(name: &str) -> Option<Box<dyn Policy>> {
    let registered = inventory::iter::<Registration>.into_iter();
    registered.into_iter().find(|it| it.name == name).map(|it| (it.make)())
}

/// The names of all registered policies.
pub fn policies() -> Vec<&'static str> {
    let registered = inventory::iter::<Registration>.into_iter();
    let mut names: Vec<_> = registered.map(|it| it.name).collect();
    names.sort_unstable();
    names
}
