//! What speaks for leaving a hall, and what against.

use super::*;

impl ZoneStateMachine {
    /// Whether a hall is dark, or answers with errors alone, for all; and why.
    pub(super) fn is_ill(
        &mut self,
        now: Duration,
        zone: &str,
        world: &Environment,
        wants: &mut Vec<Effect>,
    ) -> Option<String> {
        let shows: Vec<(String, Verdict, Duration)> = self
            .signals
            .verdicts_on(now, zone, &self.settings)
            .map(|(from, shows, at)| (from.to_owned(), shows, at))
            .collect();
        if shows.iter().all(|(_, shows, _)| *shows == Verdict::Healthy) {
            self.since(zone).ill = None;
            return None;
        }
        let ill = *self.since(zone).ill.get_or_insert(now);
        let well = shows.iter().any(|(_, shows, at)| *shows == Verdict::Healthy && *at >= ill + SAID_SINCE);
        let witnesses = self.signals.witnesses(now, zone, None);
        let callers = self.callers(world, zone);
        let there = callers.values().map(Vec::len).sum();
        let enough = witnesses.losing as usize >= (self.settings.witnesses as usize).min(there)
            && witnesses.zones.len() >= (self.settings.witness_zones as usize).min(callers.len());
        // All ways into it together: where its own sidecars have few calls, or have left it by their own calls, none alone would
        // come to the alarm for long.
        let merged = self.signals.merged_verdict(now, zone, &self.settings);
        if merged != Verdict::Healthy && merged != Verdict::Uncertain && !well && enough {
            let how = if merged == Verdict::Failing { "answers with errors" } else { "dark" };
            return Some(format!(
                "{how} to {} of {} sidecars that tell of it, in {} halls",
                witnesses.losing,
                witnesses.all,
                witnesses.zones.len()
            ));
        }
        // Others are asked what they see of it, before anything is done on one hall's word.
        let again = if now < ill + SUSPECT_MOST { PROBE_AGAIN } else { SUSPECT_MOST };
        if self.since(zone).probed.is_none_or(|at| now >= at + again) {
            self.since(zone).probed = Some(now);
            let message: BTreeSet<&str> = shows.iter().map(|(from, ..)| &from[..]).collect();
            let silent = callers.iter().filter(|(from, _)| !message.contains(*from));
            let first = silent.chain(callers.iter().filter(|(from, _)| message.contains(*from)));
            for (_, names) in first.take(PROBING_HALLS) {
                for name in turn(names, world.turn, PROBERS) {
                    let (sidecar, zone) = (name.to_string(), zone.to_owned());
                    wants.push(Effect::Probe { sidecar, zone, count: PROBES_EACH });
                }
            }
        }
        None
    }

    pub(super) fn is_slow(&mut self, now: Duration, zone: &str, before: f64) -> bool {
        let seen = self.signals.statistics(now, zone);
        let others: Vec<f64> = self
            .signals
            .zones()
            .filter(|other| *other != zone && tier_of(other) == tier_of(zone))
            .filter(|other| self.zone_states.state(other) == ZoneState::Serving)
            .map(|other| self.signals.statistics(now, other))
            .filter(|other| other.calls_per_s > 0.5)
            .map(|other| other.latency_ratio)
            .collect();
        let others = median(others);
        let slow = seen.calls_per_s > 0.5
            && seen.latency_ratio > self.settings.slow_ratio * before.max(0.01)
            && others.is_some_and(|others| seen.latency_ratio > self.settings.slow_ratio / 2.0 * others);
        let lasts = self.settings.slow_for.0;
        let since = self.since(zone);
        if !slow {
            since.slow = None;
            return false;
        }
        let at = *since.slow.get_or_insert(now);
        now.saturating_sub(at) >= lasts
    }

    /// Whether the other places of its tier are at what they bear, all together: they turn calls away, or each takes longer
    /// than before.
    pub(super) fn others_are_strained(&self, now: Duration, zone: &str) -> bool {
        let others = self.signals.zones().filter(|other| *other != zone && tier_of(other) == tier_of(zone));
        let others = others.filter(|other| self.zone_states.state(other) == ZoneState::Serving);
        let (mut calls, mut full, mut strained, mut all) = (0.0, 0.0, 0, 0);
        for seen in others.map(|other| self.signals.statistics(now, other)) {
            (calls, full) = (calls + seen.calls_per_s + seen.rejected_per_s, full + seen.rejected_per_s);
            strained +=
                usize::from(seen.latency_ratio > STRETCH_GOOD * seen.baseline_latency_ratio.max(0.01));
            all += 1;
        }
        full > FULL_GOOD * calls || (all > 0 && strained == all)
    }

    /// Whether a hall may be left beside those that are: some hall must serve, and enough room stay.
    pub(super) fn may_leave(&self, now: Duration, zone: &str, zone_states: &ZoneStates) -> bool {
        let weight = |name: &str| {
            let held = zone_states.zones.get(name).map_or(0.0, |held| held.baseline.calls_per_s);
            held.max(self.signals.statistics(now, name).baseline_per_s).max(1e-3)
        };
        let is_left = |name: &str| {
            name == zone || matches!(zone_states.state(name), ZoneState::Left | ZoneState::Leaving(_))
        };
        let named = self.settings.regions.values().flatten().map(String::as_str);
        let all: BTreeSet<&str> = self.signals.zones().chain(named).collect();
        let same = || all.iter().filter(|name| tier_of(name) == tier_of(zone));
        let sum: f64 = same().map(|name| weight(name)).sum();
        let stays: f64 = same().filter(|name| !is_left(name)).map(|name| weight(name)).sum();
        // Since it is ill, and not before: else a tier that fails below all halls would have the first of them left.
        let since =
            self.since.get(zone).and_then(|since| since.ill).map_or(Duration::ZERO, |ill| ill + SAID_SINCE);
        let serves = same().any(|name| !is_left(name) && self.is_sound(now, name, since));
        // Halls of one region count as one, and so do the tiers in a hall.
        let group = |name: &str| self.region(name).unwrap_or_else(|| zone_of(name)).to_owned();
        let groups: BTreeSet<String> =
            all.iter().filter(|name| is_left(name)).map(|name| group(name)).collect();
        serves
            && stays >= self.settings.min_remaining_capacity * sum
            && groups.len() <= self.settings.max_concurrent_failovers as usize
    }

    /// Whether a hall serves: some have said so since then, little of its calls is lost, and nothing of it is suspect.
    pub(super) fn is_sound(&self, now: Duration, zone: &str, since: Duration) -> bool {
        self.signals.statistics(now, zone).lost_share <= self.settings.healthy_loss
            && self.signals.merged_verdict(now, zone, &self.settings) == Verdict::Healthy
            && self.signals.is_served(now, zone, since, &self.settings)
    }
}

fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied()
}
