//! How much of its allowance each tenant uses, with the median tenant always known. Nothing is decided
//! here.
//!
//! All rates decay by the same factor, so their order changes only when a request is counted. They are
//! ordered by `ln(rate / allowance) + (at - origin) / time_constant`: the logarithm of what the rate would
//! have been at the origin, which does not overflow. Ten days from the origin it still distinguishes rates
//! that differ by one part in ten billion. From the year 1970, where the sidecar's clock starts, it could
//! not distinguish one part in ten million.

use crate::stats::DecayingValue;
use ordered_float::OrderedFloat;
use std::collections::BTreeSet;
use std::time::Duration;

/// Smaller than any real allowance; avoids a division by zero.
const MIN_ALLOWANCE: f64 = 1e-9;

/// A tenant's position: its decay-independent usage, then its index among equals.
type Rank = (OrderedFloat<f64>, usize);

/// The request rates of all tenants. Counting a request takes time logarithmic in the number of tenants.
pub(crate) struct TenantUsage {
    /// Seconds in which a rate falls to about a third (1/e).
    time_constant: f64,
    /// When counting started.
    origin: Duration,
    allowances: Vec<f64>,
    rates: Vec<DecayingValue>,
    /// The lower half; its greatest element is the median.
    low: BTreeSet<Rank>,
    high: BTreeSet<Rank>,
}

impl TenantUsage {
    /// Creates the usage of tenants with these allowances per second, all at zero.
    pub(crate) fn new(allowances: impl Iterator<Item = f64>, time_constant: f64, origin: Duration) -> Self {
        let allowances: Vec<f64> = allowances.map(|allowance| allowance.max(MIN_ALLOWANCE)).collect();
        let rates = vec![DecayingValue::default(); allowances.len()];
        let mut usage = TenantUsage {
            time_constant,
            origin,
            allowances,
            rates,
            low: BTreeSet::new(),
            high: BTreeSet::new(),
        };
        usage.rebuild();
        usage
    }

    /// The rates by tenant.
    pub(crate) fn rates(&self) -> &[DecayingValue] {
        &self.rates
    }

    /// Replaces the rates of all tenants.
    pub(crate) fn replace(&mut self, rates: Vec<DecayingValue>) {
        debug_assert_eq!(rates.len(), self.allowances.len());
        self.rates = rates;
        self.rebuild();
    }

    /// Counts one request of a tenant. Returns false if there is no such tenant.
    pub(crate) fn count(&mut self, now: Duration, tenant: usize) -> bool {
        if tenant >= self.rates.len() {
            return false;
        }
        let old = self.rank(tenant);
        self.rates[tenant].count(now, self.time_constant);
        let new = self.rank(tenant);
        if !self.low.remove(&old) {
            self.high.remove(&old);
        }
        // Inserted into the half where it belongs; then the sizes of the halves are balanced.
        if self.high.first().is_some_and(|least| new > *least) {
            self.high.insert(new);
        } else {
            self.low.insert(new);
        }
        self.rebalance();
        true
    }

    /// A tenant's usage as a fraction of its allowance.
    pub(crate) fn usage(&self, now: Duration, tenant: usize) -> f64 {
        self.rates[tenant].value_at(now, self.time_constant) / self.allowances[tenant]
    }

    /// The median tenant's usage, the lower of two medians; zero without tenants.
    pub(crate) fn median(&self, now: Duration) -> f64 {
        self.low.last().map_or(0.0, |&(_, tenant)| self.usage(now, tenant))
    }

    fn rank(&self, tenant: usize) -> Rank {
        let rate = &self.rates[tenant];
        // Rates restored from another process may have been counted before the origin.
        let since = rate.at().saturating_sub(self.origin).as_secs_f64();
        let before = self.origin.saturating_sub(rate.at()).as_secs_f64();
        let log_rate = (rate.value / self.allowances[tenant]).ln() + (since - before) / self.time_constant;
        (OrderedFloat(log_rate), tenant)
    }

    fn rebuild(&mut self) {
        self.low = (0..self.rates.len()).map(|tenant| self.rank(tenant)).collect();
        self.high.clear();
        self.rebalance();
    }

    /// Balances the halves; the lower one has one more element if their number is odd.
    fn rebalance(&mut self) {
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

    /// The reference implementation: sorts all usages.
    fn sorted_median(usage: &TenantUsage, now: Duration) -> f64 {
        let mut all: Vec<f64> = (0..usage.rates.len()).map(|tenant| usage.usage(now, tenant)).collect();
        all.sort_by(f64::total_cmp);
        all[(all.len() - 1) / 2]
    }

    proptest! {
        #[test]
        fn median_matches_that_of_the_sorted_usages(
            allowances in proptest::collection::vec(prop_oneof![Just(0.0), 0.5..50.0f64], 1..30),
            counts in proptest::collection::vec((0..30usize, 0..3_000u64), 1..200),
            restored_at in 0..200usize,
        ) {
            // A time as on the sidecar's clock, which counts from 1970.
            let mut now = Duration::from_secs(1_796_000_000);
            let mut usage = TenantUsage::new(allowances.iter().copied(), 5.0, now);
            for (n, (tenant, wait)) in counts.into_iter().enumerate() {
                now += Duration::from_millis(wait);
                prop_assert_eq!(usage.count(now, tenant), tenant < allowances.len());
                if n == restored_at {
                    let rates = usage.rates().to_vec();
                    usage = TenantUsage::new(allowances.iter().copied(), 5.0, now);
                    usage.replace(rates);
                }
                let (found, want) = (usage.median(now), sorted_median(&usage, now));
                prop_assert!((found - want).abs() <= want * 1e-9, "{found} for {want}");
            }
        }
    }
}
