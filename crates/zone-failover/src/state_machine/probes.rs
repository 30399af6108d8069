//! Probes of zones that are left and of zone pairs that are cut: who sends them, and what their answers show.

use super::{Effect, TickContext, ZoneStateMachine};
use std::collections::BTreeSet;
use std::time::Duration;

/// Probes that a sidecar is asked for at once.
pub(super) const PROBES_PER_REQUEST: u32 = 2;
/// Factor of the probe rate once the latest probe was answered, so that a recovery is confirmed soon.
const ANSWERED_PROBE_SPEEDUP: u32 = 4;
/// Probe results that one digest can add, answered and unanswered alike.
const MAX_RESULTS_PER_DIGEST: u32 = 16;

/// What is probed, and by whose sidecars.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProbeTarget {
    /// A zone, by the sidecars of all zones.
    Zone(String),
    /// A zone pair, by the sidecars of its first zone.
    ZonePair { from: String, to: String },
}

impl ProbeTarget {
    pub(super) fn zone(zone: &str) -> ProbeTarget {
        ProbeTarget::Zone(zone.to_owned())
    }

    pub(super) fn zone_pair(from: &str, to: &str) -> ProbeTarget {
        ProbeTarget::ZonePair { from: from.to_owned(), to: to.to_owned() }
    }

    fn probed_zone(&self) -> &str {
        match self {
            ProbeTarget::Zone(zone) | ProbeTarget::ZonePair { to: zone, .. } => zone,
        }
    }

    fn is_probed_from(&self, zone: &str) -> bool {
        match self {
            ProbeTarget::Zone(_) => true,
            ProbeTarget::ZonePair { from, .. } => from == zone,
        }
    }
}

/// The latest probe results of a target.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeHistory {
    /// Whether each was answered, the newest last.
    results: Vec<bool>,
    /// Sidecars that had an answer.
    answered_sidecars: BTreeSet<String>,
    next_probe_at: Duration,
}

/// Probe results that show a recovery.
pub(super) struct ProbesPassed {
    pub(super) answered: usize,
    pub(super) total: usize,
    pub(super) sidecars: usize,
}

impl ProbeHistory {
    /// Adds results of a sidecar, and drops the oldest beyond `max_results`.
    pub(super) fn record(&mut self, sidecar: &str, answered: u32, unanswered: u32, max_results: usize) {
        let results = |result: bool, count: u32| {
            std::iter::repeat_n(result, count.min(MAX_RESULTS_PER_DIGEST) as usize)
        };
        self.results.extend(results(true, answered).chain(results(false, unanswered)));
        let excess = self.results.len().saturating_sub(max_results);
        self.results.drain(..excess);
        if answered > 0 {
            self.answered_sidecars.insert(sidecar.to_owned());
        }
    }

    /// The results, if at least `required` are answered, by at least `min_sidecars` sidecars, and two fifths of all as well
    /// as of the newest `required`, since losses from before the recovery may still be among the older ones.
    pub(super) fn passed(&self, required: usize, min_sidecars: usize) -> Option<ProbesPassed> {
        let (answered, total) = (self.answered(), self.results.len());
        let newest_answered = self.results.iter().rev().take(required).filter(|result| **result).count();
        let sidecars = self.answered_sidecars.len();
        let passed = answered >= required
            && answered * 5 >= total * 2
            && newest_answered * 5 >= required * 2
            && sidecars >= min_sidecars.max(1);
        passed.then_some(ProbesPassed { answered, total, sidecars })
    }

    fn answered(&self) -> usize {
        self.results.iter().filter(|result| **result).count()
    }

    /// The share of answered probes, 0 to 1.
    pub(super) fn answered_share(&self) -> f64 {
        self.answered() as f64 / self.results.len().max(1) as f64
    }
}

impl ZoneStateMachine {
    /// Asks the sidecar whose turn it is for probes of a target, once its probe interval is over.
    pub(super) fn request_probes(&mut self, context: &mut TickContext, target: &ProbeTarget) {
        let history = self.probes.entry(target.clone()).or_default();
        if context.now < history.next_probe_at {
            return;
        }
        let interval = Duration::from_secs_f64(f64::from(PROBES_PER_REQUEST) / self.settings.probes_per_s);
        let last_was_answered = history.results.last() == Some(&true);
        history.next_probe_at =
            context.now + if last_was_answered { interval / ANSWERED_PROBE_SPEEDUP } else { interval };
        let environment = context.environment;
        let callers = self.callers(environment, target.probed_zone());
        let sidecars_by_zone: Vec<&Vec<&String>> = callers
            .iter()
            .filter(|(zone, _)| target.is_probed_from(zone))
            .map(|(_, names)| names)
            .collect();
        let zone_count = sidecars_by_zone.len();
        let Some(sidecars) = sidecars_by_zone.get(environment.turn as usize % zone_count.max(1)) else {
            return;
        };
        for sidecar in round_robin(sidecars, environment.turn / zone_count as u64, 1) {
            context.effects.push(Effect::Probe {
                sidecar: sidecar.clone(),
                zone: target.probed_zone().to_owned(),
                count: PROBES_PER_REQUEST,
            });
        }
    }
}

/// The `count` names whose turn it is.
pub(super) fn round_robin<'a>(
    names: &'a [&'a String],
    turn: u64,
    count: usize,
) -> impl Iterator<Item = &'a String> {
    let start = (turn as usize).wrapping_mul(count) % names.len().max(1);
    names.iter().copied().cycle().skip(start).take(count.min(names.len()))
}
