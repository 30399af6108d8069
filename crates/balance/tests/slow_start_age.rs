//! From when the age of a started endpoint is counted, even if its machine's wall clock is wrong.

mod support;
use curlewhub_balance::*;
use support::*;

const RESTARTED: EndpointId = EndpointId(1);
const HOUR_MS: u64 = 3_600_000;

/// The start time, on the sidecar's clock, that a machine states whose wall clock is off by so many ms.
fn stated_start(now: std::time::Duration, clock_error: i64) -> Option<std::time::Duration> {
    let at = now.as_millis() as i64 + clock_error;
    Some(ms(at as u64))
}

/// A balancer with four endpoints. Its clock is two hours on, so that an hour earlier is a valid time too.
fn driver() -> Driver {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    d.advance(ms(2 * HOUR_MS));
    calls_to_restarted(&mut d, 400);
    d
}

/// Calls to the restarted endpoint in each of the next four quarters of a second.
fn calls_per_quarter(d: &mut Driver) -> Vec<usize> {
    (0..4).map(|_| calls_to_restarted(d, 25)).collect()
}

/// Sends so many requests, one every 10 ms, answers each after 10 ms, and counts those to the restarted
/// endpoint.
fn calls_to_restarted(d: &mut Driver, requests: usize) -> usize {
    let mut calls = 0;
    for _ in 0..requests {
        let (id, sent) = d.request(ms(900));
        calls += sends(&sent).iter().filter(|endpoint| **endpoint == RESTARTED).count();
        d.advance(ms(10));
        if d.in_flight.iter().any(|attempt| attempt.0 == id) {
            d.end_attempt(id, Outcome::Ok, ms(10));
        }
    }
    calls
}

/// Calls to the endpoint after a restart that is notified while the list is watched, where the wall clock
/// of its machine is off by so many ms.
fn calls_after_restart(clock_error: i64) -> Vec<usize> {
    let mut d = driver();
    let started = stated_start(d.now, clock_error);
    d.update_list(Membership::Delta(vec![EndpointInfo { started, ..endpoint(1) }]));
    calls_per_quarter(&mut d)
}

#[test]
fn a_changed_start_in_a_watched_list_is_new_whatever_time_it_states() {
    let correct = calls_after_restart(0);
    for clock_error in [-(HOUR_MS as i64), -20_000, HOUR_MS as i64] {
        assert_eq!(calls_after_restart(clock_error), correct, "a wall clock {clock_error} ms off");
    }
    let mut d = driver();
    let warm = calls_per_quarter(&mut d);
    assert!(correct.iter().sum::<usize>() * 2 < warm.iter().sum(), "{correct:?} cold, {warm:?} warm");
}

#[test]
fn an_earlier_or_missing_start_in_a_watched_list_is_new() {
    let correct = calls_after_restart(0);
    for second in [stated_start(ms(HOUR_MS), 0), None] {
        let mut d = driver();
        let first = stated_start(d.now, -60_000);
        d.update_list(Membership::Delta(vec![EndpointInfo { started: first, ..endpoint(1) }]));
        d.advance(ms(30_000));
        calls_to_restarted(&mut d, 400);
        d.update_list(Membership::Delta(vec![EndpointInfo { started: second, ..endpoint(1) }]));
        let got: usize = calls_per_quarter(&mut d).iter().sum();
        assert!(
            got <= correct.iter().sum::<usize>() + 3,
            "{got} after {second:?}, {correct:?} with a correct clock"
        );
    }
}

#[test]
fn an_endpoint_that_joins_later_is_cold_and_its_same_start_in_a_list_after_a_gap_is_not_new() {
    let mut d = Driver::new(Settings::default(), (2..=4).map(endpoint).collect());
    d.advance(ms(2 * HOUR_MS));
    calls_to_restarted(&mut d, 400);
    let joined = EndpointInfo { started: stated_start(d.now, -(HOUR_MS as i64)), ..endpoint(1) };
    d.update_list(Membership::Delta(vec![joined.clone()]));
    let cold: usize = calls_per_quarter(&mut d).iter().sum();
    d.advance(ms(20_000));
    d.update_list(Membership::Failed);
    calls_to_restarted(&mut d, 400);
    let list = std::iter::once(joined).chain((2..=4).map(endpoint)).collect();
    d.update_list(Membership::Full(list));
    let warm: usize = calls_per_quarter(&mut d).iter().sum();
    assert!(cold * 2 < warm, "{cold} after it joined, {warm} after the gap");
}

#[test]
fn start_times_in_the_first_list_of_a_process_count_as_stated() {
    let calls_at_age = |age: u64| {
        let mut d = Driver::new(Settings::default(), vec![]);
        d.advance(ms(2 * HOUR_MS));
        let started = Some(d.now - ms(age));
        let list = std::iter::once(EndpointInfo { started, ..endpoint(1) }).chain((2..=4).map(endpoint));
        d.update_list(Membership::Full(list.collect()));
        calls_to_restarted(&mut d, 200);
        calls_per_quarter(&mut d).iter().sum::<usize>()
    };
    let (cold, warm) = (calls_at_age(0), calls_at_age(HOUR_MS));
    assert!(cold < warm, "{cold} to one that has just started, {warm} to an old one");
}

#[test]
fn a_snapshot_carries_the_time_from_which_a_start_counts() {
    let mut d = driver();
    let started = stated_start(d.now, -(HOUR_MS as i64));
    let list: Vec<_> =
        std::iter::once(EndpointInfo { started, ..endpoint(1) }).chain((2..=4).map(endpoint)).collect();
    d.update_list(Membership::Full(list.clone()));
    let snapshot = d.balancer.snapshot(d.now);
    let calls = |snapshot: Option<&Snapshot>| {
        let mut new = Driver::new(Settings::default(), vec![]);
        new.advance(d.now - new.now);
        new.update_list(Membership::Full(list.clone()));
        let taken = snapshot.is_none_or(|snapshot| new.balancer.restore(new.now, snapshot));
        assert!(taken);
        calls_per_quarter(&mut new).iter().sum::<usize>()
    };
    let (with, without) = (calls(Some(&snapshot)), calls(None));
    assert!(with * 2 < without, "{with} with the snapshot of the old process, {without} without");
}
