//! Guards of the transitions: what must be shown before a zone is left.

use super::probes::{PROBES_PER_REQUEST, round_robin};
use super::zone_records::MIN_LATENCY_RATIO;
use super::{Effect, MAX_GOOD_LATENCY_RATIO, MAX_GOOD_REJECTION, TickContext, ZoneStateMachine};
use crate::signals::{Verdict, Witnesses};
use crate::zone_states::{ZoneState, ZoneStates, tier_of, zone_of};
use std::collections::BTreeSet;
use std::time::Duration;

/// Healthy evidence counts against a fault only if it is this much newer than the first sign of the fault: later than the
/// end of any call that began before.
pub(super) const MIN_EVIDENCE_DELAY: Duration = Duration::from_millis(150);
/// Interval of probes of a suspect zone.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of probes once a zone has been suspect for this long.
const LONG_SUSPECT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Zones whose sidecars probe a suspect zone.
const MAX_PROBING_ZONES: usize = 3;
/// Sidecars of each of these zones that probe.
const PROBING_SIDECARS: usize = 2;
/// Calls a second above which a zone's latencies are compared.
const MIN_COMPARED_CALLS_PER_S: f64 = 0.5;
/// Lowest weight of a zone, in calls a second, so that zones without calls count as capacity.
const MIN_WEIGHT_PER_S: f64 = 1e-3;

impl ZoneStateMachine {
    /// The reason to leave a zone, if it is unreachable or failing for all callers and enough witnesses support that.
    /// Asks for probes while it is suspect only.
    pub(super) fn confirmed_fault(&mut self, context: &mut TickContext, zone: &str) -> Option<String> {
        let now = context.now;
        let verdicts: Vec<(String, Verdict, Duration)> = self
            .signals
            .verdicts_on(now, zone, &self.settings)
            .map(|(from, verdict, reported_at)| (from.to_owned(), verdict, reported_at))
            .collect();
        if verdicts.iter().all(|(_, verdict, _)| *verdict == Verdict::Healthy) {
            self.times(zone).suspect_since = None;
            return None;
        }
        let since = *self.times(zone).suspect_since.get_or_insert(now) + MIN_EVIDENCE_DELAY;
        let is_healthy_for_some =
            verdicts.iter().any(|(_, verdict, at)| *verdict == Verdict::Healthy && *at >= since);
        let witnesses = self.signals.witnesses(now, zone, None);
        // Merged, since no pair alone may have the calls for an alarm where the zone's own sidecars have few.
        let merged = self.signals.merged_verdict(now, zone, &self.settings);
        let fault = match merged {
            Verdict::Failing => Some("answers with errors"),
            Verdict::Unreachable => Some("dark"),
            Verdict::Healthy | Verdict::Uncertain => None,
        };
        if let Some(fault) = fault
            && !is_healthy_for_some
            && self.are_enough(context, zone, &witnesses)
        {
            return Some(format!(
                "{fault} to {} of {} sidecars that tell of it, in {} halls",
                witnesses.losing,
                witnesses.all,
                witnesses.zones.len()
            ));
        }
        let reporting_zones = verdicts.iter().map(|(from, ..)| &from[..]).collect();
        self.request_suspect_probes(context, zone, &reporting_zones);
        None
    }

    /// Whether witnesses reach the quorum, which is bounded by the sidecars and zones that call the tier.
    fn are_enough(&self, context: &TickContext, zone: &str, witnesses: &Witnesses) -> bool {
        let callers = self.callers(context.environment, zone);
        let sidecars = callers.values().map(Vec::len).sum();
        witnesses.losing as usize >= (self.settings.witnesses as usize).min(sidecars)
            && witnesses.zones.len() >= (self.settings.witness_zones as usize).min(callers.len())
    }

    /// Asks sidecars of several zones for probes of a suspect zone, those first whose zones have not reported on it.
    fn request_suspect_probes(
        &mut self,
        context: &mut TickContext,
        zone: &str,
        reporting_zones: &BTreeSet<&str>,
    ) {
        let now = context.now;
        let times = self.times(zone);
        let is_long_suspect =
            times.suspect_since.is_some_and(|since| now >= since + LONG_SUSPECT_PROBE_INTERVAL);
        let interval = if is_long_suspect { LONG_SUSPECT_PROBE_INTERVAL } else { SUSPECT_PROBE_INTERVAL };
        if times.probed_at.is_some_and(|at| now < at + interval) {
            return;
        }
        times.probed_at = Some(now);
        let environment = context.environment;
        let callers = self.callers(environment, zone);
        let (reporting, silent): (Vec<_>, Vec<_>) =
            callers.iter().partition(|(from, _)| reporting_zones.contains(*from));
        for (_, sidecars) in silent.into_iter().chain(reporting).take(MAX_PROBING_ZONES) {
            for sidecar in round_robin(sidecars, environment.turn, PROBING_SIDECARS) {
                context.effects.push(Effect::Probe {
                    sidecar: sidecar.clone(),
                    zone: zone.to_owned(),
                    count: PROBES_PER_REQUEST,
                });
            }
        }
    }

    /// Whether a zone's calls have taken far longer than its baseline, and than those of the other zones, for `slow_for`.
    pub(super) fn is_slow(&mut self, now: Duration, zone: &str, baseline_latency_ratio: f64) -> bool {
        let statistics = self.signals.statistics(now, zone);
        let other_ratios: Vec<f64> = self
            .serving_zones_beside(zone)
            .map(|other| self.signals.statistics(now, other))
            .filter(|other| other.calls_per_s > MIN_COMPARED_CALLS_PER_S)
            .map(|other| other.latency_ratio)
            .collect();
        let slow_ratio = self.settings.slow_ratio;
        let is_slow = statistics.calls_per_s > MIN_COMPARED_CALLS_PER_S
            && statistics.latency_ratio > slow_ratio * baseline_latency_ratio.max(MIN_LATENCY_RATIO)
            && median(other_ratios)
                .is_some_and(|other| statistics.latency_ratio > slow_ratio / 2.0 * other);
        let slow_for = self.settings.slow_for.0;
        let times = self.times(zone);
        if !is_slow {
            times.slow_since = None;
            return false;
        }
        let slow_since = *times.slow_since.get_or_insert(now);
        now.saturating_sub(slow_since) >= slow_for
    }

    /// The other zones of a zone's tier that are decided to serve.
    fn serving_zones_beside<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a str> {
        self.signals
            .zones()
            .filter(move |other| *other != zone && tier_of(other) == tier_of(zone))
            .filter(|other| self.zone_states.state(other) == ZoneState::Serving)
    }

    /// Whether the other zones of the tier are at capacity: together they reject calls, or each is slower than its baseline.
    pub(super) fn others_are_at_capacity(&self, now: Duration, zone: &str) -> bool {
        let (mut calls_per_s, mut rejected_per_s, mut slow, mut all) = (0.0, 0.0, 0, 0);
        for other in self.serving_zones_beside(zone).map(|other| self.signals.statistics(now, other)) {
            calls_per_s = calls_per_s + other.calls_per_s + other.rejected_per_s;
            rejected_per_s += other.rejected_per_s;
            let baseline = other.baseline_latency_ratio.max(MIN_LATENCY_RATIO);
            slow += usize::from(other.latency_ratio > MAX_GOOD_LATENCY_RATIO * baseline);
            all += 1;
        }
        rejected_per_s > MAX_GOOD_REJECTION * calls_per_s || (all > 0 && slow == all)
    }

    /// Whether a zone may be left beside those that are left already: a healthy zone of its tier stays, with enough
    /// capacity, and no more groups of zones than allowed are left at once.
    pub(super) fn may_leave(&self, now: Duration, zone: &str, next: &ZoneStates) -> bool {
        let weight = |name: &str| {
            let recorded = next.zones.get(name).map_or(0.0, |record| record.baseline.calls_per_s);
            recorded.max(self.signals.statistics(now, name).baseline_per_s).max(MIN_WEIGHT_PER_S)
        };
        let is_left = |name: &str| {
            name == zone || matches!(next.state(name), ZoneState::Left | ZoneState::Leaving(_))
        };
        let configured = self.settings.regions.values().flatten().map(String::as_str);
        let all: BTreeSet<&str> = self.signals.zones().chain(configured).collect();
        let same_tier = || all.iter().filter(|name| tier_of(name) == tier_of(zone));
        let staying = || same_tier().filter(|name| !is_left(name));
        let total_weight: f64 = same_tier().map(|name| weight(name)).sum();
        let staying_weight: f64 = staying().map(|name| weight(name)).sum();
        // Evidence must be newer than the fault: a fault of the tier below shows in all zones, one after another.
        let suspect_since = self.times.get(zone).and_then(|times| times.suspect_since);
        let since = suspect_since.map_or(Duration::ZERO, |at| at + MIN_EVIDENCE_DELAY);
        let has_healthy = staying().any(|name| self.is_healthy(now, name, since));
        // The zones of a region count as one, and so do the tiers of a zone.
        let group = |name: &str| self.region(name).unwrap_or_else(|| zone_of(name)).to_owned();
        let left_groups: BTreeSet<String> =
            all.iter().filter(|name| is_left(name)).map(|name| group(name)).collect();
        has_healthy
            && staying_weight >= self.settings.min_remaining_capacity * total_weight
            && left_groups.len() <= self.settings.max_concurrent_failovers as usize
    }

    /// Whether a zone is served by evidence from `since` on, loses few calls and is not suspect.
    pub(super) fn is_healthy(&self, now: Duration, zone: &str, since: Duration) -> bool {
        self.signals.statistics(now, zone).lost_share <= self.settings.healthy_loss
            && self.signals.merged_verdict(now, zone, &self.settings) == Verdict::Healthy
            && self.signals.is_served(now, zone, since, &self.settings)
    }
}

/// The upper median; none of no values.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
