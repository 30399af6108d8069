//! Slow start: from when on an endpoint's start is counted, how warm it is, and what it may be sent
//! while it is cold.

use super::*;

/// Share of the multiple at which a cold endpoint falls that all balancers together may use.
const COLD_CAUTION: f64 = 0.5;

impl Balancer {
    /// From when on the start of an endpoint that was not listed is counted; none is stated of one long ago.
    ///
    /// Endpoints' machines have wall clocks of their own, which may be wrong by an hour. Only in the list
    /// held at this process's own start does the stated time count; a start that becomes known later is
    /// new, whatever is stated. From then on its age runs on this process's monotonic clock.
    pub(super) fn cold_from(&self, now: Duration, started: Option<Duration>) -> Option<Duration> {
        started.map(|at| if self.listed { now } else { at.min(now) })
    }

    /// The part of its capacity that an endpoint surely has: it rises evenly from the cold share.
    pub(super) fn warmth(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let Some(from) = endpoint.cold_from.max(endpoint.back) else { return 1.0 };
        let age = now.saturating_sub(from).as_secs_f64() / rules.warm_within.as_secs_f64().max(1e-3);
        (rules.cold_share + (1.0 - rules.cold_share) * age).clamp(0.01, 1.0)
    }

    /// Rule 4: this balancer's part of the multiple at which a cold endpoint falls, by what warm ones serve.
    pub(super) fn cold_tokens(&self, now: Duration, i: usize) -> f64 {
        let rules = &self.settings.rules;
        let endpoint = &self.endpoints[i];
        let caution = COLD_CAUTION * self.share;
        let rate = self.warmth(now, i) * rules.fall_multiple * caution * self.proven_rate(now);
        let most = (rate * rules.fall_after.as_secs_f64() * COLD_CAUTION).max(1.0);
        (endpoint.cold_tokens + rate * now.saturating_sub(endpoint.cold_at).as_secs_f64()).min(most)
    }
}
