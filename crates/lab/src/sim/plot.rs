//! Charts of runs over time.

use super::Runs;
use crate::chart::{Chart, Line};
use curlewhub_model::{Outcome, Second};

/// What is drawn: its file, what it is, and how it is read from a second.
type Plot = (&'static str, &'static str, fn(&Second) -> f64);

const PLOTS: [Plot; 7] = [
    ("worth", "worth served, of 1", |s| s.totals.worth_served / s.totals.worth_offered.max(1e-9)),
    ("p50", "median latency, ms", |s| s.p50_ms),
    ("p99", "99th percentile of latency, ms", |s| s.p99_ms),
    ("held", "requests held at endpoints, a core", |s| s.held_per_core),
    ("refused", "refused, of 1", |s| s.totals.refused as f64 / (s.totals.offered as f64).max(1.0)),
    ("attempts", "attempts a request", |s| s.totals.attempts as f64 / (s.totals.offered as f64).max(1.0)),
    ("breaks", "rule breaks: jobs that ran twice, second answers", |s| {
        (s.totals.ran_twice + s.totals.answered_twice) as f64
    }),
];

/// A chart of each: the mean of each variant over time, and a band from the least to the most over its seeds.
pub(super) fn charts(variants: &[&Runs]) -> Vec<Chart> {
    let chart = |(name, title, read): Plot| {
        let lines = variants.iter().map(|runs| line(&runs.name, &runs.outcomes, read)).collect();
        Chart { name, title, x: "seconds".to_owned(), lines }
    };
    PLOTS.map(chart).into()
}

/// Mean, least and most over the seeds, second by second.
fn line(name: &str, outcomes: &[Outcome], read: fn(&Second) -> f64) -> Line {
    let seconds = outcomes.iter().map(|outcome| outcome.seconds.len()).min().unwrap_or_default();
    let mut line = Line { name: name.to_owned(), ..Line::default() };
    for second in 0..seconds {
        let values: Vec<f64> = outcomes.iter().map(|outcome| read(&outcome.seconds[second])).collect();
        let (least, most) = values.iter().fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(*v), b.max(*v)));
        let mean = values.iter().sum::<f64>() / values.len() as f64;
        line.points.push((second as f64, mean));
        line.band.push((second as f64, least, most));
    }
    line
}
