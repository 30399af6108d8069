//! The endpoint list as discovery words it.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list, whole or of changes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct List {
    /// Its version.
    pub rev: u64,
    /// What is missing from it is gone.
    pub all: bool,
    /// Its entries.
    pub targets: Vec<Target>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Its id, the same at every sidecar and over restarts of its process.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// Its zone, by name.
    #[serde(default)]
    pub az: String,
    /// Its machine kind, by name.
    #[serde(default)]
    pub model: String,
    /// Endpoints of one group share which keys they have seen.
    #[serde(default)]
    pub pod_group: u64,
    /// Whether it may be sent to.
    pub state: State,
    /// Roughly its size.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When its process last started, in Unix milliseconds; 0 means long ago.
    #[serde(default)]
    pub boot_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// An endpoint's standing in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// May be sent to.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone; only among changes.
    Removed,
}
