//! The search with small bounds, and defects that violate each of the safety properties, which the checker must find.

use curlewhub_model_checker::subscribers::{
    Defect, ONLY_DECIDED_CONTENT, Subscribers, VERSIONS_NEVER_DECREASE,
};
use stateright::{Checker, HasDiscoveries, Model};

const SMALL: Subscribers = Subscribers { sidecars: 2, versions: 2, in_flight: 2, crashes: 1, defect: None };

#[test]
fn two_sidecars_hold_only_decided_versions_in_every_interleaving() {
    let checker = SMALL.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done() && checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
}

#[test]
fn the_checker_finds_each_defect() {
    let cases = [
        (Defect::AcceptsOlderSnapshots, VERSIONS_NEVER_DECREASE),
        (Defect::AcceptsGaps, ONLY_DECIDED_CONTENT),
        (Defect::SendsUndecidedRecords, ONLY_DECIDED_CONTENT),
    ];
    for (defect, property) in cases {
        let defective = Subscribers { defect: Some(defect), ..SMALL }.checker().threads(2);
        // The state space of a defect may be unbounded: the first path that violates the property is enough.
        let found = HasDiscoveries::AnyOf([property].into());
        let checker = defective.finish_when(found).target_state_count(200_000).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{defect:?} was not found");
    }
}
