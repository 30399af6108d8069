//! Endpoints taken out of use by hand, driving the module alone.

mod support;
use curlewhub_balance::*;
use support::*;

const OUT: EndpointId = EndpointId(1);

fn ban(d: &mut Driver, on: bool) -> Vec<Action> {
    d.feed(Event::Ban { endpoint: OUT, banned: on })
}

/// How many of so many requests, each ended before the next begins, went to that endpoint.
fn sent_there(d: &mut Driver, count: usize) -> usize {
    rounds(d, count, |_| (Outcome::Ok, 10)).get(&OUT).copied().unwrap_or(0)
}

#[test]
fn a_ban_told_twice_holds_whatever_the_list_says_and_is_undone_once() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    assert!(sent_there(&mut d, 100) > 0);
    ban(&mut d, true);
    ban(&mut d, true);
    assert_eq!(sent_there(&mut d, 200), 0);
    let gone = EndpointInfo { state: EndpointState::Gone, ..endpoint(1) };
    for news in [
        Membership::Full(endpoints(3)),
        Membership::Delta(vec![gone]),
        Membership::Full(vec![endpoint(2), endpoint(3)]),
        Membership::Delta(vec![endpoint(1)]),
        Membership::Failed,
    ] {
        d.list(news);
        assert_eq!(sent_there(&mut d, 50), 0);
    }
    ban(&mut d, false);
    assert!(sent_there(&mut d, 200) > 0);
}

#[test]
fn an_endpoint_that_is_not_listed_yet_can_be_banned() {
    let mut d = Driver::new(Settings::default(), vec![endpoint(2)]);
    ban(&mut d, true);
    d.list(Membership::Full(endpoints(2)));
    assert_eq!(sent_there(&mut d, 100), 0);
}

#[test]
fn with_all_banned_a_request_is_refused_and_one_given_back_takes_what_is_held() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    ban(&mut d, true);
    let (_, actions) = d.request(ms(300));
    assert!(sends(&actions).is_empty());
    assert_eq!(sends(&ban(&mut d, false)), [OUT], "it is used at once");
    ban(&mut d, true);
    let (id, _) = d.request(ms(300));
    assert!(refused(&d.advance(ms(305)), id));
}

#[test]
fn an_endpoint_given_back_is_cold_though_the_list_says_nothing_of_a_start() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    rounds(&mut d, 400, |_| (Outcome::Ok, 10));
    ban(&mut d, true);
    ban(&mut d, false);
    // Ties would give it half.
    let first = sent_there(&mut d, 100);
    assert!((1..40).contains(&first), "{first} of the first 100");
    d.advance(Settings::default().rules.warm_within * 2);
    let warm = sent_there(&mut d, 400);
    assert!(warm > 120, "{warm} of 400 once it is warm");
}

#[test]
fn what_is_avoided_is_counted() {
    let mut balancer = Balancer::new(Settings::default(), 7, ms(0)).unwrap();
    let mut list = endpoints(3);
    list[2].state = EndpointState::Draining;
    let mut actions = Vec::new();
    balancer.handle(ms(0), Event::Membership(Membership::Full(list)), &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(0)), 1, "one is draining");
    balancer.handle(ms(1), Event::Ban { endpoint: OUT, banned: true }, &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(1)), 2);
    balancer.handle(ms(2), Event::Ban { endpoint: OUT, banned: false }, &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(2)), 1);
}
