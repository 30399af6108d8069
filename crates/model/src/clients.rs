//! Clients: when requests arrive, what they are, and whether they are asked again.

use crate::retry::{End, RetrySpec, pick};
use crate::scenario::{ClassSpec, Point, Scenario, Spread};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg32;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A stream of random numbers of its own: what one part draws changes nothing for another.
pub(crate) fn stream(seed: u64, purpose: &str, index: u64) -> Pcg32 {
    let mut bytes = purpose.as_bytes().to_vec();
    bytes.extend_from_slice(&index.to_le_bytes());
    Pcg32::seed_from_u64(xxh3_64_with_seed(&bytes, seed))
}

/// One request, over all its tries.
pub(crate) struct Call {
    pub(crate) class: usize,
    /// Seconds of work on one core of the yardstick speed.
    pub(crate) work: f64,
    pub(crate) tenant: usize,
    /// It was above its tenant's allowance when it was born.
    pub(crate) over: bool,
    pub(crate) home: usize,
    pub(crate) born: Duration,
    pub(crate) tries: u32,
    pub(crate) draws: Pcg32,
    /// Zones in which its job began, and when.
    pub(crate) runs: Vec<(u32, Duration)>,
    pub(crate) ran_twice: bool,
    /// The process and request that it waits for, while it waits.
    pub(crate) waits_at: Option<(usize, u64)>,
}

/// The times of arrivals: a Poisson process by thinning.
pub(crate) struct Arrivals {
    draws: Pcg32,
    rate: f64,
    shape: Vec<Point>,
    most: f64,
    until: Duration,
    at: Duration,
}

impl Arrivals {
    pub(crate) fn new(scenario: &Scenario, seed: u64) -> Self {
        let shape = scenario.arrivals.shape.clone();
        let most = shape.iter().map(|point| point.factor).fold(0.0, f64::max);
        let most = if shape.is_empty() { 1.0 } else { most };
        let (rate, until) = (scenario.arrivals.rate, scenario.lasts.0);
        Arrivals { draws: stream(seed, "arrivals", 0), rate, shape, most, until, at: Duration::ZERO }
    }

    /// The multiple of the rate at a time.
    fn factor(&self, at: Duration) -> f64 {
        let after = self.shape.partition_point(|point| point.at.0 <= at);
        match (after.checked_sub(1).map(|n| self.shape[n]), self.shape.get(after)) {
            (None, None) => 1.0,
            (None, Some(next)) => next.factor,
            (Some(last), None) => last.factor,
            (Some(last), Some(next)) => {
                let part = (at - last.at.0).as_secs_f64() / (next.at.0 - last.at.0).as_secs_f64();
                last.factor + part * (next.factor - last.factor)
            }
        }
    }

    /// The next arrival, from the start of the run; none after its end.
    pub(crate) fn next(&mut self) -> Option<Duration> {
        let fastest = self.rate * self.most;
        if fastest <= 0.0 {
            return None;
        }
        loop {
            let wait: f64 = Exp1.sample(&mut self.draws);
            self.at += Duration::try_from_secs_f64(wait / fastest).ok()?;
            if self.at >= self.until {
                return None;
            }
            if self.draws.random::<f64>() * self.most < self.factor(self.at) {
                return Some(self.at);
            }
        }
    }
}

/// What a tenant may still ask within its allowance: a second of it can be saved up.
#[derive(Clone, Copy)]
pub(crate) struct Allowance {
    rate: f64,
    tokens: f64,
    at: Duration,
}

impl Allowance {
    pub(crate) fn new(rate: f64) -> Self {
        Allowance { rate, tokens: rate.max(1.0), at: Duration::ZERO }
    }

    /// One more is asked; whether that is above the allowance.
    pub(crate) fn over(&mut self, at: Duration) -> bool {
        let earned = self.rate * at.saturating_sub(self.at).as_secs_f64();
        (self.tokens, self.at) = ((self.tokens + earned).min(self.rate.max(1.0)), at);
        let over = self.tokens < 1.0;
        self.tokens -= if over { 0.0 } else { 1.0 };
        over
    }
}

/// The request of this number, drawn from a stream of its own.
pub(crate) fn draw(scenario: &Scenario, seed: u64, number: u64, born: Duration) -> Call {
    let mut draws = stream(seed, "call", number);
    let class = pick(scenario.classes.iter().map(|class| class.share), &mut draws).unwrap_or_default();
    let work = work(&scenario.classes[class], &mut draws);
    let home = draws.random_range(0..scenario.sidecars as usize);
    // From a stream of its own: who asks changes nothing of what is asked.
    let mut who = stream(seed, "tenant", number);
    let tenant = pick(scenario.tenants.iter().map(|tenant| tenant.share), &mut who).unwrap_or_default();
    let (over, runs) = (false, Vec::new());
    Call { class, work, tenant, over, home, born, tries: 0, draws, runs, ran_twice: false, waits_at: None }
}

/// As the class is spread, with its mean and coefficient of variation.
fn work(class: &ClassSpec, draws: &mut Pcg32) -> f64 {
    let mean = class.work.0.as_secs_f64();
    if mean <= 0.0 || class.cv <= 0.0 {
        return mean;
    }
    let work = match class.spread {
        Spread::LogNormal => {
            LogNormal::from_mean_cv(mean, class.cv).map(|spread| spread.sample(draws)).ok()
        }
        Spread::Pareto => {
            // A Pareto's squared coefficient of variation is 1 / (shape (shape - 2)), its mean
            // scale shape / (shape - 1).
            let shape = 1.0 + (1.0 + class.cv.powi(-2)).sqrt();
            Pareto::new(mean * (shape - 1.0) / shape, shape).map(|spread| spread.sample(draws)).ok()
        }
    };
    work.unwrap_or(mean)
}

impl Call {
    /// How long its client waits before it asks again, if it does; `retry_after` is what a refusal said.
    pub(crate) fn again(
        &mut self,
        end: End,
        now: Duration,
        retry_after: Option<Duration>,
        class: &ClassSpec,
        clients: &RetrySpec,
    ) -> Option<Duration> {
        if !clients.again(end, class.repeat, self.tries) {
            return None;
        }
        let wait = clients.wait(self.tries, retry_after, &mut self.draws);
        (now + wait < self.born + class.deadline.0).then_some(wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewhub_config::units::Span;

    fn scenario(shape: &str) -> Scenario {
        let text = format!(
            "name = \"s\"\nlasts = \"100s\"\nsidecars = 2\narrivals = {{ rate = 100.0, shape = [{shape}] }}\n\
             [[endpoints]]\ncount = 1\n[[classes]]\nname = \"c\"\nwork = \"50ms\"\ncv = 1.0\n"
        );
        Scenario::parse(&text).unwrap()
    }

    #[test]
    fn arrivals_follow_their_line() {
        let shape = r#"{ at = "20s", factor = 1.0 }, { at = "60s", factor = 3.0 }"#;
        let mut arrivals = Arrivals::new(&scenario(shape), 5);
        assert_eq!(arrivals.factor(Duration::from_secs(40)), 2.0);
        let times: Vec<f64> = std::iter::from_fn(|| arrivals.next()).map(|at| at.as_secs_f64()).collect();
        let between =
            |from: f64, to: f64| times.iter().filter(|at| (from..to).contains(*at)).count() as f64;
        assert!((between(0.0, 20.0) / 2000.0 - 1.0).abs() < 0.1);
        assert!((between(60.0, 100.0) / 12_000.0 - 1.0).abs() < 0.05);
        assert!((between(35.0, 45.0) / 2000.0 - 1.0).abs() < 0.1);
    }

    #[test]
    fn what_is_above_an_allowance_is_told() {
        let mut allowance = Allowance::new(10.0);
        // Twenty a second for ten seconds: ten saved up and a hundred earned.
        let over = (0..200).filter(|n| allowance.over(Duration::from_millis(n * 50))).count();
        assert!((88..=92).contains(&over), "{over}");
        assert!(!allowance.over(Duration::from_secs(20)));
    }

    #[test]
    fn work_has_its_mean() {
        let scenario = scenario("");
        let works: Vec<f64> = (0..20_000).map(|n| draw(&scenario, 3, n, Duration::ZERO).work).collect();
        let mean = works.iter().sum::<f64>() / works.len() as f64;
        assert!((mean / 0.05 - 1.0).abs() < 0.05, "{mean}");
        assert!(works.iter().any(|work| *work > 0.15), "it spreads");
    }

    #[test]
    fn a_pareto_has_the_same_mean_a_least_and_a_longer_tail() {
        let mut scenario = scenario("");
        let works = |scenario: &Scenario| -> Vec<f64> {
            let mut works: Vec<f64> =
                (0..40_000).map(|n| draw(scenario, 3, n, Duration::ZERO).work).collect();
            works.sort_by(f64::total_cmp);
            works
        };
        let log_normal = works(&scenario);
        scenario.classes[0].spread = Spread::Pareto;
        let pareto = works(&scenario);
        let mean = pareto.iter().sum::<f64>() / pareto.len() as f64;
        assert!((mean / 0.05 - 1.0).abs() < 0.05, "{mean}");
        // With a coefficient of one the shape is 1 + sqrt(2), and the least 0.586 of the mean.
        assert!((pareto[0] / 0.05 - 0.586).abs() < 0.01, "{}", pareto[0]);
        assert!(log_normal[0] < pareto[0] / 2.0 && pareto[39_990] > log_normal[39_990]);
    }

    #[test]
    fn a_request_is_not_asked_again_where_its_time_is_over_by_then() {
        let scenario = scenario("");
        let mut call = draw(&scenario, 3, 1, Duration::ZERO);
        call.tries = 1;
        let mut class = scenario.classes[0].clone();
        let (now, told) = (Duration::from_millis(100), Some(Duration::from_millis(800)));
        assert_eq!(call.again(End::Refused, now, told, &class, &scenario.clients), told);
        class.deadline = Span(Duration::from_millis(850));
        assert_eq!(call.again(End::Refused, now, told, &class, &scenario.clients), None);
    }
}
