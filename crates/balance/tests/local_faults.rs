//! Attempts for which this machine could open no connection (local faults): they say nothing about
//! endpoints, and the request waits for a moment instead of using up its attempts at once.

mod support;
use curlewhub_balance::*;
use support::*;

/// Sends so many requests at one moment and ends each of their attempts with a local fault.
fn send_with_local_faults(d: &mut Driver, requests: usize) -> Vec<RequestId> {
    let sent: Vec<RequestId> = (0..requests).map(|_| d.request(ms(2000)).0).collect();
    for id in &sent {
        while d.in_flight.iter().any(|attempt| attempt.0 == *id) {
            d.end_attempt(*id, Outcome::LocalFault, ms(1));
        }
    }
    sent
}

#[test]
fn a_local_fault_changes_nothing_learned_about_endpoints() {
    for seed in 0..20 {
        let mut d = Driver::seeded(Settings::default(), endpoints(4), seed);
        run_requests(&mut d, 200, |_| (Outcome::Ok, 20));
        let learned = |d: &Driver| {
            let snapshot = d.balancer.snapshot(d.now);
            let limits: Vec<f64> = snapshot.endpoints.iter().map(|endpoint| endpoint.limit).collect();
            (limits, snapshot.windows, snapshot.retry_tokens)
        };
        let before = learned(&d);
        send_with_local_faults(&mut d, 300);
        assert_eq!(learned(&d), before, "seed {seed}");
    }
}

#[test]
fn an_endpoint_that_alone_meets_local_faults_is_not_avoided() {
    for seed in 0..20 {
        let mut d = Driver::seeded(Settings::default(), endpoints(4), seed);
        run_requests(&mut d, 50, outcome_where(is_endpoint_1, Outcome::LocalFault, 0));
        assert_eq!(d.balancer.avoided_endpoints(d.now), 0, "seed {seed}");
        let counts = run_requests(&mut d, 100, |_| (Outcome::Ok, 20));
        assert!(sent_to(&counts, is_endpoint_1) > 10, "seed {seed}: {counts:?}");
    }
}

#[test]
fn after_local_faults_a_request_is_retried_once_at_once_and_then_after_a_wait() {
    for (seed, semantics) in (0..20).flat_map(|seed| [(seed, Semantics::Safe), (seed, Semantics::Unsafe)]) {
        let mut d = Driver::seeded(with_class(semantics), endpoints(4), seed);
        let (id, first) = d.request(ms(900));
        let second = d.end_attempt(id, Outcome::LocalFault, ms(0));
        assert_eq!(sends(&second).len(), 1, "seed {seed}");
        assert_ne!(
            sends(&first),
            sends(&second),
            "seed {seed}: another endpoint, which may have an open connection"
        );
        assert!(sends(&d.end_attempt(id, Outcome::LocalFault, ms(0))).is_empty(), "seed {seed}");
        assert!(sends(&d.advance(ms(90))).is_empty(), "seed {seed}");
        assert_eq!(sends(&d.advance(ms(50))).len(), 1, "seed {seed}");
        let last = d.end_attempt(id, Outcome::LocalFault, ms(0));
        assert!(refused(&last, id), "seed {seed}: no attempt is left, and none has run");
    }
}

#[test]
fn other_requests_are_sent_while_one_waits_after_a_local_fault() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let waiting = send_with_local_faults(&mut d, 1)[0];
    let (other, sent) = d.request(ms(900));
    assert_eq!(sends(&sent).len(), 1);
    assert!(sends(&d.end_attempt(other, Outcome::Ok, ms(10))).is_empty(), "the first request still waits");
    assert_eq!(sends(&d.advance(ms(130))).len(), 1);
    assert!(sends(&d.end_attempt(waiting, Outcome::Ok, ms(10))).is_empty());
}
