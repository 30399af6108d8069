//! What a move would do to those that stay: where the calls of what is left would go, and whether that was ever borne.
//!
//! Nobody tells what an endpoint could bear. What a place has borne is known: the most calls a second that it served while it
//! was well, forgotten within hours. Where more than that would come, a move may still go well, and nothing says that it does.

use crate::zone_states::{ZoneState, tier_of, zone_of};
use serde::{Deserialize, Serialize};

/// A place, as far as its room is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLoad {
    /// Its name.
    pub name: String,
    /// Its region, empty where it is in none.
    pub region: String,
    /// How it stands.
    pub state: ZoneState,
    /// Calls a second that it serves.
    pub calls_per_s: f64,
    /// The most that it was seen to bear.
    pub peak_per_s: f64,
}

/// What a move would do to one that stays.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadAfter {
    /// Its name.
    pub name: String,
    /// Calls a second that it serves now ...
    pub calls_per_s: f64,
    /// ... and would, if what is left goes to those that stay as their own calls do now ...
    pub then_per_s: f64,
    /// ... and the most that it was seen to bear.
    #[serde(rename = "most_per_s")]
    pub peak_per_s: f64,
}

impl LoadAfter {
    /// How many times as much as it was seen to bear would come; 1 and below was borne.
    pub fn overload(&self) -> f64 {
        if self.then_per_s > 0.0 { self.then_per_s / self.peak_per_s.max(1e-9) } else { 0.0 }
    }
}

/// What a move would do.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EvacuationPlan {
    /// Places that would be left, by it.
    pub left: Vec<String>,
    /// Calls a second that would go elsewhere.
    pub moves_per_s: f64,
    /// Of these, calls a second of tiers of which nothing would stay: they would be refused.
    pub refused_per_s: f64,
    /// The least part, over the tiers, of what was borne that would stay: 0 to 1.
    pub stays: f64,
    /// Those that stay.
    pub after: Vec<LoadAfter>,
}

/// What leaving a hall, a region or one place would do; none where there is none of that name.
pub fn leave(zones: &[ZoneLoad], name: &str) -> Option<EvacuationPlan> {
    let is_meant = |zone: &ZoneLoad| [&zone.name[..], zone_of(&zone.name), &zone.region].contains(&name);
    if !zones.iter().any(is_meant) {
        return None;
    }
    let goes = |zone: &&ZoneLoad| is_meant(zone);
    // Nothing new goes into what is left already, and what returns has its own pace.
    let takes = |zone: &&ZoneLoad| {
        !is_meant(zone) && matches!(zone.state, ZoneState::Serving | ZoneState::Leaving(_))
    };
    let mut plan = EvacuationPlan {
        left: zones.iter().filter(goes).map(|p| p.name.clone()).collect(),
        stays: 1.0,
        ..EvacuationPlan::default()
    };
    let mut tiers: Vec<u32> = zones.iter().map(|zone| tier_of(&zone.name)).collect();
    tiers.sort_unstable();
    tiers.dedup();
    for tier in tiers {
        let of_tier = || zones.iter().filter(|zone| tier_of(&zone.name) == tier);
        let moves: f64 = of_tier().filter(goes).map(|zone| zone.calls_per_s).sum();
        let now: f64 = of_tier().filter(takes).map(|zone| zone.calls_per_s).sum();
        let borne = |all: f64, zone: &ZoneLoad| all + zone.peak_per_s.max(zone.calls_per_s);
        let (all, stays) = (of_tier().fold(0.0, borne), of_tier().filter(takes).fold(0.0, borne));
        plan.stays = if all > 0.0 { plan.stays.min(stays / all) } else { plan.stays };
        plan.moves_per_s += moves;
        let staying = of_tier().filter(takes).count();
        plan.refused_per_s += if staying == 0 { moves } else { 0.0 };
        plan.after.extend(of_tier().filter(takes).map(|zone| {
            // Each as it is used now; evenly where nothing goes anywhere.
            let part = if now > 0.0 { zone.calls_per_s / now } else { 1.0 / staying as f64 };
            let (calls_per_s, then_per_s) = (zone.calls_per_s, zone.calls_per_s + moves * part);
            LoadAfter { name: zone.name.clone(), calls_per_s, then_per_s, peak_per_s: zone.peak_per_s }
        }));
    }
    Some(plan)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn zone(name: &str, region: &str, state: ZoneState, calls_per_s: f64) -> ZoneLoad {
        let (name, region) = (name.to_owned(), region.to_owned());
        ZoneLoad { name, region, state, calls_per_s, peak_per_s: calls_per_s * 1.5 }
    }

    #[test]
    fn what_is_left_goes_to_those_of_its_tier_that_stay() {
        let zones = [
            zone("a", "nile", ZoneState::Serving, 60.0),
            zone("b", "delta", ZoneState::Serving, 30.0),
            zone("c", "delta", ZoneState::Serving, 30.0),
            zone("d", "", ZoneState::Left, 0.0),
            zone("b/1", "delta", ZoneState::Serving, 12.0),
        ];
        // What is left, which places that is, calls that move and are refused, the part that stays, what comes to the others.
        type Case<'a> = (&'a str, &'a [&'a str], (f64, f64, f64), &'a [(&'a str, f64)]);
        let cases: [Case; 4] = [
            ("a", &["a"], (60.0, 0.0, 0.5), &[("b", 60.0), ("c", 60.0), ("b/1", 12.0)]),
            ("b", &["b", "b/1"], (42.0, 12.0, 0.0), &[("a", 80.0), ("c", 40.0)]),
            ("delta", &["b", "c", "b/1"], (72.0, 12.0, 0.0), &[("a", 120.0)]),
            ("d", &["d"], (0.0, 0.0, 1.0), &[("a", 60.0), ("b", 30.0), ("c", 30.0), ("b/1", 12.0)]),
        ];
        for (name, left, (moves, refused, stays), then) in cases {
            let plan = leave(&zones, name).unwrap();
            assert_eq!(
                (plan.moves_per_s, plan.refused_per_s, plan.stays),
                (moves, refused, stays),
                "{name}"
            );
            assert_eq!(plan.left, left, "{name}");
            let after: Vec<(&str, f64)> = plan.after.iter().map(|a| (&a.name[..], a.then_per_s)).collect();
            assert_eq!(after, then, "{name}");
        }
        assert_eq!(leave(&zones, "e"), None);
        assert!((leave(&zones, "a").unwrap().after[0].overload() - 60.0 / 45.0).abs() < 1e-9);
    }
}
