//! What a fleet of stand-ins is made of, as its file says it.

use crate::error::SpecError;
use crate::fault::FaultAt;
use curlewhub_config::units::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A fleet file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    /// All that is drawn follows from it.
    #[serde(default)]
    pub seed: u64,
    /// Where discovery listens; any free port of loopback where nothing is said.
    #[serde(default = "loopback")]
    pub discovery: SocketAddr,
    /// Where faults are ordered; any free port where nothing is said.
    #[serde(default = "loopback")]
    pub control: SocketAddr,
    /// How discovery behaves.
    #[serde(default)]
    pub directory: DirectorySpec,
    /// What a request of each class costs.
    pub classes: Vec<ClassSpec>,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<FaultAt>,
    /// The machines' wall clocks are ahead by so many milliseconds, or behind where it is below 0: what they call the
    /// time of their start is off by it. Nothing else of a stand-in reads the wall clock.
    #[serde(default)]
    pub clock_ahead_ms: f64,
    /// The machines have just started, and are cold.
    #[serde(default)]
    pub cold: bool,
}

/// How discovery behaves.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectorySpec {
    /// Calls that it handles a second, one after another.
    pub calls_per_s: f64,
    /// A call that has waited for longer fails.
    pub timeout: Span,
    /// A change shows in the list after this long.
    pub notice: Span,
    /// A watch brings an empty line this often while nothing changes.
    pub idle_line: Span,
    /// Further addresses at which the list is told, with other addresses for the endpoints: what one site sees.
    pub views: Vec<ViewSpec>,
    /// What a caller has to bear, beside faults.
    pub manner: DirectoryManner,
}

/// What callers of discovery have to bear, though nothing is wrong with it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectoryManner {
    /// A change on a watch takes its turn among the calls.
    pub notify_in_turn: bool,
    /// This part of the changes ends the watch in place of coming on it, 0 to 1.
    pub ends_watches: f64,
    /// This part of the watches begins with the whole list, whatever version was asked for, 0 to 1.
    pub whole_first: f64,
    /// Whole lists leave out endpoints that drain.
    pub omits_draining: bool,
    /// Lists come indented, over several lines.
    pub indented: bool,
    /// This part of what is written comes in pieces some milliseconds apart, 0 to 1.
    pub pieces: f64,
}

/// Discovery as one site sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ViewSpec {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Further addresses of the same view, for configurations that move a sidecar from one to the next.
    #[serde(default)]
    pub also: Vec<SocketAddr>,
    /// The endpoints' addresses by id; one that is not here keeps its own.
    #[serde(default)]
    pub addresses: BTreeMap<String, SocketAddr>,
}

impl Default for DirectorySpec {
    fn default() -> Self {
        let span = |ms| Span(Duration::from_millis(ms));
        DirectorySpec {
            calls_per_s: 50.0,
            timeout: span(3000),
            notice: span(0),
            idle_line: span(2000),
            views: Vec::new(),
            manner: DirectoryManner::default(),
        }
    }
}

/// What a request of a class costs an endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The class, the first part of the path.
    pub name: String,
    /// Mean work on one core of the yardstick speed.
    pub work: Span,
    /// Its coefficient of variation, 0 to 5; the work is drawn from a log-normal distribution.
    #[serde(default)]
    pub cv: f64,
    /// Endpoints of one group drop a repeat of a key for this long; zero where the class has no keys.
    #[serde(default)]
    pub window: Span,
}

/// One endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Its id in the list.
    pub id: String,
    /// Where it listens; any free port of loopback where nothing is said.
    #[serde(default = "loopback")]
    pub address: SocketAddr,
    /// Its zone; endpoints of one zone share which keys they have seen.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind.
    #[serde(default)]
    pub kind: String,
    /// It is only listed here, at this address, and served by another process of stand-ins.
    pub served_at: Option<SocketAddr>,
    /// The machine.
    #[serde(default)]
    pub machine: MachineSpec,
}

/// A machine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSpec {
    /// Cores.
    pub cores: u32,
    /// Speed of a core, as a multiple of the yardstick's.
    pub speed: f64,
    /// Requests in work at once; they share the cores.
    pub slots: u32,
    /// Requests that may wait; beyond that they are turned away.
    pub queue: u32,
    /// It starts at this part of its capacity, 0 to 1 ...
    pub cold_share: f64,
    /// ... and is warm after this long, its capacity rising evenly.
    pub warm_after: Span,
    /// Requests held for each core beyond which it works less efficiently; 0: never.
    pub thrash_at: f64,
    /// Part of its capacity that is lost at twice that.
    pub thrash: f64,
    /// The slow state under a backlog, if it has one.
    pub choke: Option<ChokeSpec>,
    /// A request given up by its caller stops even while it runs, and not only while it waits.
    pub cancel_running: bool,
    /// Part of the requests that end as errors, 0 to 1.
    pub error_rate: f64,
}

impl Default for MachineSpec {
    fn default() -> Self {
        MachineSpec {
            cores: 2,
            speed: 1.0,
            slots: 16,
            queue: 40,
            cold_share: 0.4,
            warm_after: Span(Duration::from_secs(5)),
            thrash_at: 0.0,
            thrash: 0.0,
            choke: None,
            cancel_running: true,
            error_rate: 0.0,
        }
    }
}

/// The slow state that a machine falls into under a backlog, and stays in for a while.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChokeSpec {
    /// It holds more than so many requests for each core ...
    pub at: f64,
    /// ... for this long, and is slow from then on,
    pub over: Span,
    /// by this factor, over 1,
    pub slower: f64,
    /// until it has held fewer than so many for each core ...
    pub below: f64,
    /// ... for this long,
    #[serde(alias = "rest")]
    pub recover_after: Span,
    /// or until this long has passed.
    pub most: Span,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl FleetSpec {
    /// Reads a fleet file.
    ///
    /// # Errors
    /// What is wrong with it, with the line where the parser can tell it.
    pub fn parse(text: &str) -> Result<FleetSpec, SpecError> {
        let spec: FleetSpec = toml::from_str(text)?;
        spec.check()?;
        Ok(spec)
    }

    /// Checks that the description makes sense.
    ///
    /// # Errors
    /// All that makes no sense, field by field.
    pub fn check(&self) -> Result<(), SpecError> {
        let problems = self.problems();
        if problems.is_empty() { Ok(()) } else { Err(SpecError::Invalid(problems)) }
    }

    /// All that makes no sense, field by field.
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut wants = |ok: bool, field: String, allowed: &str| {
            if !ok {
                problems.push(format!("{field}: allowed: {allowed}"));
            }
        };
        let mut ids = HashSet::new();
        wants(!self.classes.is_empty(), "classes".to_owned(), "at least one");
        wants(!self.endpoints.is_empty(), "endpoints".to_owned(), "at least one");
        wants(self.directory.calls_per_s > 0.0, "directory.calls_per_s".to_owned(), "over 0");
        wants(!self.directory.idle_line.0.is_zero(), "directory.idle_line".to_owned(), "over 0");
        for (n, class) in self.classes.iter().enumerate() {
            wants((0.0..=5.0).contains(&class.cv), format!("classes[{n}].cv"), "0 to 5");
        }
        for (n, endpoint) in self.endpoints.iter().enumerate() {
            let at = |field: &str| format!("endpoints[{n}].{field}");
            let machine = &endpoint.machine;
            wants(ids.insert(&endpoint.id), at("id"), "one of its own");
            wants(endpoint.address.ip().is_loopback(), at("address"), "on loopback");
            wants((1..=1024).contains(&machine.cores), at("machine.cores"), "1 to 1024");
            wants(machine.speed > 0.0 && machine.speed <= 1e3, at("machine.speed"), "over 0, up to 1000");
            wants((1..=100_000).contains(&machine.slots), at("machine.slots"), "1 to 100000");
            wants(machine.queue <= 100_000, at("machine.queue"), "0 to 100000");
            let share = |share: f64| share > 0.0 && share <= 1.0;
            wants(share(machine.cold_share), at("machine.cold_share"), "over 0, up to 1");
            wants((0.0..=0.95).contains(&machine.thrash), at("machine.thrash"), "0 to 0.95");
            wants((0.0..=1.0).contains(&machine.error_rate), at("machine.error_rate"), "0 to 1");
            if let Some(choke) = &machine.choke {
                wants(choke.slower >= 1.0, at("machine.choke.slower"), "1 or more");
            }
        }
        let manner = &self.directory.manner;
        for (field, share) in [
            ("ends_watches", manner.ends_watches),
            ("whole_first", manner.whole_first),
            ("pieces", manner.pieces),
        ] {
            wants((0.0..=1.0).contains(&share), format!("directory.manner.{field}"), "0 to 1");
        }
        for (n, view) in self.directory.views.iter().enumerate() {
            let at = |field: &str| format!("directory.views[{n}].{field}");
            wants(view.listen.ip().is_loopback(), at("listen"), "on loopback");
            wants(view.also.iter().all(|also| also.ip().is_loopback()), at("also"), "on loopback");
            for (id, address) in &view.addresses {
                wants(ids.contains(id), at(&format!("addresses.{id}")), "an endpoint's id");
                wants(address.ip().is_loopback(), at(&format!("addresses.{id}")), "on loopback");
            }
        }
        wants(self.clock_ahead_ms.abs() <= 1e11, "clock_ahead_ms".to_owned(), "up to three years");
        for (n, fault) in self.faults.iter().enumerate() {
            let known = fault.endpoint.as_ref().is_none_or(|id| ids.contains(id));
            wants(known, format!("faults[{n}].endpoint"), "an endpoint's id");
            let fits = fault.fault.needs_endpoint() == fault.endpoint.is_some();
            wants(fits, format!("faults[{n}].endpoint"), "one where the fault is an endpoint's, else none");
        }
        problems
    }
}
