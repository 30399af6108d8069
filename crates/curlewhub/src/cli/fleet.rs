//! Arguments of `curlewhub consensus-server` and `curlewhub fleet …`.

use super::rollout::RolloutCommand;
use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// The shortest interval of a repeated proposal: a probe must not load the consensus servers noticeably.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Arguments of a process of the control plane.
#[derive(Args, Debug)]
pub struct ProcessArgs {
    /// Its configuration file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The minimum log level.
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    pub log_level: String,
    /// Log lines as JSON.
    #[arg(long)]
    pub log_json: bool,
}

/// The fleet that a command is for.
#[derive(Args, Debug)]
pub struct FleetFile {
    /// A consensus server's or subscriber's file (TOML), for the servers' addresses and the key.
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

/// The author of a change, as recorded with it.
#[derive(Args, Debug)]
pub struct Author {
    /// Why.
    #[arg(long)]
    pub why: String,
    /// Who.
    #[arg(long, default_value = "operator")]
    pub by: String,
}

/// Like [`Author`], for records that need no reason.
#[derive(Args, Debug)]
pub struct OptionalAuthor {
    /// Why.
    #[arg(long, default_value = "")]
    pub why: String,
    /// Who.
    #[arg(long, default_value = "operator")]
    pub by: String,
}

/// Commands of `curlewhub fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Subscribe to the fleet view in a process of its own, and log the versions that it applies.
    Follow(ProcessArgs),
    /// Print the status of each consensus server; exits with 1 where no majority is reached.
    Status(ReportArgs),
    /// Print the members (alive, suspected or gone), as known to the consensus server that knows most of them.
    Members(ReportArgs),
    /// Print the newest record of each key.
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
    /// Change the sidecars' configuration, see how far a change is rolled out, and roll it back.
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
    /// Propose a record of any kind, unchecked: to try a build that knows more kinds than this one.
    #[command(hide = true)]
    Propose(RecordArgs),
    /// Propose a note, which changes nothing: shows whether proposals are committed and applied.
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
    /// Leave it at once: requests in flight are completed or called off, and new ones are sent elsewhere.
    Leave(OverrideArgs),
    /// Return to it, step by step.
    Return(OverrideArgs),
    /// Keep it in its present state.
    Hold(OverrideArgs),
    /// End the override: its failover is automatic again.
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
    /// Why.
    #[arg(long, required_unless_present = "dry_run")]
    pub why: Option<String>,
    /// Who.
    #[arg(long, default_value = "operator")]
    pub by: String,
    /// Only print what it would do to each other zone.
    #[arg(long)]
    pub dry_run: bool,
    /// When the override expires, unless it is renewed.
    #[arg(long = "for", value_name = "TIME", default_value = "1h", value_parser = humantime::parse_duration)]
    pub duration: Duration,
}

/// A change of the raft voters.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum VoterChange {
    /// Add a server that runs with `joins = true` and that the others' files name.
    Add {
        /// Its raft id, which no server has had before.
        id: u64,
    },
    /// Remove a server; its raft id is never used again.
    Remove {
        /// Its raft id.
        id: u64,
    },
}

/// Why an interval is refused.
#[derive(Debug, Error)]
pub enum IntervalError {
    /// It is not a time with a unit.
    #[error(transparent)]
    Malformed(#[from] humantime::DurationError),
    /// It is below the minimum, 10 ms.
    #[error("allowed: 10ms or more")]
    TooShort,
}

/// Parses a time with its unit, 10 ms or more.
///
/// # Errors
/// The text is no time, or the time is too short.
pub fn parse_interval(text: &str) -> Result<Duration, IntervalError> {
    let interval = humantime::parse_duration(text)?;
    if interval >= MIN_PROBE_INTERVAL { Ok(interval) } else { Err(IntervalError::TooShort) }
}
