//! A keeper's whole part: it agrees with the others, is a member, and knows whose word counts.
//!
//! Of one name the latest start counts: what an earlier one still says of the agreement is dropped, and one that hears of a
//! later start under its own name ends.

use crate::keeper::{self, Keeper};
use crate::members::{self, Member, Members};
use crate::wire::{Said, Who};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What the host does: first it keeps, and only then it says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Of the agreement and the view.
    pub keeper: keeper::Output,
    /// Datagrams.
    pub whispers: Vec<(SocketAddr, Said)>,
    /// Who is there now.
    pub up: Vec<Member>,
    /// Who is not any more.
    pub down: Vec<Member>,
    /// It counts its own start by this number from now on.
    pub outlives: Option<u64>,
}

/// Why a keeper must end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Ends {
    /// Its disk holds less than it has promised.
    #[error(
        "state_dir: its folder holds less than it has promised: it is an old copy, or has forgotten; it goes on under a new number, with `joins = true`"
    )]
    Forgot,
    /// A later start holds its name.
    #[error("name: incarnation {0} of {1} keeps under this name since")]
    Displaced(u64, String),
}

/// A keeper's part.
pub struct Seat {
    /// The agreement, the view and the evidence.
    pub keeper: Keeper,
    members: Members,
    /// The keepers' names by number.
    names: BTreeMap<u64, String>,
    /// The greatest incarnation heard of each other keeper.
    newest: BTreeMap<String, u64>,
    displaced: Option<Ends>,
    /// Messages of the agreement from earlier starts, or from who is no keeper.
    pub fenced: u64,
    /// Packets of the membership that were not taken, by why.
    pub not_heard: BTreeMap<members::NotHeard, u64>,
}

impl Seat {
    /// One that begins.
    pub fn new(keeper: Keeper, members: Members, names: BTreeMap<u64, String>) -> Seat {
        let (newest, displaced, fenced, not_heard) = Default::default();
        Seat { keeper, members, names, newest, displaced, fenced, not_heard }
    }

    /// Itself, as others know it.
    pub fn own(&self) -> &Member {
        self.members.own()
    }

    /// Who is there.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// A keeper's name.
    pub fn name(&self, id: u64) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Whether it must end; the host looks after each call, before it says anything.
    pub fn ends(&self) -> Option<Ends> {
        if self.keeper.forgot() { Some(Ends::Forgot) } else { self.displaced.clone() }
    }

    /// A tick has passed; `unix_ms` is the wall clock, for people alone.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Output {
        let mut output = Output { keeper: self.keeper.tick(now, unix_ms), ..Output::default() };
        let told = self.members.tick(now);
        self.of_members(told, &mut output);
        output
    }

    /// Something was heard.
    pub fn heard(&mut self, now: Duration, from: &Who, said: Said) -> Output {
        let own = (&self.members.own().name, self.members.own().incarnation);
        if from.name == *own.0 && from.incarnation > own.1 {
            self.displaced = Some(Ends::Displaced(from.incarnation, from.name.clone()));
            return Output::default();
        }
        match said {
            Said::Agreement(bytes) if self.counts(from) => {
                Output { keeper: self.keeper.agreement(&bytes), ..Output::default() }
            }
            Said::Agreement(_) => {
                self.fenced += 1;
                Output::default()
            }
            Said::Members(bytes) => {
                let mut output = Output::default();
                match self.members.heard(now, &bytes) {
                    Ok(told) => self.of_members(told, &mut output),
                    Err(why) => *self.not_heard.entry(why).or_default() += 1,
                }
                output
            }
            said => Output { keeper: self.keeper.heard(from, said), ..Output::default() },
        }
    }

    /// Whether this word on the agreement is that of a keeper, in its latest start.
    fn counts(&mut self, from: &Who) -> bool {
        if !self.names.values().any(|name| *name == from.name) {
            return false;
        }
        let newest = self.newest.entry(from.name.clone()).or_default();
        *newest = from.incarnation.max(*newest);
        from.incarnation == *newest
    }

    /// It goes: nobody has to find that out.
    pub fn leave(&mut self) -> Output {
        let mut output = Output::default();
        let told = self.members.leave();
        self.of_members(told, &mut output);
        output
    }

    fn of_members(&mut self, told: Vec<members::Action>, output: &mut Output) {
        for action in told {
            match action {
                members::Action::Send(to, bytes) => output.whispers.push((to, Said::Members(bytes))),
                members::Action::Up(member) => output.up.push(member),
                members::Action::Down(member) => output.down.push(member),
                members::Action::Renewed => {}
                members::Action::Outlives(incarnation) => output.outlives = Some(incarnation),
                members::Action::Displaced(by) => {
                    self.displaced = Some(Ends::Displaced(by.incarnation, by.name));
                }
            }
        }
    }
}
