//! How long a connection is left unused, by what has come late behind responses.

use curlewhub_runtime::reuse_delay::{REUSE_DELAY, ReuseDelay};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes that come later than this behind a response are no copy of it.
const LATEST_COPY: Duration = Duration::from_millis(30);
/// By then a lateness is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(301);

/// Guards against a copy that is later than the delay twice: once one was seen, the delay exceeds it and all that came
/// earlier, until nothing late has come for long.
#[test]
fn the_delay_exceeds_every_late_copy_that_was_seen() {
    for seed in 0..50 {
        let (mut random, delay) = (Pcg32::seed_from_u64(seed), ReuseDelay::default());
        let (mut now, mut latest) = (Instant::now(), Duration::ZERO);
        for _ in 0..200 {
            now += Duration::from_millis(random.random_range(0..500));
            let lateness = Duration::from_micros(random.random_range(0..60_000));
            delay.record_late_bytes(lateness, now);
            latest = if lateness <= LATEST_COPY { latest.max(lateness) } else { latest };
            let current = delay.current(now);
            assert!(
                current >= REUSE_DELAY && current > latest,
                "seed {seed}: {current:?} after {latest:?}"
            );
            assert!(current <= 2 * LATEST_COPY, "seed {seed}: {current:?}");
        }
        assert_eq!(delay.current(now + FORGOTTEN), REUSE_DELAY, "seed {seed}");
    }
}
