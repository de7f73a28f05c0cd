//! `status`: what a daemon knows now.

use async_trait::async_trait;
use clap::{ArgMatches, Command};

use crate::{
    operate::{Failure, Registration, Verb, session::Session},
    report::status::{self, Status},
};

struct StatusVerb;

#[async_trait]
impl Verb for StatusVerb {
    fn command(&self) -> Command {
        Command::new("status").about("Shows what a daemon knows of itself and the upstreams")
    }

    async fn run(&self, session: &Session, _arguments: &ArgMatches) -> Result<String, Failure> {
        let status: Status = session.get("/v1/status").await?;
        let mut text = format!(
            "{} of {} in {}: {}, configuration {}\n",
            status.daemon,
            status.deployment,
            status.zone,
            state(status.ready, status.leaving),
            status.revision,
        );
        for member in &status.members {
            text.push_str(&format!(
                "  {} {} in {}: {}\n",
                member.daemon,
                member.caller,
                member.zone,
                if member.leaving { "leaving" } else { "live" },
            ));
        }
        for upstream in &status.upstreams {
            text.push_str(&line(upstream));
        }
        Ok(text)
    }
}

fn state(ready: bool, leaving: bool) -> &'static str {
    match (ready, leaving) {
        (_, true) => "leaving",
        (true, false) => "ready",
        (false, false) => "not ready",
    }
}

fn line(upstream: &status::Upstream) -> String {
    let state = match (upstream.alive, upstream.leaving) {
        (false, _) => "dead",
        (true, true) => "leaving",
        (true, false) => "live",
    };
    let mut line =
        format!("  {} {} in {}: {state}", upstream.name, upstream.address, upstream.zone);
    if let (Some(running), Some(queued)) = (upstream.running, upstream.queued) {
        line.push_str(&format!(", {running} running, {queued} queued"));
    }
    line.push('\n');
    line
}

inventory::submit! { Registration(&StatusVerb) }
