//! Checks of a scenario: each problem names its field.

use super::{Scenario, Trouble};
use std::time::Duration;
use thiserror::Error;

/// More sidecars or endpoints are a mistake in a file rather than a fleet.
const MAX_FLEET: u32 = 100_000;
/// A run of more than a day is a mistake too.
const MAX_DURATION: Duration = Duration::from_secs(86_400);

/// A scenario that can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ScenarioError {
    /// The text can't be parsed.
    #[error(transparent)]
    Syntax(#[from] toml::de::Error),
    /// Fields have values that make no sense.
    #[error("{}", .0.join("\n"))]
    Invalid(Vec<String>),
}

/// The problems found so far.
#[derive(Default)]
struct Problems(Vec<String>);

impl Problems {
    /// A number that must be within these bounds.
    fn number(&mut self, field: impl Into<String>, value: f64, low: f64, high: f64) {
        if !(low..=high).contains(&value) {
            self.0.push(format!("{}: {value} is out of range, {low} to {high}", field.into()));
        }
    }

    fn add(&mut self, problem: impl Into<String>) {
        self.0.push(problem.into());
    }
}

impl Scenario {
    /// All problems of the scenario, each with its field.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Problems::default();
        self.check_sizes(&mut problems);
        self.check_classes(&mut problems);
        self.check_tenants(&mut problems);
        self.check_machines(&mut problems);
        self.check_faults(&mut problems);
        self.check_zones(&mut problems);
        for (field, allowed) in self.clients.problems() {
            problems.add(format!("clients.{field}: allowed: {allowed}"));
        }
        if self.arrivals.shape.windows(2).any(|pair| pair[0].at.0 >= pair[1].at.0) {
            problems.add("arrivals.shape: the points' times must rise");
        }
        problems.0
    }

    fn check_sizes(&self, problems: &mut Problems) {
        let max_duration_s = MAX_DURATION.as_secs_f64();
        problems.number("sidecars", self.sidecars.into(), 1.0, MAX_FLEET.into());
        problems.number("lasts (s)", self.lasts.0.as_secs_f64(), 0.001, max_duration_s);
        problems.number("drain (s)", self.drain.0.as_secs_f64(), 0.0, max_duration_s);
        problems.number("arrivals.rate", self.arrivals.rate, 0.0, 1e7);
        problems.number("network.jitter", self.network.jitter, 0.0, 10.0);
        problems.number("max_attempts", self.max_attempts.into(), 1.0, 100.0);
        problems.number("slow_start.fall_multiple", self.slow_start.fall_multiple, 0.001, 1e6);
        problems.number(
            "slow_start.fall_after (s)",
            self.slow_start.fall_after.0.as_secs_f64(),
            0.001,
            3600.0,
        );
        problems.number("zones", self.zones.len() as f64, 1.0, 1000.0);
        problems.number("classes", self.classes.len() as f64, 1.0, 1000.0);
        let count: u64 = self.endpoints.iter().map(|kind| u64::from(kind.count)).sum();
        problems.number("endpoints: count", count as f64, 0.0, MAX_FLEET.into());
        for (n, point) in self.arrivals.shape.iter().enumerate() {
            problems.number(format!("arrivals.shape[{n}].factor"), point.factor, 0.0, 1e4);
        }
    }

    fn check_classes(&self, problems: &mut Problems) {
        for class in &self.classes {
            let at = |field: &str| format!("classes.{}.{field}", class.name);
            problems.number(at("share"), class.share, 0.0, 1e6);
            problems.number(at("cv"), class.cv, 0.0, 5.0);
            problems.number(at("worth"), class.worth, 0.0, 1e6);
            problems.number(at("late_value"), class.late_value, 0.0, 1.0);
            problems.number(at("work (s)"), class.work.0.as_secs_f64(), 0.0, 3600.0);
            let (objective, deadline) = (class.objective.0.as_secs_f64(), class.deadline.0.as_secs_f64());
            problems.number(at("deadline (s)"), deadline, 0.001, 3600.0);
            problems.number(at("objective (s)"), objective, 0.001, deadline);
        }
    }

    fn check_tenants(&self, problems: &mut Problems) {
        problems.number("over_share_worth", self.over_share_worth, 0.0, 1.0);
        problems.number("tenants", self.tenants.len() as f64, 0.0, MAX_FLEET.into());
        for tenant in &self.tenants {
            problems.number(format!("tenants.{}.share", tenant.name), tenant.share, 0.0, 1e6);
            problems.number(format!("tenants.{}.allowance", tenant.name), tenant.allowance, 1e-6, 1e7);
        }
    }

    fn check_machines(&self, problems: &mut Problems) {
        for (n, kind) in self.endpoints.iter().enumerate() {
            let machine = &kind.machine;
            let at = |field: &str| format!("endpoints[{n}].machine.{field}");
            problems.number(at("speed"), machine.speed, 1e-6, 1e6);
            problems.number(at("cores"), machine.cores.into(), 1.0, 4096.0);
            problems.number(at("slots"), machine.slots.into(), 1.0, 1e6);
            problems.number(at("cold_share"), machine.cold_share, 0.01, 1.0);
        }
    }

    fn check_faults(&self, problems: &mut Problems) {
        for (n, fault) in self.faults.iter().enumerate() {
            if let Trouble::Slow(part) = fault.what {
                problems.number(format!("faults[{n}].what.slow"), part, 0.001, 1.0);
            }
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let is_cut = matches!(fault.what, Trouble::Cut(_));
            if is_cut && (fault.zone.is_none() || fault.endpoints.is_some()) {
                problems.add(format!("faults[{n}].what.cut: it is of a whole `zone`, which must be named"));
            }
        }
    }

    fn check_zones(&self, problems: &mut Problems) {
        let of_endpoints = self.endpoints.iter().map(|kind| &kind.zone);
        let named = of_endpoints.chain(self.faults.iter().map(|fault| &fault.zone));
        for zone in named.flatten().filter(|zone| !self.zones.contains(zone)) {
            problems.add(format!("zone: `{zone}` is not among `zones`"));
        }
        let Some(fleet) = &self.fleet else { return };
        for zone in fleet.consensus_servers.iter().chain(fleet.regions.values().flatten()) {
            if !self.zones.contains(zone) {
                problems.add(format!("fleet: `{zone}` is not among `zones`"));
            }
        }
        if !(1..=9).contains(&fleet.consensus_servers.len()) {
            problems.add("fleet.consensus_servers: allowed: 1 to 9");
        }
    }
}
