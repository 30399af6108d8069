//! The sidecar's program: command line, start-up and exit codes; the rest is in the packages beside this
//! one. It is a library so that the lab can start real sidecar processes out of its own file.

mod cli;
mod ctl;
mod fleet;
mod fleet_config;
mod logs;
mod member;
mod reload;
mod serve;
mod snapshot;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command, ConfigCommand, Exit, Settings, SnapshotCommand};
use curlewhub_config::{Loaded, file, platform};
use std::ffi::OsString;
use std::io::Write;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Does what the command line says; the first word is the program's name.
pub fn program(words: impl Iterator<Item = OsString>) -> ExitCode {
    let cli = Cli::parse_from(words); // says what is wrong and ends with 2, as clap does
    let exit = match cli.command {
        // The platform starts the program without a word and names its file in the environment.
        None if std::env::var_os(platform::CONFIG_VAR).is_some() => run(Loaded::platform(), false),
        None => {
            let _ = Cli::command().print_help();
            Exit::Usage
        }
        // Flags win over an operators' file; the platform's takes none, and to ignore one would mislead.
        Some(Command::Run { config: None, settings, .. })
            if std::env::var_os(platform::CONFIG_VAR).is_some() && settings == Settings::default() =>
        {
            run(Loaded::platform(), false)
        }
        Some(Command::Run { config: None, .. }) => {
            eprintln!("curlewhub: no configuration: --config FILE; `curlewhub config example` prints one");
            Exit::Usage
        }
        Some(Command::Run { config: Some(path), replace, settings }) => run(settings.load(&path), replace),
        Some(Command::Check { config, print, json, settings }) => check(&config, &settings, print, json),
        Some(Command::Config(ConfigCommand::Example)) => say(file::EXAMPLE),
        Some(Command::Ctl(call)) => ctl::run(&call),
        Some(Command::Snapshot(SnapshotCommand::Show { file, json })) => snapshot::show(&file, json),
        Some(Command::Keeper { begin, process }) => fleet::keeper(&process, begin),
        Some(Command::Fleet(command)) => fleet::fleet(&command),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "curlewhub", &mut text);
            say(&String::from_utf8_lossy(&text))
        }
    };
    exit.into()
}

/// Prints a text; a reader that has gone is no failure of ours.
fn say(text: &str) -> Exit {
    let _ = std::io::stdout().write_all(text.as_bytes());
    Exit::Done
}

fn run(loaded: Result<Loaded, curlewhub_config::Problems>, replace: bool) -> Exit {
    let mut loaded = match loaded {
        Ok(loaded) => loaded,
        Err(problems) => {
            eprintln!("curlewhub: {problems}");
            return Exit::Usage;
        }
    };
    loaded.config.replaces |= replace;
    let logs = match logs::Logs::start(&loaded.config.log) {
        Ok(logs) => logs,
        Err(problem) => {
            eprintln!("curlewhub: log.level: {problem}");
            return Exit::Usage;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map_err(|e| e.to_string()).and_then(|rt| {
        let serving = serve::run(loaded, logs.counts(), logs.control());
        LocalSet::new().block_on(&rt, serving).map_err(|e| e.to_string())
    });
    match ended {
        Ok(()) => Exit::Done,
        Err(problem) => {
            drop(logs); // what it still holds comes before the last word
            eprintln!("curlewhub: {problem}");
            Exit::Failed
        }
    }
}

fn check(path: &std::path::Path, settings: &Settings, print: bool, json: bool) -> Exit {
    match settings.load(path) {
        Err(problems) if json => {
            say(&(serde_json::json!({"ok": false, "problems": problems.0}).to_string() + "\n"));
            Exit::Usage
        }
        Err(problems) => {
            eprintln!("{problems}");
            let count = problems.0.len();
            eprintln!("curlewhub: {count} problem{} found", if count == 1 { "" } else { "s" });
            Exit::Usage
        }
        Ok(loaded) if json => {
            say(&(serde_json::json!({"ok": true, "effective": loaded.effective}).to_string() + "\n"))
        }
        Ok(loaded) if print => {
            let mut text = String::new();
            for field in &loaded.effective {
                text += &format!("{} = {}  # {}\n", field.field, field.value, field.origin);
            }
            say(&text)
        }
        Ok(_) => say(&format!("{}: no problem found\n", path.display())),
    }
}
