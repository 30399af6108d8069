//! What follows for halls from what is seen of them: who is left, probed, returned to, and by what pace.
//!
//! One machine for both ways of going: at the keeper that leads, on all sidecars' evidence, its moves become versions; in a
//! sidecar that has lost the keepers, on its own calls, its moves are its own. It reads no clock and draws nothing.

use crate::signals::{Verdict, ZoneSignals};
use crate::zone_states::{Baseline, OverrideAction, ZoneRecord, ZoneState, ZoneStates, tier_of, zone_of};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_control_plane::evidence::Digest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod guards;
mod probes;
mod tracking;
mod transitions;
mod zone_pairs;

use probes::{Probes, turn};
use tracking::{Along, Since, Step};

/// What is seen by some only is waited for so long, before it is taken for a cut of their way alone.
const OTHERS_WITHIN: Duration = Duration::from_millis(500);
/// What a hall's others say well of it counts if they said it so long after it was first seen ill: later than any call
/// that went out before.
const SAID_SINCE: Duration = Duration::from_millis(150);
/// A move that is proposed is waited for so long.
const DECIDED_WITHIN: Duration = Duration::from_millis(600);
/// Sidecars of a hall that probe for it at once, probes of each, and how soon again.
const PROBERS: usize = 2;
const PROBES_EACH: u32 = 2;
const PROBE_AGAIN: Duration = Duration::from_millis(250);
/// One that is suspect for longer than this, and not more, is probed so seldom.
const SUSPECT_MOST: Duration = Duration::from_secs(2);
/// One that answers is probed so many times as often, for the few probes that let calls in.
const ANSWERING: u32 = 4;
/// Halls whose sidecars probe one that is suspect, at the most.
const PROBING_HALLS: usize = 3;
/// Parts of a step's calls that may be lost, or be turned away, and how many times as long as before they may take, for it to
/// be good; beyond twice that it is bad.
const LOST_GOOD: f64 = 0.02;
const FULL_GOOD: f64 = 0.05;
const STRETCH_GOOD: f64 = 1.6;

/// What the machine is told of the world.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// Sidecars that are there: by hall, their names.
    pub sidecars: BTreeMap<String, Vec<String>>,
    /// Operator overrides that have not expired, by hall or region.
    pub overrides: BTreeMap<String, ActiveOverride>,
    /// All automatic moves stand still.
    pub frozen: bool,
    /// Turns that draw nothing: whose turn it is to probe goes by it.
    pub turn: u64,
}

/// An operator override.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveOverride {
    /// What the operator wants.
    pub action: OverrideAction,
    /// Why, and who.
    pub why: String,
}

/// How a hall is to stand next.
struct Change {
    state: ZoneState,
    why: String,
    /// An operator override holds it there.
    by_hand: bool,
}

impl Change {
    fn to(state: ZoneState, why: impl Into<String>) -> Change {
        Change { state, why: why.into(), by_hand: false }
    }

    fn overridden(state: ZoneState, why: String) -> Change {
        Change { state, why, by_hand: true }
    }
}

/// A move of one hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Transition {
    /// The hall.
    pub zone: String,
    /// How it stood.
    pub from: ZoneState,
    /// How it is to stand.
    pub to: ZoneState,
    /// Why.
    pub why: String,
}

/// What the machine wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// This is to be decided.
    Propose {
        /// How all halls are to stand.
        states: ZoneStates,
        /// What moves by it.
        transitions: Vec<Transition>,
    },
    /// A sidecar is to probe a hall, at once.
    Probe {
        /// The sidecar's name.
        sidecar: String,
        /// The hall.
        zone: String,
        /// How many probes.
        count: u32,
    },
}

/// The machine.
#[derive(Clone, Debug)]
pub struct ZoneStateMachine {
    settings: ZoneFailoverConfig,
    /// What evidence shows.
    pub signals: ZoneSignals,
    zone_states: ZoneStates,
    since: BTreeMap<String, Since>,
    steps: BTreeMap<String, Step>,
    along: BTreeMap<String, Along>,
    /// By the hall that probes, empty for all, and the one that is probed.
    probes: BTreeMap<(String, String), Probes>,
    /// Ways that were cut: when last, and how often in a row.
    cuts: BTreeMap<(String, String), (Duration, u32)>,
    asked_until: Duration,
    forget_at: Duration,
}

impl ZoneStateMachine {
    /// One that has seen nothing.
    pub fn new(rules: ZoneFailoverConfig) -> ZoneStateMachine {
        let (signals, zone_states, since, steps, along, probes, cuts, asked_until, forget_at) =
            Default::default();
        ZoneStateMachine {
            settings: rules,
            signals,
            zone_states,
            since,
            steps,
            along,
            probes,
            cuts,
            asked_until,
            forget_at,
        }
    }

    /// How halls stand, as decided.
    pub fn zone_states(&self) -> &ZoneStates {
        &self.zone_states
    }

    /// What it goes by.
    pub fn settings(&self) -> &ZoneFailoverConfig {
        &self.settings
    }

    /// The region of a hall, if it is in one.
    pub fn region(&self, zone: &str) -> Option<&str> {
        let zone = zone_of(zone);
        let found = self.settings.regions.iter().find(|(_, zones)| zones.iter().any(|one| one == zone));
        found.map(|(region, _)| &region[..])
    }

    /// A sidecar tells what its calls have shown.
    pub fn record(&mut self, now: Duration, name: &str, digest: &Digest) {
        self.signals.record(now, name, digest, &self.settings);
        for (zone, calls) in &digest.calls_by_zone {
            if let Some(step) = self.steps.get_mut(zone) {
                step.saw(calls);
            }
            if let Some(along) = self.along.get_mut(zone) {
                along.saw(now, name, calls);
            }
            for from in [String::new(), digest.zone.clone()] {
                if let Some(probes) = self.probes.get_mut(&(from, zone.clone())) {
                    probes.saw(
                        name,
                        calls.probes_answered,
                        calls.probes_unanswered,
                        self.settings.probes_required as usize * 2,
                    );
                }
            }
        }
    }

    /// This is decided of halls.
    pub fn apply(&mut self, now: Duration, zone_states: &ZoneStates) {
        if self.zone_states == *zone_states {
            return;
        }
        let names: BTreeSet<&String> =
            self.zone_states.zones.keys().chain(zone_states.zones.keys()).collect();
        for zone in names {
            let (before, after) = (self.zone_states.state(zone), zone_states.state(zone));
            if before == after {
                continue;
            }
            let since = self.since.entry(zone.clone()).or_default();
            since.state = Some((after, now));
            (since.ill, since.slow, since.well) = Default::default();
            if after == ZoneState::Serving {
                since.returned = Some(now);
            }
            self.steps.remove(zone);
            self.along.remove(zone);
            if after == ZoneState::Left {
                self.along.insert(zone.clone(), Along::from(now));
            }
            if let ZoneState::Returning(_) = after {
                self.steps.insert(zone.clone(), Step::default());
            }
            let kind = |state: ZoneState| std::mem::discriminant(&state);
            if kind(before) != kind(after) {
                // What its calls were before speaks of what it was.
                self.signals.reset_zone(zone);
                self.probes.remove(&(String::new(), zone.clone()));
            }
        }
        self.probes.retain(|(from, to), _| from.is_empty() || zone_states.is_cut(from, to));
        self.note_ways(now, zone_states);
        self.zone_states = zone_states.clone();
        self.asked_until = now;
    }

    /// Ways that are cut from now on, or there again.
    fn note_ways(&mut self, now: Duration, zone_states: &ZoneStates) {
        let ways = |zone_states: &ZoneStates| -> BTreeSet<(String, String)> {
            let of = |(from, cut): (&String, &BTreeMap<String, String>)| {
                cut.keys().map(|to| (from.clone(), to.clone())).collect::<Vec<_>>()
            };
            zone_states.cut_pairs.iter().flat_map(of).collect()
        };
        let (before, after) = (ways(&self.zone_states), ways(zone_states));
        for way in after.difference(&before) {
            let known = self
                .cuts
                .get(way)
                .copied()
                .filter(|(at, _)| now.saturating_sub(*at) < self.settings.flap_window.0);
            self.cuts.insert(way.clone(), (now, known.map_or(1, |(_, times)| times.saturating_add(1))));
        }
        for (from, to) in before.symmetric_difference(&after) {
            self.signals.reset_pair(from, to);
        }
        let soon = self.settings.flap_window.0;
        self.cuts.retain(|way, (at, _)| after.contains(way) || now.saturating_sub(*at) < soon);
    }

    /// How long what was left so often in a row is let be.
    fn rest(&self, times: u32) -> Duration {
        let doubled = self.settings.cooldown.0.saturating_mul(1 << (times.clamp(1, 16) - 1));
        doubled.min(self.settings.max_cooldown.0)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, world: &Environment) -> Vec<Effect> {
        if now >= self.forget_at {
            self.signals.expire(now);
            self.forget_at = now + Duration::from_secs(5);
        }
        let mut wants = Vec::new();
        let mut next = self.zone_states.clone();
        let mut moves = Vec::new();
        for zone in self.zones(world) {
            if let Some(change) = self.next(now, &zone, world, &next, &mut wants) {
                let from = next.state(&zone);
                self.put(now, &mut next, &zone, &change);
                moves.push(Transition { zone, from, to: change.state, why: change.why });
            }
        }
        self.ways(now, world, &mut next, &mut moves, &mut wants);
        self.tidy(now, &mut next);
        if next != self.zone_states && now >= self.asked_until {
            self.asked_until = now + DECIDED_WITHIN;
            wants.push(Effect::Propose { states: next, transitions: moves });
        }
        wants
    }

    /// All halls that anything is known of.
    fn zones(&self, world: &Environment) -> Vec<String> {
        let seen = self.signals.zones().map(str::to_owned);
        let named = self.settings.regions.values().flatten().cloned();
        let all = seen
            .chain(named)
            .chain(self.zone_states.zones.keys().cloned())
            .chain(world.sidecars.keys().cloned());
        let all: BTreeSet<String> = all.filter(|zone| !zone.is_empty()).collect();
        all.into_iter().collect()
    }

    /// The sidecars that call the tier of a place, by their halls.
    fn callers<'a>(&self, world: &'a Environment, to: &str) -> BTreeMap<&'a str, Vec<&'a String>> {
        let of = |names: &'a Vec<String>| -> Vec<&'a String> {
            names.iter().filter(|name| self.signals.calls_tier_of(name, to)).collect()
        };
        let zones = world.sidecars.iter().map(|(zone, names)| (&zone[..], of(names)));
        zones.filter(|(_, names)| !names.is_empty()).collect()
    }

    /// The override of a hall: its own, that of its hall in all tiers, or that of its region.
    fn override_of<'a>(&self, zone: &str, world: &'a Environment) -> Option<&'a ActiveOverride> {
        let of = |name: &str| world.overrides.get(name);
        let named = of(zone).or_else(|| of(zone_of(zone))).or_else(|| self.region(zone).and_then(of));
        named.filter(|held| held.action != OverrideAction::Release)
    }

    /// How a hall is to stand next, and why; none where it stays.
    fn next(
        &mut self,
        now: Duration,
        zone: &str,
        world: &Environment,
        zone_states: &ZoneStates,
        wants: &mut Vec<Effect>,
    ) -> Option<Change> {
        let state = self.zone_states.state(zone);
        if let Some(ActiveOverride { action: what, why }) = self.override_of(zone, world) {
            let was_by_hand = self.zone_states.zones.get(zone).is_some_and(|held| held.overridden);
            match what {
                OverrideAction::Leave => {
                    let moves = state != ZoneState::Left || !was_by_hand;
                    return moves.then(|| Change::overridden(ZoneState::Left, format!("by hand: {why}")));
                }
                OverrideAction::Hold => {
                    let moves = state != ZoneState::Serving && !was_by_hand;
                    return moves.then(|| Change::overridden(state, format!("held by hand: {why}")));
                }
                OverrideAction::Return if state == ZoneState::Left => {
                    let first = self.first_step(zone);
                    return Some(Change::to(ZoneState::Returning(first), format!("by hand: {why}")));
                }
                OverrideAction::Return | OverrideAction::Release => {}
            }
        }
        if world.frozen || !self.settings.automatic {
            return None;
        }
        match state {
            ZoneState::Serving => self.serving(now, zone, world, zone_states, wants),
            ZoneState::Leaving(part) => self.leaving(now, zone, part, world, zone_states, wants),
            ZoneState::Left => self.left(now, zone, world, zone_states, wants),
            ZoneState::Returning(rate) => self.returning(now, zone, rate, world, wants),
        }
    }

    fn since(&mut self, zone: &str) -> &mut Since {
        self.since.entry(zone.to_owned()).or_default()
    }

    /// How long a hall has stood as it stands.
    fn stood(&mut self, now: Duration, zone: &str) -> Duration {
        let state = self.zone_states.state(zone);
        let since = self.since(zone);
        let (_, at) = *since.state.get_or_insert((state, now));
        now.saturating_sub(at)
    }

    /// A hall stands so from now on, in what is to be decided.
    fn put(&self, now: Duration, zone_states: &mut ZoneStates, zone: &str, change: &Change) {
        let Change { state, why, by_hand } = change;
        let (state, by_hand) = (*state, *by_hand);
        let seen = self.signals.statistics(now, zone);
        let known = zone_states.zones.get(zone).cloned();
        let stays = known
            .as_ref()
            .filter(|held| held.state != ZoneState::Serving || held.baseline.calls_per_s > 0.0);
        let mut before = stays.map_or_else(Baseline::default, |held| held.baseline);
        if known.as_ref().is_none_or(|held| held.state == ZoneState::Serving) {
            before = Baseline {
                calls_per_s: seen.baseline_per_s,
                latency_ratio: seen.baseline_latency_ratio.max(0.01),
            };
        }
        let mut flaps = known.as_ref().map_or(0, |held| held.flaps);
        let was_left = known.as_ref().is_some_and(|held| held.state == ZoneState::Left);
        if state == ZoneState::Left && !was_left && !by_hand {
            flaps = flaps.saturating_add(1);
        }
        // Half a hall that is back bears half as much.
        if let (ZoneState::Returning(_), true) = (state, was_left)
            && let Some(probes) = self.probes.get(&(String::new(), zone.to_owned()))
        {
            before.calls_per_s *= probes.answered();
        }
        zone_states.zones.insert(
            zone.to_owned(),
            ZoneRecord { state, why: why.clone(), baseline: before, flaps, overridden: by_hand },
        );
    }

    /// What is served again for long enough needs no word any more.
    fn tidy(&mut self, now: Duration, zone_states: &mut ZoneStates) {
        let soon = self.settings.flap_window.0;
        let served: Vec<String> = zone_states
            .zones
            .iter()
            .filter(|(_, held)| held.state == ZoneState::Serving)
            .map(|(zone, _)| zone.clone())
            .collect();
        for zone in served {
            let returned = *self.since(&zone).returned.get_or_insert(now);
            if now.saturating_sub(returned) >= soon {
                zone_states.zones.remove(&zone);
            }
        }
    }
}
