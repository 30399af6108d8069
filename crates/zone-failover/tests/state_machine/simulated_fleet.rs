//! A simulated fleet: sidecars that report how their calls end, by the condition of the path between each two zones. It has
//! no network and no requests, and replays for a seed.

use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, Digest};
use curlewhub_zone_failover::state_machine::{Effect, Environment, Transition, ZoneStateMachine};
use curlewhub_zone_failover::zone_states::{ZoneState, ZoneStates, zone_of};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
const TICK_INTERVAL_MS: u128 = 50;
/// Time from a proposal to its decision.
const DECISION_DELAY: Duration = Duration::from_millis(20);
/// Calls a second of a sidecar into its own zone, and into each other zone.
const OWN_ZONE_CALLS_PER_S: f64 = 24.0;
const OTHER_ZONE_CALLS_PER_S: f64 = 3.0;
const EXPECTED_CALL_MS: u32 = 10;

/// How calls from one zone into another end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PathCondition {
    Healthy,
    /// No answers: calls are reported as overdue.
    Silent,
    /// Connections are refused.
    Unreachable,
    /// All calls are rejected.
    Rejecting,
    /// All calls are answered with errors.
    Failing,
    /// This share of the calls is rejected.
    PartlyRejecting(f64),
    /// Calls take this multiple of the usual time.
    Slow(f64),
    /// This share of the calls is lost.
    Lossy(f64),
}

struct Sidecar {
    name: String,
    zone: &'static str,
    next_digest_at: Duration,
    sequence: u64,
    last_digest_at: Duration,
}

/// Probe results that are not reported yet.
struct UnreportedProbes {
    sidecar: usize,
    zone: String,
    counts: CallCounts,
}

pub struct SimulatedFleet {
    pub state_machine: ZoneStateMachine,
    pub now: Duration,
    zones: Vec<&'static str>,
    /// Tier zones of the tier below, that every other sidecar calls in place of those of the first tier.
    pub second_tier: Vec<&'static str>,
    sidecars: Vec<Sidecar>,
    /// Conditions by calling and called zone; others are healthy.
    pub paths: BTreeMap<(&'static str, &'static str), PathCondition>,
    /// Sidecars that report all calls as unreachable, whatever happened.
    pub lying_sidecars: Vec<String>,
    /// Zones whose sidecars cannot send digests to the consensus servers ...
    pub disconnected_zones: Vec<&'static str>,
    /// ... and those whose sidecars receive no decisions, and go on as before.
    pub uninformed_zones: Vec<&'static str>,
    pub environment: Environment,
    /// Proposed transitions, and when they were proposed.
    pub transitions: Vec<(Duration, Transition)>,
    pending_decisions: Vec<(Duration, ZoneStates)>,
    unreported_probes: Vec<UnreportedProbes>,
    random: Pcg32,
}

impl SimulatedFleet {
    pub fn new(
        zones: &[&'static str],
        sidecars_per_zone: usize,
        settings: ZoneFailoverConfig,
        seed: u64,
    ) -> SimulatedFleet {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut sidecars = Vec::new();
        let mut environment = Environment::default();
        for zone in zones {
            for n in 0..sidecars_per_zone {
                let name = format!("s-{zone}-{n}");
                environment.sidecars.entry((*zone).to_owned()).or_default().push(name.clone());
                sidecars.push(Sidecar {
                    name,
                    zone,
                    next_digest_at: DIGEST_INTERVAL.mul_f64(random.random()),
                    sequence: 0,
                    last_digest_at: Duration::ZERO,
                });
            }
        }
        SimulatedFleet {
            state_machine: ZoneStateMachine::new(settings),
            now: Duration::ZERO,
            zones: zones.to_vec(),
            second_tier: Vec::new(),
            sidecars,
            paths: BTreeMap::new(),
            lying_sidecars: Vec::new(),
            disconnected_zones: Vec::new(),
            uninformed_zones: Vec::new(),
            environment,
            transitions: Vec::new(),
            pending_decisions: Vec::new(),
            unreported_probes: Vec::new(),
            random,
        }
    }

    pub fn state(&self, zone: &str) -> ZoneState {
        self.state_machine.zone_states().state(zone)
    }

    /// Sets the condition of the paths into these zones from all zones, their own included.
    pub fn set_paths_into(&mut self, zones: &[&'static str], condition: PathCondition) {
        for from in &self.zones {
            for to in zones {
                self.paths.insert((from, to), condition);
            }
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for n in 0..self.sidecars.len() {
                if self.now >= self.sidecars[n].next_digest_at {
                    self.send_digest(n);
                }
            }
            self.apply_due_decisions();
            if self.now.as_millis().is_multiple_of(TICK_INTERVAL_MS) {
                self.tick();
            }
        }
    }

    /// Runs until the zone returns, at most for `timeout`.
    pub fn run_until_returning(&mut self, zone: &str, timeout: Duration, case: &str) {
        let deadline = self.now + timeout;
        while !matches!(self.state(zone), ZoneState::Returning(_)) {
            self.run(Duration::from_millis(50));
            assert!(self.now < deadline, "{case}");
        }
    }

    fn apply_due_decisions(&mut self) {
        let now = self.now;
        let due: Vec<ZoneStates> =
            self.pending_decisions.extract_if(.., |(at, _)| *at <= now).map(|(_, states)| states).collect();
        for zone_states in due {
            // As a record is written and read.
            let zone_states = ZoneStates::decode(&zone_states.encode()).unwrap();
            self.state_machine.apply(self.now, &zone_states);
        }
    }

    fn tick(&mut self) {
        self.environment.turn += 1;
        for effect in self.state_machine.tick(self.now, &self.environment) {
            match effect {
                Effect::Propose { states, transitions } => {
                    self.pending_decisions.push((self.now + DECISION_DELAY, states));
                    self.transitions.extend(transitions.into_iter().map(|one| (self.now, one)));
                }
                Effect::Probe { sidecar, zone, count } => self.probe(&sidecar, &zone, count),
            }
        }
    }

    fn path(&self, from: &str, to: &str) -> PathCondition {
        let found = self.paths.iter().find(|((f, t), _)| *f == from && *t == to);
        found.map_or(PathCondition::Healthy, |(_, condition)| *condition)
    }

    /// Reports a sidecar's calls since its last digest. Calls that it may not send into a zone are not sent elsewhere.
    fn send_digest(&mut self, n: usize) {
        let (name, zone) = (self.sidecars[n].name.clone(), self.sidecars[n].zone);
        let mut calls_by_zone = BTreeMap::new();
        let calls_second_tier = !self.second_tier.is_empty() && n % 2 == 1;
        for to in if calls_second_tier { self.second_tier.clone() } else { self.zones.clone() } {
            let interval_s = self.now.saturating_sub(self.sidecars[n].last_digest_at).as_secs_f64();
            let mean = self.calls_per_s(zone, to) * interval_s;
            let count = mean.floor() as u32 + u32::from(self.random.random::<f64>() < mean.fract());
            if count > 0 {
                let is_lying = self.lying_sidecars.contains(&name);
                let condition = if is_lying { PathCondition::Unreachable } else { self.path(zone, to) };
                calls_by_zone.insert(to.to_owned(), self.outcomes(condition, count));
            }
        }
        for probes in self.unreported_probes.extract_if(.., |probes| probes.sidecar == n) {
            let calls: &mut CallCounts = calls_by_zone.entry(probes.zone).or_default();
            calls.probes_answered += probes.counts.probes_answered;
            calls.probes_unanswered += probes.counts.probes_unanswered;
        }
        let sidecar = &mut self.sidecars[n];
        sidecar.next_digest_at = self.now + DIGEST_INTERVAL;
        sidecar.sequence += 1;
        sidecar.last_digest_at = self.now;
        let digest = Digest {
            sequence: sidecar.sequence,
            sent_at_ms: self.now.as_millis() as u64,
            zone: zone.to_owned(),
            interval_ms: 250,
            calls_by_zone,
        };
        if !self.disconnected_zones.contains(&zone) {
            self.state_machine.record(self.now, &name, &digest);
        }
    }

    /// The calls a second that a sidecar of one zone may send to another.
    fn calls_per_s(&self, zone: &str, to: &str) -> f64 {
        let is_own = zone_of(to) == zone;
        let demand = if is_own { OWN_ZONE_CALLS_PER_S } else { OTHER_ZONE_CALLS_PER_S };
        let zone_states = self.state_machine.zone_states();
        if zone_states.is_cut(zone, to) {
            return 0.0;
        }
        match zone_states.state(to) {
            _ if self.uninformed_zones.contains(&zone) => demand,
            ZoneState::Serving => demand,
            ZoneState::Leaving(share) => demand * share,
            ZoneState::Left => 0.0,
            // Divided among the zone's own sidecars.
            ZoneState::Returning(rate) if is_own => (rate / self.sidecar_count(zone)).min(demand),
            ZoneState::Returning(_) => 0.0,
        }
    }

    fn sidecar_count(&self, zone: &str) -> f64 {
        self.sidecars.iter().filter(|sidecar| sidecar.zone == zone).count().max(1) as f64
    }

    fn outcomes(&mut self, condition: PathCondition, count: u32) -> CallCounts {
        let none = CallCounts::default();
        let served = |count: u32, slowdown: f64| {
            let expected_ms = count * EXPECTED_CALL_MS;
            let took_ms = (f64::from(expected_ms) * slowdown) as u32;
            CallCounts { served: count, expected_ms, took_ms, ..none }
        };
        match condition {
            PathCondition::Healthy => served(count, 1.0),
            PathCondition::Slow(slowdown) => served(count, slowdown),
            PathCondition::Silent => CallCounts { overdue: count, ..none },
            PathCondition::Unreachable => CallCounts { unreachable: count, ..none },
            PathCondition::Rejecting => CallCounts { rejected: count, ..none },
            PathCondition::Failing => CallCounts { failed: count, ..none },
            PathCondition::PartlyRejecting(share) => {
                let rejected = self.draw_count(count, share);
                CallCounts { rejected, ..served(count - rejected, 1.0) }
            }
            PathCondition::Lossy(share) => {
                let timed_out = self.draw_count(count, share);
                CallCounts { timed_out, ..served(count - timed_out, 1.0) }
            }
        }
    }

    fn draw_count(&mut self, count: u32, share: f64) -> u32 {
        (0..count).filter(|_| self.random.random::<f64>() < share).count() as u32
    }

    /// Has a sidecar probe a zone, and report the results at once with its calls.
    fn probe(&mut self, name: &str, zone: &str, count: u32) {
        let Some(n) = self.sidecars.iter().position(|sidecar| sidecar.name == name) else { return };
        let answered = match self.path(self.sidecars[n].zone, zone) {
            PathCondition::Silent | PathCondition::Unreachable => 0,
            PathCondition::Lossy(share) => count - self.draw_count(count, share),
            _ => count,
        };
        let counts = CallCounts {
            probes_answered: answered,
            probes_unanswered: count - answered,
            ..CallCounts::default()
        };
        self.unreported_probes.push(UnreportedProbes { sidecar: n, zone: zone.to_owned(), counts });
        self.send_digest(n);
    }

    /// The time from `since` to the first transition of a zone, from then on, into a state that matches.
    pub fn time_to(
        &self,
        since: Duration,
        zone: &str,
        matches: impl Fn(ZoneState) -> bool,
    ) -> Option<Duration> {
        let found = self
            .transitions
            .iter()
            .find(|(at, transition)| *at >= since && transition.zone == zone && matches(transition.to));
        found.map(|(at, _)| *at - since)
    }
}
