//! How messages travel between processes, and wait until their receiver is free.

use super::event_queue::{Delivery, Event};
use super::node::RunningProcess;
use super::{Fleet, OPERATOR};
use curlewhub_control_plane::consensus::TICK_INTERVAL;
use curlewhub_control_plane::protocol::{Message, PeerId};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use rand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Messages that are queued for one process at most, as in the program's inboxes.
const MAX_INBOX: usize = 8192;
/// The bytes of a frame besides its payload: length, format, the key's number and the MAC.
const FRAME_OVERHEAD_BYTES: u64 = 41;
/// How long an operator's proposal takes to a consensus server; the modelled network does not affect it.
const PROPOSAL_DELAY: Duration = Duration::from_micros(500);
/// The size that is charged for an operator's proposal, whatever its body.
const PROPOSAL_BYTES: u64 = 200;

/// What carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Carrier {
    /// A connection, which delivers in order.
    Stream,
    /// A datagram, which may overtake others.
    Datagram,
}

impl Fleet {
    /// Proposes a small note to a consensus server, and returns the proposal's id.
    pub fn propose(&mut self, to: usize) -> u64 {
        self.proposals += 1;
        let id = self.proposals;
        let proposal = Proposal {
            id,
            key: format!("note/{}", id % 5),
            kind: RecordKind::NOTE,
            body: vec![id as u8; 40],
            by: OPERATOR.to_owned(),
            why: String::new(),
            expected_version: None,
        };
        self.propose_this(to, proposal);
        id
    }

    /// Proposes a small note to the leader, or to any consensus server if there is none, and returns the proposal's id.
    pub fn propose_anywhere(&mut self) -> u64 {
        let to = self.leader().unwrap_or_else(|| self.draws.random_range(0..self.consensus_servers()));
        self.propose(to)
    }

    /// Sends a proposal to a consensus server.
    pub fn propose_this(&mut self, to: usize, proposal: Proposal) {
        let delivery = Delivery {
            to,
            generation: self.nodes[to].generation,
            from: self.operator.clone(),
            message: Rc::new(Message::Propose(proposal)),
        };
        self.queue.schedule(self.now + PROPOSAL_DELAY, Event::Arrived(delivery, PROPOSAL_BYTES));
    }

    /// Queues a message that has arrived. A process works through its queue one message after another, each for as long as
    /// [`crate::Cost`] gives.
    pub(super) fn enqueue(&mut self, delivery: Delivery, bytes: u64) {
        let (now, cost) = (self.now, self.spec.cost);
        let node = &mut self.nodes[delivery.to];
        if node.process.is_none() || node.generation != delivery.generation {
            return;
        }
        node.traffic.count_received(&delivery.message, bytes);
        if node.queued >= MAX_INBOX {
            self.totals.dropped += 1;
            return;
        }
        let processing = cost.message + cost.kib.mul_f64(bytes as f64 / 1024.0);
        node.queued += 1;
        node.busy_time += processing;
        node.busy_until = node.busy_until.max(now) + processing;
        self.queue.schedule(node.busy_until, Event::Processed(delivery));
    }

    /// Hands a message to its receiver and carries out the outputs. A paused process gets it after it has resumed.
    pub(super) fn process(&mut self, delivery: Delivery) {
        let now = self.now;
        let to = delivery.to;
        let node = &mut self.nodes[to];
        if node.generation != delivery.generation {
            return;
        }
        if node.paused {
            return self.queue.schedule(now + TICK_INTERVAL, Event::Processed(delivery));
        }
        node.queued = node.queued.saturating_sub(1);
        let Delivery { from, message, .. } = delivery;
        match &mut node.process {
            None => {}
            Some(RunningProcess::ConsensusServer(server)) => {
                let outputs = server.handle_message(now, &from, Rc::unwrap_or_clone(message));
                let crashes =
                    self.crash_after_write > 0.0 && self.draws.random::<f64>() < self.crash_after_write;
                self.handle_server_outputs(to, outputs, crashes);
            }
            Some(RunningProcess::Sidecar(sidecar)) => {
                let actions = sidecar.agent.handle_message(now, &from, Rc::unwrap_or_clone(message));
                self.handle_agent_actions(to, actions);
                self.schedule_wakeup(to);
            }
        }
    }

    /// The identity under which a process sends now.
    pub(super) fn peer_id(&self, n: usize) -> Rc<PeerId> {
        let node = &self.nodes[n];
        Rc::new(PeerId { name: node.name.clone(), incarnation: node.disk.incarnation })
    }

    /// Sends a datagram; nothing happens if no process has this address.
    pub(super) fn send_datagram(
        &mut self,
        from: usize,
        to: SocketAddr,
        sender: &Rc<PeerId>,
        message: Message,
    ) {
        if let Some(to) = self.by_address.get(&to).copied() {
            self.send(from, to, sender, message, Carrier::Datagram);
        }
    }

    /// Sends a message through the modelled network, which may lose, duplicate or delay it.
    pub(super) fn send(
        &mut self,
        from: usize,
        to: usize,
        sender: &Rc<PeerId>,
        message: Message,
        carrier: Carrier,
    ) {
        if to >= self.nodes.len() {
            return;
        }
        let bytes = payload_bytes(sender, &message) + FRAME_OVERHEAD_BYTES;
        self.totals.messages += 1;
        self.totals.bytes += bytes;
        self.nodes[from].traffic.count_sent(&message, bytes);
        let (source, target) = (self.nodes[from].location, self.nodes[to].location);
        let delays = self.network.copies(&source, &target, &mut self.draws);
        let (message, generation) = (Rc::new(message), self.nodes[to].generation);
        // Extra delay stands for connections that break, and with them their order is lost.
        let ordered = carrier == Carrier::Stream && self.network.extra_delay.is_zero();
        for delay in delays {
            let mut at = self.now + delay;
            if ordered {
                let last = self.last_arrivals.entry((from, to)).or_default();
                at = at.max(*last);
                *last = at;
            }
            let delivery = Delivery { to, generation, from: sender.clone(), message: message.clone() };
            self.queue.schedule(at, Event::Arrived(delivery, bytes));
        }
    }
}

/// The size of a frame's payload on the wire: the sender and the message.
fn payload_bytes(sender: &PeerId, message: &Message) -> u64 {
    postcard::experimental::serialized_size(&(sender, message)).unwrap_or_default() as u64
}
