//! What an evacuation would do to the zones that stay.

use curlewhub_zone_failover::capacity::{ZoneLoad, leave};
use curlewhub_zone_failover::zone_states::ZoneState;

fn zone(name: &str, region: &str, state: ZoneState, calls_per_s: f64) -> ZoneLoad {
    let (name, region) = (name.to_owned(), region.to_owned());
    ZoneLoad { name, region, state, calls_per_s, peak_per_s: calls_per_s * 1.5 }
}

/// One evacuation, and what is expected of its plan.
struct Case<'a> {
    name: &'a str,
    left: &'a [&'a str],
    moves_per_s: f64,
    refused_per_s: f64,
    stays: f64,
    then_per_s: &'a [(&'a str, f64)],
}

const CASES: [Case; 4] = [
    Case {
        name: "a",
        left: &["a"],
        moves_per_s: 60.0,
        refused_per_s: 0.0,
        stays: 0.5,
        then_per_s: &[("b", 60.0), ("c", 60.0), ("b/1", 12.0)],
    },
    Case {
        name: "b",
        left: &["b", "b/1"],
        moves_per_s: 42.0,
        refused_per_s: 12.0,
        stays: 0.0,
        then_per_s: &[("a", 80.0), ("c", 40.0)],
    },
    Case {
        name: "delta",
        left: &["b", "c", "b/1"],
        moves_per_s: 72.0,
        refused_per_s: 12.0,
        stays: 0.0,
        then_per_s: &[("a", 120.0)],
    },
    Case {
        name: "d",
        left: &["d"],
        moves_per_s: 0.0,
        refused_per_s: 0.0,
        stays: 1.0,
        then_per_s: &[("a", 60.0), ("b", 30.0), ("c", 30.0), ("b/1", 12.0)],
    },
];

#[test]
fn load_of_a_left_zone_moves_to_the_staying_zones_of_its_tier() {
    let zones = [
        zone("a", "nile", ZoneState::Serving, 60.0),
        zone("b", "delta", ZoneState::Serving, 30.0),
        zone("c", "delta", ZoneState::Serving, 30.0),
        zone("d", "", ZoneState::Left, 0.0),
        zone("b/1", "delta", ZoneState::Serving, 12.0),
    ];
    for Case { name, left, moves_per_s, refused_per_s, stays, then_per_s } in CASES {
        let plan = leave(&zones, name).unwrap();
        assert_eq!(
            (plan.moves_per_s, plan.refused_per_s, plan.stays),
            (moves_per_s, refused_per_s, stays),
            "{name}"
        );
        assert_eq!(plan.left, left, "{name}");
        let after: Vec<(&str, f64)> =
            plan.after.iter().map(|load| (&load.name[..], load.then_per_s)).collect();
        assert_eq!(after, then_per_s, "{name}");
    }
    assert_eq!(leave(&zones, "e"), None);
    assert!((leave(&zones, "a").unwrap().after[0].overload() - 60.0 / 45.0).abs() < 1e-9);
}
