//! The specification of a simulated fleet: zones, processes, the network at the start, and the cost of messages.

use crate::network::Network;
use curlewhub_config::fleet::ZoneFailoverConfig;
use std::time::Duration;

/// How long a process is busy with one message, on a core of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Fixed part, for each message.
    pub message: Duration,
    /// For each KiB of the message, in addition.
    pub kib: Duration,
}

impl Default for Cost {
    /// The figures that were measured of the program; `docs/fleet.md` has the measurement.
    fn default() -> Self {
        Cost { message: Duration::from_micros(12), kib: Duration::from_micros(4) }
    }
}

/// The evidence that sidecars report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// None.
    None,
    /// Successful calls into all zones, invented once a second.
    Well,
    /// What the host records with [`crate::Fleet::call_started`], [`crate::Fleet::call_finished`] and
    /// [`crate::Fleet::probe_finished`]; sidecars also run a zone policy.
    Seen,
}

/// The specification of a fleet. Zones, regions and processes are numbered from 0.
#[derive(Clone, Debug)]
pub struct SimulationSpec {
    /// The region of each zone.
    pub zones: Vec<usize>,
    /// The zone of each consensus server.
    pub consensus_servers: Vec<usize>,
    /// So many consensus servers, the last ones, are neither initial voters nor started: they join the running fleet later.
    pub joining: usize,
    /// The zone of each sidecar.
    pub sidecars: Vec<usize>,
    /// Whether sidecars take part in the membership protocol. Without, they know consensus servers alone, which saves memory
    /// in the largest fleets.
    pub membership: bool,
    /// The evidence that sidecars report.
    pub evidence: Evidence,
    /// The settings of zone failover.
    pub zone_failover: ZoneFailoverConfig,
    /// The network at the start.
    pub network: Network,
    /// The cost of messages, for all processes alike.
    pub cost: Cost,
}

impl SimulationSpec {
    /// Consensus servers and sidecars, each spread over three zones of one region.
    pub fn small(servers: usize, sidecars: usize) -> SimulationSpec {
        let round_robin = |count: usize| (0..count).map(|n| n % 3).collect();
        SimulationSpec {
            zones: vec![0; 3],
            consensus_servers: round_robin(servers),
            joining: 0,
            sidecars: round_robin(sidecars),
            membership: true,
            evidence: Evidence::None,
            zone_failover: ZoneFailoverConfig::default(),
            network: Network::default(),
            cost: Cost::default(),
        }
    }

    /// Several regions with several zones each; consensus servers and sidecars are spread over all zones, so that consensus
    /// servers are in as many regions as possible.
    pub fn wide(regions: usize, zones_each: usize, servers: usize, sidecars: usize) -> SimulationSpec {
        let zones: Vec<usize> = (0..regions * zones_each).map(|zone| zone % regions).collect();
        let round_robin = |count: usize| (0..count).map(|n| n % zones.len()).collect();
        SimulationSpec {
            consensus_servers: round_robin(servers),
            sidecars: round_robin(sidecars),
            zones,
            ..SimulationSpec::small(0, 0)
        }
    }
}
