//! The control plane beside the requests: consensus servers and the sidecars' agents, as they are in the program. They are
//! fed with what the sidecars' own calls show, and the rights that they decide go into the sidecars' decision modules.

use super::*;
use crate::scenario::FleetSpec;
use curlewhub_balance::ZoneAdmission;
use curlewhub_control_plane::evidence::CallOutcome;
use curlewhub_control_plane_model::{Delays, Evidence, Fleet, Network, SimulationSpec};
use curlewhub_zone_failover::zone_policy::ZoneAccess;

/// A probe that is not answered within this time has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// The consensus servers and agents, and when they run next.
pub(super) struct ControlPlane {
    pub(super) fleet: Fleet,
    /// The number of the scheduled run that counts; earlier ones are void.
    look: u64,
    /// Probes so far: each goes to the next endpoint in turn.
    probes: usize,
}

/// The control plane of a scenario, if it has one.
pub(super) fn fleet(scenario: &Scenario, seed: u64) -> Option<ControlPlane> {
    let FleetSpec { consensus_servers, regions, places, members } = scenario.fleet.as_ref()?;
    let zones = &scenario.zones;
    let names: BTreeMap<&String, usize> = zones.iter().enumerate().map(|(n, zone)| (zone, n)).collect();
    let of = |zone: &String| names.get(zone).copied().unwrap_or_default();
    // A zone that is in no region is one by itself.
    let region = |zone: &String| regions.values().position(|zones| zones.contains(zone));
    let region = |(n, zone): (usize, &String)| region(zone).unwrap_or(regions.len() + n);
    let within = |names: &Vec<String>| {
        names.iter().map(|zone| curlewhub_control_plane_model::zone_name(of(zone))).collect()
    };
    let mut rules = places.clone();
    rules.regions = regions.iter().map(|(region, zones)| (region.clone(), within(zones))).collect();
    let network = &scenario.network;
    let delays = Delays {
        zone: network.within.0,
        region: network.between.0,
        regions: network.between.0,
        jitter: network.jitter,
    };
    let spec = SimulationSpec {
        zones: zones.iter().enumerate().map(region).collect(),
        consensus_servers: consensus_servers.iter().map(of).collect(),
        joining: 0,
        sidecars: (0..scenario.sidecars as usize).map(|n| n % zones.len()).collect(),
        membership: *members,
        evidence: Evidence::Seen,
        zone_failover: rules,
        network: Network { delays, ..Network::default() },
        cost: curlewhub_control_plane_model::Cost::default(),
    };
    Some(ControlPlane { fleet: Fleet::new(spec, seed), look: 0, probes: 0 })
}

impl World<'_> {
    /// A call is told from all others of its sidecar by its process and request, and its attempt.
    fn call_id(process: usize, request: u64, number: AttemptNo) -> (u64, u32) {
        ((process as u64) << 40 | request, number.0)
    }

    pub(super) fn witness_began(
        &mut self,
        process: usize,
        request: u64,
        number: AttemptNo,
        endpoint_index: usize,
    ) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let class = self.processes[process].open.get(&request).and_then(|open| self.calls.get(&open.call));
        let (sidecar, zone) =
            (self.processes[process].sidecar, self.endpoints[endpoint_index].zone as usize);
        let id = Self::call_id(process, request, number);
        control_plane.fleet.call_started(
            self.now - EPOCH,
            sidecar,
            id,
            zone,
            class.map_or(0, |call| call.class),
        );
    }

    pub(super) fn witness_ended(
        &mut self,
        process: usize,
        request: u64,
        number: AttemptNo,
        outcome: Outcome,
        took: Duration,
    ) {
        let Some(control_plane) = &mut self.control_plane else { return };
        let how = match outcome {
            Outcome::Ok => CallOutcome::Served,
            Outcome::TimedOut => CallOutcome::TimedOut,
            Outcome::ConnectFailed | Outcome::Reset => CallOutcome::Unreachable,
            Outcome::Rejected => CallOutcome::Rejected,
            Outcome::Error => CallOutcome::Failed,
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalFault => CallOutcome::Cancelled,
        };
        control_plane.fleet.call_finished(
            self.processes[process].sidecar,
            Self::call_id(process, request, number),
            how,
            took,
        );
    }

    /// Lets the fleet come up to now, and carries out what it wants of sidecars.
    pub(super) fn look_at_fleet(&mut self, look: u64) {
        let Some(control_plane) =
            self.control_plane.as_mut().filter(|control_plane| control_plane.look == look)
        else {
            return;
        };
        control_plane.fleet.run_to(self.now - EPOCH);
        let rights = std::mem::take(&mut control_plane.fleet.access);
        let probes = std::mem::take(&mut control_plane.fleet.probes);
        for (sidecar, rights) in rights {
            let rights: Vec<(ZoneId, ZoneAdmission)> =
                rights.into_iter().map(|(zone, right)| (ZoneId(zone as u32), zone_right(right))).collect();
            for process in self.sidecars[sidecar].clone() {
                self.module(process, Event::Zones(rights.clone()));
            }
            self.rights[sidecar] = rights;
        }
        for (sidecar, zone, count) in probes {
            self.probe(sidecar, zone, count);
        }
        self.plan_look();
    }

    /// Plans the next look at the fleet; those that were planned are void.
    pub(super) fn plan_look(&mut self) {
        let Some(control_plane) = &mut self.control_plane else { return };
        control_plane.look += 1;
        let (look, next) = (control_plane.look, control_plane.fleet.next());
        if let Some(next) = next {
            self.queue.plan((EPOCH + next).max(self.now), Ev::Fleet(look));
        }
    }

    fn probe(&mut self, sidecar: usize, zone: usize, count: u32) {
        let there: Vec<usize> = (0..self.endpoints.len())
            .filter(|endpoint_index| self.endpoints[*endpoint_index].zone as usize == zone)
            .collect();
        let own = sidecar as u32 % self.scenario.zones.len() as u32;
        for _ in 0..there.len().min(count as usize) {
            let Some(control_plane) = &mut self.control_plane else { return };
            control_plane.probes += 1;
            let endpoint_index = there[control_plane.probes % there.len()];
            let endpoint = &self.endpoints[endpoint_index];
            let passes = !self.lost(own, endpoint.zone) && !self.lost(endpoint.zone, own);
            let (answers, up) = (endpoint.up && !endpoint.hangs && passes, endpoint.up);
            // Who is not there refuses at once, who can't be reached says nothing.
            let round = self.delay(own, endpoint_index) + self.delay(own, endpoint_index);
            let after = if answers || (!up && passes) { round } else { PROBE_TIMEOUT };
            self.queue.plan(self.now + after, Ev::Probed { sidecar, zone, answered: answers });
        }
    }

    pub(super) fn probed(&mut self, sidecar: usize, zone: usize, answered: bool) {
        if let Some(control_plane) = &mut self.control_plane {
            control_plane.fleet.probe_finished(sidecar, zone, answered);
        }
    }

    /// What crosses a zone's border is lost to the fleet's own words too, or passes again.
    pub(super) fn cut_control_plane(&mut self, zone: usize) {
        let (into, out) = self.cuts[zone];
        if let Some(control_plane) = &mut self.control_plane {
            for (lost, leaves) in [(into, false), (out, true)] {
                if lost > 0 {
                    control_plane.fleet.network.isolated_zones.insert((zone, leaves));
                } else {
                    control_plane.fleet.network.isolated_zones.remove(&(zone, leaves));
                }
            }
        }
    }
}

/// The same moment on the modules' clock.
fn zone_right(right: ZoneAccess) -> ZoneAdmission {
    match right {
        ZoneAccess::Open => ZoneAdmission::Open,
        ZoneAccess::Share(part) => ZoneAdmission::Fraction(part),
        ZoneAccess::Rate(per_s, until) => ZoneAdmission::Rate { per_s, until: EPOCH + until },
        ZoneAccess::Closed => ZoneAdmission::Closed,
        ZoneAccess::Unreachable => ZoneAdmission::Unreachable,
    }
}
