//! Turns an operator's command into a proposal on top of the decided state.

use crate::record::{self, RecordError};
use crate::rollout::{Event, EventRejection};
use curlewhub_control_plane::configuration::{ConfigAction, ConfigCommand};
use curlewhub_control_plane::record::Proposal;
use curlewhub_control_plane::view::View;

/// Why a command leads to no proposal.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum CommandError {
    /// The rollout does not accept it in its present state.
    #[error(transparent)]
    Rejected(#[from] EventRejection),
    /// This build can't read the decided record; a newer build wrote it.
    #[error("what is decided can't be read by this build: {0}")]
    UnreadableRecord(#[from] RecordError),
}

/// The proposal that carries out a command.
///
/// # Errors
/// Returns why the command can't be carried out; nothing has changed then.
pub fn proposal(command: &ConfigCommand, view: &View) -> Result<Proposal, CommandError> {
    let (rollout, version) = record::newest(view)?;
    let next = rollout.step(event(command))?;
    Ok(record::proposal(command.id, &next, version, &command.by, &command.why))
}

fn event(command: &ConfigCommand) -> Event {
    let reason = record::truncate(&format!("{}, by {}", command.why, command.by));
    match &command.action {
        ConfigAction::Propose { base, settings, plan } => {
            Event::Propose { base: *base, settings: settings.clone(), plan: plan.clone() }
        }
        ConfigAction::Promote(number) => Event::Promote(*number),
        ConfigAction::Halt(number) => Event::Halt(*number, reason),
        ConfigAction::Rollback(number) => Event::Rollback(*number, reason),
    }
}
