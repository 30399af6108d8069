//! `curlewhub-lab fleet-scale`: a fleet's own processes at sizes that no machine holds as processes, in simulated time.

use comfy_table::{Table, presets};
use curlewhub_control_plane_model::{Evidence, Fleet, SimulationSpec};
use rayon::prelude::*;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// A version is decided this often while versions are.
const APART: Duration = Duration::from_millis(500);

/// What is played.
#[derive(clap::Args, Debug)]
pub struct Scale {
    /// Numbers of sidecars.
    #[arg(long, value_delimiter = ',', default_value = "12,60,300,1000,3000,10000")]
    sizes: Vec<usize>,
    /// Regions.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=50))]
    regions: u16,
    /// Halls of each.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=50))]
    halls: u16,
    /// Keepers, in as many halls.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u16).range(1..=9))]
    keepers: u16,
    /// Seeds of each size.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Up to this size sidecars are members; each of them knows all others, which a model of ten thousand has no room for.
    #[arg(long, default_value_t = 1000)]
    members: usize,
}

/// What came of one fleet.
struct Played {
    /// From all sidecars' start with empty disks until all hold what is decided.
    joined: Option<Duration>,
    /// From a version's decision to holding it, of all sidecars.
    p50: Duration,
    p99: Duration,
    most: Duration,
    /// From the return of a region that was cut off until all hold what is decided.
    healed: Option<Duration>,
    /// Bytes a second of a sidecar, both ways, with ten versions in five seconds.
    bytes: f64,
    /// Share of a core that the busiest keeper's messages took.
    keeper: f64,
    /// The same in the three seconds after the region's return, and after the start of all.
    keeper_after: f64,
    /// Messages that found no room.
    dropped: u64,
    broken: usize,
}

/// Plays all sizes; a table.
pub fn scale(scale: &Scale) -> String {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header([
        "sidecars",
        "members",
        "joined s",
        "p50 ms",
        "p99 ms",
        "most ms",
        "region back s",
        "bytes/s a sidecar",
        "keeper's core",
        "at worst",
        "dropped",
        "rules broken",
    ]);
    for size in &scale.sizes {
        let played: Vec<Played> =
            (1..=scale.seeds).into_par_iter().map(|seed| play(scale, *size, seed)).collect();
        let most = |of: &dyn Fn(&Played) -> f64| played.iter().map(of).fold(0.0, f64::max);
        let ms = |of: fn(&Played) -> Duration| format!("{:.1}", most(&|one| of(one).as_secs_f64() * 1e3));
        let within = |of: fn(&Played) -> Option<Duration>| {
            let all: Option<Vec<Duration>> = played.iter().map(of).collect();
            let most = all.and_then(|all| all.into_iter().max());
            most.map_or("never".to_owned(), |most| format!("{:.2}", most.as_secs_f64()))
        };
        let percent = |of: fn(&Played) -> f64| format!("{:.1}%", most(&|one| of(one)) * 100.0);
        table.add_row([
            size.to_string(),
            if *size <= scale.members { "yes" } else { "no" }.to_owned(),
            within(|one| one.joined),
            ms(|one| one.p50),
            ms(|one| one.p99),
            ms(|one| one.most),
            within(|one| one.healed),
            format!("{:.0}", most(&|one| one.bytes)),
            percent(|one| one.keeper),
            percent(|one| one.keeper_after),
            played.iter().map(|one| one.dropped).sum::<u64>().to_string(),
            played.iter().map(|one| one.broken).sum::<usize>().to_string(),
        ]);
    }
    format!("{table}\nthe worst of {} seeds each\n", scale.seeds)
}

fn all_newest(fleet: &Fleet) -> bool {
    let newest = (0..fleet.consensus_servers()).map(|n| fleet.version(n)).max();
    (0..fleet.count()).all(|n| Some(fleet.version(n)) == newest)
}

/// Share of a core of the busiest keeper, over a time.
fn busiest(fleet: &Fleet, before: &[Duration], over: Duration) -> f64 {
    let of = |n: usize| (fleet.busy_time(n) - before[n]).as_secs_f64() / over.as_secs_f64();
    (0..fleet.consensus_servers()).map(of).fold(0.0, f64::max)
}

fn worked(fleet: &Fleet) -> Vec<Duration> {
    (0..fleet.consensus_servers()).map(|n| fleet.busy_time(n)).collect()
}

fn play(scale: &Scale, size: usize, seed: u64) -> Played {
    let (regions, halls) = (usize::from(scale.regions), usize::from(scale.halls));
    let spec = SimulationSpec {
        membership: size <= scale.members,
        evidence: Evidence::Well,
        ..SimulationSpec::wide(regions, halls, usize::from(scale.keepers), size)
    };
    let mut fleet = Fleet::new(spec, seed);
    // Some history, so that who has nothing has something to be told.
    fleet.run(SECOND * 4);
    for _ in 0..20 {
        fleet.propose_anywhere();
        fleet.run(Duration::from_millis(100));
    }
    fleet.run(SECOND * 10);
    let sidecars: Vec<usize> = (fleet.consensus_servers()..fleet.count()).collect();
    sidecars.iter().for_each(|n| fleet.inject(*n, curlewhub_control_plane_model::Fault::LoseDisk));
    fleet.run(SECOND);
    sidecars.iter().for_each(|n| fleet.inject(*n, curlewhub_control_plane_model::Fault::Recover));
    let (began, before) = (fleet.now(), worked(&fleet));
    let joined = fleet.run_until(SECOND * 60, all_newest).then(|| fleet.now() - began);
    fleet.run((began + SECOND * 3).saturating_sub(fleet.now()));
    let mut keeper_after = busiest(&fleet, &before, fleet.now() - began);
    // In quiet, and with versions.
    fleet.run(SECOND * 15);
    fleet.latencies = curlewhub_control_plane_model::LatencyHistogram::default();
    let (before, passed) = (worked(&fleet), fleet.totals);
    for _ in 0..20 {
        fleet.propose_anywhere();
        fleet.run(APART);
    }
    let (took, times) = (APART * 20, std::mem::take(&mut fleet.latencies));
    let bytes = (fleet.totals.bytes - passed.bytes) as f64 / took.as_secs_f64() / size.max(1) as f64;
    let keeper = busiest(&fleet, &before, took);
    // A region is gone for ten seconds.
    fleet.network.isolated_zones = (0..regions * halls)
        .filter(|hall| hall % regions == 0)
        .flat_map(|h| [(h, true), (h, false)])
        .collect();
    for _ in 0..20 {
        fleet.propose_anywhere();
        fleet.run(APART);
    }
    fleet.network.isolated_zones.clear();
    let (began, before) = (fleet.now(), worked(&fleet));
    let healed = fleet.run_until(SECOND * 60, all_newest).then(|| fleet.now() - began);
    fleet.run((began + SECOND * 3).saturating_sub(fleet.now()));
    keeper_after = keeper_after.max(busiest(&fleet, &before, fleet.now() - began));
    Played {
        joined,
        p50: times.at(0.5),
        p99: times.at(0.99),
        most: times.at(1.0),
        healed,
        bytes,
        keeper,
        keeper_after,
        dropped: fleet.totals.dropped,
        broken: fleet.invariants.violations.len(),
    }
}
