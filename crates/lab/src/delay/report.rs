//! What a run has measured, as a table and as JSON.

use super::client::{Arrivals, Failures, Measured};
use super::sidecar::Scheduled;
use super::summary::{Percentiles, median};
use comfy_table::{Table, presets};
use serde::Serialize;

/// One path's figures in one round.
#[derive(Clone, Debug, Serialize)]
pub struct PathFigures {
    /// In microseconds.
    pub latency: Percentiles,
    /// Answered requests.
    pub answered: usize,
    /// Requests without the answer that they were to have, by what came instead.
    pub failures: Failures,
    /// Answers a second.
    pub per_second: f64,
    /// The 99th percentile of how late the clients' own threads woke, in microseconds.
    pub client_late_p99: f64,
    /// Connections that endpoints accepted meanwhile.
    pub connections_opened: usize,
}

impl PathFigures {
    /// Of what was measured.
    pub fn new(measured: Measured, connections_opened: usize) -> Self {
        let answered = measured.latencies.count();
        PathFigures {
            latency: measured.latencies.percentiles(),
            answered,
            failures: measured.failures,
            per_second: answered as f64 / measured.lasted.as_secs_f64().max(1e-9),
            client_late_p99: measured.lateness.percentiles().p99,
            connections_opened,
        }
    }
}

/// Where the time of a sidecar's thread went, for each request and sidecar, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SidecarTime {
    /// On a processor.
    pub running: f64,
    /// Ready to run, and waiting for a processor.
    pub queued: f64,
    /// Times that it was put on a processor.
    pub slices: f64,
}

impl SidecarTime {
    /// Of what all sidecars of a path have used between two looks.
    pub fn new(before: &[Scheduled], after: &[Scheduled], requests: usize) -> Self {
        let sum = |of: fn(&Scheduled) -> f64| {
            let total: f64 = after.iter().map(of).sum::<f64>() - before.iter().map(of).sum::<f64>();
            total / (requests * before.len()).max(1) as f64
        };
        SidecarTime {
            running: sum(|s| s.running.as_secs_f64() * 1e6),
            queued: sum(|s| s.queued.as_secs_f64() * 1e6),
            slices: sum(|s| s.slices as f64),
        }
    }
}

/// One round of paced requests over all paths in turn.
#[derive(Clone, Debug, Serialize)]
pub struct PacedRound {
    /// Straight to the endpoints.
    pub direct: PathFigures,
    /// Through as many relays as there are sidecars.
    pub relay: PathFigures,
    /// Through the sidecars.
    pub sidecar: PathFigures,
    /// Where the kernel tells it.
    pub sidecar_time: Option<SidecarTime>,
}

/// Paced requests of one kind.
#[derive(Clone, Debug, Serialize)]
pub struct PacedCell {
    /// Sidecars in a row.
    pub depth: usize,
    /// Bytes of an answer's body.
    pub size: usize,
    /// Requests a second over each path.
    pub rate: f64,
    /// Each round on its own.
    pub rounds: Vec<PacedRound>,
    /// Medians over the rounds, in microseconds.
    pub direct: Percentiles,
    /// Medians over the rounds.
    pub relay: Percentiles,
    /// Medians over the rounds.
    pub sidecar: Percentiles,
    /// What the sidecars add: medians over the rounds of the differences within each round.
    pub added: Percentiles,
}

impl PacedCell {
    /// Of its rounds.
    pub fn new(depth: usize, size: usize, rate: f64, rounds: Vec<PacedRound>) -> Self {
        let medians = |of: fn(&PacedRound) -> Percentiles| {
            Percentiles::medians(&rounds.iter().map(of).collect::<Vec<_>>())
        };
        PacedCell {
            depth,
            size,
            rate,
            direct: medians(|round| round.direct.latency),
            relay: medians(|round| round.relay.latency),
            sidecar: medians(|round| round.sidecar.latency),
            added: medians(|round| round.sidecar.latency.above(round.direct.latency)),
            rounds,
        }
    }
}

/// One connection that asks again at once, over one path; a figure for each round.
#[derive(Clone, Debug, Serialize)]
pub struct ClosedLoop {
    /// Which path.
    pub path: &'static str,
    /// Each round on its own.
    pub rounds: Vec<PathFigures>,
}

/// All that a run has measured.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// How paced requests were spread over time.
    pub arrivals: Arrivals,
    /// Endpoints that a chain's last sidecar chooses from.
    pub endpoints: usize,
    /// Seconds of each round.
    pub seconds: f64,
    /// All that was drawn follows from it.
    pub seed: u64,
    /// Paced requests.
    pub paced: Vec<PacedCell>,
    /// One connection that asks again at once.
    pub closed_loop: Vec<ClosedLoop>,
}

impl Report {
    /// Requests without the answer that they were to have, by path and by what came instead.
    pub fn failures(&self) -> Failures {
        let mut failures = Failures::new();
        let mut add = |path: &str, figures: &PathFigures| {
            for (what, count) in &figures.failures {
                *failures.entry(format!("{path}: {what}")).or_default() += count;
            }
        };
        for round in self.paced.iter().flat_map(|cell| &cell.rounds) {
            add("direct", &round.direct);
            add("relay", &round.relay);
            add("sidecar", &round.sidecar);
        }
        for path in &self.closed_loop {
            path.rounds.iter().for_each(|round| add(path.path, round));
        }
        failures
    }

    /// The figures for people: medians over the rounds, in microseconds.
    pub fn tables(&self) -> String {
        format!("{}\n\n{}", self.paced_table(), self.closed_loop_table())
    }

    fn paced_table(&self) -> Table {
        let mut table = new_table(&[
            "sidecars",
            "bytes",
            "a second",
            "direct p50 / p99 / p99.9",
            "relay",
            "sidecar",
            "added",
            "running",
            "queued",
            "slices",
            "opened",
        ]);
        for cell in &self.paced {
            let time = |of: fn(&SidecarTime) -> f64| {
                median(cell.rounds.iter().filter_map(|round| round.sidecar_time.as_ref()).map(of))
            };
            let opened = median(cell.rounds.iter().map(|round| round.sidecar.connections_opened as f64));
            table.add_row([
                cell.depth.to_string(),
                cell.size.to_string(),
                cell.rate.to_string(),
                triple(cell.direct),
                triple(cell.relay),
                triple(cell.sidecar),
                triple(cell.added),
                format!("{:.0}", time(|time| time.running)),
                format!("{:.0}", time(|time| time.queued)),
                format!("{:.1}", time(|time| time.slices)),
                format!("{opened:.0}"),
            ]);
        }
        table
    }

    fn closed_loop_table(&self) -> Table {
        let mut table = new_table(&["asked again at once", "a second", "p50 / p99 / p99.9", "opened"]);
        for path in &self.closed_loop {
            let latencies: Vec<Percentiles> = path.rounds.iter().map(|round| round.latency).collect();
            let opened = median(path.rounds.iter().map(|round| round.connections_opened as f64));
            table.add_row([
                path.path.to_owned(),
                format!("{:.0}", median(path.rounds.iter().map(|round| round.per_second))),
                triple(Percentiles::medians(&latencies)),
                format!("{opened:.0}"),
            ]);
        }
        table
    }
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}

fn triple(percentiles: Percentiles) -> String {
    format!("{:.0} / {:.0} / {:.0}", percentiles.p50, percentiles.p99, percentiles.p999)
}
