//! What may go into zones, as is decided elsewhere: by a fleet, or by nobody. Holds it and counts, and decides nothing.

use crate::types::{ZoneAdmission, ZoneId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Calls that a rate saves up, in seconds of it; one at the least.
const SAVES_S: f64 = 0.25;
/// Spreads what has no order evenly over 0 to 1.
const GOLDEN: f64 = 0.618_033_988_749_895;

#[derive(Clone, Copy)]
struct Held {
    right: ZoneAdmission,
    /// Calls that its rate allows as of `at`.
    tokens: f64,
    at: Duration,
}

/// Zones that not everything may go into; all others are open.
#[derive(Default)]
pub(crate) struct Zones(BTreeMap<ZoneId, Held>);

impl Zones {
    /// These rights hold from now on, and no others; zones that have just become dark. A rate that begins has `first` of a
    /// call saved up: many that begin at once must not send their first calls at once.
    pub(crate) fn set(
        &mut self,
        now: Duration,
        rights: Vec<(ZoneId, ZoneAdmission)>,
        first: f64,
    ) -> Vec<ZoneId> {
        let before = std::mem::take(&mut self.0);
        let mut dark = Vec::new();
        for (zone, right) in rights.into_iter().filter(|(_, right)| *right != ZoneAdmission::Open) {
            let known = before.get(&zone);
            let saved = known.filter(|held| matches!(held.right, ZoneAdmission::Rate { .. }));
            let tokens = saved.map_or(first, |held| held.tokens(now));
            if right == ZoneAdmission::Unreachable
                && known.is_none_or(|held| held.right != ZoneAdmission::Unreachable)
            {
                dark.push(zone);
            }
            self.0.insert(zone, Held { right, tokens, at: now });
        }
        dark
    }

    /// Whether anything at all may go there, now or later.
    pub(crate) fn is_open(&self, zone: ZoneId) -> bool {
        self.0
            .get(&zone)
            .is_none_or(|held| !matches!(held.right, ZoneAdmission::Closed | ZoneAdmission::Unreachable))
    }

    /// Whether one more call may go there now, for a request that came then.
    pub(crate) fn may(&self, now: Duration, zone: ZoneId, came: Duration) -> bool {
        let Some(held) = self.0.get(&zone) else { return true };
        match held.right {
            ZoneAdmission::Open => true,
            // The same for each attempt of a request, and evenly spread over requests.
            ZoneAdmission::Fraction(part) => (came.as_nanos() as f64 * GOLDEN).fract() < part,
            ZoneAdmission::Rate { until, .. } => now < until && held.tokens(now) >= 1.0,
            ZoneAdmission::Closed | ZoneAdmission::Unreachable => false,
        }
    }

    /// One more has gone there.
    pub(crate) fn sent(&mut self, now: Duration, zone: ZoneId) {
        if let Some(held) = self.0.get_mut(&zone) {
            (held.tokens, held.at) = (held.tokens(now) - 1.0, now);
        }
    }
}

impl Held {
    fn tokens(&self, now: Duration) -> f64 {
        let ZoneAdmission::Rate { per_s, until } = self.right else { return self.tokens };
        let since = now.min(until).saturating_sub(self.at).as_secs_f64();
        (self.tokens + per_s * since).min((per_s * SAVES_S).max(1.0))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Duration = Duration::from_secs(1);

    #[test]
    fn a_rate_lets_so_many_go_and_none_once_it_has_ended() {
        let (mut zones, zone) = (Zones::default(), ZoneId(1));
        let rate = |until| vec![(zone, ZoneAdmission::Rate { per_s: 10.0, until })];
        zones.set(S * 100, rate(S * 103), 0.0);
        let mut sent = 0;
        for ms in 0..5_000 {
            let now = S * 100 + Duration::from_millis(ms);
            if ms == 1000 {
                zones.set(now, rate(S * 104), 0.9); // renewed: what was saved stays, and is not begun anew
            }
            if zones.may(now, zone, now) {
                zones.sent(now, zone);
                sent += 1;
            }
        }
        assert_eq!(sent, 39, "ten a second for four seconds, the first after a tenth");
        // A minute later, with nothing renewed: not one.
        assert!(!zones.may(S * 170, zone, S * 170) && zones.is_open(zone));
    }

    #[test]
    fn a_part_is_a_part_of_the_requests_and_dark_is_told_once() {
        let (mut zones, zone) = (Zones::default(), ZoneId(2));
        assert!(zones.may(S, zone, S), "what nothing is said of is open");
        zones.set(S, vec![(zone, ZoneAdmission::Fraction(0.25))], 0.5);
        let may = (0..10_000).filter(|n| zones.may(S, zone, Duration::from_micros(n * 137))).count();
        assert!((2400..2600).contains(&may), "{may}");
        let dark = || vec![(zone, ZoneAdmission::Unreachable), (ZoneId(3), ZoneAdmission::Closed)];
        assert_eq!(zones.set(S, dark(), 0.5), [zone]);
        assert!(zones.set(S, dark(), 0.5).is_empty());
        assert!(!zones.is_open(zone) && !zones.may(S, ZoneId(3), S) && zones.is_open(ZoneId(4)));
        zones.set(S, vec![(zone, ZoneAdmission::Open)], 0.5);
        assert!(zones.may(S, zone, S) && zones.is_open(ZoneId(3)));
    }
}
