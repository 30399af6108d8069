//! Tiers of a zone, which are left one by one, and regions, whose zones are left together.

use super::simulated_fleet::{PathCondition, SimulatedFleet};
use super::{MS, SECOND, ZONES, is_left};
use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_zone_failover::state_machine::ActiveOverride;
use curlewhub_zone_failover::zone_states::{OverrideAction, ZoneState};

#[test]
fn a_region_is_left_as_one_and_its_zones_are_returned_to_one_after_another() {
    let zones = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let regions = [("a", ["a1", "a2"]), ("b", ["b1", "b2"]), ("c", ["c1", "c2"])];
    let regions = regions.map(|(name, zones)| (name.to_owned(), zones.map(str::to_owned).to_vec()));
    let settings = ZoneFailoverConfig {
        regions: regions.into_iter().collect(),
        max_concurrent_failovers: 1,
        ..ZoneFailoverConfig::default()
    };
    let mut fleet = SimulatedFleet::new(&zones, 3, settings, 8);
    fleet.run(SECOND * 10);
    fleet.set_paths_into(&["b1", "b2"], PathCondition::Silent);
    // The sidecars of b are unreachable as well.
    fleet.environment.sidecars.retain(|zone, _| !zone.starts_with('b'));
    let since = fleet.now;
    fleet.run(SECOND * 3);
    for zone in ["b1", "b2"] {
        assert!(
            fleet.time_to(since, zone, is_left).is_some_and(|time| time < SECOND * 2),
            "{:?}",
            fleet.transitions
        );
    }
    // No zone of another region may be left beside it.
    fleet.set_paths_into(&["a1"], PathCondition::Unreachable);
    fleet.run(SECOND * 2);
    assert_eq!(fleet.state("a1"), ZoneState::Serving);
    fleet.set_paths_into(&["a1", "b1", "b2"], PathCondition::Healthy);
    let mut max_returning = 0;
    for _ in 0..400 {
        fleet.run(MS * 50);
        let returning =
            ["b1", "b2"].iter().filter(|zone| matches!(fleet.state(zone), ZoneState::Returning(_))).count();
        max_returning = max_returning.max(returning);
    }
    assert_eq!(
        (max_returning, fleet.state("b1"), fleet.state("b2")),
        (1, ZoneState::Serving, ZoneState::Serving)
    );
}

#[test]
fn a_tier_of_a_zone_is_left_without_its_other_tiers() {
    let second_tier = ["a/1", "b/1", "c/1"];
    // Tier zones with endpoints of the second tier, tier zones that fail, and those that are left.
    let cases: [(&[&'static str], &[&'static str], &[&str]); 5] = [
        (&second_tier, &["b/1"], &["b/1"]),
        (&second_tier, &["b"], &["b"]),
        (&second_tier, &["b", "b/1"], &["b", "b/1"]),
        (&second_tier, &second_tier, &[]),
        // Endpoints in one zone alone: its calls have no alternative.
        (&["b/1"], &["b/1"], &[]),
    ];
    for (with_endpoints, failing, expected) in cases {
        let mut fleet = SimulatedFleet::new(
            &ZONES,
            4,
            ZoneFailoverConfig { max_concurrent_failovers: 1, ..ZoneFailoverConfig::default() },
            12,
        );
        fleet.second_tier = with_endpoints.to_vec();
        fleet.run(SECOND * 10);
        fleet.set_paths_into(failing, PathCondition::Unreachable);
        let since = fleet.now;
        fleet.run(SECOND * 4);
        for tier_zone in ZONES.iter().chain(&second_tier) {
            let time_to_leave = fleet.time_to(since, tier_zone, is_left);
            assert_eq!(
                time_to_leave.is_some(),
                expected.contains(tier_zone),
                "{failing:?}: {tier_zone}: {:?}",
                fleet.transitions
            );
        }
        fleet.set_paths_into(failing, PathCondition::Healthy);
        fleet.run(SECOND * 15);
        assert!(
            failing.iter().all(|tier_zone| fleet.state(tier_zone) == ZoneState::Serving),
            "{failing:?}: {:?}",
            fleet.transitions
        );
        // An override of the zone applies to all its tiers.
        let leave = ActiveOverride { action: OverrideAction::Leave, why: "new switch (anna)".to_owned() };
        fleet.environment.overrides = [("b".to_owned(), leave)].into();
        fleet.run(SECOND);
        assert_eq!((fleet.state("b"), fleet.state("b/1")), (ZoneState::Left, ZoneState::Left));
    }
}
