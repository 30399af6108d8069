//! Limits on connections, of one sidecar and of hundreds that share an endpoint.

use curlewhub_connection_quota::*;
use proptest::prelude::*;
use std::time::Duration;

const ENDPOINT: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Opens a connection if the quota admits it, and returns whether it did.
fn open(quota: &mut ConnectionQuota, now: Duration) -> bool {
    let admitted = quota.ask(now, ENDPOINT) == Admission::Open;
    if admitted {
        quota.opened(ENDPOINT);
    }
    admitted
}

#[test]
fn each_sidecar_gets_its_fraction_of_the_accepted_connections_and_at_least_one() {
    for (sidecars, accepts, fraction) in [(1, 12, 12), (4, 12, 3), (5, 12, 2), (300, 12, 1), (0, 12, 12)] {
        let mut quota = ConnectionQuota::new(QuotaSettings { sidecars, accepts: Some(accepts) }, 1);
        let opened = (0..100).filter(|_| open(&mut quota, ms(0))).count();
        assert_eq!(opened, fraction, "{sidecars} sidecars");
        assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Full);
        quota.closed(ENDPOINT);
        assert!(open(&mut quota, ms(0)));
    }
    assert_eq!(QuotaSettings { sidecars: 300, accepts: Some(30) }.kept(ms(20_000)), ms(2000));
    assert_eq!(QuotaSettings { sidecars: 3, accepts: Some(30) }.kept(ms(20_000)), ms(20_000));
}

#[test]
fn pending_connects_are_limited_to_the_fraction_of_each_sidecar() {
    for (sidecars, max_pending) in [(1, 64), (10, 6), (300, 1)] {
        let mut quota = ConnectionQuota::new(QuotaSettings { sidecars, accepts: None }, 1);
        let admitted = (0..100).filter(|_| quota.ask(ms(0), ENDPOINT) == Admission::Open).count();
        assert_eq!(admitted, max_pending);
        assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Wait);
        quota.given_up(ENDPOINT);
        assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Open);
        assert_eq!(
            quota.ask(ms(0), ENDPOINT + 1),
            Admission::Open,
            "another endpoint has a limit of its own"
        );
    }
}

#[test]
fn a_refusal_means_a_full_endpoint_only_while_a_connection_is_established() {
    let mut quota = ConnectionQuota::new(QuotaSettings { sidecars: 9, accepts: None }, 1);
    assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Open);
    assert_eq!(quota.refused(ms(0), ENDPOINT), Refusal::Unknown);
    assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Open, "no backoff after an unknown refusal");
    quota.opened(ENDPOINT);
    assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Open);
    assert_eq!(quota.refused(ms(0), ENDPOINT), Refusal::Full);
    assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Full);
    assert_eq!(
        quota.ask(ms(0) + INITIAL_BACKOFF, ENDPOINT),
        Admission::Open,
        "one more is tried after the backoff"
    );
    quota.opened(ENDPOINT);
    assert_eq!(
        quota.ask(ms(0) + INITIAL_BACKOFF, ENDPOINT),
        Admission::Open,
        "and the next one, as that was accepted"
    );
    quota.given_up(ENDPOINT);
    (0..2).for_each(|_| quota.closed(ENDPOINT));
    assert_eq!(quota.endpoints(), 0, "the learned limit is dropped with the last connection");
    assert_eq!(quota.ask(ms(0), ENDPOINT), Admission::Open);
}

/// The number of connects in the busiest second after the first two, where an endpoint accepts a hundred connections and a
/// hundred sidecars, with one connection each, ask for another every 100 ms for a minute. Without `backoff` each asks as if
/// its wait were over.
fn busiest_second(backoff: bool) -> usize {
    let accepts = 100;
    let settings = QuotaSettings { sidecars: 300, accepts: None };
    let mut all: Vec<ConnectionQuota> = (0..300).map(|seed| ConnectionQuota::new(settings, seed)).collect();
    let mut established = 0;
    let mut connects = vec![0; 60];
    for quota in all.iter_mut().take(accepts) {
        established += usize::from(open(quota, ms(0)));
    }
    assert_eq!(established, accepts);
    for step in 0..600u64 {
        let now = ms(step * 100);
        for quota in all.iter_mut().take(accepts) {
            let asked =
                if backoff { quota.ask(now, ENDPOINT) } else { quota.ask(now + MAX_BACKOFF * 2, ENDPOINT) };
            if asked == Admission::Open {
                connects[(step / 10) as usize] += 1;
                assert_eq!(quota.refused(now, ENDPOINT), Refusal::Full);
            }
        }
    }
    connects[2..].iter().copied().max().unwrap()
}

#[test]
fn the_retries_of_sidecars_refused_together_are_spread() {
    // A hundred sidecars ask ten times a second.
    assert_eq!(busiest_second(false), 1000);
    let spread = busiest_second(true);
    assert!(spread < 120, "{spread} connects in a second");
}

proptest! {
    #[test]
    fn limits_hold_for_any_order_of_events_and_no_entry_is_left(
        sidecars in 0u32..20,
        accepts in proptest::option::of(0u32..40),
        seed: u64,
        steps in proptest::collection::vec((0u8..5, 0u64..4, 0u64..2000), 0..300),
    ) {
        let settings = QuotaSettings { sidecars, accepts };
        let (mut quota, mut now) = (ConnectionQuota::new(settings, seed), ms(0));
        let (mut established, mut pending) = ([0u32; 4], [0u32; 4]);
        for (event, endpoint, elapsed_ms) in steps {
            let n = endpoint as usize;
            now += ms(elapsed_ms);
            match event {
                0 => pending[n] += u32::from(quota.ask(now, endpoint) == Admission::Open),
                1 if pending[n] > 0 => {
                    quota.opened(endpoint);
                    (pending[n], established[n]) = (pending[n] - 1, established[n] + 1);
                }
                2 if pending[n] > 0 => {
                    let full = quota.refused(now, endpoint) == Refusal::Full;
                    prop_assert_eq!(full, established[n] > 0);
                    pending[n] -= 1;
                }
                3 if pending[n] > 0 => {
                    quota.given_up(endpoint);
                    pending[n] -= 1;
                }
                4 if established[n] > 0 => {
                    quota.closed(endpoint);
                    established[n] -= 1;
                }
                _ => {}
            }
            prop_assert!(pending[n] <= settings.max_pending());
            prop_assert!(established[n] + pending[n] <= settings.max_established());
            prop_assert_eq!(quota.count(endpoint), established[n] + pending[n]);
        }
        for n in 0..4 {
            (0..pending[n]).for_each(|_| quota.given_up(n as u64));
            (0..established[n]).for_each(|_| quota.closed(n as u64));
        }
        prop_assert_eq!(quota.endpoints(), 0);
    }
}
