//! `curlewhub-lab scale-run`: the control planes of a whole fleet on this machine, and what befalls them.

use clap::Args;
use curlewhub_rig::scale::run::{Options, run};
use curlewhub_rig::scale::spec::{EventsSpec, ScaleSpec};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// A scale run. What is said here comes before what its file says.
#[derive(Args, Clone, Debug)]
pub struct ScaleRun {
    /// Sidecars, real and hollow: 60, 240, 480, 950 and 1900 are the sizes of docs/scale.md.
    #[arg(long)]
    size: Option<usize>,
    /// Of these, real processes with load.
    #[arg(long)]
    real: Option<usize>,
    /// For how long versions are decided and events happen.
    #[arg(long)]
    seconds: Option<f64>,
    /// All that is drawn follows from it.
    #[arg(long)]
    seed: Option<u64>,
    /// Consensus servers, 3 or 5.
    #[arg(long)]
    servers: Option<usize>,
    /// Services; in proportion to the size where nothing is said.
    #[arg(long)]
    services: Option<usize>,
    /// Calls a second that each real sidecar is sent.
    #[arg(long)]
    real_calls: Option<f64>,
    /// Versions alone, and no other event.
    #[arg(long)]
    quiet: bool,
    /// A scale file (TOML); scenarios/scale has some.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// Write the report there as JSON.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Keep files, logs and events there.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
}

impl ScaleRun {
    /// What is to be run.
    ///
    /// # Errors
    /// All that makes no sense, by field.
    pub fn spec(&self) -> Result<ScaleSpec, String> {
        let mut spec = match &self.file {
            Some(path) => {
                let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
                ScaleSpec::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?
            }
            None => ScaleSpec::default(),
        };
        spec.size = self.size.unwrap_or(spec.size);
        spec.real = self.real.unwrap_or(spec.real);
        spec.seconds = self.seconds.unwrap_or(spec.seconds);
        spec.seed = self.seed.unwrap_or(spec.seed);
        spec.servers = self.servers.unwrap_or(spec.servers);
        spec.services = self.services.or(spec.services);
        spec.real_calls_per_s = self.real_calls.unwrap_or(spec.real_calls_per_s);
        if self.quiet {
            spec.events = EventsSpec::quiet();
        }
        let problems = spec.problems();
        if problems.is_empty() { Ok(spec) } else { Err(problems.join("\n")) }
    }
}

/// Makes the run, tells what comes of it, and ends with 0 only where all checks held.
pub async fn play(spec: ScaleSpec, options: ScaleRun) -> ExitCode {
    let own = match std::env::current_exe() {
        Ok(own) => own,
        Err(e) => return failed(&e.to_string()),
    };
    let how = Options { own, keep: options.keep };
    let report = match run(spec, &how, |line| eprintln!("{line}")).await {
        Ok(report) => report,
        Err(problem) => return failed(&problem),
    };
    let _ = writeln!(std::io::stdout(), "{}", report.table()); // a reader that has gone is no failure
    if let Some(path) = options.json {
        let text = serde_json::to_string_pretty(&report).map_err(|e| e.to_string());
        let written = text.and_then(|text| std::fs::write(&path, text + "\n").map_err(|e| e.to_string()));
        if let Err(problem) = written {
            return failed(&format!("{}: {problem}", path.display()));
        }
    }
    if report.passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn failed(problem: &str) -> ExitCode {
    eprintln!("curlewhub-lab: {problem}");
    ExitCode::FAILURE
}
