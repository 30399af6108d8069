//! Counters of a process's control-plane messages: sent and received by kind, and lost inside the process.

use curlewhub_control_plane::protocol::Message;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Kinds of messages, by purpose.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// Replication of the view to subscribers: versions, fetches, records, snapshots; and configuration reports.
    View,
    /// Evidence, and the interval of its reports.
    Evidence,
    /// Packets of the membership protocol.
    Membership,
    /// Raft messages between consensus servers.
    Consensus,
    /// Probes and grants of zones that return.
    #[serde(rename = "places")]
    ZoneFailover,
    /// Calls of operators, and messages that later builds add.
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

/// Why a message was lost inside this process; losses in the network are not counted.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The queue of the peer was full.
    PeerQueueFull,
    /// The queue of received messages was full.
    InboxFull,
    /// The limit of dialled peers was reached.
    DialLimit,
    /// The peer could not be connected to.
    NotConnected,
    /// A datagram was too large, or the system refused to send it.
    DatagramRefused,
    /// An accepted connection was closed at once, as the limit of open ones was reached.
    ConnectionLimit,
}

/// Messages and bytes, frame headers included.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Flow {
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes of the messages sent.
    pub bytes_out: u64,
    /// Messages received and decoded.
    pub messages_in: u64,
    /// Bytes of the messages received and decoded.
    pub bytes_in: u64,
}

impl Flow {
    /// The sum of both.
    pub fn plus(self, other: Flow) -> Flow {
        Flow {
            messages_out: self.messages_out + other.messages_out,
            bytes_out: self.bytes_out + other.bytes_out,
            messages_in: self.messages_in + other.messages_in,
            bytes_in: self.bytes_in + other.bytes_in,
        }
    }
}

/// The counters of a process, since its start.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub bytes_sent: Cell<u64>,
    /// Bytes received, including those of messages that could not be decoded.
    pub bytes_received: Cell<u64>,
    flows: RefCell<BTreeMap<MessageKind, Flow>>,
    losses: RefCell<BTreeMap<Lost, u64>>,
}

impl Traffic {
    /// Counts a message that was sent, with its size.
    pub(crate) fn count_sent(&self, message: &Message, bytes: usize) {
        self.bytes_sent.set(self.bytes_sent.get() + bytes as u64);
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(MessageKind::of(message)).or_default();
        flow.messages_out += 1;
        flow.bytes_out += bytes as u64;
    }

    /// Counts bytes that were received, before they are decoded.
    pub(crate) fn count_received_bytes(&self, bytes: usize) {
        self.bytes_received.set(self.bytes_received.get() + bytes as u64);
    }

    /// Counts a message that was received and decoded, with its size.
    pub(crate) fn count_received(&self, message: &Message, bytes: usize) {
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(MessageKind::of(message)).or_default();
        flow.messages_in += 1;
        flow.bytes_in += bytes as u64;
    }

    /// Counts a message that was lost.
    pub(crate) fn count_lost(&self, why: Lost) {
        *self.losses.borrow_mut().entry(why).or_default() += 1;
    }

    /// Messages and bytes by kind.
    pub fn by_kind(&self) -> BTreeMap<MessageKind, Flow> {
        self.flows.borrow().clone()
    }

    /// Lost messages by reason.
    pub fn losses(&self) -> BTreeMap<Lost, u64> {
        self.losses.borrow().clone()
    }

    /// The sum over all kinds.
    pub fn total(&self) -> Flow {
        self.flows.borrow().values().fold(Flow::default(), |sum, flow| sum.plus(*flow))
    }
}
