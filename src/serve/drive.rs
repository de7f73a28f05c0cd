//! Carries one completion from its first attempt to the end of its answer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use metrics::counter;
use tokio::{sync::mpsc, time};

use crate::{
    kernel::{
        clock::Time,
        context::Context,
        id::{Incarnation, Request},
    },
    prefix::{Chain, Owner},
    request::{
        assembler::{Expected, Piece},
        attempt::{Event, Machine, Rules, SILENCE, Step},
    },
    route::{self, Choice, Query},
    serve::answer::Part,
    upstream::{
        engine::{self, Failure, Read, Stream},
        wire::Completion,
    },
};

/// The longest wait for a caller that does not read what is waiting for it.
const LAST_TIMEOUT: Duration = Duration::from_secs(30);

/// A completion to be answered.
pub struct Job {
    /// What the daemon's parts share.
    pub context: Arc<Context>,
    /// Whose prompt it is.
    pub owner: Owner,
    /// The prompt's blocks.
    pub chain: Chain,
    /// Where the caller's levels end, in blocks.
    pub levels: Vec<usize>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// What is sent; each attempt sets its identifier and where it starts.
    pub completion: Completion,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// How the request may be treated.
    pub rules: Rules,
}

/// An attempt that was sent. Dropping it before its end cancels it.
struct Placed {
    context: Arc<Context>,
    attempt: Request,
    choice: Choice,
    incarnation: Option<Incarnation>,
    cached_tokens: Option<u64>,
    ended: bool,
}

/// The state of a [`Job`] under way.
struct Drive {
    job: Job,
    machine: Machine,
    placed: Option<Placed>,
    stream: Option<Stream>,
    parts: mpsc::Sender<Part>,
}

impl Job {
    /// Answers to `parts`, until the end or until the receiver is dropped. The last part is a
    /// piece with an end, or a refusal.
    pub async fn run(self, parts: mpsc::Sender<Part>) {
        let gone = parts.clone();
        let deadline = time::sleep(self.deadline.since(self.context.now()));
        tokio::pin!(deadline);
        let mut expired = false;
        let mut drive = Drive::new(self, parts);
        let mut step = Step::Place;
        loop {
            let event = tokio::select! {
                event = drive.act(step) => event,
                () = gone.closed() => {
                    counter!("tealturn_callers_gone_total").increment(1);
                    return;
                }
                () = &mut deadline, if !expired => {
                    expired = true;
                    Some(Event::Expired)
                }
            };
            let Some(event) = event else { return };
            step = drive.machine.on(event);
        }
    }
}

impl Drive {
    fn new(job: Job, parts: mpsc::Sender<Part>) -> Drive {
        let machine = Machine::new(job.rules);
        Drive {
            job,
            machine,
            placed: None,
            stream: None,
            parts,
        }
    }

    /// Takes a step, and tells what it led to; `None` after the last.
    async fn act(&mut self, step: Step) -> Option<Event> {
        match step {
            Step::Place => Some(self.place().await),
            Step::Resume(offset) => Some(self.resume(offset).await),
            Step::Read => Some(self.read().await),
            Step::Pass(piece) => self.pass(piece).await,
            Step::Fail(refusal) => {
                self.placed = None;
                let send = self.parts.send(Part::Refusal(refusal));
                drop(time::timeout(LAST_TIMEOUT, send).await);
                None
            }
        }
    }

    async fn place(&mut self) -> Event {
        self.stream = None;
        self.placed = None;
        let Some(placed) = self.choose() else {
            return Event::NoUpstream;
        };
        let address = placed.choice.address;
        self.placed = Some(placed);
        let fresh = !self.job.rules.idempotent;
        let client = self.job.context.client.clone();
        let open = engine::open(&client, address, &self.job.completion, fresh);
        let opened = time::timeout(SILENCE, open).await;
        self.opened(opened)
    }

    /// Chooses an upstream for the next attempt.
    fn choose(&mut self) -> Option<Placed> {
        let context = self.job.context.clone();
        let attempt = context.next_request();
        let query = Query {
            request: attempt,
            owner: &self.job.owner,
            chain: &self.job.chain,
            levels: &self.job.levels,
            prompt_tokens: self.job.prompt_tokens,
            avoid: self.machine.avoid(),
            zone: &context.settings.zone,
        };
        let now = context.now();
        let directory = context.directory.load();
        let choice = context
            .policy
            .choose(&query, &directory, now, rand::random())?;
        let sent = route::Event::Sent {
            query,
            choice: &choice,
        };
        context.policy.observe(&sent, now);
        self.job.completion.request_id = attempt;
        self.job.completion.skip_tokens = self.machine.offset();
        let expected = Expected {
            attempt,
            version: self.job.owner.version,
            incarnation: choice.incarnation,
        };
        self.machine.place(choice.upstream.clone(), expected);
        Some(Placed {
            context: context.clone(),
            attempt,
            choice,
            incarnation: None,
            cached_tokens: None,
            ended: false,
        })
    }

    async fn resume(&mut self, offset: u64) -> Event {
        counter!("tealturn_resumes_total").increment(1);
        self.stream = None;
        let Some(placed) = &self.placed else {
            return Event::UnknownStream;
        };
        if placed.is_over() {
            return Event::UpstreamGone;
        }
        let address = placed.choice.address;
        let client = self.job.context.client.clone();
        // Other connections to the same address may have gone silent with this one.
        client.forget(address);
        let resume = engine::resume(&client, address, placed.attempt, offset);
        let opened = time::timeout(SILENCE, resume).await;
        self.opened(opened)
    }

    fn opened(&mut self, opened: Result<Result<Stream, Failure>, time::error::Elapsed>) -> Event {
        match opened {
            Ok(Ok(stream)) => {
                self.stream = Some(stream);
                Event::Opened
            }
            Ok(Err(Failure::Unreachable)) => Event::Unreachable,
            Ok(Err(Failure::Refused(..))) => Event::Refused,
            Ok(Err(Failure::UnknownStream)) => Event::UnknownStream,
            Ok(Err(Failure::Lost)) => Event::Broken,
            Err(_) => Event::Silent,
        }
    }

    async fn read(&mut self) -> Event {
        let Some(stream) = &mut self.stream else {
            return Event::Broken;
        };
        match time::timeout(SILENCE, stream.read()).await {
            Ok(Read::Chunk(chunk)) => Event::Chunk(chunk),
            Ok(Read::Comment) => Event::Comment,
            Ok(Read::Done | Read::Malformed | Read::Closed) => Event::Broken,
            Err(_) => Event::Silent,
        }
    }

    async fn pass(&mut self, piece: Piece) -> Option<Event> {
        let incarnation = self.machine.assembler().and_then(|it| it.incarnation());
        if let (Some(placed), Some(incarnation)) = (&mut self.placed, incarnation) {
            placed.first(incarnation);
        }
        let end = piece.end;
        drop(self.parts.send(Part::Piece(piece)).await);
        let Some(end) = end else {
            return Some(self.read().await);
        };
        if let Some(placed) = &mut self.placed {
            placed.ended = true;
            placed.cached_tokens = Some(end.usage.cached_tokens);
        }
        self.placed = None;
        if let Some(stream) = self.stream.take() {
            stream.finish(&self.job.context.client).await;
        }
        None
    }
}

impl Placed {
    /// Whether a later run of the upstream is known.
    fn is_over(&self) -> bool {
        let directory = self.context.directory.load();
        let known = directory.get(&self.choice.upstream);
        let run = self.incarnation.unwrap_or(self.choice.incarnation);
        known.is_some_and(|it| it.incarnation > run)
    }

    /// Takes note of the run that answers.
    fn first(&mut self, incarnation: Incarnation) {
        if self.incarnation.replace(incarnation).is_some() {
            return;
        }
        let event = route::Event::First {
            request: self.attempt,
            incarnation,
            cached_tokens: None,
        };
        self.context.policy.observe(&event, self.context.now());
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let event = route::Event::Ended {
            request: self.attempt,
            cached_tokens: self.cached_tokens,
        };
        self.context.policy.observe(&event, self.context.now());
        if self.ended {
            return;
        }
        let (context, attempt): (_, Request) = (self.context.clone(), self.attempt);
        let address: SocketAddr = self.choice.address;
        tokio::spawn(async move { engine::cancel(&context.client, address, attempt).await });
    }
}
