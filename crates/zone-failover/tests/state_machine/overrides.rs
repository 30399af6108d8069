//! Operator overrides and the freeze.

use super::simulated_fleet::PathCondition;
use super::{MS, SECOND, three_zones};
use curlewhub_zone_failover::state_machine::{ActiveOverride, Environment};
use curlewhub_zone_failover::zone_states::{OverrideAction, ZoneState};

#[test]
fn overrides_apply_until_they_expire_and_a_freeze_stops_automatic_transitions() {
    let mut fleet = three_zones(9);
    let override_of_b = |action: OverrideAction| {
        ("b".to_owned(), ActiveOverride { action, why: "new switch (anna)".to_owned() })
    };
    fleet.environment.overrides = [override_of_b(OverrideAction::Leave)].into();
    fleet.run(MS * 200);
    let record = &fleet.state_machine.zone_states().zones["b"];
    assert!(
        record.state == ZoneState::Left && record.overridden && record.why.contains("anna"),
        "{record:?}"
    );
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state("b"), ZoneState::Left, "automatic transitions do not end an override");
    // The override has expired: the zone is returned to.
    fleet.environment.overrides.clear();
    fleet.run(SECOND * 12);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.transitions);
    // No fault has a held zone left, nor any zone during a freeze.
    for environment in [
        Environment {
            overrides: [override_of_b(OverrideAction::Hold)].into(),
            ..fleet.environment.clone()
        },
        Environment { frozen: true, ..fleet.environment.clone() },
    ] {
        let mut fleet = three_zones(10);
        fleet.environment = Environment { sidecars: fleet.environment.sidecars.clone(), ..environment };
        fleet.set_paths_into(&["b"], PathCondition::Unreachable);
        fleet.run(SECOND * 5);
        assert_eq!(fleet.state("b"), ZoneState::Serving);
        fleet.environment.overrides.clear();
        fleet.environment.frozen = false;
        fleet.run(SECOND * 3);
        assert_eq!(fleet.state("b"), ZoneState::Left, "{:?}", fleet.transitions);
    }
}
