//! No attempt starts from a list whose lease has expired; held requests are sent once it is renewed.

mod support;
use curlewhub_balance::*;
use std::time::Duration;
use support::*;

fn set_lease(d: &mut Driver, expires: Option<Duration>) -> Vec<Action> {
    d.feed(Event::ListLease { expires })
}

#[test]
fn requests_after_the_end_of_the_lease_are_held_until_it_is_renewed() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let end = d.now + ms(100);
    set_lease(&mut d, Some(end));
    assert_eq!(sends(&d.request(ms(2000)).1).len(), 1, "the lease is still valid");
    d.advance(ms(100));
    let held: Vec<RequestId> = (0..3)
        .map(|_| {
            let (id, actions) = d.request(ms(2000));
            assert!(sends(&actions).is_empty());
            id
        })
        .collect();
    assert!(sends(&d.advance(ms(60))).is_empty(), "timers do not release them");
    assert_eq!(sends(&set_lease(&mut d, None)).len(), held.len(), "all of them are sent at once");
}

#[test]
fn held_requests_are_not_sent_to_endpoints_that_began_to_drain_meanwhile() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let now = d.now;
    set_lease(&mut d, Some(now));
    assert!(sends(&d.request(ms(2000)).1).is_empty());
    let draining = EndpointInfo { state: EndpointState::Draining, ..endpoint(1) };
    assert!(
        sends(&d.update_list(Membership::Delta(vec![draining]))).is_empty(),
        "a list alone does not renew the lease"
    );
    assert_eq!(sends(&set_lease(&mut d, None)), [EndpointId(2)]);
}

#[test]
fn a_retry_is_held_like_a_first_attempt_and_refused_at_its_deadline() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    let (id, _) = d.request(ms(400));
    let now = d.now;
    set_lease(&mut d, Some(now));
    assert!(sends(&d.end_attempt(id, Outcome::ConnectFailed, ms(5))).is_empty());
    assert!(refused(&d.advance(ms(405)), id), "nothing ran, so a refusal is correct");
}

#[test]
fn no_second_copy_is_sent_after_the_end_of_the_lease() {
    let limits = Limits { second_copies: true, ..Limits::default() };
    let mut d = Driver::new(Settings { limits, ..Settings::default() }, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    for _ in 0..4 {
        d.request(ms(5000));
        d.advance(ms(30));
    }
    let now = d.now;
    set_lease(&mut d, Some(now));
    assert!(sends(&d.advance(ms(400))).is_empty());
}
