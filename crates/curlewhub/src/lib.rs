//! The `curlewhub` program: command line, startup, logging and exit codes. The sidecar itself is
//! implemented by the packages that this one wires together. It is a library so that other programs can
//! start real sidecar processes from their own executable.

mod check;
mod cli;
mod ctl;
mod fleet;
pub mod log_limit;
mod logs;
mod member;
mod output;
mod reload;
mod serve;
mod snapshot;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command, ConfigCommand, SettingsArgs, SnapshotCommand};
use curlewhub_config::{LoadedConfig, Problems, file, platform};
use output::{Exit, fail, print, reject_usage};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::task::LocalSet;

/// Parses and runs a command line. The first argument is the program's name.
///
/// An invalid command line ends the process with exit code 2.
pub fn program(args: impl Iterator<Item = OsString>) -> ExitCode {
    let exit = match Cli::parse_from(args).command {
        None => run_without_command(),
        Some(Command::Run { config, replace, settings }) => run(config, replace, &settings),
        Some(Command::Check(args)) => check::run(&args),
        Some(Command::Config(ConfigCommand::Example)) => print(file::EXAMPLE),
        Some(Command::Ctl(args)) => ctl::run(&args),
        Some(Command::Snapshot(SnapshotCommand::Show { file, json })) => snapshot::show(&file, json),
        Some(Command::ConsensusServer { bootstrap, process }) => {
            fleet::consensus_server(&process, bootstrap)
        }
        Some(Command::Fleet(command)) => fleet::run(&command),
        Some(Command::Completions { shell }) => print_completions(shell),
    };
    exit.into()
}

/// Whether the platform's environment names a configuration file.
fn is_on_platform() -> bool {
    std::env::var_os(platform::CONFIG_VAR).is_some()
}

/// Runs the sidecar if the platform started the program: it passes no arguments and names the configuration
/// file in the environment. Otherwise prints the help, as a usage error.
fn run_without_command() -> Exit {
    if is_on_platform() {
        return run_sidecar(LoadedConfig::from_platform(), false);
    }
    let _ = Cli::command().print_help(); // fails if the reader has closed the pipe, which is not an error
    Exit::Usage
}

fn run(config: Option<PathBuf>, replace: bool, settings: &SettingsArgs) -> Exit {
    match config {
        Some(path) => run_sidecar(settings.load(&path), replace),
        // Flags override only a file given by --config; with the platform's file they would be ignored
        // silently.
        None if is_on_platform() && *settings == SettingsArgs::default() => {
            run_sidecar(LoadedConfig::from_platform(), false)
        }
        None => reject_usage("no configuration: --config FILE; `curlewhub config example` prints one"),
    }
}

/// Timeout at exit for a write of learned state that is still in progress; on a slower disk the write is
/// lost. The process may be killed 0.7 s after its last deadline.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

fn run_sidecar(loaded: Result<LoadedConfig, Problems>, replace: bool) -> Exit {
    let mut loaded = match loaded {
        Ok(loaded) => loaded,
        Err(problems) => return reject_usage(problems),
    };
    loaded.config.may_take_over |= replace;
    let logs = match logs::Logs::start(&loaded.config.log) {
        Ok(logs) => logs,
        Err(error) => return reject_usage(format_args!("log.level: {error}")),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(error),
    };
    let result =
        LocalSet::new().block_on(&runtime, serve::run(loaded, logs.drop_counters(), logs.control()));
    runtime.shutdown_timeout(FINAL_WRITE_TIMEOUT);
    drop(logs); // writes queued lines before the error below
    match result {
        Ok(()) => Exit::Done,
        Err(error) => fail(error),
    }
}

fn print_completions(shell: clap_complete::Shell) -> Exit {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "curlewhub", &mut script);
    print(&String::from_utf8_lossy(&script))
}
