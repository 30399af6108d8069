//! The run: takes what is to come in its order, and lets it happen.

use crate::invariants::Invariants;
use crate::network::{Location, Network, Scope};
use crate::spec::{Evidence, SimulationSpec};
use crate::traffic::{LatencyHistogram, Traffic, TrafficTotals};
use curlewhub_control_plane::applied::{AppliedRecords, RecordRejection};
use curlewhub_control_plane::client::{self, ClientSettings, FleetClient};
use curlewhub_control_plane::consensus::{PersistedState, Replica, TICK_INTERVAL};
use curlewhub_control_plane::consensus_server::{self, ConsensusServer};
use curlewhub_control_plane::evidence::{CallCounts, CallOutcome, CallRecorder, Digest};
use curlewhub_control_plane::membership::{Member, Membership, Role};
use curlewhub_control_plane::protocol::{FORMAT, Message, PeerId};
use curlewhub_control_plane::record::{Proposal, RecordKind, Version};
use curlewhub_control_plane::view::View;
use curlewhub_zone_failover::agent;
use curlewhub_zone_failover::controller::ZoneController;
use curlewhub_zone_failover::server::ControlServer;
use curlewhub_zone_failover::state_machine::Transition;
use curlewhub_zone_failover::zone_policy::{self, ZoneAccess, ZonePolicy};
use curlewhub_zone_failover::zone_states;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Messages that wait for one process, at the most, as in the program's inboxes.
const MAX_INBOX: usize = 8192;
/// A frame's bytes beside its words: length, format, key's number and MAC.
const FRAME_OVERHEAD_BYTES: u64 = 41;
/// The clock at the start.
const EPOCH: Duration = Duration::from_secs(100);
/// The proposer's name; it is no process, and reaches every keeper.
const OPERATOR: &str = "operator";

/// What runs in a process.
enum RunningProcess {
    ConsensusServer(Box<ControlServer>),
    Sidecar(Box<Sidecar>),
}

/// What runs in a sidecar.
struct Sidecar {
    agent: agent::Agent,
    witness: CallRecorder,
    acted: AppliedRecords,
}

/// What a process's disk has.
#[derive(Clone, Debug, Default)]
struct Disk {
    kept: PersistedState,
    view: View,
    incarnation: u64,
}

struct Node {
    name: String,
    location: Location,
    at: SocketAddr,
    runs: Option<RunningProcess>,
    disk: Disk,
    paused: bool,
    /// Which start of it; what was planned for an earlier one is void.
    start: u32,
    /// Which of its wakes is the one.
    wake: u64,
    wakes_at: Duration,
    /// Digests of this start.
    sequence: u64,
    told_at: Duration,
    busy_until: Duration,
    waiting: usize,
    /// How long it has been at work.
    worked: Duration,
    traffic: Traffic,
}

enum Event {
    /// It is there, and is dealt with once its process is free.
    Arrives {
        to: usize,
        start: u32,
        from: Rc<PeerId>,
        message: Rc<Message>,
        bytes: u64,
    },
    Processed {
        to: usize,
        start: u32,
        from: Rc<PeerId>,
        message: Rc<Message>,
    },
    Wake {
        node: usize,
        wake: u64,
    },
}

/// What befalls one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is gone; its disk has what it wrote.
    Crash,
    /// It is gone, and its disk with it.
    LoseDisk,
    /// It stands still, and hears what came meanwhile once it goes on.
    Pause,
    /// It goes on, or is started again.
    Recover,
}

/// A fleet that runs.
pub struct Fleet {
    spec: SimulationSpec,
    seed: u64,
    now: Duration,
    draws: Pcg32,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    planned: u64,
    nodes: Vec<Node>,
    numbers: HashMap<String, usize>,
    ats: HashMap<SocketAddr, usize>,
    operator: Rc<PeerId>,
    proposals: u64,
    /// When the last of what was said on a stream comes, by its two sides: it keeps its order.
    streams: HashMap<(usize, usize), Duration>,
    /// The network, which may be changed at any time.
    pub network: Network,
    /// A keeper that has written dies before it has said anything, in this part of all cases.
    pub crash_after_write: f64,
    /// What must hold.
    pub invariants: Invariants,
    /// What has passed since the start, or since it was last set to nothing.
    pub totals: TrafficTotals,
    /// Sidecars' times from a version's decision to holding it.
    pub latencies: LatencyHistogram,
    /// What sidecars may send into halls from now on, by number, since it was last taken; times are since the start.
    pub access: Vec<(usize, Vec<(usize, ZoneAccess)>)>,
    /// Probes that sidecars are to make, since they were last taken: sidecar, hall, how many.
    pub probes: Vec<(usize, usize, u32)>,
    /// Moves that keepers have proposed, and when.
    pub transitions: Vec<(Duration, Transition)>,
}

/// The name of a hall.
pub fn zone_name(zone: usize) -> String {
    format!("hall-{zone}")
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + node as u32), 7400))
}

impl Fleet {
    /// All are started; nothing has passed yet.
    pub fn new(spec: SimulationSpec, seed: u64) -> Fleet {
        let count = spec.consensus_servers.len() + spec.sidecars.len();
        let node = |n: usize| {
            let keepers = spec.consensus_servers.len();
            let (name, zone) = match n.checked_sub(keepers) {
                None => (format!("keeper-{}", n + 1), spec.consensus_servers[n]),
                Some(sidecar) => (format!("sidecar-{sidecar}"), spec.sidecars[sidecar]),
            };
            let location = Location { node: n, zone, region: spec.zones[zone] };
            let first = keepers - spec.joining;
            let ids: Vec<u64> = (1..=first as u64).collect();
            let kept = if n < first { Replica::bootstrap_state(&ids) } else { PersistedState::default() };
            Node {
                name,
                location,
                at: address(n),
                runs: None,
                disk: Disk { kept, ..Disk::default() },
                paused: false,
                start: 0,
                wake: 0,
                wakes_at: Duration::MAX,
                sequence: 0,
                told_at: Duration::ZERO,
                busy_until: Duration::ZERO,
                waiting: 0,
                worked: Duration::ZERO,
                traffic: Traffic::default(),
            }
        };
        let nodes: Vec<Node> = (0..count).map(node).collect();
        let numbers = nodes.iter().enumerate().map(|(n, node)| (node.name.clone(), n)).collect();
        let ats = nodes.iter().enumerate().map(|(n, node)| (node.at, n)).collect();
        let net = spec.network.clone();
        let mut fleet = Fleet {
            spec,
            seed,
            now: EPOCH,
            draws: Pcg32::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            planned: 0,
            nodes,
            numbers,
            ats,
            operator: Rc::new(PeerId { name: OPERATOR.to_owned(), incarnation: 1 }),
            proposals: 0,
            streams: HashMap::new(),
            network: net,
            crash_after_write: 0.0,
            invariants: Invariants::default(),
            totals: TrafficTotals::default(),
            latencies: LatencyHistogram::default(),
            access: Vec::new(),
            probes: Vec::new(),
            transitions: Vec::new(),
        };
        let joining = fleet.consensus_servers() - fleet.spec.joining..fleet.consensus_servers();
        (0..count).filter(|n| !joining.contains(n)).for_each(|n| fleet.start(n));
        fleet
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.now - EPOCH
    }

    /// Processes: keepers first.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Keepers.
    pub fn consensus_servers(&self) -> usize {
        self.spec.consensus_servers.len()
    }

    /// Whether a process runs.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].runs.is_some()
    }

    /// A keeper that runs.
    pub fn consensus(&self, node: usize) -> Option<&ConsensusServer> {
        match &self.nodes[node].runs {
            Some(RunningProcess::ConsensusServer(server)) => Some(&server.consensus),
            _ => None,
        }
    }

    /// A keeper that runs, with its part in halls.
    pub fn server(&self, node: usize) -> Option<&ControlServer> {
        match &self.nodes[node].runs {
            Some(RunningProcess::ConsensusServer(server)) => Some(server),
            _ => None,
        }
    }

    /// A sidecar's part in the fleet that runs.
    pub fn client(&self, node: usize) -> Option<&FleetClient> {
        self.agent(node).map(|agent| &agent.client)
    }

    /// A sidecar's side that runs.
    pub fn agent(&self, node: usize) -> Option<&agent::Agent> {
        match &self.nodes[node].runs {
            Some(RunningProcess::Sidecar(sidecar)) => Some(&sidecar.agent),
            _ => None,
        }
    }

    /// A sidecar's call goes out, as its host sees it, so long after the start; the sidecar is counted without the keepers.
    pub fn call_started(
        &mut self,
        at: Duration,
        sidecar: usize,
        call: (u64, u32),
        zone: usize,
        class: usize,
    ) {
        let (now, n) = (EPOCH + at, self.consensus_servers() + sidecar);
        if let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].runs {
            sidecar.witness.call_started(now, call, zone, class);
        }
    }

    /// It has ended.
    pub fn call_finished(&mut self, sidecar: usize, call: (u64, u32), how: CallOutcome, took: Duration) {
        let n = self.consensus_servers() + sidecar;
        if let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].runs {
            sidecar.witness.call_finished(call, how, took);
        }
    }

    /// A probe that was ordered was answered, or not.
    pub fn probe_finished(&mut self, sidecar: usize, zone: usize, answered: bool) {
        let n = self.consensus_servers() + sidecar;
        if let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].runs {
            sidecar.witness.probe_finished(zone, answered);
        }
    }

    /// How long a process has been at work.
    pub fn busy_time(&self, node: usize) -> Duration {
        self.nodes[node].worked
    }

    /// What a process has sent and received since the start, over all its starts.
    pub fn traffic(&self, node: usize) -> Traffic {
        self.nodes[node].traffic
    }

    /// The keeper that leads, if one does; of several, that of the latest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.consensus(*n).is_some_and(|consensus| consensus.replica.is_leader());
        (0..self.consensus_servers())
            .filter(leads)
            .max_by_key(|n| self.consensus(*n).map(|consensus| consensus.replica.term()))
    }

    /// What a process holds.
    pub fn version(&self, node: usize) -> Version {
        match &self.nodes[node].runs {
            Some(RunningProcess::ConsensusServer(server)) => server.consensus.replica.view().version(),
            Some(RunningProcess::Sidecar(sidecar)) => sidecar.agent.client.view().version(),
            None => self.nodes[node].disk.view.version(),
        }
    }

    /// Starts a process, with what its disk has.
    pub fn start(&mut self, n: usize) {
        let (seed, now) = (self.draws.random(), self.now);
        let keepers: Vec<(String, SocketAddr)> = self.nodes[..self.consensus_servers()]
            .iter()
            .map(|node| (node.name.clone(), node.at))
            .collect();
        let node = &mut self.nodes[n];
        node.start += 1;
        node.disk.incarnation += 1;
        (node.paused, node.waiting, node.busy_until, node.sequence) = (false, 0, now, 0);
        let own = Member {
            name: node.name.clone(),
            role: if n < keepers.len() { Role::ConsensusServer } else { Role::Sidecar },
            zone: zone_name(node.location.zone),
            address: node.at,
            build: String::new(),
            format: FORMAT,
            incarnation: node.disk.incarnation,
            rejoins: 0,
        };
        node.runs = Some(if n < keepers.len() {
            let id = n as u64 + 1;
            // What its own disk kept is read again.
            let keeper = Replica::new(id, &node.disk.kept, seed, now);
            let Ok(keeper) = keeper else {
                node.runs = None;
                return self.invariants.violations.push(format!(
                    "{} can't begin: {:?}",
                    self.nodes[n].name,
                    keeper.err()
                ));
            };
            let names = keepers.iter().zip(1..).map(|((name, _), id)| (id, name.clone())).collect();
            let controller = ZoneController::new(&own.name, self.spec.zone_failover.clone());
            let members = Membership::new(own, &keepers, seed, now);
            RunningProcess::ConsensusServer(Box::new(ControlServer::new(
                ConsensusServer::new(keeper, members, names),
                controller,
            )))
        } else {
            let zones: Vec<String> = (0..self.spec.zones.len()).map(zone_name).collect();
            let seen = self.spec.evidence == Evidence::Seen;
            let (name, zone, rules) = (&own.name, &own.zone, self.spec.zone_failover.clone());
            let part = seen.then(|| ZonePolicy::new(name, zone, zones.clone(), rules));
            let witness = CallRecorder::new(zone, zones);
            let begin = ClientSettings {
                own,
                consensus_servers: keepers,
                peers: Vec::new(),
                view: node.disk.view.clone(),
                seed,
            };
            let mut client = FleetClient::new(begin, now);
            if self.spec.membership {
                client.join(now);
            }
            let agent = agent::Agent::new(client, part, now);
            RunningProcess::Sidecar(Box::new(Sidecar { agent, witness, acted: AppliedRecords::default() }))
        });
        if n >= self.consensus_servers() {
            self.act(n);
        }
        self.plan_wake(n);
    }

    /// Something befalls a process.
    pub fn inject(&mut self, n: usize, trouble: Fault) {
        let node = &mut self.nodes[n];
        match trouble {
            Fault::Crash => node.runs = None,
            Fault::LoseDisk => {
                node.runs = None;
                let incarnation = node.disk.incarnation;
                node.disk = Disk { incarnation, ..Disk::default() };
            }
            Fault::Pause => node.paused = node.runs.is_some(),
            Fault::Recover if node.runs.is_none() => self.start(n),
            Fault::Recover => {
                node.paused = false;
                self.plan_wake(n);
            }
        }
    }

    /// Nothing is cut, lost or late any more, and all run.
    pub fn recover_all(&mut self) {
        self.network = Network { delays: self.network.delays, ..Network::default() };
        self.crash_after_write = 0.0;
        (0..self.count()).for_each(|n| self.inject(n, Fault::Recover));
    }

    /// Cuts what passes from the one to the other.
    pub fn cut(&mut self, from: Scope, to: Scope) {
        self.network.cuts.insert((from, to));
    }

    /// Proposes something to a keeper; its id.
    pub fn propose(&mut self, to: usize) -> u64 {
        self.proposals += 1;
        let id = self.proposals;
        let (key, by) = (format!("note/{}", id % 5), OPERATOR.to_owned());
        let (kind, body, why) = (RecordKind::NOTE, vec![id as u8; 40], String::new());
        self.propose_this(to, Proposal { id, key, kind, body, by, why, expected_version: None });
        id
    }

    /// Proposes to whoever leads, or to any keeper.
    pub fn propose_anywhere(&mut self) -> u64 {
        let to = self.leader().unwrap_or_else(|| self.draws.random_range(0..self.consensus_servers()));
        self.propose(to)
    }

    /// Proposes this to a keeper.
    pub fn propose_this(&mut self, to: usize, proposal: Proposal) {
        let (from, start) = (self.operator.clone(), self.nodes[to].start);
        let at = self.now + Duration::from_micros(500);
        self.plan(
            at,
            Event::Arrives { to, start, from, message: Rc::new(Message::Propose(proposal)), bytes: 200 },
        );
    }

    /// When something is to happen next, since the start.
    pub fn next(&self) -> Option<Duration> {
        self.queue.peek().map(|Reverse((at, _))| at.saturating_sub(EPOCH))
    }

    /// Lets time pass until then, since the start.
    pub fn run_to(&mut self, at: Duration) {
        self.run(at.saturating_sub(self.now()));
    }

    /// Lets so much time pass.
    pub fn run(&mut self, lasts: Duration) {
        let end = self.now + lasts;
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|next| next.0.0 <= end) {
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
        }
        self.now = end;
    }

    /// Lets time pass until something holds; whether it came to that.
    pub fn run_until(&mut self, within: Duration, mut holds: impl FnMut(&Fleet) -> bool) -> bool {
        let end = self.now + within;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run(Duration::from_millis(10).min(end - self.now));
        }
        holds(self)
    }

    fn plan(&mut self, at: Duration, event: Event) {
        self.planned += 1;
        self.queue.push(Reverse((at, self.planned)));
        self.events.insert(self.planned, event);
    }

    /// Plans the next time that a process wants to be called.
    fn plan_wake(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        let at = match &node.runs {
            None => return,
            // Keepers are ticked by their host, evenly.
            Some(RunningProcess::ConsensusServer(_)) => now + TICK_INTERVAL,
            Some(RunningProcess::Sidecar(sidecar)) => sidecar.agent.next_wakeup().max(now),
        };
        // One that is planned early enough looks again by itself.
        if node.wakes_at <= at && node.wakes_at > now {
            return;
        }
        node.wake += 1;
        node.wakes_at = at;
        let wake = node.wake;
        self.plan(at, Event::Wake { node: n, wake });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrives { to, start, from, message, bytes } => {
                self.comes(to, start, from, message, bytes)
            }
            Event::Processed { to, start, from, message } => self.dealt(to, start, &from, &message),
            Event::Wake { node, wake } => self.woken(node, wake),
        }
    }

    /// It waits for its process, which deals with one after another.
    fn comes(&mut self, to: usize, start: u32, from: Rc<PeerId>, message: Rc<Message>, bytes: u64) {
        let (now, cost) = (self.now, self.spec.cost);
        let node = &mut self.nodes[to];
        if node.runs.is_none() || node.start != start {
            return;
        }
        node.traffic.count_received(&message, bytes);
        if node.waiting >= MAX_INBOX {
            self.totals.dropped += 1;
            return;
        }
        let takes = cost.message + cost.kib.mul_f64(bytes as f64 / 1024.0);
        node.waiting += 1;
        node.worked += takes;
        node.busy_until = node.busy_until.max(now) + takes;
        let at = node.busy_until;
        self.plan(at, Event::Processed { to, start, from, message });
    }

    fn dealt(&mut self, to: usize, start: u32, from: &PeerId, message: &Message) {
        let now = self.now;
        let node = &mut self.nodes[to];
        if node.start != start {
            return;
        }
        if node.paused {
            // It lies there until the process goes on.
            let (from, message) = (Rc::new(from.clone()), Rc::new(message.clone()));
            return self.plan(now + TICK_INTERVAL, Event::Processed { to, start, from, message });
        }
        node.waiting = node.waiting.saturating_sub(1);
        match &mut node.runs {
            None => {}
            Some(RunningProcess::ConsensusServer(server)) => {
                let outputs = server.handle_message(now, from, message.clone());
                let dies =
                    self.crash_after_write > 0.0 && self.draws.random::<f64>() < self.crash_after_write;
                self.of_keeper(to, outputs, dies);
            }
            Some(RunningProcess::Sidecar(sidecar)) => {
                let actions = sidecar.agent.handle_message(now, from, message.clone());
                self.of_sidecar(to, actions);
                self.plan_wake(to);
            }
        }
    }

    fn woken(&mut self, n: usize, wake: u64) {
        let (now, unix_ms) = (self.now, self.now.as_millis() as u64);
        let node = &mut self.nodes[n];
        if node.wake != wake || node.paused {
            return;
        }
        node.wakes_at = Duration::MAX;
        match &mut node.runs {
            None => return,
            Some(RunningProcess::ConsensusServer(server)) => {
                let outputs = server.tick(now, unix_ms);
                self.of_keeper(n, outputs, false);
            }
            Some(RunningProcess::Sidecar(sidecar)) => {
                let actions = sidecar.agent.tick(now);
                self.of_sidecar(n, actions);
            }
        }
        self.plan_wake(n);
    }

    /// What a sidecar has seen, or would when all is well: that is told once a second at the most.
    fn tells(&mut self, n: usize) {
        let (now, zone, zones) = (self.now, self.nodes[n].location.zone, self.spec.zones.len());
        let over = now.saturating_sub(self.nodes[n].told_at);
        let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].runs else { return };
        let digest = match self.spec.evidence {
            Evidence::None => None,
            Evidence::Seen => sidecar.witness.take_digest(now, sidecar.agent.renewal_interval()),
            Evidence::Well if over < Duration::from_secs(1) => None,
            Evidence::Well => {
                let calls = CallCounts { served: 3, took_ms: 40, expected_ms: 40, ..CallCounts::default() };
                let rows = (0..zones).map(|zone| (zone_name(zone), calls)).collect();
                (self.nodes[n].told_at, self.nodes[n].sequence) = (now, self.nodes[n].sequence + 1);
                let (sequence, over_ms) = (self.nodes[n].sequence, over.as_millis() as u32);
                let at_ms = now.as_millis() as u64;
                Some(Digest {
                    sequence,
                    sent_at_ms: at_ms,
                    zone: zone_name(zone),
                    interval_ms: over_ms,
                    calls_by_zone: rows,
                })
            }
        };
        let (Some(digest), Some(RunningProcess::Sidecar(sidecar))) = (digest, &mut self.nodes[n].runs)
        else {
            return;
        };
        let actions = sidecar.agent.report_evidence(now, &digest);
        self.of_sidecar(n, actions);
    }

    /// What a sidecar holds is acted on: in the model its disk takes no time.
    fn act(&mut self, n: usize) {
        let now = self.now;
        let Some(RunningProcess::Sidecar(sidecar)) = &mut self.nodes[n].runs else { return };
        sidecar.acted.apply(sidecar.agent.client.view(), |record| match record.proposal.kind {
            RecordKind::ZONE_STATES | RecordKind::FREEZE => {
                zone_states::check(record).map_err(|why| RecordRejection::Invalid(why.to_string()))
            }
            _ => curlewhub_control_plane::applied::check(record),
        });
        let actions = sidecar.agent.apply(now, &sidecar.acted);
        self.of_sidecar(n, actions);
    }

    /// Writes what a keeper wants kept, and only then says what it says; it may die between.
    fn of_keeper(&mut self, n: usize, outputs: Vec<consensus_server::Output>, dies: bool) {
        let (now, name) = (self.now, self.nodes[n].name.clone());
        for output in &outputs {
            self.nodes[n].disk.kept.apply(&output.replica.writes);
            for record in &output.replica.applied {
                self.invariants.applied(now, &name, record);
            }
            if let Some(incarnation) = output.raised_incarnation {
                self.nodes[n].disk.incarnation = incarnation;
            }
        }
        if let Some(RunningProcess::ConsensusServer(server)) = &mut self.nodes[n].runs {
            let since = now - EPOCH;
            self.transitions
                .extend(std::mem::take(&mut server.transitions).into_iter().map(|moved| (since, moved)));
        }
        let ends = self.server(n).and_then(ControlServer::fatal_error).is_some();
        if dies || ends {
            self.nodes[n].runs = None;
            return;
        }
        let from = self.who(n);
        for consensus_server::Output { replica: keeper, datagrams: whispers, .. } in outputs {
            for (to, bytes) in keeper.raft_messages {
                self.say(n, to as usize - 1, &from, Message::Raft(bytes), true);
            }
            for (to, message) in keeper.messages {
                match (self.numbers.get(&to).copied(), &message) {
                    (Some(to), _) => self.say(n, to, &from, message, true),
                    (None, Message::Decided { id, version }) => self.invariants.told(*id, *version),
                    (None, _) => {}
                }
            }
            for (to, message) in whispers {
                self.whisper(n, to, &from, message);
            }
        }
    }

    fn of_sidecar(&mut self, n: usize, actions: Vec<agent::Action>) {
        let (number, from) = (n - self.consensus_servers(), self.who(n));
        for action in actions {
            match action {
                agent::Action::Client(action) => self.of_agent(n, &from, action),
                agent::Action::Policy(zone_policy::Action::AccessChanged(rights)) => {
                    let since_start = |right: ZoneAccess| match right {
                        ZoneAccess::Rate(rate, until) => {
                            ZoneAccess::Rate(rate, until.saturating_sub(EPOCH))
                        }
                        right => right,
                    };
                    let rights = rights
                        .iter()
                        .enumerate()
                        .map(|(zone, (_, right))| (zone, since_start(*right)))
                        .collect();
                    self.access.push((number, rights));
                }
                agent::Action::Policy(zone_policy::Action::Probe(zone, count)) => {
                    let zone = (0..self.spec.zones.len()).find(|known| zone_name(*known) == zone);
                    self.probes.extend(zone.map(|zone| (number, zone, count)));
                }
                agent::Action::Policy(_) => {}
            }
        }
        self.holds(n);
    }

    /// What a sidecar has come to hold is on its disk, and acted on.
    fn holds(&mut self, n: usize) {
        let now = self.now;
        let (before, after) = (self.nodes[n].disk.view.version(), self.version(n));
        if after == before {
            return;
        }
        let Some(RunningProcess::Sidecar(sidecar)) = &self.nodes[n].runs else { return };
        let view = sidecar.agent.client.view().clone();
        self.invariants.holds(&self.nodes[n].name, before, after, view.hash());
        self.nodes[n].disk.view = view;
        for (_, (_, decided)) in self.invariants.contents.range(before.next()..=after) {
            let took = now.saturating_sub(*decided).as_micros() as u64;
            self.latencies.record(took);
        }
        self.act(n);
    }

    fn of_agent(&mut self, n: usize, from: &Rc<PeerId>, action: client::Action) {
        match action {
            client::Action::Send(to, at, message) => {
                let by_at = at.and_then(|at| self.ats.get(&at).copied());
                if let Some(to) = self.numbers.get(&to).copied().or(by_at) {
                    self.say(n, to, from, message, true);
                }
            }
            client::Action::SendDatagram(to, message) => self.whisper(n, to, from, message),
            client::Action::IncarnationRaised(incarnation) => self.nodes[n].disk.incarnation = incarnation,
            client::Action::ReportEvidence => self.tells(n),
            _ => {}
        }
    }

    fn who(&self, n: usize) -> Rc<PeerId> {
        let node = &self.nodes[n];
        Rc::new(PeerId { name: node.name.clone(), incarnation: node.disk.incarnation })
    }

    fn whisper(&mut self, from: usize, to: SocketAddr, who: &Rc<PeerId>, message: Message) {
        if let Some(to) = self.ats.get(&to).copied() {
            self.say(from, to, who, message, false);
        }
    }

    fn say(&mut self, from: usize, to: usize, who: &Rc<PeerId>, message: Message, stream: bool) {
        if to >= self.nodes.len() {
            return;
        }
        let words = size(who, &message);
        let bytes = words + FRAME_OVERHEAD_BYTES;
        self.totals.messages += 1;
        self.totals.bytes += bytes;
        self.nodes[from].traffic.count_sent(&message, bytes);
        let (here, there) = (self.nodes[from].location, self.nodes[to].location);
        let copies = self.network.copies(&here, &there, &mut self.draws);
        let (message, start) = (Rc::new(message), self.nodes[to].start);
        // What breaks streams breaks their order too.
        let ordered = stream && self.network.extra_delay.is_zero();
        for after in copies {
            let mut at = self.now + after;
            if ordered {
                let last = self.streams.entry((from, to)).or_default();
                at = at.max(*last);
                *last = at;
            }
            let (from, message) = (who.clone(), message.clone());
            self.plan(at, Event::Arrives { to, start, from, message, bytes });
        }
    }

    /// Versions that are held by whoever runs.
    pub fn versions(&self) -> std::collections::BTreeSet<Version> {
        (0..self.count()).filter(|n| self.runs(*n)).map(|n| self.version(n)).collect()
    }

    /// The seed that replays this run.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// What was planned altogether: a measure of a run, the same for a seed.
    pub fn planned(&self) -> u64 {
        self.planned
    }

    /// What a process's disk has kept of the agreement: entries.
    pub fn entries(&self, keeper: usize) -> usize {
        self.nodes[keeper].disk.kept.entries.len()
    }

    /// Has a keeper added or removed, by the one that leads.
    ///
    /// # Errors
    /// It does not lead, or the change makes no sense.
    pub fn change(&mut self, leader: usize, keeper: u64, add: bool) -> Result<(), String> {
        let Some(RunningProcess::ConsensusServer(server)) = &mut self.nodes[leader].runs else {
            return Err("it is no keeper that runs".to_owned());
        };
        let keeper = server.consensus.replica.change_voters(keeper, add).map_err(|e| e.to_string())?;
        self.of_keeper(
            leader,
            vec![consensus_server::Output { replica: keeper, ..consensus_server::Output::default() }],
            false,
        );
        Ok(())
    }
}

/// As a message of the two.
fn size(who: &PeerId, message: &Message) -> u64 {
    postcard::experimental::serialized_size(&(who, message)).unwrap_or_default() as u64
}
