//! Two variants side by side: paired by seed, so that both see the same arrivals and the same work.

use super::Runs;
use curlewhub_model::Outcome;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// What can be said of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The second one is better.
    Better,
    /// It is worse.
    Worse,
    /// The interval holds 0, or there are too few runs.
    CantTell,
}

impl Verdict {
    /// As it is said.
    pub fn words(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::CantTell => "can't tell",
        }
    }
}

/// One figure of both.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// The figure.
    pub figure: &'static str,
    /// Its mean in the first variant.
    pub first: f64,
    /// And in the second.
    pub second: f64,
    /// Mean of the paired differences, second less first.
    pub mean: f64,
    /// Half the 95% confidence interval of that mean, by Student's t; none of less than two runs.
    pub half: Option<f64>,
    /// What can be said.
    pub verdict: Verdict,
}

/// Two variants.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// The first one's name.
    pub first: String,
    /// The second one's.
    pub second: String,
    /// Pairs of runs.
    pub pairs: usize,
    /// By figure.
    pub differences: Vec<Difference>,
}

/// A figure, and whether more of it is better.
type Figure = (&'static str, bool, fn(&Outcome) -> f64);

const FIGURES: [Figure; 8] = [
    ("worth served, of 1", true, Outcome::worth),
    ("worst second's worth, of 1", true, worst),
    ("in time, of 1", true, |o| o.totals.in_time as f64 / (o.totals.offered as f64).max(1.0)),
    ("p50, ms", false, |o| o.p50_ms),
    ("p99, ms", false, |o| o.p99_ms),
    ("attempts a request", false, |o| o.totals.attempts as f64 / (o.totals.offered as f64).max(1.0)),
    ("waste, of jobs begun", false, Outcome::waste),
    ("crossings a request", false, |o| o.totals.crossings as f64 / (o.totals.offered as f64).max(1.0)),
];

/// The worth of the worst second in which anything was asked.
fn worst(outcome: &Outcome) -> f64 {
    let asked = outcome.seconds.iter().filter(|second| second.totals.worth_offered > 0.0);
    let worth = asked.map(|second| second.totals.worth_served / second.totals.worth_offered);
    worth.fold(1.0, f64::min)
}

/// Compares the runs that both have.
pub fn compare(first: &Runs, second: &Runs) -> Comparison {
    let pairs: Vec<(&Outcome, &Outcome)> = first.outcomes.iter().zip(&second.outcomes).collect();
    let difference = |(figure, more_is_better, read): &Figure| {
        let (a, b): (Vec<f64>, Vec<f64>) = pairs.iter().map(|(a, b)| (read(a), read(b))).unzip();
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let (center, half) = mean_and_half(&differences);
        let verdict = match half {
            Some(half) if center - half > 0.0 => better(*more_is_better),
            Some(half) if center + half < 0.0 => better(!more_is_better),
            _ => Verdict::CantTell,
        };
        let (first, second) = (mean_and_half(&a).0, mean_and_half(&b).0);
        Difference { figure, first, second, mean: center, half, verdict }
    };
    Comparison {
        first: first.name.clone(),
        second: second.name.clone(),
        pairs: pairs.len(),
        differences: FIGURES.iter().map(difference).collect(),
    }
}

fn better(yes: bool) -> Verdict {
    if yes { Verdict::Better } else { Verdict::Worse }
}

/// The mean of these values, and half its 95% confidence interval, where there are two or more.
pub fn mean_and_half(values: &[f64]) -> (f64, Option<f64>) {
    (values.iter().sum::<f64>() / (values.len() as f64).max(1.0), half(values))
}

/// Half the 95% confidence interval of the mean of these values.
fn half(values: &[f64]) -> Option<f64> {
    let n = values.len() as f64;
    let t = StudentsT::new(0.0, 1.0, n - 1.0).ok().filter(|_| n >= 2.0)?.inverse_cdf(0.975);
    let mean = values.iter().sum::<f64>() / n;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (n - 1.0);
    Some(t * (variance / n).sqrt())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_thing_compared_with_itself_differs_in_nothing_and_less_load_is_served_better() {
        use crate::sim::{play, read};
        let file =
            std::path::Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/upgrade.toml"));
        let stop = std::sync::atomic::AtomicBool::new(false);
        let runs = |set: &str| play(read(file, &["lasts=8s".into(), set.into()]).unwrap(), 1, 6, &stop);
        let (one, less) = (runs("arrivals.rate=130.0"), runs("arrivals.rate=70.0"));
        let itself = compare(&one, &one);
        assert!(itself.differences.iter().all(|d| d.verdict == Verdict::CantTell && d.mean == 0.0));
        let worth = &compare(&one, &less).differences[0];
        assert_eq!(worth.verdict, Verdict::Better, "{worth:?}");
        assert_eq!(compare(&less, &one).differences[0].verdict, Verdict::Worse);
    }

    #[test]
    fn an_interval_of_known_values() {
        // Mean 3, standard deviation sqrt(2.5), t(4) = 2.776.
        let half = half(&[1.0, 2.0, 3.0, 4.0, 5.0]).unwrap();
        assert!((half - 2.776 * (2.5f64 / 5.0).sqrt()).abs() < 1e-3, "{half}");
        assert_eq!(super::half(&[1.0]), None);
    }
}
