//! How transitions are written into the zone states that are proposed.

use super::probes::ProbeTarget;
use super::{StateChange, ZoneStateMachine};
use crate::zone_states::{Baseline, ZoneRecord, ZoneState, ZoneStates};
use std::time::Duration;

/// Lowest latency ratio of a baseline, as later ratios are divided by it.
pub(super) const MIN_LATENCY_RATIO: f64 = 0.01;

impl ZoneStateMachine {
    /// Writes a zone's new state, with the baseline that its return is judged by and its count of flaps.
    pub(super) fn write_change(
        &self,
        now: Duration,
        next: &mut ZoneStates,
        zone: &str,
        change: &StateChange,
    ) {
        let StateChange { state, why, overridden } = change;
        let record = next.zones.get(zone);
        let previous_state = record.map_or(ZoneState::Serving, |record| record.state);
        let previous_flaps = record.map_or(0, |record| record.flaps);
        let was_left = previous_state == ZoneState::Left;
        let is_new_flap = *state == ZoneState::Left && !was_left && !overridden;
        let flaps = if is_new_flap { previous_flaps.saturating_add(1) } else { previous_flaps };
        let mut baseline = match record {
            Some(record) if record.state != ZoneState::Serving => record.baseline,
            _ => self.current_baseline(now, zone),
        };
        // Where only a share of a zone's endpoints answers, it is expected to bear that share of its baseline.
        if was_left
            && matches!(state, ZoneState::Returning(_))
            && let Some(probes) = self.probes.get(&ProbeTarget::zone(zone))
        {
            baseline.calls_per_s *= probes.answered_share();
        }
        let (state, why, overridden) = (*state, why.clone(), *overridden);
        next.zones.insert(zone.to_owned(), ZoneRecord { state, why, baseline, flaps, overridden });
    }

    fn current_baseline(&self, now: Duration, zone: &str) -> Baseline {
        let statistics = self.signals.statistics(now, zone);
        Baseline {
            calls_per_s: statistics.baseline_per_s,
            latency_ratio: statistics.baseline_latency_ratio.max(MIN_LATENCY_RATIO),
        }
    }

    /// Removes the records of zones that have served for the flap window.
    pub(super) fn remove_settled_records(&mut self, now: Duration, next: &mut ZoneStates) {
        let flap_window = self.settings.flap_window.0;
        next.zones.retain(|zone, record| {
            if record.state != ZoneState::Serving {
                return true;
            }
            let returned_at = *self.times(zone).returned_at.get_or_insert(now);
            now.saturating_sub(returned_at) < flap_window
        });
    }
}
