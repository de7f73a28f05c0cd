//! What a daemon adds to the time to the first token: the same question to a daemon and to an
//! engine, in turns.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use serde::Serialize;
use tokio::time;

use crate::{
    Error, Result,
    http::client::{self, Client},
    kernel::id,
    load::{
        protocol,
        report::{Quantiles, histogram},
        traffic::Profile,
    },
    platform::vm::{Entry, Role},
    prefix::Owner,
    standin::deployment::VERSION,
    upstream::wire,
};

/// The longest wait for a first token.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time to the first token, directly and through a daemon.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Overhead {
    /// Questions on each way.
    pub questions: u64,
    /// From the engine.
    pub direct: Quantiles,
    /// Through a daemon.
    pub routed: Quantiles,
}

impl fmt::Display for Overhead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [("direct", &self.direct), ("routed", &self.routed)];
        for (name, it) in rows {
            writeln!(
                f,
                "{name}  p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms",
                it.p50_ms, it.p95_ms, it.p99_ms
            )?;
        }
        writeln!(
            f,
            "added   p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms over {} questions",
            self.routed.p50_ms - self.direct.p50_ms,
            self.routed.p95_ms - self.direct.p95_ms,
            self.routed.p99_ms - self.direct.p99_ms,
            self.questions
        )
    }
}

/// Asks `questions` times on each way, in turns, one at a time.
///
/// # Errors
///
/// Any [`Error`] of an answer; each must come.
pub async fn measure(
    profile: &Profile,
    daemon: SocketAddr,
    platform: SocketAddr,
    questions: u64,
) -> Result<Overhead> {
    let client = Client::new();
    let entries: Vec<Entry> = client.get(platform, "/vms").await?;
    let is_engine = |it: &&Entry| matches!(it.role, Role::Engine { .. });
    let engines: Vec<_> = entries.iter().filter(is_engine).collect();
    let (mut direct, mut routed) = (histogram(), histogram());
    for place in 0..questions {
        let prompt = format!("{place}: may this pilot fly tomorrow?");
        let engine = engines[place as usize % engines.len()].address;
        let question = to_engine(profile, engine, &prompt, place)?;
        let time = first(&client, engine, question).await?;
        direct.saturating_record(time.as_micros() as u64);
        let question = to_daemon(profile, daemon, &prompt)?;
        let time = first(&client, daemon, question).await?;
        routed.saturating_record(time.as_micros() as u64);
    }
    Ok(Overhead { questions, direct: Quantiles::new(&direct), routed: Quantiles::new(&routed) })
}

/// Time until the first bytes of the answer with a token.
async fn first(
    client: &Client,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Duration> {
    let started = Instant::now();
    let lost = |reason: String| Error::NoResponse { address, reason };
    let sent = time::timeout(TIMEOUT, client.send(address, request)).await;
    let mut answer = sent.map_err(|it| lost(it.to_string()))??;
    let status = answer.response.status();
    if status != StatusCode::OK {
        return Err(lost(format!("status {status}")));
    }
    let body = answer.response.body_mut();
    loop {
        let frame = time::timeout(TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|it| lost(it.to_string()))?;
        let frame = frame.ok_or_else(|| lost("no token".to_owned()))?;
        let frame = frame.map_err(|it| lost(it.to_string()))?;
        let is_token = |it: &Bytes| it.starts_with(b"data: {");
        if frame.data_ref().is_some_and(is_token) {
            break;
        }
    }
    let took = started.elapsed();
    client.finish(answer).await?;
    Ok(took)
}

fn to_engine(
    profile: &Profile,
    address: SocketAddr,
    prompt: &str,
    place: u64,
) -> Result<Request<Full<Bytes>>> {
    let owner = Owner {
        workspace: profile.workspaces[0].workspace.clone(),
        model: profile.model.clone(),
        adapter: None,
        version: VERSION,
    };
    let completion = wire::Completion {
        request_id: id::Request(u128::from(place)),
        model: profile.model.clone(),
        adapter: None,
        version: VERSION,
        cache_salt: owner.salt(),
        prompt: prompt.to_owned(),
        max_tokens: 1,
        priority: 1,
        stream: true,
        skip_tokens: 0,
    };
    let body = serde_json::to_vec(&completion).map_err(std::io::Error::other)?;
    client::request("POST", address, "/v1/completions", Bytes::from(body))
}

fn to_daemon(profile: &Profile, address: SocketAddr, prompt: &str) -> Result<Request<Full<Bytes>>> {
    let completion = protocol::Completion {
        model: profile.model.as_str(),
        prompt,
        max_tokens: 1,
        stream: true,
        levels: &[],
        deadline_ms: TIMEOUT.as_millis() as u64,
    };
    let body = serde_json::to_vec(&completion).map_err(std::io::Error::other)?;
    let mut request = client::request("POST", address, "/v1/completions", Bytes::from(body))?;
    let credential = profile.credential(&profile.workspaces[0].workspace);
    let value = format!("Bearer {credential}").parse();
    let value = value.map_err(|_| Error::Malformed { kind: "header", reason: credential })?;
    request.headers_mut().insert("authorization", value);
    Ok(request)
}
