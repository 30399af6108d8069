//! What a fleet of any size sends to endpoints that have come back cold.

use curlewhub_model::{Decisions, Scenario, Totals, run};

fn played(sidecars: u32, seed: u64, decisions: Decisions) -> Totals {
    let mut scenario = Scenario::parse(include_str!("../../../scenarios/slow-start.toml")).unwrap();
    (scenario.sidecars, scenario.decisions) = (sidecars, decisions);
    let outcome = run(&scenario, seed);
    println!("{sidecars} sidecars, seed {seed}: worth {:.3}, {:?}", outcome.worth(), outcome.totals);
    outcome.totals
}

#[test]
fn no_cold_endpoint_is_felled_by_a_burst_whatever_the_size_of_the_fleet() {
    for sidecars in [1, 3, 10, 30, 300, 900] {
        for seed in 0..3 {
            assert_eq!(played(sidecars, seed, Decisions::Module).falls, 0, "{sidecars}, seed {seed}");
        }
    }
}

#[test]
fn a_rule_that_knows_no_slow_start_fells_them() {
    assert!(played(300, 1, Decisions::Sq2).told_falls > 0);
}
