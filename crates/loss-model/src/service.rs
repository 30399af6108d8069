//! Distributions of job lengths, all with mean 1.

use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Pareto};
use rand_pcg::Pcg32;
use serde::Serialize;

/// A distribution of job lengths with mean 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Exponential.
    Exponential,
    /// One, two or three exponential phases, with probabilities 0.3, 0.3 and 0.4: the paper's.
    MixedErlang,
    /// Log-normal with this coefficient of variation, over 0 and up to 10.
    LogNormal(f64),
    /// Pareto with this shape, over 1; at 2 and below its variance is infinite.
    Pareto(f64),
}

/// Probabilities of one, two and three phases.
pub const PHASES: [f64; 3] = [0.3, 0.3, 0.4];

/// The rate of each phase, for a mean length of 1: the mean number of phases.
pub fn phase_rate() -> f64 {
    PHASES.iter().enumerate().map(|(n, p)| (n + 1) as f64 * p).sum()
}

impl Service {
    /// Its name in tables.
    pub fn name(self) -> String {
        match self {
            Service::Exponential => "exponential".to_owned(),
            Service::MixedErlang => "mixed Erlang".to_owned(),
            Service::LogNormal(cv) => format!("log-normal, cv {cv}"),
            Service::Pareto(shape) => format!("Pareto, shape {shape}"),
        }
    }

    /// Draws the length of one job.
    pub fn draw(self, rng: &mut Pcg32) -> f64 {
        match self {
            Service::Exponential => Exp1.sample(rng),
            Service::MixedErlang => {
                let at = rng.random::<f64>();
                let phases = 1 + usize::from(at >= PHASES[0]) + usize::from(at >= PHASES[0] + PHASES[1]);
                let phase = |_| -> f64 { Exp1.sample(rng) };
                (0..phases).map(phase).sum::<f64>() / phase_rate()
            }
            Service::LogNormal(cv) => LogNormal::from_mean_cv(1.0, cv).map_or(1.0, |d| d.sample(rng)),
            // Mean: shape * scale / (shape - 1).
            Service::Pareto(shape) => {
                Pareto::new((shape - 1.0) / shape, shape).map_or(1.0, |d| d.sample(rng))
            }
        }
    }
}
