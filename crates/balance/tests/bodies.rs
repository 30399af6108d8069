//! Requests whose long body is still arriving.

mod support;
use curlewhub_balance::*;
use support::*;

/// Feeds a request whose body is still arriving; it is sent to an endpoint.
fn request_with_arriving_body(d: &mut Driver, id: u64) -> RequestId {
    let id = RequestId(id);
    let Event::Request(request) = Event::request(id, ms(600_000)) else { unreachable!() };
    let actions = d.feed(Event::Request(Request { body_incomplete: true, ..request }));
    assert_eq!(sends(&actions).len(), 1);
    id
}

#[test]
fn the_time_of_a_request_starts_when_its_body_is_complete() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let id = request_with_arriving_body(&mut d, 900);
    assert!(d.advance(ms(30_000)).is_empty(), "neither late nor overdue while its body arrives");
    d.feed(Event::BodyComplete { request: id, time_left: ms(300) });
    assert!(!refused(&d.advance(ms(290)), id));
    assert!(refused(&d.advance(ms(20)), id), "its class is safe to retry");
}

#[test]
fn a_request_is_retried_only_while_the_start_of_its_body_is_kept() {
    for flows in [false, true] {
        let mut d = Driver::new(Settings::default(), endpoints(3));
        let id = request_with_arriving_body(&mut d, 900);
        if flows {
            d.feed(Event::BodyNotReplayable(id));
        }
        let actions = d.end_attempt(id, Outcome::ConnectFailed, ms(5));
        assert_eq!(sends(&actions).len(), usize::from(!flows));
        assert_eq!(refused(&actions, id), flows, "it never ran, so a refusal is correct");
    }
}

#[test]
fn requests_with_arriving_bodies_do_not_fill_the_window() {
    // The window of one of four balancers holds four calls; the endpoints would hold twelve.
    let mut d = Driver::new(Settings { balancers: 4, ..Settings::default() }, endpoints(4));
    let bodies: Vec<RequestId> = (0..6).map(|n| request_with_arriving_body(&mut d, 900 + n)).collect();
    for id in &bodies {
        d.feed(Event::BodyComplete { request: *id, time_left: ms(2000) });
    }
    for id in bodies {
        d.end_attempt(id, Outcome::Ok, ms(20));
    }
    let (_, actions) = d.request(ms(300));
    assert_eq!(sends(&actions).len(), 1, "ended requests no longer count in the window");
}
