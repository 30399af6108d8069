//! The paper's section 8 again, and what own counts lose against true occupancies.

use crate::chart::{self, Chart, Line};
use crate::sim::mean_and_half;
use comfy_table::{Table, presets};
use curlewhub_loss_model::field::Field;
use curlewhub_loss_model::fleet::{Plan, Sight, play};
use curlewhub_loss_model::{CAPACITY, Service, erlang_b, lower_bound};
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::Serialize;
use std::path::Path;

/// The mean field is at its fixed point long before: what is left then is the integration's error.
const SETTLED: f64 = 60.0;
/// Loads of the second figure, arrivals a server.
const LOADS: [f64; 12] = [2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 5.5, 6.0, 7.0, 8.0, 9.0, 10.0];
/// The load at which fleets of several sizes, lengths and dispatchers are compared: near what servers bear, so that
/// there is something to lose.
const LOAD: f64 = 4.5;
/// How much is played.
#[derive(Clone, Copy, Debug)]
pub struct Effort {
    /// Runs for each figure.
    pub seeds: u64,
    /// Job arrivals that are counted in each run, about.
    pub jobs: f64,
}

/// A simulated figure beside the one that theory gives.
#[derive(Clone, Debug, Serialize)]
pub struct Beside {
    /// What was played.
    pub what: String,
    /// Part of the jobs lost, by the mean field's fixed point.
    pub field: f64,
    /// The same as played, the mean over the seeds.
    pub played: f64,
    /// Half its 95% interval.
    pub half: Option<f64>,
}

/// All of it.
#[derive(Clone, Debug, Serialize)]
pub struct Paper {
    /// Figure 1: the squared distance to the fixed point over time, from four starts.
    pub distance: Vec<Line>,
    /// Figure 2: the part lost against the load, by number of choices, and the lower bound.
    pub blocking: Vec<Line>,
    /// Fleets of several sizes.
    pub sizes: Vec<Beside>,
    /// Job lengths of one mean.
    pub lengths: Vec<Beside>,
    /// d = 1 against Erlang's formula, which stands in for the field.
    pub erlang: Vec<Beside>,
    /// The part lost by dispatchers that see their own jobs alone, against how many there are.
    pub own: Vec<Beside>,
}

/// Works it all out, on all cores.
///
/// # Errors
/// The equations could not be integrated.
pub fn paper(effort: Effort) -> Result<Paper, String> {
    let mixed = Service::MixedErlang;
    let base = |servers: usize| Plan {
        servers,
        capacity: CAPACITY,
        lambda: LOAD,
        choices: 2,
        sight: Sight::True,
        service: mixed,
        warm_up: 20.0,
        lasts: effort.jobs / (LOAD * servers as f64),
    };
    let field = blocking(LOAD, 2)?;
    let sizes = [100, 1000, 10_000].map(|n| (format!("N = {n}"), field, base(n)));
    let kinds = [Service::Exponential, mixed, Service::LogNormal(1.5), Service::Pareto(2.5)];
    let lengths = kinds.map(|service| (service.name(), field, Plan { service, ..base(10_000) }));
    let erlang = [2.0, 4.5, 7.0].map(|lambda| {
        let plan = Plan { lambda, choices: 1, ..base(1000) };
        (format!("lambda = {lambda}, d = 1"), erlang_b(CAPACITY, lambda), plan)
    });
    let dispatchers = [1, 2, 3, 4, 10, 30, 100, 300, 1000];
    let own = dispatchers.map(|n| (n.to_string(), field, Plan { sight: Sight::Own(n), ..base(1000) }));
    let groups = [sizes.to_vec(), lengths.to_vec(), erlang.to_vec(), own.to_vec()];
    let mut played = beside(&groups.concat(), effort.seeds).into_iter();
    let mut next = |group: &Vec<_>| played.by_ref().take(group.len()).collect::<Vec<Beside>>();
    let [sizes, lengths, erlang, own] = groups.each_ref().map(&mut next);
    Ok(Paper { distance: distances()?, blocking: blockings()?, sizes, lengths, erlang, own })
}

/// Plays each with so many seeds.
fn beside(plans: &[(String, f64, Plan)], seeds: u64) -> Vec<Beside> {
    let runs: Vec<(usize, u64)> =
        (0..plans.len()).flat_map(|n| (1..=seeds).map(move |seed| (n, seed))).collect();
    let bar = ProgressBar::new(runs.len() as u64);
    let style = ProgressStyle::with_template("{bar:20} {pos}/{len} runs  {per_sec}  {eta} left");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let lost: Vec<f64> = runs
        .par_iter()
        .progress_with(bar.clone())
        .map(|(n, seed)| play(&plans[*n].2, *seed).blocking())
        .collect();
    bar.finish_and_clear();
    let one = |((what, field, _), lost): (&(String, f64, Plan), &[f64])| {
        let (played, half) = mean_and_half(lost);
        Beside { what: what.clone(), field: *field, played, half }
    };
    plans.iter().zip(lost.chunks(seeds.max(1) as usize)).map(one).collect()
}

/// The part lost at the mean field's fixed point.
fn blocking(lambda: f64, choices: usize) -> Result<f64, String> {
    let field = Field::new(lambda, choices);
    let path = field.follow(field.start(Some(0)), SETTLED, 100)?;
    Ok(path.shares.last().map_or(0.0, |shares| field.blocking(shares)))
}

fn distances() -> Result<Vec<Line>, String> {
    let field = Field::new(1.0, 2);
    let settled = field.follow(field.start(Some(0)), SETTLED, 100)?.shares.pop().ok_or("no path")?;
    let starts = [
        ("all servers empty", Some(0)),
        ("two jobs each", Some(2)),
        ("all servers full", Some(CAPACITY)),
        ("every state alike", None),
    ];
    let line = |(name, start): (&str, Option<usize>)| {
        let path = field.follow(field.start(start), 8.0, 10)?;
        let points =
            path.times.iter().zip(&path.shares).map(|(at, shares)| (*at, field.distance(shares, &settled)));
        Ok(Line { name: name.to_owned(), points: points.collect(), ..Line::default() })
    };
    starts.into_iter().map(line).collect()
}

fn blockings() -> Result<Vec<Line>, String> {
    let line = |choices: usize| {
        let points: Result<Vec<_>, String> =
            LOADS.par_iter().map(|lambda| Ok((*lambda, blocking(*lambda, choices)?))).collect();
        Ok(Line { name: format!("d = {choices}"), points: points?, ..Line::default() })
    };
    let mut lines: Vec<Line> = [1, 2, 3, 5].into_iter().map(line).collect::<Result<_, String>>()?;
    let bound = LOADS.map(|lambda| (lambda, lower_bound(CAPACITY, lambda)));
    lines.push(Line { name: "lower bound".to_owned(), points: bound.to_vec(), ..Line::default() });
    Ok(lines)
}

/// The tables, for people.
pub fn tables(paper: &Paper) -> String {
    let groups = [
        ("fleets of several sizes, d = 2, lambda = 4.5", "mean field", &paper.sizes),
        ("job lengths of one mean, N = 10,000", "mean field", &paper.lengths),
        ("one choice, N = 1,000", "Erlang B", &paper.erlang),
        (
            "dispatchers that see their own jobs alone, N = 1,000, d = 2",
            "true counts, N to infinity",
            &paper.own,
        ),
    ];
    let text = |(title, known, group): (&str, &str, &Vec<Beside>)| {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        table.set_header(["what", known, "part lost, played", "95% interval +-", "difference"]);
        for one in group {
            let half = one.half.map_or("-".to_owned(), |half| format!("{half:.5}"));
            let difference = format!("{:+.5}", one.played - one.field);
            let (field, played) = (format!("{:.5}", one.field), format!("{:.5}", one.played));
            table.add_row([one.what.clone(), field, played, half, difference]);
        }
        format!("{title}\n{table}\n")
    };
    groups.into_iter().map(text).collect::<Vec<_>>().join("\n")
}

/// Writes the plots into a folder; their paths.
///
/// # Errors
/// A file can't be written.
pub fn plots(paper: &Paper, folder: &Path) -> Result<Vec<String>, String> {
    let logs = |lines: &[Line], log_x: bool| -> Vec<Line> {
        let log = |value: f64| value.max(1e-12).log10();
        let at = |(x, y): &(f64, f64)| if log_x { (log(*x), *y) } else { (*x, log(*y)) };
        lines.iter().map(|l| Line { points: l.points.iter().map(at).collect(), ..l.clone() }).collect()
    };
    let own = |name: &str, read: fn(&Beside) -> f64| Line {
        name: name.to_owned(),
        points: paper.own.iter().map(|one| (one.what.parse().unwrap_or(1.0), read(one))).collect(),
        ..Line::default()
    };
    let alone = own("one choice at random (Erlang B)", |_| erlang_b(CAPACITY, LOAD));
    let own = [own("own counts", |one| one.played), own("true counts", |one| one.field), alone];
    let chart = |name, title, x: &str, lines| Chart { name, title, x: x.to_owned(), lines };
    let charts = [
        chart(
            "figure-1",
            "squared distance to the fixed point, log10",
            "mean job lengths",
            logs(&paper.distance, false),
        ),
        chart("figure-2", "part of the jobs lost", "arrivals a server, lambda", paper.blocking.clone()),
        chart("own-counts", "part of the jobs lost, lambda = 4.5", "dispatchers, log10", logs(&own, true)),
    ];
    chart::write(&chart::draw(&charts)?, folder)
}
