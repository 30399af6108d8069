//! How balancers divide the endpoints of a tier among themselves: each uses a subset.

mod support;
use curlewhub_balance::*;
use std::collections::HashMap;
use support::*;

/// The endpoints that one balancer in the given tier uses when all answer, with the number of requests to
/// each.
fn used_by(tier: u32, me: u32, balancers: u32, n: u64) -> HashMap<EndpointId, usize> {
    let settings = Settings { tier, me, balancers, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(n));
    run_requests(&mut d, 600, |_| (Outcome::Ok, 20))
}

#[test]
fn callers_in_an_inner_tier_divide_the_endpoints_evenly() {
    // Guards against 41 callers that all keep idle connections to each of 66 endpoints, whose connection
    // tables then take their capacity (ib8145a).
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for me in 0..40 {
        let used = used_by(1, me, 40, 60);
        assert!(used.len() <= 6, "caller {me} used {} of 60 endpoints", used.len());
        for id in used.into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 60, "no endpoint is left out");
    assert!(callers.values().all(|n| (3..=5).contains(n)), "{callers:?}");
}

#[test]
fn few_callers_use_all_endpoints() {
    assert_eq!(used_by(1, 1, 3, 40).len(), 40);
}

#[test]
fn a_caller_whose_subset_is_dead_uses_other_endpoints() {
    let settings = Settings { tier: 1, me: 3, balancers: 40, ..Settings::default() };
    let subset = used_by(1, 3, 40, 60);
    let mut d = Driver::new(settings, endpoints(60));
    let dead = |to: EndpointId| subset.contains_key(&to);
    let how = outcome_where(dead, Outcome::ConnectFailed, 5);
    run_requests(&mut d, 100, &how);
    let lost = sent_to(&run_requests(&mut d, 100, &how), dead);
    assert!(lost < 30, "{lost} of 100 and more attempts still went to the dead subset");
}

#[test]
fn balancers_of_the_first_tier_use_subsets_too() {
    // Guards against a hundred balancers that each use an endpoint only once in seconds and learn nothing
    // about it (i44da9d).
    let used = used_by(0, 7, 40, 60).len();
    assert!(used <= 6, "{used} of 60 endpoints used");
    assert_eq!(used_by(0, 1, 2, 30).len(), 30, "few balancers use all");
}

#[test]
fn subsets_are_even_where_balancers_are_numbered_in_blocks_by_zone() {
    // The first twenty of eighty balancers share a zone: their subsets must still cover all of its
    // endpoints.
    let mut callers: HashMap<EndpointId, usize> = HashMap::new();
    for me in 0..20 {
        for id in used_by(0, me, 80, 20).into_keys() {
            *callers.entry(id).or_default() += 1;
        }
    }
    assert_eq!(callers.len(), 20, "no endpoint is left out");
    assert!(callers.values().all(|n| (2..=6).contains(n)), "{callers:?}");
}

#[test]
fn one_balancer_alone_uses_nearly_all_of_a_large_fleet() {
    let used = used_by(0, 0, 1, 200).len();
    assert!(used > 180, "only {used} of 200 endpoints used");
}
