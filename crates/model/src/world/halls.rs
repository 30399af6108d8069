//! The fleet beside the requests: keepers and sidecars' agents as they are in the program, fed by what sidecars' own calls show,
//! whose rights go into their modules.

use super::*;
use crate::scenario::FleetSpec;
use curlewhub_balance::ZoneRight;
use curlewhub_fleet::evidence::Ended;
use curlewhub_fleet_model::{Delays, Evidence, Fleet, Net, Spec};
use curlewhub_locality::part::Right;

/// A probe that is not answered within this is not.
const PROBE_MOST: Duration = Duration::from_millis(300);

/// A fleet, and what is planned of it.
pub(super) struct Beside {
    pub(super) fleet: Fleet,
    /// Which of the planned looks at it is the one.
    look: u64,
    /// Probes so far, by which others are probed each time.
    probes: usize,
}

/// The fleet of a scenario, where it has one.
pub(super) fn fleet(scenario: &Scenario, seed: u64) -> Option<Beside> {
    let FleetSpec { keepers, regions, places, members } = scenario.fleet.as_ref()?;
    let halls = &scenario.halls;
    let names: BTreeMap<&String, usize> = halls.iter().enumerate().map(|(n, hall)| (hall, n)).collect();
    let of = |hall: &String| names.get(hall).copied().unwrap_or_default();
    // A hall that is in no region is one by itself.
    let region = |hall: &String| regions.values().position(|halls| halls.contains(hall));
    let region = |(n, hall): (usize, &String)| region(hall).unwrap_or(regions.len() + n);
    let within =
        |names: &Vec<String>| names.iter().map(|hall| curlewhub_fleet_model::hall_name(of(hall))).collect();
    let mut rules = places.clone();
    rules.regions = regions.iter().map(|(region, halls)| (region.clone(), within(halls))).collect();
    let network = &scenario.network;
    let delays = Delays {
        hall: network.within.0,
        region: network.between.0,
        regions: network.between.0,
        jitter: network.jitter,
    };
    let spec = Spec {
        halls: halls.iter().enumerate().map(region).collect(),
        keepers: keepers.iter().map(of).collect(),
        joining: 0,
        sidecars: (0..scenario.sidecars as usize).map(|n| n % halls.len()).collect(),
        members: *members,
        evidence: Evidence::Seen,
        rules,
        net: Net { delays, ..Net::default() },
        cost: curlewhub_fleet_model::Cost::default(),
    };
    Some(Beside { fleet: Fleet::new(spec, seed), look: 0, probes: 0 })
}

impl World<'_> {
    /// A call is told from all others of its sidecar by its process and request, and its attempt.
    fn call_id(process: usize, request: u64, number: AttemptNo) -> (u64, u32) {
        ((process as u64) << 40 | request, number.0)
    }

    pub(super) fn witness_began(&mut self, process: usize, request: u64, number: AttemptNo, place: usize) {
        let Some(beside) = &mut self.beside else { return };
        let class = self.processes[process].open.get(&request).and_then(|open| self.calls.get(&open.call));
        let (sidecar, hall) = (self.processes[process].sidecar, self.endpoints[place].hall as usize);
        let id = Self::call_id(process, request, number);
        beside.fleet.began(self.now - EPOCH, sidecar, id, hall, class.map_or(0, |call| call.class));
    }

    pub(super) fn witness_ended(
        &mut self,
        process: usize,
        request: u64,
        number: AttemptNo,
        outcome: Outcome,
        took: Duration,
    ) {
        let Some(beside) = &mut self.beside else { return };
        let how = match outcome {
            Outcome::Ok => Ended::Served,
            Outcome::TimedOut => Ended::Silent,
            Outcome::ConnectFailed | Outcome::Reset => Ended::Gone,
            Outcome::Full => Ended::Full,
            Outcome::Error => Ended::Error,
            Outcome::Cancelled | Outcome::Moot => Ended::Moot,
        };
        beside.fleet.ended(
            self.processes[process].sidecar,
            Self::call_id(process, request, number),
            how,
            took,
        );
    }

    /// Lets the fleet come up to now, and carries out what it wants of sidecars.
    pub(super) fn look_at_fleet(&mut self, look: u64) {
        let Some(beside) = self.beside.as_mut().filter(|beside| beside.look == look) else { return };
        beside.fleet.run_to(self.now - EPOCH);
        let rights = std::mem::take(&mut beside.fleet.rights);
        let probes = std::mem::take(&mut beside.fleet.probes);
        for (sidecar, rights) in rights {
            let rights: Vec<(ZoneId, ZoneRight)> =
                rights.into_iter().map(|(hall, right)| (ZoneId(hall as u32), zone_right(right))).collect();
            for process in self.sidecars[sidecar].clone() {
                self.module(process, Event::Zones(rights.clone()));
            }
            self.rights[sidecar] = rights;
        }
        for (sidecar, hall, count) in probes {
            self.probe(sidecar, hall, count);
        }
        self.plan_look();
    }

    /// Plans the next look at the fleet; those that were planned are void.
    pub(super) fn plan_look(&mut self) {
        let Some(beside) = &mut self.beside else { return };
        beside.look += 1;
        let (look, next) = (beside.look, beside.fleet.next());
        if let Some(next) = next {
            self.queue.plan((EPOCH + next).max(self.now), Ev::Fleet(look));
        }
    }

    fn probe(&mut self, sidecar: usize, hall: usize, count: u32) {
        let there: Vec<usize> = (0..self.endpoints.len())
            .filter(|place| self.endpoints[*place].hall as usize == hall)
            .collect();
        let own = sidecar as u32 % self.scenario.halls.len() as u32;
        for _ in 0..there.len().min(count as usize) {
            let Some(beside) = &mut self.beside else { return };
            beside.probes += 1;
            let place = there[beside.probes % there.len()];
            let endpoint = &self.endpoints[place];
            let passes = !self.lost(own, endpoint.hall) && !self.lost(endpoint.hall, own);
            let (answers, up) = (endpoint.up && !endpoint.hangs && passes, endpoint.up);
            // Who is not there refuses at once, who can't be reached says nothing.
            let round = self.delay(own, place) + self.delay(own, place);
            let after = if answers || (!up && passes) { round } else { PROBE_MOST };
            self.queue.plan(self.now + after, Ev::Probed { sidecar, hall, answered: answers });
        }
    }

    pub(super) fn probed(&mut self, sidecar: usize, hall: usize, answered: bool) {
        if let Some(beside) = &mut self.beside {
            beside.fleet.probed(sidecar, hall, answered);
        }
    }

    /// What crosses a hall's border is lost to the fleet's own words too, or passes again.
    pub(super) fn cut_fleet(&mut self, hall: usize) {
        let (into, out) = self.cuts[hall];
        if let Some(beside) = &mut self.beside {
            for (lost, leaves) in [(into, false), (out, true)] {
                if lost > 0 {
                    beside.fleet.net.borders.insert((hall, leaves));
                } else {
                    beside.fleet.net.borders.remove(&(hall, leaves));
                }
            }
        }
    }
}

/// The same moment on the modules' clock.
fn zone_right(right: Right) -> ZoneRight {
    match right {
        Right::Open => ZoneRight::Open,
        Right::Part(part) => ZoneRight::Part(part),
        Right::Rate(per_s, until) => ZoneRight::Rate { per_s, until: EPOCH + until },
        Right::Closed => ZoneRight::Closed,
        Right::Dark => ZoneRight::Dark,
    }
}
