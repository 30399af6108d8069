//! The decision module beside the textbook's rules, on the same events.

use super::compare::{Comparison, Verdict, compare, mean_and_half};
use super::report::text;
use super::{Runs, play};
use comfy_table::{Table, presets};
use curlewhub_model::{Decisions, Outcome, Scenario};
use serde::Serialize;
use std::sync::atomic::{AtomicBool, Ordering};
use strum::IntoEnumIterator;

/// All of them on one scenario.
#[derive(Debug, Serialize)]
pub struct Baselines {
    /// The scenario's name.
    pub name: String,
    /// One for each rule, the module first.
    pub runs: Vec<Runs>,
    /// Each against the module, the module being the first one.
    pub against_module: Vec<Comparison>,
}

/// Plays a scenario with each rule, on the same seeds; those that were done when `stop` was set.
pub fn baselines(scenario: &Scenario, first_seed: u64, seeds: u64, stop: &AtomicBool) -> Baselines {
    let mut runs: Vec<Runs> = Vec::new();
    for decisions in Decisions::iter() {
        let scenario = Scenario { decisions, name: <&str>::from(decisions).to_owned(), ..scenario.clone() };
        runs.push(play(scenario, first_seed, seeds, stop));
        if stop.load(Ordering::Relaxed) {
            break;
        }
    }
    let against_module = runs.iter().skip(1).map(|rule| compare(&runs[0], rule)).collect();
    Baselines { name: scenario.name.clone(), runs, against_module }
}

/// A row for each rule: means over the seeds, and how its worth differs from the module's.
pub fn baselines_table(baselines: &Baselines) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "rule",
        "worth",
        "less the module's",
        "p50 ms",
        "p99 ms",
        "crossings",
        "waste",
        "twice",
    ]);
    for (n, runs) in baselines.runs.iter().enumerate() {
        let all = |read: &dyn Fn(&Outcome) -> f64| runs.outcomes.iter().map(read).collect::<Vec<f64>>();
        let mean = |read: &dyn Fn(&Outcome) -> f64| mean_and_half(&all(read)).0;
        let offered = |o: &Outcome| (o.totals.offered as f64).max(1.0);
        table.add_row([
            runs.name.clone(),
            text(&all(&Outcome::worth)),
            n.checked_sub(1)
                .and_then(|n| baselines.against_module.get(n))
                .map_or(String::new(), difference),
            format!("{:.0}", mean(&|o| o.p50_ms)),
            format!("{:.0}", mean(&|o| o.p99_ms)),
            format!("{:.3}", mean(&|o| o.totals.crossings as f64 / offered(o))),
            format!("{:.3}", mean(&Outcome::waste)),
            format!("{:.0}", mean(&|o| (o.totals.ran_twice + o.totals.answered_twice) as f64)),
        ]);
    }
    let seeds = baselines.runs.first().map_or(0, |runs| runs.outcomes.len());
    format!("{}: {seeds} runs of each\n{table}", baselines.name)
}

fn difference(comparison: &Comparison) -> String {
    let Some(worth) = comparison.differences.first() else { return String::new() };
    match (worth.verdict, worth.half) {
        (Verdict::CantTell, _) | (_, None) => "can't tell".to_owned(),
        (_, Some(half)) => format!("{:+.3} +- {half:.3}", worth.mean),
    }
}
