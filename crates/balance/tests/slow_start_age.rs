//! From when on the start of an endpoint counts, whatever its machine's wall clock says of it.

mod support;
use curlewhub_balance::*;
use support::*;

const BACK: EndpointId = EndpointId(1);
const AN_HOUR: u64 = 3_600_000;

/// The start that a machine states whose wall clock is off, by the sidecar's clock.
fn stated(now: std::time::Duration, off: i64) -> Option<std::time::Duration> {
    let at = now.as_millis() as i64 + off;
    Some(ms(at as u64))
}

/// A balancer of four endpoints in the middle of a day, so that an hour back is a time as well.
fn driver() -> Driver {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    d.advance(ms(2 * AN_HOUR));
    calls_of(&mut d, 400);
    d
}

/// Calls to the endpoint in each of the first four quarters of a second.
fn first_quarters(d: &mut Driver) -> Vec<usize> {
    (0..4).map(|_| calls_of(d, 25)).collect()
}

/// Of so many requests, one each ten milliseconds and answered at once, those that went there.
fn calls_of(d: &mut Driver, requests: usize) -> usize {
    let mut there = 0;
    for _ in 0..requests {
        let (id, sent) = d.request(ms(900));
        there += sends(&sent).iter().filter(|endpoint| **endpoint == BACK).count();
        d.advance(ms(10));
        if d.out.iter().any(|out| out.0 == id) {
            d.end(id, Outcome::Ok, ms(10));
        }
    }
    there
}

/// What comes there after a restart that is told while the list is watched, by a clock that is off so far.
fn after_restart(off: i64) -> Vec<usize> {
    let mut d = driver();
    let started = stated(d.now, off);
    d.list(Membership::Delta(vec![EndpointInfo { started, ..endpoint(1) }]));
    first_quarters(&mut d)
}

#[test]
fn a_start_that_changes_while_it_is_watched_is_new_whatever_its_number_says() {
    let right = after_restart(0);
    for off in [-(AN_HOUR as i64), -20_000, AN_HOUR as i64] {
        assert_eq!(after_restart(off), right, "a wall clock {off} ms off");
    }
    let mut d = driver();
    let warm = first_quarters(&mut d);
    assert!(right.iter().sum::<usize>() * 2 < warm.iter().sum(), "{right:?} cold, {warm:?} warm");
}

#[test]
fn so_is_a_lower_number_than_the_last_one_and_none() {
    let right = after_restart(0);
    for second in [stated(ms(AN_HOUR), 0), None] {
        let mut d = driver();
        let first = stated(d.now, -60_000);
        d.list(Membership::Delta(vec![EndpointInfo { started: first, ..endpoint(1) }]));
        d.advance(ms(30_000));
        calls_of(&mut d, 400);
        d.list(Membership::Delta(vec![EndpointInfo { started: second, ..endpoint(1) }]));
        let got: usize = first_quarters(&mut d).iter().sum();
        assert!(
            got <= right.iter().sum::<usize>() + 3,
            "{got} after {second:?}, {right:?} by a right clock"
        );
    }
}

#[test]
fn one_that_joins_later_is_new_and_the_same_start_in_a_list_after_a_gap_is_not() {
    let mut d = Driver::new(Settings::default(), (2..=4).map(endpoint).collect());
    d.advance(ms(2 * AN_HOUR));
    calls_of(&mut d, 400);
    let joined = EndpointInfo { started: stated(d.now, -(AN_HOUR as i64)), ..endpoint(1) };
    d.list(Membership::Delta(vec![joined.clone()]));
    let cold: usize = first_quarters(&mut d).iter().sum();
    d.advance(ms(20_000));
    d.list(Membership::Failed);
    calls_of(&mut d, 400);
    let list = std::iter::once(joined).chain((2..=4).map(endpoint)).collect();
    d.list(Membership::Full(list));
    let warm: usize = first_quarters(&mut d).iter().sum();
    assert!(cold * 2 < warm, "{cold} as it joined, {warm} after the gap");
}

#[test]
fn of_the_list_held_at_the_own_start_the_stated_time_speaks() {
    let listed = |age: u64| {
        let mut d = Driver::new(Settings::default(), vec![]);
        d.advance(ms(2 * AN_HOUR));
        let started = Some(d.now - ms(age));
        let list = std::iter::once(EndpointInfo { started, ..endpoint(1) }).chain((2..=4).map(endpoint));
        d.list(Membership::Full(list.collect()));
        calls_of(&mut d, 200);
        first_quarters(&mut d).iter().sum::<usize>()
    };
    let (cold, warm) = (listed(0), listed(AN_HOUR));
    assert!(cold < warm, "{cold} of one that has just started, {warm} of an old one");
}

#[test]
fn a_successor_takes_over_from_when_on_a_start_counts() {
    let mut d = driver();
    let started = stated(d.now, -(AN_HOUR as i64));
    let list: Vec<_> =
        std::iter::once(EndpointInfo { started, ..endpoint(1) }).chain((2..=4).map(endpoint)).collect();
    d.list(Membership::Full(list.clone()));
    let snapshot = d.balancer.snapshot(d.now);
    let calls = |snapshot: Option<&Snapshot>| {
        let mut new = Driver::new(Settings::default(), vec![]);
        new.advance(d.now - new.now);
        new.list(Membership::Full(list.clone()));
        let taken = snapshot.is_none_or(|snapshot| new.balancer.restore(new.now, snapshot));
        assert!(taken);
        first_quarters(&mut new).iter().sum::<usize>()
    };
    let (with, without) = (calls(Some(&snapshot)), calls(None));
    assert!(with * 2 < without, "{with} with what the old process knew, {without} without");
}
