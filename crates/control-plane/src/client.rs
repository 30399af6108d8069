//! A sidecar's whole part in its fleet: it holds the view, is a member, and tells what its calls show.
//!
//! The host hands it what is heard, by stream or datagram, and the time, and carries out its [`Action`]s: sockets and disk
//! in the program, queues in the model and the checker.

use crate::evidence::Digest;
use crate::membership::{self, Member, Membership, Role};
use crate::protocol::{Message, PeerId};
use crate::record::Record;
use crate::subscriber::{self, EVIDENCE_INTERVAL, Subscriber, SubscriberCounters};
use crate::view::View;
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What is lost, turned away or failing is looked for, and told, after this part of the time that what is well is told after.
const EVIDENCE_CHECK_FRACTION: f64 = 0.4;
/// Peers that it speaks to: so many of its own hall, and so many of others, drawn anew now and then.
const PEERS_PER_GROUP: usize = 8;
/// They are drawn anew this often, and at once where one of them is gone.
const PEER_SELECTION_INTERVAL: Duration = Duration::from_secs(10);

/// Who it is and whom it begins with.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Itself, as others are to know it.
    pub own: Member,
    /// Keepers, and where it reaches them.
    pub consensus_servers: Vec<(String, SocketAddr)>,
    /// Others that may know somebody where no keeper is reached.
    pub peers: Vec<(String, SocketAddr)>,
    /// The view of its disk.
    pub view: View,
    /// What it draws from.
    pub seed: u64,
}

/// What the host does, or should know.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Say this on a stream: to a keeper, to a peer that is reached there, or to who has spoken on one.
    Send(String, Option<SocketAddr>, Message),
    /// Say this in a datagram.
    SendDatagram(SocketAddr, Message),
    /// This is decided, and follows what was: to be written down and acted on.
    Applied(Record),
    /// The view is this one now, over a gap that a snapshot closed.
    Replaced(View),
    /// This one is there now.
    Joined(Member),
    /// It is not there any more.
    Left(Member),
    /// This process was taken for gone, and is back.
    Rejoined,
    /// A later start holds this process's name: it is a member no more, and follows on.
    Displaced(Member),
    /// It counts its own start by this number from now on.
    IncarnationRaised(u64),
    /// What its calls have shown may be told now, by [`FleetClient::tell`].
    ReportEvidence,
}

/// A sidecar's part.
pub struct FleetClient {
    settings: ClientSettings,
    subscriber: Subscriber,
    /// None until it can be reached under its name: a successor waits for its predecessor's address.
    membership: Option<Membership>,
    by_clock: bool,
    /// Peers that the holder speaks to, and where they are.
    peers: BTreeMap<String, SocketAddr>,
    select_peers_at: Duration,
    report_at: Duration,
    rng: Pcg32,
    /// Packets of the membership that were not taken, by why.
    pub rejected_packets: BTreeMap<membership::PacketRejection, u64>,
}

impl FleetClient {
    /// One that holds and knows nobody yet.
    pub fn new(begin: ClientSettings, now: Duration) -> FleetClient {
        let mut draws = Pcg32::seed_from_u64(begin.seed);
        let keepers = begin.consensus_servers.iter().map(|(name, _)| name.clone()).collect();
        let mut holder = Subscriber::new(begin.view.clone(), keepers, draws.random(), now);
        let peers: BTreeMap<String, SocketAddr> = begin.peers.iter().cloned().collect();
        holder.set_peers(peers.keys().cloned().collect());
        let (members, not_heard) = Default::default();
        let (peers_at, tells_at) =
            (now + PEER_SELECTION_INTERVAL, now + EVIDENCE_INTERVAL.mul_f64(draws.random()));
        FleetClient {
            settings: begin,
            subscriber: holder,
            membership: members,
            by_clock: false,
            peers,
            select_peers_at: peers_at,
            report_at: tells_at,
            rng: draws,
            rejected_packets: not_heard,
        }
    }

    /// It is reached under its name from now on, and a member.
    pub fn join(&mut self, now: Duration) {
        let seeds: Vec<_> =
            self.settings.consensus_servers.iter().chain(&self.settings.peers).cloned().collect();
        if self.membership.is_none() {
            let mut members = Membership::new(self.settings.own.clone(), &seeds, self.rng.random(), now);
            if self.by_clock {
                members.counts_by_clock();
            }
            self.membership = Some(members);
        }
    }

    /// Its incarnation is the clock's: see [`Membership::counts_by_clock`].
    pub fn counts_by_clock(&mut self) {
        self.by_clock = true;
    }

    /// The keepers' names.
    pub fn consensus_servers(&self) -> impl Iterator<Item = &str> {
        self.settings.consensus_servers.iter().map(|(name, _)| &name[..])
    }

    /// What it holds.
    pub fn view(&self) -> &View {
        self.subscriber.view()
    }

    /// How long ago a keeper last confirmed it; none where none has since the start.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.subscriber.age(now)
    }

    /// What could not be taken of the view.
    pub fn counters(&self) -> SubscriberCounters {
        self.subscriber.counters()
    }

    /// How often what it sees is to be told where nothing of it is urgent.
    pub fn evidence_interval(&self) -> Duration {
        self.subscriber.evidence_interval()
    }

    /// The membership, once it is a member.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// When it wants to be called again at the latest.
    pub fn next_wakeup(&self) -> Duration {
        let members = self.membership.as_ref().and_then(Membership::next_wakeup);
        let own = self.subscriber.next_wakeup().min(self.select_peers_at).min(self.report_at);
        members.into_iter().fold(own, Duration::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(members) = &mut self.membership {
            let told = members.tick(now);
            self.handle_membership_actions(now, told, &mut actions);
        }
        if now >= self.select_peers_at {
            self.select_peers(now);
        }
        if now >= self.report_at {
            actions.push(Action::ReportEvidence);
            let pace = self
                .subscriber
                .evidence_interval()
                .mul_f64(EVIDENCE_CHECK_FRACTION * self.rng.random_range(0.9..1.1));
            self.report_at = now + pace;
        }
        let told = self.subscriber.tick(now);
        self.handle_subscriber_actions(told, &mut actions);
        actions
    }

    /// Something was heard.
    pub fn handle_message(&mut self, now: Duration, from: &PeerId, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        match (message, &mut self.membership) {
            (Message::Membership(bytes), Some(members)) => match members.handle_packet(now, &bytes) {
                Ok(told) => self.handle_membership_actions(now, told, &mut actions),
                Err(why) => *self.rejected_packets.entry(why).or_default() += 1,
            },
            (Message::Membership(_), None) => {}
            (message, _) => {
                let told = self.subscriber.handle_message(now, from, message);
                self.handle_subscriber_actions(told, &mut actions);
            }
        }
        actions
    }

    /// What its calls have shown goes to every keeper: each sums for itself, whoever leads.
    pub fn report_evidence(&self, digest: &Digest) -> Vec<Action> {
        let to = |(name, _): &(String, SocketAddr)| {
            Action::Send(name.clone(), None, Message::Evidence(digest.clone()))
        };
        self.settings.consensus_servers.iter().map(to).collect()
    }

    /// It goes: nobody has to find that out.
    pub fn leave(&mut self) -> Vec<Action> {
        let told = self.membership.as_mut().map(Membership::leave).unwrap_or_default();
        let mut actions = Vec::new();
        self.handle_membership_actions(Duration::ZERO, told, &mut actions);
        actions
    }

    fn handle_membership_actions(
        &mut self,
        now: Duration,
        told: Vec<membership::Action>,
        actions: &mut Vec<Action>,
    ) {
        let mut draw = false;
        for action in told {
            actions.push(match action {
                membership::Action::Send(to, bytes) => Action::SendDatagram(to, Message::Membership(bytes)),
                membership::Action::Joined(member) => {
                    draw |= self.peers.len() < 2 * PEERS_PER_GROUP || self.peers.contains_key(&member.name);
                    Action::Joined(member)
                }
                membership::Action::Left(member) => {
                    draw |= self.peers.contains_key(&member.name);
                    Action::Left(member)
                }
                membership::Action::Rejoined => Action::Rejoined,
                membership::Action::Displaced(by) => Action::Displaced(by),
                membership::Action::IncarnationRaised(incarnation) => {
                    Action::IncarnationRaised(incarnation)
                }
            });
        }
        if draw {
            self.select_peers(now);
        }
    }

    fn handle_subscriber_actions(&self, told: Vec<subscriber::Action>, actions: &mut Vec<Action>) {
        for action in told {
            actions.push(match action {
                // How far one is fits a datagram, and may be lost; to a peer it takes no connection.
                subscriber::Action::Send(to, message @ Message::ViewVersion { .. })
                    if self.peers.contains_key(&to) =>
                {
                    Action::SendDatagram(self.peers[&to], message)
                }
                subscriber::Action::Send(to, message) => {
                    let at = self.peers.get(&to).copied().or_else(|| self.member_address(&to));
                    Action::Send(to, at, message)
                }
                subscriber::Action::Applied(record) => Action::Applied(record),
                subscriber::Action::Replaced(view) => Action::Replaced(view),
            });
        }
    }

    /// Where a member is that is none of its peers and has told how far it is.
    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        self.membership.as_ref()?.alive().find(|member| member.name == name).map(|member| member.address)
    }

    /// A few of its own hall, which are reached where the hall is cut off, and a few of others, which reach what its own
    /// can't. Where the membership knows nobody it stays with whom it was told of.
    fn select_peers(&mut self, now: Duration) {
        self.select_peers_at = now + PEER_SELECTION_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
        let Some(members) = &self.membership else { return };
        let zone = &self.settings.own.zone;
        let of = |own: bool| {
            members.alive().filter(move |m| m.role == Role::Sidecar && (m.zone == *zone) == own)
        };
        let mut drawn: Vec<&Member> = of(true).choose_multiple(&mut self.rng, PEERS_PER_GROUP);
        drawn.extend(of(false).choose_multiple(&mut self.rng, PEERS_PER_GROUP));
        if drawn.is_empty() {
            return;
        }
        drawn.shuffle(&mut self.rng);
        self.peers = drawn.into_iter().map(|member| (member.name.clone(), member.address)).collect();
        self.subscriber.set_peers(self.peers.keys().cloned().collect());
    }
}
