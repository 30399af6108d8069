//! The host of the rollout coordinator on a consensus server: reports of sidecars, commands of operators, and the next step
//! of a rollout.

use curlewhub_control_plane::configuration::{ConfigCommand, ConfigReport};
use curlewhub_control_plane::consensus_server::ConsensusServer;
use curlewhub_control_plane::membership::Role;
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::Proposal;
use curlewhub_rollout::canary::Sidecar;
use curlewhub_rollout::coordinator::{Coordinator, Known, Outcomes};
use curlewhub_rollout::reports::NotTaken;
use curlewhub_rollout::status::ConfigStatus;
use curlewhub_rollout::{command, record};
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::info;

/// The coordinator with its counters. All of it is in memory; sidecars renew their reports.
#[derive(Default)]
pub(crate) struct Rollouts {
    coordinator: Coordinator,
    /// Reports that were rejected, by reason.
    pub rejected_reports: BTreeMap<NotTaken, u64>,
}

/// The result of an operator's command.
pub(crate) enum CommandOutcome {
    /// To be proposed; the command is answered once it is committed.
    Propose(Proposal),
    /// To be sent at once.
    Answer(Message),
}

impl Rollouts {
    /// Takes in a sidecar's report of the configuration that it has in force or refuses.
    pub fn record_report(&mut self, now: Duration, from: &PeerId, report: ConfigReport) {
        if let Err(why) = self.coordinator.reports.heard(now, from, report) {
            *self.rejected_reports.entry(why).or_default() += 1;
        }
    }

    /// Turns a command into a proposal. One that is already committed, as a repeated command may be, is answered with its
    /// version.
    pub fn handle_command(&self, consensus: &ConsensusServer, command: &ConfigCommand) -> CommandOutcome {
        let id = command.id;
        if let Some(version) = consensus.replica.decided_version(id) {
            return CommandOutcome::Answer(Message::Decided { id, version });
        }
        match command::proposal(command, consensus.replica.view()) {
            Ok(proposal) => CommandOutcome::Propose(proposal),
            Err(why) => CommandOutcome::Answer(Message::NotDecided { id, why: why.to_string() }),
        }
    }

    /// The next step of the current rollout, if this server leads and a step is due.
    pub fn tick(&mut self, now: Duration, consensus: &ConsensusServer) -> Option<Proposal> {
        if !self.coordinator.is_due(now, consensus.replica.is_leader()) {
            return None;
        }
        let (rollout, version) = record::newest(consensus.replica.view()).ok()?;
        if rollout.phase.is_settled() {
            return None;
        }
        let sidecars = alive_sidecars(consensus);
        let own = &consensus.local_member().name;
        let outcomes = Outcomes::of(consensus.replica.evidence(), &rollout.plan.canary, now);
        let known = Known { own, rollout: &rollout, version, sidecars: &sidecars, outcomes };
        let proposal = self.coordinator.look(now, &known)?;
        info!(number = rollout.target.number.0, why = proposal.why, "fleet: rollout step proposed");
        Some(proposal)
    }

    /// The state of the configuration as JSON, or as text why it can't be read from the view.
    pub fn status_json(&self, now: Duration, consensus: &ConsensusServer) -> String {
        let (rollout, version) = match record::newest(consensus.replica.view()) {
            Ok(newest) => newest,
            Err(problem) => return problem.to_string(),
        };
        let census = self.coordinator.reports.census(now, &rollout, alive_sidecars(consensus).into_iter());
        let (by, leads) = (consensus.local_member().name.clone(), consensus.replica.is_leader());
        let status = ConfigStatus { by, leads, version: version.0, rollout, census };
        serde_json::to_string(&status).unwrap_or_default() // can't fail: numbers and text
    }
}

fn alive_sidecars(consensus: &ConsensusServer) -> Vec<Sidecar<'_>> {
    let sidecars = consensus.membership().alive().filter(|member| member.role == Role::Sidecar);
    sidecars.map(|member| Sidecar { name: &member.name, zone: &member.zone }).collect()
}
