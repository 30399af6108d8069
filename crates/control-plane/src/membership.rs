//! Who is there: membership with failure detection by foca (SWIM: probes, indirect probes, suspicion, incarnations).
//!
//! The host hands it datagrams and the time, and sends what it wants sent. A name is held by one process at a time: the one
//! of the greatest incarnation. One that hears of a greater one under its own name is displaced, and says nothing more.

use crate::record::MAX_TEXT_BYTES;
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Header, Identity, Message, OwnedNotification, PeriodicParams,
    PostcardCodec, State, Timer,
};
use rand_pcg_of_foca::Pcg32;
use rand_pcg_of_foca::rand_core::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Names that are kept at the most, those of members that are down among them.
pub const MAX_MEMBERS: usize = 20_000;
/// Bytes of a packet at the most: with its frame it fits a datagram that no network cuts up.
pub const MAX_PACKET_BYTES: usize = 1250;
/// One member is probed in each of these ...
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// ... and asked after by others where it has not answered after this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// What is new is told so many members in each of these.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// A member is asked whom it knows this often, and one that is down whether it is there again.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
const ANNOUNCE_TO_DOWN_INTERVAL: Duration = Duration::from_secs(5);
/// A name that is down is remembered for this long.
const FORGET_DOWN_AFTER: Duration = Duration::from_secs(3600);
/// Who knows nobody asks a seed after this, longer each time up to the most; who knows somebody asks one this often, so that
/// two parts that lost one another meet again.
const MIN_SEED_INTERVAL: Duration = Duration::from_millis(200);
const MAX_SEED_INTERVAL: Duration = Duration::from_secs(5);
/// One that is taken for gone comes back after this, longer each time up to the most, and as before once it was there for
/// so long: two parts that meet again take one another for gone a few times over.
const MIN_REJOIN_DELAY: Duration = Duration::from_millis(100);
const MAX_REJOIN_DELAY: Duration = Duration::from_secs(3);
const REJOIN_BACKOFF_RESET: Duration = Duration::from_secs(10);
/// A start that counts by the clock, as its folder knew of no earlier one, goes above a number of its own name that it meets
/// within this: the time in which whoever is there tells it of that, and who is gone is still taken for there. Once, so that
/// two that do run end with the later one.
const CLOCK_DISTRUSTED: Duration = Duration::from_secs(10);
/// Members that foca's settings are made for at first; they follow the fleet's size by doubling.
const MIN_CLUSTER_SIZE: u32 = 8;

/// What a member is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Role {
    /// It agrees on versions.
    #[serde(rename = "Keeper")]
    ConsensusServer,
    /// It acts on them.
    Sidecar,
}

/// A member, as it is known to all.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Member {
    /// Its name, of its own in the fleet.
    pub name: String,
    /// What it is.
    pub role: Role,
    /// Its hall.
    #[serde(rename = "hall")]
    pub zone: String,
    /// Where others reach it.
    #[serde(rename = "at")]
    pub address: SocketAddr,
    /// Its build.
    pub build: String,
    /// The newest format of messages that it reads.
    pub format: u8,
    /// Which start of it.
    pub incarnation: u64,
    /// How often this start of it was taken for gone and came back.
    #[serde(rename = "renewed")]
    pub rejoins: u32,
}

impl Member {
    /// Which of two with one name is the one: the later start, and of one start the later return.
    fn rank(&self) -> (u64, SocketAddr, u32) {
        (self.incarnation, self.address, self.rejoins)
    }

    /// Whether another process than this one holds its name, and rightly.
    fn displaces(&self, own: &Member) -> bool {
        self.name == own.name
            && self.address != own.address
            && (self.incarnation, self.address) > (own.incarnation, own.address)
    }

    /// Whether it is what others remember of an earlier start at the very address of this one, which counted itself higher: its
    /// disk has forgotten that, and its clock went back.
    fn is_earlier_start_of(&self, own: &Member) -> bool {
        self.name == own.name && self.address == own.address && self.incarnation > own.incarnation
    }

    fn is_valid(&self) -> bool {
        let text = |text: &str| text.len() <= MAX_TEXT_BYTES;
        !self.name.is_empty() && text(&self.name) && text(&self.zone) && text(&self.build)
    }
}

impl Identity for Member {
    type Addr = String;

    /// Not by itself: a process whose name another one holds would come back at once, as often as it is told that it is gone.
    fn renew(&self) -> Option<Member> {
        None
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Member) -> bool {
        self.rank() > adversary.rank()
    }
}

/// What the host does, or should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this datagram there.
    Send(SocketAddr, Vec<u8>),
    /// This one is there now.
    Joined(Member),
    /// It is not there any more.
    Left(Member),
    /// This process was taken for gone, and is back under the same name.
    Rejoined,
    /// A later start holds this process's name: it is a member no more.
    Displaced(Member),
    /// It counts its own start higher than others remember an earlier one: by this number from now on.
    IncarnationRaised(u64),
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum PacketRejection {
    /// It can't be read.
    #[error("it can't be read")]
    Malformed,
    /// Somebody that it names can't be.
    #[error("somebody that it names can't be")]
    Invalid,
    /// Too many names.
    #[error("{MAX_MEMBERS} names are known")]
    CapacityExceeded,
    /// It is this process's own, come back.
    #[error("it is this process's own")]
    FromSelf,
}

/// The members, as one of them knows them.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Pcg32, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// By when they are due, and a number that keeps equal ones in their order.
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    planned: u64,
    seeds: Vec<Member>,
    next_seed: usize,
    seek_at: Duration,
    seek_after: Duration,
    size: u32,
    displaced: bool,
    /// Until when it goes above a greater number of its own name, where its own is the clock's.
    distrusts_until: Option<Duration>,
    /// It is taken for gone, and comes back then.
    back_at: Option<Duration>,
    back_after: Duration,
    back_last: Duration,
    now: Duration,
}

fn settings(size: u32) -> Config {
    let some = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let every = |frequency, n| Some(PeriodicParams { frequency, num_members: some(n) });
    let lan = Config::new_lan(NonZeroU32::new(size).unwrap_or(NonZeroU32::MIN));
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_TIMEOUT,
        remove_down_after: Some(FORGET_DOWN_AFTER),
        max_packet_size: some(MAX_PACKET_BYTES),
        // What is told anew is told at least so often, or a small fleet learns by probes alone.
        max_transmissions: lan.max_transmissions.max(NonZeroU8::new(4).unwrap_or(NonZeroU8::MIN)),
        periodic_announce: every(ANNOUNCE_INTERVAL, 1),
        periodic_announce_to_down_members: every(ANNOUNCE_TO_DOWN_INTERVAL, 1),
        periodic_gossip: every(GOSSIP_INTERVAL, 3),
        ..lan
    }
}

impl Membership {
    /// One that knows nobody yet but where the seeds are: keepers, whose starts it can't know.
    pub fn new(own: Member, seeds: &[(String, SocketAddr)], seed: u64, now: Duration) -> Membership {
        let seeds: Vec<Member> = seeds
            .iter()
            .filter(|(name, _)| *name != own.name)
            .map(|(name, at)| Member {
                name: name.clone(),
                role: Role::ConsensusServer,
                zone: String::new(),
                address: *at,
                build: String::new(),
                format: 0,
                incarnation: 0,
                rejoins: 0,
            })
            .collect();
        let foca = Foca::new(own, settings(MIN_CLUSTER_SIZE), Pcg32::seed_from_u64(seed), PostcardCodec);
        let next_seed = seed as usize % seeds.len().max(1);
        Membership {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            planned: 0,
            seeds,
            next_seed,
            // Hundreds that start at once don't ask at once.
            seek_at: now + MIN_SEED_INTERVAL.mul_f64((seed % 1024) as f64 / 1024.0),
            seek_after: MIN_SEED_INTERVAL,
            size: MIN_CLUSTER_SIZE,
            displaced: false,
            distrusts_until: None,
            back_at: None,
            back_after: MIN_REJOIN_DELAY,
            back_last: now,
            now,
        }
    }

    /// Its incarnation is the clock's, as its folder knew of no earlier start. A clock may have been stepped back since one: a
    /// greater number that others know of its name, at whatever address, is gone above once, as a suspicion is refuted.
    pub fn counts_by_clock(&mut self) {
        self.distrusts_until = Some(self.now + CLOCK_DISTRUSTED);
    }

    /// This process, as others know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Whether a later start holds its name.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// Who is there, without this process; those that are suspected still are.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// How many are there, without this process.
    pub fn alive_count(&self) -> usize {
        self.foca.num_members()
    }

    /// All names that are known, with whether they are there, suspected, or gone.
    pub fn all(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Alive => MemberStatus::Alive,
                State::Suspect => MemberStatus::Suspect,
                State::Down => MemberStatus::Down,
            };
            (member.id(), standing)
        })
    }

    /// When it wants to be called again at the latest; never, once it is displaced.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let seeks = (!self.seeds.is_empty()).then_some(self.seek_at);
        let next = [timer, seeks, self.back_at].into_iter().flatten().min();
        if self.displaced { None } else { next }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.displaced {
            return Vec::new();
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            // What a timer may say is wrong is a cycle that a pause has torn; the next one is whole.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.schedule_timers();
        }
        if self.back_at.is_some_and(|at| now >= at) {
            self.rejoin();
        }
        if now >= self.seek_at {
            self.contact_seed();
        }
        self.adapt_to_size();
        self.drain_actions()
    }

    fn rejoin(&mut self) {
        self.back_at = None;
        let anew = self.now >= self.back_last + REJOIN_BACKOFF_RESET;
        self.back_after =
            if anew { MIN_REJOIN_DELAY } else { (self.back_after * 3 / 2).min(MAX_REJOIN_DELAY) };
        self.back_last = self.now;
        let own = self.local_member().clone();
        let renewed = Member { rejoins: own.rejoins.saturating_add(1), ..own };
        if self.foca.change_identity(renewed, &mut self.runtime).is_ok() {
            self.schedule_timers();
            self.seek_at = self.now;
        }
    }

    /// A datagram has come.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn handle_packet(&mut self, now: Duration, bytes: &[u8]) -> Result<Vec<Action>, PacketRejection> {
        self.now = self.now.max(now);
        if self.displaced {
            return Ok(Vec::new());
        }
        match self.inspect(bytes)? {
            Named::Sound => {}
            Named::Displaces(by) if self.distrusts_until.take().is_some_and(|until| self.now < until) => {
                return Ok(self.raise_incarnation(&by));
            }
            Named::Displaces(by) => {
                self.displaced = true;
                self.timers.clear();
                return Ok(vec![Action::Displaced(by)]);
            }
            Named::Ghost(ghost) => return Ok(self.raise_incarnation(&ghost)),
            Named::Displaced { from, by } => {
                let told = self.displacement_notice(from, by);
                return Ok(told.into_iter().collect());
            }
        }
        if self.back_at.is_some() {
            // Two that take one another for gone would tell one another so without end.
            return Ok(Vec::new());
        }
        match self.foca.handle_data(bytes, &mut self.runtime) {
            Ok(()) => {}
            Err(foca::Error::DataFromOurselves) => return Err(PacketRejection::FromSelf),
            Err(_) => return Err(PacketRejection::Malformed),
        }
        self.schedule_timers();
        self.adapt_to_size();
        Ok(self.drain_actions())
    }

    /// Says that it goes, so that nobody has to find out.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.displaced {
            return Vec::new();
        }
        self.displaced = true;
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.timers.clear();
        self.drain_actions().into_iter().filter(|action| matches!(action, Action::Send(..))).collect()
    }

    /// All that a datagram names is looked at before any of it is believed: foca would have this process declare a later
    /// start of its own name gone, and would keep any number of names.
    fn inspect(&self, mut bytes: &[u8]) -> Result<Named, PacketRejection> {
        let mut codec = PostcardCodec;
        let unreadable = |_| PacketRejection::Malformed;
        let header: Header<Member> = codec.decode_header(&mut bytes).map_err(unreadable)?;
        let mut named = vec![header.src];
        if let Some((count, rest)) = bytes.split_first_chunk::<2>() {
            bytes = rest;
            for _ in 0..u16::from_be_bytes(*count) {
                let member: foca::Member<Member> = codec.decode_member(&mut bytes).map_err(unreadable)?;
                named.push(member.id().clone());
            }
        }
        if !named.iter().all(Member::is_valid) {
            return Err(PacketRejection::Invalid);
        }
        let known = self.foca.iter_membership_state().len();
        if known + named.len() > MAX_MEMBERS
            && named.iter().any(|named| self.all().all(|(known, _)| known.name != named.name))
        {
            return Err(PacketRejection::CapacityExceeded);
        }
        if let Some(by) = named.iter().find(|named| named.displaces(self.local_member())) {
            return Ok(Named::Displaces(by.clone()));
        }
        if let Some(ghost) =
            named.iter().filter(|named| named.is_earlier_start_of(self.local_member())).max()
        {
            return Ok(Named::Ghost(ghost.clone()));
        }
        let from = named.swap_remove(0);
        let by = self.all().find(|(known, _)| known.displaces(&from)).map(|(known, _)| known.clone());
        Ok(by.map_or(Named::Sound, |by| Named::Displaced { from, by }))
    }

    fn raise_incarnation(&mut self, ghost: &Member) -> Vec<Action> {
        let incarnation = ghost.incarnation.saturating_add(1);
        let own = Member { incarnation, rejoins: 0, ..self.local_member().clone() };
        if self.foca.change_identity(own, &mut self.runtime).is_err() {
            return Vec::new();
        }
        self.back_at = None;
        self.seek_at = self.now;
        self.schedule_timers();
        let mut actions = vec![Action::IncarnationRaised(incarnation)];
        actions.extend(self.drain_actions());
        actions
    }

    /// Tells one whose name a later start holds who that is; foca would only tell it that it is gone.
    fn displacement_notice(&self, from: Member, by: Member) -> Option<Action> {
        let (at, mut codec, mut bytes) = (from.address, PostcardCodec, Vec::new());
        let src_incarnation = Default::default();
        let header = Header {
            src: self.local_member().clone(),
            src_incarnation,
            dst: from,
            message: Message::Gossip,
        };
        codec.encode_header(&header, &mut bytes).ok()?;
        bytes.extend(1_u16.to_be_bytes());
        codec.encode_member(&foca::Member::alive(by), &mut bytes).ok()?;
        Some(Action::Send(at, bytes))
    }

    /// Asks the next seed whom it knows.
    fn contact_seed(&mut self) {
        let alone = self.alive_count() == 0;
        self.seek_after =
            if alone { (self.seek_after * 2).min(MAX_SEED_INTERVAL) } else { MIN_SEED_INTERVAL };
        self.seek_at = self.now + if alone { self.seek_after } else { ANNOUNCE_INTERVAL };
        self.next_seed += 1;
        if let Some(seed) = self.seeds.get(self.next_seed % self.seeds.len().max(1)).cloned() {
            let _ = self.foca.announce(seed, &mut self.runtime); // an address can't be wrong before it is sent to
            self.schedule_timers();
        }
    }

    /// Suspicion lasts longer, and news is told more often, in a larger fleet.
    fn adapt_to_size(&mut self) {
        let count = self.alive_count() as u32 + 1;
        let size = count.next_power_of_two().max(MIN_CLUSTER_SIZE);
        if size != self.size && self.foca.set_config(settings(size)).is_ok() {
            self.size = size;
        }
    }

    fn schedule_timers(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.planned += 1;
            self.timers.insert((self.now + after, self.planned), timer);
        }
    }

    fn drain_actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((to, bytes)) = self.runtime.to_send() {
            actions.push(Action::Send(to.address, bytes.to_vec()));
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(member) => actions.push(Action::Joined(member)),
                OwnedNotification::MemberDown(member) => actions.push(Action::Left(member)),
                // The same name, another start: as new, where it is there.
                OwnedNotification::Rename(_, after) if self.alive().any(|alive| *alive == after) => {
                    actions.push(Action::Joined(after));
                }
                OwnedNotification::Defunct if !self.displaced && self.back_at.is_none() => {
                    self.back_at = Some(self.now + self.back_after);
                }
                OwnedNotification::Active if self.local_member().rejoins > 0 => {
                    actions.push(Action::Rejoined)
                }
                _ => {}
            }
        }
        actions
    }
}

/// What a packet's names come to.
enum Named {
    Sound,
    /// This one holds this process's name.
    Displaces(Member),
    /// This one is remembered of this process itself.
    Ghost(Member),
    /// Who has sent it has lost its name to this one.
    Displaced {
        from: Member,
        by: Member,
    },
}

/// How a member stands.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// It answers.
    #[serde(rename = "there")]
    Alive,
    /// It has not answered lately, to nobody who was asked.
    #[serde(rename = "suspected")]
    Suspect,
    /// It is taken for gone, or has said so.
    #[serde(rename = "gone")]
    Down,
}
