//! A keeper whole: its seat among the keepers and members, and its part in halls.

use crate::controller::{Action, ZoneController};
use crate::state_machine::Transition;
use curlewhub_control_plane::consensus_server::{ConsensusServer, FatalError, Output};
use curlewhub_control_plane::protocol::{Message, PeerId};
use std::time::Duration;

/// A keeper whole.
pub struct ControlServer {
    /// Its seat.
    pub consensus: ConsensusServer,
    /// Its part in halls.
    pub controller: ZoneController,
    /// Moves that it has proposed since they were last taken, for the log.
    pub transitions: Vec<Transition>,
}

impl ControlServer {
    /// One that begins.
    pub fn new(consensus: ConsensusServer, controller: ZoneController) -> ControlServer {
        ControlServer { consensus, controller, transitions: Vec::new() }
    }

    /// Whether it must end; the host looks after each call, before it says anything.
    pub fn fatal_error(&self) -> Option<FatalError> {
        self.consensus.fatal_error()
    }

    /// A tick has passed.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Vec<Output> {
        let mut outputs = vec![self.consensus.tick(now, unix_ms)];
        let actions = self.controller.tick(now, unix_ms, &self.consensus);
        self.carry_out(now, actions, &mut outputs);
        outputs
    }

    /// Something was heard.
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
                Action::Propose(proposal, moves) => {
                    self.transitions.extend(moves);
                    let own = self.consensus.local_member();
                    let who = PeerId { name: own.name.clone(), incarnation: own.incarnation };
                    outputs.push(self.consensus.handle_message(now, &who, Message::Propose(proposal)));
                }
            }
        }
    }

    /// It goes: nobody has to find that out.
    pub fn leave(&mut self) -> Vec<Output> {
        vec![self.consensus.leave()]
    }
}
