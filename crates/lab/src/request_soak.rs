//! `curlewhub-lab request-soak`: real sidecars under faults and signals, many seeds, one line each.

use clap::Args;
use curlewhub_rig::request_soak::{SoakOptions, judge, run};
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

/// Which runs are made.
#[derive(Debug, Args)]
pub struct RequestSoak {
    /// The seeds, from the first to before the last.
    #[arg(long, value_name = "A..B", value_parser = super::rig::seeds)]
    seeds: Range<u64>,
    /// Sidecars of a run.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=400))]
    sidecars: u16,
    /// Endpoints of a run.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u16).range(1..=400))]
    endpoints: u16,
    /// Clients for each sidecar.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=64))]
    clients: u16,
    /// For how long clients begin requests.
    #[arg(long, default_value_t = 5.0)]
    seconds: f64,
    /// Each run whose seed is a multiple of this has a crowd of idle clients; 0 for none.
    #[arg(long, default_value_t = 5)]
    crowd_every: u64,
    /// Whether the settings allow cancelling; drawn where nothing is said.
    #[arg(long)]
    cancelling: Option<bool>,
    /// Whether they allow second copies; drawn where nothing is said.
    #[arg(long)]
    second_copies: Option<bool>,
    /// Another build of the sidecar's program; this file's own by default.
    #[arg(long, value_name = "PROGRAM")]
    sidecar: Option<PathBuf>,
    /// The log level of the sidecars.
    #[arg(long, value_name = "LEVEL")]
    log: Option<String>,
    /// Where configurations, logs and violations stay.
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

impl RequestSoak {
    fn options(&self, seed: u64) -> Result<SoakOptions, String> {
        let program = match &self.sidecar {
            Some(program) => vec![program.clone()],
            None => vec![std::env::current_exe().map_err(|e| e.to_string())?, "sidecar".into()],
        };
        Ok(SoakOptions {
            program,
            seed,
            sidecars: self.sidecars.into(),
            endpoints: self.endpoints.into(),
            clients: self.clients.into(),
            length: Duration::try_from_secs_f64(self.seconds).map_err(|e| e.to_string())?,
            is_crowded: self.crowd_every > 0 && seed.is_multiple_of(self.crowd_every),
            cancelling: self.cancelling,
            second_copies: self.second_copies,
            folder: self.out.join(format!("seed-{seed}")),
            log_level: self.log.clone(),
        })
    }

    /// Makes the runs, one after the other.
    ///
    /// # Errors
    /// A run could not be made, or a rule was broken in one.
    pub async fn run(&self) -> Result<(), String> {
        let mut broken = Vec::new();
        for seed in self.seeds.clone() {
            let options = self.options(seed)?;
            let (record, settings) = run(&options).await?;
            let (tally, violations) = judge(&record);
            println!(
                "seed {seed}{}: {} violations; {tally:?}; timers {:.3} s late at most; {settings}",
                if options.is_crowded { " (crowd)" } else { "" },
                violations.len(),
                record.timer_lag_s,
            );
            let text: String = violations.iter().map(|violation| format!("  {violation}\n")).collect();
            print!("{text}");
            if violations.is_empty() {
                let _ = std::fs::remove_dir_all(&options.folder); // only disk space is lost
            } else {
                broken.push(seed);
                let path = options.folder.join("violations.txt");
                std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            }
        }
        if broken.is_empty() { Ok(()) } else { Err(format!("rules were broken with seeds {broken:?}")) }
    }
}
