//! Connection limits of one sidecar, and of hundreds of sidecars that share an endpoint.

use curlewhub_connection_quota::*;
use proptest::prelude::*;
use std::time::Duration;

const ENDPOINT: u64 = 7;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Opens a connection if the quota admits it, and returns whether it did.
fn open(quota: &mut ConnectionQuota, now: Duration) -> bool {
    let admitted = quota.admit(now, ENDPOINT) == Admission::Open;
    if admitted {
        quota.connect_succeeded(ENDPOINT);
    }
    admitted
}

#[test]
fn each_sidecar_gets_its_fraction_of_the_accepted_connections_and_at_least_one() {
    for (sidecars, endpoint_limit, fraction) in
        [(1, 12, 12), (4, 12, 3), (5, 12, 2), (300, 12, 1), (0, 12, 12)]
    {
        let mut quota =
            ConnectionQuota::new(QuotaSettings { sidecars, endpoint_limit: Some(endpoint_limit) }, 1);
        let opened = (0..100).filter(|_| open(&mut quota, ms(0))).count();
        assert_eq!(opened, fraction, "{sidecars} sidecars");
        assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Full);
        quota.connection_closed(ENDPOINT);
        assert!(open(&mut quota, ms(0)));
    }
    assert_eq!(
        QuotaSettings { sidecars: 300, endpoint_limit: Some(30) }.idle_timeout(ms(20_000)),
        ms(2000)
    );
    assert_eq!(
        QuotaSettings { sidecars: 3, endpoint_limit: Some(30) }.idle_timeout(ms(20_000)),
        ms(20_000)
    );
}

#[test]
fn pending_connects_are_limited_to_the_fraction_of_each_sidecar() {
    for (sidecars, max_pending) in [(1, 64), (10, 6), (300, 1)] {
        let mut quota = ConnectionQuota::new(QuotaSettings { sidecars, endpoint_limit: None }, 1);
        let admitted = (0..100).filter(|_| quota.admit(ms(0), ENDPOINT) == Admission::Open).count();
        assert_eq!(admitted, max_pending);
        assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Wait);
        quota.connect_failed(ENDPOINT);
        assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Open);
        assert_eq!(
            quota.admit(ms(0), ENDPOINT + 1),
            Admission::Open,
            "another endpoint has a limit of its own"
        );
    }
}

#[test]
fn a_refusal_means_a_full_endpoint_only_while_a_connection_is_established() {
    let mut quota = ConnectionQuota::new(QuotaSettings { sidecars: 9, endpoint_limit: None }, 1);
    assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Open);
    assert_eq!(quota.connect_refused(ms(0), ENDPOINT), Refusal::Unknown);
    assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Open, "no backoff after an unknown refusal");
    quota.connect_succeeded(ENDPOINT);
    assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Open);
    assert_eq!(quota.connect_refused(ms(0), ENDPOINT), Refusal::Full);
    assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Full);
    assert_eq!(
        quota.admit(ms(0) + INITIAL_BACKOFF, ENDPOINT),
        Admission::Open,
        "one more is tried after the backoff"
    );
    quota.connect_succeeded(ENDPOINT);
    assert_eq!(
        quota.admit(ms(0) + INITIAL_BACKOFF, ENDPOINT),
        Admission::Open,
        "and the next one, as that was accepted"
    );
    quota.connect_failed(ENDPOINT);
    (0..2).for_each(|_| quota.connection_closed(ENDPOINT));
    assert_eq!(quota.endpoints(), 0, "the learned limit is dropped with the last connection");
    assert_eq!(quota.admit(ms(0), ENDPOINT), Admission::Open);
}

/// Returns the number of connects in the busiest second, not counting the first two. An endpoint accepts a hundred
/// connections, and a hundred sidecars with one connection each ask for another every 100 ms for a minute.
/// Without `backoff` each asks as if its backoff were over.
fn busiest_second(backoff: bool) -> usize {
    let endpoint_limit = 100;
    let settings = QuotaSettings { sidecars: 300, endpoint_limit: None };
    let mut all: Vec<ConnectionQuota> = (0..300).map(|seed| ConnectionQuota::new(settings, seed)).collect();
    let mut established = 0;
    let mut connects = vec![0; 60];
    for quota in all.iter_mut().take(endpoint_limit) {
        established += usize::from(open(quota, ms(0)));
    }
    assert_eq!(established, endpoint_limit);
    for step in 0..600u64 {
        let now = ms(step * 100);
        for quota in all.iter_mut().take(endpoint_limit) {
            let asked = if backoff {
                quota.admit(now, ENDPOINT)
            } else {
                quota.admit(now + MAX_BACKOFF * 2, ENDPOINT)
            };
            if asked == Admission::Open {
                connects[(step / 10) as usize] += 1;
                assert_eq!(quota.connect_refused(now, ENDPOINT), Refusal::Full);
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
        endpoint_limit in proptest::option::of(0u32..40),
        seed: u64,
        steps in proptest::collection::vec((0u8..5, 0u64..4, 0u64..2000), 0..300),
    ) {
        let settings = QuotaSettings { sidecars, endpoint_limit };
        let (mut quota, mut now) = (ConnectionQuota::new(settings, seed), ms(0));
        let (mut established, mut pending) = ([0u32; 4], [0u32; 4]);
        for (event, endpoint, elapsed_ms) in steps {
            let n = endpoint as usize;
            now += ms(elapsed_ms);
            match event {
                0 => pending[n] += u32::from(quota.admit(now, endpoint) == Admission::Open),
                1 if pending[n] > 0 => {
                    quota.connect_succeeded(endpoint);
                    (pending[n], established[n]) = (pending[n] - 1, established[n] + 1);
                }
                2 if pending[n] > 0 => {
                    let full = quota.connect_refused(now, endpoint) == Refusal::Full;
                    prop_assert_eq!(full, established[n] > 0);
                    pending[n] -= 1;
                }
                3 if pending[n] > 0 => {
                    quota.connect_failed(endpoint);
                    pending[n] -= 1;
                }
                4 if established[n] > 0 => {
                    quota.connection_closed(endpoint);
                    established[n] -= 1;
                }
                _ => {}
            }
            prop_assert!(pending[n] <= settings.max_pending());
            prop_assert!(established[n] + pending[n] <= settings.max_established());
            prop_assert_eq!(quota.count(endpoint), established[n] + pending[n]);
        }
        for n in 0..4 {
            (0..pending[n]).for_each(|_| quota.connect_failed(n as u64));
            (0..established[n]).for_each(|_| quota.connection_closed(n as u64));
        }
        prop_assert_eq!(quota.endpoints(), 0);
    }
}
