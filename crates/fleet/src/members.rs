//! Who is there: membership with failure detection by foca (SWIM: probes, indirect probes, suspicion, incarnations).
//!
//! The host hands it datagrams and the time, and sends what it wants sent. A name is held by one process at a time: the one
//! of the greatest incarnation. One that hears of a greater one under its own name is displaced, and says nothing more.

use crate::record::TEXT_MOST;
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
pub const MEMBERS_MOST: usize = 20_000;
/// Bytes of a packet at the most: with its frame it fits a datagram that no network cuts up.
pub const PACKET_MOST: usize = 1250;
/// One member is probed in each of these ...
const PROBE: Duration = Duration::from_secs(1);
/// ... and asked after by others where it has not answered after this.
const PROBE_ANSWERS: Duration = Duration::from_millis(300);
/// What is new is told so many members in each of these.
const GOSSIP: Duration = Duration::from_millis(200);
/// A member is asked whom it knows this often, and one that is down whether it is there again.
const ANNOUNCE: Duration = Duration::from_secs(10);
const ANNOUNCE_DOWN: Duration = Duration::from_secs(5);
/// A name that is down is remembered for this long.
const REMEMBER: Duration = Duration::from_secs(3600);
/// Who knows nobody asks a seed after this, longer each time up to the most; who knows somebody asks one this often, so that
/// two parts that lost one another meet again.
const SEEK: Duration = Duration::from_millis(200);
const SEEK_MOST: Duration = Duration::from_secs(5);
/// One that is taken for gone comes back after this, longer each time up to the most, and as before once it was there for
/// so long: two parts that meet again take one another for gone a few times over.
const BACK: Duration = Duration::from_millis(100);
const BACK_MOST: Duration = Duration::from_secs(3);
const BACK_ANEW: Duration = Duration::from_secs(10);
/// A start that counts by the clock, as its folder knew of no earlier one, goes above a number of its own name that it meets
/// within this: the time in which whoever is there tells it of that, and who is gone is still taken for there. Once, so that
/// two that do run end with the later one.
const CLOCK_DISTRUSTED: Duration = Duration::from_secs(10);
/// Members that foca's settings are made for at first; they follow the fleet's size by doubling.
const SIZE_LEAST: u32 = 8;

/// What a member is.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Role {
    /// It agrees on versions.
    Keeper,
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
    pub hall: String,
    /// Where others reach it.
    pub at: SocketAddr,
    /// Its build.
    pub build: String,
    /// The newest format of messages that it reads.
    pub format: u8,
    /// Which start of it.
    pub incarnation: u64,
    /// How often this start of it was taken for gone and came back.
    pub renewed: u32,
}

impl Member {
    /// Which of two with one name is the one: the later start, and of one start the later return.
    fn rank(&self) -> (u64, SocketAddr, u32) {
        (self.incarnation, self.at, self.renewed)
    }

    /// Whether another process than this one holds its name, and rightly.
    fn displaces(&self, own: &Member) -> bool {
        self.name == own.name
            && self.at != own.at
            && (self.incarnation, self.at) > (own.incarnation, own.at)
    }

    /// Whether it is what others remember of an earlier start at the very address of this one, which counted itself higher: its
    /// disk has forgotten that, and its clock went back.
    fn is_ghost_of(&self, own: &Member) -> bool {
        self.name == own.name && self.at == own.at && self.incarnation > own.incarnation
    }

    fn is_sensible(&self) -> bool {
        let text = |text: &str| text.len() <= TEXT_MOST;
        !self.name.is_empty() && text(&self.name) && text(&self.hall) && text(&self.build)
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
    Up(Member),
    /// It is not there any more.
    Down(Member),
    /// This process was taken for gone, and is back under the same name.
    Renewed,
    /// A later start holds this process's name: it is a member no more.
    Displaced(Member),
    /// It counts its own start higher than others remember an earlier one: by this number from now on.
    Outlives(u64),
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum NotHeard {
    /// It can't be read.
    #[error("it can't be read")]
    Unreadable,
    /// Somebody that it names can't be.
    #[error("somebody that it names can't be")]
    Senseless,
    /// Too many names.
    #[error("{MEMBERS_MOST} names are known")]
    NoRoom,
    /// It is this process's own, come back.
    #[error("it is this process's own")]
    Own,
}

/// The members, as one of them knows them.
pub struct Members {
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
        probe_period: PROBE,
        probe_rtt: PROBE_ANSWERS,
        remove_down_after: Some(REMEMBER),
        max_packet_size: some(PACKET_MOST),
        // What is told anew is told at least so often, or a small fleet learns by probes alone.
        max_transmissions: lan.max_transmissions.max(NonZeroU8::new(4).unwrap_or(NonZeroU8::MIN)),
        periodic_announce: every(ANNOUNCE, 1),
        periodic_announce_to_down_members: every(ANNOUNCE_DOWN, 1),
        periodic_gossip: every(GOSSIP, 3),
        ..lan
    }
}

impl Members {
    /// One that knows nobody yet but where the seeds are: keepers, whose starts it can't know.
    pub fn new(own: Member, seeds: &[(String, SocketAddr)], seed: u64, now: Duration) -> Members {
        let seeds: Vec<Member> = seeds
            .iter()
            .filter(|(name, _)| *name != own.name)
            .map(|(name, at)| Member {
                name: name.clone(),
                role: Role::Keeper,
                hall: String::new(),
                at: *at,
                build: String::new(),
                format: 0,
                incarnation: 0,
                renewed: 0,
            })
            .collect();
        let foca = Foca::new(own, settings(SIZE_LEAST), Pcg32::seed_from_u64(seed), PostcardCodec);
        let next_seed = seed as usize % seeds.len().max(1);
        Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            planned: 0,
            seeds,
            next_seed,
            // Hundreds that start at once don't ask at once.
            seek_at: now + SEEK.mul_f64((seed % 1024) as f64 / 1024.0),
            seek_after: SEEK,
            size: SIZE_LEAST,
            displaced: false,
            distrusts_until: None,
            back_at: None,
            back_after: BACK,
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
    pub fn own(&self) -> &Member {
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
    pub fn count(&self) -> usize {
        self.foca.num_members()
    }

    /// All names that are known, with whether they are there, suspected, or gone.
    pub fn known(&self) -> impl Iterator<Item = (&Member, Standing)> {
        self.foca.iter_membership_state().map(|member| {
            let standing = match member.state() {
                State::Alive => Standing::There,
                State::Suspect => Standing::Suspected,
                State::Down => Standing::Gone,
            };
            (member.id(), standing)
        })
    }

    /// When it wants to be called again at the latest; never, once it is displaced.
    pub fn next(&self) -> Option<Duration> {
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
            self.plan();
        }
        if self.back_at.is_some_and(|at| now >= at) {
            self.come_back();
        }
        if now >= self.seek_at {
            self.seek();
        }
        self.grow();
        self.actions()
    }

    fn come_back(&mut self) {
        self.back_at = None;
        let anew = self.now >= self.back_last + BACK_ANEW;
        self.back_after = if anew { BACK } else { (self.back_after * 3 / 2).min(BACK_MOST) };
        self.back_last = self.now;
        let own = self.own().clone();
        let renewed = Member { renewed: own.renewed.saturating_add(1), ..own };
        if self.foca.change_identity(renewed, &mut self.runtime).is_ok() {
            self.plan();
            self.seek_at = self.now;
        }
    }

    /// A datagram has come.
    ///
    /// # Errors
    /// Why it is not taken.
    pub fn heard(&mut self, now: Duration, bytes: &[u8]) -> Result<Vec<Action>, NotHeard> {
        self.now = self.now.max(now);
        if self.displaced {
            return Ok(Vec::new());
        }
        match self.looked_through(bytes)? {
            Named::Sound => {}
            Named::Displaces(by) if self.distrusts_until.take().is_some_and(|until| self.now < until) => {
                return Ok(self.outlive(&by));
            }
            Named::Displaces(by) => {
                self.displaced = true;
                self.timers.clear();
                return Ok(vec![Action::Displaced(by)]);
            }
            Named::Ghost(ghost) => return Ok(self.outlive(&ghost)),
            Named::Displaced { from, by } => {
                let told = self.tell_of(from, by);
                return Ok(told.into_iter().collect());
            }
        }
        if self.back_at.is_some() {
            // Two that take one another for gone would tell one another so without end.
            return Ok(Vec::new());
        }
        match self.foca.handle_data(bytes, &mut self.runtime) {
            Ok(()) => {}
            Err(foca::Error::DataFromOurselves) => return Err(NotHeard::Own),
            Err(_) => return Err(NotHeard::Unreadable),
        }
        self.plan();
        self.grow();
        Ok(self.actions())
    }

    /// Says that it goes, so that nobody has to find out.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.displaced {
            return Vec::new();
        }
        self.displaced = true;
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.timers.clear();
        self.actions().into_iter().filter(|action| matches!(action, Action::Send(..))).collect()
    }

    /// All that a datagram names is looked at before any of it is believed: foca would have this process declare a later
    /// start of its own name gone, and would keep any number of names.
    fn looked_through(&self, mut bytes: &[u8]) -> Result<Named, NotHeard> {
        let mut codec = PostcardCodec;
        let unreadable = |_| NotHeard::Unreadable;
        let header: Header<Member> = codec.decode_header(&mut bytes).map_err(unreadable)?;
        let mut named = vec![header.src];
        if let Some((count, rest)) = bytes.split_first_chunk::<2>() {
            bytes = rest;
            for _ in 0..u16::from_be_bytes(*count) {
                let member: foca::Member<Member> = codec.decode_member(&mut bytes).map_err(unreadable)?;
                named.push(member.id().clone());
            }
        }
        if !named.iter().all(Member::is_sensible) {
            return Err(NotHeard::Senseless);
        }
        let known = self.foca.iter_membership_state().len();
        if known + named.len() > MEMBERS_MOST
            && named.iter().any(|named| self.known().all(|(known, _)| known.name != named.name))
        {
            return Err(NotHeard::NoRoom);
        }
        if let Some(by) = named.iter().find(|named| named.displaces(self.own())) {
            return Ok(Named::Displaces(by.clone()));
        }
        if let Some(ghost) = named.iter().filter(|named| named.is_ghost_of(self.own())).max() {
            return Ok(Named::Ghost(ghost.clone()));
        }
        let from = named.swap_remove(0);
        let by = self.known().find(|(known, _)| known.displaces(&from)).map(|(known, _)| known.clone());
        Ok(by.map_or(Named::Sound, |by| Named::Displaced { from, by }))
    }

    fn outlive(&mut self, ghost: &Member) -> Vec<Action> {
        let incarnation = ghost.incarnation.saturating_add(1);
        let own = Member { incarnation, renewed: 0, ..self.own().clone() };
        if self.foca.change_identity(own, &mut self.runtime).is_err() {
            return Vec::new();
        }
        self.back_at = None;
        self.seek_at = self.now;
        self.plan();
        let mut actions = vec![Action::Outlives(incarnation)];
        actions.extend(self.actions());
        actions
    }

    /// Tells one whose name a later start holds who that is; foca would only tell it that it is gone.
    fn tell_of(&self, from: Member, by: Member) -> Option<Action> {
        let (at, mut codec, mut bytes) = (from.at, PostcardCodec, Vec::new());
        let src_incarnation = Default::default();
        let header =
            Header { src: self.own().clone(), src_incarnation, dst: from, message: Message::Gossip };
        codec.encode_header(&header, &mut bytes).ok()?;
        bytes.extend(1_u16.to_be_bytes());
        codec.encode_member(&foca::Member::alive(by), &mut bytes).ok()?;
        Some(Action::Send(at, bytes))
    }

    /// Asks the next seed whom it knows.
    fn seek(&mut self) {
        let alone = self.count() == 0;
        self.seek_after = if alone { (self.seek_after * 2).min(SEEK_MOST) } else { SEEK };
        self.seek_at = self.now + if alone { self.seek_after } else { ANNOUNCE };
        self.next_seed += 1;
        if let Some(seed) = self.seeds.get(self.next_seed % self.seeds.len().max(1)).cloned() {
            let _ = self.foca.announce(seed, &mut self.runtime); // an address can't be wrong before it is sent to
            self.plan();
        }
    }

    /// Suspicion lasts longer, and news is told more often, in a larger fleet.
    fn grow(&mut self) {
        let count = self.count() as u32 + 1;
        let size = count.next_power_of_two().max(SIZE_LEAST);
        if size != self.size && self.foca.set_config(settings(size)).is_ok() {
            self.size = size;
        }
    }

    fn plan(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.planned += 1;
            self.timers.insert((self.now + after, self.planned), timer);
        }
    }

    fn actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((to, bytes)) = self.runtime.to_send() {
            actions.push(Action::Send(to.at, bytes.to_vec()));
        }
        while let Some(note) = self.runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(member) => actions.push(Action::Up(member)),
                OwnedNotification::MemberDown(member) => actions.push(Action::Down(member)),
                // The same name, another start: as new, where it is there.
                OwnedNotification::Rename(_, after) if self.alive().any(|alive| *alive == after) => {
                    actions.push(Action::Up(after));
                }
                OwnedNotification::Defunct if !self.displaced && self.back_at.is_none() => {
                    self.back_at = Some(self.now + self.back_after);
                }
                OwnedNotification::Active if self.own().renewed > 0 => actions.push(Action::Renewed),
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
pub enum Standing {
    /// It answers.
    There,
    /// It has not answered lately, to nobody who was asked.
    Suspected,
    /// It is taken for gone, or has said so.
    Gone,
}
