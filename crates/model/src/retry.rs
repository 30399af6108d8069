//! What clients do by themselves where they are not served: the same in the model and in the load over sockets.

use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::Span;
use rand::Rng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How a try, or a request, ended for its client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// With its answer.
    Served,
    /// Trying again is harmless.
    Refused,
    /// Any other answer.
    Failed,
    /// With none.
    Unanswered,
}

/// What clients do by themselves where they are not served.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetrySpec {
    /// Retries of a request, at the most.
    pub most: u32,
    /// Wait before the first one, less up to half at random ...
    pub backoff: Span,
    /// ... which grows by this factor with each.
    pub growth: f64,
    /// A refusal's Retry-After is heeded where it is longer.
    pub heed_retry_after: bool,
    /// A try is given up after this part of the class's deadline.
    pub try_share: f64,
    /// Also where a request that is not safe to repeat failed or was never answered, and may have run.
    pub when_it_may_have_run: bool,
}

impl Default for RetrySpec {
    fn default() -> Self {
        RetrySpec {
            most: 1,
            backoff: Span(Duration::from_millis(200)),
            growth: 2.0,
            heed_retry_after: true,
            try_share: 0.9,
            when_it_may_have_run: false,
        }
    }
}

impl RetrySpec {
    /// What makes no sense: the field, and what is allowed.
    pub fn problems(&self) -> Vec<(&'static str, &'static str)> {
        let checks = [
            (self.try_share > 0.0 && self.try_share <= 1.0, "try_share", "over 0, up to 1"),
            ((1.0..=10.0).contains(&self.growth), "growth", "1 to 10"),
            (self.most <= 10, "most", "0 to 10"),
        ];
        checks.into_iter().filter(|(ok, ..)| !ok).map(|(_, field, allowed)| (field, allowed)).collect()
    }

    /// The time that a try is given, of what its client has left.
    pub fn time(&self, deadline: Duration, left: Duration) -> Duration {
        deadline.mul_f64(self.try_share).min(left)
    }

    /// Whether a client tries once more after so many tries, the last of which ended like this.
    pub fn again(&self, end: End, repeat: RepeatPolicy, tries: u32) -> bool {
        let harmless = end == End::Refused || repeat == RepeatPolicy::Safe || self.when_it_may_have_run;
        end != End::Served && harmless && tries <= self.most
    }

    /// How long it waits before that; `retry_after` is what a refusal said.
    pub fn wait(&self, tries: u32, retry_after: Option<Duration>, draws: &mut impl Rng) -> Duration {
        let grown = self.growth.powi(tries as i32 - 1);
        let wait = self.backoff.0.mul_f64(grown * draws.random_range(0.5..=1.0));
        wait.max(retry_after.filter(|_| self.heed_retry_after).unwrap_or_default())
    }
}

/// A draw in proportion to the weights; none where there is none, or all are 0.
pub fn pick(weights: impl Iterator<Item = f64>, draws: &mut impl Rng) -> Option<usize> {
    Some(WeightedIndex::new(weights).ok()?.sample(draws))
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg32;

    #[test]
    fn draws_follow_the_weights() {
        let mut draws = Pcg32::seed_from_u64(1);
        let mut counts = [0; 3];
        for _ in 0..10_000 {
            counts[pick([1.0, 2.0, 7.0].into_iter(), &mut draws).unwrap()] += 1;
        }
        assert!((900..1100).contains(&counts[0]) && (1850..2150).contains(&counts[1]), "{counts:?}");
        assert_eq!(pick([].into_iter(), &mut draws), None);
    }

    #[test]
    fn what_may_have_run_is_tried_again_only_where_that_is_wanted() {
        let retry = RetrySpec::default();
        assert!(retry.again(End::Failed, RepeatPolicy::Safe, 1));
        assert!(retry.again(End::Refused, RepeatPolicy::Keyed, 1));
        assert!(!retry.again(End::Failed, RepeatPolicy::Keyed, 1));
        assert!(!retry.again(End::Served, RepeatPolicy::Keyed, 1));
        assert!(!retry.again(End::Refused, RepeatPolicy::Safe, 2), "no more than one");
        let bold = RetrySpec { when_it_may_have_run: true, ..retry };
        assert!(bold.again(End::Unanswered, RepeatPolicy::Keyed, 1));
    }

    #[test]
    fn waits_grow_and_heed_what_they_are_told() {
        let retry = RetrySpec::default();
        let mut draws = Pcg32::seed_from_u64(1);
        let ms = Duration::from_millis;
        for _ in 0..100 {
            assert!((ms(100)..=ms(200)).contains(&retry.wait(1, None, &mut draws)));
            assert!((ms(200)..=ms(400)).contains(&retry.wait(2, None, &mut draws)));
        }
        assert_eq!(retry.wait(1, Some(ms(900)), &mut draws), ms(900));
        let deaf = RetrySpec { heed_retry_after: false, ..retry };
        assert!(deaf.wait(1, Some(ms(900)), &mut draws) <= ms(200));
        assert_eq!(deaf.time(ms(1000), ms(5000)), ms(900));
        assert_eq!(deaf.time(ms(1000), ms(300)), ms(300));
    }
}
