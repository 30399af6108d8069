//! `curlewhub-lab rig`: many processes on one rig, from a file or drawn.

use clap::Subcommand;
use curlewhub_rig::campaign::{self, Campaign};
use curlewhub_rig::checks::{Verdict, judge};
use curlewhub_rig::plan::Plan;
use curlewhub_rig::report;
use curlewhub_rig::run::{Options, run};
use curlewhub_rig::spec::{RigSpec, SEED_MOST};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What is done with rig files.
#[derive(Debug, Subcommand)]
pub enum RigCommand {
    /// Start everything that a file names, let its schedule happen, and judge what came of that.
    Run {
        /// The rig's file (TOML).
        file: PathBuf,
        /// All that is drawn follows from it; the file's own where nothing is said.
        #[arg(long, value_parser = clap::value_parser!(u64).range(..=SEED_MOST))]
        seed: Option<u64>,
        /// Write the verdict there as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a page there that needs no network.
        #[arg(long, value_name = "FILE")]
        html: Option<PathBuf>,
        /// Keep all files, logs and books there, and the history.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// Leave the file's `[fleet]` out: its sidecars share nothing.
        #[arg(long)]
        without_fleet: bool,
    },
    /// Say all that is wrong with a rig's file.
    Check {
        /// The rig's file (TOML).
        file: PathBuf,
    },
    /// Play many schedules drawn from a file's `[draw]`, or its own schedule with many seeds; go on after a failure.
    Campaign {
        /// The rig's file (TOML).
        file: PathBuf,
        /// The seeds, from the first to before the last.
        #[arg(long, value_name = "A..B", value_parser = seeds)]
        seeds: std::ops::Range<u64>,
        /// Runs at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=64))]
        jobs: u64,
        /// No run is begun after this.
        #[arg(long, value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
        most: Duration,
        /// What is played, what came of it, and failing schedules, shrunk, stay there.
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Runs to shrink one failing schedule, at the most.
        #[arg(long, default_value_t = 20)]
        shrink: usize,
        /// Play each a second time with sidecars that share nothing, and tell the difference.
        #[arg(long)]
        paired: bool,
    },
}

/// Reads a range of seeds, such as `1..6`.
///
/// # Errors
/// What is no such range.
pub fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let wanted = || "two numbers, such as 1..6, the first below the second".to_owned();
    let (first, last) = text.split_once("..").ok_or_else(wanted)?;
    let (first, last) = (first.parse().map_err(|_| wanted())?, last.parse().map_err(|_| wanted())?);
    if first < last && last <= SEED_MOST { Ok(first..last) } else { Err(wanted()) }
}

/// How a command ends.
pub enum Ended {
    /// All held.
    Held,
    /// Something did not, or could not be started.
    NotHeld(String),
    /// The file is wrong.
    Wrong(String),
}

/// Does it. Dropped before its end, it leaves no process behind.
pub async fn rig(command: RigCommand) -> Ended {
    match command {
        RigCommand::Check { file } => match read(&file) {
            Ok(spec) => {
                let members = Plan::new(spec).members.len();
                println!("{}: no problem found, {members} processes and endpoints", file.display());
                Ended::Held
            }
            Err(problem) => Ended::Wrong(problem),
        },
        RigCommand::Run { file, seed, json, html, keep, without_fleet } => match read(&file) {
            Ok(mut spec) => {
                spec.seed = seed.unwrap_or(spec.seed);
                let spec = if without_fleet { spec.without_fleet() } else { spec };
                one(spec, keep, json, html).await
            }
            Err(problem) => Ended::Wrong(problem),
        },
        RigCommand::Campaign { file, seeds, jobs, most, out, shrink, paired } => match (read(&file), own())
        {
            (Ok(spec), Ok(own)) => {
                let jobs = jobs as usize;
                let campaign = Campaign { spec, seeds, jobs, most, out, shrink, own, paired };
                match campaign::campaign(&campaign, |line| println!("{line}")).await {
                    Ok(done) => {
                        println!("\n{}", campaign::table(&done));
                        let failed = done.iter().filter(|one| !one.passed).count();
                        if failed == 0 {
                            Ended::Held
                        } else {
                            Ended::NotHeld(format!("{failed} of {} failed", done.len()))
                        }
                    }
                    Err(problem) => Ended::NotHeld(problem),
                }
            }
            (Err(problem), _) | (_, Err(problem)) => Ended::Wrong(problem),
        },
    }
}

fn read(file: &Path) -> Result<RigSpec, String> {
    let named = |problem: String| format!("{}: {problem}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| named(e.to_string()))?;
    RigSpec::parse(&text).map_err(named)
}

fn own() -> Result<PathBuf, String> {
    std::env::current_exe().map_err(|e| e.to_string())
}

/// Plays one spec, judges it, and says what came of that.
pub async fn one(
    spec: RigSpec,
    keep: Option<PathBuf>,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
) -> Ended {
    let played = async {
        let ran = run(Plan::new(spec), &Options { own: own()?, keep }, |line| println!("{line}")).await?;
        let verdict = judge(&ran);
        println!("\n{}", report::table(&ran.plan, &verdict));
        if let Some(path) = &html {
            let page = report::page(&ran, &verdict);
            std::fs::write(path, page).map_err(|e| format!("{}: {e}", path.display()))?;
        }
        if let Some(path) = &json {
            let text = serde_json::to_string_pretty(&verdict).map_err(|e| e.to_string())?;
            std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
        }
        Ok::<Verdict, String>(verdict)
    };
    match played.await {
        Ok(verdict) if verdict.passed => Ended::Held,
        Ok(verdict) => {
            let broken = verdict.checks.iter().filter(|check| !check.held);
            Ended::NotHeld(
                broken
                    .map(|check| format!("{}: {}", check.name, check.worst))
                    .collect::<Vec<_>>()
                    .join("\n"),
            )
        }
        Err(problem) => Ended::NotHeld(problem),
    }
}
