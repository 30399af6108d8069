//! How zones that were left are returned to.

use super::simulated_fleet::PathCondition;
use super::{MS, SECOND, ZONES, is_serving, three_zones};
use curlewhub_zone_failover::zone_states::ZoneState;

#[test]
fn a_zone_is_returned_to_by_increasing_steps() {
    for seed in 0..5 {
        let mut fleet = three_zones(seed);
        fleet.set_paths_into(&["b"], PathCondition::Unreachable);
        fleet.run(SECOND * 4);
        assert_eq!(fleet.state("b"), ZoneState::Left);
        fleet.set_paths_into(&["b"], PathCondition::Healthy);
        let since = fleet.now;
        fleet.run(SECOND * 12);
        let steps: Vec<f64> = (fleet.transitions.iter())
            .filter(|(at, transition)| *at >= since && transition.zone == "b")
            .filter_map(
                |(_, transition)| {
                    if let ZoneState::Returning(rate) = transition.to { Some(rate) } else { None }
                },
            )
            .collect();
        assert!(steps.len() >= 3 && steps.is_sorted(), "seed {seed}: {steps:?}");
        // The first is a fifth of the baseline: four sidecars with 24 calls a second, and eight with 3.
        assert!((18.0..30.0).contains(&steps[0]), "seed {seed}: {steps:?}");
        assert!(
            fleet.time_to(since, "b", is_serving).is_some_and(|time| time < SECOND * 8),
            "seed {seed}: {:?}",
            fleet.transitions
        );
        // After the flap window its record is removed.
        fleet.run(SECOND * 65);
        assert!(
            fleet.state_machine.zone_states().zones.is_empty(),
            "seed {seed}: {:?}",
            fleet.state_machine.zone_states()
        );
    }
}

#[test]
fn a_failed_return_is_taken_back() {
    // The condition of all paths into the zone while it returns, and whether it serves again within 20 seconds.
    let cases = [
        (PathCondition::Unreachable, false, "unreachable again"),
        (PathCondition::Failing, false, "errors"),
        (PathCondition::Slow(6.0), false, "still slow"),
        (PathCondition::Lossy(0.2), false, "one in five lost"),
        (PathCondition::Slow(1.3), true, "a little slow"),
    ];
    for (condition, serves, case) in cases {
        let mut fleet = three_zones(3);
        fleet.set_paths_into(&["b"], PathCondition::Unreachable);
        fleet.run(SECOND * 3);
        fleet.set_paths_into(&["b"], PathCondition::Healthy);
        fleet.run_until_returning("b", SECOND * 10, case);
        fleet.set_paths_into(&["b"], condition);
        let since = fleet.now;
        fleet.run(SECOND * 20);
        assert_eq!(
            fleet.time_to(since, "b", is_serving).is_some(),
            serves,
            "{case}: {:?}",
            fleet.transitions
        );
        let rates = fleet.transitions.iter().filter(|(at, _)| *at > since).filter_map(|(_, transition)| {
            if let ZoneState::Returning(rate) = transition.to { Some(rate) } else { None }
        });
        let highest_rate = rates.fold(0.0, f64::max);
        assert!(serves || highest_rate < 60.0, "{case}: {highest_rate} a second");
    }
}

#[test]
fn a_zone_that_flaps_is_left_a_bounded_number_of_times() {
    let mut fleet = three_zones(4);
    for flip in 0..40 {
        fleet.set_paths_into(
            &["b"],
            if flip % 2 == 0 { PathCondition::Unreachable } else { PathCondition::Healthy },
        );
        fleet.run(SECOND * 3);
    }
    let leaves =
        fleet.transitions.iter().filter(|(_, transition)| transition.to == ZoneState::Left).count();
    assert!(leaves <= 8, "{leaves} leaves in two minutes: {:?}", fleet.transitions);
}

#[test]
fn a_zone_of_which_half_answers_returns_to_half_of_its_baseline() {
    let mut fleet = three_zones(5);
    fleet.set_paths_into(&["b"], PathCondition::Unreachable);
    fleet.run(SECOND * 3);
    fleet.set_paths_into(&["b"], PathCondition::Lossy(0.5));
    fleet.run_until_returning("b", SECOND * 15, "half of b answers");
    let baseline = fleet.state_machine.zone_states().zones["b"].baseline.calls_per_s;
    assert!((30.0..95.0).contains(&baseline), "{baseline} of about 120");
}

#[test]
fn a_zone_that_only_the_consensus_servers_lost_serves_again_at_once() {
    for seed in 0..5 {
        let mut fleet = three_zones(20 + seed);
        // Zone b and its sidecars are cut off from all others.
        (fleet.disconnected_zones, fleet.uninformed_zones) = (vec!["b"], vec!["b"]);
        for to in ZONES {
            let _ = (
                fleet.paths.insert((to, "b"), PathCondition::Silent),
                fleet.paths.insert(("b", to), PathCondition::Silent),
            );
        }
        fleet.paths.insert(("b", "b"), PathCondition::Healthy);
        fleet.run(SECOND * 6);
        assert_eq!(fleet.state("b"), ZoneState::Left, "seed {seed}");
        fleet.disconnected_zones.clear();
        fleet.paths.clear();
        let since = fleet.now;
        fleet.run(MS * 500);
        fleet.uninformed_zones.clear();
        fleet.run(SECOND * 2);
        let time_to_serve = fleet.time_to(since, "b", is_serving);
        assert!(
            time_to_serve.is_some_and(|time| time < SECOND),
            "seed {seed}: {time_to_serve:?}: {:?}",
            fleet.transitions
        );
        let steps = fleet
            .transitions
            .iter()
            .filter(|(_, transition)| matches!(transition.to, ZoneState::Returning(_)))
            .count();
        assert_eq!(steps, 0, "seed {seed}: no ramp is needed");
    }
}
