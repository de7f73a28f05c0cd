//! `explain REQUEST`: what was decided for a request, and why.

use std::net::SocketAddr;

use async_trait::async_trait;
use clap::{ArgMatches, Args, Command, FromArgMatches};

use crate::{
    kernel::id::Request,
    operate::{Failure, Registration, Verb, session::Session, timeline},
    report::timeline::{Explanation, REQUESTS_PATH},
};

#[derive(Args, Debug)]
struct Arguments {
    /// The request, as its answer's `x-request-id` names it: 32 hexadecimal digits.
    #[arg(value_name = "REQUEST")]
    request: Request,
    /// Other daemons to ask, where they listen for operators, separated by commas; by default
    /// all live ones that the daemon knows.
    #[arg(long, value_name = "IP:PORT,...", value_delimiter = ',')]
    also: Option<Vec<SocketAddr>>,
}

struct ExplainVerb;

#[async_trait]
impl Verb for ExplainVerb {
    fn command(&self) -> Command {
        let about = "Tells why an upstream was chosen for a request, and what was refused";
        Arguments::augment_args(Command::new("explain").about(about))
    }

    async fn run(&self, session: &Session, arguments: &ArgMatches) -> Result<String, Failure> {
        let arguments = Arguments::from_arg_matches(arguments)
            .map_err(|error| Failure::Invalid(vec![error.to_string()]))?;
        let path = format!("{REQUESTS_PATH}{}", arguments.request);
        let mut text = String::new();
        let mut found = Vec::new();
        for address in timeline::addresses(session, arguments.also).await {
            match session.get_from::<Explanation>(address, &path).await {
                Ok(it) => {
                    found.extend(it.decisions.into_iter().map(|own| (it.daemon.clone(), own)))
                }
                Err(error) => text.push_str(&format!("gap: {address} did not answer: {error}\n")),
            }
        }
        found.sort_by_key(|(_, decision)| decision.stamp);
        let mut lines = String::new();
        for (daemon, decision) in &found {
            let (stamp, step) = (decision.stamp, decision.step);
            lines.push_str(&format!("{stamp}  {daemon}  {step}  {}\n", decision.detail));
        }
        if found.is_empty() {
            lines.push_str("no daemon that was asked keeps decisions for this request\n");
        }
        Ok(lines + &text)
    }
}

inventory::submit! { Registration(&ExplainVerb) }
