//! Which faults have zones left and zone pairs cut.

use super::simulated_fleet::{PathCondition, SimulatedFleet};
use super::{SECOND, ZONES, is_left, three_zones};
use curlewhub_zone_failover::zone_states::ZoneState;

/// A fault, the zones that are left for it within two seconds, and the zone pairs that are cut.
type Case = (
    &'static str,
    fn(&mut SimulatedFleet),
    &'static [&'static str],
    &'static [(&'static str, &'static str)],
);

const CASES: &[Case] = &[
    ("nothing", |_| {}, &[], &[]),
    ("a zone is silent", |f| f.set_paths_into(&["b"], PathCondition::Silent), &["b"], &[]),
    ("a zone is unreachable", |f| f.set_paths_into(&["b"], PathCondition::Unreachable), &["b"], &[]),
    ("a zone answers with errors", |f| f.set_paths_into(&["b"], PathCondition::Failing), &["b"], &[]),
    ("a zone rejects calls", |f| f.set_paths_into(&["b"], PathCondition::Rejecting), &[], &[]),
    ("two zones are silent", |f| f.set_paths_into(&["a", "b"], PathCondition::Silent), &["a", "b"], &[]),
    (
        "all zones are silent, as a tier below them is",
        |f| f.set_paths_into(&ZONES, PathCondition::Silent),
        &[],
        &[],
    ),
    ("all zones answer with errors", |f| f.set_paths_into(&ZONES, PathCondition::Failing), &[], &[]),
    (
        "a third of the calls into a zone is lost",
        |f| f.set_paths_into(&["b"], PathCondition::Lossy(0.33)),
        &[],
        &[],
    ),
    (
        "two thirds of the calls into all zones are lost",
        |f| f.set_paths_into(&ZONES, PathCondition::Lossy(0.66)),
        &[],
        &[],
    ),
    (
        "the path from a to b is cut",
        |f| _ = f.paths.insert(("a", "b"), PathCondition::Silent),
        &[],
        &[("a", "b")],
    ),
    (
        "a is cut off from both others",
        |f| _ = ["b", "c"].map(|to| f.paths.insert(("a", to), PathCondition::Silent)),
        &[],
        &[("a", "b"), ("a", "c")],
    ),
    ("a sidecar lies", |f| f.lying_sidecars = vec!["s-b-0".to_owned()], &[], &[]),
    (
        "half of a zone's sidecars lie, and one of another zone",
        |f| f.lying_sidecars = ["s-b-0", "s-b-1", "s-a-0"].map(str::to_owned).to_vec(),
        &[],
        &[],
    ),
    (
        "all sidecars of a zone lie: a bad release there",
        |f| f.lying_sidecars = (0..4).map(|n| format!("s-b-{n}")).collect(),
        &[],
        &[],
    ),
];

#[test]
fn zones_are_left_and_pairs_are_cut_for_confirmed_faults_alone() {
    for (case, begin_fault, zones, pairs) in CASES {
        for seed in 0..5 {
            let mut fleet = three_zones(seed);
            begin_fault(&mut fleet);
            let since = fleet.now;
            fleet.run(SECOND * 4);
            for zone in ZONES {
                let time_to_leave = fleet.time_to(since, zone, is_left);
                if zones.contains(&zone) {
                    assert!(
                        time_to_leave.is_some_and(|time| time <= SECOND * 2),
                        "{case}, seed {seed}: {zone} {time_to_leave:?}"
                    );
                } else {
                    assert_eq!(time_to_leave, None, "{case}, seed {seed}: {zone}: {:?}", fleet.transitions);
                }
            }
            let cut: Vec<(&str, &str)> = (fleet.state_machine.zone_states().cut_pairs.iter())
                .flat_map(|(from, cut)| cut.keys().map(move |to| (&from[..], &to[..])))
                .collect();
            assert_eq!(cut, *pairs, "{case}, seed {seed}: {:?}", fleet.transitions);
        }
    }
}

#[test]
fn a_slow_zone_is_left_by_steps_and_returned_to_once_it_has_recovered() {
    let mut fleet = three_zones(6);
    fleet.set_paths_into(&["b"], PathCondition::Slow(10.0));
    let since = fleet.now;
    fleet.run(SECOND * 8);
    let shares: Vec<f64> = (fleet.transitions.iter())
        .filter_map(
            |(_, transition)| {
                if let ZoneState::Leaving(share) = transition.to { Some(share) } else { None }
            },
        )
        .collect();
    assert_eq!(shares.first(), Some(&0.5));
    assert!(shares.len() >= 3 && *shares.last().unwrap() <= 0.125, "{shares:?}");
    assert!(fleet.time_to(since, "b", |state| state == ZoneState::Leaving(0.5)) >= Some(SECOND * 2));
    fleet.set_paths_into(&["b"], PathCondition::Healthy);
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.transitions);
    // Once the other zones reject calls, the shifted calls go back.
    let mut fleet = three_zones(6);
    fleet.set_paths_into(&["b"], PathCondition::Slow(10.0));
    fleet.run(SECOND * 5);
    assert!(matches!(fleet.state("b"), ZoneState::Leaving(_)));
    fleet.set_paths_into(&["a", "c"], PathCondition::PartlyRejecting(0.2));
    fleet.run(SECOND * 6);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.transitions);
    // That all zones are slow is the fault of none.
    let mut fleet = three_zones(7);
    fleet.set_paths_into(&ZONES, PathCondition::Slow(10.0));
    fleet.run(SECOND * 8);
    assert!(fleet.transitions.is_empty(), "{:?}", fleet.transitions);
}

#[test]
fn an_hour_of_small_faults_causes_no_transition() {
    // Some calls are lost, rejected or slow in one zone at a time, with pauses between.
    let mut transitions = 0;
    for seed in 0..4 {
        let mut fleet = three_zones(100 + seed);
        for round in 0..180_u64 {
            let zone = ZONES[(round % 3) as usize];
            let condition = match (round / 3) % 4 {
                0 => PathCondition::Lossy(0.2),
                1 => PathCondition::Rejecting,
                2 => PathCondition::Slow(2.0),
                _ => PathCondition::Lossy(0.4),
            };
            fleet.set_paths_into(&[zone], condition);
            fleet.run(SECOND * 2);
            fleet.set_paths_into(&[zone], PathCondition::Healthy);
            fleet.run(SECOND * 3);
        }
        transitions += fleet.transitions.len();
    }
    assert_eq!(transitions, 0);
}
