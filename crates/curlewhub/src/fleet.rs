//! `curlewhub consensus-server` and `curlewhub fleet …`: one module for each command.

mod config;
mod config_status;
mod log;
mod members;
mod probe;
mod process;
mod proposals;
mod servers;
mod session;
mod signals;
mod zone_override;
mod zones;

use crate::cli::fleet::{FleetCommand, ProcessArgs};
use crate::output::Exit;
pub(crate) use process::AppliedViewLog;
use session::with_fleet;

/// Runs a consensus server until SIGTERM or SIGINT; `bootstrap` allows an empty state directory.
pub fn consensus_server(process: &ProcessArgs, bootstrap: bool) -> Exit {
    process::consensus_server(process, bootstrap)
}

/// Runs a command of `curlewhub fleet`.
pub fn run(command: &FleetCommand) -> Exit {
    match command {
        FleetCommand::Follow(process) => process::subscriber(process),
        FleetCommand::Status(report) => {
            with_fleet(&report.fleet, async |config| servers::print_status(config, report.json).await)
        }
        FleetCommand::Members(report) => {
            with_fleet(&report.fleet, async |config| members::print_members(config, report.json).await)
        }
        FleetCommand::Log(report) => {
            with_fleet(&report.fleet, async |config| log::print_records(config, report.json).await)
        }
        FleetCommand::Servers { fleet, change } => {
            with_fleet(fleet, async |config| servers::change(config, *change).await)
        }
        FleetCommand::Zones(report) => {
            with_fleet(&report.fleet, async |config| zones::print_zones(config, report.json).await)
        }
        FleetCommand::Zone(command) => zone_override::run(command),
        FleetCommand::Config(command) => config::run(command),
        FleetCommand::Freeze { fleet, off, author } => {
            with_fleet(fleet, async |config| proposals::freeze(config, !off, author).await)
        }
        FleetCommand::Propose(record) => {
            with_fleet(&record.fleet, async |config| proposals::propose_record(config, record).await)
        }
        FleetCommand::Note(note) => {
            with_fleet(&note.fleet, async |config| proposals::note(config, note).await)
        }
    }
}
