//! A sidecar's client of the control plane: its subscriber, its membership, and the reporting of its evidence.
//!
//! The host passes in messages from streams and datagrams and the time, and carries out the [`Action`]s: with sockets and
//! files in the program, with queues in the model and the model checker.

use crate::evidence::Digest;
use crate::membership::{self, Member, Membership, Role};
use crate::peer::PeerId;
use crate::protocol::Message;
use crate::record::Record;
use crate::subscriber::{self, EVIDENCE_INTERVAL, Subscriber, SubscriberCounters};
use crate::view::View;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Evidence is looked at after this part of the interval at which it is reported: losses, rejections and failures are reported
/// at once, the rest when it is due.
const EVIDENCE_CHECK_FRACTION: f64 = 0.4;
/// Peers that the subscriber talks to: so many of its own zone, and so many of others.
const PEERS_PER_GROUP: usize = 8;
/// How often peers are selected anew; also when one of them is down.
const PEER_SELECTION_INTERVAL: Duration = Duration::from_secs(10);

/// What a client starts with.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// This process as other members are to know it.
    pub own: Member,
    /// Names and addresses of the consensus servers.
    pub consensus_servers: Vec<(String, SocketAddr)>,
    /// Names and addresses of sidecars that are seeds as well, for a zone that reaches no consensus server.
    pub peers: Vec<(String, SocketAddr)>,
    /// The cached view, or an empty one.
    pub view: View,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What the host is to do, or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message on a stream to the process of this name: to its address, or without one on the stream of a consensus
    /// server or the one that its last message came on.
    Send(String, Option<SocketAddr>, Message),
    /// Send a message in a datagram.
    SendDatagram(SocketAddr, Message),
    /// The next record was appended to the view: persist it and act on it.
    Applied(Record),
    /// A snapshot has replaced the view: persist it and act on all of it.
    Replaced(View),
    /// A member is alive.
    Joined(Member),
    /// A member is down.
    Left(Member),
    /// This process was declared down, and has rejoined.
    Rejoined,
    /// A later incarnation has taken over this process's name. It is no member any more, but goes on as a subscriber.
    Displaced(Member),
    /// This process has raised its incarnation; the host must use the new number.
    IncarnationRaised(u64),
    /// Evidence may be reported now, by [`FleetClient::report_evidence`].
    ReportEvidence,
}

/// A sidecar's client of the control plane.
pub struct FleetClient {
    settings: ClientSettings,
    subscriber: Subscriber,
    /// None until [`FleetClient::join`]: a process that takes over from another waits for its address.
    membership: Option<Membership>,
    counts_by_clock: bool,
    /// Names and addresses of the peers that the subscriber talks to.
    peers: BTreeMap<String, SocketAddr>,
    select_peers_at: Duration,
    report_at: Duration,
    rng: Pcg32,
    /// Rejected packets of the membership protocol, by reason.
    pub rejected_packets: BTreeMap<membership::PacketRejection, u64>,
}

impl FleetClient {
    /// A client that is no member yet.
    pub fn new(settings: ClientSettings, now: Duration) -> FleetClient {
        let mut rng = Pcg32::seed_from_u64(settings.seed);
        let servers = settings.consensus_servers.iter().map(|(name, _)| name.clone()).collect();
        let mut subscriber = Subscriber::new(settings.view.clone(), servers, rng.random(), now);
        let peers: BTreeMap<String, SocketAddr> = settings.peers.iter().cloned().collect();
        subscriber.set_peers(peers.keys().cloned().collect());
        FleetClient {
            settings,
            subscriber,
            membership: None,
            counts_by_clock: false,
            peers,
            select_peers_at: now + PEER_SELECTION_INTERVAL,
            report_at: now + EVIDENCE_INTERVAL.mul_f64(rng.random()),
            rng,
            rejected_packets: BTreeMap::new(),
        }
    }

    /// Becomes a member. The process must be reachable at its address from now on.
    pub fn join(&mut self, now: Duration) {
        let seeds: Vec<_> =
            self.settings.consensus_servers.iter().chain(&self.settings.peers).cloned().collect();
        if self.membership.is_none() {
            let mut membership = Membership::new(self.settings.own.clone(), &seeds, self.rng.random(), now);
            if self.counts_by_clock {
                membership.counts_by_clock();
            }
            self.membership = Some(membership);
        }
    }

    /// States that the incarnation comes from the clock: see [`Membership::counts_by_clock`].
    pub fn counts_by_clock(&mut self) {
        self.counts_by_clock = true;
    }

    /// The names of the consensus servers.
    pub fn consensus_servers(&self) -> impl Iterator<Item = &str> {
        self.settings.consensus_servers.iter().map(|(name, _)| &name[..])
    }

    /// The copy of the view.
    pub fn view(&self) -> &View {
        self.subscriber.view()
    }

    /// Time since a consensus server last confirmed the view as the newest; none if that has not happened since the start.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.subscriber.age(now)
    }

    /// The subscriber's counters.
    pub fn counters(&self) -> SubscriberCounters {
        self.subscriber.counters()
    }

    /// How often evidence is to be reported if nothing in it is urgent.
    pub fn evidence_interval(&self) -> Duration {
        self.subscriber.evidence_interval()
    }

    /// The membership, once it has joined.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// When [`FleetClient::tick`] is next due.
    pub fn next_wakeup(&self) -> Duration {
        let membership = self.membership.as_ref().and_then(Membership::next_wakeup);
        let own = self.subscriber.next_wakeup().min(self.select_peers_at).min(self.report_at);
        membership.into_iter().fold(own, Duration::min)
    }

    /// Runs membership, peer selection, evidence reporting and subscriber as far as they are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(membership) = &mut self.membership {
            let membership_actions = membership.tick(now);
            self.handle_membership_actions(now, membership_actions, &mut actions);
        }
        if now >= self.select_peers_at {
            self.select_peers(now);
        }
        if now >= self.report_at {
            actions.push(Action::ReportEvidence);
            let check_after = self
                .subscriber
                .evidence_interval()
                .mul_f64(EVIDENCE_CHECK_FRACTION * self.rng.random_range(0.9..1.1));
            self.report_at = now + check_after;
        }
        let subscriber_actions = self.subscriber.tick(now);
        self.handle_subscriber_actions(subscriber_actions, &mut actions);
        actions
    }

    /// Handles a message from a stream or a datagram.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match (message, &mut self.membership) {
            (Message::Membership(bytes), Some(membership)) => match membership.handle_packet(now, &bytes) {
                Ok(packet_actions) => self.handle_membership_actions(now, packet_actions, &mut actions),
                Err(rejection) => *self.rejected_packets.entry(rejection).or_default() += 1,
            },
            (Message::Membership(_), None) => {}
            (message, _) => {
                let subscriber_actions = self.subscriber.handle_message(now, from, message);
                self.handle_subscriber_actions(subscriber_actions, &mut actions);
            }
        }
        actions
    }

    /// Sends evidence to all consensus servers. Each adds it up for itself, so that a new leader has it already.
    pub fn report_evidence(&self, digest: &Digest) -> Vec<Action> {
        let send = |(name, _): &(String, SocketAddr)| {
            Action::Send(name.clone(), None, Message::Evidence(digest.clone()))
        };
        self.settings.consensus_servers.iter().map(send).collect()
    }

    /// Leaves the membership. The actions inform other members, so that they need not detect a failure.
    pub fn leave(&mut self) -> Vec<Action> {
        let leave_actions = self.membership.as_mut().map(Membership::leave).unwrap_or_default();
        let mut actions = Vec::new();
        self.handle_membership_actions(Duration::ZERO, leave_actions, &mut actions);
        actions
    }

    fn handle_membership_actions(
        &mut self,
        now: Duration,
        membership_actions: Vec<membership::Action>,
        actions: &mut Vec<Action>,
    ) {
        let mut needs_selection = false;
        for action in membership_actions {
            actions.push(match action {
                membership::Action::Send(to, bytes) => Action::SendDatagram(to, Message::Membership(bytes)),
                membership::Action::Joined(member) => {
                    needs_selection |=
                        self.peers.len() < 2 * PEERS_PER_GROUP || self.peers.contains_key(&member.name);
                    Action::Joined(member)
                }
                membership::Action::Left(member) => {
                    needs_selection |= self.peers.contains_key(&member.name);
                    Action::Left(member)
                }
                membership::Action::Rejoined => Action::Rejoined,
                membership::Action::Displaced(by) => Action::Displaced(by),
                membership::Action::IncarnationRaised(incarnation) => {
                    Action::IncarnationRaised(incarnation)
                }
            });
        }
        if needs_selection {
            self.select_peers(now);
        }
    }

    fn handle_subscriber_actions(
        &self,
        subscriber_actions: Vec<subscriber::Action>,
        actions: &mut Vec<Action>,
    ) {
        for action in subscriber_actions {
            actions.push(match action {
                // A version fits a datagram and may be lost, so it needs no connection to a peer.
                subscriber::Action::Send(to, message @ Message::ViewVersion { .. })
                    if self.peers.contains_key(&to) =>
                {
                    Action::SendDatagram(self.peers[&to], message)
                }
                subscriber::Action::Send(to, message) => {
                    let address = self.peers.get(&to).copied().or_else(|| self.member_address(&to));
                    Action::Send(to, address, message)
                }
                subscriber::Action::Applied(record) => Action::Applied(record),
                subscriber::Action::Replaced(view) => Action::Replaced(view),
            });
        }
    }

    /// The address of a member that is no peer of this sidecar but has selected it as its own.
    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        self.membership.as_ref()?.alive().find(|member| member.name == name).map(|member| member.address)
    }

    /// Selects peers: some of the own zone, which stay reachable if the zone is partitioned, and some of others, which may
    /// reach what the own zone can't. Without members the peers of the settings stay.
    fn select_peers(&mut self, now: Duration) {
        self.select_peers_at = now + PEER_SELECTION_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
        let Some(membership) = &self.membership else { return };
        let zone = &self.settings.own.zone;
        let sidecars = |in_own_zone: bool| {
            membership.alive().filter(move |m| m.role == Role::Sidecar && (m.zone == *zone) == in_own_zone)
        };
        let mut selected: Vec<&Member> = sidecars(true).choose_multiple(&mut self.rng, PEERS_PER_GROUP);
        selected.extend(sidecars(false).choose_multiple(&mut self.rng, PEERS_PER_GROUP));
        if selected.is_empty() {
            return;
        }
        selected.shuffle(&mut self.rng);
        self.peers = selected.into_iter().map(|member| (member.name.clone(), member.address)).collect();
        self.subscriber.set_peers(self.peers.keys().cloned().collect());
    }
}
