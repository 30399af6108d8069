//! Handling of received messages: requests of operators and reports of sidecars are answered here, all others go on to the
//! consensus server.

use super::Process;
use crate::rollout::CommandOutcome;
use curlewhub_control_plane::consensus_server::Output;
use curlewhub_control_plane::protocol::{Envelope, Message, PeerId};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use tracing::info;

impl Process<'_> {
    pub(super) fn handle_message(&mut self, envelope: Envelope) -> Vec<Output> {
        let Envelope { from, message } = envelope;
        match message {
            Message::DescribeServer => described(from, self.server_status().to_json()),
            Message::ListMembers => described(from, self.member_list().to_json()),
            message if !self.storage.is_serving() => self.handle_while_storage_failed(&from, message),
            Message::ListZones => described(from, self.zone_list().to_json()),
            Message::ChangeVoters { server, add } => {
                vec![match self.change_voters(server, add, &from.name) {
                    Ok(output) => output,
                    Err(problem) => reply(from.name, Message::VoterChangeRejected(problem.to_string())),
                }]
            }
            Message::ReportConfig(report) => {
                self.rollouts.record_report(self.started.elapsed(), &from, report);
                Vec::new()
            }
            Message::DescribeConfig => {
                let status = self.rollouts.status_json(self.started.elapsed(), &self.server.consensus);
                described(from, status)
            }
            Message::CommandConfig(command) => {
                match self.rollouts.handle_command(&self.server.consensus, &command) {
                    CommandOutcome::Propose(proposal) => self.propose(&from, proposal),
                    CommandOutcome::Answer(answer) => vec![reply(from.name, answer)],
                }
            }
            Message::Propose(Proposal { id, kind: RecordKind::CONFIG, .. }) => {
                let why = "kind: a configuration goes by `fleet config` alone".to_owned();
                vec![reply(from.name, Message::NotDecided { id, why })]
            }
            message => self.server.handle_message(self.started.elapsed(), &from, message),
        }
    }

    /// A server whose storage has failed remains a member, rejects requests, and ignores everything else.
    fn handle_while_storage_failed(&mut self, from: &PeerId, message: Message) -> Vec<Output> {
        if let Message::Membership(_) = message {
            return vec![self.server.consensus.handle_message(self.started.elapsed(), from, message)];
        }
        let why = "its storage has failed: it takes nothing on".to_owned();
        let rejection = match message {
            Message::Propose(proposal) => Message::NotDecided { id: proposal.id, why },
            Message::CommandConfig(command) => Message::NotDecided { id: command.id, why },
            Message::ChangeVoters { .. } => Message::VoterChangeRejected(why),
            _ => return Vec::new(),
        };
        vec![reply(from.name.clone(), rejection)]
    }

    pub(super) fn propose(&mut self, from: &PeerId, proposal: Proposal) -> Vec<Output> {
        self.server.handle_message(self.started.elapsed(), from, Message::Propose(proposal))
    }

    fn change_voters(&mut self, server: u64, add: bool, by: &str) -> Result<Output, VoterChangeError> {
        // The other servers take addresses from their settings; without an entry they could not reach the new voter.
        if add && self.server.consensus.server_name(server).is_none() {
            let name = self.server.consensus.local_member().name.clone();
            return Err(VoterChangeError::NotConfigured { name, server });
        }
        let replica = self.server.consensus.replica.change_voters(server, add)?;
        info!(server, add, by, "fleet: voter change started");
        let mut output = Output { replica, ..Output::default() };
        output.replica.messages.push((by.to_owned(), Message::VoterChangeStarted));
        Ok(output)
    }
}

/// Why a change of the voters is not started.
#[derive(Debug, thiserror::Error)]
enum VoterChangeError {
    #[error("`keepers` of {name} does not name {server}")]
    NotConfigured {
        /// The server that was asked.
        name: String,
        /// The id of the server to be added.
        server: u64,
    },
    #[error(transparent)]
    Replica(#[from] curlewhub_control_plane::consensus::ReplicaError),
}

fn reply(to: String, message: Message) -> Output {
    let mut output = Output::default();
    output.replica.messages.push((to, message));
    output
}

/// The answer to a question about a state, as JSON.
fn described(to: PeerId, json: String) -> Vec<Output> {
    vec![reply(to.name, Message::Described(json))]
}
