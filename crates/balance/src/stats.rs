//! Statistics and random numbers: decaying values, latency statistics of a class, and a seeded generator.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// This many first latencies of a class are averaged with equal weights; its mean is not used before.
pub(crate) const MIN_LATENCY_SAMPLES: u32 = 20;
/// Weight of one further latency in the running mean.
const LATENCY_WEIGHT: f64 = 0.05;
/// The baseline follows the mean for this many answers; after that it follows a falling mean at once and a
/// rising one slowly. It is less than twenty because, where each of many balancers has few calls, an
/// overload can form before twenty answers have come, and would be taken for normal.
pub(crate) const BASELINE_SAMPLES: u32 = 5;
/// Seconds in which the baseline rises by two thirds of the way to the mean. The rise depends on time and
/// is slow: otherwise an overload would be taken for normal, the sooner the more calls a balancer has.
const BASELINE_RISE_SECONDS: f64 = 60.0;

/// A value as of `at` that decays exponentially: to about a third (1/e) in each time constant, in seconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct DecayingValue {
    pub(crate) value: f64,
    at: Duration,
}

/// Converts a time to a clock that is ahead by `micros`. Zero means never and stays zero.
pub(crate) fn shifted(at: Duration, micros: i64) -> Duration {
    if at.is_zero() {
        return at;
    }
    let by = Duration::from_micros(micros.unsigned_abs());
    if micros < 0 { at.saturating_sub(by) } else { at.saturating_add(by) }
}

/// The fraction of a value that is left after `seconds`; 1/e after one time constant.
fn decay(seconds: f64, time_constant: f64) -> f64 {
    (-seconds / time_constant).exp()
}

impl DecayingValue {
    pub(crate) fn value_at(&self, now: Duration, time_constant: f64) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * decay(now.saturating_sub(self.at).as_secs_f64(), time_constant)
    }

    pub(crate) fn set(&mut self, now: Duration, value: f64) {
        (self.value, self.at) = (value, now);
    }

    /// The time at which the stored value applies.
    pub(crate) fn at(&self) -> Duration {
        self.at
    }

    /// Converts it to a clock that is ahead by `micros`.
    pub(crate) fn shifted(self, micros: i64) -> Self {
        DecayingValue { at: shifted(self.at, micros), ..self }
    }

    /// Limits its time to now, because the clock may have stepped back between two processes.
    pub(crate) fn clamped_to(self, now: Duration) -> Self {
        DecayingValue { at: self.at.min(now), ..self }
    }

    /// Counts one event. Its value with the same time constant `seconds` is then the rate per second.
    pub(crate) fn count(&mut self, now: Duration, seconds: f64) {
        self.set(now, self.value_at(now, seconds) + 1.0 / seconds);
    }

    /// The rate per second, corrected for a count that began recently.
    pub(crate) fn rate(&self, now: Duration, seconds: f64, began: Duration) -> f64 {
        let age = now.saturating_sub(began).as_secs_f64().max(0.5);
        self.value_at(now, seconds) / (1.0 - decay(age, seconds))
    }
}

/// Running mean of a class's latencies in seconds, and a baseline: the lowest recent mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct LatencyStats {
    pub(crate) mean: f64,
    /// Mean absolute deviation from the mean.
    pub(crate) spread: f64,
    /// The lowest recent mean.
    #[serde(rename = "unhurried")]
    pub(crate) baseline: f64,
    #[serde(rename = "seen")]
    pub(crate) count: u32,
    at: Duration,
}

impl LatencyStats {
    /// Converts it to a clock that is ahead by `micros`.
    pub(crate) fn shifted(self, micros: i64) -> Self {
        LatencyStats { at: shifted(self.at, micros), ..self }
    }

    /// The mean plus `spreads` mean deviations. A deviation counts as at least a quarter of the mean: even
    /// where all latencies are alike, the next may be a little longer.
    pub(crate) fn overdue(&self, spreads: f64) -> Duration {
        Duration::from_secs_f64(self.mean + spreads * self.spread.max(self.mean / 4.0))
    }

    /// Limits the mean to this multiple of the baseline; more is due to an overload.
    pub(crate) fn without_overload(self, now: Duration, multiple: f64) -> Self {
        let mean = self.mean.min(self.baseline * multiple);
        LatencyStats { mean, spread: self.spread.min(mean), at: self.at.min(now), ..self }
    }

    pub(crate) fn add(&mut self, now: Duration, seconds: f64) {
        let retained = decay(now.saturating_sub(self.at).as_secs_f64(), BASELINE_RISE_SECONDS);
        self.at = now;
        let weight =
            if self.count < MIN_LATENCY_SAMPLES { 1.0 / f64::from(self.count + 1) } else { LATENCY_WEIGHT };
        self.count = self.count.saturating_add(1);
        self.spread += weight * ((seconds - self.mean).abs() - self.spread);
        self.mean += weight * (seconds - self.mean);
        self.baseline = self.mean + retained * (self.baseline - self.mean);
        if self.count <= BASELINE_SAMPLES || self.mean < self.baseline {
            self.baseline = self.mean;
        }
    }
}

/// A random number generator with a balancer's own seed.
pub(crate) struct SeededRng(Pcg32);

impl SeededRng {
    pub(crate) fn new(seed: u64) -> Self {
        SeededRng(Pcg32::seed_from_u64(seed))
    }

    /// A uniform draw from `0.0..1.0`.
    pub(crate) fn uniform(&mut self) -> f64 {
        f64::from(self.0.next_u32()) / 4_294_967_296.0
    }

    /// An unbiased draw from `0..n`, by rejection.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        let n = n as u32;
        let limit = u32::MAX - u32::MAX % n;
        loop {
            let draw = self.0.next_u32();
            if draw < limit {
                return (draw % n) as usize;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn counting_at_a_steady_rate_yields_that_rate() {
        let mut count = DecayingValue::default();
        for n in 0..4000 {
            count.count(Duration::from_millis(n * 10), 5.0);
        }
        let rate = count.value_at(Duration::from_secs(40), 5.0);
        assert!((95.0..105.0).contains(&rate), "{rate} a second, not a hundred");
        assert!(count.value_at(Duration::from_secs(45), 5.0) < rate / 2.5, "it decays");
    }

    #[test]
    fn draws_are_uniform_and_repeatable_with_the_seed() {
        let (mut a, mut b, mut counts) = (SeededRng::new(3), SeededRng::new(3), [0; 7]);
        for _ in 0..7000 {
            let draw = a.below(7);
            assert_eq!(draw, b.below(7));
            counts[draw] += 1;
        }
        assert!(counts.iter().all(|n| (880..1120).contains(n)), "{counts:?}");
        assert!((0.0..1.0).contains(&a.uniform()));
    }
}
