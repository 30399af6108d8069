//! A rig's file: who is there, what goes wrong and when, and what must hold.

use crate::fault::{FaultSpec, Kind};
use crate::fleet::FleetPart;
use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::{Size, Span};
use curlewhub_model::RetrySpec;
use curlewhub_standins::spec::{DirectoryManner, MachineSpec};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

/// Addresses that one sidecar can be moved to, at the most.
const MAX_MOVES: usize = 40;

/// Halls at the most: each has a third octet of the run's addresses.
pub const HALLS_MOST: usize = 100;
/// Processes and endpoints of a hall at the most: each has a fourth octet.
pub const IN_A_HALL_MOST: usize = 250;
/// The largest number that TOML has.
pub const SEED_MOST: u64 = i64::MAX as u64;
/// A run lasts this long at the most.
const LASTS_MOST: Duration = Duration::from_secs(24 * 3600);

/// A rig's file.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RigSpec {
    /// Its name, for reports.
    pub name: String,
    /// All that is drawn follows from it.
    #[serde(default)]
    pub seed: u64,
    /// For how long requests come; the schedule lies within it.
    pub lasts: Span,
    /// What a machine full of processes blurs of any time: checks of times allow so much more. CI's files allow more than a
    /// slow machine takes, so that their verdict does not hang on speed.
    #[serde(default = "blur")]
    pub blur: Span,
    /// The regions and their halls.
    pub regions: Vec<RegionSpec>,
    /// Groups of sidecars.
    pub sidecars: Vec<SidecarGroup>,
    /// Groups of endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// Groups of any other program, such as keepers.
    #[serde(default)]
    pub processes: Vec<ProcessGroup>,
    /// Keepers, and sidecars that hold what they decide.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetPart>,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Discovery.
    #[serde(default)]
    pub discovery: DiscoverySpec,
    /// The requests.
    pub load: LoadSpec,
    /// Other programs than the ones that came with this one.
    #[serde(default)]
    pub programs: Programs,
    /// The schedule.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
    /// What must hold beside what always must.
    #[serde(default)]
    pub checks: Vec<CheckSpec>,
    /// The space that a campaign draws schedules from.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub draw: Option<DrawSpec>,
}

/// A region.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSpec {
    /// Its name.
    pub name: String,
    /// Its halls.
    pub halls: Vec<String>,
}

/// Sidecars that are alike.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarGroup {
    /// Its name.
    pub name: String,
    /// Its halls; all where nothing is said.
    #[serde(default)]
    pub halls: Vec<String>,
    /// Sidecars in each of these.
    pub count: usize,
    /// Each has links of its own, so that one alone can be cut off; else those of a hall share theirs.
    #[serde(default)]
    pub own_links: bool,
    /// Laid over the configuration that each gets, as in an operator's file. Names in braces are filled in:
    /// `{name}`, `{hall}`, `{region}`, `{number}`, `{state}`, `{port.NAME}` and `{link.PROCESS.PORT}`.
    #[serde(default)]
    pub config: toml::Table,
    /// Further ports that each listens on, by name.
    #[serde(default)]
    pub ports: BTreeMap<String, Transport>,
}

/// How a port is spoken to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Transport {
    /// Streams.
    Tcp,
    /// Datagrams.
    Udp,
    /// Both, at one door that all others reach it by, whoever told them of it.
    Both,
}

impl Transport {
    /// Whether connections are taken there.
    pub fn takes_streams(self) -> bool {
        self != Transport::Udp
    }
}

/// Endpoints that are alike.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointGroup {
    /// Its name.
    pub name: String,
    /// Its halls; all where nothing is said.
    #[serde(default)]
    pub halls: Vec<String>,
    /// Endpoints in each of these.
    pub count: usize,
    /// Their machine's kind, as discovery tells it.
    #[serde(default)]
    pub kind: String,
    /// Their machines.
    #[serde(default)]
    pub machine: MachineSpec,
}

/// Processes of another program that are alike.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessGroup {
    /// Its name.
    pub name: String,
    /// Its halls; all where nothing is said.
    #[serde(default)]
    pub halls: Vec<String>,
    /// Processes in each of these.
    pub count: usize,
    /// `sidecar`, `standin` or `lab` for the programs that came with this one, or a path.
    pub program: String,
    /// Its words; names in braces are filled in, and `{config}` is the path of its file.
    pub words: Vec<String>,
    /// Words that it has beside these at its very first start, and never again.
    #[serde(default)]
    pub first_words: Vec<String>,
    /// The text of its file, with names in braces filled in.
    #[serde(default)]
    pub config: String,
    /// The ports that each listens on, by name.
    #[serde(default)]
    pub ports: BTreeMap<String, Transport>,
    /// It is ready once this port of its takes connections.
    pub ready: Option<String>,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its part of the requests, in proportion to the others'.
    pub share: f64,
    /// Whether its requests may run again.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// Endpoints of a hall drop a repeat of a key for this long.
    #[serde(default = "six")]
    pub window: Span,
    /// An answer within this is worth all ...
    pub objective: Span,
    /// ... and after this nothing.
    pub deadline: Span,
    /// What one in time is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// Mean work on one core of the yardstick speed.
    pub work: Span,
    /// Its coefficient of variation, 0 to 5.
    #[serde(default)]
    pub cv: f64,
    /// Bytes of body, where it has one.
    #[serde(default)]
    pub body: Size,
}

/// Discovery.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoverySpec {
    /// The hall that it is in; in none where nothing is said, so that no hall takes it along.
    pub hall: Option<String>,
    /// Calls that it handles a second.
    pub calls_per_s: f64,
    /// A change shows in the list after this long.
    pub notice: Span,
    /// A call that has waited for its turn for longer is refused.
    pub timeout: Span,
    /// Addresses that a sidecar can be moved to, beside its first one.
    pub moves: usize,
    /// What callers have to bear.
    pub manner: DirectoryManner,
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec {
            hall: None,
            calls_per_s: 500.0,
            notice: Span(Duration::from_millis(200)),
            timeout: Span(Duration::from_secs(3)),
            moves: 0,
            manner: DirectoryManner::default(),
        }
    }
}

/// The requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSpec {
    /// Requests a second, over all sidecars.
    pub rate: f64,
    /// Requests that are open at once, at the most.
    #[serde(default = "open_most")]
    pub open_most: usize,
    /// What clients do by themselves where they are not served.
    #[serde(default)]
    pub retry: RetrySpec,
}

/// Programs by path; the ones that came with this one where nothing is said.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Programs {
    /// `curlewhub`, another build of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sidecar: Option<PathBuf>,
    /// `curlewhub-standin`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub standin: Option<PathBuf>,
}

/// What must hold in this file's runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CheckSpec {
    /// What is looked at.
    pub what: Judged,
    /// The fault, by its number in the file from 0, that it is about.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fault: Option<usize>,
    /// Looked at from then on ...
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Span>,
    /// ... until then.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<Span>,
    /// No less than this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// No more than this; in seconds where it is a time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

/// What a check of a file looks at.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Judged {
    /// Share of the requests due in a time that were in time.
    InTime,
    /// Share that were served at all.
    Served,
    /// Share that were refused.
    Refused,
    /// Seconds from a hall's loss until the last sidecar's last new call into it.
    Left,
    /// Seconds from a hall's return until the last sidecar's first call into it.
    Returned,
    /// Seconds between the first and the last sidecar to leave.
    Spread,
    /// The most times that one sidecar came back into a lost hall.
    Flips,
    /// Moves of halls by keepers, by `from` and `to`.
    Moves,
}

/// The space that schedules are drawn from.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrawSpec {
    /// So many faults, from the first to the second.
    pub faults: (usize, usize),
    /// Of these kinds.
    pub kinds: Vec<Kind>,
    /// Each begins between these.
    pub begin: (Span, Span),
    /// Each lasts between these.
    pub lasts: (Span, Span),
    /// What the fleet is made of is drawn too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<DrawFleetSpec>,
}

/// What is drawn of a fleet, before its schedule.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrawFleetSpec {
    /// Sidecars of the first group in each hall, from the first to the second.
    pub sidecars: (usize, usize),
    /// A turn of discovery's takes between these, ...
    pub turn: (Span, Span),
    /// ... as long as all sidecars have a turn each within this.
    pub all_within: Span,
    /// Requests' deadlines lie between these; their objectives are half of that.
    pub deadlines: (Span, Span),
    /// Windows for repeats of keyed classes lie between these.
    pub windows: (Span, Span),
}

fn blur() -> Span {
    Span(Duration::from_millis(50))
}

fn six() -> Span {
    Span(Duration::from_secs(6))
}

fn one() -> f64 {
    1.0
}

fn open_most() -> usize {
    4000
}

/// Problems, gathered field by field.
#[derive(Default)]
pub struct Problems(pub Vec<String>);

impl Problems {
    /// Notes one where something does not hold.
    pub fn wants(&mut self, ok: bool, field: impl Into<String>, allowed: &str) {
        if !ok {
            self.0.push(format!("{}: allowed: {allowed}", field.into()));
        }
    }
}

impl RigSpec {
    /// Reads a rig's file.
    ///
    /// # Errors
    /// All that is wrong with it, by field; where it is no TOML of this form, the first place, with its line.
    pub fn parse(text: &str) -> Result<RigSpec, String> {
        let mut spec: RigSpec = toml::from_str(text).map_err(|e| e.to_string())?;
        spec.write_fleet_out()?;
        let problems = spec.problems();
        if problems.is_empty() { Ok(spec) } else { Err(problems.join("\n")) }
    }

    /// The halls in the file's order, each with its region.
    pub fn halls(&self) -> Vec<(String, String)> {
        let of = |region: &RegionSpec| {
            let name = region.name.clone();
            region.halls.iter().map(move |hall| (hall.clone(), name.clone())).collect::<Vec<_>>()
        };
        self.regions.iter().flat_map(of).collect()
    }

    /// All that makes no sense, field by field.
    pub fn problems(&self) -> Vec<String> {
        let mut p = Problems::default();
        p.wants(!self.name.is_empty(), "name", "text");
        p.wants(self.seed <= SEED_MOST, "seed", "0 to 9223372036854775807");
        let lasts = self.lasts.0;
        p.wants(!lasts.is_zero() && lasts <= LASTS_MOST, "lasts", "over 0, up to 24h");
        p.wants(self.blur <= self.lasts, "blur", "no longer than `lasts`");
        let halls = self.halls();
        p.wants((1..=HALLS_MOST).contains(&halls.len()), "regions.halls", "1 to 100 halls in all");
        self.names(&mut p);
        self.groups(&mut p);
        for (n, class) in self.classes.iter().enumerate() {
            let at = |field: &str| format!("classes[{n}].{field}");
            p.wants(is_name(&class.name), at("name"), NAME);
            p.wants(class.share > 0.0 && class.share.is_finite(), at("share"), "over 0");
            p.wants((0.0..=5.0).contains(&class.cv), at("cv"), "0 to 5");
            p.wants(!class.objective.0.is_zero(), at("objective"), "over 0");
            p.wants(class.deadline >= class.objective, at("deadline"), "the objective or more");
            p.wants(class.worth > 0.0 && class.worth.is_finite(), at("worth"), "over 0");
        }
        p.wants(!self.classes.is_empty(), "classes", "at least one");
        let known = |hall: &String| halls.iter().any(|(name, _)| name == hall);
        p.wants(self.discovery.hall.as_ref().is_none_or(known), "discovery.hall", "a hall's name");
        p.wants(self.discovery.calls_per_s > 0.0, "discovery.calls_per_s", "over 0");
        p.wants(self.discovery.moves <= MAX_MOVES, "discovery.moves", "0 to 40");
        p.wants(self.load.rate > 0.0 && self.load.rate <= 1e5, "load.rate", "over 0, up to 100000");
        p.wants((1..=100_000).contains(&self.load.open_most), "load.open_most", "1 to 100000");
        for (field, allowed) in self.load.retry.problems() {
            p.wants(false, format!("load.retry.{field}"), allowed);
        }
        for (program, path) in [("sidecar", &self.programs.sidecar), ("standin", &self.programs.standin)] {
            let there = path.as_ref().is_none_or(|path| path.is_file());
            p.wants(there, format!("programs.{program}"), "a program that is there");
        }
        for (n, fault) in self.faults.iter().enumerate() {
            fault.problems(n, self, &mut p);
        }
        self.checks(&mut p);
        if let Some(draw) = &self.draw {
            p.wants(
                draw.faults.0 <= draw.faults.1 && draw.faults.1 <= 20,
                "draw.faults",
                "up to 20, the least first",
            );
            p.wants(!draw.kinds.is_empty(), "draw.kinds", "at least one");
            p.wants(draw.begin.0 <= draw.begin.1, "draw.begin", "the earlier first");
            p.wants(draw.lasts.0 <= draw.lasts.1, "draw.lasts", "the shorter first");
            let end = draw.begin.1.0 + draw.lasts.1.0;
            p.wants(end <= lasts, "draw.lasts", "no later than `lasts` with `begin`");
        }
        p.0
    }

    /// Every name that a fault may call something by stands for one thing.
    fn names(&self, p: &mut Problems) {
        let mut all: BTreeSet<String> = ["discovery", "standins", "load"].map(str::to_owned).into();
        let own = |p: &mut Problems, name: &str, field: String, all: &mut BTreeSet<String>| {
            p.wants(is_name(name), &field, NAME);
            p.wants(
                all.insert(name.to_owned()),
                &field,
                "a name of its own, and not discovery, standins or load",
            );
        };
        for (n, region) in self.regions.iter().enumerate() {
            own(p, &region.name, format!("regions[{n}].name"), &mut all);
            for (h, hall) in region.halls.iter().enumerate() {
                own(p, hall, format!("regions[{n}].halls[{h}]"), &mut all);
            }
        }
        let groups = self.sidecars.iter().map(|g| ("sidecars", &g.name));
        let groups = groups.chain(self.endpoints.iter().map(|g| ("endpoints", &g.name)));
        for (kind, name) in groups.chain(self.processes.iter().map(|g| ("processes", &g.name))) {
            own(p, name, format!("{kind}.{name}.name"), &mut all);
        }
    }

    fn groups(&self, p: &mut Problems) {
        let halls = self.halls();
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let mut group = |p: &mut Problems, at: String, own: &[String], count: usize| {
            p.wants(count > 0, format!("{at}.count"), "1 or more");
            for hall in own {
                let known = halls.iter().any(|(name, _)| name == hall);
                p.wants(known, format!("{at}.halls"), &format!("names of halls, and `{hall}` is none"));
            }
            for (hall, _) in halls.iter().filter(|(hall, _)| own.is_empty() || own.contains(hall)) {
                *taken.entry(hall).or_default() += count;
            }
        };
        for (n, g) in self.sidecars.iter().enumerate() {
            group(p, format!("sidecars[{n}]"), &g.halls, g.count);
        }
        for (n, g) in self.endpoints.iter().enumerate() {
            group(p, format!("endpoints[{n}]"), &g.halls, g.count);
        }
        for (n, g) in self.processes.iter().enumerate() {
            group(p, format!("processes[{n}]"), &g.halls, g.count);
            let known = matches!(g.program.as_str(), "sidecar" | "standin" | "lab");
            let there = known || std::path::Path::new(&g.program).is_file();
            p.wants(
                there,
                format!("processes[{n}].program"),
                "sidecar, standin, lab, or a program that is there",
            );
            let ready =
                g.ready.as_ref().is_none_or(|port| g.ports.get(port).is_some_and(|t| t.takes_streams()));
            p.wants(
                ready,
                format!("processes[{n}].ready"),
                "the name of a port of its that takes connections",
            );
        }
        p.wants(!self.sidecars.is_empty(), "sidecars", "at least one group");
        p.wants(!self.endpoints.is_empty(), "endpoints", "at least one group");
        for (hall, count) in taken {
            p.wants(
                count < IN_A_HALL_MOST,
                format!("hall {hall}"),
                "fewer than 250 processes and endpoints",
            );
        }
    }

    fn checks(&self, p: &mut Problems) {
        for (n, check) in self.checks.iter().enumerate() {
            let at = |field: &str| format!("checks[{n}].{field}");
            let of_a_fault =
                matches!(check.what, Judged::Left | Judged::Returned | Judged::Spread | Judged::Flips);
            let about = check.fault.and_then(|fault| self.faults.get(fault));
            if of_a_fault {
                p.wants(
                    about.is_some_and(|fault| fault.loses_a_place()),
                    at("fault"),
                    "the number of a fault that loses a hall",
                );
            } else {
                p.wants(
                    check.fault.is_none(),
                    at("fault"),
                    "none for this check; `from` and `to` say when",
                );
                let (from, to) = (check.from.unwrap_or_default(), check.to.unwrap_or(self.lasts));
                p.wants(from < to && to <= self.lasts, at("to"), "after `from`, up to `lasts`");
            }
            p.wants(check.least.is_some() || check.most.is_some(), at("most"), "this, or `least`");
        }
    }
}

const NAME: &str = "letters, digits, - and _, up to 40";

fn is_name(name: &str) -> bool {
    (1..=40).contains(&name.len())
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}
