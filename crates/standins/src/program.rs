//! The program `curlewhub-standin`, which the lab carries too: a fleet of stand-ins from a file.

use crate::request_log::RequestLog;
use crate::{Fleet, FleetSpec};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Stand-in endpoints and discovery for curlewhub, with faults.
#[derive(Debug, Parser)]
#[command(name = "curlewhub-standin", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a fleet until ended.
    Run {
        /// The fleet's file (TOML).
        file: PathBuf,
        /// Print where everything listens as JSON.
        #[arg(long)]
        json: bool,
        /// Write what came to each endpoint, and what became of it, into this file: a JSON object a line.
        #[arg(long, value_name = "FILE", alias = "books")]
        request_log: Option<PathBuf>,
    },
    /// Say all that is wrong with a fleet's file.
    Check {
        /// The fleet's file (TOML).
        file: PathBuf,
    },
    /// Print a commented example.
    Example,
}

const EXAMPLE: &str = include_str!("../../../deploy/standins.toml");
/// Wrong use, or a file that is wrong.
const USAGE: u8 = 2;

/// Runs it with these words, the program's name first.
pub fn program(words: impl IntoIterator<Item = OsString>) -> ExitCode {
    let (file, json, request_log) = match Cli::parse_from(words).command {
        Command::Example => {
            print!("{EXAMPLE}");
            return ExitCode::SUCCESS;
        }
        Command::Check { file } => {
            return match read(&file) {
                Ok(spec) => {
                    println!("{}: no problem found, {} endpoints", file.display(), spec.endpoints.len());
                    ExitCode::SUCCESS
                }
                Err(problem) => wrong(&problem),
            };
        }
        Command::Run { file, json, request_log } => (file, json, request_log),
    };
    let spec = match read(&file) {
        Ok(spec) => spec,
        Err(problem) => return wrong(&problem),
    };
    let request_log = match request_log.map_or(Ok(RequestLog::default()), |path| {
        RequestLog::open(&path).map_err(|e| format!("--request-log {}: {e}", path.display()))
    }) {
        Ok(request_log) => request_log,
        Err(problem) => return wrong(&problem),
    };
    let fleet = match Fleet::with_request_log(spec, request_log) {
        Ok(fleet) => fleet,
        Err(problem) => {
            eprintln!("curlewhub-standin: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let at = fleet.addresses();
    if json {
        let endpoints: serde_json::Map<_, _> =
            at.endpoints.iter().map(|(id, at)| (id.clone(), at.to_string().into())).collect();
        println!(
            "{}",
            serde_json::json!({"discovery": at.discovery, "control": at.control, "endpoints": endpoints})
        );
    } else {
        println!("discovery {}\ncontrol {}", at.discovery, at.control);
        at.endpoints.iter().for_each(|(id, at)| println!("{id} {at}"));
    }
    loop {
        std::thread::park(); // until a signal ends the process
    }
}

fn read(file: &std::path::Path) -> Result<FleetSpec, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    FleetSpec::parse(&text).map_err(|e| format!("{}: {e}", file.display()))
}

fn wrong(problem: &str) -> ExitCode {
    eprintln!("curlewhub-standin: {problem}");
    ExitCode::from(USAGE)
}
