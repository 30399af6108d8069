//! A short bound of the search, and each property shown to fail for a defect of its own.

use curlewhub_model_checker::subscribers::{Defect, Subscribers};
use stateright::{Checker, HasDiscoveries, Model};

const SMALL: Subscribers = Subscribers { sidecars: 2, versions: 2, in_flight: 2, crashes: 1, defect: None };

#[test]
fn two_sidecars_hold_what_is_decided_in_every_interleaving() {
    let checker = SMALL.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done() && checker.unique_state_count() > 1000, "{}", checker.unique_state_count());
}

#[test]
fn each_property_fails_for_its_defect() {
    let cases = [
        (Defect::TakesOlderViews, "nobody goes back"),
        (Defect::TakesGaps, "nobody holds what was not decided"),
        (Defect::Liar, "nobody holds what was not decided"),
    ];
    for (defect, property) in cases {
        let defective = Subscribers { defect: Some(defect), ..SMALL }.checker().threads(2);
        // A defect may have no end of states: the first path that breaks the property is enough.
        let found = HasDiscoveries::AnyOf([property].into());
        let checker = defective.finish_when(found).target_state_count(200_000).spawn_bfs().join();
        assert!(checker.discovery(property).is_some(), "{defect:?} was not found");
    }
}
