//! `curlewhub`: the sidecar. Start-up and exit codes; the rest is in the packages beside this one.

mod serve;

use curlewhub_config::Config;
use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let config = match Config::from_env() {
        Ok(config) => config,
        Err(problem) => {
            eprintln!("curlewhub: {problem}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime
        .map_err(|e| e.to_string())
        .and_then(|rt| LocalSet::new().block_on(&rt, serve::run(config)))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("curlewhub: {problem}");
            ExitCode::FAILURE
        }
    }
}
