//! Attempts for which this machine could open no connection: they say nothing of endpoints, and the request waits
//! for a moment instead of using up its attempts at once.

mod support;
use curlewhub_balance::*;
use support::*;

/// One fault of this machine for each of so many requests, at one moment.
fn faults(d: &mut Driver, requests: usize) -> Vec<RequestId> {
    let asked: Vec<RequestId> = (0..requests).map(|_| d.request(ms(2000)).0).collect();
    for id in &asked {
        while d.out.iter().any(|out| out.0 == *id) {
            d.end(*id, Outcome::LocalFault, ms(1));
        }
    }
    asked
}

#[test]
fn nothing_is_learned_of_endpoints_from_a_fault_of_this_machine() {
    for seed in 0..20 {
        let mut d = Driver::seeded(Settings::default(), endpoints(4), seed);
        rounds(&mut d, 200, |_| (Outcome::Ok, 20));
        let known = |d: &Driver| {
            let snapshot = d.balancer.snapshot(d.now);
            let limits: Vec<f64> = snapshot.endpoints.iter().map(|endpoint| endpoint.limit).collect();
            (limits, snapshot.windows, snapshot.retry_tokens)
        };
        let before = known(&d);
        faults(&mut d, 300);
        assert_eq!(known(&d), before, "seed {seed}");
    }
}

#[test]
fn an_endpoint_that_alone_meets_them_is_not_avoided() {
    for seed in 0..20 {
        let mut d = Driver::seeded(Settings::default(), endpoints(4), seed);
        rounds(&mut d, 50, where_bad(the_first, Outcome::LocalFault, 0));
        assert_eq!(d.balancer.avoided_endpoints(d.now), 0, "seed {seed}");
        let counts = rounds(&mut d, 100, |_| (Outcome::Ok, 20));
        assert!(sent_to(&counts, the_first) > 10, "seed {seed}: {counts:?}");
    }
}

#[test]
fn a_request_is_tried_elsewhere_at_once_and_then_only_after_a_wait() {
    for (seed, semantics) in (0..20).flat_map(|seed| [(seed, Semantics::Safe), (seed, Semantics::Unsafe)]) {
        let mut d = Driver::seeded(with_class(semantics), endpoints(4), seed);
        let (id, first) = d.request(ms(900));
        let second = d.end(id, Outcome::LocalFault, ms(0));
        assert_eq!(sends(&second).len(), 1, "seed {seed}");
        assert_ne!(sends(&first), sends(&second), "seed {seed}: another endpoint, which may be connected");
        assert!(sends(&d.end(id, Outcome::LocalFault, ms(0))).is_empty(), "seed {seed}");
        assert!(sends(&d.advance(ms(90))).is_empty(), "seed {seed}");
        assert_eq!(sends(&d.advance(ms(50))).len(), 1, "seed {seed}");
        let last = d.end(id, Outcome::LocalFault, ms(0));
        assert!(refused(&last, id), "seed {seed}: no attempt is left, and none has run");
    }
}

#[test]
fn others_are_sent_while_one_waits() {
    let mut d = Driver::new(Settings::default(), endpoints(4));
    let waiting = faults(&mut d, 1)[0];
    let (other, sent) = d.request(ms(900));
    assert_eq!(sends(&sent).len(), 1);
    assert!(sends(&d.end(other, Outcome::Ok, ms(10))).is_empty(), "the wait goes on");
    assert_eq!(sends(&d.advance(ms(130))).len(), 1);
    assert!(sends(&d.end(waiting, Outcome::Ok, ms(10))).is_empty());
}
