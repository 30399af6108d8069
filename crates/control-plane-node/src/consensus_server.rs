//! A keeper's process: the agreement's ticks and messages, its disk, and what it says.

use crate::admin_client::ServerStatus;
use crate::admin_client::{MemberEntry, MemberList, ZoneList, ZoneStatus};
use crate::config::{FleetConfig, keys};
use crate::rollout::{Commanded, Rollouts};
use crate::storage::{Reopened, Storage, retry_after};
use crate::store::{OpenDatabase, Store, StoreError, StoreFile, open_database};
use crate::subscriber::{listen, own, unix_ms};
use crate::transport::Transport;
use curlewhub_control_plane::consensus::{PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::consensus_server::{ConsensusServer, Output};
use curlewhub_control_plane::membership::{Member, MemberStatus, Membership, Role};
use curlewhub_control_plane::protocol::{Envelope, MacKeys, Message, PeerId};
use curlewhub_control_plane::record::{Proposal, RecordKind};
use curlewhub_zone_failover::controller::ZoneController;
use curlewhub_zone_failover::server::ControlServer;
use curlewhub_zone_failover::state_machine::Transition;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::{error, info, warn};

/// Connections that it accepts at once, at the most: as many sidecars and a few operators.
const MAX_ACCEPTED: usize = 16_384;
/// Messages that wait to be dealt with, at the most.
const MAX_INBOX: usize = 8192;
/// Messages dealt with before what they want kept is synced, at the most: one sync for many.
const MAX_BATCH: usize = 64;

struct Process<'a> {
    config: &'a FleetConfig,
    id: u64,
    server: ControlServer,
    rollouts: Rollouts,
    storage: Storage,
    transport: Rc<Transport>,
    began: Instant,
    leader: u64,
}

/// Keeps, until it is dropped. Only where the fleet `begins` may a keeper that is no joining one have an empty folder: later
/// on that is a disk that forgot what it promised, and a promise that is forgotten must not be voted against.
///
/// # Errors
/// What keeps it from starting, by field; or its disk, on which it then no longer relies.
pub async fn run_consensus_server(
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
    let id = config.server_id().ok_or("name: allowed: that of one of `keepers`")?;
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
    kept: PersistedState,
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
        store.claim(id)?;
        let by_clock = !store.has_started()?;
        let incarnation = store.incarnation(unix_ms(config))?;
        let ids: Vec<u64> = config.consensus_servers.iter().map(|keeper| keeper.id).collect();
        let kept = match store.load()? {
            Some(kept) => kept,
            None if config.joins => Replica::joining_state(),
            None if begins => Replica::bootstrap_state(&ids),
            None => return Ok(None),
        };
        store.initialize(&kept)?;
        Ok(Some(Start { store, kept, incarnation, by_clock }))
    }
}

impl<'a> Process<'a> {
    async fn begin(
        config: &'a FleetConfig,
        id: u64,
        keys: MacKeys,
        start: Start,
    ) -> Result<(Process<'a>, mpsc::Receiver<Envelope>), String> {
        let Start { store, kept, incarnation, by_clock } = start;
        let keeper = replica(config, id, &kept, Duration::ZERO)?;
        let (streams, datagrams) = listen(config).await?;
        let who = PeerId { name: config.name.clone(), incarnation };
        let others = config.consensus_servers.iter().filter(|keeper| keeper.id != id);
        let others: Vec<_> = others.map(|keeper| (keeper.name.clone(), keeper.address)).collect();
        let peers = config.peers.iter().map(|peer| (peer.name.clone(), peer.address));
        let seeds: Vec<_> = others.iter().cloned().chain(peers).collect();
        let own = own(config, Role::ConsensusServer, incarnation);
        let mut members = Membership::new(own, &seeds, rand::random(), Duration::ZERO);
        if by_clock {
            members.counts_by_clock();
        }
        let (inbox, heard) = mpsc::channel(MAX_INBOX);
        let from = config.listen.ip();
        let transport = Transport::new(MAX_ACCEPTED, who, keys, from, others.into_iter().collect(), inbox);
        spawn_local(transport.clone().accept(streams));
        spawn_local(transport.clone().receive_datagrams(datagrams));
        let names =
            config.consensus_servers.iter().map(|keeper| (keeper.id, keeper.name.clone())).collect();
        let version = keeper.view().version();
        info!(keeper = id, incarnation, version = version.0, "fleet: keeping");
        let controller = ZoneController::new(&config.name, config.zone_failover.clone());
        let server = ControlServer::new(ConsensusServer::new(keeper, members, names), controller);
        let (rollouts, storage) = (Rollouts::default(), Storage::Serving(store));
        let began = Instant::now();
        Ok((Process { config, id, server, rollouts, storage, transport, began, leader: 0 }, heard))
    }

    async fn run(
        mut self,
        mut heard: mpsc::Receiver<Envelope>,
        mut leave: impl Future<Output = ()> + Unpin,
    ) -> Result<(), String> {
        let mut ticks = interval(TICK_INTERVAL);
        // After a pause one tick is enough: it must hear before it asks for votes.
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut leave => {
                    let outputs = self.server.leave();
                    return self.carry_out(outputs);
                }
                _ = ticks.tick() => {
                    self.reopen()?;
                    let outputs = self.tick();
                    self.carry_out(outputs)?;
                }
                Some(envelope) = heard.recv() => {
                    let mut outputs = self.heard(envelope);
                    while outputs.len() < MAX_BATCH && let Ok(envelope) = heard.try_recv() {
                        outputs.extend(self.heard(envelope));
                    }
                    self.carry_out(outputs)?;
                }
            }
        }
    }

    fn tick(&mut self) -> Vec<Output> {
        let (now, unix_ms) = (self.began.elapsed(), unix_ms(self.config));
        if !self.storage.is_serving() {
            return vec![self.server.consensus.tick(now, unix_ms)];
        }
        let mut outputs = self.server.tick(now, unix_ms);
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
        self.rebuild(&Replica::joining_state())
    }

    /// A replica of what is kept, as after a restart, in place of the one that there was; it stays the member that it is.
    fn rebuild(&mut self, kept: &PersistedState) -> Result<(), String> {
        self.server.consensus.replica = replica(self.config, self.id, kept, self.began.elapsed())?;
        self.server.controller = ZoneController::new(&self.config.name, self.config.zone_failover.clone());
        self.server.transitions.clear();
        self.rollouts = Rollouts::default();
        Ok(())
    }
}

/// The replica of what is kept.
fn replica(config: &FleetConfig, id: u64, kept: &PersistedState, now: Duration) -> Result<Replica, String> {
    Replica::new(id, kept, rand::random(), now)
        .map_err(|e| format!("state_dir: {}: {e}", config.state_dir.display()))
}

/// What a server whose storage has failed answers: what it knows of itself and of members, and that it takes nothing on.
fn refusal(message: Message) -> Option<Message> {
    let why = || "its storage has failed: it takes nothing on".to_owned();
    match message {
        Message::Propose(proposal) => Some(Message::NotDecided { id: proposal.id, why: why() }),
        Message::CommandConfig(command) => Some(Message::NotDecided { id: command.id, why: why() }),
        Message::ChangeVoters { .. } => Some(Message::VoterChangeRejected(why())),
        _ => None,
    }
}

impl Process<'_> {
    fn heard(&mut self, envelope: Envelope) -> Vec<Output> {
        let Envelope { from, message } = envelope;
        match message {
            Message::DescribeServer => {
                vec![says(from.name, Message::Described(self.described().to_json()))]
            }
            Message::ListMembers => vec![says(from.name, Message::Described(self.listed().to_json()))],
            message if !self.storage.is_serving() => match message {
                Message::Membership(_) => {
                    vec![self.server.consensus.handle_message(self.began.elapsed(), &from, message)]
                }
                message => {
                    refusal(message).into_iter().map(|message| says(from.name.clone(), message)).collect()
                }
            },
            Message::ListZones => vec![says(from.name, Message::Described(self.zones().to_json()))],
            Message::ChangeVoters { server: keeper, add } => {
                vec![match self.change(keeper, add, &from.name) {
                    Ok(output) => output,
                    Err(problem) => says(from.name, Message::VoterChangeRejected(problem)),
                }]
            }
            Message::ReportConfig(report) => {
                self.rollouts.reported(self.began.elapsed(), &from, report);
                Vec::new()
            }
            Message::DescribeConfig => {
                let described = self.rollouts.described(self.began.elapsed(), &self.server.consensus);
                vec![says(from.name, Message::Described(described))]
            }
            Message::CommandConfig(command) => {
                match self.rollouts.commanded(&self.server.consensus, &command) {
                    Commanded::Proposes(proposal) => self.propose(&from, proposal),
                    Commanded::Answered(answer) => vec![says(from.name, answer)],
                }
            }
            Message::Propose(Proposal { id, kind: RecordKind::CONFIG, .. }) => {
                let why = "kind: a configuration goes by `fleet config` alone".to_owned();
                vec![says(from.name, Message::NotDecided { id, why })]
            }
            message => self.server.handle_message(self.began.elapsed(), &from, message),
        }
    }

    fn propose(&mut self, from: &PeerId, proposal: Proposal) -> Vec<Output> {
        self.server.handle_message(self.began.elapsed(), from, Message::Propose(proposal))
    }

    /// The next step of a rollout, where this server leads and there is one.
    fn roll_out(&mut self) -> Vec<Output> {
        let Some(proposal) = self.rollouts.tick(self.began.elapsed(), &self.server.consensus) else {
            return Vec::new();
        };
        let own = self.server.consensus.local_member();
        let own = PeerId { name: own.name.clone(), incarnation: own.incarnation };
        self.propose(&own, proposal)
    }

    fn change(&mut self, keeper: u64, add: bool, by: &str) -> Result<Output, String> {
        // Others could not reach one that they don't name.
        if add && self.server.consensus.server_name(keeper).is_none() {
            return Err(format!(
                "`keepers` of {} does not name {keeper}",
                self.server.consensus.local_member().name
            ));
        }
        let keeper_output =
            self.server.consensus.replica.change_voters(keeper, add).map_err(|e| e.to_string())?;
        info!(keeper, add, by, "fleet: keepers change");
        let mut output = Output { replica: keeper_output, ..Output::default() };
        output.replica.messages.push((by.to_owned(), Message::VoterChangeStarted));
        Ok(output)
    }

    /// First all is on disk, then all is said.
    fn carry_out(&mut self, outputs: Vec<Output>) -> Result<(), String> {
        if let Some(why) = self.server.fatal_error() {
            error!(problem = %why, "fleet: ending");
            return Err(why.to_string());
        }
        let mut outputs = outputs;
        if let Err(problem) = self.storage.write(&outputs) {
            self.step_down(&problem)?;
            // Only what it says as a member goes out: nothing of the consensus that it does not remember.
            outputs.iter_mut().for_each(|output| output.replica = Default::default());
        }
        for Transition { zone, from, to, why } in std::mem::take(&mut self.server.transitions) {
            info!(zone, ?from, ?to, why, "fleet: a hall is to move");
        }
        for output in outputs {
            self.say(output);
        }
        let leader = self.server.consensus.replica.leader_id();
        if leader != self.leader {
            self.leader = leader;
            let name = self.server.consensus.server_name(leader).unwrap_or("nobody");
            info!(leader = name, term = self.server.consensus.replica.term(), "fleet: leader");
        }
        Ok(())
    }

    fn say(&self, output: Output) {
        let Output {
            replica: keeper,
            datagrams: whispers,
            joined: up,
            left: down,
            raised_incarnation: outlives,
        } = output;
        outlives.into_iter().for_each(|incarnation| self.transport.set_incarnation(incarnation));
        for (to, bytes) in keeper.raft_messages {
            if let Some(name) = self.server.consensus.server_name(to) {
                self.transport.send(name, None, Message::Raft(bytes));
            }
        }
        for (to, message) in keeper.messages {
            self.transport.send(&to, None, message);
        }
        for (to, message) in whispers {
            self.transport.send_datagram(to, message);
        }
        for member in up {
            self.transport.set_peer_format(&member.name, Some(member.format));
            let Member { name, zone, incarnation, build, .. } = member;
            info!(name, zone, incarnation, build, "fleet: a member is there");
        }
        for member in down {
            self.transport.set_peer_format(&member.name, None);
            let Member { name, zone, incarnation, .. } = member;
            info!(name, zone, incarnation, "fleet: a member is gone");
        }
        for record in &keeper.applied {
            let (key, by) = (&record.proposal.key, &record.proposal.by);
            info!(version = record.version.0, hash = ?record.hash(), term = record.term, key, by, "fleet: decided");
        }
    }

    fn zones(&self) -> ZoneList {
        let (now, controller) = (self.began.elapsed(), &self.server.controller);
        let state_machine = controller.state_machine();
        let of = |name: &str| {
            let (seen, held) =
                (state_machine.signals.statistics(now, name), state_machine.zone_states().zones.get(name));
            let witnesses = state_machine.signals.witnesses(now, name, None);
            ZoneStatus {
                name: name.to_owned(),
                region: state_machine.region(name).unwrap_or_default().to_owned(),
                state: state_machine.zone_states().state(name),
                why: held.map_or(String::new(), |held| held.why.clone()),
                overridden: held.is_some_and(|held| held.overridden),
                calls_per_s: seen.calls_per_s,
                latency_ratio: seen.latency_ratio,
                lost_share: seen.lost_share,
                baseline_per_s: held.map_or(seen.baseline_per_s, |held| held.baseline.calls_per_s),
                peak_per_s: seen.peak_per_s,
                granted_per_s: controller.grants().granted_rate(now, name),
                witnesses: witnesses.all,
                losing: witnesses.losing,
            }
        };
        let known = state_machine
            .signals
            .zones()
            .chain(state_machine.zone_states().zones.keys().map(String::as_str));
        let regions = state_machine.settings().regions.values().flatten().map(String::as_str);
        let members = self.server.consensus.membership().alive().map(|member| &member.zone[..]);
        let names: BTreeSet<&str> =
            known.chain(regions).chain(members).filter(|name| !name.is_empty()).collect();
        ZoneList {
            by: self.server.consensus.local_member().name.clone(),
            is_leader: self.server.consensus.replica.is_leader(),
            version: self.server.consensus.replica.view().version().0,
            zones: names.into_iter().map(of).collect(),
            cut_pairs: state_machine.zone_states().cut_pairs.clone(),
            min_remaining_capacity: state_machine.settings().min_remaining_capacity,
        }
    }

    fn listed(&self) -> MemberList {
        let members = self.server.consensus.membership();
        let of = |member: &Member, standing| MemberEntry { member: member.clone(), status: standing };
        let mut all: Vec<MemberEntry> =
            members.all().map(|(member, standing)| of(member, standing)).collect();
        all.push(of(members.local_member(), MemberStatus::Alive));
        all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        MemberList { by: members.local_member().name.clone(), members: all }
    }

    fn described(&self) -> ServerStatus {
        let (consensus, keeper, own) =
            (&self.server.consensus, &self.server.consensus.replica, self.server.consensus.local_member());
        let traffic = &self.transport.traffic;
        ServerStatus {
            name: own.name.clone(),
            incarnation: own.incarnation,
            is_leader: keeper.is_leader(),
            leader: consensus.server_name(keeper.leader_id()).map(str::to_owned),
            term: keeper.term(),
            voters: sorted(keeper.voters()),
            version: keeper.view().version().0,
            hash: format!("{:?}", keeper.view().hash()),
            records: keeper.view().records().map(crate::admin_client::RecordSummary::of).collect(),
            sidecars: keeper.evidence().sidecar_count(),
            members: consensus.membership().alive_count() + 1,
            sent_bytes: traffic.bytes_sent.get(),
            received_bytes: traffic.bytes_received.get(),
            fenced_messages: consensus.fenced_messages,
            rejected_packets: consensus
                .rejected_packets
                .iter()
                .map(|(why, n)| (why.to_string(), *n))
                .collect(),
            deferred_fetches: keeper.deferred_fetches,
            malformed_messages: keeper.malformed_messages,
            rejected_digests: self.not_taken(),
            dropped: self.transport.dropped.counts().iter().map(|(why, n)| (why.to_string(), *n)).collect(),
            lost: traffic.losses(),
            traffic: traffic.by_kind(),
        }
    }
}

impl Process<'_> {
    /// What sidecars have told that was not taken, by why.
    fn not_taken(&self) -> BTreeMap<String, u64> {
        let digests =
            self.server.consensus.replica.rejected_digests.iter().map(|(why, n)| (why.to_string(), *n));
        let reports = self.rollouts.not_taken.iter();
        let reports = reports.map(|(why, n)| (format!("configuration: {why}"), *n));
        digests.chain(reports).collect()
    }
}

fn says(to: String, message: Message) -> Output {
    let mut output = Output::default();
    output.replica.messages.push((to, message));
    output
}

/// For people, and for who compares them.
fn sorted(keepers: &[u64]) -> Vec<u64> {
    let mut keepers = keepers.to_vec();
    keepers.sort_unstable();
    keepers
}
