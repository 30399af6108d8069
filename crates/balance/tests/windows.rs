//! How many calls one balancer has in flight (its window), and how late answers reduce that.

mod support;
use curlewhub_balance::*;
use support::*;

#[test]
fn late_answers_shrink_the_window() {
    // Guards against sixty balancers that overload a tier together, each with a call at every endpoint
    // (i273a8c).
    let settings = Settings { balancers: 60, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(8));
    d.send_until_held();
    for _ in 0..200 {
        let id = d.in_flight[0].0;
        d.advance(ms(5));
        d.end_attempt(id, Outcome::Ok, ms(1500));
        d.request(ms(60_000));
    }
    assert_eq!(
        d.in_flight.len(),
        1,
        "sixty balancers with a call each are plenty for eight endpoints that answer late"
    );
}

#[test]
fn late_answers_leave_each_balancer_its_part_of_the_calls() {
    // Guards against balancers that started first and are starved by those that have measured crowded
    // endpoints (i1f175a).
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    in_flight_after(&mut d, 100, 10);
    let left = in_flight_after(&mut d, 400, 900);
    assert!(
        (6..=7).contains(&left),
        "{left} calls in flight: thirty endpoints over five balancers are six"
    );
}

#[test]
fn a_large_window_grows_more_slowly_than_a_small_one() {
    let growth = |timely: usize| {
        let settings = Settings { balancers: 10, ..Settings::default() };
        let mut d = Driver::new(settings, endpoints(60));
        in_flight_after(&mut d, 30, 10);
        in_flight_after(&mut d, 60, 900); // ends the fast growth at the start and leaves the window small
        let before = in_flight_after(&mut d, timely, 10);
        in_flight_after(&mut d, 120, 10) - before
    };
    let (early, late) = (growth(1), growth(1200));
    assert!(late * 2 <= early, "120 timely answers added {early} calls at first, {late} to a large window");
}

#[test]
fn lasting_overload_does_not_count_as_normal_latency() {
    // Guards against a mean of normal latency that rises with each answer: it went from 84 to 146 ms in
    // half a minute of overload (ib8145a).
    let settings = Settings { balancers: 5, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(30));
    in_flight_after(&mut d, 100, 10);
    for _ in 0..3000 {
        d.advance(ms(3));
        in_flight_after(&mut d, 1, 100);
    }
    assert!(
        d.in_flight.len() <= 7,
        "{} calls in flight after nine seconds of answers ten times as slow",
        d.in_flight.len()
    );
}

#[test]
fn a_balancer_with_most_of_the_traffic_may_use_all_endpoints() {
    // Its part of one call per endpoint is the minimum of its window, not the maximum.
    let settings = Settings { balancers: 10, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(40));
    in_flight_after(&mut d, 20, 10);
    in_flight_after(&mut d, 1, 900); // ends the fast growth at the start
    let in_flight = in_flight_after(&mut d, 2500, 10);
    assert!(in_flight > 80, "{in_flight} calls in flight where forty endpoints answer in time");
}

/// Whether an endpoint of `three_zones` is in the balancer's own zone.
fn in_own_zone(to: EndpointId) -> bool {
    to.0.is_multiple_of(3)
}

#[test]
fn late_answers_of_one_zone_do_not_hold_back_calls_to_others() {
    // Guards against late answers of the own zone that hold back calls which other zones have capacity for
    // (prairie-parts at full size).
    let settings = Settings { balancers: 4, ..Settings::default() };
    let mut d = Driver::new(settings, three_zones());
    for _ in 0..400 {
        d.send_until_held();
        let (id, to) = (d.in_flight[0].0, d.in_flight[0].2);
        d.end_attempt(id, Outcome::Ok, ms(if in_own_zone(to) { 900 } else { 10 }));
    }
    d.send_until_held();
    let away = d.in_flight.iter().filter(|o| !in_own_zone(o.2)).count();
    assert!(away >= 6, "{away} calls in flight in zones that answer in time");
}

#[test]
fn many_balancers_do_not_overload_endpoints_at_their_start() {
    // Guards against 203 balancers that start with a window of eight each and so put twenty calls on each
    // of 67 endpoints (i9329e9).
    let first_calls = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(64));
        d.send_until_held();
        d.in_flight.len()
    };
    assert!(first_calls(200) <= 2, "{} calls of each of 200 balancers", first_calls(200));
    assert!(first_calls(4) >= 16, "{} calls of each of 4 balancers", first_calls(4));
}

#[test]
fn windows_of_many_balancers_grow_by_fractions_of_a_call() {
    // Guards against windows that double each round trip: they put thirty calls on each endpoint within
    // four seconds (i5318be).
    let grown = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, endpoints(20));
        d.send_until_held();
        let before = d.in_flight.len();
        in_flight_after(&mut d, 20, 10) - before
    };
    assert!(grown(100) <= 5, "{} more calls in flight of each of 100 balancers", grown(100));
    assert!(grown(2) >= 12, "{} more calls in flight of each of 2 balancers", grown(2));
}

#[test]
fn overload_is_noticed_before_twenty_answers_have_come() {
    // Guards against judging too late: each of many balancers had seen ten answers when the first tier was
    // overloaded, and had judged none of them (i5318be).
    let mut d = Driver::new(Settings { balancers: 10, ..Settings::default() }, endpoints(60));
    in_flight_after(&mut d, 6, 20);
    let before = d.in_flight.len();
    // A fifth of the objective, but five times the earlier answer time: late.
    let after = in_flight_after(&mut d, 8, 100);
    assert!(after + 2 <= before, "{before} calls in flight before the overload, {after} in it");
}

#[test]
fn clients_that_leave_late_count_as_late_answers() {
    let in_flight = |left_after: u64| {
        let mut d = Driver::new(Settings { balancers: 4, ..Settings::default() }, endpoints(40));
        in_flight_after(&mut d, 100, 20);
        for _ in 0..60 {
            d.send_until_held();
            let id = d.in_flight[0].0;
            d.feed(Event::RequestAbandoned(id));
            d.end_attempt(id, Outcome::Cancelled, ms(left_after));
        }
        d.send_until_held();
        d.in_flight.len()
    };
    let (late, early) = (in_flight(900), in_flight(5));
    assert!(
        late + 10 < early,
        "{late} calls in flight after clients left late, {early} after they left early"
    );
}

#[test]
fn windows_at_their_minimum_divide_the_capacity_of_endpoints() {
    // Guards against 790 balancers that, with a minimum of one call in either zone each, put 26 calls on
    // each of 61 servers (ia69222).
    let left = |balancers: u32| {
        let mut d = Driver::new(Settings { balancers, ..Settings::default() }, three_zones());
        for _ in 0..60 {
            d.send_until_held();
            let id = d.in_flight[0].0;
            d.end_attempt(id, Outcome::Ok, ms(1500));
        }
        d.send_until_held();
        d.in_flight.len()
    };
    assert_eq!(left(100), 1, "a hundred balancers have a hundred calls at six endpoints");
    assert_eq!(left(20), 2, "each of twenty may have one in the own zone and one elsewhere");
}

#[test]
fn an_idle_window_shrinks_and_limits_a_later_burst() {
    let burst = |answers: usize| {
        let mut d = Driver::new(Settings { balancers: 10, ..Settings::default() }, endpoints(40));
        in_flight_after(&mut d, 400, 10); // the window grows, as all answers are timely
        while let Some(&(id, ..)) = d.in_flight.first() {
            d.end_attempt(id, Outcome::Ok, ms(10));
        }
        run_requests(&mut d, answers, |_| (Outcome::Ok, 10));
        (0..200).map(|_| sends(&d.request(ms(60_000)).1).len()).sum::<usize>()
    };
    assert!(burst(0) > 12, "as many as all endpoints have served in time");
    assert_eq!(burst(200), 8, "four endpoints for each balancer, two calls at each");
}
