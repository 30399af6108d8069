//! What follows from what sidecars see: who is left, and who is not, and how a hall comes back.

mod support;

use curlewhub_config::fleet::ZoneFailoverConfig;
use curlewhub_zone_failover::state_machine::{ActiveOverride, Environment};
use curlewhub_zone_failover::zone_states::{OverrideAction, ZoneState};
use std::time::Duration;
use support::{Fleet, Way};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const HALLS: [&str; 3] = ["a", "b", "c"];

fn three(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&HALLS, 4, ZoneFailoverConfig::default(), seed);
    fleet.run(SECOND * 10);
    assert!(fleet.moves.is_empty(), "{:?}", fleet.moves);
    fleet
}

fn left(state: ZoneState) -> bool {
    state == ZoneState::Left
}

fn served(state: ZoneState) -> bool {
    state == ZoneState::Serving
}

/// What goes wrong, which halls are left for it within two seconds, and which ways.
type Case =
    (&'static str, fn(&mut Fleet), &'static [&'static str], &'static [(&'static str, &'static str)]);

const CASES: &[Case] = &[
    ("nothing", |_| {}, &[], &[]),
    ("a hall is silent", |f| f.all_into(&["b"], Way::Silent), &["b"], &[]),
    ("a hall is gone", |f| f.all_into(&["b"], Way::Gone), &["b"], &[]),
    ("a hall answers with errors", |f| f.all_into(&["b"], Way::Errors), &["b"], &[]),
    ("a hall is busy", |f| f.all_into(&["b"], Way::Full), &[], &[]),
    ("two halls are silent", |f| f.all_into(&["a", "b"], Way::Silent), &["a", "b"], &[]),
    ("all halls are silent, as a tier below them is", |f| f.all_into(&HALLS, Way::Silent), &[], &[]),
    ("all halls answer with errors", |f| f.all_into(&HALLS, Way::Errors), &[], &[]),
    ("a third of the calls into a hall is lost", |f| f.all_into(&["b"], Way::Share(0.33)), &[], &[]),
    ("two thirds of the calls into all halls are lost", |f| f.all_into(&HALLS, Way::Share(0.66)), &[], &[]),
    ("the way from a to b is cut", |f| _ = f.ways.insert(("a", "b"), Way::Silent), &[], &[("a", "b")]),
    (
        "a is cut off from both others",
        |f| _ = ["b", "c"].map(|to| f.ways.insert(("a", to), Way::Silent)),
        &[],
        &[("a", "b"), ("a", "c")],
    ),
    ("a liar", |f| f.liars = vec!["s-b-0".to_owned()], &[], &[]),
    (
        "liars, a hall's half and one of another's",
        |f| f.liars = ["s-b-0", "s-b-1", "s-a-0"].map(str::to_owned).to_vec(),
        &[],
        &[],
    ),
    (
        "all of a hall's sidecars lie: a bad release there",
        |f| f.liars = (0..4).map(|n| format!("s-b-{n}")).collect(),
        &[],
        &[],
    ),
];

#[test]
fn halls_are_left_for_what_befalls_them_and_for_nothing_else() {
    for (case, begin, zones, ways) in CASES {
        for seed in 0..5 {
            let mut fleet = three(seed);
            begin(&mut fleet);
            let from = fleet.now;
            fleet.run(SECOND * 4);
            for zone in HALLS {
                let after = fleet.after(from, zone, left);
                if zones.contains(&zone) {
                    assert!(
                        after.is_some_and(|after| after <= SECOND * 2),
                        "{case}, seed {seed}: {zone} {after:?}"
                    );
                } else {
                    assert_eq!(after, None, "{case}, seed {seed}: {zone}: {:?}", fleet.moves);
                }
            }
            let cut: Vec<(&str, &str)> = (fleet.state_machine.zone_states().cut_pairs.iter())
                .flat_map(|(from, cut)| cut.keys().map(move |to| (&from[..], &to[..])))
                .collect();
            assert_eq!(cut, *ways, "{case}, seed {seed}: {:?}", fleet.moves);
        }
    }
}

#[test]
fn a_hall_comes_back_by_steps_that_its_calls_bear_out() {
    for seed in 0..5 {
        let mut fleet = three(seed);
        fleet.all_into(&["b"], Way::Gone);
        fleet.run(SECOND * 4);
        assert_eq!(fleet.state("b"), ZoneState::Left);
        fleet.all_into(&["b"], Way::Well);
        let from = fleet.now;
        fleet.run(SECOND * 12);
        let steps: Vec<f64> = (fleet.moves.iter())
            .filter(|(at, moved)| *at >= from && moved.zone == "b")
            .filter_map(
                |(_, moved)| if let ZoneState::Returning(rate) = moved.to { Some(rate) } else { None },
            )
            .collect();
        assert!(steps.len() >= 3 && steps.is_sorted(), "seed {seed}: {steps:?}");
        // The first lets in a fifth of what it bore: four sidecars of 24 calls, and eight of 3.
        assert!((18.0..30.0).contains(&steps[0]), "seed {seed}: {steps:?}");
        assert!(
            fleet.after(from, "b", served).is_some_and(|after| after < SECOND * 8),
            "seed {seed}: {:?}",
            fleet.moves
        );
        // After a minute nothing is left to be said of it.
        fleet.run(SECOND * 65);
        assert!(
            fleet.state_machine.zone_states().zones.is_empty(),
            "seed {seed}: {:?}",
            fleet.state_machine.zone_states()
        );
    }
}

#[test]
fn a_return_that_is_not_borne_goes_back_and_waits() {
    // What its calls meet while it returns, and whether it comes back for good within so long.
    let cases = [
        (Way::Gone, false, "gone again"),
        (Way::Errors, false, "errors"),
        (Way::Slow(6.0), false, "cold still"),
        (Way::Share(0.2), false, "one in five lost"),
        (Way::Slow(1.3), true, "a little slow"),
    ];
    for (way, back, case) in cases {
        let mut fleet = three(3);
        fleet.all_into(&["b"], Way::Gone);
        fleet.run(SECOND * 3);
        // Probes are answered.
        fleet.all_into(&["b"], Way::Well);
        let from = fleet.now;
        while !matches!(fleet.state("b"), ZoneState::Returning(_)) {
            fleet.run(MS * 50);
            assert!(fleet.now < from + SECOND * 10, "{case}");
        }
        fleet.all_into(&["b"], way);
        let from = fleet.now;
        fleet.run(SECOND * 20);
        assert_eq!(fleet.after(from, "b", served).is_some(), back, "{case}: {:?}", fleet.moves);
        let most =
            fleet.moves.iter().filter(|(at, _)| *at > from).filter_map(|(_, moved)| match moved.to {
                ZoneState::Returning(rate) => Some(rate),
                _ => None,
            });
        let most = most.fold(0.0, f64::max);
        assert!(back || most < 60.0, "{case}: {most} a second");
    }
}

#[test]
fn a_hall_that_flaps_is_let_be_longer_each_time() {
    let mut fleet = three(4);
    let mut away = Vec::new();
    let mut left_at = None;
    for flip in 0..40 {
        fleet.all_into(&["b"], if flip % 2 == 0 { Way::Gone } else { Way::Well });
        fleet.run(SECOND * 3);
        match (fleet.state("b"), left_at) {
            (ZoneState::Left, None) => left_at = Some(fleet.now),
            (ZoneState::Serving, Some(at)) => {
                away.push(fleet.now - at);
                left_at = None;
            }
            _ => {}
        }
    }
    let leaves = fleet.moves.iter().filter(|(_, moved)| moved.to == ZoneState::Left).count();
    assert!(leaves <= 8, "{leaves} leaves in two minutes: {:?}", fleet.moves);
}

#[test]
fn half_a_hall_returns_to_half_of_what_it_bore() {
    let mut fleet = three(5);
    fleet.all_into(&["b"], Way::Gone);
    fleet.run(SECOND * 3);
    fleet.all_into(&["b"], Way::Share(0.5));
    let from = fleet.now;
    while !matches!(fleet.state("b"), ZoneState::Returning(_)) {
        fleet.run(MS * 50);
        assert!(fleet.now < from + SECOND * 15);
    }
    let bore = fleet.state_machine.zone_states().zones["b"].baseline.calls_per_s;
    assert!((30.0..95.0).contains(&bore), "{bore} of about 120");
}

#[test]
fn a_slow_hall_is_left_by_steps_and_comes_back_when_it_is_not() {
    let mut fleet = three(6);
    fleet.all_into(&["b"], Way::Slow(10.0));
    let from = fleet.now;
    fleet.run(SECOND * 8);
    let parts: Vec<f64> = (fleet.moves.iter())
        .filter_map(|(_, moved)| if let ZoneState::Leaving(part) = moved.to { Some(part) } else { None })
        .collect();
    assert_eq!(parts.first(), Some(&0.5));
    assert!(parts.len() >= 3 && *parts.last().unwrap() <= 0.125, "{parts:?}");
    assert!(fleet.after(from, "b", |state| state == ZoneState::Leaving(0.5)) >= Some(SECOND * 2));
    fleet.all_into(&["b"], Way::Well);
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.moves);
    // Where the others turn calls away, a part comes back, and nothing more is shifted to them.
    let mut fleet = three(6);
    fleet.all_into(&["b"], Way::Slow(10.0));
    fleet.run(SECOND * 5);
    assert!(matches!(fleet.state("b"), ZoneState::Leaving(_)));
    fleet.all_into(&["a", "c"], Way::Busy(0.2));
    fleet.run(SECOND * 6);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.moves);
    // All of them slow is no hall's fault.
    let mut fleet = three(7);
    fleet.all_into(&HALLS, Way::Slow(10.0));
    fleet.run(SECOND * 8);
    assert!(fleet.moves.is_empty(), "{:?}", fleet.moves);
}

#[test]
fn a_region_is_left_whole_and_its_halls_come_back_one_after_another() {
    let zones = ["a1", "a2", "b1", "b2", "c1", "c2"];
    let regions = [("a", ["a1", "a2"]), ("b", ["b1", "b2"]), ("c", ["c1", "c2"])];
    let regions = regions.map(|(name, zones)| (name.to_owned(), zones.map(str::to_owned).to_vec()));
    let rules = ZoneFailoverConfig {
        regions: regions.into_iter().collect(),
        max_concurrent_failovers: 1,
        ..ZoneFailoverConfig::default()
    };
    let mut fleet = Fleet::new(&zones, 3, rules, 8);
    fleet.run(SECOND * 10);
    fleet.all_into(&["b1", "b2"], Way::Silent);
    // Its own sidecars can't be reached either.
    fleet.world.sidecars.retain(|zone, _| !zone.starts_with('b'));
    let from = fleet.now;
    fleet.run(SECOND * 3);
    for zone in ["b1", "b2"] {
        assert!(fleet.after(from, zone, left).is_some_and(|after| after < SECOND * 2), "{:?}", fleet.moves);
    }
    // A hall of another region may not be left beside it.
    fleet.all_into(&["a1"], Way::Gone);
    fleet.run(SECOND * 2);
    assert_eq!(fleet.state("a1"), ZoneState::Serving);
    fleet.all_into(&["a1", "b1", "b2"], Way::Well);
    let mut together = 0;
    for _ in 0..400 {
        fleet.run(MS * 50);
        let returning =
            ["b1", "b2"].iter().filter(|zone| matches!(fleet.state(zone), ZoneState::Returning(_))).count();
        together = together.max(returning);
    }
    assert_eq!(
        (together, fleet.state("b1"), fleet.state("b2")),
        (1, ZoneState::Serving, ZoneState::Serving)
    );
}

#[test]
fn a_hall_that_only_the_keepers_lost_is_served_again_at_once_when_they_hear_of_it() {
    for seed in 0..5 {
        let mut fleet = three(20 + seed);
        // b and its sidecars are cut off from all others.
        (fleet.unheard, fleet.deaf) = (vec!["b"], vec!["b"]);
        for to in HALLS {
            let _ = (fleet.ways.insert((to, "b"), Way::Silent), fleet.ways.insert(("b", to), Way::Silent));
        }
        fleet.ways.insert(("b", "b"), Way::Well);
        fleet.run(SECOND * 6);
        assert_eq!(fleet.state("b"), ZoneState::Left, "seed {seed}");
        fleet.unheard.clear();
        fleet.ways.clear();
        let from = fleet.now;
        fleet.run(MS * 500);
        fleet.deaf.clear();
        fleet.run(SECOND * 2);
        let after = fleet.after(from, "b", served);
        assert!(after.is_some_and(|after| after < SECOND), "seed {seed}: {after:?}: {:?}", fleet.moves);
        let steps =
            fleet.moves.iter().filter(|(_, moved)| matches!(moved.to, ZoneState::Returning(_))).count();
        assert_eq!(steps, 0, "seed {seed}: it is warm");
    }
}

#[test]
fn a_tier_of_a_hall_is_left_without_the_others_of_it() {
    let all = ["a/1", "b/1", "c/1"];
    // Where the tier below has endpoints, what is lost, and what is left for it.
    let cases: [(&[&'static str], &[&'static str], &[&str]); 5] = [
        (&all, &["b/1"], &["b/1"]),
        (&all, &["b"], &["b"]),
        (&all, &["b", "b/1"], &["b", "b/1"]),
        (&all, &all, &[]),
        // Endpoints in one hall alone: there is nowhere else to go.
        (&["b/1"], &["b/1"], &[]),
    ];
    for (deep, lost, left_for_it) in cases {
        let mut fleet = Fleet::new(
            &HALLS,
            4,
            ZoneFailoverConfig { max_concurrent_failovers: 1, ..ZoneFailoverConfig::default() },
            12,
        );
        fleet.deep = deep.to_vec();
        fleet.run(SECOND * 10);
        fleet.all_into(lost, Way::Gone);
        let from = fleet.now;
        fleet.run(SECOND * 4);
        for place in HALLS.iter().chain(&all) {
            let after = fleet.after(from, place, left);
            assert_eq!(
                after.is_some(),
                left_for_it.contains(place),
                "{lost:?}: {place}: {:?}",
                fleet.moves
            );
        }
        fleet.all_into(lost, Way::Well);
        fleet.run(SECOND * 15);
        assert!(
            lost.iter().all(|place| fleet.state(place) == ZoneState::Serving),
            "{lost:?}: {:?}",
            fleet.moves
        );
        // A word of the hall is one of all its tiers.
        let by_hand = ActiveOverride { action: OverrideAction::Leave, why: "new switch (anna)".to_owned() };
        fleet.world.overrides = [("b".to_owned(), by_hand)].into();
        fleet.run(SECOND);
        assert_eq!((fleet.state("b"), fleet.state("b/1")), (ZoneState::Left, ZoneState::Left));
    }
}

#[test]
fn hands_win_until_they_end_and_a_freeze_stops_what_goes_by_itself() {
    let mut fleet = three(9);
    let hand = |what: OverrideAction| {
        ("b".to_owned(), ActiveOverride { action: what, why: "new switch (anna)".to_owned() })
    };
    fleet.world.overrides = [hand(OverrideAction::Leave)].into();
    fleet.run(MS * 200);
    let held = &fleet.state_machine.zone_states().zones["b"];
    assert!(held.state == ZoneState::Left && held.overridden && held.why.contains("anna"), "{held:?}");
    fleet.run(SECOND * 20);
    assert_eq!(fleet.state("b"), ZoneState::Left, "nobody returns to it but by hand");
    // The word ends: it goes by itself again, and comes back by steps.
    fleet.world.overrides.clear();
    fleet.run(SECOND * 12);
    assert_eq!(fleet.state("b"), ZoneState::Serving, "{:?}", fleet.moves);
    // Held, it is not left whatever is seen; frozen, nothing is.
    for world in [
        Environment { overrides: [hand(OverrideAction::Hold)].into(), ..fleet.world.clone() },
        Environment { frozen: true, ..fleet.world.clone() },
    ] {
        let mut fleet = three(10);
        fleet.world = Environment { sidecars: fleet.world.sidecars.clone(), ..world };
        fleet.all_into(&["b"], Way::Gone);
        fleet.run(SECOND * 5);
        assert_eq!(fleet.state("b"), ZoneState::Serving);
        fleet.world.overrides.clear();
        fleet.world.frozen = false;
        fleet.run(SECOND * 3);
        assert_eq!(fleet.state("b"), ZoneState::Left, "{:?}", fleet.moves);
    }
}

#[test]
fn an_hour_of_small_troubles_has_nothing_left() {
    // A part of the calls lost here and there for a while, halls that are busy, and pauses of all.
    let mut leaves = 0;
    for seed in 0..4 {
        let mut fleet = three(100 + seed);
        for round in 0..180_u64 {
            let zone = HALLS[(round % 3) as usize];
            let way = match (round / 3) % 4 {
                0 => Way::Share(0.2),
                1 => Way::Full,
                2 => Way::Slow(2.0),
                _ => Way::Share(0.4),
            };
            fleet.all_into(&[zone], way);
            fleet.run(SECOND * 2);
            fleet.all_into(&[zone], Way::Well);
            fleet.run(SECOND * 3);
        }
        leaves += fleet.moves.len();
    }
    assert_eq!(leaves, 0);
}
