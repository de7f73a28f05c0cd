//! `timeline`: what all processes did, in causal order.

use std::{collections::BTreeSet, net::SocketAddr};

use async_trait::async_trait;
use clap::{ArgMatches, Args, Command, FromArgMatches, ValueEnum};
use futures::future;

use crate::{
    operate::{Failure, Registration, Verb, session::Session},
    report::status::Status,
    timeline::{
        Page,
        merge::{Merged, Source},
    },
};

/// The form of the answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Format {
    /// One line for each event.
    Text,
    /// JSON.
    Json,
    /// A file for a browser's trace viewer.
    Trace,
}

#[derive(Args, Debug)]
struct Arguments {
    /// Other daemons to ask, where they listen for operators, separated by commas; by default
    /// all live ones that the daemon knows.
    #[arg(long, value_name = "IP:PORT,...", value_delimiter = ',')]
    also: Option<Vec<SocketAddr>>,
    /// The form of the answer.
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

struct TimelineVerb;

#[async_trait]
impl Verb for TimelineVerb {
    fn command(&self) -> Command {
        let about = "Shows what all daemons did, in causal order, and where events are missing";
        Arguments::augment_args(Command::new("timeline").about(about))
    }

    async fn run(&self, session: &Session, arguments: &ArgMatches) -> Result<String, Failure> {
        let arguments = Arguments::from_arg_matches(arguments)
            .map_err(|error| Failure::Invalid(vec![error.to_string()]))?;
        let addresses = addresses(session, arguments.also).await;
        let pages = addresses.iter().map(|it| source(session, *it));
        let sources = future::join_all(pages).await;
        let mut known = BTreeSet::new();
        for address in &addresses {
            // Whoever does not answer is a gap already.
            if let Ok(status) = session.get_from::<Status>(*address, "/v1/status").await {
                known.extend(status.members.into_iter().map(|it| it.daemon));
            }
        }
        let known: Vec<_> = known.into_iter().collect();
        let merged = Merged::new(sources, &known);
        match arguments.format {
            Format::Text => Ok(merged.to_string()),
            Format::Json => json(&merged),
            Format::Trace => json(&merged.trace()),
        }
    }
}

/// The daemon itself and the others, each once. Those that it knows, if none are given.
pub(super) async fn addresses(session: &Session, also: Option<Vec<SocketAddr>>) -> Vec<SocketAddr> {
    let also = match also {
        Some(also) => also,
        None => {
            let status = session.get::<Status>("/v1/status").await;
            let members = status.map(|it| it.members).unwrap_or_default();
            members.into_iter().map(|it| it.operator).collect()
        }
    };
    let mut addresses = vec![session.daemon];
    for address in also {
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses
}

async fn source(session: &Session, address: SocketAddr) -> Source {
    let page = session.get_from::<Page>(address, "/v1/timeline").await;
    Source { address, page: page.map_err(|error| error.to_string()) }
}

fn json(value: &impl serde::Serialize) -> Result<String, Failure> {
    let mut text = serde_json::to_string_pretty(value)
        .map_err(|error| Failure::Invalid(vec![error.to_string()]))?;
    text.push('\n');
    Ok(text)
}

inventory::submit! { Registration(&TimelineVerb) }
