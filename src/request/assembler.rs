//! Puts the answer to one request together from the chunks of its attempts.
//!
//! Each token is passed on once and in order. Chunks carry their offset in the answer, the
//! attempt that they answer, the run of the engine and the version of the weights; what does
//! not fit is dropped or reported, never passed on.

use crate::{
    kernel::id::{Incarnation, Request, Version},
    upstream::wire::{Chunk, Finish, Usage},
};

/// What the chunks of an attempt must carry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Expected {
    /// The attempt.
    pub attempt: Request,
    /// The version of the weights.
    pub version: Version,
    /// The newest run of the engine that was known when it was chosen. The run that answers
    /// may be newer, if the engine has restarted since, but not older.
    pub incarnation: Incarnation,
}

/// A part of the answer to pass on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// The place of its first token in the answer.
    pub offset: u64,
    /// The text.
    pub text: String,
    /// Why the answer ended, with its usage; `None` if it goes on.
    pub end: Option<End>,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct End {
    /// Why it ended: complete, or as long as allowed.
    pub finish: Finish,
    /// What it cost.
    pub usage: Usage,
}

/// What became of a chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Pass it on.
    Piece(Piece),
    /// The caller has it already.
    Duplicate,
    /// It does not fit; nothing of it may be passed on.
    Fault(Fault),
}

/// Why a chunk does not fit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It answers another attempt.
    Attempt,
    /// It was computed with another version of the weights.
    Version,
    /// It was computed by another run of the engine.
    Incarnation,
    /// Tokens before it are missing.
    Gap,
    /// It holds tokens that the caller has and others that it lacks.
    Overlap,
    /// It holds no choice, or several.
    Shape,
    /// The end mark's count differs from the tokens that arrived.
    Count,
    /// The engine ended the answer before it was complete.
    Cancelled,
    /// The answer has ended already.
    Ended,
}

/// The state of an answer.
#[derive(Clone, Debug)]
pub struct Assembler {
    expected: Expected,
    pinned: Option<Incarnation>,
    max_tokens: u64,
    next: u64,
    ended: bool,
}

impl Assembler {
    /// An answer of which nothing has arrived.
    pub fn new(expected: Expected, max_tokens: u32) -> Assembler {
        Assembler {
            expected,
            pinned: None,
            max_tokens: u64::from(max_tokens),
            next: 0,
            ended: false,
        }
    }

    /// Goes on with another attempt, whose chunks start at [`Assembler::offset`].
    pub fn restart(&mut self, expected: Expected) {
        self.expected = expected;
        self.pinned = None;
    }

    /// What the chunks of the present attempt must carry.
    pub fn expected(&self) -> &Expected {
        &self.expected
    }

    /// The number of tokens that were passed on.
    pub fn offset(&self) -> u64 {
        self.next
    }

    /// The run of the engine that answers, once its first chunk has arrived.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.pinned
    }

    /// Takes the next chunk.
    pub fn take(&mut self, chunk: Chunk) -> Verdict {
        match self.check(&chunk) {
            Ok(None) => Verdict::Duplicate,
            Ok(Some(piece)) => {
                self.pinned = Some(chunk.incarnation);
                self.next += tokens(&chunk);
                self.ended = piece.end.is_some();
                Verdict::Piece(piece)
            }
            Err(fault) => Verdict::Fault(fault),
        }
    }

    fn check(&self, chunk: &Chunk) -> Result<Option<Piece>, Fault> {
        self.check_source(chunk)?;
        if self.ended {
            return Err(Fault::Ended);
        }
        let [choice] = chunk.choices.as_slice() else {
            return Err(Fault::Shape);
        };
        let tokens = u64::from(choice.tokens);
        let end = chunk.offset.checked_add(tokens).ok_or(Fault::Shape)?;
        if chunk.offset > self.next {
            return Err(Fault::Gap);
        }
        if end > self.max_tokens {
            return Err(Fault::Count);
        }
        if chunk.offset < self.next {
            let known = end <= self.next && choice.finish_reason.is_none();
            return if known { Ok(None) } else { Err(Fault::Overlap) };
        }
        let end = match choice.finish_reason {
            None => None,
            Some(Finish::Cancelled) => return Err(Fault::Cancelled),
            Some(finish) => Some(End {
                finish,
                usage: chunk.usage.filter(|it| it.completion_tokens == end).ok_or(Fault::Count)?,
            }),
        };
        if tokens == 0 && end.is_none() {
            return Ok(None);
        }
        Ok(Some(Piece { offset: self.next, text: choice.text.clone(), end }))
    }

    fn check_source(&self, chunk: &Chunk) -> Result<(), Fault> {
        if chunk.id != self.expected.attempt {
            return Err(Fault::Attempt);
        }
        if chunk.version != self.expected.version {
            return Err(Fault::Version);
        }
        let right = match self.pinned {
            Some(pinned) => chunk.incarnation == pinned,
            None => chunk.incarnation >= self.expected.incarnation,
        };
        if right { Ok(()) } else { Err(Fault::Incarnation) }
    }
}

fn tokens(chunk: &Chunk) -> u64 {
    chunk.choices.iter().map(|it| u64::from(it.tokens)).sum()
}
