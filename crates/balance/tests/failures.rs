//! Endpoints that fail or slow down, alone and together. Each test guards against one failure that was
//! found; the commit that added it describes the failure.

mod support;
use curlewhub_balance::*;
use support::*;

#[test]
fn an_endpoint_that_fails_fast_does_not_attract_requests() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = run_requests(&mut d, 400, outcome_where(is_endpoint_1, Outcome::Error, 1));
    let bad = sent_to(&counts, is_endpoint_1);
    assert!(bad < 40, "{bad} of 400 went to the endpoint that fails at once");
}

#[test]
fn an_endpoint_that_failed_alone_is_tried_again_after_a_while() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    run_requests(&mut d, 50, outcome_where(is_endpoint_1, Outcome::Error, 1));
    d.advance(ms(20_000));
    let counts = run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(sent_to(&counts, is_endpoint_1) > 10, "{counts:?}");
}

#[test]
fn a_dead_endpoint_that_alone_is_below_its_limit_does_not_attract_all_requests() {
    // Guards against trying a dead endpoint again and again, as it fails every connect at once while the
    // live ones are at their limits (i1f175a).
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let mut dead = 0;
    for _ in 0..60 {
        d.request(ms(60_000));
        while let Some(id) = d.in_flight.iter().find(|o| o.2 == EndpointId(1)).map(|o| o.0) {
            dead += 1;
            d.end_attempt(id, Outcome::ConnectFailed, ms(1));
        }
    }
    assert!(dead <= 6, "{dead} attempts went to the dead endpoint");
}

#[test]
fn failures_common_to_all_endpoints_leave_them_all_in_use() {
    // A lower tier that fails causes failures at every endpoint alike; that must not exclude them all.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    run_requests(&mut d, 60, |_| (Outcome::Error, 5));
    let taken = (0..8).filter(|_| !sends(&d.request(ms(60_000)).1).is_empty()).count();
    assert_eq!(taken, 8, "four endpoints that fail alike take eight calls");
}

#[test]
fn a_slow_endpoint_is_avoided_and_tried_again() {
    let mut d = Driver::new(Settings { tier: 1, ..Settings::default() }, endpoints(4));
    run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    let slow = outcome_where(is_endpoint_1, Outcome::Ok, 200);
    run_requests(&mut d, 20, &slow);
    let counts = run_requests(&mut d, 200, &slow);
    let some = sent_to(&counts, is_endpoint_1);
    assert!(some < 25, "{some} of 200 went to the slow endpoint");
    d.advance(ms(30_000));
    let counts = run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
    assert!(sent_to(&counts, is_endpoint_1) > 10, "{counts:?}");
}

#[test]
fn retries_stay_within_their_budget() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let counts = run_requests(&mut d, 500, |_| (Outcome::Error, 1));
    let attempts: usize = counts.values().sum();
    assert!(attempts < 650, "{attempts} attempts for 500 requests that all fail");
}

#[test]
fn state_of_removed_endpoints_and_ended_requests_is_freed() {
    // Endpoints come and go, and requests end in several ways; the tracked state must not grow.
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let mut sizes = Vec::new();
    for round in 0..40u64 {
        d.update_list(Membership::Full((round * 4..round * 4 + 4).map(endpoint).collect()));
        for n in 0..50 {
            let (id, _) = d.request(ms(300));
            if n % 3 != 0 && d.in_flight.iter().any(|o| o.0 == id) {
                d.end_attempt(id, Outcome::Ok, ms(3));
            }
            d.advance(ms(5));
        }
        d.advance(ms(400));
        let late: Vec<RequestId> = d.in_flight.iter().map(|o| o.0).collect();
        for id in late {
            d.end_attempt(id, Outcome::TimedOut, ms(300));
        }
        sizes.push(d.balancer.tracked_items());
    }
    assert!(sizes.iter().all(|size| *size <= 4), "after each round only the list is left: {sizes:?}");
}

#[test]
fn half_of_the_endpoints_being_dead_does_not_count_as_normal() {
    // Guards against taking the median failure score for the part that all endpoints share: with half of
    // them dead, the dead ones looked like the rest.
    let mut d = Driver::new(Settings::default(), endpoints(8));
    let dead = |to: EndpointId| to.0 <= 4;
    let counts = run_requests(&mut d, 400, outcome_where(dead, Outcome::ConnectFailed, 1));
    let lost = sent_to(&counts, dead);
    assert!(lost < 80, "{lost} attempts went to the dead half");
}

#[test]
fn traffic_of_a_lost_zone_goes_to_other_zones() {
    let mut d = Driver::new(Settings::default(), three_zones());
    let own_zone = |to: EndpointId| to.0.is_multiple_of(3);
    let counts = run_requests(&mut d, 300, outcome_where(own_zone, Outcome::ConnectFailed, 1));
    let away = sent_to(&counts, |to| !own_zone(to));
    assert!(away > 250, "{away} of 300 were served in other zones: {counts:?}");
}

#[test]
fn partial_loss_at_one_endpoint_reduces_its_calls_but_not_to_none() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let n = std::cell::Cell::new(0);
    let flaky = |to: EndpointId| {
        n.set(n.get() + 1);
        if to.0 == 1 && n.get() % 2 == 0 { (Outcome::Reset, 5) } else { (Outcome::Ok, 20) }
    };
    let counts = run_requests(&mut d, 800, flaky);
    let flaky = sent_to(&counts, is_endpoint_1);
    assert!((4..140).contains(&flaky), "{flaky} of 800 went to the endpoint that loses half");
}

#[test]
fn wrong_or_missing_load_reports_change_nothing() {
    let run = |report: Option<Vec<f64>>| {
        let reports = LoadReports { via: ReportVia::Inline, fields: vec![LoadField::Outstanding] };
        let mut d = Driver::new(Settings { load_reports: reports, ..Settings::default() }, endpoints(5));
        let mut went = Vec::new();
        for _ in 0..100 {
            let (id, actions) = d.request(ms(900));
            went.push(sends(&actions));
            d.end_attempt_with_report(id, Outcome::Ok, ms(10), report.clone());
        }
        went
    };
    assert_eq!(run(None), run(Some(vec![1e300])));
    assert_eq!(run(None), run(Some(vec![f64::NAN, -7.0, 3.0])));
}

#[test]
fn the_rules_hold_with_a_coarse_clock() {
    // All events of half a second come at one instant; the driver's checker asserts the rules.
    let mut d = Driver::new(with_class(Semantics::Unsafe), endpoints(4));
    for _ in 0..20 {
        for _ in 0..30 {
            d.request(ms(900));
        }
        d.advance(ms(500));
        for id in d.in_flight.iter().map(|o| o.0).collect::<Vec<_>>() {
            d.end_attempt(id, Outcome::Ok, ms(500));
        }
    }
    d.advance(ms(2000));
    assert!(d.balancer.tracked_items() <= 4);
}

#[test]
fn an_endpoint_that_fails_at_times_is_used_less_but_not_excluded() {
    let mut d = Driver::new(Settings::default(), endpoints(5));
    let (mut bad, mut good) = (0, 0);
    for phase in 0..10 {
        let failing = phase % 2 == 0;
        let how = outcome_where(|to| failing && is_endpoint_1(to), Outcome::Error, 2);
        let count = sent_to(&run_requests(&mut d, 200, how), is_endpoint_1);
        if failing {
            bad += count
        } else {
            good += count
        }
        d.advance(ms(1000));
    }
    assert!(bad < 100, "{bad} of 1000 went to it while it failed; an even share is 200");
    assert!(good > 100, "only {good} of 1000 went to it while it was healthy");
}
