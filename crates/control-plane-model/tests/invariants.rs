//! Small fleets in which everything goes wrong: keepers that crash, forget or pause, sidecars that start again, a network that
//! loses, repeats, reorders and parts. What must hold is looked at in every step.

use curlewhub_control_plane::membership::MemberStatus;
use curlewhub_control_plane::record::{Proposal, RecordKind, Version};
use curlewhub_control_plane_model::{Fault, Fleet, Scope, SimulationSpec};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// A version is to be at all within this of nothing going wrong any more.
const HEALS_WITHIN: Duration = Duration::from_secs(8);

/// Something goes wrong, or is put right. Keepers don't forget: one that has may only come back under another number.
fn disturb(fleet: &mut Fleet, draws: &mut Pcg32) {
    let (keepers, all) = (fleet.consensus_servers(), fleet.count());
    let (keeper, sidecar, any) =
        (draws.random_range(0..keepers), draws.random_range(keepers..all), draws.random_range(0..all));
    match draws.random_range(0..10) {
        0 => fleet.inject(keeper, Fault::Crash),
        1 => fleet.inject(keeper, Fault::Recover),
        2 => fleet.inject(any, Fault::Pause),
        3 => {
            fleet.inject(sidecar, if draws.random() { Fault::LoseDisk } else { Fault::Crash });
            fleet.inject(sidecar, Fault::Recover);
        }
        4 => fleet.inject(any, Fault::Recover),
        5 | 6 => {
            let agent = |draws: &mut Pcg32| match draws.random::<bool>() {
                true => Scope::Node(draws.random_range(0..all)),
                false => Scope::Zone(draws.random_range(0..3)),
            };
            let (a, b) = (agent(draws), agent(draws));
            fleet.cut(a, b);
            if draws.random() {
                fleet.cut(b, a);
            }
        }
        7 => fleet.network.cuts.clear(),
        8 => {
            (fleet.network.extra_delay, fleet.network.duplication) =
                (MS * draws.random_range(0..200), draws.random_range(0.0..0.2))
        }
        _ => (fleet.network.loss, fleet.crash_after_write) = (draws.random_range(0.0..0.3), 0.0005),
    }
}

/// From now on nothing goes wrong: all come to one version, on which a new one follows, and nothing is lost.
fn ends_well(fleet: &mut Fleet) {
    let seed = fleet.seed();
    fleet.recover_all();
    fleet.run(HEALS_WITHIN / 2);
    let before = *fleet.versions().last().unwrap();
    assert!(fleet.leader().is_some(), "seed {seed}: nobody leads");
    fleet.propose_anywhere();
    fleet.run(HEALS_WITHIN / 2);
    let versions: Vec<Version> = fleet.versions().into_iter().collect();
    assert_eq!(versions, [before.next()], "seed {seed}");
    fleet.invariants.check_nothing_lost(before.next());
    assert_eq!(fleet.invariants.violations, [""; 0], "seed {seed}");
}

#[test]
fn whatever_goes_wrong_there_is_one_content_a_version_nobody_goes_back_and_all_end_alike() {
    let mut decided = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(SimulationSpec::small(3 + 2 * (seed as usize % 2), 4), seed);
        let mut draws = Pcg32::seed_from_u64(seed);
        fleet.run(SECOND * 2);
        for _ in 0..40 {
            disturb(&mut fleet, &mut draws);
            let to = draws.random_range(0..fleet.consensus_servers());
            fleet.propose(to);
            fleet.run(MS * 400);
        }
        ends_well(&mut fleet);
        decided += fleet.invariants.decided.len();
    }
    assert!(decided > 400, "{decided}: too little was decided to say anything");
}

/// A fleet with a leader, and who that is.
fn led(spec: SimulationSpec, seed: u64) -> (Fleet, usize) {
    let mut fleet = Fleet::new(spec, seed);
    assert!(fleet.run_until(SECOND * 5, |fleet| fleet.leader().is_some()));
    fleet.run(SECOND);
    let leader = fleet.leader().unwrap();
    (fleet, leader)
}

#[test]
fn a_leader_that_hears_nothing_steps_down_and_one_that_wakes_leads_no_more() {
    for paused in [false, true] {
        let (mut fleet, leader) = led(SimulationSpec::small(3, 2), 7);
        if paused {
            fleet.inject(leader, Fault::Pause);
        } else {
            // It sends, and hears nothing.
            (0..3).filter(|n| *n != leader).for_each(|n| fleet.cut(Scope::Node(n), Scope::Node(leader)));
        }
        let other = |fleet: &Fleet| fleet.leader().is_some_and(|next| next != leader);
        assert!(fleet.run_until(SECOND * 4, other), "paused {paused}: the others chose nobody");
        let next = fleet.leader().unwrap();
        fleet.propose(next);
        fleet.run(SECOND);
        assert_eq!(fleet.invariants.decided.len(), 1, "paused {paused}");
        if paused {
            // It wakes with all that it had planned as a leader.
            fleet.inject(leader, Fault::Recover);
            fleet.propose(leader);
            fleet.run(SECOND);
        }
        ends_well(&mut fleet);
    }
}

#[test]
fn in_a_cycle_where_each_sees_one_other_nothing_wrong_is_decided_and_it_ends_well() {
    // By seed, and how many of the three ways round are cut, each one way.
    for seed in 0..12 {
        let (mut fleet, _) = led(SimulationSpec::small(3, 3), seed);
        // a hears b, b hears c, c hears a, and nothing else passes between keepers.
        for (a, b) in [(0, 1), (1, 2), (2, 0)] {
            fleet.cut(Scope::Node(a), Scope::Node(b));
        }
        for n in 0..40 {
            fleet.propose(n % 3);
            fleet.run(MS * 250);
        }
        ends_well(&mut fleet);
    }
}

#[test]
fn two_of_three_that_see_one_another_decide_whoever_led() {
    for seed in 0..6 {
        let (mut fleet, leader) = led(SimulationSpec::small(3, 3), seed);
        let (next, last) = ((leader + 1) % 3, (leader + 2) % 3);
        // The leader is seen by one other, which is seen by both: a chain. The one in its middle reaches a majority.
        fleet.cut(Scope::Node(leader), Scope::Node(last));
        fleet.cut(Scope::Node(last), Scope::Node(leader));
        fleet.run(SECOND * 4);
        let before = fleet.invariants.decided.len();
        for _ in 0..8 {
            fleet.propose(next);
            fleet.run(MS * 500);
        }
        assert!(fleet.invariants.decided.len() > before, "seed {seed}: a majority sees one another");
        ends_well(&mut fleet);
    }
}

#[test]
fn without_a_majority_nothing_is_decided_and_sidecars_keep_what_they_have() {
    let (mut fleet, _) = led(SimulationSpec::small(5, 4), 3);
    for _ in 0..3 {
        fleet.propose_anywhere();
    }
    fleet.run(SECOND * 2);
    let held: Vec<Version> = fleet.versions().into_iter().collect();
    assert_eq!(held, [Version(3)]);
    (0..3).for_each(|n| fleet.inject(n, Fault::Crash));
    fleet.propose(4);
    fleet.run(SECOND * 600);
    assert_eq!(fleet.versions().into_iter().collect::<Vec<_>>(), held, "ten minutes change nothing");
    // One that has lost its disk meanwhile is brought up by the others, with no keeper's help.
    (3..5).for_each(|n| fleet.inject(n, Fault::Crash));
    fleet.inject(5, Fault::LoseDisk);
    fleet.run(SECOND);
    fleet.inject(5, Fault::Recover);
    fleet.run(SECOND * 30);
    // Only who is told of somebody can find anybody: its seeds are keepers, and the others found it.
    assert_eq!(fleet.version(5), Version(3));
    let now = fleet.now() + SECOND * 100;
    assert_eq!(fleet.client(5).unwrap().age(now), None, "by no keeper's word");
    ends_well(&mut fleet);
}

#[test]
fn keepers_are_replaced_one_at_a_time_and_a_new_one_gets_all() {
    let spec = SimulationSpec { joining: 1, ..SimulationSpec::small(4, 2) };
    let (mut fleet, leader) = led(spec, 11);
    // More than a snapshot's worth, so that the new one can't be given the entries alone.
    for _ in 0..700 {
        fleet.propose(leader);
        fleet.run(MS * 20);
    }
    fleet.run(SECOND);
    assert_eq!(fleet.versions().into_iter().collect::<Vec<_>>(), [Version(700)]);
    assert!(fleet.log_entries(0) < 700, "{} entries are kept: the log does not end", fleet.log_entries(0));
    fleet.inject(3, Fault::Recover);
    fleet.change_voters(leader, 4, true).unwrap();
    fleet.run(SECOND * 3);
    assert_eq!(fleet.version(3), Version(700));
    // The old one goes, and the new one counts for the majority.
    let gone = (0..3).find(|n| *n != leader).unwrap();
    fleet.change_voters(leader, gone as u64 + 1, false).unwrap();
    fleet.run(SECOND * 2);
    fleet.inject(gone, Fault::Crash);
    fleet.propose(leader);
    fleet.run(SECOND * 2);
    assert_eq!(fleet.version(3), Version(701));
    let wrong = fleet.change_voters(leader, gone as u64 + 1, false).unwrap_err().to_string();
    assert!(wrong.contains("is not a keeper"), "{wrong}");
}

#[test]
fn a_version_of_a_mebibyte_and_a_view_full_of_them_reach_everybody() {
    let (mut fleet, leader) = led(SimulationSpec::small(3, 4), 5);
    let large = |id: u64| Proposal {
        id,
        key: format!("plan/{id}"),
        kind: RecordKind::NOTE,
        body: vec![id as u8; 1 << 20],
        by: "anna".to_owned(),
        why: String::new(),
        expected_version: None,
    };
    // The last finds no room, and that is said.
    for id in 1000..1017 {
        fleet.propose_this(leader, large(id));
        fleet.run(SECOND);
    }
    fleet.run(SECOND * 4);
    assert_eq!(fleet.versions().into_iter().collect::<Vec<_>>(), [Version(16)]);
    // One that has nothing gets all of it in one message, larger than what a keeper tells in a second.
    fleet.inject(6, Fault::LoseDisk);
    fleet.inject(6, Fault::Recover);
    fleet.run(SECOND * 8);
    assert_eq!(fleet.version(6), Version(16));
    ends_well(&mut fleet);
}

#[test]
fn who_is_there_is_known_and_who_is_gone_and_who_came_back() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(SimulationSpec::small(3, 9), seed);
        let mut draws = Pcg32::seed_from_u64(seed);
        let counts = |fleet: &Fleet| -> Vec<usize> {
            let known = |n: &usize| match (fleet.consensus(*n), fleet.client(*n)) {
                (Some(consensus), _) => Some(consensus.membership().alive_count()),
                (_, Some(client)) => client.membership().map(|members| members.alive_count()),
                _ => None,
            };
            (0..fleet.count()).filter_map(|n| known(&n)).collect()
        };
        let all = |wanted: usize| move |fleet: &Fleet| counts(fleet).iter().all(|count| *count == wanted);
        assert!(fleet.run_until(SECOND * 40, all(11)), "seed {seed}: {:?}", counts(&fleet));
        // A third of datagrams lost has nobody taken for gone: others are asked, and what is suspected answers.
        fleet.network.loss = 0.1;
        fleet.run(SECOND * 20);
        fleet.network.loss = 0.0;
        assert!(fleet.run_until(SECOND * 20, all(11)), "seed {seed}: after losses {:?}", counts(&fleet));
        let gone = draws.random_range(3..12);
        fleet.inject(gone, Fault::Crash);
        assert!(fleet.run_until(SECOND * 15, all(10)), "seed {seed}: {:?}", counts(&fleet));
        let standing = fleet
            .consensus(0)
            .unwrap()
            .membership()
            .all()
            .find(|(m, _)| m.address.ip().is_ipv4() && m.name == format!("sidecar-{}", gone - 3));
        assert_eq!(standing.map(|(_, standing)| standing), Some(MemberStatus::Down), "seed {seed}");
        // It starts again; another is paused for long, is taken for gone, and is back under its own name.
        fleet.inject(gone, Fault::Recover);
        let paused = if gone == 11 { 3 } else { gone + 1 };
        fleet.inject(paused, Fault::Pause);
        fleet.run(SECOND * 15);
        fleet.inject(paused, Fault::Recover);
        assert!(fleet.run_until(SECOND * 30, all(11)), "seed {seed}: {:?}", counts(&fleet));
        // A hall that was cut off for a minute is known again.
        fleet.network.isolated_zones = [(1, true), (1, false)].into();
        fleet.run(SECOND * 60);
        fleet.network.isolated_zones.clear();
        assert!(fleet.run_until(SECOND * 40, all(11)), "seed {seed}: {:?}", counts(&fleet));
        assert_eq!(fleet.invariants.violations, [""; 0], "seed {seed}");
    }
}

#[test]
fn one_seed_replays_all() {
    let trace = |seed| {
        let mut fleet = Fleet::new(SimulationSpec::small(3, 3), seed);
        let mut draws = Pcg32::seed_from_u64(seed);
        for _ in 0..20 {
            disturb(&mut fleet, &mut draws);
            fleet.propose(0);
            fleet.run(MS * 300);
        }
        (fleet.scheduled_events(), fleet.totals, fleet.invariants.decided.clone())
    };
    assert_eq!(trace(5), trace(5));
    assert_ne!(trace(5).0, trace(6).0);
}
