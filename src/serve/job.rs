//! One completion: its admission, its idempotency key, and then its attempts.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::{
    admission::Ticket,
    catalog::Limits,
    kernel::{clock::Time, context::Context, id::Request},
    request::{
        assembler::{End, Piece},
        attempt::Rules,
        once::Answer,
        refusal::Refusal,
    },
    serve::{
        answer::Part,
        drive::{Drive, last},
        limit::Admitted,
        once::{self, Claimed, Holder},
        place::Subject,
    },
    timeline::decision::{Detail, Step},
    upstream::wire::Completion,
};

/// A completion to be answered.
pub struct Job {
    /// The context shared by the daemon's components.
    pub context: Arc<Context>,
    /// The request.
    pub request: Request,
    /// What the workspace may use.
    pub limits: Limits,
    /// What is placed.
    pub subject: Subject,
    /// What is sent; each attempt sets its identifier and where it starts.
    pub completion: Completion,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// How the request may be treated.
    pub rules: Rules,
    /// The idempotency key, if it must run at most once for it.
    pub key: Option<String>,
    /// The memory that its prompt takes.
    pub memory: Option<OwnedSemaphorePermit>,
}

impl Job {
    /// Answers to `parts`, until the end or until the receiver is dropped. The last part is a
    /// piece with an end, or a refusal.
    pub async fn run(self, parts: mpsc::Sender<Part>) {
        let gone = parts.clone();
        self.note(Step::Received, ());
        let admitted = tokio::select! {
            admitted = self.admit() => admitted,
            () = gone.closed() => return self.note(Step::Cancelled, "the caller is gone"),
        };
        let mut admitted = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => {
                self.note(Step::Refused, refusal.message.clone());
                return last(&parts, Part::Refusal(self.refusal(refusal))).await;
            }
        };
        self.note(Step::Admitted, ());
        let holder = match self.claim().await {
            Ok(holder) => holder,
            Err(part) => {
                self.note(Step::Refused, "its idempotency key was used before");
                return last(&parts, part).await;
            }
        };
        let prompt_tokens = self.subject.prompt_tokens;
        let mut drive = Drive::new(self, holder, parts);
        drive.run(&gone).await;
        admitted.used(prompt_tokens + drive.tokens());
        drive.settle();
    }

    /// Records a decision.
    pub fn note(&self, step: Step, detail: impl Into<Detail>) {
        self.context.decisions.record(self.request, step, detail);
    }

    async fn admit(&self) -> Result<Admitted, Refusal> {
        let tokens = self.subject.prompt_tokens + u64::from(self.rules.max_tokens);
        let ticket = Ticket {
            request: self.request,
            workspace: &self.subject.owner.workspace,
            limits: self.limits,
            tokens,
            deadline: self.deadline,
            priority: self.limits.priority,
        };
        Admitted::new(&self.context, &ticket).await
    }

    /// Claims the key, if there is one.
    async fn claim(&self) -> Result<Option<Holder>, Part> {
        let Some(key) = self.key.clone() else {
            return Ok(None);
        };
        let workspace = &self.subject.owner.workspace;
        let digest = self.digest();
        let claimed = once::claim(&self.context, self.request, workspace, key, digest).await;
        match claimed {
            Ok(Claimed::Held(holder)) => {
                self.note(Step::Claimed, ());
                Ok(Some(holder))
            }
            Ok(Claimed::Replay(Answer::Completion { text, finish, usage })) => {
                Err(Part::Piece(Piece { offset: 0, text, end: Some(End { finish, usage }) }))
            }
            Ok(Claimed::Replay(Answer::Call { .. })) => {
                unreachable!("the digest of a call is never that of a completion")
            }
            Err(refusal) => Err(Part::Refusal(refusal)),
        }
    }

    /// The digest of what is asked.
    fn digest(&self) -> String {
        let mut hasher = blake3::Hasher::new();
        hasher.update(b"completion");
        hasher.update(&self.completion.max_tokens.to_le_bytes());
        hasher.update(&(self.completion.model.as_str().len() as u64).to_le_bytes());
        hasher.update(self.completion.model.as_str().as_bytes());
        hasher.update(self.completion.prompt.as_bytes());
        hasher.finalize().to_hex().to_string()
    }

    /// A refusal from before the key's row was looked at.
    fn refusal(&self, refusal: Refusal) -> Refusal {
        match self.key {
            Some(_) => refusal.keyed(),
            None => refusal,
        }
    }
}
