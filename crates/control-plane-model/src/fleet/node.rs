//! A simulated process and its disk, and how it is started.

use super::{Fleet, zone_name};
use crate::network::Location;
use crate::spec::{Evidence, SimulationSpec};
use crate::traffic::Traffic;
use curlewhub_control_plane::applied::AppliedRecords;
use curlewhub_control_plane::client::{ClientSettings, FleetClient};
use curlewhub_control_plane::consensus::{PersistedState, Replica};
use curlewhub_control_plane::consensus_server::ConsensusServer;
use curlewhub_control_plane::evidence::CallRecorder;
use curlewhub_control_plane::membership::{Member, Membership, Role};
use curlewhub_control_plane::protocol::FORMAT;
use curlewhub_control_plane::view::View;
use curlewhub_zone_failover::agent;
use curlewhub_zone_failover::controller::ZoneController;
use curlewhub_zone_failover::server::ControlServer;
use curlewhub_zone_failover::zone_policy::ZonePolicy;
use rand::Rng;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The program that runs in a process.
pub(super) enum RunningProcess {
    ConsensusServer(Box<ControlServer>),
    Sidecar(Box<Sidecar>),
}

/// The control plane's part of a sidecar, and what records its calls.
pub(super) struct Sidecar {
    pub(super) agent: agent::Agent,
    pub(super) recorder: CallRecorder,
    pub(super) applied: AppliedRecords,
}

/// What survives a crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Disk {
    /// The raft state of a consensus server.
    pub(super) raft: PersistedState,
    /// The cached view of a sidecar.
    pub(super) view: View,
    pub(super) incarnation: u64,
}

/// A process, whether it runs or not.
pub(super) struct Node {
    pub(super) name: String,
    pub(super) location: Location,
    pub(super) address: SocketAddr,
    pub(super) process: Option<RunningProcess>,
    pub(super) disk: Disk,
    pub(super) paused: bool,
    /// How often it was started. Events that were scheduled for an earlier start are void.
    pub(super) generation: u32,
    /// The wake-up that counts; earlier ones are void.
    pub(super) wakeup: u64,
    /// When that is due; `Duration::MAX` if none is scheduled.
    pub(super) wakes_at: Duration,
    /// Digests of invented evidence sent since this start.
    pub(super) digest_sequence: u64,
    /// When the last of them was sent.
    pub(super) digest_sent_at: Duration,
    /// When it will have processed all messages that have arrived.
    pub(super) busy_until: Duration,
    /// Messages that have arrived and are not processed.
    pub(super) queued: usize,
    pub(super) busy_time: Duration,
    pub(super) traffic: Traffic,
}

impl Node {
    /// A process that was never started. The disks of the initial voters hold the bootstrapped raft state.
    pub(super) fn new(n: usize, spec: &SimulationSpec) -> Node {
        let servers = spec.consensus_servers.len();
        // These names stand in reports and fixtures.
        let (name, zone) = match n.checked_sub(servers) {
            None => (format!("keeper-{}", n + 1), spec.consensus_servers[n]),
            Some(sidecar) => (format!("sidecar-{sidecar}"), spec.sidecars[sidecar]),
        };
        let initial_voters = servers - spec.joining;
        let ids: Vec<u64> = (1..=initial_voters as u64).collect();
        let raft =
            if n < initial_voters { Replica::bootstrap_state(&ids) } else { PersistedState::default() };
        Node {
            name,
            location: Location { node: n, zone, region: spec.zones[zone] },
            address: SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + n as u32), 7400)),
            process: None,
            disk: Disk { raft, ..Disk::default() },
            paused: false,
            generation: 0,
            wakeup: 0,
            wakes_at: Duration::MAX,
            digest_sequence: 0,
            digest_sent_at: Duration::ZERO,
            busy_until: Duration::ZERO,
            queued: 0,
            busy_time: Duration::ZERO,
            traffic: Traffic::default(),
        }
    }

    /// Resets what a process loses with its memory.
    fn begin_generation(&mut self, now: Duration) {
        self.generation += 1;
        self.disk.incarnation += 1;
        self.paused = false;
        self.queued = 0;
        self.busy_until = now;
        self.digest_sequence = 0;
    }

    fn member(&self, role: Role) -> Member {
        Member {
            name: self.name.clone(),
            role,
            zone: zone_name(self.location.zone),
            address: self.address,
            build: String::new(),
            format: FORMAT,
            incarnation: self.disk.incarnation,
            rejoins: 0,
        }
    }
}

impl Fleet {
    /// Starts a process from what its disk has. A consensus server that cannot start is a violation.
    pub fn start(&mut self, n: usize) {
        let seed: u64 = self.draws.random();
        self.nodes[n].begin_generation(self.now);
        let servers: Vec<(String, SocketAddr)> = self.nodes[..self.consensus_servers()]
            .iter()
            .map(|node| (node.name.clone(), node.address))
            .collect();
        if n < servers.len() {
            let Some(server) = self.new_server(n, &servers, seed) else { return };
            self.nodes[n].process = Some(RunningProcess::ConsensusServer(Box::new(server)));
        } else {
            let sidecar = self.new_sidecar(n, servers, seed);
            self.nodes[n].process = Some(RunningProcess::Sidecar(Box::new(sidecar)));
            self.apply_view(n);
        }
        self.schedule_wakeup(n);
    }

    fn new_server(
        &mut self,
        n: usize,
        servers: &[(String, SocketAddr)],
        seed: u64,
    ) -> Option<ControlServer> {
        let node = &mut self.nodes[n];
        let replica = match Replica::new(n as u64 + 1, &node.disk.raft, seed, self.now) {
            Ok(replica) => replica,
            Err(error) => {
                node.process = None;
                self.invariants.violations.push(format!("{} cannot start: {error}", node.name));
                return None;
            }
        };
        let own = node.member(Role::ConsensusServer);
        let names = servers.iter().zip(1..).map(|((name, _), id)| (id, name.clone())).collect();
        let controller = ZoneController::new(&own.name, self.spec.zone_failover.clone());
        let members = Membership::new(own, servers, seed, self.now);
        Some(ControlServer::new(ConsensusServer::new(replica, members, names), controller))
    }

    fn new_sidecar(&self, n: usize, servers: Vec<(String, SocketAddr)>, seed: u64) -> Sidecar {
        let node = &self.nodes[n];
        let own = node.member(Role::Sidecar);
        let zones: Vec<String> = (0..self.spec.zones.len()).map(zone_name).collect();
        let policy = (self.spec.evidence == Evidence::Seen)
            .then(|| ZonePolicy::new(&own.name, &own.zone, zones.clone(), self.spec.zone_failover.clone()));
        let recorder = CallRecorder::new(&own.zone, zones);
        let settings = ClientSettings {
            own,
            consensus_servers: servers,
            peers: Vec::new(),
            view: node.disk.view.clone(),
            seed,
        };
        let mut client = FleetClient::new(settings, self.now);
        if self.spec.membership {
            client.join(self.now);
        }
        let agent = agent::Agent::new(client, policy, self.now);
        Sidecar { agent, recorder, applied: AppliedRecords::default() }
    }
}
