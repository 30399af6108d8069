//! Measures how what each role holds, says and computes grows with each dimension of the target.

mod control;
mod data_path;
mod depth;
mod discovery;
mod gauge;
mod membership;
mod server;

use super::file::{CapacityFile, FORMAT, Figure, Role, Slope};
use super::fit::{Fit, Point};
use super::target::Dimension;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Each slope at sizes up to the target, simulated fleets in which all are members up to [`Run::members_most`].
    Whole,
    /// The same slopes at small sizes, for tests.
    Small,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// What is measured.
    pub effort: Effort,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// The commit of the program.
    pub commit: String,
    /// Sidecars at the most of a simulated fleet in which all are members: each knows all others, which takes minutes.
    pub members_most: usize,
}

/// The sizes of a whole run, or as many small ones.
fn sizes(effort: Effort, whole: &[f64]) -> Vec<f64> {
    match effort {
        Effort::Whole => whole.to_vec(),
        // Sizes of a test stand for themselves; no curve of theirs is a figure of the page.
        Effort::Small => (1..=whole.len()).map(|n| 3.0 * n as f64).collect(),
    }
}

/// What a slope is of.
struct Subject<'a> {
    id: &'a str,
    role: Role,
    quantity: &'a str,
    unit: &'a str,
    grows_with: Dimension,
    run: &'a str,
}

impl Subject<'_> {
    /// The slope through these points; none where they are too few for a curve.
    fn through(&self, points: Vec<Point>) -> Option<Slope> {
        self.beside(points, Vec::new(), "")
    }

    /// The slope through these points, beside a baseline of the same run.
    fn beside(&self, points: Vec<Point>, baseline: Vec<Point>, baseline_of: &str) -> Option<Slope> {
        let fit = Fit::best(&points)?;
        Some(Slope {
            id: self.id.to_owned(),
            role: self.role,
            quantity: self.quantity.to_owned(),
            unit: self.unit.to_owned(),
            grows_with: self.grows_with,
            run: self.run.to_owned(),
            points,
            baseline,
            baseline_of: baseline_of.to_owned(),
            fit,
            commit: String::new(),
        })
    }
}

/// What was measured so far.
#[derive(Default)]
struct Measured {
    slopes: Vec<Slope>,
    figures: Vec<Figure>,
}

impl Measured {
    fn slope(&mut self, slope: Option<Slope>) {
        self.slopes.extend(slope);
    }

    fn figure(&mut self, id: &str, role: Role, (quantity, unit): (&str, &str), run: &str, value: f64) {
        self.figures.push(Figure {
            id: id.to_owned(),
            role,
            quantity: quantity.to_owned(),
            unit: unit.to_owned(),
            run: run.to_owned(),
            value,
        });
    }
}

/// Measures all slopes; what is done is told a line at a time.
pub fn measure(run: Run, tell: &mut dyn FnMut(&str)) -> CapacityFile {
    let Run { effort, seed, commit, members_most } = run;
    let mut measured = Measured::default();
    tell("sidecar, data path: decisions");
    data_path::measure(effort, seed, &mut measured);
    tell("sidecar, data path: depth");
    depth::measure(effort, seed, &mut measured);
    tell("discovery");
    discovery::measure(effort, &mut measured);
    tell("consensus server: evidence and view");
    server::measure(effort, &mut measured);
    tell("sidecar, control plane: membership");
    membership::measure(effort, &mut measured);
    tell("sidecar and consensus server: simulated fleets");
    control::measure((effort, members_most), seed, &mut measured, tell);
    let machine = format!(
        "{} cores, shared with other work",
        std::thread::available_parallelism().map_or(0, std::num::NonZero::get)
    );
    CapacityFile {
        format: FORMAT,
        seed,
        commit,
        machine,
        slopes: measured.slopes,
        figures: measured.figures,
    }
}
