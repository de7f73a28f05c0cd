//! Why a caller did not get its whole answer, and whether its request was run.

use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Whether a request was run. Each answer is given only where it is known to be true.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No byte of it reached an upstream that ran it, nor will any.
    NotRun,
    /// An upstream ran it, wholly or in part.
    Run,
    /// It may have been run, or may still be.
    Unknown,
}

/// The kind of a refusal.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request is not what the page takes.
    InvalidRequest,
    /// The body is too long.
    TooLarge,
    /// The body did not arrive in time.
    SlowRequest,
    /// The daemon has no configuration that it can rely on; another one may.
    NotReady,
    /// The credential is missing or unknown.
    Unauthorized,
    /// The workspace has no such model.
    UnknownModel,
    /// The workspace has no such service.
    UnknownService,
    /// The call may not be repeated, and has no idempotency key.
    KeyMissing,
    /// The idempotency key was used for another request.
    KeyReused,
    /// A request with this idempotency key was sent before, and how it ended is not known.
    Unsettled,
    /// A request with this idempotency key was run, and its answer was not kept.
    AlreadyRun,
    /// No upstream may take the request now.
    NoUpstream,
    /// The workspace or the upstreams have no room for the request.
    Overloaded,
    /// The request can't be answered, or was not answered, by its deadline.
    Deadline,
    /// What has to be kept for the request can't be written now.
    StoreUnavailable,
    /// The request crashed upstreams and may not run again.
    Barred,
    /// The answer broke off and can't be continued.
    Incomplete,
}

/// What a caller is told in place of an answer, or of its rest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The kind.
    pub kind: Kind,
    /// A sentence for people.
    pub message: String,
    /// Whether the request was run.
    pub run: Execution,
    /// When to come back, if that may help.
    pub retry_after: Option<Duration>,
}

/// The JSON form of a [`Refusal`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Its only member.
    pub error: Detail,
}

/// What went wrong.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Detail {
    /// The kind.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// A sentence for people.
    pub message: String,
    /// Whether the request was run.
    pub run: Execution,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that was not run and should not come back as it is.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Refusal {
        Refusal { kind, message: message.into(), run: Execution::NotRun, retry_after: None }
    }

    /// The same refusal with a time to come back.
    pub fn retry_after(self, wait: Duration) -> Refusal {
        Refusal { retry_after: Some(wait), ..self }
    }

    /// The refusal of a request with an idempotency key, when the key's row was not looked at:
    /// the same request may have been run before, unless its form rules that out.
    pub fn keyed(self) -> Refusal {
        let form = matches!(self.kind, Kind::InvalidRequest | Kind::TooLarge);
        if form || self.run != Execution::NotRun {
            return self;
        }
        Refusal { run: Execution::Unknown, ..self }
    }

    /// The JSON form.
    pub fn document(&self) -> Document {
        let wait = self.retry_after.map(|it| it.as_millis() as u64);
        Document {
            error: Detail {
                kind: self.kind,
                message: self.message.clone(),
                run: self.run,
                retry_after_ms: wait,
            },
        }
    }
}

impl Kind {
    /// The HTTP status of an answer that consists of the refusal.
    pub fn status(self) -> StatusCode {
        match self {
            Kind::InvalidRequest | Kind::KeyMissing => StatusCode::BAD_REQUEST,
            Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Kind::SlowRequest => StatusCode::REQUEST_TIMEOUT,
            Kind::Unauthorized => StatusCode::UNAUTHORIZED,
            Kind::UnknownModel | Kind::UnknownService => StatusCode::NOT_FOUND,
            Kind::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Kind::AlreadyRun | Kind::Unsettled => StatusCode::CONFLICT,
            Kind::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            Kind::NoUpstream | Kind::NotReady | Kind::StoreUnavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Kind::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Kind::Barred => StatusCode::FORBIDDEN,
            Kind::Incomplete => StatusCode::BAD_GATEWAY,
        }
    }
}
