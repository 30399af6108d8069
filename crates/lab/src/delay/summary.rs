//! Latencies, and the figures that are told of them.

use serde::Serialize;
use std::time::Duration;

/// Times of requests, each kept.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<Duration>);

/// Percentiles, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half of all are below.
    pub p50: f64,
    /// 99 in 100 are.
    pub p99: f64,
    /// 999 in 1000 are.
    pub p999: f64,
}

impl Latencies {
    /// Adds one.
    pub fn record(&mut self, latency: Duration) {
        self.0.push(latency);
    }

    /// Adds those of another.
    pub fn join(&mut self, other: Latencies) {
        self.0.extend(other.0);
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Their percentiles; all 0 where there are none.
    pub fn percentiles(mut self) -> Percentiles {
        self.0.sort_unstable();
        let at = |part: f64| {
            let rank = (part * self.0.len() as f64).ceil() as usize;
            self.0.get(rank.saturating_sub(1)).map_or(0.0, |latency| latency.as_secs_f64() * 1e6)
        };
        Percentiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}

impl Percentiles {
    /// By how much each is above another one's.
    pub fn above(self, other: Percentiles) -> Percentiles {
        Percentiles { p50: self.p50 - other.p50, p99: self.p99 - other.p99, p999: self.p999 - other.p999 }
    }

    /// Of each the median over several runs.
    pub fn medians(runs: &[Percentiles]) -> Percentiles {
        let of = |field: fn(&Percentiles) -> f64| median(runs.iter().map(field));
        Percentiles { p50: of(|run| run.p50), p99: of(|run| run.p99), p999: of(|run| run.p999) }
    }
}

/// The median, the upper one of two in the middle; 0 of nothing.
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
