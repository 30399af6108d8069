//! Endpoint lists that are stale, late or can't be fetched.

mod support;
use curlewhub_balance::*;
use support::*;

#[test]
fn the_last_list_stays_in_use_while_discovery_fails() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(3));
    for _ in 0..10 {
        d.update_list(Membership::Failed);
        d.advance(ms(20_000));
    }
    assert_eq!(sends(&d.request(ms(900)).1).len(), 1);
}

#[test]
fn failed_discovery_calls_are_repeated_with_jitter_and_short_waits() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut all: Vec<_> =
        (0..100).map(|seed| Driver::seeded(settings.clone(), endpoints(3), seed)).collect();
    for n in 0..8 {
        let wait = |d: &mut Driver| match d.update_list(Membership::Failed)[..] {
            [Action::SetTimer { after, .. }] => after,
            _ => panic!("a failure is followed by a wait"),
        };
        let mut waits: Vec<_> = all.iter_mut().map(wait).collect();
        waits.sort();
        // The wait and a call that takes its full 3.2 s fit into the 6 s within which a drain must be
        // known.
        let nominal = ms(500 << n.min(1));
        assert!(waits[0] >= nominal / 2 && waits[99] <= nominal * 3 / 2, "failure {n}: {waits:?}");
        assert!(
            waits[75] - waits[25] > nominal / 4,
            "failure {n}: the waits of a hundred balancers lie too close together: {waits:?}"
        );
        assert!(waits[99] + ms(3200) < ms(6000), "failure {n}: {waits:?}");
    }
}

#[test]
fn a_discovery_call_that_failed_slowly_is_repeated_almost_at_once_with_jitter() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut all: Vec<_> =
        (0..100).map(|seed| Driver::seeded(settings.clone(), endpoints(3), seed)).collect();
    let failed_after = |d: &mut Driver, took: u64| {
        let calls_discovery =
            |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Watch(true)));
        assert!(calls_discovery(&d.advance(ms(2000))), "it calls discovery");
        // The timer fired at some time within the two seconds; the next one is set at the failure.
        d.update_list(Membership::Failed);
        assert!(calls_discovery(&d.advance(ms(2000))));
        let fired = d.now;
        d.advance(ms(took));
        match d.update_list(Membership::Failed)[..] {
            [Action::SetTimer { after, .. }] => (fired, after),
            _ => panic!("a failure is followed by a wait"),
        }
    };
    let mut waits: Vec<_> = all.iter_mut().map(|d| failed_after(d, 3200).1).collect();
    waits.sort();
    assert!(
        waits[99] <= ms(150),
        "a failed call of 3.2 s, this wait and one more call must fit into 6 s: {waits:?}"
    );
    assert!(
        waits[75] - waits[25] > ms(30),
        "the waits of a hundred balancers lie too close together: {waits:?}"
    );
}

#[test]
fn with_a_stale_list_an_endpoint_that_rejects_requests_is_avoided() {
    let sent = |update: Membership| {
        let mut d = Driver::new(Settings::default(), endpoints(3));
        d.update_list(update);
        let outcome = |id| if id == EndpointId(2) { Outcome::Rejected } else { Outcome::Ok };
        run_requests(&mut d, 200, |id| (outcome(id), 40)).get(&EndpointId(2)).copied().unwrap_or(0)
    };
    assert!(sent(Membership::Delta(Vec::new())) > 2, "with a current list, it is merely full");
    assert!(
        sent(Membership::Failed) <= 1,
        "with a stale list, it may be draining unnoticed for these eight seconds"
    );
}

#[test]
fn with_a_stale_list_endpoints_that_answered_recently_are_preferred() {
    let mut d = Driver::new(Settings::default(), endpoints(6));
    assert_eq!(run_requests(&mut d, 60, |_| (Outcome::Ok, 50)).len(), 6);
    d.advance(ms(6000));
    d.update_list(Membership::Failed);
    let known = run_requests(&mut d, 1, |_| (Outcome::Ok, 2100));
    let used = run_requests(&mut d, 50, |_| (Outcome::Ok, 20));
    assert!(
        known.len() == 1 && used.keys().eq(known.keys()),
        "{used:?}: only the endpoint that answered last is surely not draining"
    );
    let burst: Vec<_> = (0..8).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
    assert!(
        burst.iter().any(|id| !known.contains_key(id)),
        "that endpoint is full, and others are better than none"
    );
    d.update_list(Membership::Delta(Vec::new()));
    assert!(run_requests(&mut d, 100, |_| (Outcome::Ok, 20)).len() > 3);
}

#[test]
fn while_discovery_refuses_endpoints_that_answered_recently_stay_preferred() {
    let used_after = |update: Membership| {
        let mut d = Driver::new(Settings::default(), endpoints(6));
        assert_eq!(run_requests(&mut d, 60, |_| (Outcome::Ok, 50)).len(), 6);
        for _ in 0..5 {
            d.update_list(update.clone());
            d.advance(ms(5000));
        }
        run_requests(&mut d, 1, |_| (Outcome::Ok, 2100));
        run_requests(&mut d, 50, |_| (Outcome::Ok, 20)).len()
    };
    assert_eq!(used_after(Membership::Refused), 1, "discovery notifies others of drains meanwhile");
    assert!(used_after(Membership::Failed) > 3, "discovery is down, so the old list is used");
}
