//! No attempt begins by a list whose lease has run out; held requests are released once it is renewed.

mod support;
use curlewhub_balance::*;
use std::time::Duration;
use support::*;

fn lease(d: &mut Driver, expires: Option<Duration>) -> Vec<Action> {
    d.feed(Event::ListLease { expires })
}

#[test]
fn requests_that_come_behind_the_lease_s_end_are_held_until_it_is_renewed() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let end = d.now + ms(100);
    lease(&mut d, Some(end));
    assert_eq!(sends(&d.request(ms(2000)).1).len(), 1, "it holds until then");
    d.advance(ms(100));
    let held: Vec<RequestId> = (0..3)
        .map(|_| {
            let (id, actions) = d.request(ms(2000));
            assert!(sends(&actions).is_empty());
            id
        })
        .collect();
    assert!(sends(&d.advance(ms(60))).is_empty(), "however often it is looked at");
    assert_eq!(sends(&lease(&mut d, None)).len(), held.len(), "all of them at once");
}

#[test]
fn what_a_list_says_of_endpoints_that_leave_holds_for_requests_that_were_held() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let now = d.now;
    lease(&mut d, Some(now));
    assert!(sends(&d.request(ms(2000)).1).is_empty());
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    assert!(sends(&d.list(Membership::Delta(vec![draining]))).is_empty(), "the list alone renews nothing");
    assert_eq!(sends(&lease(&mut d, None)), [EndpointId(2)]);
}

#[test]
fn a_retry_waits_as_a_first_attempt_does_and_is_answered_in_its_time() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let (id, _) = d.request(ms(400));
    let now = d.now;
    lease(&mut d, Some(now));
    assert!(sends(&d.end(id, Outcome::ConnectFailed, ms(5))).is_empty());
    assert!(refused(&d.advance(ms(405)), id), "nothing ran: to try again is harmless");
}

#[test]
fn no_second_copy_is_sent_by_an_old_list() {
    let limits = Limits { second_copies: true, ..Limits::default() };
    let mut d = Driver::new(Settings { limits, ..Settings::default() }, endpoints(8));
    rounds(&mut d, 200, |_| (Outcome::Ok, 20));
    for _ in 0..4 {
        d.request(ms(5000));
        d.advance(ms(30));
    }
    let now = d.now;
    lease(&mut d, Some(now));
    assert!(sends(&d.advance(ms(400))).is_empty());
}
