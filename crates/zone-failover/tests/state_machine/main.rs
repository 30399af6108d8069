//! The zone state machine on the evidence of a simulated fleet: which zones are left, and how they are returned to.

mod leaving;
mod overrides;
mod returning;
mod simulated_fleet;
mod tiers_and_regions;

use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_zone_failover::zone_states::ZoneState;
use simulated_fleet::SimulatedFleet;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// A fleet of three zones with four sidecars each, after ten seconds without a fault.
fn three_zones(seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(&ZONES, 4, ZoneFailoverConfig::default(), seed);
    fleet.run(SECOND * 10);
    assert!(fleet.transitions.is_empty(), "{:?}", fleet.transitions);
    fleet
}

fn is_left(state: ZoneState) -> bool {
    state == ZoneState::Left
}

fn is_serving(state: ZoneState) -> bool {
    state == ZoneState::Serving
}
