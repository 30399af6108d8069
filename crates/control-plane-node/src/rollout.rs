//! A consensus server's part in rollouts of the configuration: reports, operators' commands, and the next step.

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

/// A consensus server's part in rollouts.
#[derive(Default)]
pub(crate) struct Rollouts {
    coordinator: Coordinator,
    /// Reports that were not taken, by why.
    pub not_taken: BTreeMap<NotTaken, u64>,
}

/// What an operator's command comes to.
pub(crate) enum Commanded {
    /// This is to be decided, and then answered.
    Proposes(Proposal),
    /// This answer, at once.
    Answered(Message),
}

impl Rollouts {
    /// A sidecar reports.
    pub fn reported(&mut self, now: Duration, from: &PeerId, report: ConfigReport) {
        if let Err(why) = self.coordinator.reports.heard(now, from, report) {
            *self.not_taken.entry(why).or_default() += 1;
        }
    }

    /// What an operator's command comes to.
    pub fn commanded(&self, consensus: &ConsensusServer, command: &ConfigCommand) -> Commanded {
        let id = command.id;
        if let Some(version) = consensus.replica.decided_version(id) {
            return Commanded::Answered(Message::Decided { id, version });
        }
        match command::proposal(command, consensus.replica.view()) {
            Ok(proposal) => Commanded::Proposes(proposal),
            Err(why) => Commanded::Answered(Message::NotDecided { id, why: why.to_string() }),
        }
    }

    /// The next step that this server, if it leads, wants decided.
    pub fn tick(&mut self, now: Duration, consensus: &ConsensusServer) -> Option<Proposal> {
        if !self.coordinator.is_due(now, consensus.replica.is_leader()) {
            return None;
        }
        let (rollout, version) = record::newest(consensus.replica.view()).ok()?;
        if rollout.phase.is_settled() {
            return None;
        }
        let sidecars = sidecars(consensus);
        let own = &consensus.local_member().name;
        let outcomes = Outcomes::of(consensus.replica.evidence(), &rollout.plan.canary, now);
        let known = Known { own, rollout: &rollout, version, sidecars: &sidecars, outcomes };
        let proposal = self.coordinator.look(now, &known)?;
        info!(number = rollout.target.number.0, why = proposal.why, "fleet: configuration is to move on");
        Some(proposal)
    }

    /// How the configuration stands, as JSON.
    pub fn described(&self, now: Duration, consensus: &ConsensusServer) -> String {
        let (rollout, version) = match record::newest(consensus.replica.view()) {
            Ok(newest) => newest,
            Err(problem) => return problem.to_string(),
        };
        let census = self.coordinator.reports.census(now, &rollout, sidecars(consensus).into_iter());
        let (by, leads) = (consensus.local_member().name.clone(), consensus.replica.is_leader());
        let status = ConfigStatus { by, leads, version: version.0, rollout, census };
        serde_json::to_string(&status).unwrap_or_default() // numbers and text: it never fails
    }
}

/// The sidecars that are there.
fn sidecars(consensus: &ConsensusServer) -> Vec<Sidecar<'_>> {
    let alive = consensus.membership().alive().filter(|member| member.role == Role::Sidecar);
    alive.map(|member| Sidecar { name: &member.name, zone: &member.zone }).collect()
}
