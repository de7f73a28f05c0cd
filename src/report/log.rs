//! The log: one line for each change of state, to standard error.

use std::io;

use tracing_subscriber::EnvFilter;

use crate::{
    Error, Result,
    settings::{Format, Log},
};

/// Starts the log of this process.
///
/// # Errors
///
/// [`Error::Settings`] if the filter is not valid.
pub fn start(log: &Log) -> Result<()> {
    let filter = EnvFilter::try_new(&log.filter).map_err(|error| {
        let reason = format!("log.filter: found {:?}, {error}", log.filter);
        Error::Settings(vec![reason])
    })?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr)
        .with_target(false);
    match log.format {
        Format::Text => builder.with_ansi(false).init(),
        Format::Json => builder.json().init(),
    }
    Ok(())
}

/// Starts the log of this process as one JSON object a line; `RUST_LOG` has no say.
pub fn start_json<W>(writer: W)
where
    W: for<'a> tracing_subscriber::fmt::MakeWriter<'a> + Send + Sync + 'static,
{
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .init();
}
