//! Arguments of `curlewhub consensus-server` and `curlewhub fleet …`.

use super::rollout::RolloutCommand;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// The shortest interval between repeated proposals: a probe must not noticeably load the consensus
/// servers.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Arguments of a control plane process.
#[derive(Args, Debug)]
pub struct ProcessArgs {
    /// The process's configuration file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The minimum log level.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: String,
    /// Write log lines as JSON.
    #[arg(long)]
    pub log_json: bool,
}

/// The fleet that a command applies to.
#[derive(Args, Debug)]
pub struct FleetFile {
    /// The configuration file (TOML) of a consensus server or subscriber: for the servers' addresses and
    /// the key.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Arguments of a command that prints a report.
#[derive(Args, Debug)]
pub struct ReportArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// The author of a change and the reason for it, which are recorded with it.
#[derive(Args, Debug)]
pub struct Author {
    /// The reason for the change.
    #[arg(long)]
    pub why: String,
    /// The author of the change.
    #[arg(long, default_value = "operator")]
    pub by: String,
}

/// Like [`Author`], for records that need no reason.
#[derive(Args, Debug)]
pub struct OptionalAuthor {
    /// The reason.
    #[arg(long, default_value = "")]
    pub why: String,
    /// The author.
    #[arg(long, default_value = "operator")]
    pub by: String,
}

/// Commands of `curlewhub fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Subscribe to the fleet view in a separate process, and log the versions that it applies.
    Follow(ProcessArgs),
    /// Print the status of each consensus server; exits with 1 if no majority is reached.
    Status(ReportArgs),
    /// Print the members (alive, suspected or gone), as known to the consensus server that knows the most
    /// members.
    Members(ReportArgs),
    /// Print the latest record of each key.
    Log(ReportArgs),
    /// Add or remove a voting consensus server, one at a time.
    #[command(visible_alias = "keepers")]
    Servers {
        #[command(flatten)]
        fleet: FleetFile,
        #[command(subcommand)]
        change: VoterChange,
    },
    /// Print the state of each zone (serving, leaving, left, returning) and its evidence.
    #[command(visible_alias = "halls")]
    Zones(ReportArgs),
    /// Override the automatic failover of a zone or region.
    #[command(subcommand, visible_alias = "hall")]
    Zone(ZoneCommand),
    /// Change the sidecars' configuration, show the progress of its rollout, and roll it back.
    #[command(subcommand)]
    Config(RolloutCommand),
    /// Stop all automatic zone transitions; --off resumes them.
    Freeze {
        #[command(flatten)]
        fleet: FleetFile,
        /// Resume automatic transitions.
        #[arg(long)]
        off: bool,
        #[command(flatten)]
        author: Author,
    },
    /// Propose a record of any kind without validation: for testing a build that supports more kinds than
    /// this one.
    #[command(hide = true)]
    Propose(RecordArgs),
    /// Propose a note, which changes nothing, to test whether proposals are committed and applied.
    Note(NoteArgs),
}

/// A record of any kind.
#[derive(Args, Debug)]
pub struct RecordArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    /// The record's key.
    #[arg(long)]
    pub key: String,
    /// The record's kind, by number.
    #[arg(long)]
    pub kind: u16,
    /// The record's body.
    #[arg(long, default_value = "")]
    pub body: String,
    /// Its author.
    #[command(flatten)]
    pub author: OptionalAuthor,
}

/// A note.
#[derive(Args, Debug)]
pub struct NoteArgs {
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    /// The note.
    pub text: String,
    /// Its author.
    #[command(flatten)]
    pub author: OptionalAuthor,
    /// Repeat it at this interval until SIGTERM or SIGINT, as a probe of the consensus servers.
    #[arg(long, value_name = "TIME", value_parser = parse_interval)]
    pub every: Option<Duration>,
}

/// An operator override of a zone or region.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Leave it at once: requests in flight are completed or cancelled, and new ones are sent elsewhere.
    Leave(OverrideArgs),
    /// Return to it, step by step.
    Return(OverrideArgs),
    /// Keep it in its current state.
    Hold(OverrideArgs),
    /// End the override and resume automatic failover.
    Release(OverrideArgs),
}

/// The target of an operator override, its author and duration.
#[derive(Args, Debug)]
pub struct OverrideArgs {
    /// The zone or region.
    pub name: String,
    /// The fleet.
    #[command(flatten)]
    pub fleet: FleetFile,
    /// The reason for the override.
    #[arg(long, required_unless_present = "dry_run")]
    pub why: Option<String>,
    /// The author of the override.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Only print how it would affect each other zone.
    #[arg(long)]
    pub dry_run: bool,
    /// How long the override lasts, unless it is renewed.
    #[arg(long = "for", value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    pub duration: Duration,
}

/// A change of the raft voters.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum VoterChange {
    /// Add a server that runs with `joins = true` and that the others' files name.
    Add {
        /// Its raft id, which no server has used before.
        id: u64,
    },
    /// Remove a server; its raft id is never used again.
    Remove {
        /// Its raft id.
        id: u64,
    },
}

/// Why an interval is rejected.
#[derive(Debug, Error)]
pub enum IntervalError {
    /// The text is not a duration with a unit.
    #[error(transparent)]
    Malformed(#[from] humantime::DurationError),
    /// The interval is below the minimum of 10 ms.
    #[error("allowed: 10ms or more")]
    TooShort,
}

/// Parses a duration with a unit, 10 ms or more.
///
/// # Errors
/// The text is not a duration, or the duration is too short.
pub fn parse_interval(text: &str) -> Result<Duration, IntervalError> {
    let interval = humantime::parse_duration(text)?;
    if interval >= MIN_PROBE_INTERVAL { Ok(interval) } else { Err(IntervalError::TooShort) }
}
