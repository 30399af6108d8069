//! Slow start: since when an endpoint counts as started, how warm it is, and what it may be sent while
//! cold.

use super::*;

/// Share of the multiple at which a cold endpoint falls over that all balancers together may use.
const COLD_SAFETY_FACTOR: f64 = 0.5;

impl Balancer {
    /// Since when a newly listed endpoint counts as started; none if it started long ago.
    ///
    /// The machines of endpoints have wall clocks of their own, which may be wrong by an hour. Only in the
    /// list held at this process's own start does the stated time count; a start that becomes known later
    /// is new, whatever time is stated. From then on its age is measured on this process's monotonic clock.
    pub(super) fn cold_since(&self, now: Duration, started: Option<Duration>) -> Option<Duration> {
        started.map(|at| if self.nonempty_list_received { now } else { at.min(now) })
    }

    /// The fraction of its capacity that an endpoint surely has: it rises linearly from the cold share.
    pub(super) fn warm_fraction(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let Some(from) = endpoint.cold_since.max(endpoint.reinstated_at) else { return 1.0 };
        let age = now.saturating_sub(from).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Rule 4: this balancer's share of the rate at which a cold endpoint falls over, judged by what warm
    /// ones serve.
    pub(super) fn cold_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let safety = COLD_SAFETY_FACTOR * self.share;
        let rate = self.warm_fraction(now, i) * rules.fall_multiple * safety * self.warm_endpoint_rate(now);
        let most = (rate * rules.fall_after.as_secs_f64() * COLD_SAFETY_FACTOR).max(1.0);
        (endpoint.cold_tokens + rate * now.saturating_sub(endpoint.cold_tokens_at).as_secs_f64()).min(most)
    }
}
