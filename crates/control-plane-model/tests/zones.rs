//! A zone fails and recovers while processes pause, crash and are cut off, with the program's consensus servers and sidecars:
//! calls into the returning zone stay within its budget, and in the end it serves as before.

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
/// Calls per second of each sidecar into its own zone.
const OWN_ZONE_RATE: f64 = 24.0;
/// Calls per second of each sidecar into each other zone.
const OTHER_ZONE_RATE: f64 = 3.0;
/// Grants of a budget may be in use for so long after the next budget was decided.
const MAX_GRANT_OVERLAP: Duration = Duration::from_millis(1600);

/// Drives a fleet with calls, within the access that each sidecar has, and measures calls into zone 0.
struct CallLoad {
    fleet: Fleet,
    draws: Pcg32,
    access: Vec<Vec<ZoneAccess>>,
    /// Whether each sidecar is paused.
    paused: Vec<bool>,
    /// Whether zone 0 is unreachable.
    zone_failed: bool,
    calls: u64,
    /// The highest ratio of the rates granted into zone 0 to the budget.
    max_budget_use: f64,
    /// Budgets of zone 0 that were decided: when, and how many calls per second.
    budgets: Vec<(Duration, f64)>,
}

impl CallLoad {
    fn new(seed: u64) -> CallLoad {
        let spec = SimulationSpec { evidence: Evidence::Seen, ..SimulationSpec::small(3, SIDECARS) };
        CallLoad {
            fleet: Fleet::new(spec, seed),
            draws: Pcg32::seed_from_u64(seed),
            access: vec![vec![ZoneAccess::Open; 3]; SIDECARS],
            paused: vec![false; SIDECARS],
            zone_failed: false,
            calls: 0,
            max_budget_use: 0.0,
            budgets: Vec::new(),
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.fleet.now() + duration;
        while self.fleet.now() < end {
            self.fleet.run(STEP);
            for (sidecar, access) in std::mem::take(&mut self.fleet.access) {
                access.into_iter().for_each(|(zone, access)| self.access[sidecar][zone] = access);
            }
            for (sidecar, zone, count) in std::mem::take(&mut self.fleet.probes) {
                (0..count).for_each(|_| {
                    self.fleet.probe_finished(sidecar, zone, !(self.zone_failed && zone == 0))
                });
            }
            (0..SIDECARS)
                .filter(|n| !self.paused[*n])
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|n| self.call(n));
            self.measure_budget_use();
        }
    }

    /// The rate at which a sidecar may send into a zone now; the program checks the same before each call.
    fn allowed_rate(&self, sidecar: usize, zone: usize) -> f64 {
        let demand = if sidecar % 3 == zone { OWN_ZONE_RATE } else { OTHER_ZONE_RATE };
        match self.access[sidecar][zone] {
            ZoneAccess::Open => demand,
            ZoneAccess::Share(share) => demand * share,
            ZoneAccess::Rate(rate, until) if self.fleet.now() < until => rate.min(demand),
            _ => 0.0,
        }
    }

    fn call(&mut self, sidecar: usize) {
        for zone in 0..3 {
            if self.draws.random::<f64>() >= self.allowed_rate(sidecar, zone) * STEP.as_secs_f64() {
                continue;
            }
            self.calls += 1;
            let (id, at) = ((self.calls, 0), self.fleet.now() - MS * 5);
            self.fleet.call_started(at, sidecar, id, zone, 0);
            let outcome =
                if self.zone_failed && zone == 0 { CallOutcome::Unreachable } else { CallOutcome::Served };
            self.fleet.call_finished(sidecar, id, outcome, MS * 5);
        }
    }

    /// Compares the rates granted into zone 0 with the greatest budget whose grants may still be in use.
    fn measure_budget_use(&mut self) {
        let now = self.fleet.now();
        for (at, transition) in std::mem::take(&mut self.fleet.transitions) {
            if let ZoneState::Returning(rate) = transition.to {
                self.budgets.push((at, rate));
            }
        }
        let recent =
            self.budgets.iter().rev().take_while(|(at, _)| now.saturating_sub(*at) < MAX_GRANT_OVERLAP);
        let earlier =
            self.budgets.iter().rev().find(|(at, _)| now.saturating_sub(*at) >= MAX_GRANT_OVERLAP);
        let budget = recent.chain(earlier).map(|(_, rate)| *rate).fold(0.0, f64::max);
        let rate = |n: &usize| match self.access[*n][0] {
            ZoneAccess::Rate(rate, until) if now < until => rate,
            _ => 0.0,
        };
        let granted: f64 = (0..SIDECARS).filter(|n| !self.paused[*n]).map(|n| rate(&n)).sum();
        if granted > 0.0 {
            self.max_budget_use = self.max_budget_use.max(granted / budget.max(1e-9));
        }
    }

    /// Injects or ends one random fault of processes or paths.
    fn inject_random_fault(&mut self) {
        let servers = self.fleet.consensus_servers();
        let (server, sidecar) = (self.draws.random_range(0..servers), self.draws.random_range(0..SIDECARS));
        match self.draws.random_range(0..8) {
            0 => self.fleet.inject(server, Fault::Pause),
            1 => self.fleet.inject(server, Fault::Crash),
            2 | 3 => (0..servers).for_each(|n| self.fleet.inject(n, Fault::Recover)),
            4 => self.set_paused(sidecar, true),
            5 => (0..SIDECARS).for_each(|n| self.set_paused(n, false)),
            6 => {
                // It starts with open access, and applies the view on its disk before it sends anything.
                self.fleet.inject(servers + sidecar, Fault::Crash);
                self.access[sidecar] = vec![ZoneAccess::Open; 3];
                self.paused[sidecar] = false;
                self.fleet.inject(servers + sidecar, Fault::Recover);
            }
            _ => {
                let (a, b) = (Scope::Node(server), Scope::Node(servers + sidecar));
                self.fleet.cut(a, b);
            }
        }
        if self.draws.random_range(0..3) == 0 {
            self.fleet.network.cuts.clear();
        }
    }

    fn set_paused(&mut self, sidecar: usize, paused: bool) {
        self.paused[sidecar] = paused;
        let fault = if paused { Fault::Pause } else { Fault::Recover };
        self.fleet.inject(self.fleet.consensus_servers() + sidecar, fault);
    }

    fn state(&self) -> ZoneState {
        let server = (0..self.fleet.consensus_servers()).find_map(|n| self.fleet.server(n));
        server.map_or(ZoneState::Serving, |server| {
            server.controller.state_machine().zone_states().state(&zone_name(0))
        })
    }
}

#[test]
fn calls_into_a_returning_zone_stay_within_its_budget() {
    let (mut steps, mut returned) = (0, 0);
    for seed in 0..30 {
        let mut load = CallLoad::new(seed);
        load.run(SECOND * 8);
        assert_eq!(
            (load.state(), load.budgets.len()),
            (ZoneState::Serving, 0),
            "seed {seed}: no fault was injected yet"
        );
        load.zone_failed = true;
        load.run(SECOND * 2);
        assert_eq!(load.state(), ZoneState::Left, "seed {seed}");
        for round in 0..24 {
            load.zone_failed = load.zone_failed && round < 4;
            load.inject_random_fault();
            load.run(MS * 500);
        }
        load.fleet.recover_all();
        (0..SIDECARS).for_each(|n| load.set_paused(n, false));
        load.run(SECOND * 15);
        assert_eq!(load.state(), ZoneState::Serving, "seed {seed}: {:?}", load.budgets);
        assert!(
            (0..SIDECARS).all(|n| load.access[n] == [ZoneAccess::Open; 3]),
            "seed {seed}: {:?}",
            load.access
        );
        assert!(load.max_budget_use <= 1.0 + 1e-6, "seed {seed}: {} times the budget", load.max_budget_use);
        steps += load.budgets.len();
        returned += usize::from(load.max_budget_use > 0.5);
    }
    // The test is meaningful only if many grants were in use.
    assert!(steps > 60 && returned > 20, "{steps} steps, {returned} returns used their budget");
}
