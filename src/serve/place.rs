//! Chooses an upstream for an attempt, and keeps what the attempt holds there.

use std::{sync::Arc, time::Duration};

use metrics::histogram;
use tokio::time;

use crate::{
    kernel::{
        clock::Time,
        context::Context,
        id::{Incarnation, Request},
    },
    prefix::{Chain, Owner},
    request::{
        attempt::{Event, Machine},
        suspect::{Fingerprint, Verdict},
    },
    route::{self, Choice, Query},
    serve::suspects,
    upstream::engine,
};

/// When to look again for an upstream on which a suspect can run alone.
const ALONE_WAIT: Duration = Duration::from_millis(100);

/// What is placed.
pub struct Subject {
    /// Whose prompt it is.
    pub owner: Owner,
    /// The prompt's blocks.
    pub chain: Chain,
    /// Where the caller's levels end, in blocks.
    pub levels: Vec<usize>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// By which the request is known if it crashes upstreams.
    pub fingerprint: Fingerprint,
}

/// An attempt that has an upstream. Dropping it before its end cancels it there.
pub struct Placed {
    context: Arc<Context>,
    /// The attempt.
    pub attempt: Request,
    /// The upstream.
    pub choice: Choice,
    placed: Time,
    incarnation: Option<Incarnation>,
    cached_tokens: Option<u64>,
    ended: bool,
}

/// A choice that can't be made now.
enum Blocked {
    /// Look again after this time.
    Wait(Duration),
    /// Not at all.
    Event(Event),
}

impl Subject {
    /// Chooses an upstream; a suspect waits until it can run alone.
    ///
    /// # Errors
    ///
    /// Why there is none.
    pub async fn place(&self, context: &Arc<Context>, machine: &Machine) -> Result<Placed, Event> {
        loop {
            match self.choose(context, machine) {
                Ok(placed) => return Ok(placed),
                Err(Blocked::Event(event)) => return Err(event),
                Err(Blocked::Wait(wait)) => time::sleep(wait).await,
            }
        }
    }

    fn choose(&self, context: &Arc<Context>, machine: &Machine) -> Result<Placed, Blocked> {
        let now = context.now();
        let attempt = context.next_request_id();
        // Locked until the attempt is noted, so that no other suspect gets the same upstream.
        let mut suspects = context.serving.suspects();
        let mut avoid = machine.avoid().to_vec();
        suspects::learn(context, &mut suspects, self.fingerprint);
        let alone = match suspects.may_run(self.fingerprint, now) {
            Verdict::Run => false,
            Verdict::RunAlone => true,
            Verdict::Wait { retry_after } => return Err(Blocked::Wait(retry_after)),
            Verdict::Barred { retry_after } => {
                return Err(Blocked::Event(Event::Barred(retry_after)));
            }
        };
        let occupied = if alone { suspects.occupied() } else { Vec::new() };
        let waits = !occupied.is_empty();
        avoid.extend(occupied);
        let query = Query {
            request: attempt,
            owner: &self.owner,
            chain: &self.chain,
            levels: &self.levels,
            prompt_tokens: self.prompt_tokens,
            avoid: &avoid,
            zone: &context.settings.zone,
        };
        let directory = context.directory.load();
        let choice = context.policy.choose(&query, &directory, now, rand::random());
        let Some(choice) = choice else {
            return Err(match waits {
                true => Blocked::Wait(ALONE_WAIT),
                false => Blocked::Event(Event::NoUpstream),
            });
        };
        let sent = route::Event::Sent { query, choice: &choice };
        context.policy.observe(&sent, now);
        suspects.started(attempt, self.fingerprint, &choice.upstream, choice.incarnation);
        Ok(Placed {
            context: context.clone(),
            attempt,
            choice,
            incarnation: None,
            cached_tokens: None,
            placed: now,
            ended: false,
        })
    }
}

impl Placed {
    /// The run of the upstream that answers, or that was meant.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.unwrap_or(self.choice.incarnation)
    }

    /// Whether a later run of the upstream is known.
    pub fn is_over(&self) -> bool {
        let directory = self.context.directory.load();
        let known = directory.get(&self.choice.upstream);
        known.is_some_and(|it| it.incarnation > self.incarnation())
    }

    /// The upstream's process has ended while the attempt was there.
    pub fn crashed(&self) {
        suspects::crashed(&self.context, &self.choice.upstream, self.incarnation());
    }

    /// Takes note of the run that answers, and tells whether it is the first piece.
    pub fn first(&mut self, incarnation: Incarnation) -> bool {
        if self.incarnation.replace(incarnation).is_some() {
            return false;
        }
        let event =
            route::Event::FirstToken { request: self.attempt, incarnation, cached_tokens: None };
        let now = self.context.now();
        histogram!("tealturn_first_token_seconds").record(now.since(self.placed).as_secs_f64());
        self.context.policy.observe(&event, now);
        true
    }

    /// Takes note of the end of the answer.
    pub fn end(mut self, cached_tokens: u64) {
        self.cached_tokens = Some(cached_tokens);
        self.ended = true;
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let event =
            route::Event::Ended { request: self.attempt, cached_tokens: self.cached_tokens };
        self.context.policy.observe(&event, self.context.now());
        suspects::ended(&self.context, self.attempt, self.ended);
        if self.ended {
            return;
        }
        let (context, attempt) = (self.context.clone(), self.attempt);
        let address = self.choice.address;
        tokio::spawn(async move { engine::cancel(&context.client, address, attempt).await });
    }
}
