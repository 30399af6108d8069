//! Experiments in simulated time: a scenario over many seeds, two variants side by side, plots.

mod baselines;
mod compare;
mod plot;
mod report;
mod scale;
mod sweep;
mod table;

pub use baselines::{Baselines, baselines, baselines_table};
pub use compare::{Comparison, Difference, Verdict, compare, mean_and_half};
pub use report::write;
pub use scale::{Size, play_size, scale_table, scaled};
pub use sweep::{Axis, Cell, sweep, sweep_charts, sweep_table};
pub use table::{comparison_table, summary_table};

use curlewhub_model::{Outcome, Scenario, run};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Serialize;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};

/// A scenario's runs, by seed from the first one on.
#[derive(Debug, Serialize)]
pub struct Runs {
    /// The scenario's name, and what was set in it.
    pub name: String,
    /// The scenario as it was played.
    pub scenario: Scenario,
    /// The first seed; each further run has the next one.
    pub first_seed: u64,
    /// What each run brought.
    pub outcomes: Vec<Outcome>,
}

/// Reads a scenario file and sets fields in it: `replacements.0.carry.windows=false`.
///
/// # Errors
/// What is wrong, with the file's or the field's name.
pub fn read(path: &Path, set: &[String]) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut value: toml::Value = toml::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    for one in set {
        assign(&mut value, one).map_err(|problem| format!("--set {one}: {problem}"))?;
    }
    let text = toml::to_string(&value).map_err(|e| e.to_string())?;
    let mut scenario = Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    if !set.is_empty() {
        scenario.name = format!("{} with {}", scenario.name, set.join(", "));
    }
    Ok(scenario)
}

/// Sets one field by its path; fields that are not there yet are made, places of a list are not.
fn assign(value: &mut toml::Value, set: &str) -> Result<(), String> {
    let (path, new) = set.split_once('=').ok_or("not KEY=VALUE")?;
    let parsed =
        toml::from_str::<toml::Table>(&format!("v = {new}")).ok().and_then(|mut table| table.remove("v"));
    let new = parsed.unwrap_or_else(|| toml::Value::String(new.to_owned()));
    let mut at = value;
    for part in path.split('.') {
        at = match at {
            toml::Value::Array(list) => {
                let place: usize = part.parse().map_err(|_| format!("`{part}` is no place in a list"))?;
                list.get_mut(place).ok_or(format!("there is no place {place}"))?
            }
            toml::Value::Table(table) => {
                table.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            _ => return Err(format!("`{part}` lies in what has no fields")),
        };
    }
    *at = new;
    Ok(())
}

/// Plays a scenario with so many seeds, on all cores; those runs that were done when `stop` was set.
pub fn play(scenario: Scenario, first_seed: u64, seeds: u64, stop: &AtomicBool) -> Runs {
    let bar = ProgressBar::new(seeds);
    let style = ProgressStyle::with_template("{bar:20} {pos}/{len} runs  {per_sec}  {eta} left  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.set_message(scenario.name.clone());
    let one = |seed| (!stop.load(Ordering::Relaxed)).then(|| run(&scenario, seed));
    let seeds = (first_seed..first_seed + seeds).into_par_iter().progress_with(bar.clone());
    let done: Vec<Option<Outcome>> = seeds.map(one).collect();
    bar.finish_and_clear();
    // Up to the first that is missing, so that the seeds stay in a row.
    let outcomes = done.into_iter().map_while(|outcome| outcome).collect();
    Runs { name: scenario.name.clone(), scenario, first_seed, outcomes }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fields_are_set_by_their_path() {
        let mut value: toml::Value = toml::from_str("a = 1\n[[list]]\nb = \"x\"\n").unwrap();
        assign(&mut value, "list.0.b=5s").unwrap();
        assign(&mut value, "list.0.new.deep=false").unwrap();
        assign(&mut value, "a=2.5").unwrap();
        assert_eq!(value["list"][0]["b"].as_str(), Some("5s"));
        assert_eq!(value["list"][0]["new"]["deep"].as_bool(), Some(false));
        assert_eq!(value["a"].as_float(), Some(2.5));
        for wrong in ["a", "list.3.b=1", "list.x.b=1", "a.b=1"] {
            assert!(assign(&mut value, wrong).is_err(), "{wrong}");
        }
    }
}
