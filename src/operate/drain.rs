//! `drain`: a planned stop of a daemon.

use async_trait::async_trait;
use clap::{ArgMatches, Command};
use hyper::StatusCode;

use crate::operate::{Failure, Registration, Verb, session::Session};

struct DrainVerb;

#[async_trait]
impl Verb for DrainVerb {
    fn command(&self) -> Command {
        Command::new("drain").about(
            "Makes the daemon leave the address lists, end its requests and exit, as SIGTERM does",
        )
    }

    async fn run(&self, session: &Session, _arguments: &ArgMatches) -> Result<String, Failure> {
        let reply = session.post("/v1/drain", &()).await?;
        if reply.status == StatusCode::ACCEPTED {
            return Ok("leaving\n".to_owned());
        }
        let body = String::from_utf8_lossy(&reply.body);
        Err(Failure::Unknown(format!("{}: {body}", reply.status)))
    }
}

inventory::submit! { Registration(&DrainVerb) }
