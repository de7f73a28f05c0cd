//! What to do next for one request, from one attempt to the next.
//!
//! A connection that is silent or broken says nothing about its upstream: the stream is asked
//! for again over a new connection, from the first token that the caller lacks. Only when the
//! upstream does not answer there either, or does not know the stream, is the attempt lost. A
//! lost attempt of an idempotent request is followed by another on another upstream, which
//! continues exactly where the caller's answer broke off; any other request gets a refusal
//! that says what is known.

use std::time::Duration;

use crate::{
    kernel::id::{Request, Upstream},
    request::{
        assembler::{Assembler, Expected, Fault, Piece, Verdict},
        refusal::{Execution, Kind, Refusal},
    },
    upstream::wire::Chunk,
};

/// A connection on which nothing arrives for this long counts as silent.
pub const SILENCE: Duration = Duration::from_millis(2_000);

/// Attempts of an idempotent request that may have run.
pub const MAX_RUNS: u32 = 3;

/// Attempts of one request that ran nothing, because the upstream was not there or refused.
pub const MAX_REFUSALS: u32 = 6;

/// Broken connections in a row, without a new token, after which an attempt is lost.
pub const MAX_BREAKS: u32 = 3;

/// Silent connections in a row after which an attempt of an idempotent request is lost.
pub const MAX_SILENCES: u32 = 2;

/// The same for a request that can't be run again: its upstream gets more time to answer.
pub const MAX_SILENCES_ONCE: u32 = 5;

/// When to come back after a refusal for want of room.
pub const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// What the edge saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// No upstream may take the request.
    NoUpstream,
    /// The connection could not be opened; no byte was sent.
    Unreachable,
    /// The upstream answered that it ran nothing.
    Refused,
    /// The stream is open.
    Opened,
    /// The upstream does not know the stream.
    UnknownStream,
    /// A chunk arrived.
    Chunk(Box<Chunk>),
    /// A sign of life without a chunk arrived.
    Comment,
    /// The connection ended, or what arrived can't be read.
    Broken,
    /// Nothing arrived for [`SILENCE`].
    Silent,
    /// The run of the upstream to which the attempt was sent is known to be over.
    UpstreamGone,
    /// The request's deadline has passed.
    Expired,
    /// It crashed upstreams and may not run now.
    Barred(Duration),
    /// The workspace has no retries left.
    NoRetries,
    /// The right to send it once has run out; an earlier row of its key may have been pruned.
    TooLate,
}

/// What the edge does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Choose an upstream that is not in [`Machine::avoid`], call [`Machine::place`] and send.
    Place,
    /// Ask the same upstream for the stream over a new connection, from this token on.
    Resume(u64),
    /// Wait for more.
    Read,
    /// Pass this on, then wait for more unless it is the end.
    Pass(Piece),
    /// Give up, and tell the caller so at once.
    Fail(Refusal),
}

/// How a request may be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// It may run more than once.
    pub idempotent: bool,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct Machine {
    rules: Rules,
    assembler: Option<Assembler>,
    current: Option<Current>,
    avoid: Vec<Upstream>,
    runs: u32,
    refusals: u32,
    breaks: u32,
    silences: u32,
}

#[derive(Clone, Debug)]
struct Current {
    upstream: Upstream,
    resuming: bool,
}

impl Machine {
    /// A request of which nothing was sent. The first step is [`Step::Place`].
    pub fn new(rules: Rules) -> Machine {
        Machine {
            rules,
            assembler: None,
            current: None,
            avoid: Vec::new(),
            runs: 0,
            refusals: 0,
            breaks: 0,
            silences: 0,
        }
    }

    /// Upstreams that must not be chosen again for this request.
    pub fn avoid(&self) -> &[Upstream] {
        &self.avoid
    }

    /// Tokens that were passed on; the next attempt skips them.
    pub fn offset(&self) -> u64 {
        self.assembler.as_ref().map_or(0, Assembler::offset)
    }

    /// The answer so far, if an attempt was placed.
    pub fn assembler(&self) -> Option<&Assembler> {
        self.assembler.as_ref()
    }

    /// The attempt that was placed last, while it may be running.
    pub fn attempt(&self) -> Option<Request> {
        let assembler = self.assembler.as_ref()?;
        self.current.as_ref().map(|_| assembler.expected().attempt)
    }

    /// An attempt is about to be sent to `upstream`.
    pub fn place(&mut self, upstream: Upstream, expected: Expected) {
        assert!(self.current.is_none(), "one attempt at a time");
        assert!(
            self.rules.idempotent || self.runs == 0,
            "a request that may not be repeated was already sent"
        );
        match &mut self.assembler {
            Some(assembler) => assembler.restart(expected),
            None => self.assembler = Some(Assembler::new(expected, self.rules.max_tokens)),
        }
        self.current = Some(Current { upstream, resuming: false });
        self.runs += 1;
        self.breaks = 0;
        self.silences = 0;
    }

    /// Decides on an event.
    pub fn on(&mut self, event: Event) -> Step {
        if event != Event::Silent {
            self.silences = 0;
        }
        match event {
            Event::NoUpstream => self.no_upstream(),
            Event::Unreachable | Event::Refused => self.refused(),
            Event::Opened | Event::Comment => Step::Read,
            Event::UnknownStream | Event::UpstreamGone => self.lost(),
            Event::Chunk(chunk) => self.chunk(*chunk),
            Event::Broken => self.broken(),
            Event::Silent => self.silent(),
            Event::Expired => self.fail(Kind::Deadline, "the deadline has passed"),
            Event::NoRetries => self.fail(Kind::Incomplete, "too many attempts failed lately"),
            Event::Barred(retry_after) => self.barred(retry_after),
            Event::TooLate => self.too_late(),
        }
    }

    /// Whether the next attempt is a retry of one that may have run.
    pub fn is_retry(&self) -> bool {
        self.runs > 0
    }

    /// Whether the request was run, as far as is known.
    pub fn run(&self) -> Execution {
        if self.runs == 0 {
            return Execution::NotRun;
        }
        if self.offset() > 0 {
            return Execution::Run;
        }
        Execution::Unknown
    }

    fn chunk(&mut self, chunk: Chunk) -> Step {
        let Some(assembler) = &mut self.assembler else {
            return self.broken();
        };
        match assembler.take(chunk) {
            Verdict::Piece(piece) => {
                self.breaks = 0;
                Step::Pass(piece)
            }
            Verdict::Duplicate => Step::Read,
            Verdict::Fault(Fault::Version | Fault::Incarnation) => self.lost(),
            Verdict::Fault(_) => self.broken(),
        }
    }

    fn refused(&mut self) -> Step {
        let Some(current) = self.current.take() else {
            return self.no_upstream();
        };
        if current.resuming {
            self.current = Some(current);
            return self.lost();
        }
        // Nothing of this attempt was run.
        self.runs -= 1;
        self.avoid.push(current.upstream);
        self.refusals += 1;
        if self.refusals >= MAX_REFUSALS {
            return self.no_upstream();
        }
        Step::Place
    }

    fn broken(&mut self) -> Step {
        self.breaks += 1;
        if self.breaks > MAX_BREAKS {
            return self.lost();
        }
        self.resume()
    }

    fn silent(&mut self) -> Step {
        self.silences += 1;
        let max = match self.rules.idempotent {
            true => MAX_SILENCES,
            false => MAX_SILENCES_ONCE,
        };
        if self.silences >= max {
            return self.lost();
        }
        self.resume()
    }

    fn resume(&mut self) -> Step {
        if let Some(current) = &mut self.current {
            current.resuming = true;
        }
        Step::Resume(self.offset())
    }

    fn lost(&mut self) -> Step {
        if let Some(current) = self.current.take() {
            self.avoid.push(current.upstream);
        }
        if self.rules.idempotent && self.runs < MAX_RUNS {
            return Step::Place;
        }
        self.fail(Kind::Incomplete, "the upstream's answer broke off")
    }

    fn no_upstream(&mut self) -> Step {
        if self.runs > 0 {
            return self.fail(Kind::Incomplete, "no upstream can continue the answer");
        }
        if self.refusals > 0 {
            return self.fail(Kind::Overloaded, "no upstream has room for the request");
        }
        self.fail(Kind::NoUpstream, "no upstream serves this now")
    }

    fn too_late(&self) -> Step {
        let message = "the request waited too long in this daemon";
        let refusal = Refusal::not_run(Kind::Deadline, message);
        Step::Fail(refusal.retry_after(RETRY_AFTER).keyed())
    }

    fn barred(&self, retry_after: Duration) -> Step {
        Step::Fail(Refusal {
            kind: Kind::Barred,
            message: "it crashed upstreams, and may not run now".to_owned(),
            run: self.run(),
            retry_after: Some(retry_after),
        })
    }

    fn fail(&self, kind: Kind, message: &str) -> Step {
        Step::Fail(Refusal {
            kind,
            message: message.to_owned(),
            run: self.run(),
            retry_after: (kind != Kind::Deadline).then_some(RETRY_AFTER),
        })
    }
}
