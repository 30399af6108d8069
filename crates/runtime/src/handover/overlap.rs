//! Exchange of quota parts with the other process of a sidecar while both serve: reports this process's demand, and moves
//! parts with the balancer state that belongs to them. How many parts move is decided in `curlewhub-overlap-quota`.

use crate::events::OverlapMessage;
use curlewhub_balance::{Action, Balancer};
use curlewhub_overlap_quota::{Demand, OverlapQuota, SAMPLE_INTERVAL};
use std::collections::{HashMap, HashSet};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Timeout of the predecessor's first message. A build that does not know of parts sends none.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum interval between two reports of the demand, whether it has changed or not.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// A process that has sent nothing for this long is stopped or hung, and its parts are of use to nobody. Should it go on
/// later, both use the full quota, as with a build that does not know of parts.
const MAX_SILENCE: Duration = Duration::from_millis(500);

/// Access to the balancer for one call.
pub struct BalancerAccess<'a> {
    /// The time on the balancer's clock.
    pub now: Duration,
    /// The balancer.
    pub balancer: &'a mut Balancer,
    /// Collects the actions that it returns.
    pub actions: &'a mut Vec<Action>,
}

/// Sends a message to a peer.
pub type SendMessage = Box<dyn Fn(OverlapMessage)>;

/// Whether a peer takes part in the exchange.
#[derive(Clone, Copy, PartialEq)]
enum PeerState {
    /// A predecessor that has sent nothing yet; it holds all parts.
    AwaitingPredecessor,
    /// A successor that has sent nothing yet; it holds no parts.
    AwaitingSuccessor,
    /// A peer that has sent a message.
    Active,
}

impl PeerState {
    /// After this long without a message the peer is taken for silent; none if it may stay silent.
    fn timeout(self) -> Option<Duration> {
        match self {
            PeerState::AwaitingPredecessor => Some(FIRST_MESSAGE_TIMEOUT),
            PeerState::AwaitingSuccessor => None,
            PeerState::Active => Some(MAX_SILENCE),
        }
    }
}

/// A demand that was reported to a peer.
struct DemandReport {
    demand: u32,
    sent_at: Instant,
}

impl DemandReport {
    /// Whether a new report is due.
    fn is_outdated(&self, demand: u32) -> bool {
        self.demand != demand || self.sent_at.elapsed() >= MAX_REPORT_INTERVAL
    }
}

/// Another process that shares the quota with this one.
struct Peer {
    send: SendMessage,
    state: PeerState,
    /// Time of its last message, or of its connection before the first.
    last_message_at: Instant,
    last_report: Option<DemandReport>,
}

impl Peer {
    fn is_silent(&self) -> bool {
        self.state.timeout().is_some_and(|timeout| self.last_message_at.elapsed() > timeout)
    }
}

/// This process's parts of the quota, and the peers that it shares it with. Links are numbered by the handover.
#[derive(Default)]
pub struct Overlap {
    quota: OverlapQuota,
    peers: HashMap<u64, Peer>,
    /// All connected processes, also those that no longer take part in the exchange.
    connected: HashSet<u64>,
    demand: Demand,
    /// When the next sample is due; none without a peer.
    sample_at: Option<Instant>,
}

impl Overlap {
    /// Adds a predecessor or a successor.
    pub fn peer_connected(
        &mut self,
        link: u64,
        is_predecessor: bool,
        send: SendMessage,
        access: &mut BalancerAccess<'_>,
    ) {
        let state = if is_predecessor {
            self.quota.add_predecessor(link);
            access.balancer.begin_without_share(access.now);
            PeerState::AwaitingPredecessor
        } else {
            self.quota.add_successor(link);
            PeerState::AwaitingSuccessor
        };
        let last_message_at = Instant::now();
        self.connected.insert(link);
        self.peers.insert(link, Peer { send, state, last_message_at, last_report: None });
        self.sample_at = Some(last_message_at);
    }

    /// Handles a message of a peer.
    pub fn message_received(
        &mut self,
        link: u64,
        message: OverlapMessage,
        access: &mut BalancerAccess<'_>,
    ) {
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.last_message_at = Instant::now();
            // The first message is answered at once: a successor can't send before it is given parts.
            if peer.state != PeerState::Active {
                peer.state = PeerState::Active;
                self.sample_at = Some(peer.last_message_at);
            }
        }
        let accepted = match message {
            OverlapMessage::Demand(demand) => self.quota.set_demand(link, demand),
            OverlapMessage::Parts(parts, _) => self.quota.receive(link, parts),
        };
        match (accepted, message) {
            (Ok(()), OverlapMessage::Parts(_, portion)) => access.balancer.acquire_share(
                access.now,
                self.quota.fraction(),
                Some(&portion),
                access.actions,
            ),
            (Ok(()), OverlapMessage::Demand(_)) => {}
            (Err(error), _) => warn!(link, %error, "sharing: message rejected"),
        }
    }

    /// Removes a process whose connection has ended. `ending` is whether this process is terminating itself.
    pub fn peer_disconnected(&mut self, link: u64, ending: bool, access: &mut BalancerAccess<'_>) {
        self.connected.remove(&link);
        self.remove_peer(link, ending, access);
        info!(parts = self.quota.own_parts(), "sharing: other process disconnected");
    }

    /// Ends the exchange with a peer and takes its parts back.
    fn remove_peer(&mut self, link: u64, ending: bool, access: &mut BalancerAccess<'_>) {
        self.peers.remove(&link);
        let returned = self.quota.remove_neighbour(link, ending);
        if returned > 0 {
            access.balancer.acquire_share(access.now, self.quota.fraction(), None, access.actions);
        }
        if self.peers.is_empty() {
            self.sample_at = None;
            self.demand = Demand::default();
        }
    }

    /// Counts a request that has arrived.
    pub fn request_arrived(&mut self) {
        self.demand.record_arrival();
    }

    /// When [`Overlap::sample_if_due`] is due next; none without a peer.
    pub fn sample_at(&self) -> Option<Instant> {
        self.sample_at
    }

    /// If a sample is due: measures the demand with this many open requests, reports it, gives away surplus parts, and
    /// ends the exchange with silent peers.
    pub fn sample_if_due(&mut self, open_requests: usize, access: &mut BalancerAccess<'_>) {
        if self.sample_at.is_none_or(|at| at > Instant::now()) {
            return;
        }
        self.sample_at = Some(Instant::now() + SAMPLE_INTERVAL);
        let demand = self.demand.sample(open_requests);
        for (link, peer) in &mut self.peers {
            if peer.last_report.as_ref().is_none_or(|report| report.is_outdated(demand)) {
                peer.last_report = Some(DemandReport { demand, sent_at: Instant::now() });
                (peer.send)(OverlapMessage::Demand(demand));
            }
            if let Some(parts) = self.quota.give(*link, demand) {
                let portion = access.balancer.release_share(access.now, self.quota.fraction());
                (peer.send)(OverlapMessage::Parts(parts, portion));
            }
        }
        self.remove_silent_peers(access);
    }

    fn remove_silent_peers(&mut self, access: &mut BalancerAccess<'_>) {
        let silent = self.peers.iter().filter(|(_, peer)| peer.is_silent());
        let silent: Vec<u64> = silent.map(|(link, _)| *link).collect();
        for link in silent {
            warn!("sharing: the other process does not share, or not any more; both go on with all");
            self.remove_peer(link, false, access);
        }
    }

    /// Whether another process is connected.
    pub fn has_connected_process(&self) -> bool {
        !self.connected.is_empty()
    }

    /// Parts of the quota that this process holds.
    pub fn parts(&self) -> u32 {
        self.quota.own_parts()
    }
}
