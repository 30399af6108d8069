//! What was played as files: a page that holds everything and needs no network, its charts, and its figures as CSV.

use super::compare::Comparison;
use super::plot::charts;
use super::table::FIGURES;
use super::{Runs, mean_and_half};
use crate::chart::{self, Chart, Drawn};
use curlewhub_model::Outcome;
use maud::{DOCTYPE, Markup, PreEscaped, html};
use std::path::Path;

const STYLE: &str = "body{font:15px sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}\
    table{border-collapse:collapse;margin:1em 0}th,td{padding:.25em .7em;border-bottom:1px solid #ccc;\
    text-align:right}div{overflow-x:auto}th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}\
    pre{background:#f4f4f4;padding:.8em;overflow:auto}";

/// Writes `report.html`, `runs.csv` (a row for each run) and `seconds.csv` (a row for each second of each run), and
/// each chart by itself, into a folder; their paths. `more` are charts over something else than time.
///
/// # Errors
/// A file can't be written.
pub fn write(
    title: &str,
    variants: &[&Runs],
    comparisons: &[Comparison],
    more: Vec<Chart>,
    folder: &Path,
) -> Result<Vec<String>, String> {
    // Of many variants the lines over time can't be told apart: what is over something else shows them.
    let over_time = if more.is_empty() { charts(variants) } else { Vec::new() };
    let charts: Vec<Chart> = more.into_iter().chain(over_time).collect();
    let drawn = chart::draw(&charts)?;
    let mut paths = chart::write(&drawn, folder)?;
    let page = page(title, variants, comparisons, &drawn).into_string();
    let put = |name: &str, text: &[u8]| {
        let path = folder.join(name);
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok::<String, String>(path.display().to_string())
    };
    paths.push(put("report.html", page.as_bytes())?);
    let csv = |table: Result<Vec<u8>, csv::Error>| table.map_err(|e| e.to_string());
    paths.push(put("runs.csv", &csv(runs_csv(variants))?)?);
    paths.push(put("seconds.csv", &csv(seconds_csv(variants))?)?);
    Ok(paths)
}

fn page(title: &str, variants: &[&Runs], comparisons: &[Comparison], drawn: &[Drawn]) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { (title) } style { (PreEscaped(STYLE)) } }
            body {
                h1 { (title) }
                p { "Means over the runs, with half their 95% interval by Student's t. Bands in charts over time \
                     reach from the least to the most of all runs." }
                (summary(variants))
                @for comparison in comparisons { (difference(comparison)) }
                @for chart in drawn { (PreEscaped(&chart.svg)) }
                h2 { "As played" }
                @for runs in variants {
                    details {
                        summary { (runs.name) ", " (runs.outcomes.len()) " runs from seed " (runs.first_seed) }
                        pre { (toml::to_string(&runs.scenario).unwrap_or_default()) }
                    }
                }
            }
        }
    }
}

fn summary(variants: &[&Runs]) -> Markup {
    let cell = |runs: &Runs, read: fn(&Outcome) -> f64| {
        let values: Vec<f64> = runs.outcomes.iter().map(read).collect();
        let (mean, half) = mean_and_half(&values);
        half.map_or(format!("{mean:.3}"), |half| format!("{mean:.3} ± {half:.3}"))
    };
    html! {
        div {
            table {
                tr { th { "variant" } @for (name, _) in FIGURES { th { (name) } } }
                @for runs in variants {
                    tr { td { (runs.name) } @for (_, read) in FIGURES { td { (cell(runs, read)) } } }
                }
            }
        }
    }
}

fn difference(comparison: &Comparison) -> Markup {
    html! {
        h2 { (comparison.second) " against " (comparison.first) }
        p { (comparison.pairs) " pairs of runs on the same seeds." }
        table {
            tr { th { "figure" } th { "first" } th { "second" } th { "difference" } th { "the second is" } }
            @for d in &comparison.differences {
                tr {
                    td { (d.figure) }
                    td { (format!("{:.4}", d.first)) }
                    td { (format!("{:.4}", d.second)) }
                    td { (format!("{:+.4}", d.mean)) @if let Some(half) = d.half { " ± " (format!("{half:.4}")) } }
                    td { (d.verdict.words()) }
                }
            }
        }
    }
}

fn runs_csv(variants: &[&Runs]) -> Result<Vec<u8>, csv::Error> {
    let mut table = csv::Writer::from_writer(Vec::new());
    table.write_record(["variant", "seed"].into_iter().chain(FIGURES.map(|(name, _)| name)))?;
    for runs in variants {
        for (seed, outcome) in (runs.first_seed..).zip(&runs.outcomes) {
            let figures = FIGURES.map(|(_, read)| read(outcome).to_string());
            table.write_record([runs.name.clone(), seed.to_string()].into_iter().chain(figures))?;
        }
    }
    table.into_inner().map_err(|e| e.into_error().into())
}

fn seconds_csv(variants: &[&Runs]) -> Result<Vec<u8>, csv::Error> {
    let mut table = csv::Writer::from_writer(Vec::new());
    table.write_record([
        "variant",
        "seed",
        "second",
        "offered",
        "in time",
        "late",
        "refused",
        "failed",
        "unanswered",
        "attempts",
        "crossings",
        "p50 ms",
        "p99 ms",
        "held a core",
    ])?;
    for runs in variants {
        for (seed, outcome) in (runs.first_seed..).zip(&runs.outcomes) {
            for (n, second) in outcome.seconds.iter().enumerate() {
                let t = &second.totals;
                let counts = [
                    t.offered,
                    t.in_time,
                    t.late,
                    t.refused,
                    t.failed,
                    t.unanswered,
                    t.attempts,
                    t.crossings,
                ];
                let gauges = [second.p50_ms, second.p99_ms, second.held_per_core];
                let names = [runs.name.clone(), seed.to_string(), n.to_string()];
                let row = names.into_iter().chain(counts.map(|n| n.to_string()));
                table.write_record(row.chain(gauges.map(|gauge| gauge.to_string())))?;
            }
        }
    }
    table.into_inner().map_err(|e| e.into_error().into())
}

/// A mean with half its interval, for tables of text.
pub(super) fn text(values: &[f64]) -> String {
    let (mean, half) = mean_and_half(values);
    format!("{mean:.3} +- {}", half.map_or("-".into(), |half| format!("{half:.3}")))
}
