//! The membership of one process: drives foca, and decides on names that two processes claim.

use super::foca_config::foca_config;
use super::member::{Member, MemberStatus};
use super::packet::{MAX_MEMBERS, PacketRejection, decode_members, encode_update};
use super::rejoin::RejoinBackoff;
use super::seeds::Seeds;
use foca::{AccumulatingRuntime, Foca, OwnedNotification, PostcardCodec, State, Timer};
use rand_pcg_of_foca::Pcg32;
use rand_pcg_of_foca::rand_core::SeedableRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a process whose incarnation comes from the clock gives way to no greater incarnation of its name, but raises its
/// own above it, once. In this time every live process tells it what it remembers of the name, and an earlier start that
/// was killed still counts as alive. It is once only, so that of two processes that do run one prevails.
const CLOCK_DISTRUST_PERIOD: Duration = Duration::from_secs(10);
/// The fleet size that foca is configured for at first. It follows the fleet in powers of two.
const MIN_CLUSTER_SIZE: u32 = 8;

/// What the host is to do, or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram to this address.
    Send(SocketAddr, Vec<u8>),
    /// A member is alive, or alive with a new incarnation.
    Joined(Member),
    /// A member is down.
    Left(Member),
    /// This process was declared down, and has rejoined.
    Rejoined,
    /// A later incarnation has taken over this process's name: it is no member any more.
    Displaced(Member),
    /// This process has raised its incarnation above that of an earlier start. The host must use the new number.
    IncarnationRaised(u64),
}

/// Whether this process takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Participation {
    Active,
    /// It was declared down and rejoins at this time.
    AwaitingRejoin(Duration),
    /// It was displaced or has left.
    Ended,
}

/// What the members in a packet mean for this process.
enum PacketVerdict {
    /// Foca can handle it.
    Accept,
    /// This member has taken over this process's name.
    Displaced(Member),
    /// This is an earlier start of this process.
    EarlierStart(Member),
    /// The sender has lost its name to `displaced_by`.
    SenderDisplaced { sender: Member, displaced_by: Member },
}

/// The members as this process knows them.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, Pcg32, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    /// By due time and a sequence number, which keeps timers of the same time in order.
    timers: BTreeMap<(Duration, u64), Timer<Member>>,
    timer_sequence: u64,
    seeds: Seeds,
    cluster_size: u32,
    participation: Participation,
    /// See [`CLOCK_DISTRUST_PERIOD`]; none for an incarnation that is no clock's, and once it was used.
    distrust_clock_until: Option<Duration>,
    rejoin_backoff: RejoinBackoff,
    now: Duration,
}

impl Membership {
    /// A membership that knows no member yet, and contacts `seeds`, which are names and addresses.
    pub fn new(own: Member, seeds: &[(String, SocketAddr)], seed: u64, now: Duration) -> Membership {
        let seeds = Seeds::new(&own.name, seeds, seed, now);
        let rng = Pcg32::seed_from_u64(seed);
        Membership {
            foca: Foca::new(own, foca_config(MIN_CLUSTER_SIZE), rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_sequence: 0,
            seeds,
            cluster_size: MIN_CLUSTER_SIZE,
            participation: Participation::Active,
            distrust_clock_until: None,
            rejoin_backoff: RejoinBackoff::new(now),
            now,
        }
    }

    /// States that the incarnation comes from the clock, as no earlier start is known. The clock may have been stepped back
    /// since an earlier start: if others know a greater incarnation of the name, at any address, the own one is raised above
    /// it once, as SWIM refutes a suspicion.
    pub fn counts_by_clock(&mut self) {
        self.distrust_clock_until = Some(self.now + CLOCK_DISTRUST_PERIOD);
    }

    /// This process as others know it.
    pub fn local_member(&self) -> &Member {
        self.foca.identity()
    }

    /// Whether the process was displaced, or has left.
    pub fn is_displaced(&self) -> bool {
        self.participation == Participation::Ended
    }

    /// The other members that are alive, suspected ones included.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(foca::Member::id)
    }

    /// The number of [`Membership::alive`].
    pub fn alive_count(&self) -> usize {
        self.foca.num_members()
    }

    /// All names that are stored, with their status.
    pub fn all(&self) -> impl Iterator<Item = (&Member, MemberStatus)> {
        self.foca.iter_membership_state().map(|member| {
            let status = match member.state() {
                State::Alive => MemberStatus::Alive,
                State::Suspect => MemberStatus::Suspect,
                State::Down => MemberStatus::Down,
            };
            (member.id(), status)
        })
    }

    /// When [`Membership::tick`] is next due; never once the process is displaced or has left.
    pub fn next_wakeup(&self) -> Option<Duration> {
        let timer = self.timers.first_key_value().map(|((at, _), _)| *at);
        let rejoin = match self.participation {
            Participation::Ended => return None,
            Participation::AwaitingRejoin(at) => Some(at),
            Participation::Active => None,
        };
        [timer, self.seeds.next_contact(), rejoin].into_iter().flatten().min()
    }

    /// Runs the timers that are due, rejoins and contacts seeds.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.is_displaced() {
            return Vec::new();
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            // An error means that a pause of the process has broken a probe cycle; the next cycle is complete.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.schedule_timers();
        }
        if matches!(self.participation, Participation::AwaitingRejoin(at) if now >= at) {
            self.rejoin();
        }
        if self.seeds.is_due(now) {
            self.contact_seed();
        }
        self.adapt_to_cluster_size();
        self.drain_actions()
    }

    fn rejoin(&mut self) {
        self.participation = Participation::Active;
        self.rejoin_backoff.rejoined(self.now);
        let own = self.local_member().clone();
        let rejoined = Member { rejoins: own.rejoins.saturating_add(1), ..own };
        if self.foca.change_identity(rejoined, &mut self.runtime).is_ok() {
            self.schedule_timers();
            self.seeds.contact_now(self.now);
        }
    }

    /// Handles a datagram.
    ///
    /// # Errors
    /// It is rejected.
    pub fn handle_packet(&mut self, now: Duration, bytes: &[u8]) -> Result<Vec<Action>, PacketRejection> {
        self.now = self.now.max(now);
        if self.is_displaced() {
            return Ok(Vec::new());
        }
        match self.inspect(bytes)? {
            PacketVerdict::Accept => {}
            PacketVerdict::Displaced(by) if self.takes_distrust_of_clock() => {
                return Ok(self.raise_incarnation(&by));
            }
            PacketVerdict::Displaced(by) => {
                self.participation = Participation::Ended;
                self.timers.clear();
                return Ok(vec![Action::Displaced(by)]);
            }
            PacketVerdict::EarlierStart(earlier) => return Ok(self.raise_incarnation(&earlier)),
            PacketVerdict::SenderDisplaced { sender, displaced_by } => {
                return Ok(self.displacement_notice(sender, displaced_by).into_iter().collect());
            }
        }
        if matches!(self.participation, Participation::AwaitingRejoin(_)) {
            // Two processes that have declared each other down would otherwise tell each other so without end.
            return Ok(Vec::new());
        }
        match self.foca.handle_data(bytes, &mut self.runtime) {
            Ok(()) => {}
            Err(foca::Error::DataFromOurselves) => return Err(PacketRejection::FromSelf),
            Err(_) => return Err(PacketRejection::Malformed),
        }
        self.schedule_timers();
        self.adapt_to_cluster_size();
        Ok(self.drain_actions())
    }

    /// Leaves the fleet. The actions inform other members, so that they need not detect a failure.
    pub fn leave(&mut self) -> Vec<Action> {
        if self.is_displaced() {
            return Vec::new();
        }
        self.participation = Participation::Ended;
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.timers.clear();
        self.drain_actions().into_iter().filter(|action| matches!(action, Action::Send(..))).collect()
    }

    /// Checks all members in a packet before foca handles it. Foca would let this process declare a later start of its own
    /// name down, and would store any number of names.
    fn inspect(&self, bytes: &[u8]) -> Result<PacketVerdict, PacketRejection> {
        let mut members = decode_members(bytes)?;
        let known_count = self.foca.iter_membership_state().len();
        let is_new = |member: &Member| self.all().all(|(known, _)| known.name != member.name);
        if known_count + members.len() > MAX_MEMBERS && members.iter().any(is_new) {
            return Err(PacketRejection::CapacityExceeded);
        }
        let own = self.local_member();
        if let Some(by) = members.iter().find(|member| member.displaces(own)) {
            return Ok(PacketVerdict::Displaced(by.clone()));
        }
        if let Some(earlier) = members.iter().filter(|member| member.is_earlier_start_of(own)).max() {
            return Ok(PacketVerdict::EarlierStart(earlier.clone()));
        }
        let sender = members.swap_remove(0);
        let displaced_by = self.all().find(|(known, _)| known.displaces(&sender));
        Ok(match displaced_by {
            Some((by, _)) => PacketVerdict::SenderDisplaced { displaced_by: by.clone(), sender },
            None => PacketVerdict::Accept,
        })
    }

    /// Whether the clock is distrusted, which holds for one use only.
    fn takes_distrust_of_clock(&mut self) -> bool {
        self.distrust_clock_until.take().is_some_and(|until| self.now < until)
    }

    fn raise_incarnation(&mut self, above: &Member) -> Vec<Action> {
        let incarnation = above.incarnation.saturating_add(1);
        let own = Member { incarnation, rejoins: 0, ..self.local_member().clone() };
        if self.foca.change_identity(own, &mut self.runtime).is_err() {
            return Vec::new();
        }
        self.participation = Participation::Active;
        self.seeds.contact_now(self.now);
        self.schedule_timers();
        let mut actions = vec![Action::IncarnationRaised(incarnation)];
        actions.extend(self.drain_actions());
        actions
    }

    /// Informs a process that its name belongs to another one. Foca would only inform it that it is down.
    fn displacement_notice(&self, sender: Member, displaced_by: Member) -> Option<Action> {
        let address = sender.address;
        let bytes = encode_update(self.local_member(), sender, displaced_by)?;
        Some(Action::Send(address, bytes))
    }

    fn contact_seed(&mut self) {
        let is_alone = self.alive_count() == 0;
        if let Some(seed) = self.seeds.take_next(self.now, is_alone) {
            // It can't fail: an address is only used when the datagram is sent.
            let _ = self.foca.announce(seed, &mut self.runtime);
            self.schedule_timers();
        }
    }

    fn adapt_to_cluster_size(&mut self) {
        let count = self.alive_count() as u32 + 1;
        let size = count.next_power_of_two().max(MIN_CLUSTER_SIZE);
        if size != self.cluster_size && self.foca.set_config(foca_config(size)).is_ok() {
            self.cluster_size = size;
        }
    }

    fn schedule_timers(&mut self) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_sequence += 1;
            self.timers.insert((self.now + after, self.timer_sequence), timer);
        }
    }

    fn drain_actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some((to, bytes)) = self.runtime.to_send() {
            actions.push(Action::Send(to.address, bytes.to_vec()));
        }
        while let Some(notification) = self.runtime.to_notify() {
            actions.extend(self.handle_notification(notification));
        }
        actions
    }

    fn handle_notification(&mut self, notification: OwnedNotification<Member>) -> Option<Action> {
        match notification {
            OwnedNotification::MemberUp(member) => Some(Action::Joined(member)),
            OwnedNotification::MemberDown(member) => Some(Action::Left(member)),
            // The name has a new incarnation, which counts as a new member if it is alive.
            OwnedNotification::Rename(_, renamed) => {
                let is_alive = self.alive().any(|alive| *alive == renamed);
                is_alive.then_some(Action::Joined(renamed))
            }
            OwnedNotification::Defunct => {
                if self.participation == Participation::Active {
                    let rejoin_at = self.now + self.rejoin_backoff.delay();
                    self.participation = Participation::AwaitingRejoin(rejoin_at);
                }
                None
            }
            OwnedNotification::Active => (self.local_member().rejoins > 0).then_some(Action::Rejoined),
            _ => None,
        }
    }
}
