//! A hall that is gone and comes back, by keepers and sidecars as they are in the program, while processes pause, die and are cut
//! off: what goes into it is never more than its budget, and it is left and returned to in the end.

use curlewhub_control_plane::evidence::CallOutcome;
use curlewhub_control_plane_model::{Evidence, Fault, Fleet, Scope, SimulationSpec, zone_name};
use curlewhub_zone_failover::zone_policy::ZoneAccess;
use curlewhub_zone_failover::zone_states::ZoneState;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(10);
const SIDECARS: usize = 12;
/// Calls a second of each sidecar into its own hall, and into each other one.
const OWN: f64 = 24.0;
const OTHERS: f64 = 3.0;
/// A grant of the step before may be out for so long after the next one is decided.
const GRANTS_END: Duration = Duration::from_millis(1600);

/// What a fleet's calls do, by the rights that each sidecar has.
struct CallCounts {
    fleet: Fleet,
    draws: Pcg32,
    rights: Vec<Vec<ZoneAccess>>,
    /// Sidecars that stand still.
    paused: Vec<bool>,
    gone: bool,
    calls: u64,
    /// What was let into the hall by rates: the most together, over what it might be.
    worst: f64,
    /// Budgets that were decided: when, and how many calls a second.
    budgets: Vec<(Duration, f64)>,
}

impl CallCounts {
    fn new(seed: u64) -> CallCounts {
        let spec = SimulationSpec { evidence: Evidence::Seen, ..SimulationSpec::small(3, SIDECARS) };
        CallCounts {
            fleet: Fleet::new(spec, seed),
            draws: Pcg32::seed_from_u64(seed),
            rights: vec![vec![ZoneAccess::Open; 3]; SIDECARS],
            paused: vec![false; SIDECARS],
            gone: false,
            calls: 0,
            worst: 0.0,
            budgets: Vec::new(),
        }
    }

    fn run(&mut self, lasts: Duration) {
        let end = self.fleet.now() + lasts;
        while self.fleet.now() < end {
            self.fleet.run(STEP);
            for (sidecar, rights) in std::mem::take(&mut self.fleet.access) {
                rights.into_iter().for_each(|(zone, right)| self.rights[sidecar][zone] = right);
            }
            for (sidecar, zone, count) in std::mem::take(&mut self.fleet.probes) {
                (0..count)
                    .for_each(|_| self.fleet.probe_finished(sidecar, zone, !(self.gone && zone == 0)));
            }
            (0..SIDECARS)
                .filter(|n| !self.paused[*n])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|n| self.call(n));
            self.look();
        }
    }

    /// What a sidecar may send now into a hall, as its module looks at it before each call.
    fn may(&self, sidecar: usize, zone: usize) -> f64 {
        let wanted = if sidecar % 3 == zone { OWN } else { OTHERS };
        match self.rights[sidecar][zone] {
            ZoneAccess::Open => wanted,
            ZoneAccess::Share(part) => wanted * part,
            ZoneAccess::Rate(rate, until) if self.fleet.now() < until => rate.min(wanted),
            _ => 0.0,
        }
    }

    fn call(&mut self, sidecar: usize) {
        for zone in 0..3 {
            if self.draws.random::<f64>() >= self.may(sidecar, zone) * STEP.as_secs_f64() {
                continue;
            }
            self.calls += 1;
            let (id, at) = ((self.calls, 0), self.fleet.now() - MS * 5);
            self.fleet.call_started(at, sidecar, id, zone, 0);
            let how = if self.gone && zone == 0 { CallOutcome::Unreachable } else { CallOutcome::Served };
            self.fleet.call_finished(sidecar, id, how, MS * 5);
        }
    }

    /// What is let into the hall, against the greatest budget that may still be out.
    fn look(&mut self) {
        let now = self.fleet.now();
        for (at, moved) in std::mem::take(&mut self.fleet.transitions) {
            if let ZoneState::Returning(rate) = moved.to {
                self.budgets.push((at, rate));
            }
        }
        let lately = self.budgets.iter().rev().take_while(|(at, _)| now.saturating_sub(*at) < GRANTS_END);
        let before = self.budgets.iter().rev().find(|(at, _)| now.saturating_sub(*at) >= GRANTS_END);
        let budget = lately.chain(before).map(|(_, rate)| *rate).fold(0.0, f64::max);
        let rate = |n: &usize| match self.rights[*n][0] {
            ZoneAccess::Rate(rate, until) if now < until => rate,
            _ => 0.0,
        };
        let sum: f64 = (0..SIDECARS).filter(|n| !self.paused[*n]).map(|n| rate(&n)).sum();
        if sum > 0.0 {
            self.worst = self.worst.max(sum / budget.max(1e-9));
        }
    }

    /// Something goes wrong with processes, or is put right.
    fn disturb(&mut self) {
        let keepers = self.fleet.consensus_servers();
        let (keeper, sidecar) = (self.draws.random_range(0..keepers), self.draws.random_range(0..SIDECARS));
        match self.draws.random_range(0..8) {
            0 => self.fleet.inject(keeper, Fault::Pause),
            1 => self.fleet.inject(keeper, Fault::Crash),
            2 | 3 => (0..keepers).for_each(|n| self.fleet.inject(n, Fault::Recover)),
            4 => self.pause(sidecar, true),
            5 => (0..SIDECARS).for_each(|n| self.pause(n, false)),
            6 => {
                // It begins with all open, and with what its disk's view says before it sends anything.
                self.fleet.inject(keepers + sidecar, Fault::Crash);
                self.rights[sidecar] = vec![ZoneAccess::Open; 3];
                self.paused[sidecar] = false;
                self.fleet.inject(keepers + sidecar, Fault::Recover);
            }
            _ => {
                let (a, b) = (Scope::Node(keeper), Scope::Node(keepers + sidecar));
                self.fleet.cut(a, b);
            }
        }
        if self.draws.random_range(0..3) == 0 {
            self.fleet.network.cuts.clear();
        }
    }

    fn pause(&mut self, sidecar: usize, stands: bool) {
        self.paused[sidecar] = stands;
        let trouble = if stands { Fault::Pause } else { Fault::Recover };
        self.fleet.inject(self.fleet.consensus_servers() + sidecar, trouble);
    }

    fn state(&self) -> ZoneState {
        let any = (0..self.fleet.consensus_servers()).find_map(|n| self.fleet.server(n));
        any.map_or(ZoneState::Serving, |server| {
            server.controller.state_machine().zone_states().state(&zone_name(0))
        })
    }
}

#[test]
fn what_goes_into_a_returning_hall_is_never_more_than_its_budget() {
    let (mut steps, mut returned) = (0, 0);
    for seed in 0..30 {
        let mut calls = CallCounts::new(seed);
        calls.run(SECOND * 8);
        assert_eq!(
            (calls.state(), calls.budgets.len()),
            (ZoneState::Serving, 0),
            "seed {seed}: nothing is wrong yet"
        );
        calls.gone = true;
        calls.run(SECOND * 2);
        assert_eq!(calls.state(), ZoneState::Left, "seed {seed}");
        for round in 0..24 {
            calls.gone = calls.gone && round < 4;
            calls.disturb();
            calls.run(MS * 500);
        }
        calls.fleet.recover_all();
        (0..SIDECARS).for_each(|n| calls.pause(n, false));
        calls.run(SECOND * 15);
        assert_eq!(calls.state(), ZoneState::Serving, "seed {seed}: {:?}", calls.budgets);
        assert!(
            (0..SIDECARS).all(|n| calls.rights[n] == [ZoneAccess::Open; 3]),
            "seed {seed}: {:?}",
            calls.rights
        );
        assert!(calls.worst <= 1.0 + 1e-6, "seed {seed}: {} times the budget", calls.worst);
        steps += calls.budgets.len();
        returned += usize::from(calls.worst > 0.5);
    }
    // It says something only where hundreds of grants were out.
    assert!(steps > 60 && returned > 20, "{steps} steps, {returned} returns used their budget");
}
