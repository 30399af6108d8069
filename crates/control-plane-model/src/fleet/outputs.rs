//! What a host does with the outputs of the programs that it runs: writes come first, messages after.

use super::delivery::Carrier;
use super::node::RunningProcess;
use super::{EPOCH, Fleet, zone_name};
use curlewhub_control_plane::applied::{self, RecordRejection};
use curlewhub_control_plane::client;
use curlewhub_control_plane::consensus::ReplicaError;
use curlewhub_control_plane::consensus_server::Output;
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Record, RecordKind};
use curlewhub_zone_failover::agent;
use curlewhub_zone_failover::server::ControlServer;
use curlewhub_zone_failover::zone_policy::{self, ZoneAccess};
use curlewhub_zone_failover::zone_states;
use std::rc::Rc;
use thiserror::Error;

/// Why the voters were not changed.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum VoterChangeError {
    /// The process that was asked is a sidecar, or does not run.
    #[error("it is no consensus server that runs")]
    NotRunning,
    /// The server does not lead, or the change is not possible.
    #[error(transparent)]
    Rejected(#[from] ReplicaError),
}

impl Fleet {
    /// Has the leader add a consensus server to the voters, or remove it. `server` is its raft id: its number plus one.
    ///
    /// # Errors
    /// The process that was asked does not run or does not lead, or the change is not possible.
    pub fn change_voters(&mut self, leader: usize, server: u64, add: bool) -> Result<(), VoterChangeError> {
        let Some(RunningProcess::ConsensusServer(process)) = &mut self.nodes[leader].process else {
            return Err(VoterChangeError::NotRunning);
        };
        let replica = process.consensus.replica.change_voters(server, add)?;
        self.handle_server_outputs(leader, vec![Output { replica, ..Output::default() }], false);
        Ok(())
    }

    /// Writes what a consensus server wants durable, and only then sends its messages. With `crashes` it ends between the
    /// two.
    pub(super) fn handle_server_outputs(&mut self, n: usize, outputs: Vec<Output>, crashes: bool) {
        self.persist_server_outputs(n, &outputs);
        let failed = self.server(n).and_then(ControlServer::fatal_error).is_some();
        if crashes || failed {
            self.nodes[n].process = None;
            return;
        }
        self.send_server_outputs(n, outputs);
    }

    fn persist_server_outputs(&mut self, n: usize, outputs: &[Output]) {
        let now = self.now;
        let node = &mut self.nodes[n];
        for output in outputs {
            node.disk.raft.apply(&output.replica.writes);
            for record in &output.replica.applied {
                self.invariants.record_applied(now, &node.name, record);
            }
            if let Some(incarnation) = output.raised_incarnation {
                node.disk.incarnation = incarnation;
            }
        }
        if let Some(RunningProcess::ConsensusServer(server)) = &mut node.process {
            let transitions = std::mem::take(&mut server.transitions);
            self.transitions.extend(transitions.into_iter().map(|transition| (now - EPOCH, transition)));
        }
    }

    fn send_server_outputs(&mut self, n: usize, outputs: Vec<Output>) {
        let sender = self.peer_id(n);
        for Output { replica, datagrams, .. } in outputs {
            for (id, bytes) in replica.raft_messages {
                let to = id as usize - 1;
                self.send(n, to, &sender, Message::Raft(bytes), Carrier::Stream);
            }
            for (name, message) in replica.messages {
                match (self.by_name.get(&name).copied(), &message) {
                    (Some(to), _) => self.send(n, to, &sender, message, Carrier::Stream),
                    // Only the operator has no number.
                    (None, Message::Decided { id, version }) => {
                        self.invariants.record_decided(*id, *version)
                    }
                    (None, _) => {}
                }
            }
            for (to, message) in datagrams {
                self.send_datagram(n, to, &sender, message);
            }
        }
    }

    /// Carries out the actions of a sidecar's agent, then stores and applies the view if it has changed.
    pub(super) fn handle_agent_actions(&mut self, n: usize, actions: Vec<agent::Action>) {
        let sender = self.peer_id(n);
        for action in actions {
            match action {
                agent::Action::Client(action) => self.handle_client_action(n, &sender, action),
                agent::Action::Policy(action) => self.handle_policy_action(n, action),
            }
        }
        self.persist_view(n);
    }

    fn handle_client_action(&mut self, n: usize, sender: &Rc<PeerId>, action: client::Action) {
        match action {
            client::Action::Send(name, address, message) => {
                let by_address = address.and_then(|address| self.by_address.get(&address).copied());
                if let Some(to) = self.by_name.get(&name).copied().or(by_address) {
                    self.send(n, to, sender, message, Carrier::Stream);
                }
            }
            client::Action::SendDatagram(to, message) => self.send_datagram(n, to, sender, message),
            client::Action::IncarnationRaised(incarnation) => self.nodes[n].disk.incarnation = incarnation,
            client::Action::ReportEvidence => self.report_evidence(n),
            _ => {}
        }
    }

    /// Keeps for the host what a sidecar may send and is to probe; times become times since the start.
    fn handle_policy_action(&mut self, n: usize, action: zone_policy::Action) {
        let sidecar = n - self.consensus_servers();
        match action {
            zone_policy::Action::AccessChanged(access) => {
                let since_start = |access: ZoneAccess| match access {
                    ZoneAccess::Rate(rate, until) => ZoneAccess::Rate(rate, until.saturating_sub(EPOCH)),
                    access => access,
                };
                let by_zone = access.iter().enumerate();
                let by_zone = by_zone.map(|(zone, (_, access))| (zone, since_start(*access))).collect();
                self.access.push((sidecar, by_zone));
            }
            zone_policy::Action::Probe(name, count) => {
                let zone = (0..self.spec.zones.len()).find(|zone| zone_name(*zone) == name);
                self.probes.extend(zone.map(|zone| (sidecar, zone, count)));
            }
            _ => {}
        }
    }

    /// Stores a sidecar's view, if its version has changed, and applies it.
    fn persist_view(&mut self, n: usize) {
        let (before, after) = (self.nodes[n].disk.view.version(), self.version(n));
        if after == before {
            return;
        }
        let Some(RunningProcess::Sidecar(sidecar)) = &self.nodes[n].process else { return };
        let view = sidecar.agent.client.view().clone();
        self.invariants.record_view_change(&self.nodes[n].name, before, after, view.hash());
        self.nodes[n].disk.view = view;
        for (_, (_, decided_at)) in self.invariants.contents.range(before.next()..=after) {
            self.latencies.record(self.now.saturating_sub(*decided_at).as_micros() as u64);
        }
        self.apply_view(n);
    }

    /// Has a sidecar act on the view that it holds. The modelled disk takes no time, so that this follows at once.
    pub(super) fn apply_view(&mut self, n: usize) {
        let now = self.now;
        let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].process else { return };
        sidecar.applied.apply(sidecar.agent.client.view(), check_record);
        let actions = sidecar.agent.apply(now, &sidecar.applied);
        self.handle_agent_actions(n, actions);
    }
}

/// The checks that the program makes before it acts on a record.
fn check_record(record: &Record) -> Result<(), RecordRejection> {
    match record.proposal.kind {
        RecordKind::ZONE_STATES | RecordKind::FREEZE => {
            zone_states::check(record).map_err(|error| RecordRejection::Invalid(error.to_string()))
        }
        _ => applied::check(record),
    }
}
