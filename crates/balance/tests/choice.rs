//! Choice of endpoints: samples are unbiased, the endpoint with fewer own calls is chosen, ties are spread
//! evenly.

mod support;
use curlewhub_balance::*;
use std::collections::HashMap;
use support::*;

/// Counts `count` requests by endpoint, where each ends with a good answer before the next begins.
fn sequential_counts(d: &mut Driver, count: usize) -> HashMap<EndpointId, usize> {
    run_requests(d, count, |_| (Outcome::Ok, 10))
}

#[test]
fn ties_are_spread_evenly() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let counts = sequential_counts(&mut d, 5000);
    for id in 1..=5 {
        let count = counts[&EndpointId(id)];
        assert!((850..1150).contains(&count), "endpoint {id} got {count} of 5000");
    }
}

#[test]
fn the_endpoint_with_fewer_own_calls_is_chosen() {
    // With two endpoints both are always sampled, so calls that stay in flight must alternate.
    let mut d = Driver::new(Settings::default(), endpoints(2));
    for _ in 0..3 {
        let (_, a) = d.request(ms(900));
        let (_, b) = d.request(ms(900));
        assert_ne!(sends(&a), sends(&b));
    }
}

#[test]
fn two_samples_avoid_a_busy_endpoint_and_spread_evenly_over_the_others() {
    // One endpoint has a call in flight. It would be chosen only if both samples were that endpoint, which
    // can't happen; the others share the requests evenly.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let (_, first) = d.request(ms(60_000));
    let busy = sends(&first)[0];
    let counts = sequential_counts(&mut d, 3000);
    assert!(!counts.contains_key(&busy));
    for (id, count) in counts {
        assert!((850..1150).contains(&count), "{id:?} got {count} of 3000");
    }
}

#[test]
fn the_choice_does_not_depend_on_endpoint_ids() {
    let run = |offset: u64| {
        let list: Vec<EndpointInfo> = (0..6).map(|i| endpoint((i * 7919 + offset) % 97)).collect();
        let order: Vec<EndpointId> = list.iter().map(|info| info.id).collect();
        let mut d = Driver::new(Settings::default(), list);
        (0..50)
            .map(|_| {
                let (_, actions) = d.request(ms(60_000));
                let to = sends(&actions).first().copied();
                to.map(|to| order.iter().position(|id| *id == to))
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(0), run(31));
}

#[test]
fn the_own_zone_is_preferred() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let counts = sequential_counts(&mut d, 200);
    assert!(counts.keys().all(|id| id.0 % 3 == 0), "{counts:?}");
}

#[test]
fn requests_leave_a_busy_zone() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let mut away = 0;
    for _ in 0..8 {
        let (_, actions) = d.request(ms(60_000));
        away += sends(&actions).iter().filter(|id| id.0 % 3 != 0).count();
    }
    assert!(away > 0, "no request left a zone whose two endpoints have all the calls");
}

#[test]
fn a_caller_of_a_large_fleet_keeps_its_calls_in_its_own_zone() {
    // Guards against a caller that uses only four of the 44 endpoints there, its part if all 46 callers
    // used them, and crosses zones with its fifth call.
    let zone = |id: u64| EndpointInfo { zone: ZoneId(id as u32 % 5), ..endpoint(id) };
    for me in 0..46 {
        let settings = Settings { balancers: 46, zones: 5, me, ..Settings::default() };
        let mut d = Driver::seeded(settings, (0..220).map(zone).collect(), me.into());
        let sent: Vec<_> = (0..8).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
        assert!(sent.iter().all(|id| id.0.is_multiple_of(5)), "caller {me} left its zone: {sent:?}");
    }
}

/// How many of 100 requests leave the own zone once its endpoints take four times as long to answer.
fn requests_leaving_a_slowed_zone(balancers: u32) -> usize {
    let zone = |id: u64| EndpointInfo { zone: ZoneId(id as u32 % 3), ..endpoint(id) };
    let mut d =
        Driver::new(Settings { balancers, zones: 3, ..Settings::default() }, (0..9).map(zone).collect());
    let mut leaving = |time| {
        let counts =
            run_requests(&mut d, 100, |id| (Outcome::Ok, if id.0.is_multiple_of(3) { time } else { 100 }));
        counts.iter().filter(|(id, _)| !id.0.is_multiple_of(3)).map(|(_, count)| count).sum()
    };
    assert_eq!(leaving(100), 0);
    leaving(400)
}

#[test]
fn the_load_that_all_callers_of_a_zone_cause_lowers_the_margin_for_crossing() {
    assert_eq!(requests_leaving_a_slowed_zone(3), 0, "the only balancer of its zone");
    assert!(requests_leaving_a_slowed_zone(12) > 10, "one of four balancers of its zone");
}

#[test]
fn many_balancers_start_with_few_calls_to_an_endpoint() {
    let first = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(1));
        (0..9).flat_map(|_| sends(&d.request(ms(60_000)).1)).count()
    };
    assert_eq!(
        [first(1), first(4), first(60)],
        [3, 1, 1],
        "windows are smaller with more balancers, and the limit leaves each one call"
    );
}

/// A balancer whose window for its own zone has shrunk by late answers, while the window for others has
/// not.
fn with_a_small_own_zone_window(list: Vec<EndpointInfo>) -> Driver {
    let settings = Settings { balancers: 4, ..Settings::default() };
    let mut d = Driver::new(settings, list);
    for _ in 0..30 {
        let (id, _) = d.request(ms(60_000));
        d.end_attempt(id, Outcome::Ok, ms(900));
    }
    d.advance(ms(60_000)); // latency and failure scores decay, windows do not
    d
}

#[test]
fn calls_that_may_cross_zones_may_stay_in_the_own_zone() {
    let mut d = with_a_small_own_zone_window(three_zones());
    let went: Vec<EndpointId> = (0..3).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
    assert!(
        went.len() == 3 && went.iter().all(|id| id.0 % 3 == 0),
        "two endpoints take three calls: {went:?}"
    );
    // Without other zones there is no window for them either.
    let own_zone = three_zones().into_iter().filter(|info| info.id.0 % 3 == 0).collect();
    let mut d = with_a_small_own_zone_window(own_zone);
    d.send_until_held();
    assert_eq!(d.in_flight.len(), 1);
}

#[test]
fn an_inner_tier_uses_all_endpoints_of_its_zone_before_it_crosses() {
    let settings = Settings { balancers: 400, zones: 2, tier: 1, tiers: 2, ..Settings::default() };
    let list = (0..40).map(|id| EndpointInfo { zone: ZoneId((id % 2) as u32), ..endpoint(id) }).collect();
    let mut d = Driver::new(settings, list);
    // Each of so many balancers may have one call in flight at each endpoint.
    let went = (0..20).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect::<Vec<_>>();
    assert_eq!(went.iter().filter(|id| id.0 % 2 == 0).count(), 20, "{went:?}");
}
