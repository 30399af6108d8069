//! Zones that the fleet has left or returns to: nothing is sent to a zone beyond what is permitted, and
//! attempts in flight to an unreachable zone are retried as their class permits.

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

fn own_zone_admission(admission: ZoneAdmission) -> Event {
    Event::Zones(vec![(ZoneId(0), admission)])
}

#[test]
fn requests_go_to_other_zones_while_a_zone_is_closed_or_unreachable() {
    for admission in [ZoneAdmission::Closed, ZoneAdmission::Unreachable] {
        let mut driver = driver(Semantics::Safe);
        driver.feed(own_zone_admission(admission));
        for _ in 0..50 {
            let (id, actions) = driver.request(ms(2000));
            let to = sends(&actions);
            assert_eq!(to.len(), 1, "{admission:?}");
            assert_ne!(zone_of(to[0]), ZoneId(0), "{admission:?}");
            driver.end_attempt(id, Outcome::Ok, ms(10));
        }
        driver.feed(Event::Zones(Vec::new()));
        let (_, actions) = driver.request(ms(2000));
        assert_eq!(zone_of(sends(&actions)[0]), ZoneId(0), "its own zone is open again");
    }
}

#[test]
fn with_its_own_zone_closed_a_balancer_may_send_no_less_to_other_zones() {
    // One of a dozen balancers, whose windows have fallen to the minimum, as all answers were late.
    let sent = |closed: bool| {
        let settings = Settings { balancers: 12, zones: 3, zone: ZoneId(0), ..with_class(Semantics::Safe) };
        let mut driver = Driver::new(settings, three_zones());
        for _ in 0..200 {
            let (id, _) = driver.request(ms(2000));
            driver.end_attempt(id, Outcome::Ok, ms(1000));
            driver.advance(ms(5));
        }
        if closed {
            driver.feed(own_zone_admission(ZoneAdmission::Closed));
        }
        (0..20).map(|_| sends(&driver.request(ms(2000)).1).len()).sum::<usize>()
    };
    let (open, closed) = (sent(false), sent(true));
    assert!(open > 0 && closed >= open, "{closed} with its own zone closed, {open} with it open");
}

#[test]
fn attempts_in_flight_to_an_unreachable_zone_are_retried_as_their_class_permits() {
    let keyed = Semantics::Keyed { group: DeduplicationScope::Zone, window: ms(6000) };
    // A request that may run again goes to another zone. One whose repeats are dropped in its zone alone,
    // and one that may never run again, fail at once.
    let cases = [(Semantics::Safe, true), (keyed, false), (Semantics::Unsafe, false)];
    for (semantics, is_retried) in cases {
        for admission in [ZoneAdmission::Unreachable, ZoneAdmission::Closed] {
            let mut driver = driver(semantics);
            let (id, actions) = driver.request(ms(2000));
            assert_eq!(zone_of(sends(&actions)[0]), ZoneId(0));
            let actions = driver.feed(own_zone_admission(admission));
            let cancelled =
                actions.iter().any(|a| matches!(a, Action::Cancel { request, .. } if *request == id));
            // A zone that is only closed, as it is drained, finishes its calls.
            assert_eq!(cancelled, admission == ZoneAdmission::Unreachable, "{semantics:?} {admission:?}");
            if !cancelled {
                continue;
            }
            let actions = driver.end_attempt(id, Outcome::Cancelled, ms(5));
            let to = sends(&actions);
            assert_eq!(
                to.iter().any(|to| zone_of(*to) != ZoneId(0)),
                is_retried,
                "{semantics:?}: {actions:?}"
            );
            assert_eq!(failed(&actions, id), !is_retried, "{semantics:?}: {actions:?}");
        }
    }
}

#[test]
fn a_keyed_request_that_could_not_connect_to_its_zone_goes_to_another() {
    let mut driver = driver(Semantics::Keyed { group: DeduplicationScope::Zone, window: ms(6000) });
    let (id, _) = driver.request(ms(2000));
    driver.feed(own_zone_admission(ZoneAdmission::Unreachable));
    let actions = driver.end_attempt(id, Outcome::ConnectFailed, ms(5));
    assert!(sends(&actions).iter().any(|to| zone_of(*to) != ZoneId(0)), "it never ran: {actions:?}");
}

#[test]
fn a_returning_zone_gets_the_admitted_rate_and_nothing_after_its_end() {
    let mut driver = driver(Semantics::Safe);
    let until = driver.now + Duration::from_secs(3);
    driver.feed(own_zone_admission(ZoneAdmission::Rate { per_s: 5.0, until }));
    let mut to_zone = [0, 0];
    for n in 0..500 {
        let (id, actions) = driver.request(ms(2000));
        let sent = sends(&actions).iter().filter(|to| zone_of(**to) == ZoneId(0)).count();
        to_zone[usize::from(driver.now >= until)] += sent;
        driver.end_attempt(id, Outcome::Ok, ms(10));
        driver.advance(ms(10));
        assert!(n < 10 || to_zone[0] > 0 || driver.now < until);
    }
    assert!((13..=16).contains(&to_zone[0]), "{to_zone:?}: five a second for three seconds");
    assert_eq!(to_zone[1], 0, "an admission that has ended permits nothing");
}

#[test]
fn the_admitted_fraction_of_the_requests_goes_to_a_zone() {
    let mut driver = driver(Semantics::Safe);
    driver.feed(own_zone_admission(ZoneAdmission::Fraction(0.25)));
    let mut to_zone = 0;
    for _ in 0..800 {
        let (id, actions) = driver.request(ms(2000));
        to_zone += sends(&actions).iter().filter(|to| zone_of(**to) == ZoneId(0)).count();
        driver.end_attempt(id, Outcome::Ok, ms(10));
        driver.advance(ms(7));
    }
    assert!((150..250).contains(&to_zone), "{to_zone} of 800");
}
