//! Ways between two halls that are cut, though each is there: only who loses by it leaves.

use super::*;

impl Machine {
    /// Ways between two halls that are cut, though each is there: only who loses by it leaves.
    pub(super) fn ways(
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
}
