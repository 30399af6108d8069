//! Endpoints that discovery has not named are out of use while the list is restricted, whatever sends to them, and come
//! back with what was learned of them.

mod support;
use curlewhub_balance::*;
use std::time::Duration;
use support::*;

const NAMED: [EndpointId; 2] = [EndpointId(1), EndpointId(2)];

fn restrict(d: &mut Driver) -> Vec<Action> {
    d.feed(Event::RestrictEndpoints(NAMED.to_vec()))
}

fn is_named(id: EndpointId) -> bool {
    NAMED.contains(&id)
}

#[test]
fn first_attempts_retries_and_second_copies_go_only_to_named_endpoints() {
    let limits = Limits { second_copies: true, ..Limits::default() };
    let mut d = Driver::new(Settings { limits, ..Settings::default() }, endpoints(8));
    run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    restrict(&mut d);
    let mut sent = Vec::new();
    for _ in 0..20 {
        let (id, actions) = d.request(ms(5000));
        let first = sends(&actions);
        sent.extend(sends(&d.advance(ms(30))));
        if !first.is_empty() {
            sent.extend(sends(&d.end_attempt(id, Outcome::ConnectFailed, ms(30))));
        }
        sent.extend(first);
        sent.extend(sends(&d.advance(ms(200))));
    }
    assert!(sent.len() > 5 && sent.iter().all(|to| is_named(*to)), "{sent:?}");
}

#[test]
fn held_requests_are_sent_to_named_endpoints_once_the_lease_is_renewed() {
    let mut d = Driver::new(Settings::default(), endpoints(8));
    let now = d.now;
    d.feed(Event::ListLease { expires: Some(now) });
    for _ in 0..4 {
        assert!(sends(&d.request(ms(2000)).1).is_empty());
    }
    assert!(sends(&restrict(&mut d)).is_empty(), "the lease has expired");
    let sent = sends(&d.feed(Event::ListLease { expires: None }));
    assert!(!sent.is_empty() && sent.iter().all(|to| is_named(*to)), "{sent:?}");
}

#[test]
fn a_change_brings_back_the_endpoint_that_it_names_and_a_whole_list_all_that_it_holds() {
    let started = Some(Duration::from_secs(1));
    let list: Vec<EndpointInfo> =
        endpoints(4).into_iter().map(|info| EndpointInfo { started, ..info }).collect();
    let mut d = Driver::new(Settings::default(), list.clone());
    d.advance(Duration::from_secs(60));
    restrict(&mut d);
    d.update_list(Membership::Delta(vec![list[2].clone()]));
    let sent = run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
    assert_eq!(sent_to(&sent, |id| id == EndpointId(4)), 0);
    assert!(sent_to(&sent, |id| id == EndpointId(3)) > 20, "{sent:?}");
    d.update_list(Membership::Full(list));
    let sent = run_requests(&mut d, 400, |_| (Outcome::Ok, 20));
    assert!(
        sent_to(&sent, |id| id == EndpointId(4)) > 40,
        "it has not restarted, so it is not cold: {sent:?}"
    );
}
