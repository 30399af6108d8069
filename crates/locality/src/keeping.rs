//! A keeper whole: its seat among the keepers and members, and its part in halls.

use crate::machine::Moved;
use crate::warden::{Action, Warden};
use curlewhub_fleet::seat::{Ends, Output, Seat};
use curlewhub_fleet::wire::{Said, Who};
use std::time::Duration;

/// A keeper whole.
pub struct Keeping {
    /// Its seat.
    pub seat: Seat,
    /// Its part in halls.
    pub warden: Warden,
    /// Moves that it has proposed since they were last taken, for the log.
    pub moves: Vec<Moved>,
}

impl Keeping {
    /// One that begins.
    pub fn new(seat: Seat, warden: Warden) -> Keeping {
        Keeping { seat, warden, moves: Vec::new() }
    }

    /// Whether it must end; the host looks after each call, before it says anything.
    pub fn ends(&self) -> Option<Ends> {
        self.seat.ends()
    }

    /// A tick has passed.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Vec<Output> {
        let mut outputs = vec![self.seat.tick(now, unix_ms)];
        let actions = self.warden.tick(now, unix_ms, &self.seat);
        self.carry_out(now, actions, &mut outputs);
        outputs
    }

    /// Something was heard.
    pub fn heard(&mut self, now: Duration, from: &Who, said: Said) -> Vec<Output> {
        let Said::Saw(digest) = said else { return vec![self.seat.heard(now, from, said)] };
        let mut outputs = Vec::new();
        if self.seat.keeper.takes(from, &digest) {
            let actions = self.warden.saw(now, &from.name, &digest, &self.seat);
            self.carry_out(now, actions, &mut outputs);
        }
        outputs
    }

    fn carry_out(&mut self, now: Duration, actions: Vec<Action>, outputs: &mut Vec<Output>) {
        for action in actions {
            match action {
                Action::Say(to, said) => {
                    let mut output = Output::default();
                    output.keeper.said.push((to, said));
                    outputs.push(output);
                }
                Action::Propose(proposal, moves) => {
                    self.moves.extend(moves);
                    let own = self.seat.own();
                    let who = Who { name: own.name.clone(), incarnation: own.incarnation };
                    outputs.push(self.seat.heard(now, &who, Said::Propose(proposal)));
                }
            }
        }
    }

    /// It goes: nobody has to find that out.
    pub fn leave(&mut self) -> Vec<Output> {
        vec![self.seat.leave()]
    }
}
