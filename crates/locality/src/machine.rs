//! What follows for halls from what is seen of them: who is left, probed, returned to, and by what pace.
//!
//! One machine for both ways of going: at the keeper that leads, on all sidecars' evidence, its moves become versions; in a
//! sidecar that has lost the keepers, on its own calls, its moves are its own. It reads no clock and draws nothing.

use crate::places::{Before, Hall, Hand, Places, State, hall_of, tier_of};
use crate::signals::{Shows, Signals};
use curlewhub_config::fleet::PlacesConfig;
use curlewhub_fleet::evidence::Digest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

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
/// A step of a return is judged by so many calls, or after so long.
const STEP_CALLS: u32 = 10;
const STEP_MOST: Duration = Duration::from_secs(2);
/// A step that is neither good nor bad for so long goes back.
const STEP_HOLDS: Duration = Duration::from_secs(4);
/// Parts of a step's calls that may be lost, or be turned away, and how many times as long as before they may take, for it to
/// be good; beyond twice that it is bad.
const LOST_GOOD: f64 = 0.02;
const FULL_GOOD: f64 = 0.05;
const STRETCH_GOOD: f64 = 1.6;
/// A hall that is left by half of this, as it is slow, is left to no smaller part.
const PART_LEAST: f64 = 0.05;
/// Calls a second that a hall bore of which nothing is known.
const BORE_LEAST: f64 = 4.0;

/// What the machine is told of the world.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Sidecars that are there: by hall, their names.
    pub sidecars: BTreeMap<String, Vec<String>>,
    /// What operators want, by hall or region, and why, as long as it holds.
    pub hands: BTreeMap<String, (Hand, String)>,
    /// All automatic moves stand still.
    pub frozen: bool,
    /// Turns that draw nothing: whose turn it is to probe goes by it.
    pub turn: u64,
}

/// A move of one hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Moved {
    /// The hall.
    pub hall: String,
    /// How it stood.
    pub from: State,
    /// How it is to stand.
    pub to: State,
    /// Why.
    pub why: String,
}

/// What the machine wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Wants {
    /// This is to be decided.
    Decide(Places, Vec<Moved>),
    /// A sidecar is to probe a hall so often, at once.
    Probe(String, String, u32),
}

/// What a returning hall's step has brought.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    served: u32,
    lost: u32,
    full: u32,
    error: u32,
    took_ms: u32,
    usual_ms: u32,
}

/// Probes of a hall that is left, or of one that some halls' sidecars don't reach.
#[derive(Clone, Debug, Default)]
struct Probes {
    /// The last ones, the newest last: whether it was answered.
    last: Vec<bool>,
    by: BTreeSet<String>,
    next: Duration,
}

/// Since when something holds of a hall.
#[derive(Clone, Debug, Default)]
struct Since {
    /// Its state is this, since then.
    state: Option<(State, Duration)>,
    ill: Option<Duration>,
    slow: Option<Duration>,
    well: Option<Duration>,
    /// When it was last returned to.
    returned: Option<Duration>,
    probed: Option<Duration>,
}

/// The machine.
#[derive(Clone, Debug)]
pub struct Machine {
    rules: PlacesConfig,
    /// What evidence shows.
    pub signals: Signals,
    places: Places,
    since: BTreeMap<String, Since>,
    steps: BTreeMap<String, Step>,
    /// By the hall that probes, empty for all, and the one that is probed.
    probes: BTreeMap<(String, String), Probes>,
    /// Ways that were cut: when last, and how often in a row.
    cuts: BTreeMap<(String, String), (Duration, u32)>,
    asked_until: Duration,
    forget_at: Duration,
}

impl Machine {
    /// One that has seen nothing.
    pub fn new(rules: PlacesConfig) -> Machine {
        let (signals, places, since, steps, probes, cuts, asked_until, forget_at) = Default::default();
        Machine { rules, signals, places, since, steps, probes, cuts, asked_until, forget_at }
    }

    /// How halls stand, as decided.
    pub fn places(&self) -> &Places {
        &self.places
    }

    /// What it goes by.
    pub fn rules(&self) -> &PlacesConfig {
        &self.rules
    }

    /// The region of a hall, if it is in one.
    pub fn region(&self, hall: &str) -> Option<&str> {
        let hall = hall_of(hall);
        let found = self.rules.regions.iter().find(|(_, halls)| halls.iter().any(|one| one == hall));
        found.map(|(region, _)| &region[..])
    }

    /// A sidecar tells what its calls have shown.
    pub fn saw(&mut self, now: Duration, name: &str, digest: &Digest) {
        self.signals.saw(now, name, digest, &self.rules);
        for (hall, calls) in &digest.rows {
            if let Some(step) = self.steps.get_mut(hall) {
                step.served += calls.served;
                step.lost += calls.lost();
                step.full += calls.full;
                step.error += calls.error;
                step.took_ms += calls.took_ms;
                step.usual_ms += calls.usual_ms;
            }
            for from in [String::new(), digest.hall.clone()] {
                if let Some(probes) = self.probes.get_mut(&(from, hall.clone())) {
                    probes.saw(name, calls.there, calls.not_there, self.rules.probes_good as usize * 2);
                }
            }
        }
    }

    /// This is decided of halls.
    pub fn decided(&mut self, now: Duration, places: &Places) {
        if self.places == *places {
            return;
        }
        let names: BTreeSet<&String> = self.places.halls.keys().chain(places.halls.keys()).collect();
        for hall in names {
            let (before, after) = (self.places.state(hall), places.state(hall));
            if before == after {
                continue;
            }
            let since = self.since.entry(hall.clone()).or_default();
            since.state = Some((after, now));
            (since.ill, since.slow, since.well) = Default::default();
            if after == State::Serving {
                since.returned = Some(now);
            }
            self.steps.remove(hall);
            if let State::Returning(_) = after {
                self.steps.insert(hall.clone(), Step::default());
            }
            let kind = |state: State| std::mem::discriminant(&state);
            if kind(before) != kind(after) {
                // What its calls were before speaks of what it was.
                self.signals.begin_anew(hall);
                self.probes.remove(&(String::new(), hall.clone()));
            }
        }
        self.probes.retain(|(from, to), _| from.is_empty() || places.is_cut(from, to));
        self.note_ways(now, places);
        self.places = places.clone();
        self.asked_until = now;
    }

    /// Ways that are cut from now on, or there again.
    fn note_ways(&mut self, now: Duration, places: &Places) {
        let ways = |places: &Places| -> BTreeSet<(String, String)> {
            let of = |(from, cut): (&String, &BTreeMap<String, String>)| {
                cut.keys().map(|to| (from.clone(), to.clone())).collect::<Vec<_>>()
            };
            places.cut.iter().flat_map(of).collect()
        };
        let (before, after) = (ways(&self.places), ways(places));
        for way in after.difference(&before) {
            let known =
                self.cuts.get(way).copied().filter(|(at, _)| now.saturating_sub(*at) < self.rules.soon.0);
            self.cuts.insert(way.clone(), (now, known.map_or(1, |(_, times)| times.saturating_add(1))));
        }
        for (from, to) in before.symmetric_difference(&after) {
            self.signals.begin_way_anew(from, to);
        }
        let soon = self.rules.soon.0;
        self.cuts.retain(|way, (at, _)| after.contains(way) || now.saturating_sub(*at) < soon);
    }

    /// How long what was left so often in a row is let be.
    fn rest(&self, times: u32) -> Duration {
        let doubled = self.rules.rest.0.saturating_mul(1 << (times.clamp(1, 16) - 1));
        doubled.min(self.rules.rest_most.0)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Duration, world: &World) -> Vec<Wants> {
        if now >= self.forget_at {
            self.signals.forget(now);
            self.forget_at = now + Duration::from_secs(5);
        }
        let mut wants = Vec::new();
        let mut next = self.places.clone();
        let mut moves = Vec::new();
        for hall in self.halls(world) {
            if let Some((state, why, by_hand)) = self.next(now, &hall, world, &next, &mut wants) {
                let from = next.state(&hall);
                self.put(now, &mut next, &hall, state, &why, by_hand);
                moves.push(Moved { hall, from, to: state, why });
            }
        }
        self.ways(now, world, &mut next, &mut moves, &mut wants);
        self.tidy(now, &mut next);
        if next != self.places && now >= self.asked_until {
            self.asked_until = now + DECIDED_WITHIN;
            wants.push(Wants::Decide(next, moves));
        }
        wants
    }

    /// All halls that anything is known of.
    fn halls(&self, world: &World) -> Vec<String> {
        let seen = self.signals.halls().map(str::to_owned);
        let named = self.rules.regions.values().flatten().cloned();
        let all = seen
            .chain(named)
            .chain(self.places.halls.keys().cloned())
            .chain(world.sidecars.keys().cloned());
        let all: BTreeSet<String> = all.filter(|hall| !hall.is_empty()).collect();
        all.into_iter().collect()
    }

    /// The sidecars that call the tier of a place, by their halls.
    fn callers<'a>(&self, world: &'a World, to: &str) -> BTreeMap<&'a str, Vec<&'a String>> {
        let of = |names: &'a Vec<String>| -> Vec<&'a String> {
            names.iter().filter(|name| self.signals.calls(name, to)).collect()
        };
        let halls = world.sidecars.iter().map(|(hall, names)| (&hall[..], of(names)));
        halls.filter(|(_, names)| !names.is_empty()).collect()
    }

    fn hand<'a>(&self, hall: &str, world: &'a World) -> Option<(Hand, &'a str)> {
        let of = |name: &str| world.hands.get(name).map(|(hand, why)| (*hand, &why[..]));
        let named = of(hall).or_else(|| of(hall_of(hall))).or_else(|| self.region(hall).and_then(of));
        named.filter(|(hand, _)| *hand != Hand::Release)
    }

    /// How a hall is to stand next, and why; none where it stays.
    fn next(
        &mut self,
        now: Duration,
        hall: &str,
        world: &World,
        places: &Places,
        wants: &mut Vec<Wants>,
    ) -> Option<(State, String, bool)> {
        let state = self.places.state(hall);
        let was_by_hand = self.places.halls.get(hall).is_some_and(|held| held.by_hand);
        match self.hand(hall, world) {
            Some((Hand::Leave, why)) => {
                return (state != State::Left || !was_by_hand)
                    .then(|| (State::Left, format!("by hand: {why}"), true));
            }
            Some((Hand::Hold, why)) => {
                return (!was_by_hand && state != State::Serving)
                    .then(|| (state, format!("held by hand: {why}"), true));
            }
            Some((Hand::Return, why)) if state == State::Left => {
                let first = self.first_step(hall);
                return Some((State::Returning(first), format!("by hand: {why}"), false));
            }
            _ => {}
        }
        if world.frozen || !self.rules.automatic {
            return None;
        }
        let moved = match state {
            State::Serving => self.serving(now, hall, world, places, wants),
            State::Leaving(part) => self.leaving(now, hall, part, world, places, wants),
            State::Left => self.left(now, hall, world, places, wants),
            State::Returning(rate) => self.returning(now, hall, rate, world, wants),
        };
        moved.map(|(state, why)| (state, why, false))
    }

    fn since(&mut self, hall: &str) -> &mut Since {
        self.since.entry(hall.to_owned()).or_default()
    }

    /// How long a hall has stood as it stands.
    fn stood(&mut self, now: Duration, hall: &str) -> Duration {
        let state = self.places.state(hall);
        let since = self.since(hall);
        let (_, at) = *since.state.get_or_insert((state, now));
        now.saturating_sub(at)
    }

    fn serving(
        &mut self,
        now: Duration,
        hall: &str,
        world: &World,
        places: &Places,
        wants: &mut Vec<Wants>,
    ) -> Option<(State, String)> {
        if let Some(why) = self.is_ill(now, hall, world, wants) {
            return self.may_leave(now, hall, places).then_some((State::Left, why));
        }
        let seen = self.signals.now(now, hall);
        if !self.is_slow(now, hall, seen.before_stretch) {
            return None;
        }
        let why =
            format!("takes {:.1} times as long as before", seen.stretch / seen.before_stretch.max(0.01));
        if self.others_are_strained(now, hall) {
            return None;
        }
        self.may_leave(now, hall, places).then_some((State::Leaving(0.5), why))
    }

    fn leaving(
        &mut self,
        now: Duration,
        hall: &str,
        part: f64,
        world: &World,
        places: &Places,
        wants: &mut Vec<Wants>,
    ) -> Option<(State, String)> {
        if let Some(why) = self.is_ill(now, hall, world, wants) {
            return self.may_leave(now, hall, places).then_some((State::Left, why));
        }
        let before = self.places.halls.get(hall).map_or(1.0, |held| held.before.stretch);
        let (stood, step) = (self.stood(now, hall), self.rules.slow_for.0);
        let stretch = self.signals.now(now, hall).stretch / before.max(0.01);
        if self.others_are_strained(now, hall) {
            // What was shifted is more than those that stay bear: a slow hall serves more than a refusal does.
            let more = part * 2.0;
            let next = if more >= 1.0 { State::Serving } else { State::Leaving(more) };
            return (stood >= step / 2).then(|| (next, "the others are at what they bear".to_owned()));
        }
        if self.is_slow(now, hall, before) {
            let less = (part / 2.0).max(PART_LEAST);
            let why = format!("still takes {stretch:.1} times as long as before");
            return (less < part && stood >= step / 2).then_some((State::Leaving(less), why));
        }
        let since = self.since(hall);
        if stretch > STRETCH_GOOD {
            since.well = None;
            return None;
        }
        let well = *since.well.get_or_insert(now);
        if now.saturating_sub(well) < step || stood < step {
            return None;
        }
        let more = part * 2.0;
        let next = if more >= 1.0 { State::Serving } else { State::Leaving(more) };
        Some((next, format!("takes {stretch:.1} times as long as before")))
    }

    fn left(
        &mut self,
        now: Duration,
        hall: &str,
        world: &World,
        places: &Places,
        wants: &mut Vec<Wants>,
    ) -> Option<(State, String)> {
        let held = self.places.halls.get(hall)?;
        let rest = self.rest(held.flaps);
        if self.stood(now, hall) < rest {
            return None;
        }
        // The halls of a region come back one after another: their load comes from the same others.
        let region = self.region(hall).map(str::to_owned);
        let another = |other: &String| {
            *other != *hall
                && matches!(places.state(other), State::Returning(_))
                && tier_of(other) == tier_of(hall)
                && region.as_deref() == self.region(other)
        };
        if region.is_some() && places.halls.keys().any(another) {
            return None;
        }
        self.probe(now, "", hall, world, wants);
        let probes = self.probes.get(&(String::new(), hall.to_owned()))?;
        let there = self.callers(world, hall).values().map(Vec::len).sum::<usize>();
        let good = probes.good(self.rules.probes_good as usize, there.min(2))?;
        // Half a hall that is back bears half of what it bore.
        let first = self.first_step(hall);
        let why = format!(
            "{} of the last {} probes by {} sidecars are answered",
            good.0,
            good.1,
            probes.by.len()
        );
        Some((State::Returning(first), why))
    }

    fn first_step(&self, hall: &str) -> f64 {
        self.bore(hall) * self.rules.first_step
    }

    /// Calls a second that a hall bore before it was left.
    fn bore(&self, hall: &str) -> f64 {
        self.places.halls.get(hall).map_or(0.0, |held| held.before.calls_per_s).max(BORE_LEAST)
    }

    fn returning(
        &mut self,
        now: Duration,
        hall: &str,
        rate: f64,
        world: &World,
        wants: &mut Vec<Wants>,
    ) -> Option<(State, String)> {
        let (stood, step) = (self.stood(now, hall), self.steps.get(hall).copied().unwrap_or_default());
        let calls = step.served + step.lost + step.full + step.error;
        let part = |n: u32| f64::from(n) / f64::from(calls.max(1));
        let (lost, full) = (part(step.lost + step.error), part(step.full));
        let before = self.places.halls.get(hall).map_or(1.0, |held| held.before.stretch.max(0.01));
        let stretch = f64::from(step.took_ms) / f64::from(step.usual_ms.max(1)) / before;
        let seen = format!(
            "of {calls} calls {:.0}% lost, {:.0}% turned away, {stretch:.1} times as long as before",
            lost * 100.0,
            full * 100.0
        );
        let gone = step.lost + step.error >= 5 && lost > self.rules.sound_loses;
        if gone || self.is_ill(now, hall, world, wants).is_some() {
            return Some((State::Left, seen));
        }
        let enough = calls >= STEP_CALLS || (stood >= STEP_MOST && calls > 0) || stood >= STEP_MOST * 2;
        if stood < self.rules.step_least.0 || !enough {
            return None;
        }
        let over = |n: f64, good: f64| n / good;
        let worst = over(lost, LOST_GOOD).max(over(full, FULL_GOOD)).max(over(stretch, STRETCH_GOOD));
        let (bore, first) = (self.bore(hall), self.first_step(hall));
        if worst <= 1.0 {
            // Where less comes than may, there is no more to let in.
            let came = f64::from(calls) / stood.as_secs_f64().max(0.05);
            let all_in = rate >= bore || (came < rate / 2.0 && rate >= bore / 2.0);
            let next =
                if all_in { State::Serving } else { State::Returning((rate * self.rules.step).min(bore)) };
            return Some((next, seen));
        }
        if worst > 2.0 || stood >= STEP_HOLDS {
            let back = (rate / 2.0).max(first);
            return (back < rate || worst > 2.0).then_some((State::Returning(back), seen));
        }
        None
    }

    /// Whether a hall is dark, or answers with errors alone, for all; and why.
    fn is_ill(
        &mut self,
        now: Duration,
        hall: &str,
        world: &World,
        wants: &mut Vec<Wants>,
    ) -> Option<String> {
        let shows: Vec<(String, Shows, Duration)> = self
            .signals
            .of(now, hall, &self.rules)
            .map(|(from, shows, at)| (from.to_owned(), shows, at))
            .collect();
        if shows.iter().all(|(_, shows, _)| *shows == Shows::Well) {
            self.since(hall).ill = None;
            return None;
        }
        let ill = *self.since(hall).ill.get_or_insert(now);
        let well = shows.iter().any(|(_, shows, at)| *shows == Shows::Well && *at >= ill + SAID_SINCE);
        let witnesses = self.signals.witnesses(now, hall, None);
        let callers = self.callers(world, hall);
        let there = callers.values().map(Vec::len).sum();
        let enough = witnesses.losing as usize >= (self.rules.witnesses as usize).min(there)
            && witnesses.halls.len() >= (self.rules.halls_of_witnesses as usize).min(callers.len());
        // All ways into it together: where its own sidecars have few calls, or have left it by their own calls, none alone would
        // come to the alarm for long.
        let merged = self.signals.merged(now, hall, &self.rules);
        if merged != Shows::Well && merged != Shows::Unsure && !well && enough {
            let how = if merged == Shows::Failing { "answers with errors" } else { "dark" };
            return Some(format!(
                "{how} to {} of {} sidecars that tell of it, in {} halls",
                witnesses.losing,
                witnesses.all,
                witnesses.halls.len()
            ));
        }
        // Others are asked what they see of it, before anything is done on one hall's word.
        let again = if now < ill + SUSPECT_MOST { PROBE_AGAIN } else { SUSPECT_MOST };
        if self.since(hall).probed.is_none_or(|at| now >= at + again) {
            self.since(hall).probed = Some(now);
            let said: BTreeSet<&str> = shows.iter().map(|(from, ..)| &from[..]).collect();
            let silent = callers.iter().filter(|(from, _)| !said.contains(*from));
            let first = silent.chain(callers.iter().filter(|(from, _)| said.contains(*from)));
            for (_, names) in first.take(PROBING_HALLS) {
                for name in turn(names, world.turn, PROBERS) {
                    wants.push(Wants::Probe(name.to_string(), hall.to_owned(), PROBES_EACH));
                }
            }
        }
        None
    }

    fn is_slow(&mut self, now: Duration, hall: &str, before: f64) -> bool {
        let seen = self.signals.now(now, hall);
        let others: Vec<f64> = self
            .signals
            .halls()
            .filter(|other| *other != hall && tier_of(other) == tier_of(hall))
            .filter(|other| self.places.state(other) == State::Serving)
            .map(|other| self.signals.now(now, other))
            .filter(|other| other.calls_per_s > 0.5)
            .map(|other| other.stretch)
            .collect();
        let others = median(others);
        let slow = seen.calls_per_s > 0.5
            && seen.stretch > self.rules.slow * before.max(0.01)
            && others.is_some_and(|others| seen.stretch > self.rules.slow / 2.0 * others);
        let lasts = self.rules.slow_for.0;
        let since = self.since(hall);
        if !slow {
            since.slow = None;
            return false;
        }
        let at = *since.slow.get_or_insert(now);
        now.saturating_sub(at) >= lasts
    }

    /// Whether the other places of its tier are at what they bear, all together: they turn calls away, or each takes longer
    /// than before.
    fn others_are_strained(&self, now: Duration, hall: &str) -> bool {
        let others = self.signals.halls().filter(|other| *other != hall && tier_of(other) == tier_of(hall));
        let others = others.filter(|other| self.places.state(other) == State::Serving);
        let (mut calls, mut full, mut strained, mut all) = (0.0, 0.0, 0, 0);
        for seen in others.map(|other| self.signals.now(now, other)) {
            (calls, full) = (calls + seen.calls_per_s + seen.full_per_s, full + seen.full_per_s);
            strained += usize::from(seen.stretch > STRETCH_GOOD * seen.before_stretch.max(0.01));
            all += 1;
        }
        full > FULL_GOOD * calls || (all > 0 && strained == all)
    }

    /// Whether a hall may be left beside those that are: some hall must serve, and enough room stay.
    fn may_leave(&self, now: Duration, hall: &str, places: &Places) -> bool {
        let weight = |name: &str| {
            let held = places.halls.get(name).map_or(0.0, |held| held.before.calls_per_s);
            held.max(self.signals.now(now, name).before_per_s).max(1e-3)
        };
        let is_left =
            |name: &str| name == hall || matches!(places.state(name), State::Left | State::Leaving(_));
        let named = self.rules.regions.values().flatten().map(String::as_str);
        let all: BTreeSet<&str> = self.signals.halls().chain(named).collect();
        let same = || all.iter().filter(|name| tier_of(name) == tier_of(hall));
        let sum: f64 = same().map(|name| weight(name)).sum();
        let stays: f64 = same().filter(|name| !is_left(name)).map(|name| weight(name)).sum();
        // Since it is ill, and not before: else a tier that fails below all halls would have the first of them left.
        let since =
            self.since.get(hall).and_then(|since| since.ill).map_or(Duration::ZERO, |ill| ill + SAID_SINCE);
        let serves = same().any(|name| !is_left(name) && self.is_sound(now, name, since));
        // Halls of one region count as one, and so do the tiers in a hall.
        let group = |name: &str| self.region(name).unwrap_or_else(|| hall_of(name)).to_owned();
        let groups: BTreeSet<String> =
            all.iter().filter(|name| is_left(name)).map(|name| group(name)).collect();
        serves && stays >= self.rules.floor * sum && groups.len() <= self.rules.at_once as usize
    }

    /// Whether a hall serves: some have said so since then, little of its calls is lost, and nothing of it is suspect.
    fn is_sound(&self, now: Duration, hall: &str, since: Duration) -> bool {
        self.signals.now(now, hall).lost <= self.rules.sound_loses
            && self.signals.merged(now, hall, &self.rules) == Shows::Well
            && self.signals.is_served(now, hall, since, &self.rules)
    }

    /// Ways between two halls that are cut, though each is there: only who loses by it leaves.
    fn ways(
        &mut self,
        now: Duration,
        world: &World,
        next: &mut Places,
        moves: &mut Vec<Moved>,
        wants: &mut Vec<Wants>,
    ) {
        if world.frozen || !self.rules.automatic {
            return;
        }
        let back: Vec<(String, String)> = next
            .cut
            .iter()
            .flat_map(|(from, cut)| cut.keys().map(move |to| (from.clone(), to.clone())))
            .collect();
        for (from, to) in back {
            let (at, times) = *self.cuts.entry((from.clone(), to.clone())).or_insert((now, 1));
            if now < at + self.rest(times) {
                continue;
            }
            self.probe(now, &from, &to, world, wants);
            let there = self.callers(world, &to).get(&from[..]).map_or(0, Vec::len);
            let probes = self.probes.get(&(from.clone(), to.clone()));
            let good = probes.and_then(|probes| probes.good(self.rules.probes_good as usize, there.min(2)));
            if good.is_some() || there == 0 {
                if let Some(cut) = next.cut.get_mut(&from) {
                    cut.remove(&to);
                }
                let (hall, why) = (format!("{from}>{to}"), "probes are answered".to_owned());
                moves.push(Moved { hall, from: State::Left, to: State::Serving, why });
            }
        }
        next.cut.retain(|_, cut| !cut.is_empty());
        for to in self.halls(world) {
            let ill = self.since.get(&to).and_then(|since| since.ill);
            let Some(ill) = ill.filter(|ill| now >= *ill + OTHERS_WITHIN) else { continue };
            if next.state(&to) != State::Serving {
                continue;
            }
            let shows: Vec<(String, Shows, Duration)> = self
                .signals
                .of(now, &to, &self.rules)
                .map(|(from, shows, at)| (from.to_owned(), shows, at))
                .collect();
            let well = |(_, shows, at): &(String, Shows, Duration)| {
                *shows == Shows::Well && *at >= ill + SAID_SINCE
            };
            let others = self
                .halls(world)
                .into_iter()
                .filter(|other| *other != to && tier_of(other) == tier_of(&to))
                .filter(|other| next.state(other) == State::Serving);
            let sound = others.into_iter().any(|other| self.is_sound(now, &other, ill + SAID_SINCE));
            if !sound || !shows.iter().any(well) {
                continue;
            }
            let callers = self.callers(world, &to);
            for (from, shows, _) in &shows {
                let dark = matches!(shows, Shows::Dark | Shows::Failing);
                let there = callers.get(&from[..]).map_or(0, Vec::len);
                let witnesses = self.signals.witnesses(now, &to, Some(from));
                let enough = witnesses.losing as usize >= (self.rules.witnesses as usize).min(there.max(1));
                let since = ill + SAID_SINCE;
                let elsewhere = self.signals.is_served_elsewhere(now, from, &to, since, &self.rules);
                if !dark || !enough || !elsewhere || next.is_cut(from, &to) {
                    continue;
                }
                let why = format!(
                    "lost to {} of {} sidecars of {from}, and there for others",
                    witnesses.losing, witnesses.all
                );
                next.cut.entry(from.clone()).or_default().insert(to.clone(), why.clone());
                let hall = format!("{from}>{to}");
                moves.push(Moved { hall, from: State::Serving, to: State::Left, why });
            }
        }
    }

    /// Has a hall that is left probed, by a few whose turn it is: of one hall, or of all.
    fn probe(&mut self, now: Duration, from: &str, to: &str, world: &World, wants: &mut Vec<Wants>) {
        let probes = self.probes.entry((from.to_owned(), to.to_owned())).or_default();
        if now < probes.next {
            return;
        }
        let apart = Duration::from_secs_f64(f64::from(PROBES_EACH) / self.rules.probes);
        // Once it answers, whether it goes on to is seen soon.
        let answers = probes.last.last() == Some(&true);
        probes.next = now + if answers { apart / ANSWERING } else { apart };
        let callers = self.callers(world, to);
        let halls: Vec<&Vec<&String>> = callers
            .iter()
            .filter(|(hall, _)| from.is_empty() || **hall == from)
            .map(|(_, names)| names)
            .collect();
        let Some(names) = halls.get(world.turn as usize % halls.len().max(1)) else { return };
        for name in turn(names, world.turn / halls.len() as u64, 1) {
            wants.push(Wants::Probe(name.to_string(), to.to_owned(), PROBES_EACH));
        }
    }

    /// A hall stands so from now on, in what is to be decided.
    fn put(&self, now: Duration, places: &mut Places, hall: &str, state: State, why: &str, by_hand: bool) {
        let seen = self.signals.now(now, hall);
        let known = places.halls.get(hall).cloned();
        let stays =
            known.as_ref().filter(|held| held.state != State::Serving || held.before.calls_per_s > 0.0);
        let mut before = stays.map_or_else(Before::default, |held| held.before);
        if known.as_ref().is_none_or(|held| held.state == State::Serving) {
            before = Before { calls_per_s: seen.before_per_s, stretch: seen.before_stretch.max(0.01) };
        }
        let mut flaps = known.as_ref().map_or(0, |held| held.flaps);
        let was_left = known.as_ref().is_some_and(|held| held.state == State::Left);
        if state == State::Left && !was_left && !by_hand {
            flaps = flaps.saturating_add(1);
        }
        // Half a hall that is back bears half as much.
        if let (State::Returning(_), true) = (state, was_left)
            && let Some(probes) = self.probes.get(&(String::new(), hall.to_owned()))
        {
            before.calls_per_s *= probes.answered();
        }
        places.halls.insert(hall.to_owned(), Hall { state, why: why.to_owned(), before, flaps, by_hand });
    }

    /// What is served again for long enough needs no word any more.
    fn tidy(&mut self, now: Duration, places: &mut Places) {
        let soon = self.rules.soon.0;
        let served: Vec<String> = places
            .halls
            .iter()
            .filter(|(_, held)| held.state == State::Serving)
            .map(|(hall, _)| hall.clone())
            .collect();
        for hall in served {
            let returned = *self.since(&hall).returned.get_or_insert(now);
            if now.saturating_sub(returned) >= soon {
                places.halls.remove(&hall);
            }
        }
    }
}

impl Probes {
    fn saw(&mut self, name: &str, there: u32, not_there: u32, most: usize) {
        let new = std::iter::repeat_n(true, there.min(16) as usize)
            .chain(std::iter::repeat_n(false, not_there.min(16) as usize));
        self.last.extend(new);
        let over = self.last.len().saturating_sub(most);
        self.last.drain(..over);
        if there > 0 {
            self.by.insert(name.to_owned());
        }
    }

    /// Whether enough of the last are answered, by enough sidecars: how many of how many.
    fn good(&self, wanted: usize, sidecars: usize) -> Option<(usize, usize)> {
        let there = self.last.iter().filter(|there| **there).count();
        // A hall of which less than two fifths answer is not back yet.
        let enough = there >= wanted && there * 5 >= self.last.len() * 2;
        // The newest ones answer: what was lost before it came back speaks no more.
        let newest = self.last.iter().rev().take(wanted).filter(|there| **there).count();
        (enough && newest * 5 >= wanted * 2 && self.by.len() >= sidecars.max(1))
            .then_some((there, self.last.len()))
    }

    /// The part of the last ones that is answered.
    fn answered(&self) -> f64 {
        let there = self.last.iter().filter(|there| **there).count();
        there as f64 / self.last.len().max(1) as f64
    }
}

/// So many of these whose turn it is.
fn turn<'a>(names: &'a [&'a String], turn: u64, count: usize) -> impl Iterator<Item = &'a String> {
    let begin = (turn as usize).wrapping_mul(count) % names.len().max(1);
    names.iter().copied().cycle().skip(begin).take(count.min(names.len()))
}

fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}
