//! Attempts that get no answer, and the second copies that are sent for them.

mod support;
use curlewhub_balance::*;
use support::*;

/// Answers 200 requests in time, then sends `unanswered` more, answers none of them, and waits 400 ms
/// longer.
fn with_unanswered_attempts(settings: Settings, unanswered: usize) -> (Driver, Vec<Action>) {
    let mut d = Driver::new(settings, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    let mut actions = Vec::new();
    for _ in 0..unanswered {
        d.request(ms(5000));
        actions.extend(d.advance(ms(30)));
    }
    actions.extend(d.advance(ms(400)));
    (d, actions)
}

fn with_second_copies() -> Settings {
    let limits = Limits { second_copies: true, ..Limits::default() };
    Settings { limits, ..Settings::default() }
}

#[test]
fn unanswered_attempts_get_second_copies() {
    // Guards against requests that wait until their deadlines for answers that were never sent.
    let one = sends(&with_unanswered_attempts(with_second_copies(), 1).1).len();
    assert_eq!(one, 2, "one overdue attempt gets a copy, and another one as that is never answered either");
    let none = sends(&with_unanswered_attempts(with_second_copies(), 0).1).len();
    assert_eq!(none, 0, "no copies where all answers came");
    let four = sends(&with_unanswered_attempts(with_second_copies(), 4).1).len();
    assert!((2..=8).contains(&four), "{four} second copies for four unanswered attempts and their copies");
}

#[test]
fn without_second_copies_an_unanswered_attempt_is_cancelled_before_its_retry() {
    let (mut d, actions) = with_unanswered_attempts(Settings::default(), 4);
    assert!(sends(&actions).is_empty());
    let Some(Action::Cancel { request, .. }) = actions.iter().find(|a| matches!(a, Action::Cancel { .. }))
    else {
        panic!("nothing cancelled: {actions:?}");
    };
    assert_eq!(sends(&d.end_attempt(*request, Outcome::Cancelled, ms(300))).len(), 1, "then sent again");
}

#[test]
fn unsafe_requests_never_get_a_second_copy() {
    let settings = Settings { classes: with_class(Semantics::Unsafe).classes, ..with_second_copies() };
    assert!(sends(&with_unanswered_attempts(settings, 6).1).is_empty());
}

#[test]
fn slow_answers_indicate_overload_and_get_no_second_copies() {
    let mut d = Driver::new(Settings { tier: 1, ..with_second_copies() }, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    run_requests(&mut d, 20, |_| (Outcome::Ok, 200));
    for _ in 0..6 {
        d.request(ms(5000));
    }
    assert!(sends(&d.advance(ms(4000))).is_empty(), "copies would add to the overload");
}

#[test]
fn idle_connections_are_closed_before_use_once_attempts_on_such_went_unanswered() {
    let (mut d, _) = with_unanswered_attempts(with_second_copies(), 4);
    d.advance(ms(1000));
    let closes = |d: &mut Driver| {
        let (id, actions) = d.request(ms(5000));
        let to = sends(&actions)[0];
        let closed = actions.contains(&Action::CloseIdle { endpoint: to });
        d.end_attempt(id, Outcome::Ok, ms(20));
        (to, closed)
    };
    let (to, closed) = closes(&mut d);
    assert!(closed, "connections idle for longer than those that went unanswered are not trusted");
    let again = (0..60).map(|_| closes(&mut d)).find(|(next, _)| *next == to);
    assert_eq!(again, Some((to, false)), "a connection just used is trusted");
}

#[test]
fn timeouts_of_unanswered_attempts_do_not_shrink_the_windows() {
    // Guards against counting such timeouts as late answers: windows fell to one call, and requests were
    // refused unsent.
    let in_flight_after_timeouts = |unanswered: bool| {
        let mut d = Driver::new(Settings { balancers: 4, ..with_second_copies() }, endpoints(40));
        in_flight_after(&mut d, 100, 20);
        let ids: Vec<RequestId> = d.in_flight.iter().map(|o| o.0).take(80).collect();
        d.advance(ms(if unanswered { 1000 } else { 0 }));
        for id in ids {
            while d.in_flight.iter().any(|o| o.0 == id) {
                d.end_attempt(id, Outcome::TimedOut, ms(1000));
            }
        }
        d.send_until_held();
        d.in_flight.len()
    };
    let (unanswered, overloaded) = (in_flight_after_timeouts(true), in_flight_after_timeouts(false));
    assert!(
        unanswered > overloaded,
        "{unanswered} calls in flight after unanswered attempts, {overloaded} after plain timeouts"
    );
}
