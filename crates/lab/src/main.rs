//! `curlewhub-lab`: experiments with curlewhub.

use clap::{Parser, Subcommand};
use curlewhub_lab::capacity::{self, CapacityCommand};
use curlewhub_lab::chart::Chart;
use curlewhub_lab::delay;
use curlewhub_lab::demo;
use curlewhub_lab::discovery_load;
use curlewhub_lab::fleet_scale;
use curlewhub_lab::load::{self, Arrivals, Look, Mix, Plan};
use curlewhub_lab::paper;
use curlewhub_lab::request_soak::RequestSoak;
use curlewhub_lab::resource_growth::ResourceGrowth;
use curlewhub_lab::rig::{self, Ended, RigCommand};
use curlewhub_lab::scale_run;
use curlewhub_lab::sim;
use curlewhub_lab::timeline::{Timeline, timeline};
use curlewhub_rig::scale;
use curlewhub_standins::books::Books;
use indicatif::{ProgressBar, ProgressStyle};
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Wrong use.
const USAGE: u8 = 2;
/// Ended by a signal, as shells count it.
const INTERRUPTED: u8 = 130;

/// Experiments with curlewhub.
#[derive(Debug, Parser)]
#[command(name = "curlewhub-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure what each role needs, and make the capacity page of it.
    #[command(subcommand)]
    Capacity(CapacityCommand),
    /// Start everything, break some of it, and check what came of that.
    Demo {
        /// For how long requests come.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
        /// Requests a second.
        #[arg(long, default_value_t = 150.0)]
        rate: f64,
        /// All that is drawn follows from it.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// The sidecar's program; this file's own by default.
        #[arg(long, value_name = "PROGRAM")]
        sidecar: Option<PathBuf>,
        /// Write the verdict there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a page there that needs no network.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
    },
    /// Measure what sidecars add to a request's time, beside direct requests and a relay.
    Delay {
        #[command(flatten)]
        delay: delay::Delay,
        /// Write all figures there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Play a fleet's own processes at many sizes in simulated time: how versions spread, and what that costs.
    FleetScale(fleet_scale::Scale),
    /// Play discovery's return under the calls of a whole fleet, with several schemes of waits.
    DiscoveryLoad(discovery_load::DiscoveryLoad),
    /// Make load, and account for every request.
    Load {
        /// A sidecar; may come often.
        #[arg(long, value_name = "ADDR", required = true)]
        to: Vec<SocketAddr>,
        /// Requests a second, at random (open loop).
        #[arg(long, default_value_t = 100.0, conflicts_with = "clients")]
        rate: f64,
        /// Evenly instead of at random.
        #[arg(long, conflicts_with = "clients")]
        even: bool,
        /// So many clients that each ask again once they are answered (closed loop).
        #[arg(long, value_name = "N")]
        clients: Option<usize>,
        /// For how long requests come.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// What the requests are (TOML); `mix` prints the default.
        #[arg(long, value_name = "FILE")]
        mix: Option<PathBuf>,
        /// All that is drawn follows from it.
        #[arg(long, default_value_t = 7)]
        seed: u64,
        /// Open requests, at the most.
        #[arg(long, default_value_t = 10_000)]
        open_most: usize,
        /// Write each try and each request into this file at its end: a JSON object a line.
        #[arg(long, value_name = "FILE")]
        books: Option<PathBuf>,
        /// Write the books there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Play real sidecars under faults and signals, and judge every request from outside.
    RequestSoak(RequestSoak),
    /// Play a scenario in simulated time, with many seeds.
    Sim {
        /// The scenario (TOML).
        scenario: PathBuf,
        /// Set a field: `replacements.0.carry.windows=false`; may come often.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        #[command(flatten)]
        runs: Runs,
    },
    /// Play two variants with the same seeds, and tell what differs.
    Compare {
        /// The first scenario.
        first: PathBuf,
        /// The second one; the first one again where nothing is said.
        second: Option<PathBuf>,
        /// Set a field in both; may come often.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Set a field in the first one alone.
        #[arg(long, value_name = "KEY=VALUE")]
        set_first: Vec<String>,
        /// Set a field in the second one alone.
        #[arg(long, value_name = "KEY=VALUE")]
        set_second: Vec<String>,
        #[command(flatten)]
        runs: Runs,
    },
    /// Play a scenario with the decision module and with the textbook's rules beside it, on the same events.
    Baselines {
        /// The scenario (TOML).
        scenario: PathBuf,
        /// Set a field; may come often.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        #[command(flatten)]
        runs: Runs,
    },
    /// Play a scenario over a grid of values, all cells on the same seeds.
    Sweep {
        /// The scenario (TOML).
        scenario: PathBuf,
        /// Set a field in every cell; may come often.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// A field and its values; may come often, and each combination is a cell.
        #[arg(long, value_name = "KEY=VALUE,...", required = true)]
        grid: Vec<sim::Axis>,
        #[command(flatten)]
        runs: Runs,
    },
    /// Play a scenario at several sizes, and tell what an event costs at each.
    Scale {
        /// The scenario (TOML).
        scenario: PathBuf,
        /// Set a field; may come often.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Multiples of its endpoints, sidecars and requests, played in this order.
        #[arg(long, value_delimiter = ',', default_values_t = [0.01, 0.1, 1.0])]
        times: Vec<f64>,
        /// The number of sidecars stays as it is.
        #[arg(long)]
        sidecars_stay: bool,
        /// All that is drawn follows from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write all figures there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Work the paper's section 8 out again, and what own counts lose against true ones.
    Paper {
        /// Runs for each figure.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(2..=1000))]
        seeds: u64,
        /// Job arrivals counted in each run, about.
        #[arg(long, default_value_t = 2_000_000.0)]
        jobs: f64,
        /// Write plots into this folder, as SVG.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
        /// Write all figures there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measure what one sidecar needs in the usual fleet and in one sixteen times as large, beside the bounds.
    ResourceGrowth {
        #[command(flatten)]
        growth: ResourceGrowth,
        /// Write all figures there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Many processes on one rig, with faults between them, and one verdict.
    #[command(subcommand)]
    Rig(RigCommand),
    /// Start the control planes of a whole fleet on this machine, most without a data path, and judge what comes of events.
    ScaleRun(scale_run::ScaleRun),
    /// Merge the logs of several processes into one timeline.
    Timeline(Timeline),
    /// Print the default mix of requests.
    Mix,
    /// Host control planes of a scale run.
    #[command(hide = true)]
    Hollow {
        /// Its spec (JSON).
        spec: PathBuf,
    },
    /// Carry what enters a zone of a scale run.
    #[command(hide = true)]
    Gateway {
        /// Its spec (JSON).
        spec: PathBuf,
    },
    /// Be stand-ins: the words are curlewhub-standin's own.
    #[command(hide = true, disable_help_flag = true)]
    Standin {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
    /// Be a sidecar: the words are curlewhub's own.
    #[command(hide = true, disable_help_flag = true)]
    Sidecar {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        words: Vec<OsString>,
    },
}

/// How runs are made, and where they go.
#[derive(clap::Args, Debug)]
struct Runs {
    /// Runs, each with a seed of its own.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Write a report into this folder: a page that holds everything, its plots as SVG, its figures as CSV.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Write all figures there as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::ScaleRun(options) => match options.spec() {
            Ok(spec) => block_on(scale_run::play(spec, options)),
            Err(problem) => wrong(&problem),
        },
        Command::Timeline(options) => match timeline(&options) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(error) => wrong(&error.to_string()),
        },
        Command::RequestSoak(soak) => block_on(async move {
            soak.run().await.map_or_else(|problem| failed(&problem), |()| ExitCode::SUCCESS)
        }),
        Command::Hollow { spec } => done(scale::hollow::host(&spec)),
        Command::Gateway { spec } => done(scale::gateway::serve(&spec)),
        Command::Sidecar { words } => curlewhub::program(std::iter::once("curlewhub".into()).chain(words)),
        Command::Standin { words } => {
            curlewhub_standins::program::program(std::iter::once("curlewhub-standin".into()).chain(words))
        }
        Command::Sim { scenario, set, runs } => match sim::read(&scenario, &set) {
            Ok(scenario) => {
                let stop = stopped_by_signal();
                let played = sim::play(scenario, runs.from, runs.seeds, &stop);
                println!("{}", sim::summary_table(&played));
                report(&played.name, &[&played], &[], Vec::new(), &played, runs)
            }
            Err(problem) => wrong(&problem),
        },
        Command::Compare { first, second, set, set_first, set_second, runs } => {
            let read = |path: &Path, own: &[String]| sim::read(path, &[&set[..], own].concat());
            let second = second.as_deref().unwrap_or(&first);
            match (read(&first, &set_first), read(second, &set_second)) {
                (Ok(first), Ok(second)) => {
                    let stop = stopped_by_signal();
                    let played = [first, second].map(|s| sim::play(s, runs.from, runs.seeds, &stop));
                    let comparison = sim::compare(&played[0], &played[1]);
                    println!("{}", sim::comparison_table(&comparison));
                    let (title, all) =
                        (format!("{} and {}", played[0].name, played[1].name), played.each_ref());
                    report(&title, &all, std::slice::from_ref(&comparison), Vec::new(), &comparison, runs)
                }
                (Err(problem), _) | (_, Err(problem)) => wrong(&problem),
            }
        }
        Command::Baselines { scenario, set, runs } => match sim::read(&scenario, &set) {
            Ok(scenario) => {
                let stop = stopped_by_signal();
                let played = sim::baselines(&scenario, runs.from, runs.seeds, &stop);
                println!("{}", sim::baselines_table(&played));
                let all: Vec<&sim::Runs> = played.runs.iter().collect();
                report(&played.name, &all, &played.against_module, Vec::new(), &played, runs)
            }
            Err(problem) => wrong(&problem),
        },
        Command::Sweep { scenario, set, grid, runs } => {
            let stop = stopped_by_signal();
            match sim::sweep(&scenario, &set, &grid, (runs.from, runs.seeds), &stop) {
                Ok(cells) => {
                    println!("{}", sim::sweep_table(&grid, &cells));
                    let all: Vec<&sim::Runs> = cells.iter().map(|cell| &cell.runs).collect();
                    let title = format!("{} over a grid", scenario.display());
                    report(&title, &all, &[], sim::sweep_charts(&grid, &cells), &cells, runs)
                }
                Err(problem) => wrong(&problem),
            }
        }
        Command::Scale { scenario, set, times, sidecars_stay, seed, json } => {
            match sim::read(&scenario, &set) {
                Ok(_) if times.iter().any(|factor| !(1e-6..=1e6).contains(factor)) => {
                    wrong("--times: allowed: 0.000001 to 1000000")
                }
                Ok(scenario) => {
                    let scaled = |factor: &f64| (*factor, sim::scaled(&scenario, *factor, sidecars_stay));
                    scale(times.iter().map(scaled).collect(), seed, json)
                }
                Err(problem) => wrong(&problem),
            }
        }
        Command::Paper { seeds, jobs, out, json } => {
            if !(1000.0..=1e10).contains(&jobs) {
                return wrong("--jobs: allowed: 1000 to 10000000000");
            }
            let worked_out = paper::paper(paper::Effort { seeds, jobs }).and_then(|figures| {
                print!("{}", paper::tables(&figures));
                write_json(json, &figures)?;
                out.map_or(Ok(Vec::new()), |folder| paper::plots(&figures, &folder))
            });
            match worked_out {
                Ok(plots) => {
                    plots.into_iter().for_each(|path| println!("{path}"));
                    ExitCode::SUCCESS
                }
                Err(problem) => failed(&problem),
            }
        }
        Command::Delay { delay, json } => measure_delay(&delay, json),
        Command::Capacity(command) => match capacity::capacity(command) {
            Ok(()) => ExitCode::SUCCESS,
            Err(problems) => wrong(&problems.join("\ncurlewhub-lab: ")),
        },
        Command::FleetScale(scale) => {
            println!("{}", fleet_scale::scale(&scale));
            ExitCode::SUCCESS
        }
        Command::DiscoveryLoad(settings) => {
            println!("{}", discovery_load::discovery_load(&settings));
            ExitCode::SUCCESS
        }
        Command::ResourceGrowth { growth, json } => block_on(measure_growth(growth, json)),
        Command::Rig(command) => block_on(async { ended(rig::rig(command).await) }),
        Command::Mix => match toml::to_string(&Mix::default()) {
            Ok(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            Err(e) => wrong(&e.to_string()),
        },
        Command::Demo { seconds, rate, seed, sidecar, json, html } => {
            let (Some(lasts), true) = (span(seconds), rate > 0.0) else {
                return wrong("--seconds, --rate: allowed: over 0");
            };
            match demo::spec(&demo::Options { lasts, rate, seed, sidecar }) {
                Ok(spec) => block_on(async { ended(rig::one(spec, None, json, html).await) }),
                Err(problem) => wrong(&problem),
            }
        }
        Command::Load { to, rate, even, clients, seconds, mix, seed, open_most, books, json } => {
            let books = match books.map_or(Ok(Books::default()), |path| {
                Books::open(&path).map_err(|e| format!("--books {}: {e}", path.display()))
            }) {
                Ok(books) => books,
                Err(problem) => return wrong(&problem),
            };
            let mix = match mix.as_deref().map(read_mix).transpose() {
                Ok(mix) => mix.unwrap_or_default(),
                Err(problem) => return wrong(&problem),
            };
            let (Some(lasts), true) = (span(seconds), rate > 0.0 && clients != Some(0)) else {
                return wrong("--seconds, --rate, --clients: allowed: over 0");
            };
            let arrivals = match (clients, even) {
                (Some(clients), _) => Arrivals::Closed(clients),
                (None, true) => Arrivals::Even(rate),
                (None, false) => Arrivals::Random(rate),
            };
            let phases = Vec::new();
            let plan = Plan { targets: to, arrivals, lasts, mix, seed, phases, open_most };
            block_on(make_load(plan, books, json))
        }
    }
}

fn measure_delay(delay: &delay::Delay, json: Option<PathBuf>) -> ExitCode {
    let problems = delay.problems();
    if !problems.is_empty() {
        return wrong(&problems.join("; "));
    }
    let own = std::env::current_exe().map_err(|e| e.to_string());
    let written = own.and_then(|own| delay.measure(&own)).and_then(|report| {
        println!("{}", report.tables());
        write_json(json, &report).map(|()| report)
    });
    match written {
        Ok(report) if report.failures().is_empty() => ExitCode::SUCCESS,
        Ok(report) => failed(&format!("requests without a good answer: {:?}", report.failures())),
        Err(problem) => failed(&problem),
    }
}

async fn measure_growth(growth: ResourceGrowth, json: Option<PathBuf>) -> ExitCode {
    let problems = growth.problems();
    if !problems.is_empty() {
        return wrong(&problems.join("; "));
    }
    let measured = match std::env::current_exe() {
        Ok(own) => growth.measure(&own).await,
        Err(e) => Err(e.to_string()),
    };
    let written = measured.and_then(|report| {
        println!("{}", report.table());
        write_json(json, &report).map(|()| report)
    });
    match written {
        Ok(report) if report.held => ExitCode::SUCCESS,
        Ok(_) => failed("a bound did not hold"),
        Err(problem) => failed(&problem),
    }
}

/// A time over 0 and up to a day.
fn span(seconds: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(seconds)
        .ok()
        .filter(|span| !span.is_zero() && *span <= Duration::from_secs(86_400))
}

fn read_mix(path: &Path) -> Result<Mix, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Mix::parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

fn wrong(problem: &str) -> ExitCode {
    eprintln!("curlewhub-lab: {problem}");
    ExitCode::from(USAGE)
}

fn failed(problem: &str) -> ExitCode {
    eprintln!("curlewhub-lab: {problem}");
    ExitCode::FAILURE
}

fn ended(ended: Ended) -> ExitCode {
    match ended {
        Ended::Held => ExitCode::SUCCESS,
        Ended::NotHeld(problem) => failed(&problem),
        Ended::Wrong(problem) => wrong(&problem),
    }
}

/// Set by the first Ctrl-C: what is done by then is kept. The second one ends the program.
fn stopped_by_signal() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // Both fail only for signals that can't be caught.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, INTERRUPTED.into(), stop.clone());
        let _ = signal_hook::flag::register(signal, stop.clone());
    }
    stop
}

/// A report and figures of what was played, where they are wanted.
fn report(
    title: &str,
    played: &[&sim::Runs],
    comparisons: &[sim::Comparison],
    more: Vec<Chart>,
    value: &impl serde::Serialize,
    runs: Runs,
) -> ExitCode {
    let plots = runs.out.map(|folder| sim::write(title, played, comparisons, more, &folder)).transpose();
    match plots.and_then(|plots| write_json(runs.json, value).map(|()| plots)) {
        Ok(plots) => {
            plots.into_iter().flatten().for_each(|path| println!("{path}"));
            ExitCode::SUCCESS
        }
        Err(problem) => failed(&problem),
    }
}

fn scale(sizes: Vec<(f64, curlewhub_model::Scenario)>, seed: u64, json: Option<PathBuf>) -> ExitCode {
    if let Some(problem) = sizes.iter().flat_map(|(_, scaled)| scaled.problems()).next() {
        return wrong(&format!("--times: {problem}"));
    }
    let stop = stopped_by_signal();
    let mut played = Vec::new();
    for (factor, scaled) in &sizes {
        eprintln!("{factor} times {} ...", scaled.name);
        played.push(sim::play_size(scaled, *factor, seed));
        if stop.load(std::sync::atomic::Ordering::Relaxed) {
            break;
        }
    }
    println!("{}", sim::scale_table(&played));
    match write_json(json, &played) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => failed(&problem),
    }
}

fn done(ended: Result<(), String>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => failed(&problem),
    }
}

/// Runs until the end, or until a signal: what was started ends with it either way.
fn block_on(task: impl Future<Output = ExitCode>) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return failed(&e.to_string()),
    };
    LocalSet::new().block_on(&runtime, async {
        let (Ok(mut int), Ok(mut term)) =
            (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
        else {
            return failed("signals can't be waited for");
        };
        tokio::select! {
            code = task => code,
            _ = int.recv() => ExitCode::from(INTERRUPTED),
            _ = term.recv() => ExitCode::from(INTERRUPTED),
        }
    })
}

fn write_json(path: Option<PathBuf>, value: &impl serde::Serialize) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    let text = serde_json::to_string_pretty(value).map_err(|e| e.to_string())?;
    std::fs::write(&path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))
}

async fn make_load(plan: Plan, books: Books, json: Option<PathBuf>) -> ExitCode {
    let bar = ProgressBar::new(plan.lasts.as_secs().max(1));
    let style = ProgressStyle::with_template("{bar:20} {pos}/{len} s  {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    let report = load::run(plan, books, |look: &Look| {
        let [served, refused, failed, unanswered] = look.ended;
        let text = format!(
            "asked {} served {served} refused {refused} failed {failed} unanswered {unanswered} \
             p50 {:.1} ms p99 {:.1} ms",
            look.asked, look.millis.0, look.millis.1
        );
        bar.set_position(look.elapsed.as_secs());
        // Where nobody watches a terminal, a line a second tells the same.
        if bar.is_hidden() {
            eprintln!("{:.0} s {text}", look.elapsed.as_secs_f64());
        }
        bar.set_message(text);
    })
    .await;
    bar.finish_and_clear();
    println!("{}", load::table(&report));
    match write_json(json, &report) {
        Err(problem) => failed(&problem),
        Ok(()) if report.one_answer_each() => ExitCode::SUCCESS,
        Ok(()) => failed("not every try had exactly one answer, its own"),
    }
}
