//! What the run, its hollow processes and its gateways say to each other: JSON, a line each.

use curlewhub_config::fleet::FleetConfig;
use curlewhub_control_plane_node::{Flow, Lost, MessageKind};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// What a hollow process is told at its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HollowSpec {
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Calls a second that each sidecar is drawn results for.
    pub calls_per_s: f64,
    /// Where it writes what happens.
    pub events: PathBuf,
    /// The zones' names, in the order that sidecars number them.
    pub zones: Vec<String>,
    /// The sidecars whose control planes it hosts.
    pub planes: Vec<PlaneSpec>,
}

/// One control plane.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlaneSpec {
    /// Its part in the fleet, as in a real sidecar's file.
    pub fleet: FleetConfig,
    /// Where the list of the service that it calls is told.
    pub discovery: SocketAddr,
    /// The tier of that service: the places that it calls into are zones of this tier.
    pub tier: u32,
}

/// What a hollow process is ordered, by line on its standard input.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum HollowCommand {
    /// Start these control planes, evenly over a time.
    Start {
        /// By number in its spec.
        planes: Vec<usize>,
        /// Over so many milliseconds.
        within_ms: u64,
    },
    /// End these at once, without a word.
    Crash {
        /// By number in its spec.
        planes: Vec<usize>,
    },
    /// Calls into these zones are lost from now on; into all others they are served.
    LoseCalls {
        /// Nobody is there: calls fail at once.
        gone: Vec<String>,
        /// Nothing passes: calls get no answer.
        silent: Vec<String>,
    },
    /// Write the counts of all down, and end.
    End,
}

/// Something that happened to a control plane.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlaneEvent {
    /// When, in microseconds of Unix time.
    pub at_us: u64,
    /// Its sidecar's name.
    pub plane: String,
    /// Which start of it in this run, from 1.
    pub start: u32,
    /// What.
    #[serde(flatten)]
    pub what: PlaneDid,
}

/// What happened to a control plane.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "did", rename_all = "snake_case")]
pub enum PlaneDid {
    /// It was started.
    Started,
    /// A consensus server has confirmed its view, it is a member, and it has its list.
    Ready,
    /// It acts on this version from now on.
    Acts {
        /// The version.
        version: u64,
        /// Its hash.
        hash: String,
    },
    /// It was ended by order.
    Stopped,
    /// It ended by itself.
    Failed {
        /// Why.
        problem: String,
    },
    /// What it has counted since its start.
    Counts(Box<PlaneCounts>),
}

/// What a control plane has counted since its start.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PlaneCounts {
    /// Milliseconds since its start.
    pub lived_ms: u64,
    /// The version that it acts on.
    pub version: u64,
    /// Milliseconds since a consensus server confirmed it.
    pub age_ms: Option<u64>,
    /// Members that it knows, itself among them.
    pub members: usize,
    /// Messages and bytes, by kind.
    pub traffic: BTreeMap<MessageKind, Flow>,
    /// Messages that found no room, by why.
    pub lost: BTreeMap<Lost, u64>,
    /// Questions that nobody answered.
    pub unanswered: u64,
    /// Versions with two contents.
    pub contradictions: u64,
    /// Keys whose newest record it does not act on.
    pub not_taken: usize,
    /// Lists of discovery, whole or of changes.
    pub lists: u64,
    /// Entries of these.
    pub list_entries: u64,
    /// Calls to discovery that failed.
    pub list_failures: u64,
    /// Calls of its endpoint that results were drawn for.
    pub calls: u64,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct GatewaySpec {
    /// Its zone.
    pub zone: String,
    /// All that is drawn follows from it.
    pub seed: u64,
    /// Its doors: where each is, and where it leads.
    pub doors: Vec<(SocketAddr, SocketAddr)>,
    /// The zone that each address is in.
    pub addresses: Vec<(IpAddr, String)>,
}

/// What a gateway is ordered, by line on its standard input.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum GatewayCommand {
    /// Nothing passes between these zones and all others; with none, everything passes.
    CutOff {
        /// The zones.
        zones: Vec<String>,
    },
    /// Write what has passed, as a line of JSON on standard output, and end.
    End,
}

/// What has passed a gateway.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GatewayCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes into its zone, of connections and datagrams.
    pub bytes_forth: u64,
    /// Bytes out of its zone on connections that were made into it.
    pub bytes_back: u64,
    /// Datagrams that a cut has lost.
    pub lost: u64,
}

/// Lines that wait to be dealt with, at the most.
const LINES_MOST: usize = 64;

/// Lines of standard input as they come; they end with it. A thread reads them, which holds no end of the process up.
pub fn commands() -> tokio::sync::mpsc::Receiver<String> {
    let (sender, lines) = tokio::sync::mpsc::channel(LINES_MOST);
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if sender.blocking_send(line).is_err() {
                return;
            }
        }
    });
    lines
}
