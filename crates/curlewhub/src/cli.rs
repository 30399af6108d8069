//! The definition of the command line: commands and flags.
//!
//! Commands and flags that were renamed accept their earlier name as an alias.

pub mod fleet;
pub mod rollout;
mod settings;

use clap::{Args, Parser, Subcommand};
use fleet::{FleetCommand, ProcessArgs};
pub use settings::SettingsArgs;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A sidecar load balancer for services that call services.
///
/// Without a subcommand and with ROUTER_CONFIG set it runs as the platform starts it.
#[derive(Debug, Parser)]
#[command(name = "curlewhub", version)]
pub struct Cli {
    /// The command; none where the platform starts the program.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The program's commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a sidecar until SIGTERM or SIGINT.
    Run {
        /// The configuration file (TOML).
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// Take over from a curlewhub that serves at the same address with the same state directory.
        #[arg(long)]
        replace: bool,
        #[command(flatten)]
        settings: SettingsArgs,
    },
    /// Print all errors of a configuration file.
    Check(CheckArgs),
    /// Help with configuration files.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Call a running sidecar on its operator address.
    Ctl(CtlArgs),
    /// Inspect a snapshot of a sidecar's learned state.
    #[command(subcommand)]
    Snapshot(SnapshotCommand),
    /// Run a consensus server, which replicates the fleet view with the others.
    #[command(visible_alias = "keeper")]
    ConsensusServer {
        /// Bootstrap a new fleet. Without this flag an empty state directory is refused: a server that lost
        /// its raft state must not vote.
        #[arg(long = "begin")]
        bootstrap: bool,
        #[command(flatten)]
        process: ProcessArgs,
    },
    /// The fleet view: subscribe to it, inspect it and change it.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Arguments of `curlewhub check`.
#[derive(Args, Debug)]
pub struct CheckArgs {
    /// The configuration file (TOML).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Print each effective value and its origin.
    #[arg(long)]
    pub print: bool,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
    /// Values that override the file.
    #[command(flatten)]
    pub settings: SettingsArgs,
}

/// Commands of `curlewhub config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print a commented example.
    Example,
}

/// Commands of `curlewhub snapshot`.
#[derive(Debug, Subcommand)]
pub enum SnapshotCommand {
    /// Print a snapshot file, whatever settings it belongs to and however old it is.
    Show {
        /// The file, such as curlewhub-learnt-127.0.0.1-7070.bin in the state directory.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of `curlewhub ctl`.
#[derive(Args, Debug)]
pub struct CtlArgs {
    /// The sidecar's operator address.
    #[arg(long = "at", value_name = "ADDR")]
    pub address: SocketAddr,
    /// Print JSON.
    #[arg(long, global = true)]
    pub json: bool,
    /// The call.
    #[command(subcommand)]
    pub call: OperatorCall,
}

/// A call to a running sidecar.
#[derive(Debug, Subcommand)]
pub enum OperatorCall {
    /// Ask whether it is serving.
    Ping,
    /// Print its metrics.
    Info,
    /// Stop sending requests to an endpoint.
    Detach {
        /// The endpoint, by its id in the list.
        id: String,
    },
    /// Resume sending requests to a detached endpoint.
    Attach {
        /// The endpoint, by its id in the list.
        id: String,
    },
    /// Drain the sidecar.
    Drain,
    /// End the drain.
    Undrain,
}
