//! A list of endpoints that is old, late or fails to come.

mod support;
use curlewhub_balance::*;
use support::*;

#[test]
fn a_silent_discovery_leaves_the_last_list_in_use() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut d = Driver::new(settings, endpoints(3));
    for _ in 0..10 {
        d.list(Membership::Failed);
        d.advance(ms(20_000));
    }
    assert_eq!(sends(&d.request(ms(900)).1).len(), 1);
}

#[test]
fn asks_back_off_apart_and_never_for_long() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut all: Vec<_> =
        (0..100).map(|seed| Driver::seeded(settings.clone(), endpoints(3), seed)).collect();
    for n in 0..8 {
        let wait = |d: &mut Driver| match d.list(Membership::Failed)[..] {
            [Action::SetTimer { after, .. }] => after,
            _ => panic!("a failure is followed by a wait"),
        };
        let mut waits: Vec<_> = all.iter_mut().map(wait).collect();
        waits.sort();
        // With the wait, a call that takes its 3.2 s and no more still brings in 6 s what a drain needs.
        let middle = ms(500 << n.min(1));
        assert!(waits[0] >= middle / 2 && waits[99] <= middle * 3 / 2, "failure {n}: {waits:?}");
        assert!(waits[75] - waits[25] > middle / 4, "failure {n}: a hundred come back together: {waits:?}");
        assert!(waits[99] + ms(3200) < ms(6000), "failure {n}: {waits:?}");
    }
}

#[test]
fn a_call_that_took_its_time_before_it_failed_is_made_again_at_once_but_not_by_all_together() {
    let settings = Settings { discovery: Discovery::Ask, ..Settings::default() };
    let mut all: Vec<_> =
        (0..100).map(|seed| Driver::seeded(settings.clone(), endpoints(3), seed)).collect();
    let failed_after = |d: &mut Driver, took: u64| {
        let asked = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Watch(true)));
        assert!(asked(&d.advance(ms(2000))), "it asks");
        // The timer fired somewhere in the two seconds; the next one follows the failure.
        d.list(Membership::Failed);
        assert!(asked(&d.advance(ms(2000))));
        let fired = d.now;
        d.advance(ms(took));
        match d.list(Membership::Failed)[..] {
            [Action::SetTimer { after, .. }] => (fired, after),
            _ => panic!("a failure is followed by a wait"),
        }
    };
    let mut waits: Vec<_> = all.iter_mut().map(|d| failed_after(d, 3200).1).collect();
    waits.sort();
    assert!(waits[99] <= ms(150), "a call of 3.2 s, this and one more are told within 6 s: {waits:?}");
    assert!(waits[75] - waits[25] > ms(30), "a hundred come back together: {waits:?}");
}

#[test]
fn an_endpoint_that_turns_away_is_left_alone_until_the_list_is_heard() {
    let sent = |news: Membership| {
        let mut d = Driver::new(Settings::default(), endpoints(3));
        d.list(news);
        let full = |id| if id == EndpointId(2) { Outcome::Rejected } else { Outcome::Ok };
        rounds(&mut d, 200, |id| (full(id), 40)).get(&EndpointId(2)).copied().unwrap_or(0)
    };
    assert!(sent(Membership::Delta(Vec::new())) > 2, "where the list is known it is no more than full");
    assert!(sent(Membership::Failed) <= 1, "eight seconds of sends to what may drain unheard");
}

#[test]
fn with_an_old_list_what_answered_lately_goes_first_and_all_again_once_it_is_heard() {
    let mut d = Driver::new(Settings::default(), endpoints(6));
    assert_eq!(rounds(&mut d, 60, |_| (Outcome::Ok, 50)).len(), 6);
    d.advance(ms(6000));
    d.list(Membership::Failed);
    let known = rounds(&mut d, 1, |_| (Outcome::Ok, 2100));
    let used = rounds(&mut d, 50, |_| (Outcome::Ok, 20));
    assert!(known.len() == 1 && used.keys().eq(known.keys()), "{used:?}: the one that may not drain");
    let burst: Vec<_> = (0..8).flat_map(|_| sends(&d.request(ms(60_000)).1)).collect();
    assert!(
        burst.iter().any(|id| !known.contains_key(id)),
        "what is known is full: others are better than none"
    );
    d.list(Membership::Delta(Vec::new()));
    assert!(rounds(&mut d, 100, |_| (Outcome::Ok, 20)).len() > 3);
}

#[test]
fn while_discovery_refuses_what_answered_lately_goes_first_however_long_that_lasts() {
    let used_after = |news: Membership| {
        let mut d = Driver::new(Settings::default(), endpoints(6));
        assert_eq!(rounds(&mut d, 60, |_| (Outcome::Ok, 50)).len(), 6);
        for _ in 0..5 {
            d.list(news.clone());
            d.advance(ms(5000));
        }
        rounds(&mut d, 1, |_| (Outcome::Ok, 2100));
        rounds(&mut d, 50, |_| (Outcome::Ok, 20)).len()
    };
    assert_eq!(used_after(Membership::Refused), 1, "discovery tells others of drains meanwhile");
    assert!(used_after(Membership::Failed) > 3, "discovery is down, and the old list serves");
}
