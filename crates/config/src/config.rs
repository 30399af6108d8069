//! The structure that both file formats are turned into.

use crate::fleet::FleetConfig;
use crate::list::EndpointList;
use crate::problem::Problem;
use curlewhub_balance::Settings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Fewer descriptors than this leave nothing to serve with: 48 are kept for the listener, the runtime,
/// discovery, operators and refused clients.
pub const MIN_SOCKETS: usize = 64;
/// Less memory than this, in MiB, leaves no room for a client.
pub const MIN_MEMORY_MB: usize = 8;
/// An endpoint that accepts more connections needs no bound.
pub const MAX_ENDPOINT_CONNECTIONS: u32 = 1_000_000;
/// Repeated log lines from one place, a second, where nothing is said.
pub const DEFAULT_LOG_LINES_PER_SECOND: u32 = 20;

/// A sidecar's whole configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens; none where the list is in the file alone.
    pub discovery: Option<SocketAddr>,
    /// Where operators call, if anywhere.
    pub operator: Option<SocketAddr>,
    /// For random numbers; new with each start.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Connections that each endpoint accepts from all sidecars together; none where nobody says.
    pub endpoint_connections: Option<u32>,
    /// Memory it may use, in MiB.
    pub memory_mb: usize,
    /// Where it keeps bans and the handover's socket.
    pub state_dir: PathBuf,
    /// Whether a start may take over from a process that serves at the same address, or share the port.
    pub may_take_over: bool,
    /// The endpoint list: where there is discovery, as last held, and it may be old.
    pub initial_list: EndpointList,
    /// The log.
    pub log: LogSettings,
    /// The module's settings.
    pub settings: Settings,
    /// What made no sense and was taken otherwise, for the log.
    pub warnings: Vec<Problem>,
    /// Names on the wire of what the module knows by number.
    pub names: Names,
    /// The fleet whose view it holds; none on the platform, where instances share nothing, and where nobody says.
    pub fleet: Option<FleetConfig>,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// Lines for people or for programs.
    pub format: LogFormat,
    /// The least level, alone or by target: `info`, `warn,curlewhub_runtime=debug`.
    pub level: String,
    /// So many lines a second from one place in the program; the rest is counted.
    pub per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            format: LogFormat::Text,
            level: "info".to_owned(),
            per_second: DEFAULT_LOG_LINES_PER_SECOND,
        }
    }
}

/// How a log line is worded.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// The names behind the module's indices.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Names {
    /// Classes, the first part of a request's path.
    pub classes: Vec<Named>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<Named>,
    /// Zones.
    #[serde(default)]
    #[serde(rename = "areas")]
    pub zones: Vec<String>,
    /// Machine kinds.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One entry of a named list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Named {
    /// Its name.
    pub name: String,
}
