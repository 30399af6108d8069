//! A short soak of requests on real processes; `curlewhub-lab request-soak` makes long ones.

use curlewhub_rig::request_soak::{SoakOptions, judge, run};
use std::path::PathBuf;
use std::time::Duration;

/// Each of them a run: settings, events and behaviour are drawn from it.
const SEEDS: [u64; 4] = [3, 8, 21, 34];
/// The last run has a crowd of idle clients.
const CROWDED: u64 = 34;
const LENGTH: Duration = Duration::from_secs(5);

fn options(seed: u64, folder: PathBuf) -> SoakOptions {
    SoakOptions {
        program: vec![env!("CARGO_BIN_EXE_curlewhub-lab").into(), "sidecar".into()],
        seed,
        sidecars: 8,
        endpoints: 9,
        clients: 4,
        length: LENGTH,
        is_crowded: seed == CROWDED,
        cancelling: None,
        second_copies: None,
        folder,
        log_level: Some("info,curlewhub_runtime::request_log=trace".to_owned()),
    }
}

/// Guards against requests that are lost under faults of clients and endpoints and signals to the sidecars: unanswered, answered
/// late or with another answer, forwarded after their end, or run twice.
#[test]
fn no_request_is_lost_under_faults_and_signals() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for seed in SEEDS {
        let folder = tempfile::tempdir().unwrap();
        let (record, settings) =
            runtime.block_on(run(&options(seed, folder.path().to_owned()))).expect("everything starts");
        let (tally, violations) = judge(&record);
        println!("seed {seed}: {tally:?}; {settings}");
        let text: Vec<String> = violations.iter().map(ToString::to_string).collect();
        if !text.is_empty() {
            println!("logs: {}", folder.keep().display());
        }
        assert!(text.is_empty(), "seed {seed}, timers {:.3} s late: {text:#?}", record.timer_lag_s);
        assert!(tally.served > tally.requests / 2, "seed {seed}: {tally:?}");
    }
}
