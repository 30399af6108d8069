//! Zones that a fleet has left, or returns to: nothing goes where nothing may, and what was out goes on as its class permits.

mod support;

use curlewhub_balance::*;
use std::time::Duration;
use support::*;

fn driver(semantics: Semantics) -> Driver {
    let settings = Settings { zones: 3, zone: ZoneId(0), ..with_class(semantics) };
    Driver::new(settings, three_zones())
}

fn zone_of(id: EndpointId) -> ZoneId {
    ZoneId((id.0 % 3) as u32)
}

fn rights(right: ZoneAdmission) -> Event {
    Event::Zones(vec![(ZoneId(0), right)])
}

#[test]
fn nothing_goes_into_a_zone_that_is_closed_and_all_of_it_goes_elsewhere() {
    for right in [ZoneAdmission::Closed, ZoneAdmission::Unreachable] {
        let mut driver = driver(Semantics::Safe);
        driver.feed(rights(right));
        for _ in 0..50 {
            let (id, actions) = driver.request(ms(2000));
            let to = sends(&actions);
            assert_eq!(to.len(), 1, "{right:?}");
            assert_ne!(zone_of(to[0]), ZoneId(0), "{right:?}");
            driver.end(id, Outcome::Ok, ms(10));
        }
        driver.feed(Event::Zones(Vec::new()));
        let (_, actions) = driver.request(ms(2000));
        assert_eq!(zone_of(sends(&actions)[0]), ZoneId(0), "its own zone is open again");
    }
}

#[test]
fn where_its_own_zone_is_closed_as_much_may_cross_as_could_be_out_in_all() {
    // One of a dozen balancers, whose windows have fallen to the floor, as all answers were late.
    let out = |closed: bool| {
        let settings = Settings { balancers: 12, zones: 3, zone: ZoneId(0), ..with_class(Semantics::Safe) };
        let mut driver = Driver::new(settings, three_zones());
        for _ in 0..200 {
            let (id, _) = driver.request(ms(2000));
            driver.end(id, Outcome::Ok, ms(1000));
            driver.advance(ms(5));
        }
        if closed {
            driver.feed(rights(ZoneAdmission::Closed));
        }
        (0..20).map(|_| sends(&driver.request(ms(2000)).1).len()).sum::<usize>()
    };
    let (open, closed) = (out(false), out(true));
    assert!(open > 0 && closed >= open, "{closed} with its own zone closed, {open} with it open");
}

#[test]
fn what_is_out_to_a_dark_zone_goes_on_as_its_class_permits() {
    let keyed = Semantics::Keyed { group: DeduplicationScope::Zone, window: ms(6000) };
    // What may run again goes elsewhere; what is dropped as a repeat in its zone alone, or may never run again, fails at once.
    let cases = [(Semantics::Safe, true), (keyed, false), (Semantics::Unsafe, false)];
    for (semantics, goes_on) in cases {
        for right in [ZoneAdmission::Unreachable, ZoneAdmission::Closed] {
            let mut driver = driver(semantics);
            let (id, actions) = driver.request(ms(2000));
            assert_eq!(zone_of(sends(&actions)[0]), ZoneId(0));
            let actions = driver.feed(rights(right));
            let cancelled =
                actions.iter().any(|a| matches!(a, Action::Cancel { request, .. } if *request == id));
            // A zone that is only closed, as it is drained, finishes what it has.
            assert_eq!(cancelled, right == ZoneAdmission::Unreachable, "{semantics:?} {right:?}");
            if !cancelled {
                continue;
            }
            let actions = driver.end(id, Outcome::Cancelled, ms(5));
            let to = sends(&actions);
            assert_eq!(
                to.iter().any(|to| zone_of(*to) != ZoneId(0)),
                goes_on,
                "{semantics:?}: {actions:?}"
            );
            assert_eq!(failed(&actions, id), !goes_on, "{semantics:?}: {actions:?}");
        }
    }
}

#[test]
fn a_keyed_request_that_could_not_connect_to_its_zone_goes_elsewhere() {
    let mut driver = driver(Semantics::Keyed { group: DeduplicationScope::Zone, window: ms(6000) });
    let (id, _) = driver.request(ms(2000));
    driver.feed(rights(ZoneAdmission::Unreachable));
    let actions = driver.end(id, Outcome::ConnectFailed, ms(5));
    assert!(sends(&actions).iter().any(|to| zone_of(*to) != ZoneId(0)), "it never ran: {actions:?}");
}

#[test]
fn so_many_a_second_go_into_a_zone_that_returns_and_none_once_that_has_ended() {
    let mut driver = driver(Semantics::Safe);
    let until = driver.now + Duration::from_secs(3);
    driver.feed(rights(ZoneAdmission::Rate { per_s: 5.0, until }));
    let mut there = [0, 0];
    for n in 0..500 {
        let (id, actions) = driver.request(ms(2000));
        let here = sends(&actions).iter().filter(|to| zone_of(**to) == ZoneId(0)).count();
        there[usize::from(driver.now >= until)] += here;
        driver.end(id, Outcome::Ok, ms(10));
        driver.advance(ms(10));
        assert!(n < 10 || there[0] > 0 || driver.now < until);
    }
    assert!((13..=16).contains(&there[0]), "{there:?}: five a second for three seconds");
    assert_eq!(there[1], 0, "a grant that has ended grants nothing");
}

#[test]
fn a_part_of_the_requests_may_go() {
    let mut driver = driver(Semantics::Safe);
    driver.feed(rights(ZoneAdmission::Fraction(0.25)));
    let mut there = 0;
    for _ in 0..800 {
        let (id, actions) = driver.request(ms(2000));
        there += sends(&actions).iter().filter(|to| zone_of(**to) == ZoneId(0)).count();
        driver.end(id, Outcome::Ok, ms(10));
        driver.advance(ms(7));
    }
    assert!((150..250).contains(&there), "{there} of 800");
}
