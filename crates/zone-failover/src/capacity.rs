//! What an evacuation would do to the zones that stay: how much load each would get, compared with its peak.
//!
//! The capacity of an endpoint is not known. What is known is a zone's peak: the highest rate that it served while it was
//! healthy, decaying over hours. Up to its peak a zone bears the load; above it, that is unknown.

use crate::zone_states::{ZoneState, tier_of, zone_of};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Lowest peak that a load is divided by, in calls a second.
const MIN_PEAK_PER_S: f64 = 1e-9;

/// The load of a tier zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLoad {
    /// Its name.
    pub name: String,
    /// Its region; empty if it is in none.
    pub region: String,
    /// Its state.
    pub state: ZoneState,
    /// Served calls a second.
    pub calls_per_s: f64,
    /// Its peak, in calls a second.
    pub peak_per_s: f64,
}

/// The load of a tier zone that stays, before and after an evacuation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadAfter {
    /// Its name.
    pub name: String,
    /// Served calls a second at present.
    pub calls_per_s: f64,
    /// Calls a second after the evacuation, divided as the calls of its tier are at present.
    pub then_per_s: f64,
    /// Its peak, in calls a second.
    #[serde(rename = "most_per_s")]
    pub peak_per_s: f64,
}

impl LoadAfter {
    /// The load after the evacuation as a multiple of the peak; up to 1 the zone has served it before.
    pub fn overload(&self) -> f64 {
        if self.then_per_s > 0.0 { self.then_per_s / self.peak_per_s.max(MIN_PEAK_PER_S) } else { 0.0 }
    }
}

/// The effects of an evacuation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EvacuationPlan {
    /// The tier zones that would be left.
    pub left: Vec<String>,
    /// Calls a second that would move to other zones or be rejected.
    pub moves_per_s: f64,
    /// Calls a second among these whose tier would have no zone left; they would be rejected.
    pub refused_per_s: f64,
    /// The share of the peaks that would stay, 0 to 1; that of the tier where it is lowest.
    pub stays: f64,
    /// The tier zones that stay and take calls.
    pub after: Vec<LoadAfter>,
}

/// The effects of leaving a zone in all tiers, one tier zone or a region; none if nothing bears that name.
pub fn leave(zones: &[ZoneLoad], name: &str) -> Option<EvacuationPlan> {
    let is_left = |zone: &ZoneLoad| [&zone.name[..], zone_of(&zone.name), &zone.region].contains(&name);
    if !zones.iter().any(is_left) {
        return None;
    }
    let mut plan = EvacuationPlan {
        left: zones.iter().filter(|zone| is_left(zone)).map(|zone| zone.name.clone()).collect(),
        stays: 1.0,
        ..EvacuationPlan::default()
    };
    let tiers: BTreeSet<u32> = zones.iter().map(|zone| tier_of(&zone.name)).collect();
    for tier in tiers {
        let tier_zones: Vec<&ZoneLoad> = zones.iter().filter(|zone| tier_of(&zone.name) == tier).collect();
        plan.add_tier(&tier_zones, is_left);
    }
    Some(plan)
}

impl EvacuationPlan {
    /// Adds the effects on the zones of one tier.
    fn add_tier(&mut self, tier_zones: &[&ZoneLoad], is_left: impl Fn(&ZoneLoad) -> bool) {
        // Zones that are left take no new calls, and those that return take no more than their budget.
        let takes_calls = |zone: &ZoneLoad| {
            !is_left(zone) && matches!(zone.state, ZoneState::Serving | ZoneState::Leaving(_))
        };
        let staying: Vec<&ZoneLoad> = tier_zones.iter().copied().filter(|zone| takes_calls(zone)).collect();
        let moved_per_s: f64 =
            tier_zones.iter().filter(|zone| is_left(zone)).map(|zone| zone.calls_per_s).sum();
        let (total_peak, staying_peak) = (total_peak(tier_zones), total_peak(&staying));
        if total_peak > 0.0 {
            self.stays = self.stays.min(staying_peak / total_peak);
        }
        self.moves_per_s += moved_per_s;
        if staying.is_empty() {
            self.refused_per_s += moved_per_s;
        }
        let staying_per_s: f64 = staying.iter().map(|zone| zone.calls_per_s).sum();
        self.after.extend(staying.iter().map(|zone| {
            let share = if staying_per_s > 0.0 {
                zone.calls_per_s / staying_per_s
            } else {
                1.0 / staying.len() as f64
            };
            LoadAfter {
                name: zone.name.clone(),
                calls_per_s: zone.calls_per_s,
                then_per_s: zone.calls_per_s + moved_per_s * share,
                peak_per_s: zone.peak_per_s,
            }
        }));
    }
}

/// The sum of peaks, where a zone that serves more than its peak counts with what it serves.
fn total_peak(zones: &[&ZoneLoad]) -> f64 {
    zones.iter().fold(0.0, |total, zone| total + zone.peak_per_s.max(zone.calls_per_s))
}
