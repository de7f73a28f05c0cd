//! `explain REQUEST`: what was decided for a request, and why.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use async_trait::async_trait;
use clap::{ArgMatches, Args, Command, FromArgMatches};

use crate::{
    kernel::id::Request,
    operate::{Failure, Registration, Verb, session::Session, timeline},
    report::timeline::{Explanation, REQUESTS_PATH},
    timeline::log::Log,
};

/// Stands for standard input among the files.
const STDIN: &str = "-";

#[derive(Args, Debug)]
struct Arguments {
    /// The request: for daemons, its answer's `x-request-id` of 32 hexadecimal digits; in logs,
    /// the identifier of the attempt.
    #[arg(value_name = "REQUEST")]
    request: String,
    /// Logs of JSON lines to read in place of asking daemons, one file for each process and named
    /// after it; `-` is standard input.
    #[arg(long, value_name = "FILE", num_args = 1..)]
    logs: Vec<PathBuf>,
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

    fn run_offline(&self, arguments: &ArgMatches) -> Option<Result<String, Failure>> {
        let arguments = Arguments::from_arg_matches(arguments).ok()?;
        (!arguments.logs.is_empty()).then(|| from_logs(&arguments.request, &arguments.logs))
    }

    async fn run(&self, session: &Session, arguments: &ArgMatches) -> Result<String, Failure> {
        let arguments = Arguments::from_arg_matches(arguments)
            .map_err(|error| Failure::Invalid(vec![error.to_string()]))?;
        let request: Request = arguments.request.parse().map_err(|_| {
            Failure::Invalid(vec![format!("{:?} is no request", arguments.request)])
        })?;
        let path = format!("{REQUESTS_PATH}{request}");
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

fn from_logs(request: &str, files: &[PathBuf]) -> Result<String, Failure> {
    let mut log = Log::default();
    for file in files {
        let text = read(file)
            .map_err(|error| Failure::Invalid(vec![format!("{}: {error}", file.display())]))?;
        let process = file.file_stem().map_or_else(String::new, |it| it.display().to_string());
        log.add(&process, &text);
    }
    let mut text = String::new();
    for line in log.explain(request) {
        text.push_str(&format!("{line}\n"));
    }
    if text.is_empty() {
        text.push_str("these logs have no line of this request\n");
    }
    if log.unreadable > 0 {
        text.push_str(&format!("gap: {} lines could not be read\n", log.unreadable));
    }
    Ok(text)
}

fn read(file: &Path) -> io::Result<String> {
    match file.as_os_str() == STDIN {
        true => io::read_to_string(io::stdin()),
        false => fs::read_to_string(file),
    }
}
