//! Bounds on connections, by one sidecar and by hundreds before one endpoint.

use curlewhub_connection_quota::*;
use proptest::prelude::*;
use std::time::Duration;

const AT: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn open(quota: &mut ConnectionQuota, now: Duration) -> bool {
    let admitted = quota.ask(now, AT) == Admission::Open;
    if admitted {
        quota.opened(AT);
    }
    admitted
}

#[test]
fn what_an_endpoint_accepts_is_shared_and_everybody_has_one() {
    for (sidecars, accepts, part) in [(1, 12, 12), (4, 12, 3), (5, 12, 2), (300, 12, 1), (0, 12, 12)] {
        let mut quota = ConnectionQuota::new(QuotaSettings { sidecars, accepts: Some(accepts) }, 1);
        let opened = (0..100).filter(|_| open(&mut quota, ms(0))).count();
        assert_eq!(opened, part, "{sidecars} sidecars");
        assert_eq!(quota.ask(ms(0), AT), Admission::Full);
        quota.closed(AT);
        assert!(open(&mut quota, ms(0)));
    }
    assert_eq!(QuotaSettings { sidecars: 300, accepts: Some(30) }.kept(ms(20_000)), ms(2000));
    assert_eq!(QuotaSettings { sidecars: 3, accepts: Some(30) }.kept(ms(20_000)), ms(20_000));
}

#[test]
fn connects_on_their_way_are_bounded_by_the_part_of_each() {
    for (sidecars, most) in [(1, 64), (10, 6), (300, 1)] {
        let mut quota = ConnectionQuota::new(QuotaSettings { sidecars, accepts: None }, 1);
        let asked = (0..100).filter(|_| quota.ask(ms(0), AT) == Admission::Open).count();
        assert_eq!(asked, most);
        assert_eq!(quota.ask(ms(0), AT), Admission::Wait);
        quota.given_up(AT);
        assert_eq!(quota.ask(ms(0), AT), Admission::Open);
        assert_eq!(quota.ask(ms(0), AT + 1), Admission::Open, "another endpoint has a bound of its own");
    }
}

#[test]
fn a_refusal_is_a_full_table_only_while_something_is_up() {
    let mut quota = ConnectionQuota::new(QuotaSettings { sidecars: 9, accepts: None }, 1);
    assert_eq!(quota.ask(ms(0), AT), Admission::Open);
    assert_eq!(quota.refused(ms(0), AT), Refusal::Unknown);
    assert_eq!(quota.ask(ms(0), AT), Admission::Open, "it may be back at once");
    quota.opened(AT);
    assert_eq!(quota.ask(ms(0), AT), Admission::Open);
    assert_eq!(quota.refused(ms(0), AT), Refusal::Full);
    assert_eq!(quota.ask(ms(0), AT), Admission::Full);
    assert_eq!(quota.ask(ms(0) + INITIAL_BACKOFF, AT), Admission::Open, "one more is tried after the wait");
    quota.opened(AT);
    assert_eq!(quota.ask(ms(0) + INITIAL_BACKOFF, AT), Admission::Open, "and as it came up, the next");
    quota.given_up(AT);
    (0..2).for_each(|_| quota.closed(AT));
    assert_eq!(quota.endpoints(), 0, "with the last connection what was learnt has gone");
    assert_eq!(quota.ask(ms(0), AT), Admission::Open);
}

/// Three hundred sidecars before an endpoint that accepts a hundred connections: each begins with one up or
/// none and would like another every 100 ms for a minute. Connects in the busiest second after the first one.
fn busiest_second(waits: bool) -> usize {
    let accepts = 100;
    let settings = QuotaSettings { sidecars: 300, accepts: None };
    let mut all: Vec<ConnectionQuota> = (0..300).map(|seed| ConnectionQuota::new(settings, seed)).collect();
    let mut up = 0;
    let mut connects = vec![0; 60];
    for quota in all.iter_mut().take(accepts) {
        up += usize::from(open(quota, ms(0)));
    }
    assert_eq!(up, accepts);
    for step in 0..600u64 {
        let now = ms(step * 100);
        for quota in all.iter_mut().take(accepts) {
            let asked = if waits { quota.ask(now, AT) } else { quota.ask(now + MAX_BACKOFF * 2, AT) };
            if asked == Admission::Open {
                connects[(step / 10) as usize] += 1;
                assert_eq!(quota.refused(now, AT), Refusal::Full);
            }
        }
    }
    connects[2..].iter().copied().max().unwrap()
}

#[test]
fn sidecars_refused_together_do_not_come_back_together() {
    // Each would ask ten times a second.
    assert_eq!(busiest_second(false), 1000);
    let spread = busiest_second(true);
    assert!(spread < 120, "{spread} connects in a second");
}

proptest! {
    #[test]
    fn in_whatever_order_things_come_no_bound_is_passed_and_nothing_is_left(
        sidecars in 0u32..20,
        accepts in proptest::option::of(0u32..40),
        seed: u64,
        steps in proptest::collection::vec((0u8..5, 0u64..4, 0u64..2000), 0..300),
    ) {
        let settings = QuotaSettings { sidecars, accepts };
        let (mut quota, mut now) = (ConnectionQuota::new(settings, seed), ms(0));
        let (mut held, mut opening) = ([0u32; 4], [0u32; 4]);
        for (what, endpoint, later) in steps {
            let n = endpoint as usize;
            now += ms(later);
            match what {
                0 => opening[n] += u32::from(quota.ask(now, endpoint) == Admission::Open),
                1 if opening[n] > 0 => {
                    quota.opened(endpoint);
                    (opening[n], held[n]) = (opening[n] - 1, held[n] + 1);
                }
                2 if opening[n] > 0 => {
                    let full = quota.refused(now, endpoint) == Refusal::Full;
                    prop_assert_eq!(full, held[n] > 0);
                    opening[n] -= 1;
                }
                3 if opening[n] > 0 => {
                    quota.given_up(endpoint);
                    opening[n] -= 1;
                }
                4 if held[n] > 0 => {
                    quota.closed(endpoint);
                    held[n] -= 1;
                }
                _ => {}
            }
            prop_assert!(opening[n] <= settings.max_pending());
            prop_assert!(held[n] + opening[n] <= settings.max_established());
            prop_assert_eq!(quota.count(endpoint), held[n] + opening[n]);
        }
        for n in 0..4 {
            (0..opening[n]).for_each(|_| quota.given_up(n as u64));
            (0..held[n]).for_each(|_| quota.closed(n as u64));
        }
        prop_assert_eq!(quota.endpoints(), 0);
    }
}
