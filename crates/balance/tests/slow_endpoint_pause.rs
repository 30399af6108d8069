//! An endpoint that a backlog has made slow gets no requests for a while (a pause), but never so many
//! endpoints that none is left to use.

mod support;
use curlewhub_balance::*;
use support::*;

const SLOW: EndpointId = EndpointId(1);

/// One of a hundred balancers. Its endpoints have answered in 100 ms, and endpoint 1 then once in 900 ms.
fn driver_after_a_slow_answer(endpoints: u64) -> Driver {
    let settings = Settings { balancers: 100, ..Settings::default() };
    let started = Some(ms(0));
    let list = (1..=endpoints).map(|id| EndpointInfo { started, ..endpoint(id) }).collect();
    let mut d = Driver::new(settings, list);
    run_requests(&mut d, 20 * endpoints as usize, |_| (Outcome::Ok, 100));
    loop {
        let (id, sent) = d.request(ms(5000));
        let slow = sends(&sent) == [SLOW];
        let elapsed = ms(if slow { 900 } else { 100 });
        d.advance(elapsed);
        d.end_attempt(id, Outcome::Ok, elapsed);
        if slow {
            return d;
        }
    }
}

/// How many of ten requests, sent one after another within a second, go to the slow endpoint.
fn sent_to_slow(d: &mut Driver) -> usize {
    run_requests(d, 10, |_| (Outcome::Ok, 100)).get(&SLOW).copied().unwrap_or(0)
}

#[test]
fn a_slow_endpoint_is_paused_for_sixteen_times_its_answer_time() {
    let mut d = driver_after_a_slow_answer(2);
    d.advance(ms(10_000)); // without the pause, one slow answer would no longer count by now
    assert_eq!(sent_to_slow(&mut d), 0);
    d.advance(ms(4000));
    assert!(sent_to_slow(&mut d) > 0);
}

#[test]
fn the_pause_of_a_slow_endpoint_ends_with_its_restart() {
    let mut d = driver_after_a_slow_answer(2);
    d.advance(ms(10_000));
    let new = EndpointInfo { started: Some(d.now - ms(20_000)), ..endpoint(1) };
    d.update_list(Membership::Delta(vec![new]));
    // The new process is cold, as its start becomes known now, but it gets some requests within the time
    // for which the old process was paused.
    assert!((0..4).map(|_| sent_to_slow(&mut d)).sum::<usize>() > 0);
}

#[test]
fn the_only_endpoint_is_not_paused() {
    let mut d = driver_after_a_slow_answer(1);
    let (id, _) = d.request(ms(5000));
    d.advance(ms(900));
    assert!(
        d.in_flight.iter().any(|attempt| attempt.0 == id),
        "it is sent long before a pause would be over"
    );
}
