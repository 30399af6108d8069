//! Tables of runs, for people.

use super::Runs;
use super::compare::{Comparison, mean_and_half};
use super::report::text;
use comfy_table::{Table, presets};
use curlewhub_model::{Outcome, TenantOutcome};

/// A figure of a run, and how it is read.
type Figure = (&'static str, fn(&Outcome) -> f64);

/// Every figure of a run.
pub(super) const FIGURES: [Figure; 15] = [
    ("worth served, of 1", Outcome::worth),
    ("requests", |o| o.totals.offered as f64),
    ("in time", |o| o.totals.in_time as f64),
    ("late", |o| o.totals.late as f64),
    ("refused", |o| o.totals.refused as f64),
    ("failed", |o| o.totals.failed as f64),
    ("unanswered", |o| o.totals.unanswered as f64),
    ("p50, ms", |o| o.p50_ms),
    ("p99, ms", |o| o.p99_ms),
    ("attempts", |o| o.totals.attempts as f64),
    ("crossings", |o| o.totals.crossings as f64),
    ("waste, of jobs begun", Outcome::waste),
    ("jobs that ran twice", |o| o.totals.ran_twice as f64),
    ("answered twice", |o| o.totals.answered_twice as f64),
    ("events", |o| o.events as f64),
];

/// Means over the seeds, with half their 95% interval.
pub fn summary_table(runs: &Runs) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["figure", "mean", "+-", "least", "most"]);
    for (name, read) in FIGURES {
        let values: Vec<f64> = runs.outcomes.iter().map(read).collect();
        let (mean, half) = mean_and_half(&values);
        let (least, most) = values.iter().fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(*v), b.max(*v)));
        let text = |value: f64| format!("{value:.4}");
        let half = half.map_or("-".to_owned(), text);
        table.add_row([name.to_owned(), text(mean), half, text(least), text(most)]);
    }
    let head = format!("{}: {} runs from seed {}", runs.name, runs.outcomes.len(), runs.first_seed);
    match tenants_table(runs) {
        Some(tenants) => format!("{head}\n{table}\n{tenants}"),
        None => format!("{head}\n{table}"),
    }
}

/// The most tenants that a table for people shows; --json has all.
const TENANTS_SHOWN: usize = 20;

/// What of each tenant's requests was served, within its allowance and above it; none where there are no tenants.
fn tenants_table(runs: &Runs) -> Option<String> {
    let first = runs.outcomes.first().filter(|outcome| !outcome.tenants.is_empty())?;
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["tenant", "asked", "above its allowance", "served within it", "served above it"]);
    for (n, tenant) in first.tenants.iter().enumerate().take(TENANTS_SHOWN) {
        let all = |read: fn(&TenantOutcome) -> f64| {
            runs.outcomes.iter().map(|outcome| read(&outcome.tenants[n])).collect::<Vec<f64>>()
        };
        table.add_row([
            tenant.name.clone(),
            format!("{:.0}", mean_and_half(&all(|t| t.offered as f64)).0),
            format!("{:.0}", mean_and_half(&all(|t| t.over as f64)).0),
            text(&all(TenantOutcome::within)),
            text(&all(TenantOutcome::above)),
        ]);
    }
    Some(table.to_string())
}

/// A comparison, with its verdicts.
pub fn comparison_table(comparison: &Comparison) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["figure", "first", "second", "difference", "95% interval +-", "the second is"]);
    for difference in &comparison.differences {
        let text = |value: f64| format!("{value:.4}");
        table.add_row([
            difference.figure.to_owned(),
            text(difference.first),
            text(difference.second),
            format!("{:+.4}", difference.mean),
            difference.half.map_or("-".to_owned(), text),
            difference.verdict.words().to_owned(),
        ]);
    }
    let Comparison { first, second, pairs, .. } = comparison;
    format!("first: {first}\nsecond: {second}\n{pairs} pairs of runs\n{table}")
}
