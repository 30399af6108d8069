//! Requests whose long body still comes, driving the module alone.

mod support;
use curlewhub_balance::*;
use support::*;

/// A request whose body comes, sent to an endpoint.
fn coming(d: &mut Driver, id: u64) -> RequestId {
    let id = RequestId(id);
    let Event::Request(request) = Event::request(id, ms(600_000)) else { unreachable!() };
    let actions = d.feed(Event::Request(Request { body_incomplete: true, ..request }));
    assert_eq!(sends(&actions).len(), 1);
    id
}

#[test]
fn its_time_begins_with_its_last_byte() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    let id = coming(&mut d, 900);
    assert!(d.advance(ms(30_000)).is_empty(), "neither late nor overdue while it comes");
    d.feed(Event::BodyComplete { request: id, time_left: ms(300) });
    assert!(!refused(&d.advance(ms(290)), id));
    assert!(refused(&d.advance(ms(20)), id), "its class is safe to repeat");
}

#[test]
fn it_is_sent_again_only_while_its_beginning_is_kept() {
    for flows in [false, true] {
        let mut d = Driver::new(Settings::default(), endpoints(3));
        let id = coming(&mut d, 900);
        if flows {
            d.feed(Event::BodyNotReplayable(id));
        }
        let actions = d.end(id, Outcome::ConnectFailed, ms(5));
        assert_eq!(sends(&actions).len(), usize::from(!flows));
        assert_eq!(refused(&actions, id), flows, "it never ran: to try again is harmless");
    }
}

#[test]
fn bodies_that_come_fill_no_window() {
    // The window of one of four balancers holds four calls; the endpoints would hold twelve.
    let mut d = Driver::new(Settings { balancers: 4, ..Settings::default() }, endpoints(4));
    let bodies: Vec<RequestId> = (0..6).map(|n| coming(&mut d, 900 + n)).collect();
    for id in &bodies {
        d.feed(Event::BodyComplete { request: *id, time_left: ms(2000) });
    }
    for id in bodies {
        d.end(id, Outcome::Ok, ms(20));
    }
    let (_, actions) = d.request(ms(300));
    assert_eq!(sends(&actions).len(), 1, "what has ended is out of the window again");
}
