//! What each tenant uses of its allowance, with the median at hand. Decides nothing.
//!
//! Rates fade by the same factor at any time, so their order changes only where one is counted. The order is that
//! of `ln(rate / allowance) + (at - origin) / third`: the logarithm of what the rate would have been at the origin. It
//! does not overflow. Ten days from the origin it still tells rates apart that differ by a part in ten billion; from
//! the year 1970, where the sidecar's clock begins, it would not tell parts in ten million.

use crate::stats::Fading;
use ordered_float::OrderedFloat;
use std::collections::BTreeSet;
use std::time::Duration;

/// Less than any allowance: none divides by zero.
const ALLOWANCE_LEAST: f64 = 1e-9;

/// A tenant by its rank, and by its number among equals.
type Ranked = (OrderedFloat<f64>, usize);

/// Rates of tenants. Counting one takes time in proportion to the logarithm of how many there are.
pub(crate) struct Uses {
    /// Seconds in which a rate falls to a third.
    third: f64,
    /// When counting began.
    origin: Duration,
    allowances: Vec<f64>,
    rates: Vec<Fading>,
    /// The lower half, the median its greatest.
    low: BTreeSet<Ranked>,
    high: BTreeSet<Ranked>,
}

impl Uses {
    /// Tenants of these allowances a second that have used nothing yet.
    pub(crate) fn new(allowances: impl Iterator<Item = f64>, third: f64, origin: Duration) -> Self {
        let allowances: Vec<f64> = allowances.map(|allowance| allowance.max(ALLOWANCE_LEAST)).collect();
        let rates = vec![Fading::default(); allowances.len()];
        let mut uses =
            Uses { third, origin, allowances, rates, low: BTreeSet::new(), high: BTreeSet::new() };
        uses.rank_all();
        uses
    }

    /// The rates, by tenant.
    pub(crate) fn rates(&self) -> &[Fading] {
        &self.rates
    }

    /// Takes other rates of the same tenants.
    pub(crate) fn set(&mut self, rates: Vec<Fading>) {
        debug_assert_eq!(rates.len(), self.allowances.len());
        self.rates = rates;
        self.rank_all();
    }

    /// Counts one of a tenant's; false where there is no such tenant.
    pub(crate) fn count(&mut self, now: Duration, tenant: usize) -> bool {
        if tenant >= self.rates.len() {
            return false;
        }
        let old = self.ranked(tenant);
        self.rates[tenant].count(now, self.third);
        let new = self.ranked(tenant);
        if !self.low.remove(&old) {
            self.high.remove(&old);
        }
        // The order between the halves is what counts; then their sizes are put right.
        if self.high.first().is_some_and(|least| new > *least) {
            self.high.insert(new);
        } else {
            self.low.insert(new);
        }
        self.level();
        true
    }

    /// What a tenant uses, as a part of its allowance.
    pub(crate) fn used(&self, now: Duration, tenant: usize) -> f64 {
        self.rates[tenant].read(now, self.third) / self.allowances[tenant]
    }

    /// What the median tenant uses, the lower one of two; zero where there is no tenant.
    pub(crate) fn median(&self, now: Duration) -> f64 {
        self.low.last().map_or(0.0, |&(_, tenant)| self.used(now, tenant))
    }

    fn ranked(&self, tenant: usize) -> Ranked {
        let rate = &self.rates[tenant];
        // What was taken over from another process may have been counted before the origin.
        let since = rate.at().saturating_sub(self.origin).as_secs_f64();
        let before = self.origin.saturating_sub(rate.at()).as_secs_f64();
        let rank = (rate.value / self.allowances[tenant]).ln() + (since - before) / self.third;
        (OrderedFloat(rank), tenant)
    }

    fn rank_all(&mut self) {
        self.low = (0..self.rates.len()).map(|tenant| self.ranked(tenant)).collect();
        self.high.clear();
        self.level();
    }

    /// The lower half is the greater by one where the number is odd.
    fn level(&mut self) {
        let half = self.rates.len().div_ceil(2);
        while self.low.len() > half {
            self.high.extend(self.low.pop_last());
        }
        while self.low.len() < half {
            self.low.extend(self.high.pop_first());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// What the module did before.
    fn sorted_median(uses: &Uses, now: Duration) -> f64 {
        let mut all: Vec<f64> = (0..uses.rates.len()).map(|tenant| uses.used(now, tenant)).collect();
        all.sort_by(f64::total_cmp);
        all[(all.len() - 1) / 2]
    }

    proptest! {
        #[test]
        fn the_median_is_that_of_all_sorted(
            allowances in proptest::collection::vec(prop_oneof![Just(0.0), 0.5..50.0f64], 1..30),
            counts in proptest::collection::vec((0..30usize, 0..3_000u64), 1..200),
            taken_over in 0..200usize,
        ) {
            // As the sidecar's clock has it.
            let mut now = Duration::from_secs(1_796_000_000);
            let mut uses = Uses::new(allowances.iter().copied(), 5.0, now);
            for (n, (tenant, wait)) in counts.into_iter().enumerate() {
                now += Duration::from_millis(wait);
                prop_assert_eq!(uses.count(now, tenant), tenant < allowances.len());
                if n == taken_over {
                    let rates = uses.rates().to_vec();
                    uses = Uses::new(allowances.iter().copied(), 5.0, now);
                    uses.set(rates);
                }
                let (found, want) = (uses.median(now), sorted_median(&uses, now));
                prop_assert!((found - want).abs() <= want * 1e-9, "{found} for {want}");
            }
        }
    }
}
