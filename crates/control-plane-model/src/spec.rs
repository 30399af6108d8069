//! What a fleet is made of: its zones, its processes, its network at the start and what messages cost.

use crate::network::Network;
use curlewhub_config::fleet::ZoneFailoverConfig;
use std::time::Duration;

/// What dealing with messages costs a process, on a core of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// For each message.
    pub message: Duration,
    /// For each KiB of it.
    pub kib: Duration,
}

impl Default for Cost {
    /// What was measured of the program is in `docs/fleet.md`.
    fn default() -> Self {
        Cost { message: Duration::from_micros(12), kib: Duration::from_micros(4) }
    }
}

/// What sidecars tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing.
    None,
    /// Calls into all halls, as they are when all is well.
    Well,
    /// What the host has them see: [`crate::Fleet::began`] and [`crate::Fleet::ended`].
    Seen,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct SimulationSpec {
    /// The halls' regions, by number.
    pub zones: Vec<usize>,
    /// The keepers' halls, by number.
    pub consensus_servers: Vec<usize>,
    /// So many of them, the last, are none of the first keepers: they join a fleet that there is, once they are started.
    pub joining: usize,
    /// The sidecars' halls.
    pub sidecars: Vec<usize>,
    /// Sidecars are members too; without, they know nobody but keepers, which saves memory in the largest fleets.
    pub membership: bool,
    /// What sidecars tell.
    pub evidence: Evidence,
    /// How halls are left, and returned to.
    pub zone_failover: ZoneFailoverConfig,
    /// The network at the start.
    pub network: Network,
    /// What messages cost keepers and sidecars.
    pub cost: Cost,
}

impl SimulationSpec {
    /// Keepers in three halls of one region, and sidecars in the same.
    pub fn small(keepers: usize, sidecars: usize) -> SimulationSpec {
        let turn = |count: usize| (0..count).map(|n| n % 3).collect();
        SimulationSpec {
            zones: vec![0; 3],
            consensus_servers: turn(keepers),
            joining: 0,
            sidecars: turn(sidecars),
            membership: true,
            evidence: Evidence::None,
            zone_failover: ZoneFailoverConfig::default(),
            network: Network::default(),
            cost: Cost::default(),
        }
    }

    /// Halls in regions, keepers in as many different ones as there are, and sidecars in all in turn.
    pub fn wide(regions: usize, halls_each: usize, keepers: usize, sidecars: usize) -> SimulationSpec {
        let zones: Vec<usize> = (0..regions * halls_each).map(|zone| zone % regions).collect();
        let turn = |count: usize| (0..count).map(|n| n % zones.len()).collect();
        SimulationSpec {
            consensus_servers: turn(keepers),
            sidecars: turn(sidecars),
            zones,
            ..SimulationSpec::small(0, 0)
        }
    }
}
