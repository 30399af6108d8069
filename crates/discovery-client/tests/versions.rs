//! The order of whole lists and changes, also across the switch from one server to another.

mod support;

use curlewhub_config::list::{EndpointList, TargetState};
use curlewhub_discovery_client::{Epoch, PENDING_CHANGES_LIMIT, Versions};
use support::target;

fn list(rev: u64, all: bool, targets: &[(&str, TargetState)]) -> EndpointList {
    let targets = targets.iter().map(|(uid, state)| target(uid, *state)).collect();
    EndpointList { rev, is_complete: all, targets }
}

fn names(list: &EndpointList) -> Vec<(&str, TargetState)> {
    list.targets.iter().map(|target| (target.uid.as_str(), target.state)).collect()
}

#[test]
fn versions_of_two_servers_are_never_compared() {
    let mut versions = Versions::new(900);
    assert_eq!(versions.request_after(Epoch(0)), 900);
    assert_eq!(versions.request_after(Epoch(1)), 0, "none of its versions is known");
    versions.watch_opened(Epoch(1), Some(list(3, true, &[])));
    assert_eq!((versions.epoch(), versions.version()), (Epoch(1), 3));
    assert!(!versions.needs_whole_list());
    assert_eq!(
        versions.merge_whole_list(Epoch(0), 900, list(901, true, &[])),
        None,
        "a late answer from the old server"
    );
}

#[test]
fn newer_changes_from_the_watch_override_the_whole_list() {
    let mut versions = Versions::new(5);
    versions.watch_opened(Epoch(1), Some(list(2, false, &[("a", TargetState::Draining)])));
    versions.apply_watch_line(&list(4, false, &[("b", TargetState::Removed), ("c", TargetState::Up)]));
    assert!(versions.needs_whole_list());
    let whole = list(3, true, &[("a", TargetState::Up), ("b", TargetState::Up)]);
    let merged = versions.merge_whole_list(Epoch(1), 4, whole).expect("the whole list was missing");
    assert!(merged.is_complete);
    assert_eq!(
        names(&merged),
        [("a", TargetState::Up), ("c", TargetState::Up)],
        "a changed before the list was created"
    );
    assert_eq!(versions.version(), 4);
    assert!(!versions.needs_whole_list());
}

#[test]
fn a_whole_list_is_applied_unless_the_watch_has_brought_newer_changes_since_the_request() {
    let mut versions = Versions::new(5);
    assert!(
        versions.merge_whole_list(Epoch(0), 5, list(3, true, &[])).is_some(),
        "its server has restarted its numbering"
    );
    versions.apply_watch_line(&list(8, false, &[]));
    assert!(versions.merge_whole_list(Epoch(0), 3, list(7, true, &[])).is_none());
    assert!(versions.merge_whole_list(Epoch(0), 8, list(8, true, &[])).is_some());
}

#[test]
fn departures_in_a_partial_list_are_applied_unless_older_than_the_current_list() {
    let versions = Versions::new(5);
    let partial =
        list(6, true, &[("a", TargetState::Draining), ("b", TargetState::Up), ("c", TargetState::Removed)]);
    let departures = versions.departures(Epoch(0), partial.clone()).expect("there are departures");
    assert_eq!(names(&departures), [("a", TargetState::Draining), ("c", TargetState::Removed)]);
    assert!(!departures.is_complete);
    assert!(versions.departures(Epoch(0), EndpointList { rev: 4, ..partial.clone() }).is_none());
    assert!(
        versions.departures(Epoch(1), EndpointList { rev: 1, ..partial }).is_some(),
        "from a newer server"
    );
}

#[test]
fn pending_changes_are_limited_while_the_whole_list_is_missing() {
    let mut versions = Versions::new(0);
    versions.watch_opened(Epoch(1), Some(list(1, false, &[])));
    for rev in 2.. {
        if versions.pending_limit_exceeded() {
            assert_eq!(rev as usize, PENDING_CHANGES_LIMIT + 3);
            return;
        }
        versions.apply_watch_line(&list(rev, false, &[("a", TargetState::Up)]));
    }
}

/// Guards against a fleet whose sidecars all have to request the whole list of a new server, although its first line
/// covers it.
#[test]
fn changes_after_version_0_complete_the_list_of_version_0_from_the_start() {
    let known = list(0, true, &[("a", TargetState::Up), ("b", TargetState::Up), ("c", TargetState::Up)]);
    let mut versions = Versions::from_initial(&known);
    versions.apply_watch_line(&list(7, false, &[("d", TargetState::Up)]));
    let first = list(3, false, &[("b", TargetState::Removed), ("c", TargetState::Draining)]);
    let whole = versions.watch_opened(Epoch(1), Some(first)).expect("a list");
    assert!(whole.is_complete, "what only the server before had named is gone");
    assert_eq!(names(&whole), [("a", TargetState::Up), ("c", TargetState::Draining)]);
    assert_eq!((versions.version(), versions.needs_whole_list()), (3, false));
    // Nothing has changed.
    let mut versions = Versions::from_initial(&known);
    let whole = versions.watch_opened(Epoch(1), Some(list(0, false, &[]))).expect("a list");
    assert_eq!(whole, known);
}

/// Guards against two servers whose version 0 is not the same: a change names an endpoint that had not changed.
#[test]
fn changes_that_contradict_the_list_of_version_0_do_not_complete_it() {
    let known = list(0, true, &[("a", TargetState::Up), ("b", TargetState::Up)]);
    for (known, first) in [
        (known.clone(), list(1, false, &[("b", TargetState::Up)])),
        (EndpointList { rev: 4, ..known.clone() }, list(5, false, &[("b", TargetState::Draining)])),
        (list(0, true, &[]), list(1, false, &[("b", TargetState::Up)])),
        (EndpointList { is_complete: false, ..known }, list(1, false, &[])),
    ] {
        let mut versions = Versions::from_initial(&known);
        assert_eq!(versions.watch_opened(Epoch(1), Some(first.clone())), Some(first), "{known:?}");
        assert!(versions.needs_whole_list(), "{known:?}");
    }
}

#[test]
fn the_endpoints_named_since_a_server_are_those_of_its_watch_and_of_later_ones() {
    let mut versions = Versions::new(5);
    versions
        .watch_opened(Epoch(1), Some(list(2, false, &[("a", TargetState::Up), ("b", TargetState::Up)])));
    versions.watch_opened(Epoch(2), Some(list(9, false, &[("b", TargetState::Removed)])));
    assert_eq!(versions.named_since(Epoch(1)), ["a", "b"]);
    assert!(versions.names_endpoint_up_since(Epoch(1)));
    assert_eq!(versions.named_since(Epoch(2)), ["b"]);
    assert!(!versions.names_endpoint_up_since(Epoch(2)), "it has left");
    versions.apply_watch_line(&list(10, false, &[("c", TargetState::Up)]));
    assert_eq!(versions.named_since(Epoch(2)), ["b", "c"]);
    assert!(versions.names_endpoint_up_since(Epoch(2)));
    assert!(!versions.names_endpoint_up_since(Epoch(3)));
    versions.apply_watch_line(&list(11, true, &[]));
    assert!(!versions.names_endpoint_up_since(Epoch(0)), "the list is whole");
}
