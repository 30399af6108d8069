//! Shared by the commands of `curlewhub fleet`: reads the fleet's file, runs the command on a runtime, and
//! defines its errors.

use super::signals::SignalError;
use crate::cli::fleet::FleetFile;
use crate::output::{Exit, fail, reject_usage};
use curlewhub_control_plane_node::config::FleetConfig;
use std::io;
use thiserror::Error;
use tokio::task::LocalSet;

/// Why a command of `curlewhub fleet` failed.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A call to the consensus servers failed or was rejected.
    #[error("{0}")]
    Call(String),
    /// No consensus server answered.
    #[error("no consensus server can be reached")]
    Unreachable,
    /// The fleet has no zone or region of this name.
    #[error("`{name}` is not a zone or region of this fleet; known: {}", known.join(", "))]
    UnknownZone {
        /// The name.
        name: String,
        /// The names of all zones and regions.
        known: Vec<String>,
    },
    /// The proposed settings are the newest settings.
    #[error("set: it is so already; allowed: --set or --unset of what differs")]
    Unchanged,
    /// A signal handler could not be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
}

/// Reads the fleet's file and runs a command with it.
pub fn with_fleet(
    file: &FleetFile,
    command: impl AsyncFnOnce(&FleetConfig) -> Result<Exit, FleetError>,
) -> Exit {
    let config = match FleetConfig::read(&file.config) {
        Ok(config) => config,
        Err(problem) => return reject_usage(problem),
    };
    match block_on(command(&config)) {
        Ok(Ok(exit)) => exit,
        Ok(Err(error)) => fail(error),
        Err(error) => fail(error),
    }
}

/// Runs a task on a new runtime, on this thread.
///
/// # Errors
/// The runtime could not be built.
pub fn block_on<T>(task: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, task))
}
