//! The structure that both file formats are parsed into.

use crate::fleet::FleetConfig;
use crate::list::EndpointList;
use crate::problem::Problem;
use curlewhub_balance::Settings;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The minimum number of file descriptors. 48 are reserved for the listener, the runtime, discovery,
/// operators and refused clients, so fewer than this leave too few for requests.
pub const MIN_SOCKETS: usize = 64;
/// The minimum memory in MiB; less does not suffice for a single client.
pub const MIN_MEMORY_MB: usize = 8;
/// The maximum of `endpoint_connections`. An endpoint that accepts more connections needs no limit.
pub const MAX_ENDPOINT_CONNECTIONS: u32 = 1_000_000;
/// The default of `LogSettings::per_second`.
pub const DEFAULT_LOG_LINES_PER_SECOND: u32 = 20;

/// The complete configuration of a sidecar.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service; none if the endpoint list is only in the file.
    pub discovery: Option<SocketAddr>,
    /// The address for operators, if there is one.
    pub operator: Option<SocketAddr>,
    /// The seed of the random generator; drawn anew at each start unless the file sets it.
    pub seed: u64,
    /// The maximum number of open file descriptors.
    pub sockets: usize,
    /// The number of connections that each endpoint accepts from all sidecars together; none if unknown.
    pub endpoint_connections: Option<u32>,
    /// The memory limit in MiB.
    pub memory_mb: usize,
    /// The folder for bans and the handover socket.
    pub state_dir: PathBuf,
    /// Whether the process may take over from one that serves at the same address, or share the port with
    /// it.
    pub may_take_over: bool,
    /// The endpoint list at the start. With a discovery service it is the one last received, and may be
    /// outdated.
    pub initial_list: EndpointList,
    /// How the log is written.
    pub log: LogSettings,
    /// The settings of the balancing module.
    pub settings: Settings,
    /// Invalid values that were replaced; they are logged.
    pub warnings: Vec<Problem>,
    /// The names of what the module identifies by index.
    pub names: Names,
    /// The fleet whose view the sidecar subscribes to. None without a `[fleet]` section, and always on the
    /// platform, where sidecars share nothing.
    pub fleet: Option<FleetConfig>,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The minimum level, for all targets or by target: `info`, `warn,curlewhub_runtime=debug`.
    pub level: String,
    /// The maximum number of lines per second from one place in the program. Further lines are only
    /// counted.
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

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The names of what the balancing module identifies by index.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct Names {
    /// Classes; the name is the first segment of a request's path.
    pub classes: Vec<Named>,
    /// Tenants.
    #[serde(default)]
    pub tenants: Vec<Named>,
    /// Zones.
    #[serde(default)]
    #[serde(rename = "areas")]
    pub zones: Vec<String>,
    /// Kinds of machines.
    #[serde(default)]
    pub kinds: Vec<String>,
}

/// One entry of a named list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Named {
    /// The name.
    pub name: String,
}
