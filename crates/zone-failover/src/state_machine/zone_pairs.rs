//! Ways between two halls that are cut, though each is there: only who loses by it leaves.

use super::*;

/// What one hall's sidecars show of another, and since when.
type ShownFrom = (String, Verdict, Duration);

impl ZoneStateMachine {
    /// Cuts ways, and joins them again, in what is to be decided.
    pub(super) fn ways(
        &mut self,
        now: Duration,
        world: &Environment,
        next: &mut ZoneStates,
        moves: &mut Vec<Transition>,
        wants: &mut Vec<Effect>,
    ) {
        if world.frozen || !self.settings.automatic {
            return;
        }
        let cut: Vec<(String, String)> = next
            .cut_pairs
            .iter()
            .flat_map(|(from, cut)| cut.keys().map(move |to| (from.clone(), to.clone())))
            .collect();
        for (from, to) in cut {
            if self.is_joined(now, &from, &to, world, wants) {
                if let Some(cut) = next.cut_pairs.get_mut(&from) {
                    cut.remove(&to);
                }
                let (zone, why) = (format!("{from}>{to}"), "probes are answered".to_owned());
                moves.push(Transition { zone, from: ZoneState::Left, to: ZoneState::Serving, why });
            }
        }
        next.cut_pairs.retain(|_, cut| !cut.is_empty());
        for to in self.zones(world) {
            self.cut_ways_to(now, &to, world, next, moves);
        }
    }

    /// Whether a way that is cut has rested and is there again; has it probed.
    fn is_joined(
        &mut self,
        now: Duration,
        from: &str,
        to: &str,
        world: &Environment,
        wants: &mut Vec<Effect>,
    ) -> bool {
        let way = (from.to_owned(), to.to_owned());
        let (at, times) = *self.cuts.entry(way.clone()).or_insert((now, 1));
        if now < at + self.rest(times) {
            return false;
        }
        self.probe(now, from, to, world, wants);
        let there = self.callers(world, to).get(from).map_or(0, Vec::len);
        let probes = self.probes.get(&way);
        let good =
            probes.and_then(|probes| probes.good(self.settings.probes_required as usize, there.min(2)));
        good.is_some() || there == 0
    }

    /// Cuts the ways to a hall that serves others, for those halls whose sidecars lose by it.
    fn cut_ways_to(
        &self,
        now: Duration,
        to: &str,
        world: &Environment,
        next: &mut ZoneStates,
        moves: &mut Vec<Transition>,
    ) {
        let ill = self.since.get(to).and_then(|since| since.ill);
        let Some(ill) = ill.filter(|ill| now >= *ill + OTHERS_WITHIN) else { return };
        if next.state(to) != ZoneState::Serving {
            return;
        }
        let since = ill + SAID_SINCE;
        let shows: Vec<ShownFrom> = self
            .signals
            .verdicts_on(now, to, &self.settings)
            .map(|(from, shows, at)| (from.to_owned(), shows, at))
            .collect();
        let serves_some = shows.iter().any(|(_, shows, at)| *shows == Verdict::Healthy && *at >= since);
        if !serves_some || !self.another_is_sound(now, to, since, world, next) {
            return;
        }
        let callers = self.callers(world, to);
        for (from, shows, _) in &shows {
            let dark = matches!(shows, Verdict::Unreachable | Verdict::Failing);
            let there = callers.get(&from[..]).map_or(0, Vec::len);
            let witnesses = self.signals.witnesses(now, to, Some(from));
            let enough = witnesses.losing as usize >= (self.settings.witnesses as usize).min(there.max(1));
            let elsewhere = self.signals.is_served_elsewhere(now, from, to, since, &self.settings);
            if !dark || !enough || !elsewhere || next.is_cut(from, to) {
                continue;
            }
            let why = format!(
                "lost to {} of {} sidecars of {from}, and there for others",
                witnesses.losing, witnesses.all
            );
            next.cut_pairs.entry(from.clone()).or_default().insert(to.to_owned(), why.clone());
            let zone = format!("{from}>{to}");
            moves.push(Transition { zone, from: ZoneState::Serving, to: ZoneState::Left, why });
        }
    }

    /// Whether some other hall of the same tier serves, and has been seen to since then.
    fn another_is_sound(
        &self,
        now: Duration,
        to: &str,
        since: Duration,
        world: &Environment,
        next: &ZoneStates,
    ) -> bool {
        self.zones(world)
            .iter()
            .filter(|other| *other != to && tier_of(other) == tier_of(to))
            .filter(|other| next.state(other) == ZoneState::Serving)
            .any(|other| self.is_sound(now, other, since))
    }
}
