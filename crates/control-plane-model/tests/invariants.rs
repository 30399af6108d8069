//! Small fleets under faults: consensus servers crash and pause, sidecars restart with and without their disk, and the network
//! loses, duplicates, reorders and partitions. The invariants are checked in every step.

use curlewhub_control_plane::membership::MemberStatus;
use curlewhub_control_plane::record::{Proposal, RecordKind, Version};
use curlewhub_control_plane_model::{Fault, Fleet, Scope, SimulationSpec};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Once all faults have ended, processes hold one version within this time.
const CONVERGES_WITHIN: Duration = Duration::from_secs(8);

/// Injects or ends one random fault. Consensus servers keep their disks: one that has lost its disk may only return under
/// another id.
fn inject_random_fault(fleet: &mut Fleet, draws: &mut Pcg32) {
    let (servers, all) = (fleet.consensus_servers(), fleet.count());
    let server = draws.random_range(0..servers);
    let sidecar = draws.random_range(servers..all);
    let any = draws.random_range(0..all);
    match draws.random_range(0..10) {
        0 => fleet.inject(server, Fault::Crash),
        1 => fleet.inject(server, Fault::Recover),
        2 => fleet.inject(any, Fault::Pause),
        3 => {
            fleet.inject(sidecar, if draws.random() { Fault::LoseDisk } else { Fault::Crash });
            fleet.inject(sidecar, Fault::Recover);
        }
        4 => fleet.inject(any, Fault::Recover),
        5 | 6 => {
            let scope = |draws: &mut Pcg32| match draws.random::<bool>() {
                true => Scope::Node(draws.random_range(0..all)),
                false => Scope::Zone(draws.random_range(0..3)),
            };
            let (a, b) = (scope(draws), scope(draws));
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

/// Ends all faults, and asserts that all processes converge on one version that another follows, and that no decided
/// proposal is lost.
fn assert_recovers(fleet: &mut Fleet) {
    let seed = fleet.seed();
    fleet.recover_all();
    fleet.run(CONVERGES_WITHIN / 2);
    let before = *fleet.versions().last().unwrap();
    assert!(fleet.leader().is_some(), "seed {seed}: there is no leader");
    fleet.propose_anywhere();
    fleet.run(CONVERGES_WITHIN / 2);
    let versions: Vec<Version> = fleet.versions().into_iter().collect();
    assert_eq!(versions, [before.next()], "seed {seed}");
    fleet.invariants.check_nothing_lost(before.next());
    assert_eq!(fleet.invariants.violations, [""; 0], "seed {seed}");
}

#[test]
fn under_random_faults_versions_are_unique_and_monotonic_and_all_processes_converge() {
    let mut decided = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(SimulationSpec::small(3 + 2 * (seed as usize % 2), 4), seed);
        let mut draws = Pcg32::seed_from_u64(seed);
        fleet.run(SECOND * 2);
        for _ in 0..40 {
            inject_random_fault(&mut fleet, &mut draws);
            let to = draws.random_range(0..fleet.consensus_servers());
            fleet.propose(to);
            fleet.run(MS * 400);
        }
        assert_recovers(&mut fleet);
        decided += fleet.invariants.decided.len();
    }
    assert!(decided > 400, "{decided}: too little was decided for the test to be meaningful");
}

/// A fleet that has a leader, and the leader's number.
fn fleet_with_leader(spec: SimulationSpec, seed: u64) -> (Fleet, usize) {
    let mut fleet = Fleet::new(spec, seed);
    assert!(fleet.run_until(SECOND * 5, |fleet| fleet.leader().is_some()));
    fleet.run(SECOND);
    let leader = fleet.leader().unwrap();
    (fleet, leader)
}

#[test]
fn a_leader_that_receives_nothing_steps_down_and_a_paused_one_does_not_lead_after_it_resumes() {
    for paused in [false, true] {
        let (mut fleet, leader) = fleet_with_leader(SimulationSpec::small(3, 2), 7);
        if paused {
            fleet.inject(leader, Fault::Pause);
        } else {
            // It can send, but receives nothing from the other servers.
            (0..3).filter(|n| *n != leader).for_each(|n| fleet.cut(Scope::Node(n), Scope::Node(leader)));
        }
        let other = |fleet: &Fleet| fleet.leader().is_some_and(|next| next != leader);
        assert!(fleet.run_until(SECOND * 4, other), "paused {paused}: the others elected no leader");
        let next = fleet.leader().unwrap();
        fleet.propose(next);
        fleet.run(SECOND);
        assert_eq!(fleet.invariants.decided.len(), 1, "paused {paused}");
        if paused {
            // It resumes with the timers and the queue that it had as a leader.
            fleet.inject(leader, Fault::Recover);
            fleet.propose(leader);
            fleet.run(SECOND);
        }
        assert_recovers(&mut fleet);
    }
}

#[test]
fn safety_holds_where_each_server_receives_from_only_one_other() {
    for seed in 0..12 {
        let (mut fleet, _) = fleet_with_leader(SimulationSpec::small(3, 3), seed);
        // Each pair of servers is cut in one direction: 1 receives from 2 alone, 2 from 0, and 0 from 1.
        for (a, b) in [(0, 1), (1, 2), (2, 0)] {
            fleet.cut(Scope::Node(a), Scope::Node(b));
        }
        for n in 0..40 {
            fleet.propose(n % 3);
            fleet.run(MS * 250);
        }
        assert_recovers(&mut fleet);
    }
}

#[test]
fn two_connected_servers_of_three_make_progress_whoever_led() {
    for seed in 0..6 {
        let (mut fleet, leader) = fleet_with_leader(SimulationSpec::small(3, 3), seed);
        let (next, last) = ((leader + 1) % 3, (leader + 2) % 3);
        // The servers form a chain, with the leader at one end. The one in the middle reaches a quorum.
        fleet.cut(Scope::Node(leader), Scope::Node(last));
        fleet.cut(Scope::Node(last), Scope::Node(leader));
        fleet.run(SECOND * 4);
        let before = fleet.invariants.decided.len();
        for _ in 0..8 {
            fleet.propose(next);
            fleet.run(MS * 500);
        }
        assert!(fleet.invariants.decided.len() > before, "seed {seed}: a quorum is connected");
        assert_recovers(&mut fleet);
    }
}

#[test]
fn without_a_quorum_nothing_is_decided_and_sidecars_keep_their_version() {
    let (mut fleet, _) = fleet_with_leader(SimulationSpec::small(5, 4), 3);
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
    // A sidecar that loses its disk meanwhile catches up from other sidecars, without any consensus server.
    (3..5).for_each(|n| fleet.inject(n, Fault::Crash));
    fleet.inject(5, Fault::LoseDisk);
    fleet.run(SECOND);
    fleet.inject(5, Fault::Recover);
    fleet.run(SECOND * 30);
    // Its seeds are consensus servers, none of which runs: the other sidecars have found it.
    assert_eq!(fleet.version(5), Version(3));
    let now = fleet.now() + SECOND * 100;
    assert_eq!(fleet.client(5).unwrap().age(now), None, "no consensus server has confirmed its view");
    assert_recovers(&mut fleet);
}

#[test]
fn voters_are_replaced_one_at_a_time_and_a_new_one_catches_up() {
    let spec = SimulationSpec { joining: 1, ..SimulationSpec::small(4, 2) };
    let (mut fleet, leader) = fleet_with_leader(spec, 11);
    // Enough for the log to be compacted, so that the new server needs a snapshot.
    for _ in 0..700 {
        fleet.propose(leader);
        fleet.run(MS * 20);
    }
    fleet.run(SECOND);
    assert_eq!(fleet.versions().into_iter().collect::<Vec<_>>(), [Version(700)]);
    assert!(
        fleet.log_entries(0) < 700,
        "{} entries are kept: the log was not compacted",
        fleet.log_entries(0)
    );
    fleet.inject(3, Fault::Recover);
    fleet.change_voters(leader, 4, true).unwrap();
    fleet.run(SECOND * 3);
    assert_eq!(fleet.version(3), Version(700));
    // An old server is removed, and the new one counts towards the quorum.
    let removed = (0..3).find(|n| *n != leader).unwrap();
    fleet.change_voters(leader, removed as u64 + 1, false).unwrap();
    fleet.run(SECOND * 2);
    fleet.inject(removed, Fault::Crash);
    fleet.propose(leader);
    fleet.run(SECOND * 2);
    assert_eq!(fleet.version(3), Version(701));
    let error = fleet.change_voters(leader, removed as u64 + 1, false).unwrap_err().to_string();
    assert!(error.contains("is not a keeper"), "{error}");
}

#[test]
fn records_of_a_mebibyte_and_a_full_view_reach_all_processes() {
    let (mut fleet, leader) = fleet_with_leader(SimulationSpec::small(3, 4), 5);
    let large = |id: u64| Proposal {
        id,
        key: format!("plan/{id}"),
        kind: RecordKind::NOTE,
        body: vec![id as u8; 1 << 20],
        by: "anna".to_owned(),
        why: String::new(),
        expected_version: None,
    };
    // The last one exceeds the view's capacity and is rejected.
    for id in 1000..1017 {
        fleet.propose_this(leader, large(id));
        fleet.run(SECOND);
    }
    fleet.run(SECOND * 4);
    assert_eq!(fleet.versions().into_iter().collect::<Vec<_>>(), [Version(16)]);
    // A sidecar with an empty disk gets all of it in one snapshot, larger than what a consensus server sends in a second.
    fleet.inject(6, Fault::LoseDisk);
    fleet.inject(6, Fault::Recover);
    fleet.run(SECOND * 8);
    assert_eq!(fleet.version(6), Version(16));
    assert_recovers(&mut fleet);
}

#[test]
fn membership_follows_losses_crashes_restarts_pauses_and_partitions() {
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
        // Losing a tenth of the messages has no lasting effect: indirect probes and refutations keep members alive.
        fleet.network.loss = 0.1;
        fleet.run(SECOND * 20);
        fleet.network.loss = 0.0;
        assert!(fleet.run_until(SECOND * 20, all(11)), "seed {seed}: after losses {:?}", counts(&fleet));
        let crashed = draws.random_range(3..12);
        fleet.inject(crashed, Fault::Crash);
        assert!(fleet.run_until(SECOND * 15, all(10)), "seed {seed}: {:?}", counts(&fleet));
        let status = fleet
            .consensus(0)
            .unwrap()
            .membership()
            .all()
            .find(|(m, _)| m.address.ip().is_ipv4() && m.name == format!("sidecar-{}", crashed - 3));
        assert_eq!(status.map(|(_, status)| status), Some(MemberStatus::Down), "seed {seed}");
        // It restarts. Another is paused until it counts as down, and returns under its own name.
        fleet.inject(crashed, Fault::Recover);
        let paused = if crashed == 11 { 3 } else { crashed + 1 };
        fleet.inject(paused, Fault::Pause);
        fleet.run(SECOND * 15);
        fleet.inject(paused, Fault::Recover);
        assert!(fleet.run_until(SECOND * 30, all(11)), "seed {seed}: {:?}", counts(&fleet));
        // The members of a zone that was cut off for a minute are alive again.
        fleet.network.isolated_zones = [(1, true), (1, false)].into();
        fleet.run(SECOND * 60);
        fleet.network.isolated_zones.clear();
        assert!(fleet.run_until(SECOND * 40, all(11)), "seed {seed}: {:?}", counts(&fleet));
        assert_eq!(fleet.invariants.violations, [""; 0], "seed {seed}");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let trace = |seed| {
        let mut fleet = Fleet::new(SimulationSpec::small(3, 3), seed);
        let mut draws = Pcg32::seed_from_u64(seed);
        for _ in 0..20 {
            inject_random_fault(&mut fleet, &mut draws);
            fleet.propose(0);
            fleet.run(MS * 300);
        }
        (fleet.scheduled_events(), fleet.totals, fleet.invariants.decided.clone())
    };
    assert_eq!(trace(5), trace(5));
    assert_ne!(trace(5).0, trace(6).0);
}
