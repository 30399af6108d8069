//! What a process says to its fleet and hears from it, counted by kind, and what it lost on the way.

use curlewhub_control_plane::protocol::Message;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Kinds of messages, by what they are for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// The versioned view: how far one is, requests, records, snapshots.
    View,
    /// What calls have shown, and how often that is to be told.
    Evidence,
    /// Packets of the membership protocol.
    Membership,
    /// Consensus among the servers.
    Consensus,
    /// Probes and grants for places that return.
    #[serde(rename = "places")]
    ZoneFailover,
    /// Calls of operators, and what later builds add.
    Other,
}

impl MessageKind {
    /// The kind of a message.
    pub fn of(message: &Message) -> MessageKind {
        match message {
            Message::ViewVersion { .. }
            | Message::FetchRecords { .. }
            | Message::Records(_)
            | Message::Snapshot(_)
            | Message::ReportConfig(_)
            | Message::RetryAfter { .. } => MessageKind::View,
            Message::LegacyEvidence(_) | Message::Evidence(_) | Message::SetEvidenceInterval { .. } => {
                MessageKind::Evidence
            }
            Message::Membership(_) => MessageKind::Membership,
            Message::Raft(_) => MessageKind::Consensus,
            Message::ProbeZone { .. } | Message::Grant { .. } => MessageKind::ZoneFailover,
            _ => MessageKind::Other,
        }
    }
}

/// Why a message was lost inside this process. What the network loses is not in it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// Too many messages waited for one peer.
    PeerQueueFull,
    /// Too many messages waited to be dealt with.
    InboxFull,
    /// Too many peers were dialled at once.
    DialLimit,
    /// Its peer could not be connected to.
    NotConnected,
    /// A datagram was too large, or the system refused it.
    DatagramRefused,
    /// A connection was closed unread, since too many were open.
    ConnectionLimit,
}

/// Messages and bytes, frames and all.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// Messages that went out.
    pub messages_out: u64,
    /// Their bytes.
    pub bytes_out: u64,
    /// Messages that came in and could be read.
    pub messages_in: u64,
    /// Their bytes.
    pub bytes_in: u64,
}

impl Flow {
    /// Both together.
    pub fn plus(self, other: Flow) -> Flow {
        Flow {
            messages_out: self.messages_out + other.messages_out,
            bytes_out: self.bytes_out + other.bytes_out,
            messages_in: self.messages_in + other.messages_in,
            bytes_in: self.bytes_in + other.bytes_in,
        }
    }
}

/// All that went out and came in.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes that went out ...
    pub bytes_sent: Cell<u64>,
    /// ... and came in, whether they could be read or not.
    pub bytes_received: Cell<u64>,
    flows: RefCell<BTreeMap<MessageKind, Flow>>,
    count_lost: RefCell<BTreeMap<Lost, u64>>,
}

impl Traffic {
    /// A message went out, in so many bytes.
    pub(crate) fn count_sent(&self, message: &Message, bytes: usize) {
        self.bytes_sent.set(self.bytes_sent.get() + bytes as u64);
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(MessageKind::of(message)).or_default();
        flow.messages_out += 1;
        flow.bytes_out += bytes as u64;
    }

    /// So many bytes came in.
    pub(crate) fn count_received_bytes(&self, bytes: usize) {
        self.bytes_received.set(self.bytes_received.get() + bytes as u64);
    }

    /// They were this message.
    pub(crate) fn count_received(&self, message: &Message, bytes: usize) {
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(MessageKind::of(message)).or_default();
        flow.messages_in += 1;
        flow.bytes_in += bytes as u64;
    }

    /// A message was lost here.
    pub(crate) fn count_lost(&self, why: Lost) {
        *self.count_lost.borrow_mut().entry(why).or_default() += 1;
    }

    /// By kind.
    pub fn by_kind(&self) -> BTreeMap<MessageKind, Flow> {
        self.flows.borrow().clone()
    }

    /// What was lost, by why.
    pub fn losses(&self) -> BTreeMap<Lost, u64> {
        self.count_lost.borrow().clone()
    }

    /// All kinds together.
    pub fn total(&self) -> Flow {
        self.flows.borrow().values().fold(Flow::default(), |sum, flow| sum.plus(*flow))
    }
}
