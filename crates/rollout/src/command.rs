//! What an operator's command makes of what is decided.

use crate::record::{self, Senseless};
use crate::rollout::{Event, Refused};
use curlewhub_control_plane::configuration::{ConfigAction, ConfigCommand};
use curlewhub_control_plane::record::Proposal;
use curlewhub_control_plane::view::View;

/// Why a command is not proposed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum NotProposed {
    /// It changes nothing.
    #[error(transparent)]
    Refused(#[from] Refused),
    /// What is decided can't be read: a newer build's.
    #[error("what is decided can't be read by this build: {0}")]
    Unread(#[from] Senseless),
}

/// The proposal that carries a command out, on top of what is decided.
///
/// # Errors
/// Why there is none.
pub fn proposal(command: &ConfigCommand, view: &View) -> Result<Proposal, NotProposed> {
    let (rollout, version) = record::newest(view)?;
    let next = rollout.step(event(command))?;
    Ok(record::proposal(command.id, &next, version, &command.by, &command.why))
}

fn event(command: &ConfigCommand) -> Event {
    let by = record::cut(&format!("{}, by {}", command.why, command.by));
    match &command.action {
        ConfigAction::Propose { base, settings, plan } => {
            Event::Propose { base: *base, settings: settings.clone(), plan: plan.clone() }
        }
        ConfigAction::Promote(number) => Event::Promote(*number),
        ConfigAction::Halt(number) => Event::Halt(*number, by),
        ConfigAction::Rollback(number) => Event::Rollback(*number, by),
    }
}
