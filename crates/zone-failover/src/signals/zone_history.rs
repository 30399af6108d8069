//! Rates and latencies of one zone, as seen by all its callers together.

use super::sequential_test::{DecayingSum, LogLikelihoodRatios};
use super::{RATE_TIME_CONSTANT_S, ZoneStatistics};
use curlewhub_control_plane::evidence::CallCounts;
use std::time::Duration;

/// Time constant of the share of calls that is lost at present, in seconds.
const LOSS_TIME_CONSTANT_S: f64 = 0.5;
/// Time constant of the baseline, in seconds of healthy service; a fault must not change it.
const BASELINE_TIME_CONSTANT_S: f64 = 30.0;
/// Time constant of the peak rate, in seconds.
const PEAK_TIME_CONSTANT_S: f64 = 4.0 * 3600.0;
/// Time constants of service after which a rate counts for the peak.
const MIN_PEAK_TIME_CONSTANTS: f64 = 3.0;
/// Calls that take this multiple of the baseline do not count for the baseline.
const MAX_BASELINE_SLOWDOWN: f64 = 2.0;
/// Lowest baseline that [`MAX_BASELINE_SLOWDOWN`] applies to.
const MIN_BASELINE_LATENCY_RATIO: f64 = 0.1;
/// Expected latencies, in milliseconds, up to which a latency ratio is taken as 1.
const MIN_EXPECTED_MS: f64 = 0.01;
/// Calls below which a baseline takes in calls of any latency.
const MIN_BASELINE_CALLS: f64 = 10.0;
/// Seconds between two digests beyond which the gap does not count as time of service.
const MAX_BASELINE_GAP_S: f64 = 2.0;
/// Shortest time that a rate is divided by, in seconds.
const MIN_RATE_INTERVAL_S: f64 = 0.25;

/// Rates and latencies of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ZoneHistory {
    /// Sequential tests over the calls of all zones: a pair alone may have too few calls for an early alarm.
    pub(super) ratios: LogLikelihoodRatios,
    served: DecayingSum,
    took_ms: DecayingSum,
    expected_ms: DecayingSum,
    lost: DecayingSum,
    rejected: DecayingSum,
    recently_answered: DecayingSum,
    recently_lost: DecayingSum,
    /// Highest rate of served calls while healthy, in calls a second.
    peak_per_s: DecayingSum,
    baseline_served: DecayingSum,
    /// Seconds of service that the baseline covers.
    baseline_seconds: DecayingSum,
    baseline_updated_at: Duration,
    baseline_took_ms: DecayingSum,
    baseline_expected_ms: DecayingSum,
    first_seen: Option<Duration>,
}

impl ZoneHistory {
    /// Takes in the calls of one digest; `healthy` if the zone pair that they belong to is not suspect.
    pub(super) fn record(&mut self, now: Duration, calls: &CallCounts, healthy: bool) {
        self.first_seen.get_or_insert(now);
        let answered = calls.total().saturating_sub(calls.lost());
        self.served.add(now, f64::from(calls.served), RATE_TIME_CONSTANT_S);
        self.took_ms.add(now, f64::from(calls.took_ms), RATE_TIME_CONSTANT_S);
        self.expected_ms.add(now, f64::from(calls.expected_ms), RATE_TIME_CONSTANT_S);
        self.lost.add(now, f64::from(calls.lost()), RATE_TIME_CONSTANT_S);
        self.recently_answered.add(now, f64::from(answered), LOSS_TIME_CONSTANT_S);
        self.recently_lost.add(now, f64::from(calls.lost()), LOSS_TIME_CONSTANT_S);
        self.rejected.add(now, f64::from(calls.rejected), RATE_TIME_CONSTANT_S);
        if healthy && self.observed_s(now) >= RATE_TIME_CONSTANT_S * MIN_PEAK_TIME_CONSTANTS {
            let rate = self.served.value(now, RATE_TIME_CONSTANT_S) / RATE_TIME_CONSTANT_S;
            let peak = self.peak_per_s.value(now, PEAK_TIME_CONSTANT_S).max(rate);
            self.peak_per_s = DecayingSum { sum: peak, updated_at: now };
        }
        self.update_baseline(now, calls, healthy);
    }

    fn update_baseline(&mut self, now: Duration, calls: &CallCounts, healthy: bool) {
        let served = f64::from(calls.served);
        let (took_ms, expected_ms) = (f64::from(calls.took_ms), f64::from(calls.expected_ms));
        let latency_ratio = if self.baseline_expected_ms.sum > 0.0 {
            self.baseline_took_ms.sum / self.baseline_expected_ms.sum
        } else {
            1.0
        };
        let is_usual = took_ms
            <= expected_ms * latency_ratio.max(MIN_BASELINE_LATENCY_RATIO) * MAX_BASELINE_SLOWDOWN
            || self.baseline_served.sum < MIN_BASELINE_CALLS;
        let gap_s = now.saturating_sub(self.baseline_updated_at).as_secs_f64();
        self.baseline_updated_at = now;
        if healthy && served > 0.0 && is_usual {
            let covered_s = if gap_s > MAX_BASELINE_GAP_S { 0.0 } else { gap_s };
            self.baseline_seconds.add(now, covered_s, BASELINE_TIME_CONSTANT_S);
            self.baseline_served.add(now, served, BASELINE_TIME_CONSTANT_S);
            self.baseline_took_ms.add(now, took_ms, BASELINE_TIME_CONSTANT_S);
            self.baseline_expected_ms.add(now, expected_ms, BASELINE_TIME_CONSTANT_S);
        }
    }

    /// Seconds since the first digest.
    fn observed_s(&self, now: Duration) -> f64 {
        self.first_seen.map_or(0.0, |at| now.saturating_sub(at).as_secs_f64())
    }

    pub(super) fn statistics(&self, now: Duration) -> ZoneStatistics {
        let value = |sum: DecayingSum| sum.value(now, RATE_TIME_CONSTANT_S);
        // The weight of a decaying sum approaches its time constant only after a while.
        let weight_s = RATE_TIME_CONSTANT_S * (1.0 - (-self.observed_s(now) / RATE_TIME_CONSTANT_S).exp());
        let per_s = |sum: DecayingSum| value(sum) / weight_s.max(MIN_RATE_INTERVAL_S);
        let ratio =
            |took: f64, expected: f64| if expected > MIN_EXPECTED_MS { took / expected } else { 1.0 };
        // The baseline is not read as of `now`: it changes with later calls and not with time.
        let baseline_s = self.baseline_seconds.sum.max(MIN_RATE_INTERVAL_S);
        ZoneStatistics {
            calls_per_s: per_s(self.served),
            latency_ratio: ratio(value(self.took_ms), value(self.expected_ms)),
            lost_per_s: per_s(self.lost),
            lost_share: self.lost_share(now),
            rejected_per_s: per_s(self.rejected),
            peak_per_s: self.peak_per_s.value(now, PEAK_TIME_CONSTANT_S),
            baseline_per_s: self.baseline_served.sum / baseline_s,
            baseline_latency_ratio: ratio(self.baseline_took_ms.sum, self.baseline_expected_ms.sum),
        }
    }

    fn lost_share(&self, now: Duration) -> f64 {
        let answered = self.recently_answered.value(now, LOSS_TIME_CONSTANT_S);
        let lost = self.recently_lost.value(now, LOSS_TIME_CONSTANT_S);
        if answered + lost > 0.0 { lost / (answered + lost) } else { 0.0 }
    }
}
