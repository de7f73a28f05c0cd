//! The operator's verbs: each registers itself, and `tealturnctl` offers what is registered.

pub mod apply;
pub mod drain;
pub mod explain;
pub mod get;
pub mod session;
pub mod status;
pub mod timeline;

use async_trait::async_trait;
use clap::{ArgMatches, Command};
use thiserror::Error;

use crate::operate::session::Session;

/// Why a verb did not do what it was asked to.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Failure {
    /// The arguments or the file are not valid; one line for each fault.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
    /// Another change was accepted in the meantime; nothing was applied.
    #[error("conflict: {0}")]
    Conflict(String),
    /// Nothing was applied.
    #[error("not applied: {0}")]
    NotApplied(String),
    /// It is not known whether the change was applied.
    #[error("unknown whether applied: {0}")]
    Unknown(String),
    /// The daemon could not be asked.
    #[error(transparent)]
    Daemon(#[from] crate::Error),
}

impl Failure {
    /// The exit code of the process: 1 daemon failed, 2 invalid input, 4 conflict, 5 not applied,
    /// 6 unknown.
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Daemon(_) => 1,
            Failure::Invalid(_) => 2,
            Failure::Conflict(_) => 4,
            Failure::NotApplied(_) => 5,
            Failure::Unknown(_) => 6,
        }
    }
}

/// Something that an operator can ask for.
#[async_trait]
pub trait Verb: Send + Sync {
    /// The verb's name and arguments.
    fn command(&self) -> Command;

    /// Does it without a daemon, if the arguments allow that, and returns the text to print.
    ///
    /// # Errors
    ///
    /// A [`Failure`], which decides the exit code.
    fn run_offline(&self, _arguments: &ArgMatches) -> Option<Result<String, Failure>> {
        None
    }

    /// Does it and returns the text to print.
    ///
    /// # Errors
    ///
    /// A [`Failure`], which decides the exit code.
    async fn run(&self, session: &Session, arguments: &ArgMatches) -> Result<String, Failure>;
}

/// Registers a [`Verb`] with `inventory::submit!`.
pub struct Registration(pub &'static dyn Verb);

inventory::collect!(Registration);

/// All registered verbs, by name.
pub fn verbs() -> Vec<&'static dyn Verb> {
    let registered = inventory::iter::<Registration>.into_iter();
    let mut verbs: Vec<_> = registered.map(|it| it.0).collect();
    verbs.sort_by_key(|it| it.command().get_name().to_owned());
    verbs
}
