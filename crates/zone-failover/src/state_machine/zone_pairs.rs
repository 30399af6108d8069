//! Zone pairs whose path is cut while both zones serve others: only the calling zone that loses calls leaves.

use super::guards::MIN_EVIDENCE_DELAY;
use super::probes::ProbeTarget;
use super::{TickContext, Transition, ZoneStateMachine};
use crate::signals::Verdict;
use crate::zone_states::{ZoneState, ZoneStates, tier_of};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a fault may be that of the whole zone, before it is taken for a cut of the pairs that show it.
const PAIR_DECISION_DELAY: Duration = Duration::from_millis(500);

/// A calling zone and the zone that it calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZonePair {
    from: String,
    to: String,
}

impl ZonePair {
    fn transition(&self, from: ZoneState, to: ZoneState, why: String) -> Transition {
        Transition { zone: format!("{}>{}", self.from, self.to), from, to, why }
    }
}

/// The latest cut of a zone pair.
#[derive(Clone, Copy, Debug)]
pub(super) struct CutHistory {
    cut_at: Duration,
    /// Cuts in a row, each within the flap window of the one before.
    count: u32,
}

fn cut_pairs(zone_states: &ZoneStates) -> BTreeSet<ZonePair> {
    let pairs_from = |(from, cut): (&String, &BTreeMap<String, String>)| -> Vec<ZonePair> {
        cut.keys().map(|to| ZonePair { from: from.clone(), to: to.clone() }).collect()
    };
    zone_states.cut_pairs.iter().flat_map(pairs_from).collect()
}

impl ZoneStateMachine {
    /// Notes which pairs decided states cut or restore, and forgets the evidence on both.
    pub(super) fn record_pair_changes(&mut self, now: Duration, zone_states: &ZoneStates) {
        self.probes.retain(|target, _| match target {
            ProbeTarget::Zone(_) => true,
            ProbeTarget::ZonePair { from, to } => zone_states.is_cut(from, to),
        });
        let flap_window = self.settings.flap_window.0;
        let (before, after) = (cut_pairs(&self.zone_states), cut_pairs(zone_states));
        for pair in after.difference(&before) {
            let previous = self.cuts.get(pair);
            let recent = previous.filter(|cut| now.saturating_sub(cut.cut_at) < flap_window);
            let count = recent.map_or(1, |cut| cut.count.saturating_add(1));
            self.cuts.insert(pair.clone(), CutHistory { cut_at: now, count });
        }
        for ZonePair { from, to } in before.symmetric_difference(&after) {
            self.signals.reset_pair(from, to);
        }
        self.cuts.retain(|pair, cut| after.contains(pair) || now.saturating_sub(cut.cut_at) < flap_window);
    }

    /// Cuts and restores pairs in the zone states that are to be proposed.
    pub(super) fn update_pairs(
        &mut self,
        context: &mut TickContext,
        next: &mut ZoneStates,
        transitions: &mut Vec<Transition>,
    ) {
        if context.environment.frozen || !self.settings.automatic {
            return;
        }
        for pair in cut_pairs(next) {
            if self.is_restored(context, &pair) {
                if let Some(cut) = next.cut_pairs.get_mut(&pair.from) {
                    cut.remove(&pair.to);
                }
                let why = "probes are answered".to_owned();
                transitions.push(pair.transition(ZoneState::Left, ZoneState::Serving, why));
            }
        }
        next.cut_pairs.retain(|_, cut| !cut.is_empty());
        for to in self.zones(context.environment) {
            self.cut_pairs_into(context, &to, next, transitions);
        }
    }

    /// Whether probes show, after the cool-down, that a cut pair works again; asks for them.
    fn is_restored(&mut self, context: &mut TickContext, pair: &ZonePair) -> bool {
        let first = CutHistory { cut_at: context.now, count: 1 };
        let CutHistory { cut_at, count } = *self.cuts.entry(pair.clone()).or_insert(first);
        if context.now < cut_at + self.cooldown(count) {
            return false;
        }
        let target = ProbeTarget::zone_pair(&pair.from, &pair.to);
        self.request_probes(context, &target);
        let sidecars = self.callers(context.environment, &pair.to).get(&pair.from[..]).map_or(0, Vec::len);
        let required = self.settings.probes_required as usize;
        let history = self.probes.get(&target);
        sidecars == 0 || history.is_some_and(|probes| probes.passed(required, sidecars.min(2)).is_some())
    }

    /// Cuts the pairs into a zone that serves some callers, for those calling zones that lose their calls.
    fn cut_pairs_into(
        &self,
        context: &TickContext,
        to: &str,
        next: &mut ZoneStates,
        transitions: &mut Vec<Transition>,
    ) {
        let suspect_since = self.times.get(to).and_then(|times| times.suspect_since);
        let Some(suspect_since) = suspect_since.filter(|at| context.now >= *at + PAIR_DECISION_DELAY)
        else {
            return;
        };
        if next.state(to) != ZoneState::Serving {
            return;
        }
        let since = suspect_since + MIN_EVIDENCE_DELAY;
        let verdicts: Vec<(&str, Verdict, Duration)> =
            self.signals.verdicts_on(context.now, to, &self.settings).collect();
        let serves_some =
            verdicts.iter().any(|(_, verdict, at)| *verdict == Verdict::Healthy && *at >= since);
        if !serves_some || !self.has_healthy_alternative(context, to, since, next) {
            return;
        }
        for (from, verdict, _) in verdicts {
            let is_faulty = matches!(verdict, Verdict::Unreachable | Verdict::Failing);
            if !is_faulty || next.is_cut(from, to) {
                continue;
            }
            let Some(why) = self.reason_to_cut(context, from, to, since) else { continue };
            next.cut_pairs.entry(from.to_owned()).or_default().insert(to.to_owned(), why.clone());
            let pair = ZonePair { from: from.to_owned(), to: to.to_owned() };
            transitions.push(pair.transition(ZoneState::Serving, ZoneState::Left, why));
        }
    }

    /// The reason, if enough sidecars of `from` lose calls into `to` and they are served elsewhere.
    fn reason_to_cut(
        &self,
        context: &TickContext,
        from: &str,
        to: &str,
        since: Duration,
    ) -> Option<String> {
        let sidecars = self.callers(context.environment, to).get(from).map_or(0, Vec::len);
        let witnesses = self.signals.witnesses(context.now, to, Some(from));
        let enough = witnesses.losing as usize >= (self.settings.witnesses as usize).min(sidecars.max(1));
        let elsewhere = self.signals.is_served_elsewhere(context.now, from, to, since, &self.settings);
        (enough && elsewhere).then(|| {
            format!(
                "lost to {} of {} sidecars of {from}, and there for others",
                witnesses.losing, witnesses.all
            )
        })
    }

    /// Whether another zone of the tier serves and is healthy by evidence from `since` on.
    fn has_healthy_alternative(
        &self,
        context: &TickContext,
        to: &str,
        since: Duration,
        next: &ZoneStates,
    ) -> bool {
        self.zones(context.environment)
            .iter()
            .filter(|other| *other != to && tier_of(other) == tier_of(to))
            .filter(|other| next.state(other) == ZoneState::Serving)
            .any(|other| self.is_healthy(context.now, other, since))
    }
}
