//! The log: one line for each change of state, to standard error.

use std::{
    io::{self, BufWriter, Write},
    sync::OnceLock,
    time::Duration,
};

use metrics::counter;
use tokio::time;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
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

/// Lines that wait to be written; beyond it lines are dropped and counted, so that no request waits
/// for the log.
const WAITING_LINES: usize = 8_192;

/// Bytes that are written at once.
const WRITE_BYTES: usize = 16 * 1024;

/// The time between counts of dropped lines.
const COUNT_EVERY: Duration = Duration::from_secs(5);

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Starts the log of this process as one JSON object a line, written by a thread of its own. The
/// last lines are written when the guard is dropped.
pub fn start_json(writer: impl Write + Send + 'static) -> WorkerGuard {
    let writer = BufWriter::with_capacity(WRITE_BYTES, writer);
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(WAITING_LINES);
    let (writer, guard) = builder.finish(writer);
    DROPPED.get_or_init(|| writer.error_counter());
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::INFO)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .init();
    guard
}

/// Shows the lines that were dropped in the metrics, for as long as the process runs.
pub async fn count_dropped() {
    let Some(dropped) = DROPPED.get() else { return };
    loop {
        time::sleep(COUNT_EVERY).await;
        counter!("tealturn_log_dropped_lines_total").absolute(dropped.dropped_lines() as u64);
    }
}
