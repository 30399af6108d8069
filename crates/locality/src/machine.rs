//! What follows for halls from what is seen of them: who is left, probed, returned to, and by what pace.
//!
//! One machine for both ways of going: at the keeper that leads, on all sidecars' evidence, its moves become versions; in a
//! sidecar that has lost the keepers, on its own calls, its moves are its own. It reads no clock and draws nothing.

use crate::places::{Before, Hall, Hand, Places, State, hall_of, tier_of};
use crate::signals::{Shows, Signals};
use curlewhub_config::fleet::PlacesConfig;
use curlewhub_fleet::evidence::{Calls, Digest};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod guards;
mod probes;
mod ways;

use probes::{Probes, turn};

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
/// A hall that is left is served all the same, by those who never heard of it, where so much of what it bore is served there in a
/// second; looked at over this time, once it was left for so long.
const ALONG_PART: f64 = 0.25;
const ALONG_OVER: Duration = Duration::from_millis(1500);
const ALONG_AFTER: Duration = Duration::from_secs(2);
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

/// Calls of late into a hall that is left, by sidecars that have not left it.
#[derive(Clone, Debug, Default)]
struct Along {
    since: Duration,
    step: Step,
    by: BTreeSet<String>,
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
    along: BTreeMap<String, Along>,
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
        let (signals, places, since, steps, along, probes, cuts, asked_until, forget_at) =
            Default::default();
        Machine { rules, signals, places, since, steps, along, probes, cuts, asked_until, forget_at }
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
                step.saw(calls);
            }
            if let Some(along) = self.along.get_mut(hall) {
                if now.saturating_sub(along.since) > ALONG_OVER {
                    *along = Along { since: now, ..Along::default() };
                }
                along.step.saw(calls);
                if calls.served > 0 {
                    along.by.insert(name.to_owned());
                }
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
            self.along.remove(hall);
            if after == State::Left {
                self.along.insert(hall.clone(), Along { since: now, ..Along::default() });
            }
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
        if let Some(why) = self.is_served_along(now, hall) {
            return Some((State::Serving, why));
        }
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

    /// Whether a hall that is left serves much of what it bore: those who had it left could not reach it, and those who can could
    /// not be heard. It is warm, and has to return from nowhere.
    fn is_served_along(&mut self, now: Duration, hall: &str) -> Option<String> {
        if self.stood(now, hall) < ALONG_AFTER {
            return None; // what was served before it was left is told for a while
        }
        let (bore, along) = (self.bore(hall), self.along.get(hall)?);
        let Step { served, lost, full, error, .. } = along.step;
        let calls = f64::from(served + lost + full + error).max(1.0);
        let good = f64::from(lost + error) <= LOST_GOOD * calls && f64::from(full) <= FULL_GOOD * calls;
        let enough = f64::from(served) >= (ALONG_PART * bore).max(f64::from(STEP_CALLS));
        (good && enough && along.by.len() >= self.rules.witnesses as usize).then(|| {
            format!("{served} calls of {} sidecars that had not left it are served", along.by.len())
        })
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

impl Step {
    fn saw(&mut self, calls: &Calls) {
        self.served += calls.served;
        self.lost += calls.lost();
        self.full += calls.full;
        self.error += calls.error;
        self.took_ms += calls.took_ms;
        self.usual_ms += calls.usual_ms;
    }
}
