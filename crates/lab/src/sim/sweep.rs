//! A scenario over a grid of values.

use super::report::text;
use super::{Runs, mean_and_half, play, read};
use crate::chart::{Chart, Line};
use comfy_table::{Table, presets};
use curlewhub_model::Outcome;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// More cells are a mistake in the grid rather than an experiment.
const CELLS_MOST: usize = 2_000;

/// A field and the values that it takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Axis {
    /// The field's path, as for `--set`.
    pub key: String,
    /// Its values, as they are written in a scenario.
    pub values: Vec<String>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// `KEY=VALUE,VALUE,...`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (key, values) = text.split_once('=').ok_or("not KEY=VALUE,VALUE,...")?;
        let values: Vec<String> = values.split(',').map(|value| value.trim().to_owned()).collect();
        if key.is_empty() || values.iter().any(String::is_empty) {
            return Err("a key or a value is empty".to_owned());
        }
        Ok(Axis { key: key.to_owned(), values })
    }
}

/// A cell of the grid.
#[derive(Debug, Serialize)]
pub struct Cell {
    /// The place on each axis.
    pub places: Vec<usize>,
    /// Its runs.
    pub runs: Runs,
}

/// Plays every cell, on the same seeds; those that were done when `stop` was set.
///
/// # Errors
/// The grid is too large, or a cell's scenario is wrong: it is named, and nothing is played.
pub fn sweep(
    path: &Path,
    set: &[String],
    axes: &[Axis],
    (first_seed, seeds): (u64, u64),
    stop: &AtomicBool,
) -> Result<Vec<Cell>, String> {
    let cells = axes.iter().try_fold(1usize, |cells, axis| cells.checked_mul(axis.values.len()));
    if cells.is_none_or(|cells| cells > CELLS_MOST) {
        return Err(format!("the grid has more than {CELLS_MOST} cells"));
    }
    if let Some(twice) = (1..axes.len()).find(|n| axes[..*n].iter().any(|axis| axis.key == axes[*n].key)) {
        return Err(format!("--grid {}: stands twice", axes[twice].key));
    }
    let mut scenarios = Vec::new();
    for places in places(axes) {
        let own =
            axes.iter().zip(&places).map(|(axis, place)| format!("{}={}", axis.key, axis.values[*place]));
        let own: Vec<String> = own.collect();
        let mut scenario = read(path, &[set, &own].concat())?;
        scenario.name = own.join(", ");
        scenarios.push((places, scenario));
    }
    let mut played = Vec::new();
    for (places, scenario) in scenarios {
        let runs = play(scenario, first_seed, seeds, stop);
        if stop.load(Ordering::Relaxed) {
            break;
        }
        played.push(Cell { places, runs });
    }
    Ok(played)
}

/// Every combination, the last axis running fastest.
fn places(axes: &[Axis]) -> Vec<Vec<usize>> {
    axes.iter().fold(vec![Vec::new()], |all, axis| {
        let longer = |places: &Vec<usize>| {
            (0..axis.values.len()).map(|place| [&places[..], &[place]].concat()).collect::<Vec<_>>()
        };
        all.iter().flat_map(longer).collect()
    })
}

/// A row for each cell.
pub fn sweep_table(axes: &[Axis], cells: &[Cell]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    let figures = ["worth", "p50 ms", "p99 ms", "attempts", "refused", "breaks"].map(str::to_owned);
    table.set_header(axes.iter().map(|axis| axis.key.clone()).chain(figures));
    for cell in cells {
        let all =
            |read: &dyn Fn(&Outcome) -> f64| cell.runs.outcomes.iter().map(read).collect::<Vec<f64>>();
        let mean = |read: &dyn Fn(&Outcome) -> f64| mean_and_half(&all(read)).0;
        let offered = |o: &Outcome| (o.totals.offered as f64).max(1.0);
        let row = [
            text(&all(&Outcome::worth)),
            format!("{:.0}", mean(&|o| o.p50_ms)),
            format!("{:.0}", mean(&|o| o.p99_ms)),
            format!("{:.3}", mean(&|o| o.totals.attempts as f64 / offered(o))),
            format!("{:.3}", mean(&|o| o.totals.refused as f64 / offered(o))),
            format!("{:.0}", mean(&|o| (o.totals.ran_twice + o.totals.answered_twice) as f64)),
        ];
        let places = axes.iter().zip(&cell.places).map(|(axis, place)| axis.values[*place].clone());
        table.add_row(places.chain(row));
    }
    table.to_string()
}

/// A figure over the first axis, a line for each combination of the others; the band is the 95% interval.
pub fn sweep_charts(axes: &[Axis], cells: &[Cell]) -> Vec<Chart> {
    let Some(first) = axes.first() else { return Vec::new() };
    let numbers: Option<Vec<f64>> = first.values.iter().map(|value| value.parse().ok()).collect();
    // Words stand at their place.
    let at = |place: usize| -> f64 { numbers.as_ref().map_or(place as f64, |numbers| numbers[place]) };
    let at = &at;
    let lines = |read: fn(&Outcome) -> f64| {
        places(&axes[1..]).into_iter().map(move |others| {
            let own = axes[1..].iter().zip(&others);
            let name: Vec<String> =
                own.map(|(axis, place)| format!("{}={}", axis.key, axis.values[*place])).collect();
            let mut line = Line { name: name.join(", "), ..Line::default() };
            for cell in cells.iter().filter(|cell| cell.places[1..] == others) {
                let values: Vec<f64> = cell.runs.outcomes.iter().map(read).collect();
                let ((mean, half), x) = (mean_and_half(&values), at(cell.places[0]));
                line.points.push((x, mean));
                line.band.push((x, mean - half.unwrap_or(0.0), mean + half.unwrap_or(0.0)));
            }
            line
        })
    };
    let chart =
        |name, title, read| Chart { name, title, x: first.key.clone(), lines: lines(read).collect() };
    vec![
        chart("worth", "worth served, of 1", Outcome::worth as fn(&Outcome) -> f64),
        chart("p99", "99th percentile of latency, ms", |o: &Outcome| o.p99_ms),
        chart("attempts", "attempts a request", |o: &Outcome| {
            o.totals.attempts as f64 / (o.totals.offered as f64).max(1.0)
        }),
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grid_has_every_combination_and_wrong_axes_are_named() {
        let axes: Vec<Axis> = ["a=1,2", "b.c=x, y,z"].iter().map(|text| text.parse().unwrap()).collect();
        assert_eq!(axes[1], Axis { key: "b.c".into(), values: vec!["x".into(), "y".into(), "z".into()] });
        let want = [[0, 0], [0, 1], [0, 2], [1, 0], [1, 1], [1, 2]];
        assert_eq!(places(&axes), want.map(Vec::from));
        for wrong in ["a", "a=", "=1", "a=1,,2"] {
            assert!(wrong.parse::<Axis>().is_err(), "{wrong}");
        }
        let large = Axis { key: "a".into(), values: vec!["1".into(); 60] };
        let twice = [axes[0].clone(), axes[0].clone()];
        let refused = sweep(Path::new("none"), &[], &twice, (1, 1), &AtomicBool::new(false));
        assert_eq!(refused.unwrap_err(), "--grid a: stands twice");
        let refused =
            sweep(Path::new("none"), &[], &[large.clone(), large], (1, 1), &AtomicBool::new(false));
        assert_eq!(refused.unwrap_err(), "the grid has more than 2000 cells");
    }
}
