//! `curlewhub check`: validates a configuration file without starting a sidecar.

use crate::cli::CheckArgs;
use crate::output::{Exit, print};
use curlewhub_config::{LoadedConfig, Problems};
use serde_json::json;

/// Prints all errors of the file, or on request its effective values.
pub fn run(args: &CheckArgs) -> Exit {
    match args.settings.load(&args.config) {
        Ok(loaded) => report_valid(args, &loaded),
        Err(problems) => report_problems(&problems, args.json),
    }
}

fn report_valid(args: &CheckArgs, loaded: &LoadedConfig) -> Exit {
    if args.json {
        return print(&(json!({"ok": true, "effective": loaded.effective}).to_string() + "\n"));
    }
    if !args.print {
        return print(&format!("{}: no problem found\n", args.config.display()));
    }
    let lines = loaded
        .effective
        .iter()
        .map(|field| format!("{} = {}  # {}\n", field.field, field.value, field.origin));
    print(&lines.collect::<String>())
}

fn report_problems(problems: &Problems, json: bool) -> Exit {
    if json {
        print(&(json!({"ok": false, "problems": problems.0}).to_string() + "\n"));
    } else {
        eprintln!("{problems}");
        let count = problems.0.len();
        eprintln!("curlewhub: {count} problem{} found", if count == 1 { "" } else { "s" });
    }
    Exit::Usage
}
