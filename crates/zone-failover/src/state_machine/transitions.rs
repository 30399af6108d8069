//! The moves from each state of a hall: serving, leaving, left and returning.

use super::*;

/// A step of a return is judged by so many calls, or after so long.
const STEP_CALLS: u32 = 10;
const STEP_MOST: Duration = Duration::from_secs(2);
/// A step that is neither good nor bad for so long goes back.
const STEP_HOLDS: Duration = Duration::from_secs(4);
/// A hall that is left by half of this, as it is slow, is left to no smaller part.
const PART_LEAST: f64 = 0.05;
/// A hall that is left is served all the same, by those who never heard of it, where so much of what it bore is served there in a
/// second; looked at once it was left for so long.
const ALONG_PART: f64 = 0.25;
const ALONG_AFTER: Duration = Duration::from_secs(2);
/// Calls a second that a hall bore of which nothing is known.
const BORE_LEAST: f64 = 4.0;

impl ZoneStateMachine {
    pub(super) fn serving(
        &mut self,
        now: Duration,
        zone: &str,
        world: &Environment,
        zone_states: &ZoneStates,
        wants: &mut Vec<Effect>,
    ) -> Option<Change> {
        if let Some(why) = self.is_ill(now, zone, world, wants) {
            return self.may_leave(now, zone, zone_states).then(|| Change::to(ZoneState::Left, why));
        }
        let seen = self.signals.statistics(now, zone);
        if !self.is_slow(now, zone, seen.baseline_latency_ratio) {
            return None;
        }
        let why = format!(
            "takes {:.1} times as long as before",
            seen.latency_ratio / seen.baseline_latency_ratio.max(0.01)
        );
        if self.others_are_strained(now, zone) {
            return None;
        }
        self.may_leave(now, zone, zone_states).then(|| Change::to(ZoneState::Leaving(0.5), why))
    }

    pub(super) fn leaving(
        &mut self,
        now: Duration,
        zone: &str,
        part: f64,
        world: &Environment,
        zone_states: &ZoneStates,
        wants: &mut Vec<Effect>,
    ) -> Option<Change> {
        if let Some(why) = self.is_ill(now, zone, world, wants) {
            return self.may_leave(now, zone, zone_states).then(|| Change::to(ZoneState::Left, why));
        }
        let before = self.zone_states.zones.get(zone).map_or(1.0, |held| held.baseline.latency_ratio);
        let (stood, step) = (self.stood(now, zone), self.settings.slow_for.0);
        let stretch = self.signals.statistics(now, zone).latency_ratio / before.max(0.01);
        if self.others_are_strained(now, zone) {
            // What was shifted is more than those that stay bear: a slow hall serves more than a refusal does.
            let more = part * 2.0;
            let next = if more >= 1.0 { ZoneState::Serving } else { ZoneState::Leaving(more) };
            return (stood >= step / 2).then(|| Change::to(next, "the others are at what they bear"));
        }
        if self.is_slow(now, zone, before) {
            let less = (part / 2.0).max(PART_LEAST);
            let why = format!("still takes {stretch:.1} times as long as before");
            return (less < part && stood >= step / 2).then(|| Change::to(ZoneState::Leaving(less), why));
        }
        let since = self.since(zone);
        if stretch > STRETCH_GOOD {
            since.well = None;
            return None;
        }
        let well = *since.well.get_or_insert(now);
        if now.saturating_sub(well) < step || stood < step {
            return None;
        }
        let more = part * 2.0;
        let next = if more >= 1.0 { ZoneState::Serving } else { ZoneState::Leaving(more) };
        Some(Change::to(next, format!("takes {stretch:.1} times as long as before")))
    }

    pub(super) fn left(
        &mut self,
        now: Duration,
        zone: &str,
        world: &Environment,
        zone_states: &ZoneStates,
        wants: &mut Vec<Effect>,
    ) -> Option<Change> {
        let held = self.zone_states.zones.get(zone)?;
        let rest = self.rest(held.flaps);
        if let Some(why) = self.is_served_along(now, zone) {
            return Some(Change::to(ZoneState::Serving, why));
        }
        if self.stood(now, zone) < rest {
            return None;
        }
        // The halls of a region come back one after another: their load comes from the same others.
        let region = self.region(zone).map(str::to_owned);
        let another = |other: &String| {
            *other != *zone
                && matches!(zone_states.state(other), ZoneState::Returning(_))
                && tier_of(other) == tier_of(zone)
                && region.as_deref() == self.region(other)
        };
        if region.is_some() && zone_states.zones.keys().any(another) {
            return None;
        }
        self.probe(now, "", zone, world, wants);
        let probes = self.probes.get(&(String::new(), zone.to_owned()))?;
        let there = self.callers(world, zone).values().map(Vec::len).sum::<usize>();
        let good = probes.good(self.settings.probes_required as usize, there.min(2))?;
        // Half a hall that is back bears half of what it bore.
        let first = self.first_step(zone);
        let why = format!(
            "{} of the last {} probes by {} sidecars are answered",
            good.0,
            good.1,
            probes.by.len()
        );
        Some(Change::to(ZoneState::Returning(first), why))
    }

    /// Whether a hall that is left serves much of what it bore: those who had it left could not reach it, and those who can could
    /// not be heard. It is warm, and has to return from nowhere.
    fn is_served_along(&mut self, now: Duration, zone: &str) -> Option<String> {
        if self.stood(now, zone) < ALONG_AFTER {
            return None; // what was served before it was left is told for a while
        }
        let (bore, along) = (self.bore(zone), self.along.get(zone)?);
        let Step { served, lost, full, error, .. } = along.step;
        let calls = f64::from(along.step.calls()).max(1.0);
        let good = f64::from(lost + error) <= LOST_GOOD * calls && f64::from(full) <= FULL_GOOD * calls;
        let enough = f64::from(served) >= (ALONG_PART * bore).max(f64::from(STEP_CALLS));
        (good && enough && along.by.len() >= self.settings.witnesses as usize).then(|| {
            format!("{served} calls of {} sidecars that had not left it are served", along.by.len())
        })
    }

    pub(super) fn first_step(&self, zone: &str) -> f64 {
        self.bore(zone) * self.settings.first_step_share
    }

    /// Calls a second that a hall bore before it was left.
    fn bore(&self, zone: &str) -> f64 {
        self.zone_states.zones.get(zone).map_or(0.0, |held| held.baseline.calls_per_s).max(BORE_LEAST)
    }

    pub(super) fn returning(
        &mut self,
        now: Duration,
        zone: &str,
        rate: f64,
        world: &Environment,
        wants: &mut Vec<Effect>,
    ) -> Option<Change> {
        let (stood, step) = (self.stood(now, zone), self.steps.get(zone).copied().unwrap_or_default());
        let calls = step.calls();
        let part = |n: u32| f64::from(n) / f64::from(calls.max(1));
        let (lost, full) = (part(step.lost + step.error), part(step.full));
        let before =
            self.zone_states.zones.get(zone).map_or(1.0, |held| held.baseline.latency_ratio.max(0.01));
        let stretch = f64::from(step.took_ms) / f64::from(step.usual_ms.max(1)) / before;
        let seen = format!(
            "of {calls} calls {:.0}% lost, {:.0}% turned away, {stretch:.1} times as long as before",
            lost * 100.0,
            full * 100.0
        );
        let gone = step.lost + step.error >= 5 && lost > self.settings.healthy_loss;
        if gone || self.is_ill(now, zone, world, wants).is_some() {
            return Some(Change::to(ZoneState::Left, seen));
        }
        let enough = calls >= STEP_CALLS || (stood >= STEP_MOST && calls > 0) || stood >= STEP_MOST * 2;
        if stood < self.settings.min_step.0 || !enough {
            return None;
        }
        let over = |n: f64, good: f64| n / good;
        let worst = over(lost, LOST_GOOD).max(over(full, FULL_GOOD)).max(over(stretch, STRETCH_GOOD));
        let (bore, first) = (self.bore(zone), self.first_step(zone));
        if worst <= 1.0 {
            // Where less comes than may, there is no more to let in.
            let came = f64::from(calls) / stood.as_secs_f64().max(0.05);
            let all_in = rate >= bore || (came < rate / 2.0 && rate >= bore / 2.0);
            let next = if all_in {
                ZoneState::Serving
            } else {
                ZoneState::Returning((rate * self.settings.step_factor).min(bore))
            };
            return Some(Change::to(next, seen));
        }
        if worst > 2.0 || stood >= STEP_HOLDS {
            let back = (rate / 2.0).max(first);
            return (back < rate || worst > 2.0).then(|| Change::to(ZoneState::Returning(back), seen));
        }
        None
    }
}
