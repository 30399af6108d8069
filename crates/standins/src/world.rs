//! What all endpoints of a fleet share: the clock, the ledger, and what is drawn from the seed.

use crate::ledger::Ledger;
use crate::request_log::RequestLog;
use crate::spec::ClassSpec;
use fnv::FnvHasher;
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal, Uniform};
use rand_pcg::Pcg32;
use std::hash::Hasher;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// What all endpoints of a fleet share.
pub(crate) struct World {
    pub seed: u64,
    pub start: Instant,
    pub classes: Vec<ClassSpec>,
    pub ledger: Arc<Mutex<Ledger>>,
    pub request_log: RequestLog,
    /// The wall clock is off by so many milliseconds.
    pub clock_ahead_ms: f64,
}

impl World {
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn ledger<T>(&self, with: impl FnOnce(&mut Ledger) -> T) -> T {
        with(&mut self.ledger.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Random numbers that follow from the seed, a request's id and what they are for.
    fn rng_for(&self, id: &str, purpose: &str) -> Pcg32 {
        let mut hash = FnvHasher::default();
        hash.write_u64(self.seed);
        hash.write(purpose.as_bytes());
        hash.write(id.as_bytes());
        Pcg32::seed_from_u64(hash.finish())
    }

    /// Whether a fault of this probability strikes a request.
    pub fn strikes(&self, probability: f64, id: &str, purpose: &str) -> bool {
        probability > 0.0
            && Uniform::new(0.0, 1.0).is_ok_and(|d| d.sample(&mut self.rng_for(id, purpose)) < probability)
    }

    /// The work of a request, in seconds.
    pub fn work(&self, class: &ClassSpec, id: &str) -> f64 {
        let mean = class.work.0.as_secs_f64();
        let drawn = LogNormal::from_mean_cv(mean, class.cv).ok().filter(|_| class.cv > 0.0);
        drawn.map_or(mean, |drawn| drawn.sample(&mut self.rng_for(id, "work")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewhub_config::units::Span;

    #[test]
    fn draws_follow_from_the_seed_and_the_request_alone() {
        let world = |seed| {
            let (classes, ledger, request_log, clock_ahead_ms) = Default::default();
            World { seed, start: Instant::now(), classes, ledger, request_log, clock_ahead_ms }
        };
        let class = ClassSpec {
            name: "quote".to_owned(),
            work: Span(Duration::from_millis(20)),
            cv: 0.5,
            window: Span::default(),
        };
        let (one, again, other) = (world(3), world(3), world(4));
        let drawn =
            |world: &World| (0..1000).map(|n| world.work(&class, &n.to_string())).collect::<Vec<_>>();
        assert_eq!(drawn(&one), drawn(&again));
        assert_ne!(drawn(&one), drawn(&other));
        let mean = drawn(&one).iter().sum::<f64>() / 1000.0;
        assert!((0.018..0.022).contains(&mean), "{mean}");
        let hit = (0..1000).filter(|n| one.strikes(0.3, &n.to_string(), "reset")).count();
        assert!((250..350).contains(&hit), "{hit}");
    }
}
