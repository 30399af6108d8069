//! What a run costs, as the fleet grows: the same scenario at several sizes, one after the other on one core.

use comfy_table::{Table, presets};
use curlewhub_model::{Prepared, Scenario};
use nix::sys::resource::{UsageWho, getrusage};
use serde::Serialize;
use std::time::Instant;

/// One size.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// The multiple of the scenario's fleet and load.
    pub factor: f64,
    /// Endpoints.
    pub endpoints: u32,
    /// Sidecars.
    pub sidecars: u32,
    /// Requests that came.
    pub requests: u64,
    /// Worth served, 0 to 1: the sizes are to do alike.
    pub worth: f64,
    /// Events played.
    pub events: u64,
    /// Seconds to set the fleet up.
    pub set_up_s: f64,
    /// Seconds to play it.
    pub run_s: f64,
    /// Most memory the program has held so far, in MB of a million bytes.
    pub memory_mb: f64,
}

impl Size {
    /// Microseconds an event.
    pub fn event_us(&self) -> f64 {
        self.run_s * 1e6 / (self.events as f64).max(1.0)
    }
}

/// A scenario with so many times its endpoints and requests, at least one of each, and its sidecars unless they stay.
pub fn scaled(scenario: &Scenario, factor: f64, sidecars_stay: bool) -> Scenario {
    let mut scaled = scenario.clone();
    let times = |count: u32| (f64::from(count) * factor).round().max(1.0) as u32;
    if !sidecars_stay {
        scaled.sidecars = times(scaled.sidecars);
    }
    scaled.arrivals.rate *= factor;
    scaled.endpoints.iter_mut().for_each(|kind| kind.count = times(kind.count));
    scaled
}

/// Plays a scaled scenario, this many times the original.
pub fn play_size(scaled: &Scenario, factor: f64, seed: u64) -> Size {
    let begun = Instant::now();
    let prepared = Prepared::new(scaled, seed);
    let set_up = begun.elapsed();
    let outcome = prepared.run();
    let run = begun.elapsed() - set_up;
    // Linux counts it in KiB; it fails for no caller that may ask about itself.
    let most = getrusage(UsageWho::RUSAGE_SELF).map_or(0, |usage| usage.max_rss());
    Size {
        factor,
        endpoints: scaled.endpoints.iter().map(|kind| kind.count).sum(),
        sidecars: scaled.sidecars,
        requests: outcome.totals.offered,
        worth: outcome.worth(),
        events: outcome.events,
        set_up_s: set_up.as_secs_f64(),
        run_s: run.as_secs_f64(),
        memory_mb: most as f64 * 1024.0 / 1e6,
    }
}

/// A row for each size; the cost of an event also as a multiple of the first one's.
pub fn scale_table(sizes: &[Size]) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "endpoints",
        "sidecars",
        "requests",
        "worth",
        "events",
        "set-up s",
        "run s",
        "events/s",
        "us an event",
        "times",
        "memory MB",
    ]);
    for size in sizes {
        let times = sizes.first().map_or(1.0, |first| size.event_us() / first.event_us().max(1e-9));
        table.add_row([
            size.endpoints.to_string(),
            size.sidecars.to_string(),
            size.requests.to_string(),
            format!("{:.3}", size.worth),
            size.events.to_string(),
            format!("{:.2}", size.set_up_s),
            format!("{:.2}", size.run_s),
            format!("{:.0}", size.events as f64 / size.run_s.max(1e-9)),
            format!("{:.2}", size.event_us()),
            format!("{times:.2}"),
            format!("{:.0}", size.memory_mb),
        ]);
    }
    table.to_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use curlewhub_config::units::Span;
    use std::time::Duration;

    #[test]
    fn a_scaled_fleet_has_as_many_times_everything_and_serves_alike() {
        let text = include_str!("../../../../scenarios/large.toml");
        let mut scenario = Scenario::parse(text).unwrap();
        scenario.lasts = Span(Duration::from_secs(3));
        let sizes = [0.001, 0.004].map(|factor| play_size(&scaled(&scenario, factor, false), factor, 1));
        assert_eq!(sizes.each_ref().map(|size| (size.endpoints, size.sidecars)), [(10, 1), (40, 4)]);
        assert!(sizes[1].requests > 3 * sizes[0].requests && sizes[1].events > 3 * sizes[0].events);
        assert!(sizes.iter().all(|size| size.worth > 0.8 && size.memory_mb > 1.0), "{sizes:?}");
        let table = scale_table(&sizes);
        assert!(table.contains("| 40 ") && table.contains("| 1.00 "), "{table}");
    }
}
