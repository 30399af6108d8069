//! What a test or a host can read of a fleet.

use super::node::RunningProcess;
use super::{EPOCH, Fleet};
use crate::traffic::Traffic;
use curlewhub_control_plane::client::FleetClient;
use curlewhub_control_plane::consensus_server::ConsensusServer;
use curlewhub_control_plane::record::Version;
use curlewhub_zone_failover::agent;
use curlewhub_zone_failover::server::ControlServer;
use std::collections::BTreeSet;
use std::time::Duration;

impl Fleet {
    /// The simulated time since the start.
    pub fn now(&self) -> Duration {
        self.now - EPOCH
    }

    /// The seed that replays this run.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// How many events were scheduled since the start: a fingerprint of a run, equal for equal seeds.
    pub fn scheduled_events(&self) -> u64 {
        self.queue.scheduled()
    }

    /// The number of processes. Consensus servers have the first numbers, sidecars the rest.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// The number of consensus servers.
    pub fn consensus_servers(&self) -> usize {
        self.spec.consensus_servers.len()
    }

    /// Whether a process runs; a paused one does.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].process.is_some()
    }

    /// A consensus server's replica and membership, if it runs.
    pub fn consensus(&self, node: usize) -> Option<&ConsensusServer> {
        self.server(node).map(|server| &server.consensus)
    }

    /// A consensus server with its zone controller, if it runs.
    pub fn server(&self, node: usize) -> Option<&ControlServer> {
        match &self.nodes[node].process {
            Some(RunningProcess::ConsensusServer(server)) => Some(server),
            _ => None,
        }
    }

    /// A sidecar's client of the control plane, if it runs.
    pub fn client(&self, node: usize) -> Option<&FleetClient> {
        self.agent(node).map(|agent| &agent.client)
    }

    /// A sidecar's agent, if it runs.
    pub fn agent(&self, node: usize) -> Option<&agent::Agent> {
        match &self.nodes[node].process {
            Some(RunningProcess::Sidecar(sidecar)) => Some(&sidecar.agent),
            _ => None,
        }
    }

    /// The consensus server that leads; if several believe so, that of the latest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |n: &usize| self.consensus(*n).is_some_and(|consensus| consensus.replica.is_leader());
        (0..self.consensus_servers())
            .filter(leads)
            .max_by_key(|n| self.consensus(*n).map(|consensus| consensus.replica.term()))
    }

    /// The version of the view that a process holds, or that its disk holds if it does not run.
    pub fn version(&self, node: usize) -> Version {
        match &self.nodes[node].process {
            Some(RunningProcess::ConsensusServer(server)) => server.consensus.replica.view().version(),
            Some(RunningProcess::Sidecar(sidecar)) => sidecar.agent.client.view().version(),
            None => self.nodes[node].disk.view.version(),
        }
    }

    /// The distinct versions that running processes hold.
    pub fn versions(&self) -> BTreeSet<Version> {
        (0..self.count()).filter(|n| self.is_running(*n)).map(|n| self.version(n)).collect()
    }

    /// The number of raft log entries on a consensus server's disk.
    pub fn log_entries(&self, server: usize) -> usize {
        self.nodes[server].disk.raft.entries.len()
    }

    /// How long a process was busy with messages, over all its starts.
    pub fn busy_time(&self, node: usize) -> Duration {
        self.nodes[node].busy_time
    }

    /// What a process has sent and received, over all its starts.
    pub fn traffic(&self, node: usize) -> Traffic {
        self.nodes[node].traffic
    }
}
