//! A keeper's whole part: it agrees with the others, is a member, and knows whose word counts.
//!
//! Of one name the latest start counts: what an earlier one still says of the agreement is dropped, and one that hears of a
//! later start under its own name ends.

use crate::consensus::{self, Replica};
use crate::membership::{self, Member, Membership};
use crate::protocol::{Message, PeerId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What the host does: first it keeps, and only then it says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Of the agreement and the view.
    pub replica: consensus::Output,
    /// Datagrams.
    pub datagrams: Vec<(SocketAddr, Message)>,
    /// Who is there now.
    pub joined: Vec<Member>,
    /// Who is not any more.
    pub left: Vec<Member>,
    /// It counts its own start by this number from now on.
    pub raised_incarnation: Option<u64>,
}

/// Why a keeper must end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FatalError {
    /// Its disk holds less than it has promised.
    #[error(
        "state_dir: its folder holds less than it has promised: it is an old copy, or has forgotten; it goes on under a new number, with `joins = true`"
    )]
    LostState,
    /// A later start holds its name.
    #[error("name: incarnation {0} of {1} keeps under this name since")]
    Displaced(u64, String),
}

/// A keeper's part.
pub struct ConsensusServer {
    /// The agreement, the view and the evidence.
    pub replica: Replica,
    membership: Membership,
    /// The keepers' names by number.
    names: BTreeMap<u64, String>,
    /// The greatest incarnation heard of each other keeper.
    newest: BTreeMap<String, u64>,
    displaced: Option<FatalError>,
    /// Messages of the agreement from earlier starts, or from who is no keeper.
    pub fenced_messages: u64,
    /// Packets of the membership that were not taken, by why.
    pub rejected_packets: BTreeMap<membership::PacketRejection, u64>,
}

impl ConsensusServer {
    /// One that begins.
    pub fn new(keeper: Replica, members: Membership, names: BTreeMap<u64, String>) -> ConsensusServer {
        let (newest, displaced, fenced, not_heard) = Default::default();
        ConsensusServer {
            replica: keeper,
            membership: members,
            names,
            newest,
            displaced,
            fenced_messages: fenced,
            rejected_packets: not_heard,
        }
    }

    /// Itself, as others know it.
    pub fn local_member(&self) -> &Member {
        self.membership.local_member()
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// A keeper's name.
    pub fn server_name(&self, id: u64) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Whether it must end; the host looks after each call, before it says anything.
    pub fn fatal_error(&self) -> Option<FatalError> {
        if self.replica.has_lost_state() { Some(FatalError::LostState) } else { self.displaced.clone() }
    }

    /// A tick has passed; `unix_ms` is the wall clock, for people alone.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Output {
        let mut output = Output { replica: self.replica.tick(now, unix_ms), ..Output::default() };
        let told = self.membership.tick(now);
        self.collect_membership_actions(told, &mut output);
        output
    }

    /// Something was heard.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Output {
        let own = (&self.membership.local_member().name, self.membership.local_member().incarnation);
        if from.name == *own.0 && from.incarnation > own.1 {
            self.displaced = Some(FatalError::Displaced(from.incarnation, from.name.clone()));
            return Output::default();
        }
        match message {
            Message::Raft(bytes) if self.is_current_server(from) => {
                Output { replica: self.replica.handle_raft_message(&bytes), ..Output::default() }
            }
            Message::Raft(_) => {
                self.fenced_messages += 1;
                Output::default()
            }
            Message::Membership(bytes) => {
                let mut output = Output::default();
                match self.membership.handle_packet(now, &bytes) {
                    Ok(told) => self.collect_membership_actions(told, &mut output),
                    Err(why) => *self.rejected_packets.entry(why).or_default() += 1,
                }
                output
            }
            message => Output { replica: self.replica.handle_message(from, message), ..Output::default() },
        }
    }

    /// Whether this word on the agreement is that of a keeper, in its latest start.
    fn is_current_server(&mut self, from: &PeerId) -> bool {
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
        let told = self.membership.leave();
        self.collect_membership_actions(told, &mut output);
        output
    }

    fn collect_membership_actions(&mut self, told: Vec<membership::Action>, output: &mut Output) {
        for action in told {
            match action {
                membership::Action::Send(to, bytes) => {
                    output.datagrams.push((to, Message::Membership(bytes)))
                }
                membership::Action::Joined(member) => output.joined.push(member),
                membership::Action::Left(member) => output.left.push(member),
                membership::Action::Rejoined => {}
                membership::Action::IncarnationRaised(incarnation) => {
                    output.raised_incarnation = Some(incarnation)
                }
                membership::Action::Displaced(by) => {
                    self.displaced = Some(FatalError::Displaced(by.incarnation, by.name));
                }
            }
        }
    }
}
