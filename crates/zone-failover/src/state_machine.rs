//! The zone state machine: decides which zones are left, probed and returned to, and at which pace.
//!
//! The same machine runs in two places. On the leading consensus server it takes in the evidence of all sidecars, and its
//! proposals become versions of the fleet view. In a sidecar that has lost the consensus servers it takes in that sidecar's
//! own calls alone, and its proposals apply to that sidecar alone. It reads no clock and draws no random numbers; all times
//! are of the caller's monotonic clock.

use crate::signals::ZoneSignals;
use crate::zone_states::{OverrideAction, ZoneState, ZoneStates, zone_of};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::{CallCounts, Digest};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::time::Duration;

mod guards;
mod probes;
mod tracking;
mod transitions;
mod zone_pairs;
mod zone_records;

use probes::{ProbeHistory, ProbeTarget};
use tracking::{OutcomeCounts, ResidualTraffic, ZoneTimes};
use zone_pairs::{CutHistory, ZonePair};

/// Time after which a proposal that was not decided is made again.
const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which old evidence is dropped.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);
/// Probe results that are kept, as a multiple of `probes_required`.
const PROBE_HISTORY_FACTOR: usize = 2;
/// Faults in a row beyond which a cool-down is doubled no further.
const MAX_COUNTED_FAULTS: u32 = 16;
/// Share of calls lost or failed up to which service is good.
const MAX_GOOD_LOSS: f64 = 0.02;
/// Share of calls rejected up to which service is good.
const MAX_GOOD_REJECTION: f64 = 0.05;
/// Latency, as a multiple of the baseline, up to which service is good.
const MAX_GOOD_LATENCY_RATIO: f64 = 1.6;

/// What the machine must know at a tick beside evidence and decided states.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Names of the sidecars that are alive, sorted, by zone.
    pub sidecars: BTreeMap<String, Vec<String>>,
    /// Operator overrides that have not expired, by zone, tier zone or region.
    pub overrides: BTreeMap<String, ActiveOverride>,
    /// Whether automatic transitions are frozen; overrides still apply.
    pub frozen: bool,
    /// Counter of ticks, by which sidecars take turns with probes.
    pub turn: u64,
}

/// An operator override that has not expired.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveOverride {
    /// What the operator wants.
    pub action: OverrideAction,
    /// The operator's reason and name.
    pub why: String,
}

/// The state that a zone is to change to.
struct StateChange {
    state: ZoneState,
    why: String,
    overridden: bool,
}

impl StateChange {
    fn automatic(state: ZoneState, why: impl Into<String>) -> StateChange {
        StateChange { state, why: why.into(), overridden: false }
    }

    fn overridden(state: ZoneState, why: String) -> StateChange {
        StateChange { state, why, overridden: true }
    }
}

/// A proposed change of state of one zone, or of one zone pair.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The zone; for a pair `FROM>TO`, with the states `Serving` and `Left`.
    pub zone: String,
    /// The state before.
    pub from: ZoneState,
    /// The state after.
    pub to: ZoneState,
    /// The reason, for operators.
    pub why: String,
}

/// What the host is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Have new zone states decided.
    Propose {
        /// The complete zone states.
        states: ZoneStates,
        /// The changes that they contain.
        transitions: Vec<Transition>,
    },
    /// Have a sidecar probe a zone at once.
    Probe {
        /// The sidecar's name.
        sidecar: String,
        /// The zone to be probed.
        zone: String,
        /// Number of probes.
        count: u32,
    },
}

/// One tick of the machine: its inputs, and the effects so far.
struct TickContext<'a> {
    now: Duration,
    environment: &'a Environment,
    effects: Vec<Effect>,
}

/// The zone state machine.
#[derive(Clone, Debug)]
pub struct ZoneStateMachine {
    settings: ZoneFailoverConfig,
    /// The evidence on zones and zone pairs.
    pub signals: ZoneSignals,
    /// The states as decided.
    zone_states: ZoneStates,
    times: BTreeMap<String, ZoneTimes>,
    /// Outcomes in the current step of each returning zone.
    step_outcomes: BTreeMap<String, OutcomeCounts>,
    residual_traffic: BTreeMap<String, ResidualTraffic>,
    probes: BTreeMap<ProbeTarget, ProbeHistory>,
    cuts: BTreeMap<ZonePair, CutHistory>,
    next_proposal_at: Duration,
    next_expiry_at: Duration,
}

impl ZoneStateMachine {
    /// A machine without evidence, for which all zones serve.
    pub fn new(settings: ZoneFailoverConfig) -> ZoneStateMachine {
        ZoneStateMachine {
            settings,
            signals: ZoneSignals::default(),
            zone_states: ZoneStates::default(),
            times: BTreeMap::new(),
            step_outcomes: BTreeMap::new(),
            residual_traffic: BTreeMap::new(),
            probes: BTreeMap::new(),
            cuts: BTreeMap::new(),
            next_proposal_at: Duration::ZERO,
            next_expiry_at: Duration::ZERO,
        }
    }

    /// The zone states as decided.
    pub fn zone_states(&self) -> &ZoneStates {
        &self.zone_states
    }

    /// The settings that it decides by.
    pub fn settings(&self) -> &ZoneFailoverConfig {
        &self.settings
    }

    /// The region of a zone or tier zone, if it is configured to be in one.
    pub fn region(&self, zone: &str) -> Option<&str> {
        let zone = zone_of(zone);
        let found = self.settings.regions.iter().find(|(_, zones)| zones.iter().any(|one| one == zone));
        found.map(|(region, _)| &region[..])
    }

    /// Takes in a digest of the sidecar `name`.
    pub fn record(&mut self, now: Duration, name: &str, digest: &Digest) {
        self.signals.record(now, name, digest, &self.settings);
        for (zone, calls) in &digest.calls_by_zone {
            if let Some(outcomes) = self.step_outcomes.get_mut(zone) {
                outcomes.record(calls);
            }
            if let Some(traffic) = self.residual_traffic.get_mut(zone) {
                traffic.record(now, name, calls);
            }
            self.record_probes(name, &digest.zone, zone, calls);
        }
    }

    fn record_probes(&mut self, name: &str, from: &str, to: &str, calls: &CallCounts) {
        let max_results = self.settings.probes_required as usize * PROBE_HISTORY_FACTOR;
        for target in [ProbeTarget::zone(to), ProbeTarget::zone_pair(from, to)] {
            if let Some(history) = self.probes.get_mut(&target) {
                history.record(name, calls.probes_answered, calls.probes_unanswered, max_results);
            }
        }
    }

    /// Takes over zone states that were decided.
    pub fn apply(&mut self, now: Duration, zone_states: &ZoneStates) {
        if self.zone_states == *zone_states {
            return;
        }
        let zones: BTreeSet<&String> =
            self.zone_states.zones.keys().chain(zone_states.zones.keys()).collect();
        let changes: Vec<(String, ZoneState, ZoneState)> = zones
            .into_iter()
            .map(|zone| (zone.clone(), self.zone_states.state(zone), zone_states.state(zone)))
            .filter(|(_, before, after)| before != after)
            .collect();
        for (zone, before, after) in changes {
            self.apply_change(now, &zone, before, after);
        }
        self.record_pair_changes(now, zone_states);
        self.zone_states = zone_states.clone();
        self.next_proposal_at = now;
    }

    fn apply_change(&mut self, now: Duration, zone: &str, before: ZoneState, after: ZoneState) {
        let times = self.times(zone);
        times.state_changed(now);
        if after == ZoneState::Serving {
            times.returned_at = Some(now);
        }
        self.step_outcomes.remove(zone);
        self.residual_traffic.remove(zone);
        match after {
            ZoneState::Left => {
                self.residual_traffic.insert(zone.to_owned(), ResidualTraffic::starting_at(now));
            }
            ZoneState::Returning(_) => {
                self.step_outcomes.insert(zone.to_owned(), OutcomeCounts::default());
            }
            ZoneState::Serving | ZoneState::Leaving(_) => {}
        }
        if std::mem::discriminant(&before) != std::mem::discriminant(&after) {
            self.signals.reset_zone(zone);
            self.probes.remove(&ProbeTarget::zone(zone));
        }
    }

    /// Evaluates all zones and zone pairs. To be called several times a second.
    pub fn tick(&mut self, now: Duration, environment: &Environment) -> Vec<Effect> {
        if now >= self.next_expiry_at {
            self.signals.expire(now);
            self.next_expiry_at = now + EXPIRY_INTERVAL;
        }
        let mut context = TickContext { now, environment, effects: Vec::new() };
        let mut next = self.zone_states.clone();
        let mut transitions = Vec::new();
        for zone in self.zones(environment) {
            if let Some(change) = self.next_change(&mut context, &zone, &next) {
                let from = next.state(&zone);
                self.write_change(now, &mut next, &zone, &change);
                transitions.push(Transition { zone, from, to: change.state, why: change.why });
            }
        }
        self.update_pairs(&mut context, &mut next, &mut transitions);
        self.remove_settled_records(now, &mut next);
        let mut effects = context.effects;
        if next != self.zone_states && now >= self.next_proposal_at {
            self.next_proposal_at = now + PROPOSAL_TIMEOUT;
            effects.push(Effect::Propose { states: next, transitions });
        }
        effects
    }

    /// All zones that evidence, settings, decided states or sidecars name.
    fn zones(&self, environment: &Environment) -> Vec<String> {
        let all: BTreeSet<&str> = self
            .signals
            .zones()
            .chain(self.settings.regions.values().flatten().map(String::as_str))
            .chain(self.zone_states.zones.keys().map(String::as_str))
            .chain(environment.sidecars.keys().map(String::as_str))
            .filter(|zone| !zone.is_empty())
            .collect();
        all.into_iter().map(str::to_owned).collect()
    }

    /// The sidecars that call the tier of a tier zone, by their zones.
    fn callers<'a>(&self, environment: &'a Environment, to: &str) -> BTreeMap<&'a str, Vec<&'a String>> {
        let callers_among = |names: &'a Vec<String>| -> Vec<&'a String> {
            names.iter().filter(|name| self.signals.calls_tier_of(name, to)).collect()
        };
        let by_zone = environment.sidecars.iter().map(|(zone, names)| (&zone[..], callers_among(names)));
        by_zone.filter(|(_, names)| !names.is_empty()).collect()
    }

    /// The override of a tier zone: its own, that of its zone in all tiers, or that of its region.
    fn override_of<'a>(&self, zone: &str, environment: &'a Environment) -> Option<&'a ActiveOverride> {
        let named = |name: &str| environment.overrides.get(name);
        let found =
            named(zone).or_else(|| named(zone_of(zone))).or_else(|| self.region(zone).and_then(named));
        found.filter(|active| active.action != OverrideAction::Release)
    }

    /// The change of a zone's state that is due, if any.
    fn next_change(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        next: &ZoneStates,
    ) -> Option<StateChange> {
        if let Some(active) = self.override_of(zone, context.environment)
            && let ControlFlow::Break(change) = self.overridden_change(zone, active)
        {
            return change;
        }
        if context.environment.frozen || !self.settings.automatic {
            return None;
        }
        match self.zone_states.state(zone) {
            ZoneState::Serving => self.next_from_serving(context, zone, next),
            ZoneState::Leaving(share) => self.next_from_leaving(context, zone, share, next),
            ZoneState::Left => self.next_from_left(context, zone, next),
            ZoneState::Returning(rate) => self.next_from_returning(context, zone, rate),
        }
    }

    /// What an override decides: `Break` with the change if one is due, or `Continue` with the automatic transitions.
    fn overridden_change(&self, zone: &str, active: &ActiveOverride) -> ControlFlow<Option<StateChange>> {
        let state = self.zone_states.state(zone);
        let is_overridden = self.zone_states.zones.get(zone).is_some_and(|record| record.overridden);
        let why = &active.why;
        match active.action {
            OverrideAction::Leave => {
                let is_due = state != ZoneState::Left || !is_overridden;
                let change = || StateChange::overridden(ZoneState::Left, format!("by hand: {why}"));
                ControlFlow::Break(is_due.then(change))
            }
            OverrideAction::Hold => {
                let is_due = state != ZoneState::Serving && !is_overridden;
                let change = || StateChange::overridden(state, format!("held by hand: {why}"));
                ControlFlow::Break(is_due.then(change))
            }
            OverrideAction::Return if state == ZoneState::Left => {
                let returning = ZoneState::Returning(self.first_step(zone));
                ControlFlow::Break(Some(StateChange::automatic(returning, format!("by hand: {why}"))))
            }
            OverrideAction::Return | OverrideAction::Release => ControlFlow::Continue(()),
        }
    }

    /// The cool-down after this many faults in a row: it doubles with each, up to `max_cooldown`.
    fn cooldown(&self, faults: u32) -> Duration {
        let doublings = faults.clamp(1, MAX_COUNTED_FAULTS) - 1;
        self.settings.cooldown.0.saturating_mul(1 << doublings).min(self.settings.max_cooldown.0)
    }

    fn times(&mut self, zone: &str) -> &mut ZoneTimes {
        self.times.entry(zone.to_owned()).or_default()
    }

    /// How long a zone has been in its state, counted from the first look if that is later.
    fn time_in_state(&mut self, now: Duration, zone: &str) -> Duration {
        let since = *self.times(zone).state_since.get_or_insert(now);
        now.saturating_sub(since)
    }
}
