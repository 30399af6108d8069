//! A consensus server: a raft replica with its membership.
//!
//! Of two processes with one name the later incarnation is valid: raft messages of earlier ones are dropped, and a server
//! that learns of a later incarnation of its own name must end.

use crate::consensus::{self, Replica};
use crate::membership::{self, Member, Membership};
use crate::peer::PeerId;
use crate::protocol::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Work for the host. What [`Output::replica`] wants written must be written before anything is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Work of the replica.
    pub replica: consensus::Output,
    /// Datagrams to send.
    pub datagrams: Vec<(SocketAddr, Message)>,
    /// Members that are alive now.
    pub joined: Vec<Member>,
    /// Members that are down now.
    pub left: Vec<Member>,
    /// The server has raised its own incarnation; the host must use this one from now on.
    pub raised_incarnation: Option<u64>,
}

/// Why a server must end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FatalError {
    /// Its state directory lacks entries that it has acknowledged.
    #[error(
        "state_dir: its folder holds less than it has promised: it is an old copy, or has forgotten; it goes on under a new number, with `joins = true`"
    )]
    LostState,
    /// A later incarnation has taken over its name.
    #[error("name: incarnation {0} of {1} keeps under this name since")]
    Displaced(u64, String),
}

/// A raft replica with its membership.
pub struct ConsensusServer {
    /// The replica.
    pub replica: Replica,
    membership: Membership,
    /// Names of the configured servers by raft id.
    names: BTreeMap<u64, String>,
    /// The greatest incarnation seen of each server that sent raft messages.
    newest_incarnations: BTreeMap<String, u64>,
    displaced: Option<FatalError>,
    /// Raft messages that were dropped, as they came from an earlier incarnation or from no consensus server.
    pub fenced_messages: u64,
    /// Rejected packets of the membership protocol, by reason.
    pub rejected_packets: BTreeMap<membership::PacketRejection, u64>,
}

impl ConsensusServer {
    /// Joins a replica and a membership. `names` are those of the configured servers, by raft id.
    pub fn new(replica: Replica, membership: Membership, names: BTreeMap<u64, String>) -> ConsensusServer {
        ConsensusServer {
            replica,
            membership,
            names,
            newest_incarnations: BTreeMap::new(),
            displaced: None,
            fenced_messages: 0,
            rejected_packets: BTreeMap::new(),
        }
    }

    /// This server as other members know it.
    pub fn local_member(&self) -> &Member {
        self.membership.local_member()
    }

    /// The membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The name of the server with this raft id.
    pub fn server_name(&self, id: u64) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Whether the server must end. The host checks this after each call, before it sends anything.
    pub fn fatal_error(&self) -> Option<FatalError> {
        if self.replica.has_lost_state() { Some(FatalError::LostState) } else { self.displaced.clone() }
    }

    /// Advances the clock by one tick. `unix_ms` is the wall clock; it is only shown to operators.
    pub fn tick(&mut self, now: Duration, unix_ms: u64) -> Output {
        let mut output = Output { replica: self.replica.tick(now, unix_ms), ..Output::default() };
        let actions = self.membership.tick(now);
        self.collect_membership_actions(actions, &mut output);
        output
    }

    /// Handles a message. One of a later incarnation of the own name displaces this server.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Output {
        let own = self.membership.local_member();
        if from.name == own.name && from.incarnation > own.incarnation {
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
                    Ok(actions) => self.collect_membership_actions(actions, &mut output),
                    Err(rejection) => *self.rejected_packets.entry(rejection).or_default() += 1,
                }
                output
            }
            message => Output { replica: self.replica.handle_message(from, message), ..Output::default() },
        }
    }

    /// Whether the sender is a consensus server in the latest incarnation that was seen of it.
    fn is_current_server(&mut self, from: &PeerId) -> bool {
        if !self.names.values().any(|name| *name == from.name) {
            return false;
        }
        let newest = self.newest_incarnations.entry(from.name.clone()).or_default();
        *newest = from.incarnation.max(*newest);
        from.incarnation == *newest
    }

    /// Leaves the membership. The datagrams inform other members, so that they need not detect a failure.
    pub fn leave(&mut self) -> Output {
        let mut output = Output::default();
        let actions = self.membership.leave();
        self.collect_membership_actions(actions, &mut output);
        output
    }

    fn collect_membership_actions(&mut self, actions: Vec<membership::Action>, output: &mut Output) {
        for action in actions {
            match action {
                membership::Action::Send(to, bytes) => {
                    output.datagrams.push((to, Message::Membership(bytes)));
                }
                membership::Action::Joined(member) => output.joined.push(member),
                membership::Action::Left(member) => output.left.push(member),
                membership::Action::Rejoined => {}
                membership::Action::IncarnationRaised(incarnation) => {
                    output.raised_incarnation = Some(incarnation);
                }
                membership::Action::Displaced(by) => {
                    self.displaced = Some(FatalError::Displaced(by.incarnation, by.name));
                }
            }
        }
    }
}
