//! What a scale run has shown.

use crate::scale::protocol::GatewayCounts;
use crate::scale::spec::ScaleSpec;
use comfy_table::{Table, presets};
use curlewhub_control_plane_node::{Flow, Lost, MessageKind};
use serde::Serialize;
use std::collections::BTreeMap;

/// A run's report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// What was run.
    pub spec: ScaleSpec,
    /// Services.
    pub services: usize,
    /// All checks that are judged held.
    pub passed: bool,
    /// The checks.
    pub checks: Vec<Check>,
    /// The events.
    pub events: Vec<EventFigures>,
    /// How versions spread.
    pub versions: VersionFigures,
    /// What sidecars cost, by whether they are real.
    pub sidecars: BTreeMap<String, SidecarFigures>,
    /// What consensus servers cost.
    pub servers: Vec<ServerFigures>,
    /// Processor time of control planes beside a baseline.
    pub processor: ProcessorFigures,
    /// The run's processes.
    pub machine: MachineFigures,
    /// What passed each zone's gateway.
    pub gateways: BTreeMap<String, GatewayCounts>,
    /// What real sidecars served.
    pub load: Option<LoadFigures>,
}

/// A check.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What must hold.
    pub name: &'static str,
    /// Whether it does.
    pub held: bool,
    /// How often it was looked at.
    pub seen: u64,
    /// How often it did not hold.
    pub broken: u64,
    /// The worst case.
    pub worst: String,
}

/// An event.
#[derive(Clone, Debug, Serialize)]
pub struct EventFigures {
    /// What.
    pub name: String,
    /// Sidecars that it struck.
    pub struck: usize,
    /// When it began, in seconds from the start of the first sidecar ...
    pub at_s: f64,
    /// ... and when what it struck was let back.
    pub until_s: f64,
    /// From then until the last of the struck was ready and acted on what had been decided by then; none where one of them
    /// never came so far.
    pub recovered_s: Option<f64>,
    /// What went wrong while it was brought about.
    pub problem: Option<String>,
}

/// How versions spread.
#[derive(Clone, Debug, Default, Serialize)]
pub struct VersionFigures {
    /// Versions decided.
    pub decided: u64,
    /// The longest time without one, in seconds.
    pub gap_s: f64,
    /// From its decision until a reachable sidecar acts on it, over all sidecars and versions: the middle, in ms.
    pub p50_ms: f64,
    /// The same, 99 of 100.
    pub p99_ms: f64,
    /// The same, the longest.
    pub most_ms: f64,
    /// From being reachable again until acting on the newest version, the longest, in ms.
    pub catch_up_most_ms: f64,
}

/// What sidecars of a kind cost.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SidecarFigures {
    /// Sidecars whose counts are in it: those that ran for ten seconds or more.
    pub counted: usize,
    /// Bytes a second of control traffic, out and in together: the mean ...
    pub bytes_per_s_mean: f64,
    /// ... the worst ...
    pub bytes_per_s_worst: f64,
    /// ... and whose it was.
    pub worst: String,
    /// Bytes a second after the first ten seconds alone, where two counts were seen: the mean.
    pub steady_bytes_per_s_mean: f64,
    /// The worst of that.
    pub steady_bytes_per_s_worst: f64,
    /// Messages a second, out and in together, the mean.
    pub messages_per_s_mean: f64,
    /// The mean of a second, by kind.
    pub per_s: BTreeMap<MessageKind, FlowRate>,
    /// Messages that found no room, over all, by why.
    pub lost: BTreeMap<Lost, u64>,
    /// Lists of discovery a second, the mean.
    pub lists_per_s: f64,
    /// Entries of these a second, the mean.
    pub list_entries_per_s: f64,
    /// Calls to discovery that failed, over all.
    pub list_failures: u64,
    /// Calls a second that results were drawn for, the mean.
    pub calls_per_s: f64,
}

/// A flow, a second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FlowRate {
    /// Messages out.
    pub messages_out: f64,
    /// Bytes out.
    pub bytes_out: f64,
    /// Messages in.
    pub messages_in: f64,
    /// Bytes in.
    pub bytes_in: f64,
}

impl FlowRate {
    /// Adds so much of a flow.
    pub fn add(&mut self, flow: &Flow, times: f64) {
        self.messages_out += flow.messages_out as f64 * times;
        self.bytes_out += flow.bytes_out as f64 * times;
        self.messages_in += flow.messages_in as f64 * times;
        self.bytes_in += flow.bytes_in as f64 * times;
    }
}

/// What a consensus server says of itself at the end.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ServerFigures {
    /// Its name.
    pub name: String,
    /// Why it does not say so.
    pub problem: Option<String>,
    /// How often it was started in this run.
    pub starts: u32,
    /// It leads.
    pub leads: bool,
    /// The term.
    pub term: u64,
    /// The version.
    pub version: u64,
    /// Members that it knows.
    pub members: usize,
    /// Sidecars whose evidence it has.
    pub sidecars: usize,
    /// Bytes a second said and heard since its start.
    pub bytes_per_s: f64,
    /// Messages a second said and heard since its start.
    pub messages_per_s: f64,
    /// Questions that were put off.
    pub put_off: u64,
    /// Digests not taken.
    pub not_taken: BTreeMap<String, u64>,
    /// Messages dropped, by why.
    pub dropped: BTreeMap<String, u64>,
    /// Messages that found no room, by why.
    pub lost: BTreeMap<Lost, u64>,
    /// The most memory that it held, in KiB.
    pub peak_kib: u64,
    /// Processor seconds of its last start.
    pub cpu_s: f64,
}

/// Processor time of control planes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessorFigures {
    /// Microseconds of processor time that a datagram there and back costs a minimal program on this machine in this run.
    pub baseline_us: f64,
    /// Processor microseconds for each message out or in, over all hollow processes that lived through the run: all that
    /// their control planes do, timers and drawn calls among it.
    pub hollow_us_per_message: f64,
    /// The same as a multiple of the baseline.
    pub times_baseline: f64,
    /// Part of a core for each hollow control plane, the mean over processes; a figure of this machine, not judged.
    pub hollow_core_share: f64,
    /// The same, of the worst process.
    pub hollow_core_share_worst: f64,
}

/// The run's processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MachineFigures {
    /// Processes at once, at the most.
    pub processes: usize,
    /// Memory of all at once, at the most, in MiB.
    pub peak_mib: f64,
    /// Memory of the largest hollow process divided by its control planes, in MiB.
    pub hollow_mib_each: f64,
    /// Memory of the largest real sidecar, in MiB.
    pub real_mib_most: f64,
    /// Datagrams that the system dropped at the run's sockets, where sockets lived to the end.
    pub system_dropped: u64,
}

/// What real sidecars served.
#[derive(Clone, Debug, Serialize)]
pub struct LoadFigures {
    /// Tries.
    pub tries: u64,
    /// Tries without an answer.
    pub unanswered: u64,
    /// Tries with more than one.
    pub answered_twice: u64,
    /// Tries answered with what was not made for them.
    pub wrong: u64,
    /// Requests served.
    pub served: u64,
    /// Requests asked.
    pub asked: u64,
}

impl Report {
    /// For people.
    pub fn table(&self) -> String {
        let mut checks = Table::new();
        checks.load_preset(presets::NOTHING).set_header(["check", "held", "seen", "broken", "worst"]);
        for check in &self.checks {
            let held = if check.held { "yes" } else { "NO" };
            let (seen, broken) = (check.seen.to_string(), check.broken.to_string());
            checks.add_row([check.name, held, &seen, &broken, &check.worst]);
        }
        let mut events = Table::new();
        events.load_preset(presets::NOTHING).set_header([
            "event",
            "struck",
            "at s",
            "until s",
            "recovered s",
        ]);
        for event in &self.events {
            let recovered = match (&event.problem, event.recovered_s) {
                (Some(problem), _) => problem.clone(),
                (None, Some(seconds)) => format!("{seconds:.2}"),
                (None, None) => "never".to_owned(),
            };
            events.add_row([
                event.name.clone(),
                event.struck.to_string(),
                format!("{:.1}", event.at_s),
                format!("{:.1}", event.until_s),
                recovered,
            ]);
        }
        format!("{checks}\n\n{events}\n")
    }
}
