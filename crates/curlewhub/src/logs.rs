//! The log: events with fields, written to standard error without ever delaying traffic.
//!
//! A separate thread writes the lines from a bounded queue, so a reader that is slow, blocked or gone
//! delays nothing; lines that do not fit into the queue are dropped and counted. Each call site may log a
//! limited number of lines per second; lines beyond that are dropped and counted as well, and both counts
//! are logged.

use crate::log_limit::{CallSiteLimit, DroppedLines};
use curlewhub_config::{LogFormat, LogSettings};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{FilterExt, ParseError, Targets};
use tracing_subscriber::layer::{Context, Filter, Layer, SubscriberExt};
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Registry, reload};

/// Capacity of the queue, in lines: about 1 MiB of them.
const MAX_QUEUED_LINES: usize = 4096;

/// Why the log could not be started or changed.
#[derive(Debug, Error)]
pub enum LogError {
    /// The level, or list of levels by target, cannot be parsed.
    #[error("{text}: {source}")]
    InvalidLevel {
        /// The level as given.
        text: String,
        /// The parse error.
        source: ParseError,
    },
    /// The process has a log already.
    #[error(transparent)]
    AlreadyStarted(#[from] TryInitError),
    /// The log to be changed no longer exists.
    #[error(transparent)]
    Ended(#[from] reload::Error),
}

/// The running log. Dropping it writes the queued lines, as far as their reader accepts them.
pub struct Logs {
    _writer: WorkerGuard,
    drop_counters: DropCounters,
    control: LogControl,
}

/// Changes how much is logged while the process runs.
#[derive(Clone)]
pub struct LogControl {
    limit: Arc<CallSiteLimit>,
    levels: reload::Handle<Targets, Registry>,
}

impl LogControl {
    /// Applies the level and the limit on lines per second.
    ///
    /// # Errors
    /// The level is invalid; the log is unchanged in that case.
    pub fn change(&self, log: &LogSettings) -> Result<(), LogError> {
        self.levels.reload(levels(&log.level)?)?;
        self.limit.set(log.per_second);
        Ok(())
    }
}

/// Counts of log lines that were not written.
#[derive(Clone)]
pub struct DropCounters {
    limit: Arc<CallSiteLimit>,
    unwritten: ErrorCounter,
}

impl Logs {
    /// Starts the log of this process.
    ///
    /// # Errors
    /// The level is invalid, or the process has a log already.
    pub fn start(log: &LogSettings) -> Result<Logs, LogError> {
        let (levels, levels_handle) = reload::Layer::new(levels(&log.level)?);
        let (output, writer) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_QUEUED_LINES)
            .lossy(true)
            .thread_name("log")
            .finish(std::io::stderr());
        let unwritten = output.error_counter();
        let limit = Arc::new(CallSiteLimit::new(log.per_second));
        let filter = levels.and(LimitFilter { limit: limit.clone(), start: Instant::now() });
        let lines = tracing_subscriber::fmt::layer().with_writer(output).with_ansi(false);
        let lines = match log.format {
            LogFormat::Text => lines.with_filter(filter).boxed(),
            LogFormat::Json => lines.json().flatten_event(true).with_filter(filter).boxed(),
        };
        tracing_subscriber::registry().with(lines).try_init()?;
        let control = LogControl { limit: limit.clone(), levels: levels_handle };
        Ok(Logs { _writer: writer, drop_counters: DropCounters { limit, unwritten }, control })
    }

    /// Returns a handle that changes how much is logged.
    pub fn control(&self) -> LogControl {
        self.control.clone()
    }

    /// Returns a handle on the counts of lines that were not written.
    pub fn drop_counters(&self) -> DropCounters {
        self.drop_counters.clone()
    }
}

/// Parses a level, or a list of levels by target.
///
/// # Errors
/// The text is neither.
pub fn levels(text: &str) -> Result<Targets, LogError> {
    text.parse().map_err(|source| LogError::InvalidLevel { text: text.to_owned(), source })
}

impl DropCounters {
    /// Logs the numbers of lines dropped since the last call. `unwritten_before` holds the total that was
    /// already logged.
    pub fn log(&self, unwritten_before: &mut usize) {
        for DroppedLines { call_site, count } in self.limit.take_dropped() {
            tracing::warn!(call_site, dropped = count, "repeated log lines were dropped");
        }
        let unwritten = self.unwritten.dropped_lines();
        if unwritten > *unwritten_before {
            let dropped = unwritten - *unwritten_before;
            *unwritten_before = unwritten;
            tracing::warn!(dropped, "log lines were dropped: their reader is too slow");
        }
    }
}

/// The limit on call sites, as an event filter.
struct LimitFilter {
    limit: Arc<CallSiteLimit>,
    start: Instant,
}

impl<S: Subscriber> Filter<S> for LimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Whoever asks for this level wants every line; the queue bounds them.
        *event.metadata().level() == Level::TRACE
            || self.limit.admit(event.metadata(), self.start.elapsed().as_secs())
    }
}
