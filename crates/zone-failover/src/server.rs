//! The complete state of one consensus server: its replica with its membership, and its zone controller. Sans I/O.

use crate::controller::{Action, ZoneController};
use crate::state_machine::Transition;
use curlewhub_control_plane::consensus_server::{ConsensusServer, FatalError, Output};
use curlewhub_control_plane::protocol::{Message, PeerId};
use std::time::Duration;

/// A consensus server with its zone controller.
pub struct ControlServer {
    /// The replica and its membership.
    pub consensus: ConsensusServer,
    /// The zone controller.
    pub controller: ZoneController,
    /// Transitions proposed since the host last took them, for its log.
    pub transitions: Vec<Transition>,
}

impl ControlServer {
    /// A server of these two parts.
    pub fn new(consensus: ConsensusServer, controller: ZoneController) -> ControlServer {
        ControlServer { consensus, controller, transitions: Vec::new() }
    }

    /// The error by which the process must end, if any. The host checks it after each call, before it sends outputs.
    pub fn fatal_error(&self) -> Option<FatalError> {
        self.consensus.fatal_error()
    }

    /// Runs the periodic work. `unix_ms` is the wall clock, in milliseconds of Unix time.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Vec<Output> {
        let mut outputs = vec![self.consensus.tick(now, unix_ms)];
        let actions = self.controller.tick(now, unix_ms, &self.consensus);
        self.carry_out(now, actions, &mut outputs);
        outputs
    }

    /// Handles a message of a peer. Evidence that is stale or repeated is dropped.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Output> {
        let Message::Evidence(digest) = message else {
            return vec![self.consensus.handle_message(now, from, message)];
        };
        let mut outputs = Vec::new();
        if self.consensus.replica.record_evidence(from, &digest) {
            let actions = self.controller.record_evidence(now, &from.name, &digest, &self.consensus);
            self.carry_out(now, actions, &mut outputs);
        }
        outputs
    }

    fn carry_out(&mut self, now: Duration, actions: Vec<Action>, outputs: &mut Vec<Output>) {
        for action in actions {
            match action {
                Action::Send(to, message) => {
                    let mut output = Output::default();
                    output.replica.messages.push((to, message));
                    outputs.push(output);
                }
                Action::Propose(proposal, transitions) => {
                    self.transitions.extend(transitions);
                    let local = self.consensus.local_member();
                    let local = PeerId { name: local.name.clone(), incarnation: local.incarnation };
                    outputs.push(self.consensus.handle_message(now, &local, Message::Propose(proposal)));
                }
            }
        }
    }

    /// Leaves the membership before the process ends, so that no peer has to detect a failure.
    pub fn leave(&mut self) -> Vec<Output> {
        vec![self.consensus.leave()]
    }
}
