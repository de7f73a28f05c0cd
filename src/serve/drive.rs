//! Carries one completion from its first attempt to the end of its answer.

use std::time::Duration;

use metrics::counter;
use tokio::{sync::mpsc, time};

use crate::{
    request::{
        assembler::{End, Expected, Piece},
        attempt::{Event, Machine, SILENCE, Step},
        once::{self, Answer, MAX_KEPT_BYTES},
        refusal::Execution,
    },
    serve::{answer::Part, job::Job, once::Holder, place::Placed},
    timeline::decision,
    upstream::engine::{self, Failure, Read, Stream},
};

/// The longest wait for a caller that does not read what is waiting for it.
const LAST_TIMEOUT: Duration = Duration::from_secs(30);

/// The state of a [`Job`] under way.
pub struct Drive {
    job: Job,
    machine: Machine,
    placed: Option<Placed>,
    stream: Option<Stream>,
    parts: mpsc::Sender<Part>,
    holder: Option<Holder>,
    kept: Kept,
}

/// The answer so far, if it is to be kept.
#[derive(Default)]
struct Kept {
    text: String,
    end: Option<End>,
}

impl Drive {
    /// A job of which nothing was sent.
    pub fn new(job: Job, holder: Option<Holder>, parts: mpsc::Sender<Part>) -> Drive {
        let machine = Machine::new(job.rules);
        Drive { job, machine, placed: None, stream: None, parts, holder, kept: Kept::default() }
    }

    /// Answers to the end, or until `gone` is closed.
    pub async fn run(&mut self, gone: &mpsc::Sender<Part>) {
        let left = self.job.deadline.since(self.job.context.now());
        let deadline = time::sleep(left);
        tokio::pin!(deadline);
        let mut expired = false;
        let mut step = Step::Place;
        loop {
            // What a key holds is run to its end, for those who ask again.
            let stays = self.holder.is_some() && self.machine.is_retry();
            let event = tokio::select! {
                event = self.act(step) => event,
                () = gone.closed(), if !stays => {
                    counter!("tealturn_callers_gone_total").increment(1);
                    self.job.note(decision::Step::Cancelled, "the caller is gone");
                    self.placed = None;
                    return;
                }
                () = &mut deadline, if !expired => {
                    expired = true;
                    Some(Event::Expired)
                }
            };
            let Some(event) = event else { return };
            step = self.machine.on(event);
        }
    }

    /// Tokens that were passed on.
    pub fn tokens(&self) -> u64 {
        self.machine.offset()
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
                self.job.note(decision::Step::Failed, refusal.message.clone());
                last(&self.parts, Part::Refusal(refusal)).await;
                None
            }
        }
    }

    async fn place(&mut self) -> Event {
        self.stream = None;
        self.placed = None;
        let context = self.job.context.clone();
        if self.machine.is_retry() {
            self.job.note(decision::Step::Retried, ());
            if !self.may_retry() {
                return Event::NoRetries;
            }
        }
        let placed = match self.job.subject.place(&context, &self.machine).await {
            Ok(placed) => placed,
            Err(event) => {
                if matches!(event, Event::Barred(_)) {
                    self.job.note(decision::Step::Suspected, ());
                }
                return event;
            }
        };
        if self.holder.as_ref().is_some_and(|it| !it.may_send()) {
            return Event::TooLate;
        }
        let address = placed.choice.address;
        self.job.completion.request_id = placed.attempt;
        self.job.completion.skip_tokens = self.machine.offset();
        let expected = Expected {
            attempt: placed.attempt,
            version: self.job.subject.owner.version,
            incarnation: placed.choice.incarnation,
        };
        let upstream = placed.choice.upstream.clone();
        self.machine.place(upstream, expected);
        self.job.note(decision::Step::Chosen, &placed.choice);
        self.placed = Some(placed);
        let fresh = !self.job.rules.idempotent;
        let open = engine::open(&context.client, address, &self.job.completion, fresh);
        let opened = time::timeout(SILENCE, open).await;
        self.opened(opened, false)
    }

    fn may_retry(&self) -> bool {
        let workspace = &self.job.subject.owner.workspace;
        let may = self.job.context.serving.retries().retry(workspace);
        let name = if may { "allowed" } else { "refused" };
        counter!("tealturn_retries_total", "budget" => name).increment(1);
        may
    }

    async fn resume(&mut self, offset: u64) -> Event {
        counter!("tealturn_resumes_total").increment(1);
        self.job.note(decision::Step::Cut, ());
        self.stream = None;
        let Some(placed) = &self.placed else {
            return Event::UnknownStream;
        };
        if placed.is_over() {
            placed.crashed();
            return Event::UpstreamGone;
        }
        let address = placed.choice.address;
        let attempt = placed.attempt;
        let client = self.job.context.client.clone();
        // Other connections to the same address may have gone silent with this one.
        client.forget(address);
        let resume = engine::resume(&client, address, attempt, offset);
        let opened = time::timeout(SILENCE, resume).await;
        self.opened(opened, true)
    }

    fn opened(
        &mut self,
        opened: Result<Result<Stream, Failure>, time::error::Elapsed>,
        resumed: bool,
    ) -> Event {
        match opened {
            Ok(Ok(stream)) => {
                let step = match resumed {
                    true => decision::Step::Resumed,
                    false => decision::Step::Sent,
                };
                self.job.note(step, ());
                self.stream = Some(stream);
                Event::Opened
            }
            Ok(Err(Failure::Unreachable(refused))) => {
                // It had accepted the attempt, and now nothing listens there.
                if let Some(placed) = self.placed.as_ref().filter(|_| resumed && refused) {
                    placed.crashed();
                }
                Event::Unreachable
            }
            Ok(Err(Failure::Refused(status, _))) => {
                self.job.note(decision::Step::Rejected, status.to_string());
                Event::Refused
            }
            Ok(Err(Failure::UnknownStream(run))) => {
                let newer = |it: &&Placed| run.is_some_and(|run| run > it.incarnation());
                if let Some(placed) = self.placed.as_ref().filter(newer) {
                    placed.crashed();
                }
                Event::UnknownStream
            }
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
        if let (Some(placed), Some(incarnation)) = (&mut self.placed, incarnation)
            && placed.first(incarnation)
        {
            self.job.note(decision::Step::First, ());
        }
        if self.holder.is_some() {
            self.kept.push(&piece);
        }
        let Some(end) = piece.end else {
            drop(self.parts.send(Part::Piece(piece)).await);
            return Some(self.read().await);
        };
        if let Some(placed) = self.placed.take() {
            placed.end(end.usage.cached_tokens);
        }
        self.job.context.serving.retries().attempt(&self.job.subject.owner.workspace);
        self.job.note(decision::Step::Completed, ());
        last(&self.parts, Part::Piece(piece)).await;
        if let Some(stream) = self.stream.take() {
            stream.finish(&self.job.context.client).await;
        }
        None
    }

    /// Tells the other daemons how a keyed request ended.
    pub fn settle(&mut self) {
        let Some(holder) = self.holder.take() else {
            return;
        };
        let outcome = match (self.machine.run(), self.kept.answer()) {
            (Execution::NotRun, _) => holder.not_run(),
            (Execution::Run, answer) => once::Outcome::Run(answer),
            (Execution::Unknown, Some(answer)) => once::Outcome::Run(Some(answer)),
            (Execution::Unknown, None) => once::Outcome::Unknown,
        };
        holder.settle(outcome);
    }
}

impl Kept {
    fn push(&mut self, piece: &Piece) {
        self.end = piece.end;
        // One byte more than is kept tells that it is too long.
        if self.text.len() <= MAX_KEPT_BYTES {
            self.text.push_str(&piece.text);
        }
    }

    fn answer(&mut self) -> Option<Answer> {
        let end = self.end?;
        Some(Answer::Completion {
            text: std::mem::take(&mut self.text),
            finish: end.finish,
            usage: end.usage,
        })
    }
}

/// Hands over the last part, unless the caller does not read.
pub async fn last(parts: &mpsc::Sender<Part>, part: Part) {
    drop(time::timeout(LAST_TIMEOUT, parts.send(part)).await);
}
