//! Tables of runs, for people.

use super::Runs;
use super::compare::{Comparison, half};
use comfy_table::{Table, presets};
use curlewhub_model::Outcome;

/// Means over the seeds, with half their 95% interval.
pub fn summary_table(runs: &Runs) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["figure", "mean", "+-", "least", "most"]);
    let mut row = |name: &str, read: &dyn Fn(&Outcome) -> f64| {
        let values: Vec<f64> = runs.outcomes.iter().map(read).collect();
        let mean = values.iter().sum::<f64>() / (values.len() as f64).max(1.0);
        let (least, most) = values.iter().fold((f64::MAX, f64::MIN), |(a, b), v| (a.min(*v), b.max(*v)));
        let text = |value: f64| format!("{value:.4}");
        let half = half(&values).map_or("-".to_owned(), text);
        table.add_row([name.to_owned(), text(mean), half, text(least), text(most)]);
    };
    row("worth served, of 1", &Outcome::worth);
    row("requests", &|o| o.totals.offered as f64);
    row("in time", &|o| o.totals.in_time as f64);
    row("late", &|o| o.totals.late as f64);
    row("refused", &|o| o.totals.refused as f64);
    row("failed", &|o| o.totals.failed as f64);
    row("unanswered", &|o| o.totals.unanswered as f64);
    row("p50, ms", &|o| o.p50_ms);
    row("p99, ms", &|o| o.p99_ms);
    row("attempts", &|o| o.totals.attempts as f64);
    row("crossings", &|o| o.totals.crossings as f64);
    row("waste, of jobs begun", &Outcome::waste);
    row("jobs that ran twice", &|o| o.totals.ran_twice as f64);
    row("answered twice", &|o| o.totals.answered_twice as f64);
    row("events", &|o| o.events as f64);
    format!("{}: {} runs from seed {}\n{table}", runs.name, runs.outcomes.len(), runs.first_seed)
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
