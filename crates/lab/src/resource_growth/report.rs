//! The six rows, each with its bound and whether it held.

use super::{ResourceGrowth, Size};
use comfy_table::{Table, presets};
use serde::Serialize;

/// What one size needed and brought.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figures {
    /// The fleet.
    pub size: Size,
    /// Processor time of the sidecar from its start on.
    pub processor_seconds: f64,
    /// The most memory that was resident.
    pub peak_memory_bytes: u64,
    /// The most descriptors that were open.
    pub descriptors: u64,
    /// Connections that the endpoints accepted.
    pub connections: u64,
    /// Bytes of lists that discovery wrote.
    pub list_bytes: u64,
    /// Requests.
    pub asked: u64,
    /// Of these, served in the end.
    pub served: u64,
    /// Tries without an answer; no row of the bounds, and none may be.
    pub unanswered_tries: u64,
}

impl Figures {
    fn share_served(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// How far a figure may grow from the usual size: so many times, and so much more, and so much for each thousand
/// endpoints that the large fleet has more.
struct Bound {
    times: f64,
    plus: f64,
    per_thousand: f64,
}

const KILO: f64 = 1e3;
const MEGA: f64 = 1e6;

// The table of the standing test's section "Beyond this bench".
const PROCESSOR: Bound = Bound { times: 1.4, plus: 0.02, per_thousand: 0.03 };
const MEMORY: Bound = Bound { times: 1.5, plus: 8.0 * MEGA, per_thousand: 4.0 * MEGA };
const DESCRIPTORS: Bound = Bound { times: 2.0, plus: 40.0, per_thousand: 0.0 };
const CONNECTIONS: Bound = Bound { times: 2.5, plus: 40.0, per_thousand: 0.0 };
const LISTS: Bound = Bound { times: 2.0, plus: 64.0 * KILO, per_thousand: 500.0 * KILO };
/// The share served is no less than this part of the usual one.
const SERVED_PART: f64 = 0.85;

/// One row.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// What grows.
    pub what: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// At the usual size.
    pub usual: f64,
    /// At the large one.
    pub large: f64,
    /// What the large one may be: at most this, or at least this for the share served.
    pub bound: f64,
    /// Whether it is.
    pub held: bool,
}

/// The six rows.
pub fn rows(usual: &Figures, large: &Figures) -> Vec<Row> {
    let thousands = f64::from(large.size.endpoints.saturating_sub(usual.size.endpoints)) / KILO;
    let grown = |what, unit, scale: f64, bound: &Bound, of: &dyn Fn(&Figures) -> f64| {
        let (usual, large) = (of(usual), of(large));
        let most = bound.times * usual + bound.plus + bound.per_thousand * thousands;
        let held = large <= most;
        Row { what, unit, usual: usual / scale, large: large / scale, bound: most / scale, held }
    };
    let (before, after) = (usual.share_served(), large.share_served());
    let least = SERVED_PART * before;
    vec![
        grown("processor time", "s", 1.0, &PROCESSOR, &|figures| figures.processor_seconds),
        grown("peak memory", "MB", MEGA, &MEMORY, &|figures| figures.peak_memory_bytes as f64),
        grown("descriptors", "", 1.0, &DESCRIPTORS, &|figures| figures.descriptors as f64),
        grown("connections made to endpoints", "", 1.0, &CONNECTIONS, &|figures| {
            figures.connections as f64
        }),
        grown("bytes of lists from discovery", "KB", KILO, &LISTS, &|figures| figures.list_bytes as f64),
        Row {
            what: "share served",
            unit: "",
            usual: before,
            large: after,
            bound: least,
            held: after >= least,
        },
    ]
}

/// All of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests a second.
    pub rate: f64,
    /// For how long they came.
    pub seconds: f64,
    /// What was drawn follows from it.
    pub seed: u64,
    /// The machine's load as the run began, over the last minute.
    pub load_average: Option<f64>,
    /// At the usual size.
    pub usual: Figures,
    /// At the large one.
    pub large: Figures,
    /// What grew, beside its bounds.
    pub rows: Vec<Row>,
    /// All of them held.
    pub held: bool,
}

impl Report {
    /// Judges both sizes.
    pub fn new(run: &ResourceGrowth, load_average: Option<f64>, usual: Figures, large: Figures) -> Self {
        let rows = rows(&usual, &large);
        let held = rows.iter().all(|row| row.held);
        Report {
            rate: run.rate,
            seconds: run.seconds,
            seed: run.seed,
            load_average,
            usual,
            large,
            rows,
            held,
        }
    }

    /// The rows as a table.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN);
        let size = |figures: &Figures| format!("{} of {}", figures.size.endpoints, figures.size.sidecars);
        table.set_header(["what", &size(&self.usual), &size(&self.large), "bound", "verdict"]);
        for row in &self.rows {
            let least = row.what == "share served";
            let figure = |value: f64| {
                if least || row.unit == "s" { format!("{value:.3}") } else { format!("{value:.1}") }
            };
            let bound = format!("{} {}", if least { "at least" } else { "at most" }, figure(row.bound));
            let what = if row.unit.is_empty() {
                row.what.to_owned()
            } else {
                format!("{}, {}", row.what, row.unit)
            };
            let verdict = if row.held { "held" } else { "NOT HELD" };
            table.add_row([what, figure(row.usual), figure(row.large), bound, verdict.to_owned()]);
        }
        let load = self.load_average.map_or("unknown".to_owned(), |load| format!("{load:.2}"));
        format!("{table}\nload average as the run began: {load}")
    }
}
