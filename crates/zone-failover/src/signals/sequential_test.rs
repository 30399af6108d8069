//! Sequential tests on call outcomes, and sums that decay over time.

use curlewhub_config::fleet::ZoneFailoverConfig;
use std::time::Duration;

/// Upper bound of a statistic, as a multiple of the alarm threshold, so that a recovered zone is recognised soon.
const MAX_STATISTIC_OVER_ALARM: f64 = 1.5;

/// An exponentially decaying sum.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSum {
    pub(super) sum: f64,
    pub(super) updated_at: Duration,
}

impl DecayingSum {
    /// The sum at `now`; it falls to 1/e over `time_constant_s` seconds.
    pub(super) fn value(&self, now: Duration, time_constant_s: f64) -> f64 {
        self.sum * (-now.saturating_sub(self.updated_at).as_secs_f64() / time_constant_s).exp()
    }

    pub(super) fn add(&mut self, now: Duration, amount: f64, time_constant_s: f64) {
        (self.sum, self.updated_at) = (self.value(now, time_constant_s) + amount, now.max(self.updated_at));
    }
}

/// Call outcomes of one digest for one zone pair, capped so that one digest cannot decide a test.
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    pub(super) lost: u32,
    pub(super) answered: u32,
    /// The trailing run of lost calls: how many of `lost` ended after every answered call.
    pub(super) lost_streak: u32,
    /// How many of `answered` were answered with an error.
    pub(super) failed: u32,
}

/// Two CUSUM statistics of the log-likelihood ratio of an unreachable or failing zone against a healthy one.
///
/// Both stay between zero and [`MAX_STATISTIC_OVER_ALARM`] times the alarm threshold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogLikelihoodRatios {
    pub(super) unreachable: f64,
    pub(super) failing: f64,
}

impl LogLikelihoodRatios {
    pub(super) fn update(&mut self, observation: &Observation, settings: &ZoneFailoverConfig) {
        let weight = |bad: u32, good: u32| {
            let (p0, p1) = (settings.healthy_loss, settings.unreachable_loss);
            f64::from(bad) * (p1 / p0).ln() + f64::from(good) * ((1.0 - p1) / (1.0 - p0)).ln()
        };
        let max = settings.alarm_log_likelihood * MAX_STATISTIC_OVER_ALARM;
        let Observation { lost, answered, lost_streak, failed } = *observation;
        // The order of calls is known only in part: a lost streak is the end of its digest.
        self.unreachable = (self.unreachable + weight(lost - lost_streak, answered)).clamp(0.0, max);
        self.unreachable = (self.unreachable + weight(lost_streak, 0)).clamp(0.0, max);
        // A lost call is no evidence for or against error answers.
        self.failing = (self.failing + weight(failed, answered - failed.min(answered))).clamp(0.0, max);
    }

    /// Whether either statistic exceeds `threshold`.
    pub(super) fn exceed(&self, threshold: f64) -> bool {
        self.unreachable > threshold || self.failing > threshold
    }
}
