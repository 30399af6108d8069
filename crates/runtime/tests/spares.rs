//! An additional connection to an endpoint is opened only after requests have waited there for long enough.

use curlewhub_balance::EndpointId;
use curlewhub_runtime::reuse_delay::REUSE_DELAY;
use curlewhub_runtime::spares::{FIRST_PRICE, PRICE, SpareConnections};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

const ONE: EndpointId = EndpointId(1);
const OTHER: EndpointId = EndpointId(2);

#[test]
fn a_connection_is_opened_as_soon_as_the_waits_add_up_to_its_price() {
    for seed in 0..20 {
        let mut random = Pcg32::seed_from_u64(seed);
        let (mut spares, mut waited, mut opened) = (SpareConnections::default(), Duration::ZERO, 0);
        for _ in 0..1000 {
            let wait = REUSE_DELAY.mul_f64(random.random());
            waited += wait;
            opened += u32::from(spares.record_wait(ONE, wait));
            let price = |count: u32| match count {
                0 => Duration::ZERO,
                _ => FIRST_PRICE + PRICE * (count - 1),
            };
            assert!(waited >= price(opened), "seed {seed}: {opened} for {waited:?}");
            // For each connection, what the last wait exceeded the price by is lost: less than one
            // `REUSE_DELAY`.
            assert!(
                waited < price(opened + 1) + REUSE_DELAY * opened,
                "seed {seed}: {opened} for {waited:?}"
            );
        }
    }
}

#[test]
fn the_first_connection_takes_ten_waits_of_a_full_reuse_delay_and_each_further_one_a_single_wait() {
    let mut spares = SpareConnections::default();
    let opened_at: Vec<usize> = (1..=16).filter(|_| spares.record_wait(ONE, REUSE_DELAY)).collect();
    assert_eq!(opened_at, [10, 11, 12, 13, 14, 15, 16]);
}

#[test]
fn waits_are_counted_per_endpoint_and_reset_when_it_is_forgotten() {
    let mut spares = SpareConnections::default();
    let just_below = FIRST_PRICE - Duration::from_millis(1);
    assert!(!spares.record_wait(ONE, just_below) && !spares.record_wait(OTHER, just_below));
    spares.forget(ONE);
    assert_eq!(spares.len(), 1);
    assert!(!spares.record_wait(ONE, just_below));
    assert!(spares.record_wait(OTHER, just_below));
    spares.forget(ONE);
    spares.forget(OTHER);
    assert!(spares.is_empty());
}
