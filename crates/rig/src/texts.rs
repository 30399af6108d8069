//! What each process is told: its words and its file, with the names in braces filled in.

use crate::plan::{Member, Plan, Role};
use crate::spec::{ClassSpec, LoadSpec};
use curlewhub_config::RepeatPolicy;
use curlewhub_config::units::Span;
use curlewhub_standins::spec::{ClassSpec as Work, DirectorySpec, EndpointSpec, FleetSpec, ViewSpec};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Fills names in braces in; what is in braces and no name stays, such as TOML's tables.
///
/// # Errors
/// A name that stands for nothing, as `look` says it.
pub fn fill(text: &str, mut look: impl FnMut(&str) -> Result<String, String>) -> Result<String, String> {
    let mut filled = String::new();
    let mut rest = text;
    while let Some(open) = rest.find('{') {
        let after = &rest[open + 1..];
        let is_part = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
        let name = after.find('}').map(|close| &after[..close]);
        match name.filter(|name| !name.is_empty() && name.chars().all(is_part)) {
            Some(name) => {
                filled += &rest[..open];
                filled += &look(name)?;
                rest = &after[name.len() + 1..];
            }
            None => {
                filled += &rest[..=open];
                rest = after;
            }
        }
    }
    Ok(filled + rest)
}

/// Lays one table over another, table by table.
pub fn lay_over(table: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (table.get_mut(key), value) {
            (Some(toml::Value::Table(table)), toml::Value::Table(over)) => lay_over(table, over),
            _ => drop(table.insert(key.clone(), value.clone())),
        }
    }
}

/// An endpoint as a site sees it.
pub struct Seen<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its hall.
    pub hall: &'a str,
    /// The relay through which the site reaches it.
    pub at: SocketAddr,
}

#[derive(Serialize)]
struct SidecarFile<'a> {
    name: &'a str,
    listen: SocketAddr,
    operator: SocketAddr,
    state_dir: &'a Path,
    seed: String,
    zones: Vec<String>,
    zone: &'a str,
    balancers: usize,
    number: usize,
    log: LogPart,
    limits: LimitsPart,
    rules: RulesPart,
    discovery: DiscoveryPart,
    endpoints: Vec<EndpointPart<'a>>,
    classes: Vec<ClassPart<'a>>,
}

#[derive(Serialize)]
struct LogPart {
    level: &'static str,
    format: &'static str,
    per_second: u32,
}

#[derive(Serialize)]
struct LimitsPart {
    second_copies: bool,
}

#[derive(Serialize)]
struct RulesPart {
    warm_within: Span,
    cold_share: f64,
}

#[derive(Serialize)]
struct DiscoveryPart {
    address: SocketAddr,
}

#[derive(Serialize)]
struct EndpointPart<'a> {
    id: &'a str,
    address: SocketAddr,
    zone: &'a str,
}

#[derive(Serialize)]
struct ClassPart<'a> {
    name: &'a str,
    repeat: RepeatPolicy,
    #[serde(skip_serializing_if = "Option::is_none")]
    group: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    window: Option<Span>,
    objective: Span,
    deadline: Span,
    worth: f64,
}

/// Lines a second from one place of a sidecar's log: all of them, since the history is made of them.
const LINES: u32 = 100_000;
/// Each attempt has its line.
const LEVEL: &str = "info,curlewhub_runtime::driver=debug";

/// A sidecar's file, before what the group lays over it.
pub fn sidecar(
    plan: &Plan,
    member: &Member,
    (listen, operator, discovery): (SocketAddr, SocketAddr, SocketAddr),
    state_dir: &Path,
    endpoints: &[Seen<'_>],
) -> Result<toml::Table, String> {
    let machines = plan.spec.endpoints.iter().map(|group| &group.machine);
    let warm = machines.clone().map(|machine| machine.warm_after.0).max().unwrap_or_default();
    let cold = machines.map(|machine| machine.cold_share).fold(1.0, f64::min);
    let file = SidecarFile {
        name: &member.name,
        listen,
        operator,
        state_dir,
        seed: format!("{:x}", plan.spec.seed.wrapping_mul(1_000_003).wrapping_add(member.number as u64)),
        zones: plan.spec.halls().into_iter().map(|(hall, _)| hall).collect(),
        zone: member.side.hall.as_deref().unwrap_or_default(),
        balancers: plan.of(Role::Sidecar).count(),
        number: member.number,
        log: LogPart { level: LEVEL, format: "json", per_second: LINES },
        limits: LimitsPart { second_copies: true },
        // A little more careful than the machines need, as operators are.
        rules: RulesPart {
            warm_within: Span(warm.mul_f64(1.2).max(Duration::from_millis(100))),
            cold_share: cold * 0.9,
        },
        discovery: DiscoveryPart { address: discovery },
        endpoints: endpoints
            .iter()
            .map(|e| EndpointPart { id: e.id, address: e.at, zone: e.hall })
            .collect(),
        classes: plan.spec.classes.iter().map(class).collect(),
    };
    toml::Table::try_from(file).map_err(|e| format!("{}: {e}", member.name))
}

fn class(class: &ClassSpec) -> ClassPart<'_> {
    let keyed = class.repeat == RepeatPolicy::Keyed;
    ClassPart {
        name: &class.name,
        repeat: class.repeat,
        group: keyed.then_some("zone"),
        window: keyed.then_some(class.window),
        objective: class.objective,
        deadline: class.deadline,
        worth: class.worth,
    }
}

/// Where a process of stand-ins listens.
pub struct Standing {
    /// Its discovery.
    pub discovery: SocketAddr,
    /// Its control.
    pub control: SocketAddr,
}

/// The file of a hall's stand-ins, or with `views` discovery's, which only lists the endpoints.
pub fn standins(
    plan: &Plan,
    standing: &Standing,
    endpoints: &[(&Member, SocketAddr)],
    views: Option<Vec<BTreeMap<String, SocketAddr>>>,
    listens: &[Vec<SocketAddr>],
    cold: bool,
) -> Result<String, String> {
    let spec = &plan.spec;
    let lists = views.is_some();
    let views = views.into_iter().flatten().zip(listens);
    let view = |(addresses, listens): (_, &Vec<SocketAddr>)| {
        let (listen, also) = listens.split_first()?;
        Some(ViewSpec { listen: *listen, also: also.to_vec(), addresses })
    };
    let views = views.filter_map(view).collect();
    let endpoint = |(member, at): &(&Member, SocketAddr)| {
        let group = &spec.endpoints[member.group];
        EndpointSpec {
            id: member.name.clone(),
            address: *at,
            zone: member.side.hall.clone().unwrap_or_default(),
            kind: group.kind.clone(),
            served_at: lists.then_some(*at),
            machine: group.machine.clone(),
        }
    };
    let work = |class: &ClassSpec| Work {
        name: class.name.clone(),
        work: class.work,
        cv: class.cv,
        window: if class.repeat == RepeatPolicy::Keyed { class.window } else { Span::default() },
    };
    let fleet = FleetSpec {
        seed: spec.seed,
        discovery: standing.discovery,
        control: standing.control,
        directory: DirectorySpec {
            calls_per_s: spec.discovery.calls_per_s,
            notice: spec.discovery.notice,
            timeout: spec.discovery.timeout,
            manner: spec.discovery.manner.clone(),
            views,
            ..DirectorySpec::default()
        },
        classes: spec.classes.iter().map(work).collect(),
        endpoints: endpoints.iter().map(endpoint).collect(),
        faults: Vec::new(),
        clock_ahead_ms: 0.0,
        cold,
    };
    let problems = fleet.problems();
    if !problems.is_empty() {
        return Err(problems.join("\n"));
    }
    text(&fleet)
}

#[derive(Serialize)]
struct MixFile<'a> {
    classes: Vec<MixClass<'a>>,
    retry: &'a curlewhub_model::RetrySpec,
}

#[derive(Serialize)]
struct MixClass<'a> {
    name: &'a str,
    share: f64,
    repeat: RepeatPolicy,
    objective: Span,
    deadline: Span,
    body: curlewhub_config::units::Size,
}

/// The load's mix.
pub fn mix(classes: &[ClassSpec], load: &LoadSpec) -> Result<String, String> {
    fn class(class: &ClassSpec) -> MixClass<'_> {
        let ClassSpec { name, share, repeat, objective, deadline, body, .. } = class;
        let (share, repeat, objective, deadline, body) = (*share, *repeat, *objective, *deadline, *body);
        MixClass { name, share, repeat, objective, deadline, body }
    }
    let file = MixFile { classes: classes.iter().map(class).collect(), retry: &load.retry };
    text(&file)
}

/// As a table first, which puts values before tables, as TOML wants it.
fn text(value: &impl Serialize) -> Result<String, String> {
    let table = toml::Table::try_from(value).map_err(|e| e.to_string())?;
    toml::to_string(&table).map_err(|e| e.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_in_braces_are_filled_in_and_tables_stay() {
        let look = |name: &str| match name {
            "name" => Ok("edge".to_owned()),
            "link.keeper-a-1.peer" => Ok("127.0.0.1:1".to_owned()),
            other => Err(format!("{other}: no such name")),
        };
        let cases = [
            ("id = \"{name}\"", Ok("id = \"edge\"")),
            ("a = { b = \"{link.keeper-a-1.peer}\" }", Ok("a = { b = \"127.0.0.1:1\" }")),
            ("{}{ }{name", Ok("{}{ }{name")),
            ("{nam}", Err("nam: no such name")),
        ];
        for (text, wanted) in cases {
            assert_eq!(fill(text, look).as_deref().map_err(String::as_str), wanted, "{text}");
        }
    }

    #[test]
    fn a_table_is_laid_over_another_table_by_table() {
        let mut table: toml::Table = toml::from_str("a = 1\n[b]\nc = 2\nd = 3").unwrap();
        lay_over(&mut table, &toml::from_str("e = 4\n[b]\nc = 5").unwrap());
        let wanted: toml::Table = toml::from_str("a = 1\ne = 4\n[b]\nc = 5\nd = 3").unwrap();
        assert_eq!(table, wanted);
    }
}
