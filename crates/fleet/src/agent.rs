//! A sidecar's whole part in its fleet: it holds the view, is a member, and tells what its calls show.
//!
//! The host hands it what is heard, by stream or datagram, and the time, and carries out its [`Action`]s: sockets and disk
//! in the program, queues in the model and the checker.

use crate::evidence::Digest;
use crate::holder::{self, Counts, Holder, PACE};
use crate::members::{self, Member, Members, Role};
use crate::record::Record;
use crate::view::View;
use crate::wire::{Said, Who};
use rand::seq::{IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What is lost, turned away or failing is looked for, and told, after this part of the time that what is well is told after.
const HASTE: f64 = 0.4;
/// Peers that it speaks to: so many of its own hall, and so many of others, drawn anew now and then.
const PEERS_OF_A_KIND: usize = 8;
/// They are drawn anew this often, and at once where one of them is gone.
const PEERS_ANEW: Duration = Duration::from_secs(10);

/// Who it is and whom it begins with.
#[derive(Clone, Debug)]
pub struct Begin {
    /// Itself, as others are to know it.
    pub own: Member,
    /// Keepers, and where it reaches them.
    pub keepers: Vec<(String, SocketAddr)>,
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
    Say(String, Option<SocketAddr>, Said),
    /// Say this in a datagram.
    Whisper(SocketAddr, Said),
    /// This is decided, and follows what was: to be written down and acted on.
    Applied(Record),
    /// The view is this one now, over a gap that a snapshot closed.
    Replaced(View),
    /// This one is there now.
    Up(Member),
    /// It is not there any more.
    Down(Member),
    /// This process was taken for gone, and is back.
    Renewed,
    /// A later start holds this process's name: it is a member no more, and follows on.
    Displaced(Member),
    /// It counts its own start by this number from now on.
    Outlives(u64),
    /// What its calls have shown may be told now, by [`Agent::tell`].
    Tell,
}

/// A sidecar's part.
pub struct Agent {
    begin: Begin,
    holder: Holder,
    /// None until it can be reached under its name: a successor waits for its predecessor's address.
    members: Option<Members>,
    by_clock: bool,
    /// Peers that the holder speaks to, and where they are.
    peers: BTreeMap<String, SocketAddr>,
    peers_at: Duration,
    tells_at: Duration,
    draws: Pcg32,
    /// Packets of the membership that were not taken, by why.
    pub not_heard: BTreeMap<members::NotHeard, u64>,
}

impl Agent {
    /// One that holds and knows nobody yet.
    pub fn new(begin: Begin, now: Duration) -> Agent {
        let mut draws = Pcg32::seed_from_u64(begin.seed);
        let keepers = begin.keepers.iter().map(|(name, _)| name.clone()).collect();
        let mut holder = Holder::new(begin.view.clone(), keepers, draws.random(), now);
        let peers: BTreeMap<String, SocketAddr> = begin.peers.iter().cloned().collect();
        holder.peers(peers.keys().cloned().collect());
        let (members, not_heard) = Default::default();
        let (peers_at, tells_at) = (now + PEERS_ANEW, now + PACE.mul_f64(draws.random()));
        Agent { begin, holder, members, by_clock: false, peers, peers_at, tells_at, draws, not_heard }
    }

    /// It is reached under its name from now on, and a member.
    pub fn join(&mut self, now: Duration) {
        let seeds: Vec<_> = self.begin.keepers.iter().chain(&self.begin.peers).cloned().collect();
        if self.members.is_none() {
            let mut members = Members::new(self.begin.own.clone(), &seeds, self.draws.random(), now);
            if self.by_clock {
                members.counts_by_clock();
            }
            self.members = Some(members);
        }
    }

    /// Its incarnation is the clock's: see [`Members::counts_by_clock`].
    pub fn counts_by_clock(&mut self) {
        self.by_clock = true;
    }

    /// The keepers' names.
    pub fn keepers(&self) -> impl Iterator<Item = &str> {
        self.begin.keepers.iter().map(|(name, _)| &name[..])
    }

    /// What it holds.
    pub fn view(&self) -> &View {
        self.holder.view()
    }

    /// How long ago a keeper last confirmed it; none where none has since the start.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.holder.age(now)
    }

    /// What could not be taken of the view.
    pub fn counts(&self) -> Counts {
        self.holder.counts()
    }

    /// How often what it sees is to be told where nothing of it is urgent.
    pub fn pace(&self) -> Duration {
        self.holder.pace()
    }

    /// The membership, once it is a member.
    pub fn members(&self) -> Option<&Members> {
        self.members.as_ref()
    }

    /// When it wants to be called again at the latest.
    pub fn next(&self) -> Duration {
        let members = self.members.as_ref().and_then(Members::next);
        let own = self.holder.next().min(self.peers_at).min(self.tells_at);
        members.into_iter().fold(own, Duration::min)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(members) = &mut self.members {
            let told = members.tick(now);
            self.of_members(now, told, &mut actions);
        }
        if now >= self.peers_at {
            self.draw_peers(now);
        }
        if now >= self.tells_at {
            actions.push(Action::Tell);
            let pace = self.holder.pace().mul_f64(HASTE * self.draws.random_range(0.9..1.1));
            self.tells_at = now + pace;
        }
        let told = self.holder.tick(now);
        self.of_holder(told, &mut actions);
        actions
    }

    /// Something was heard.
    pub fn heard(&mut self, now: Duration, from: &Who, said: Said) -> Vec<Action> {
        let mut actions = Vec::new();
        match (said, &mut self.members) {
            (Said::Members(bytes), Some(members)) => match members.heard(now, &bytes) {
                Ok(told) => self.of_members(now, told, &mut actions),
                Err(why) => *self.not_heard.entry(why).or_default() += 1,
            },
            (Said::Members(_), None) => {}
            (said, _) => {
                let told = self.holder.heard(now, from, said);
                self.of_holder(told, &mut actions);
            }
        }
        actions
    }

    /// What its calls have shown goes to every keeper: each sums for itself, whoever leads.
    pub fn tell(&self, digest: &Digest) -> Vec<Action> {
        let to =
            |(name, _): &(String, SocketAddr)| Action::Say(name.clone(), None, Said::Saw(digest.clone()));
        self.begin.keepers.iter().map(to).collect()
    }

    /// It goes: nobody has to find that out.
    pub fn leave(&mut self) -> Vec<Action> {
        let told = self.members.as_mut().map(Members::leave).unwrap_or_default();
        let mut actions = Vec::new();
        self.of_members(Duration::ZERO, told, &mut actions);
        actions
    }

    fn of_members(&mut self, now: Duration, told: Vec<members::Action>, actions: &mut Vec<Action>) {
        let mut draw = false;
        for action in told {
            actions.push(match action {
                members::Action::Send(to, bytes) => Action::Whisper(to, Said::Members(bytes)),
                members::Action::Up(member) => {
                    draw |= self.peers.len() < 2 * PEERS_OF_A_KIND || self.peers.contains_key(&member.name);
                    Action::Up(member)
                }
                members::Action::Down(member) => {
                    draw |= self.peers.contains_key(&member.name);
                    Action::Down(member)
                }
                members::Action::Renewed => Action::Renewed,
                members::Action::Displaced(by) => Action::Displaced(by),
                members::Action::Outlives(incarnation) => Action::Outlives(incarnation),
            });
        }
        if draw {
            self.draw_peers(now);
        }
    }

    fn of_holder(&self, told: Vec<holder::Action>, actions: &mut Vec<Action>) {
        for action in told {
            actions.push(match action {
                // How far one is fits a datagram, and may be lost; to a peer it takes no connection.
                holder::Action::Say(to, said @ Said::Have { .. }) if self.peers.contains_key(&to) => {
                    Action::Whisper(self.peers[&to], said)
                }
                holder::Action::Say(to, said) => {
                    let at = self.peers.get(&to).copied().or_else(|| self.at(&to));
                    Action::Say(to, at, said)
                }
                holder::Action::Applied(record) => Action::Applied(record),
                holder::Action::Replaced(view) => Action::Replaced(view),
            });
        }
    }

    /// Where a member is that is none of its peers and has told how far it is.
    fn at(&self, name: &str) -> Option<SocketAddr> {
        self.members.as_ref()?.alive().find(|member| member.name == name).map(|member| member.at)
    }

    /// A few of its own hall, which are reached where the hall is cut off, and a few of others, which reach what its own
    /// can't. Where the membership knows nobody it stays with whom it was told of.
    fn draw_peers(&mut self, now: Duration) {
        self.peers_at = now + PEERS_ANEW.mul_f64(self.draws.random_range(0.75..1.25));
        let Some(members) = &self.members else { return };
        let hall = &self.begin.own.hall;
        let of = |own: bool| {
            members.alive().filter(move |m| m.role == Role::Sidecar && (m.hall == *hall) == own)
        };
        let mut drawn: Vec<&Member> = of(true).choose_multiple(&mut self.draws, PEERS_OF_A_KIND);
        drawn.extend(of(false).choose_multiple(&mut self.draws, PEERS_OF_A_KIND));
        if drawn.is_empty() {
            return;
        }
        drawn.shuffle(&mut self.draws);
        self.peers = drawn.into_iter().map(|member| (member.name.clone(), member.at)).collect();
        self.holder.peers(self.peers.keys().cloned().collect());
    }
}
