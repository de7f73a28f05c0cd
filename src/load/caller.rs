//! A caller: sends its call to one daemon, and to another one when it may ask again.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use tokio::time;

use crate::{
    Error, Result,
    http::client::{self, Answer, Client},
    load::{
        entry::Entry,
        protocol::{Completion, Detail, Execution, Refusal, Usage},
        reader::{Reader, State},
        traffic::{Call, Kind, Profile},
    },
    standin::plain::{Echo, IDEMPOTENCY_KEY},
};

/// A caller gives up after this long.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// Callers tell daemons a deadline that is so much earlier, so that a refusal can still arrive.
const MARGIN: Duration = Duration::from_secs(1);

/// A daemon that sends nothing for this long is taken for silent.
const SILENCE: Duration = Duration::from_secs(4);

/// Wait before a call is sent again, where the refusal names none.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer arrived.
    Whole(Whole),
    /// It was refused, and asking again would not help or took too long.
    Refused(Detail),
    /// The answer was not the right one.
    Wrong(String),
    /// No answer and no refusal arrived.
    Lost(String),
}

/// A whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Whole {
    /// From the first attempt to the first token, or to the answer of a plain service.
    pub first: Duration,
    /// What it cost; zero for a plain service.
    pub usage: Usage,
}

/// A call with its end.
#[derive(Clone, Debug)]
pub struct Done {
    /// When it was first sent.
    pub started: Instant,
    /// How it ended.
    pub outcome: Outcome,
    /// Attempts beside the first.
    pub retries: u32,
    /// Refusals that were followed by another attempt.
    pub refusals: Vec<Detail>,
}

/// How one attempt ended.
enum Attempt {
    Whole(Whole),
    Refused(Detail),
    Wrong(String),
    Unsent,
    Cut(String),
}

/// The callers of a deployment.
pub struct Caller {
    profile: Profile,
    entry: Entry,
    client: Client,
}

impl Caller {
    /// Callers that know these daemons from their settings.
    pub fn new(profile: Profile, daemons: Vec<SocketAddr>) -> Caller {
        Caller { profile, entry: Entry::new(daemons), client: Client::new() }
    }

    /// Makes a call, and repeats it as far as that is allowed: when nothing was run, when it may
    /// run twice, or under its idempotency key.
    pub async fn call(&self, call: &Call, random: usize) -> Done {
        let started = Instant::now();
        let mut done = Done {
            started,
            outcome: Outcome::Lost("never sent".to_owned()),
            retries: 0,
            refusals: Vec::new(),
        };
        let mut last = None;
        while started.elapsed() + MARGIN < PATIENCE {
            let addresses = self.entry.addresses(&call.zone).await;
            let Some(address) = pick(&addresses, last, random + done.retries as usize) else {
                time::sleep(RETRY_INTERVAL).await;
                continue;
            };
            last = Some(address);
            let left = PATIENCE.saturating_sub(started.elapsed());
            let attempt = self.attempt(call, address, started);
            let attempt = match time::timeout(left, attempt).await {
                Ok(attempt) => attempt,
                Err(_) => Attempt::Cut("the caller gave up".to_owned()),
            };
            let wait = match attempt {
                Attempt::Whole(whole) => {
                    done.outcome = Outcome::Whole(whole);
                    return done;
                }
                Attempt::Wrong(reason) => {
                    done.outcome = Outcome::Wrong(reason);
                    return done;
                }
                Attempt::Refused(detail) => {
                    let wait = wait(call, &detail);
                    done.outcome = Outcome::Refused(detail.clone());
                    let Some(wait) = wait else { return done };
                    done.refusals.push(detail);
                    wait
                }
                Attempt::Unsent => RETRY_INTERVAL,
                Attempt::Cut(reason) => {
                    done.outcome = Outcome::Lost(reason);
                    self.client.forget(address);
                    RETRY_INTERVAL
                }
            };
            if started.elapsed() + wait + MARGIN >= PATIENCE {
                return done;
            }
            time::sleep(wait).await;
            done.retries += 1;
        }
        done
    }

    async fn attempt(&self, call: &Call, address: SocketAddr, started: Instant) -> Attempt {
        let left = PATIENCE.saturating_sub(started.elapsed() + MARGIN);
        let request = match self.request(call, address, left) {
            Ok(request) => request,
            Err(error) => return Attempt::Wrong(error.to_string()),
        };
        let sent = time::timeout(SILENCE, self.client.send(address, request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(Error::Connect { .. })) => return Attempt::Unsent,
            Ok(Err(error)) => return Attempt::Cut(error.to_string()),
            Err(_) => return Attempt::Cut("silent before the answer's head".to_owned()),
        };
        if answer.response.status() != StatusCode::OK {
            return self.refused(answer).await;
        }
        match &call.kind {
            Kind::Completion { prompt, max_tokens, .. } => {
                let reader = Reader::new(prompt, *max_tokens);
                self.stream(answer, reader, started).await
            }
            Kind::Booking { key, body } => {
                let path = format!("/{}", self.profile.path);
                let expected = Echo::new("POST", &path, Some(key), body.as_bytes());
                self.echo(answer, &expected, started).await
            }
        }
    }

    fn request(
        &self,
        call: &Call,
        address: SocketAddr,
        left: Duration,
    ) -> Result<Request<Full<Bytes>>> {
        let (path, body) = match &call.kind {
            Kind::Completion { prompt, levels, max_tokens } => {
                let completion = Completion {
                    model: self.profile.model.as_str(),
                    prompt,
                    max_tokens: *max_tokens,
                    stream: true,
                    levels,
                    deadline_ms: left.as_millis() as u64,
                };
                let body = serde_json::to_vec(&completion).map_err(std::io::Error::other)?;
                ("/v1/completions".to_owned(), body)
            }
            Kind::Booking { body, .. } => {
                let path = format!("/s/{}/{}", self.profile.service, self.profile.path);
                (path, body.clone().into_bytes())
            }
        };
        let mut request = client::request("POST", address, &path, Bytes::from(body))?;
        let headers = request.headers_mut();
        let credential = format!("Bearer {}", self.profile.credential(&call.workspace));
        headers.insert("authorization", header(&credential)?);
        if let Kind::Booking { key, .. } = &call.kind {
            headers.insert(IDEMPOTENCY_KEY, header(key)?);
        }
        Ok(request)
    }

    async fn refused(&self, answer: Answer) -> Attempt {
        let status = answer.response.status();
        let body = match time::timeout(SILENCE, self.client.finish(answer)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Attempt::Cut(error.to_string()),
            Err(_) => return Attempt::Cut("silent in a refusal".to_owned()),
        };
        match serde_json::from_slice::<Refusal>(&body) {
            Ok(refusal) => Attempt::Refused(refusal.error),
            Err(error) => Attempt::Wrong(format!("{status} without a refusal: {error}")),
        }
    }

    async fn stream(&self, mut answer: Answer, mut reader: Reader, started: Instant) -> Attempt {
        let mut first = None;
        loop {
            let frame = time::timeout(SILENCE, answer.response.body_mut().frame());
            let frame = match frame.await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Attempt::Cut(error.to_string()),
                Ok(None) => return Attempt::Cut("ended without its end mark".to_owned()),
                Err(_) => return Attempt::Cut("silent in the stream".to_owned()),
            };
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            let state = reader.read(bytes);
            if first.is_none() && reader.has_text() {
                first = Some(started.elapsed());
            }
            match state {
                State::Open => {}
                State::Whole(usage) => {
                    // Reads the end of the body, so that the connection can be used again.
                    drop(self.client.finish(answer).await);
                    let first = first.unwrap_or_default();
                    return Attempt::Whole(Whole { first, usage });
                }
                State::Refused(detail) => return Attempt::Refused(detail),
                State::Wrong(reason) => return Attempt::Wrong(reason),
            }
        }
    }

    async fn echo(&self, answer: Answer, expected: &Echo, started: Instant) -> Attempt {
        let body = match time::timeout(SILENCE, self.client.finish(answer)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return Attempt::Cut(error.to_string()),
            Err(_) => return Attempt::Cut("silent in the answer".to_owned()),
        };
        match serde_json::from_slice::<Echo>(&body) {
            Ok(echo) if echo == *expected => {
                Attempt::Whole(Whole { first: started.elapsed(), usage: Usage::default() })
            }
            Ok(echo) => Attempt::Wrong(format!("the answer to another call: {echo:?}")),
            Err(error) => Attempt::Wrong(error.to_string()),
        }
    }
}

/// How long to wait before the call is sent again, or `None` if it must not be or need not be.
fn wait(call: &Call, detail: &Detail) -> Option<Duration> {
    let may_repeat = match (&call.kind, detail.run) {
        (_, Execution::NotRun) => true,
        (Kind::Completion { .. }, Execution::Run | Execution::Unknown) => true,
        (Kind::Booking { .. }, Execution::Run | Execution::Unknown) => false,
    };
    if !may_repeat {
        return None;
    }
    match (detail.run, detail.retry_after_ms) {
        (_, Some(millis)) => Some(Duration::from_millis(millis).max(RETRY_INTERVAL)),
        (Execution::NotRun, None) => None,
        (Execution::Run | Execution::Unknown, None) => Some(RETRY_INTERVAL),
    }
}

/// A daemon, another one than the last if there is one.
fn pick(addresses: &[SocketAddr], last: Option<SocketAddr>, random: usize) -> Option<SocketAddr> {
    let others: Vec<_> = addresses.iter().filter(|it| Some(**it) != last).collect();
    if others.is_empty() {
        return addresses.first().copied();
    }
    Some(*others[random % others.len()])
}

fn header(text: &str) -> Result<hyper::header::HeaderValue> {
    text.parse().map_err(|_| Error::Malformed { kind: "header", reason: text.to_owned() })
}
