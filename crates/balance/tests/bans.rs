//! Endpoints that an operator has banned.

mod support;
use curlewhub_balance::*;
use support::*;

const BANNED: EndpointId = EndpointId(1);

fn set_ban(d: &mut Driver, banned: bool) -> Vec<Action> {
    d.feed(Event::Ban { endpoint: BANNED, banned })
}

/// How many of `count` requests, each ended before the next begins, went to the banned endpoint.
fn sent_to_banned(d: &mut Driver, count: usize) -> usize {
    run_requests(d, count, |_| (Outcome::Ok, 10)).get(&BANNED).copied().unwrap_or(0)
}

#[test]
fn a_ban_set_twice_outlasts_list_updates_and_is_lifted_by_one_event() {
    let mut d = Driver::new(Settings::default(), endpoints(3));
    assert!(sent_to_banned(&mut d, 100) > 0);
    set_ban(&mut d, true);
    set_ban(&mut d, true);
    assert_eq!(sent_to_banned(&mut d, 200), 0);
    let gone = EndpointInfo { state: EndpointState::Gone, ..endpoint(1) };
    for news in [
        Membership::Full(endpoints(3)),
        Membership::Delta(vec![gone]),
        Membership::Full(vec![endpoint(2), endpoint(3)]),
        Membership::Delta(vec![endpoint(1)]),
        Membership::Failed,
    ] {
        d.update_list(news);
        assert_eq!(sent_to_banned(&mut d, 50), 0);
    }
    set_ban(&mut d, false);
    assert!(sent_to_banned(&mut d, 200) > 0);
}

#[test]
fn an_endpoint_that_is_not_listed_yet_can_be_banned() {
    let mut d = Driver::new(Settings::default(), vec![endpoint(2)]);
    set_ban(&mut d, true);
    d.update_list(Membership::Full(endpoints(2)));
    assert_eq!(sent_to_banned(&mut d, 100), 0);
}

#[test]
fn with_all_endpoints_banned_requests_are_held_until_a_ban_is_lifted_or_else_refused() {
    let mut d = Driver::new(Settings::default(), endpoints(1));
    set_ban(&mut d, true);
    let (_, actions) = d.request(ms(300));
    assert!(sends(&actions).is_empty());
    assert_eq!(sends(&set_ban(&mut d, false)), [BANNED], "it is used at once");
    set_ban(&mut d, true);
    let (id, _) = d.request(ms(300));
    assert!(refused(&d.advance(ms(305)), id));
}

#[test]
fn an_endpoint_is_cold_after_its_ban_is_lifted_even_if_no_start_is_listed() {
    let mut d = Driver::new(Settings::default(), endpoints(2));
    run_requests(&mut d, 400, |_| (Outcome::Ok, 10));
    set_ban(&mut d, true);
    set_ban(&mut d, false);
    // Ties between two warm endpoints would give it half.
    let cold = sent_to_banned(&mut d, 100);
    assert!((1..40).contains(&cold), "{cold} of the first 100");
    d.advance(Settings::default().rules.warm_within * 2);
    let warm = sent_to_banned(&mut d, 400);
    assert!(warm > 120, "{warm} of 400 once it is warm");
}

#[test]
fn draining_and_banned_endpoints_are_counted_as_avoided() {
    let mut balancer = Balancer::new(Settings::default(), 7, ms(0)).unwrap();
    let mut list = endpoints(3);
    list[2].state = EndpointState::Draining;
    let mut actions = Vec::new();
    balancer.handle(ms(0), Event::Membership(Membership::Full(list)), &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(0)), 1, "one is draining");
    balancer.handle(ms(1), Event::Ban { endpoint: BANNED, banned: true }, &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(1)), 2);
    balancer.handle(ms(2), Event::Ban { endpoint: BANNED, banned: false }, &mut actions);
    assert_eq!(balancer.avoided_endpoints(ms(2)), 1);
}
