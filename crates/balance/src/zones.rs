//! Holds what may be sent to each zone and counts what is sent. The limits themselves are decided
//! elsewhere, by the fleet if there is one.

use crate::types::{ZoneAdmission, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A rate accumulates the calls of this many seconds, at least one call.
const BURST_SECONDS: f64 = 0.25;
/// The fractional part of the golden ratio. Its multiples, modulo 1, are spread evenly over 0 to 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

#[derive(Clone, Copy)]
struct Limit {
    admission: ZoneAdmission,
    /// Calls that its rate allows as of `tokens_at`.
    tokens: f64,
    tokens_at: Duration,
}

/// The zones with limits; all others are open.
#[derive(Default)]
pub(crate) struct ZoneLimits(BTreeMap<ZoneId, Limit>);

impl ZoneLimits {
    /// Replaces all limits. Returns the zones that have just become unreachable. A new rate starts with
    /// `initial_tokens` of a call, so that many balancers that start one together don't all send a call at
    /// once.
    pub(crate) fn set(
        &mut self,
        now: Duration,
        admissions: Vec<(ZoneId, ZoneAdmission)>,
        initial_tokens: f64,
    ) -> Vec<ZoneId> {
        let previous = std::mem::take(&mut self.0);
        let mut unreachable = Vec::new();
        for (zone, admission) in
            admissions.into_iter().filter(|(_, admission)| *admission != ZoneAdmission::Open)
        {
            let known = previous.get(&zone);
            let saved = known.filter(|limit| matches!(limit.admission, ZoneAdmission::Rate { .. }));
            let tokens = saved.map_or(initial_tokens, |limit| limit.tokens(now));
            if admission == ZoneAdmission::Unreachable
                && known.is_none_or(|limit| limit.admission != ZoneAdmission::Unreachable)
            {
                unreachable.push(zone);
            }
            self.0.insert(zone, Limit { admission, tokens, tokens_at: now });
        }
        unreachable
    }

    /// Whether anything may be sent to a zone, now or later.
    pub(crate) fn is_open(&self, zone: ZoneId) -> bool {
        self.0.get(&zone).is_none_or(|limit| {
            !matches!(limit.admission, ZoneAdmission::Closed | ZoneAdmission::Unreachable)
        })
    }

    /// Whether one more call may be sent to a zone now, for a request with this arrival time.
    pub(crate) fn admits(&self, now: Duration, zone: ZoneId, arrived: Duration) -> bool {
        let Some(limit) = self.0.get(&zone) else { return true };
        match limit.admission {
            ZoneAdmission::Open => true,
            // Gives the same result for each attempt of a request and is evenly spread over requests.
            ZoneAdmission::Fraction(fraction) => {
                (arrived.as_nanos() as f64 * GOLDEN_RATIO_FRACTION).fract() < fraction
            }
            ZoneAdmission::Rate { until, .. } => now < until && limit.tokens(now) >= 1.0,
            ZoneAdmission::Closed | ZoneAdmission::Unreachable => false,
        }
    }

    /// Counts a call that was sent to a zone.
    pub(crate) fn record_send(&mut self, now: Duration, zone: ZoneId) {
        if let Some(limit) = self.0.get_mut(&zone) {
            (limit.tokens, limit.tokens_at) = (limit.tokens(now) - 1.0, now);
        }
    }
}

impl Limit {
    fn tokens(&self, now: Duration) -> f64 {
        let ZoneAdmission::Rate { per_s, until } = self.admission else { return self.tokens };
        let since = now.min(until).saturating_sub(self.tokens_at).as_secs_f64();
        (self.tokens + per_s * since).min((per_s * BURST_SECONDS).max(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    #[test]
    fn a_rate_admits_its_calls_per_second_until_it_expires() {
        let (mut zones, zone) = (ZoneLimits::default(), ZoneId(1));
        let rate = |until| vec![(zone, ZoneAdmission::Rate { per_s: 10.0, until })];
        zones.set(S * 100, rate(S * 103), 0.0);
        let mut sent = 0;
        for ms in 0..5_000 {
            let now = S * 100 + Duration::from_millis(ms);
            if ms == 1000 {
                zones.set(now, rate(S * 104), 0.9); // renewed: the accumulated tokens stay
            }
            if zones.admits(now, zone, now) {
                zones.record_send(now, zone);
                sent += 1;
            }
        }
        assert_eq!(sent, 39, "ten a second for four seconds, the first after 0.1 s");
        // A minute after it expired without renewal it admits none.
        assert!(!zones.admits(S * 170, zone, S * 170) && zones.is_open(zone));
    }

    #[test]
    fn a_fraction_admits_that_share_and_an_unreachable_zone_is_returned_once() {
        let (mut zones, zone) = (ZoneLimits::default(), ZoneId(2));
        assert!(zones.admits(S, zone, S), "a zone without a limit is open");
        zones.set(S, vec![(zone, ZoneAdmission::Fraction(0.25))], 0.5);
        let admitted =
            (0..10_000).filter(|n| zones.admits(S, zone, Duration::from_micros(n * 137))).count();
        assert!((2400..2600).contains(&admitted), "{admitted}");
        let unreachable = || vec![(zone, ZoneAdmission::Unreachable), (ZoneId(3), ZoneAdmission::Closed)];
        assert_eq!(zones.set(S, unreachable(), 0.5), [zone]);
        assert!(zones.set(S, unreachable(), 0.5).is_empty());
        assert!(!zones.is_open(zone) && !zones.admits(S, ZoneId(3), S) && zones.is_open(ZoneId(4)));
        zones.set(S, vec![(zone, ZoneAdmission::Open)], 0.5);
        assert!(zones.admits(S, zone, S) && zones.is_open(ZoneId(3)));
    }
}
