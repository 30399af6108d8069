//! Control plane processes: a consensus server, and a subscriber without a sidecar.

use super::session::block_on;
use super::signals::{Shutdown, SignalError, terminate_or_interrupt};
use crate::cli::fleet::ProcessArgs;
use crate::logs::Logs;
use crate::output::{Exit, fail, reject_usage};
use curlewhub_config::{LogFormat, LogSettings};
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::record::Hash;
use curlewhub_control_plane_node::config::FleetConfig;
use curlewhub_control_plane_node::{
    SubscriberOptions, SubscriberStatus, ViewHandler, run_consensus_server, run_subscriber,
};
use std::io;
use thiserror::Error;
use tracing::info;

/// Why a process could not start, or ended without being signalled.
#[derive(Debug, Error)]
enum ProcessError {
    #[error(transparent)]
    Runtime(#[from] io::Error),
    #[error(transparent)]
    Signal(#[from] SignalError),
    #[error("{0}")]
    Ended(String),
}

/// Runs a consensus server until SIGTERM or SIGINT; `bootstrap` allows an empty state directory.
pub fn consensus_server(process: &ProcessArgs, bootstrap: bool) -> Exit {
    run(process, async |config, shutdown| {
        run_consensus_server(config, bootstrap, shutdown).await.map_err(ProcessError::Ended)
    })
}

/// Runs a subscriber that logs each version it applies, until SIGTERM or SIGINT.
pub fn subscriber(process: &ProcessArgs) -> Exit {
    run(process, async |config, shutdown| {
        let (options, mut handler) = (SubscriberOptions::default(), AppliedViewLog);
        let subscribed = run_subscriber(config, options, &mut handler, shutdown);
        subscribed.await.map_err(ProcessError::Ended)
    })
}

/// Logs each version of the fleet view that is applied.
pub(crate) struct AppliedViewLog;

impl ViewHandler for AppliedViewLog {
    fn view_applied(&mut self, applied: &AppliedRecords, hash: Hash) {
        let (version, records) = (applied.version().0, applied.records().count());
        info!(version, ?hash, records, "fleet: acts on");
    }

    fn status_changed(&mut self, _: SubscriberStatus) {}
}

/// Reads the configuration file, starts the log and runs a process until it ends or is signalled.
fn run(
    process: &ProcessArgs,
    body: impl AsyncFnOnce(&FleetConfig, Shutdown) -> Result<(), ProcessError>,
) -> Exit {
    let config = match FleetConfig::read(&process.config) {
        Ok(config) => config,
        Err(problem) => return reject_usage(problem),
    };
    let format = if process.log_json { LogFormat::Json } else { LogFormat::Text };
    let log = LogSettings { format, level: process.log_level.clone(), ..LogSettings::default() };
    let logs = match Logs::start(&log) {
        Ok(logs) => logs,
        Err(error) => return reject_usage(format_args!("--log-level: {error}")),
    };
    let result = block_on(async { body(&config, terminate_or_interrupt()?).await });
    drop(logs); // writes queued lines before the error below
    match result.map_err(ProcessError::Runtime).and_then(|result| result) {
        Ok(()) => Exit::Done,
        Err(error) => fail(error),
    }
}
