//! A keeper's process: the agreement's ticks and messages, its disk, and what it says.

use crate::call::Described;
use crate::call::{HallStands, Halls, Known, Listed};
use crate::config::{FleetConfig, keys};
use crate::follower::{listen, own, unix_ms};
use crate::links::Links;
use crate::rollout::{Commanded, Rollouts};
use crate::storage::{Reopened, Storage, retry_after};
use crate::store::{OpenDatabase, Store, StoreError, StoreFile, open_database};
use curlewhub_fleet::keeper::{Keeper, Kept, TICK};
use curlewhub_fleet::members::{Member, Members, Role, Standing};
use curlewhub_fleet::record::{Kind, Proposal};
use curlewhub_fleet::seat::{Output, Seat};
use curlewhub_fleet::wire::{Keys, Message, Said, Who};
use curlewhub_locality::keeping::Keeping;
use curlewhub_locality::machine::Moved;
use curlewhub_locality::warden::Warden;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::{error, info, warn};

/// Connections that it accepts at once, at the most: as many sidecars and a few operators.
const ACCEPTED_MOST: usize = 16_384;
/// Messages that wait to be dealt with, at the most.
const INBOX_MOST: usize = 8192;
/// Messages dealt with before what they want kept is synced, at the most: one sync for many.
const AT_ONCE: usize = 64;

struct Process<'a> {
    config: &'a FleetConfig,
    id: u64,
    keeping: Keeping,
    rollouts: Rollouts,
    storage: Storage,
    links: Rc<Links>,
    began: Instant,
    leader: u64,
}

/// Keeps, until it is dropped. Only where the fleet `begins` may a keeper that is no joining one have an empty folder: later
/// on that is a disk that forgot what it promised, and a promise that is forgotten must not be voted against.
///
/// # Errors
/// What keeps it from starting, by field; or its disk, on which it then no longer relies.
pub async fn keep(
    config: &FleetConfig,
    begins: bool,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    keep_with(config, begins, open_database(), leave).await
}

/// As [`keep`], over databases that are opened so.
///
/// # Errors
/// As [`keep`].
pub async fn keep_with(
    config: &FleetConfig,
    begins: bool,
    open: OpenDatabase,
    leave: impl Future<Output = ()>,
) -> Result<(), String> {
    let id = config.id().ok_or("name: allowed: that of one of `keepers`")?;
    let keys = keys(config)?;
    let mut leave = pin!(leave);
    let start = tokio::select! {
        start = Start::when_storage_serves(config, id, begins, &open) => start?,
        () = &mut leave => return Ok(()),
    };
    let (process, heard) = Process::begin(config, id, keys, start).await?;
    process.run(heard, leave).await
}

/// What a process begins with, all of it durable.
struct Start {
    store: Store,
    kept: Kept,
    incarnation: u64,
    /// Its folder knew of no earlier start: the number is the clock's.
    by_clock: bool,
}

impl Start {
    /// Tries again while the storage fails for a time: a full disk ends no server, not even one that is started on it.
    async fn when_storage_serves(
        config: &FleetConfig,
        id: u64,
        begins: bool,
        open: &OpenDatabase,
    ) -> Result<Start, String> {
        let at = |e: &dyn std::fmt::Display| format!("state_dir: {}: {e}", config.state_dir.display());
        let mut attempts = 0;
        loop {
            match Start::read(config, id, begins, open.clone()) {
                Ok(Some(start)) => return Ok(start),
                Ok(None) => {
                    let why = "it holds nothing: with `--begin` where the fleet is new, else with `joins = true` and a new number";
                    return Err(at(&why));
                }
                Err(problem) if problem.is_transient() => {
                    warn!(%problem, attempts, "fleet: storage fails; not started yet");
                    sleep(retry_after(attempts)).await;
                    attempts += 1;
                }
                Err(problem) => return Err(at(&problem)),
            }
        }
    }

    /// None where it holds nothing, and should.
    fn read(
        config: &FleetConfig,
        id: u64,
        begins: bool,
        open: OpenDatabase,
    ) -> Result<Option<Start>, StoreError> {
        std::fs::create_dir_all(&config.state_dir)?;
        let store = StoreFile::claim(&config.state_dir.join("keeper.redb"), open)?.open_or_create()?;
        store.is_of(id)?;
        let by_clock = !store.has_started()?;
        let incarnation = store.incarnation(unix_ms(config))?;
        let ids: Vec<u64> = config.keepers.iter().map(|keeper| keeper.id).collect();
        let kept = match store.kept()? {
            Some(kept) => kept,
            None if config.joins => Keeper::joining(),
            None if begins => Keeper::first(&ids),
            None => return Ok(None),
        };
        store.begin(&kept)?;
        Ok(Some(Start { store, kept, incarnation, by_clock }))
    }
}

impl<'a> Process<'a> {
    async fn begin(
        config: &'a FleetConfig,
        id: u64,
        keys: Keys,
        start: Start,
    ) -> Result<(Process<'a>, mpsc::Receiver<Message>), String> {
        let Start { store, kept, incarnation, by_clock } = start;
        let keeper = replica(config, id, &kept, Duration::ZERO)?;
        let (streams, datagrams) = listen(config).await?;
        let who = Who { name: config.name.clone(), incarnation };
        let others = config.keepers.iter().filter(|keeper| keeper.id != id);
        let others: Vec<_> = others.map(|keeper| (keeper.name.clone(), keeper.address)).collect();
        let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address));
        let seeds: Vec<_> = others.iter().cloned().chain(peers).collect();
        let own = own(config, Role::Keeper, incarnation);
        let mut members = Members::new(own, &seeds, rand::random(), Duration::ZERO);
        if by_clock {
            members.counts_by_clock();
        }
        let (inbox, heard) = mpsc::channel(INBOX_MOST);
        let from = config.listen.ip();
        let links = Links::new(ACCEPTED_MOST, who, keys, from, others.into_iter().collect(), inbox);
        spawn_local(links.clone().listen(streams));
        spawn_local(links.clone().overhear(datagrams));
        let names = config.keepers.iter().map(|keeper| (keeper.id, keeper.name.clone())).collect();
        let version = keeper.view().version();
        info!(keeper = id, incarnation, version = version.0, "fleet: keeping");
        let warden = Warden::new(&config.name, config.places.clone());
        let keeping = Keeping::new(Seat::new(keeper, members, names), warden);
        let (rollouts, storage) = (Rollouts::default(), Storage::Serving(store));
        let began = Instant::now();
        Ok((Process { config, id, keeping, rollouts, storage, links, began, leader: 0 }, heard))
    }

    async fn run(
        mut self,
        mut heard: mpsc::Receiver<Message>,
        mut leave: impl Future<Output = ()> + Unpin,
    ) -> Result<(), String> {
        let mut ticks = interval(TICK);
        // After a pause one tick is enough: it must hear before it asks for votes.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut leave => {
                    let outputs = self.keeping.leave();
                    return self.carry_out(outputs);
                }
                _ = ticks.tick() => {
                    self.reopen()?;
                    let outputs = self.tick();
                    self.carry_out(outputs)?;
                }
                Some(message) = heard.recv() => {
                    let mut outputs = self.heard(message);
                    while outputs.len() < AT_ONCE && let Ok(message) = heard.try_recv() {
                        outputs.extend(self.heard(message));
                    }
                    self.carry_out(outputs)?;
                }
            }
        }
    }

    fn tick(&mut self) -> Vec<Output> {
        let (now, unix_ms) = (self.began.elapsed(), unix_ms(self.config));
        if !self.storage.is_serving() {
            return vec![self.keeping.seat.tick(now, unix_ms)];
        }
        let mut outputs = self.keeping.tick(now, unix_ms);
        outputs.extend(self.roll_out());
        outputs
    }

    /// Serves again from what is on disk, once it can be written again.
    fn reopen(&mut self) -> Result<(), String> {
        let at = |e: StoreError| format!("state_dir: {}: {e}", self.config.state_dir.display());
        match self.storage.reopen(self.id, Instant::now()).map_err(at) {
            Ok(None) => {}
            Ok(Some(Reopened::Failing(problem))) => warn!(%problem, "fleet: storage still fails"),
            Ok(Some(Reopened::Serving(kept, failed_for))) => {
                self.rebuild(&kept)?;
                let failed_ms = failed_for.as_millis() as u64;
                info!(failed_ms, "fleet: storage reopened");
            }
            Err(problem) => {
                error!(problem, "fleet: ending");
                return Err(problem);
            }
        }
        Ok(())
    }

    /// A write failed: from now on it neither votes nor acknowledges. What its replica has in memory and not on disk was said to
    /// nobody, and is dropped with it.
    fn step_down(&mut self, problem: &StoreError) -> Result<(), String> {
        error!(%problem, "fleet: write failed; stepping down");
        self.storage.fail(Instant::now());
        self.rebuild(&Keeper::joining())
    }

    /// A replica of what is kept, as after a restart, in place of the one that there was; it stays the member that it is.
    fn rebuild(&mut self, kept: &Kept) -> Result<(), String> {
        self.keeping.seat.keeper = replica(self.config, self.id, kept, self.began.elapsed())?;
        self.keeping.warden = Warden::new(&self.config.name, self.config.places.clone());
        self.keeping.moves.clear();
        self.rollouts = Rollouts::default();
        Ok(())
    }
}

/// The replica of what is kept.
fn replica(config: &FleetConfig, id: u64, kept: &Kept, now: Duration) -> Result<Keeper, String> {
    Keeper::new(id, kept, rand::random(), now)
        .map_err(|e| format!("state_dir: {}: {e}", config.state_dir.display()))
}

/// What a server whose storage has failed answers: what it knows of itself and of members, and that it takes nothing on.
fn refusal(said: Said) -> Option<Said> {
    let why = || "its storage has failed: it takes nothing on".to_owned();
    match said {
        Said::Propose(proposal) => Some(Said::NotDecided { id: proposal.id, why: why() }),
        Said::CommandConfig(command) => Some(Said::NotDecided { id: command.id, why: why() }),
        Said::Change { .. } => Some(Said::NotChanging(why())),
        _ => None,
    }
}

impl Process<'_> {
    fn heard(&mut self, message: Message) -> Vec<Output> {
        let Message { from, said } = message;
        match said {
            Said::Describe => vec![says(from.name, Said::Described(self.described().to_json()))],
            Said::ListMembers => vec![says(from.name, Said::Described(self.listed().to_json()))],
            said if !self.storage.is_serving() => match said {
                Said::Members(_) => vec![self.keeping.seat.heard(self.began.elapsed(), &from, said)],
                said => refusal(said).into_iter().map(|said| says(from.name.clone(), said)).collect(),
            },
            Said::ListHalls => vec![says(from.name, Said::Described(self.halls().to_json()))],
            Said::Change { keeper, add } => vec![match self.change(keeper, add, &from.name) {
                Ok(output) => output,
                Err(problem) => says(from.name, Said::NotChanging(problem)),
            }],
            Said::ReportConfig(report) => {
                self.rollouts.reported(self.began.elapsed(), &from, report);
                Vec::new()
            }
            Said::DescribeConfig => {
                let described = self.rollouts.described(self.began.elapsed(), &self.keeping.seat);
                vec![says(from.name, Said::Described(described))]
            }
            Said::CommandConfig(command) => match self.rollouts.commanded(&self.keeping.seat, &command) {
                Commanded::Proposes(proposal) => self.propose(&from, proposal),
                Commanded::Answered(answer) => vec![says(from.name, answer)],
            },
            Said::Propose(Proposal { id, kind: Kind::CONFIG, .. }) => {
                let why = "kind: a configuration goes by `fleet config` alone".to_owned();
                vec![says(from.name, Said::NotDecided { id, why })]
            }
            said => self.keeping.heard(self.began.elapsed(), &from, said),
        }
    }

    fn propose(&mut self, from: &Who, proposal: Proposal) -> Vec<Output> {
        self.keeping.heard(self.began.elapsed(), from, Said::Propose(proposal))
    }

    /// The next step of a rollout, where this server leads and there is one.
    fn roll_out(&mut self) -> Vec<Output> {
        let Some(proposal) = self.rollouts.tick(self.began.elapsed(), &self.keeping.seat) else {
            return Vec::new();
        };
        let own = self.keeping.seat.own();
        let own = Who { name: own.name.clone(), incarnation: own.incarnation };
        self.propose(&own, proposal)
    }

    fn change(&mut self, keeper: u64, add: bool, by: &str) -> Result<Output, String> {
        // Others could not reach one that they don't name.
        if add && self.keeping.seat.name(keeper).is_none() {
            return Err(format!("`keepers` of {} does not name {keeper}", self.keeping.seat.own().name));
        }
        let keeper_output = self.keeping.seat.keeper.change(keeper, add).map_err(|e| e.to_string())?;
        info!(keeper, add, by, "fleet: keepers change");
        let mut output = Output { keeper: keeper_output, ..Output::default() };
        output.keeper.said.push((by.to_owned(), Said::Changing));
        Ok(output)
    }

    /// First all is on disk, then all is said.
    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), String> {
        if let Some(why) = self.keeping.ends() {
            error!(problem = %why, "fleet: ending");
            return Err(why.to_string());
        }
        let mut outputs = outputs;
        if let Err(problem) = self.storage.write(&outputs) {
            self.step_down(&problem)?;
            // Only what it says as a member goes out: nothing of the consensus that it does not remember.
            outputs.iter_mut().for_each(|output| output.keeper = Default::default());
        }
        for Moved { hall, from, to, why } in std::mem::take(&mut self.keeping.moves) {
            info!(hall, ?from, ?to, why, "fleet: a hall is to move");
        }
        for output in outputs {
            self.say(output);
        }
        let leader = self.keeping.seat.keeper.leader();
        if leader != self.leader {
            self.leader = leader;
            let name = self.keeping.seat.name(leader).unwrap_or("nobody");
            info!(leader = name, term = self.keeping.seat.keeper.term(), "fleet: leader");
        }
        Ok(())
    }

    fn say(&self, output: Output) {
        let Output { keeper, whispers, up, down, outlives } = output;
        outlives.into_iter().for_each(|incarnation| self.links.is(incarnation));
        for (to, bytes) in keeper.agreement {
            if let Some(name) = self.keeping.seat.name(to) {
                self.links.say(name, None, Said::Agreement(bytes));
            }
        }
        for (to, said) in keeper.said {
            self.links.say(&to, None, said);
        }
        for (to, said) in whispers {
            self.links.whisper(to, said);
        }
        for member in up {
            self.links.member(&member.name, Some(member.format));
            let Member { name, hall, incarnation, build, .. } = member;
            info!(name, hall, incarnation, build, "fleet: a member is there");
        }
        for member in down {
            self.links.member(&member.name, None);
            let Member { name, hall, incarnation, .. } = member;
            info!(name, hall, incarnation, "fleet: a member is gone");
        }
        for record in &keeper.applied {
            let (key, by) = (&record.proposal.key, &record.proposal.by);
            info!(version = record.version.0, hash = ?record.hash(), term = record.term, key, by, "fleet: decided");
        }
    }

    fn halls(&self) -> Halls {
        let (now, warden) = (self.began.elapsed(), &self.keeping.warden);
        let machine = warden.machine();
        let of = |name: &str| {
            let (seen, held) = (machine.signals.now(now, name), machine.places().halls.get(name));
            let witnesses = machine.signals.witnesses(now, name, None);
            HallStands {
                name: name.to_owned(),
                region: machine.region(name).unwrap_or_default().to_owned(),
                state: machine.places().state(name),
                why: held.map_or(String::new(), |held| held.why.clone()),
                by_hand: held.is_some_and(|held| held.by_hand),
                calls_per_s: seen.calls_per_s,
                stretch: seen.stretch,
                lost: seen.lost,
                bore_per_s: held.map_or(seen.before_per_s, |held| held.before.calls_per_s),
                most_per_s: seen.most_per_s,
                granted_per_s: warden.grants().out(now, name),
                witnesses: witnesses.all,
                losing: witnesses.losing,
            }
        };
        let known = machine.signals.halls().chain(machine.places().halls.keys().map(String::as_str));
        let regions = machine.rules().regions.values().flatten().map(String::as_str);
        let members = self.keeping.seat.members().alive().map(|member| &member.hall[..]);
        let names: BTreeSet<&str> =
            known.chain(regions).chain(members).filter(|name| !name.is_empty()).collect();
        Halls {
            by: self.keeping.seat.own().name.clone(),
            leads: self.keeping.seat.keeper.leads(),
            version: self.keeping.seat.keeper.view().version().0,
            halls: names.into_iter().map(of).collect(),
            cut: machine.places().cut.clone(),
            floor: machine.rules().floor,
        }
    }

    fn listed(&self) -> Listed {
        let members = self.keeping.seat.members();
        let of = |member: &Member, standing| Known { member: member.clone(), standing };
        let mut all: Vec<Known> = members.known().map(|(member, standing)| of(member, standing)).collect();
        all.push(of(members.own(), Standing::There));
        all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        Listed { by: members.own().name.clone(), members: all }
    }

    fn described(&self) -> Described {
        let (seat, keeper, own) = (&self.keeping.seat, &self.keeping.seat.keeper, self.keeping.seat.own());
        let traffic = &self.links.traffic;
        Described {
            name: own.name.clone(),
            incarnation: own.incarnation,
            leads: keeper.leads(),
            leader: seat.name(keeper.leader()).map(str::to_owned),
            term: keeper.term(),
            keepers: sorted(keeper.keepers()),
            version: keeper.view().version().0,
            hash: format!("{:?}", keeper.view().hash()),
            records: keeper.view().records().map(crate::call::Line::of).collect(),
            sidecars: keeper.evidence().sidecars(),
            members: seat.members().count() + 1,
            said_bytes: traffic.out.get(),
            heard_bytes: traffic.come.get(),
            fenced: seat.fenced,
            not_heard: seat.not_heard.iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            put_off: keeper.put_off,
            unread: keeper.unread,
            not_taken: self.not_taken(),
            dropped: self.links.drops.counts().iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            lost: traffic.losses(),
            traffic: traffic.by_kind(),
        }
    }
}

impl Process<'_> {
    /// What sidecars have told that was not taken, by why.
    fn not_taken(&self) -> BTreeMap<String, u64> {
        let digests = self.keeping.seat.keeper.not_taken.iter().map(|(why, n)| (why.to_string(), *n));
        let reports = self.rollouts.not_taken.iter();
        let reports = reports.map(|(why, n)| (format!("configuration: {why}"), *n));
        digests.chain(reports).collect()
    }
}

fn says(to: String, said: Said) -> Output {
    let mut output = Output::default();
    output.keeper.said.push((to, said));
    output
}

/// For people, and for who compares them.
fn sorted(keepers: &[u64]) -> Vec<u64> {
    let mut keepers = keepers.to_vec();
    keepers.sort_unstable();
    keepers
}
