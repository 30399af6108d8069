//! The operators' form of the configuration: a TOML file.

use crate::config::{
    Config, DEFAULT_LOG_LINES_PER_SECOND, LogSettings, MAX_ENDPOINT_CONNECTIONS, MIN_MEMORY_MB,
    MIN_SOCKETS, Named, Names,
};
use crate::fleet::{FleetConfig, KeyConfig, ZoneFailoverConfig};
use crate::list::{EndpointList, Target, TargetState};
use crate::problem::{Problem, Problems};
use crate::reader::{EffectiveValue, Override, Reader, Section, any, only};
use crate::repeat::RepeatPolicy;
use crate::units::{Size, Span};
use curlewhub_balance::{
    Class, Costs, DeduplicationScope, Discovery, Goal, Limits, LoadReports, ReportVia, Rules, Semantics,
    Settings, SettingsError, Tenant, WeightKind, ZoneId,
};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A commented example, as it lies under `deploy/`.
pub const EXAMPLE: &str = include_str!("../../../deploy/curlewhub.toml");
/// More static endpoints than this belong into a discovery service.
const ENDPOINTS_MOST: usize = 100_000;
const MIB: u64 = 1 << 20;

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum RepeatGroup {
    All,
    Zone,
    Group,
}

#[derive(Clone, Copy, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum Mode {
    Ask,
    Push,
}

fn ms(n: u64) -> Span {
    Span(Duration::from_millis(n))
}

/// The text of the file at this path.
pub(crate) fn text(path: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|e| {
        let (field, allowed) = Default::default();
        let source = path.display().to_string();
        Problems(vec![Problem { source, line: None, field, problem: e.to_string(), allowed }])
    })
}

/// Reads those sections that hold fields of [`crate::live::FIELDS`].
pub(crate) fn read_live(r: &mut Reader, root: &mut Section<'_>) {
    log(r, root);
    discovery(r, root);
}

/// Reads a file's text; `source` names it in problems and origins.
///
/// # Errors
/// All that is wrong with it, in one go.
pub fn parse(
    source: &str,
    text: &str,
    overrides: &[Override],
) -> Result<(Config, Vec<EffectiveValue>), Problems> {
    let (mut reader, mut root) = Reader::parse(source, text, overrides);
    let config = config(&mut reader, &mut root);
    root.finish(&mut reader);
    match reader.finish() {
        Ok(effective) => Ok((config, effective)),
        Err(problems) => Err(Problems(problems)),
    }
}

fn config(r: &mut Reader, root: &mut Section<'_>) -> Config {
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = any("an address and port, such as 127.0.0.1:7070");
    let name = root.or(r, "name", "curlewhub".to_owned(), &any("text"));
    let listen = root.required(r, "listen", nowhere, &address);
    let operator = root.optional(r, "operator", &address);
    if operator == Some(listen) {
        r.problem_at("operator", "the same address as `listen`", "another address or port");
    }
    let state_dir = root.or(r, "state_dir", std::env::temp_dir(), &any("a folder")) as PathBuf;
    let seed = seed(r, root);
    let log = log(r, root);
    let mut limits = root.section(r, "limits");
    let memory = limits.or(
        r,
        "memory",
        Size(192 * MIB),
        &only("8MiB or more", |size: &Size| size.0 >= MIN_MEMORY_MB as u64 * MIB),
    );
    let sockets = limits.or(
        r,
        "sockets",
        1024,
        &only("64 to 1000000 descriptors", |n: &usize| (MIN_SOCKETS..=1_000_000).contains(n)),
    );
    let endpoint_connections = limits.optional(
        r,
        "endpoint_connections",
        &only("1 to 1000000", |n: &u32| (1..=MAX_ENDPOINT_CONNECTIONS).contains(n)),
    );
    let attempts = attempts(r, &mut limits);
    limits.finish(r);
    let (classes, class_names) = classes(r, root);
    let (tenants, tenant_names) = tenants(r, root);
    let zones: Vec<String> = root.or(r, "zones", Vec::new(), &any("a list of names"));
    let zone = zone(r, root, &zones);
    let (discovery, mode) = discovery(r, root);
    let (targets, kinds) = endpoints(r, root, &zones);
    if discovery.is_none() && targets.is_empty() {
        r.problem(None, "endpoints", "there is nowhere to send to", "[[endpoints]] or discovery.address");
    }
    let count = "1 to 1000000";
    let settings = Settings {
        balancers: root.or(r, "balancers", 1, &any(count)),
        me: root.or(r, "number", 0, &any("0 to one less than `balancers`")),
        zone,
        zones: zones.len().max(1) as u32,
        tier: root.or(r, "tier", 0, &any("0 for the clients' tier, and so on")),
        tiers: root.or(r, "tiers", 1, &only("1 to 16", |n| (1..=16).contains(n))),
        classes,
        tenants,
        over_share_worth: root.or(r, "over_share_worth", 1.0, &any("0 to 1")),
        discovery: mode,
        limits: attempts,
        rules: rules(r, root),
        goal: goal(r, root),
        costs: costs(r, root),
        load_reports: LoadReports { via: ReportVia::Off, fields: Vec::new() },
        weights: WeightKind::Rough,
        tick: Duration::ZERO,
        passes_deadline: true,
        warm_keys: false,
        clients_mark_retries: root.or(r, "clients_mark_retries", false, &any("true or false")),
    };
    if settings.me >= settings.balancers {
        r.problem_at("number", "there are not so many balancers", "0 to one less than `balancers`");
    }
    if settings.tier >= settings.tiers {
        r.problem_at("tier", "there are not so many tiers", "0 to one less than `tiers`");
    }
    check(r, &settings);
    let hall = zones.get(settings.zone.0 as usize).map_or("", |hall| hall);
    let fleet = fleet(r, root, &name, hall, &state_dir);
    if fleet.is_some() && zones.iter().any(|zone| zone.contains('/')) {
        r.problem_at(
            "zones",
            "in a fleet a hall's tiers go by its name, `/` and a number",
            "names without `/`",
        );
    }
    Config {
        name,
        listen,
        discovery,
        operator,
        seed,
        sockets,
        endpoint_connections,
        memory_mb: (memory.0 / MIB) as usize,
        state_dir,
        may_take_over: false,
        initial_list: EndpointList { rev: 0, is_complete: true, targets },
        log,
        settings,
        warnings: Vec::new(),
        names: Names { classes: class_names, tenants: tenant_names, zones, kinds },
        fleet,
    }
}

/// What the module would not start with, in the file's places.
fn check(r: &mut Reader, settings: &Settings) {
    for problem in settings.problems() {
        match problem {
            SettingsError::NoClasses => {} // said where the classes are read
            SettingsError::OutOfRange { field, value, low, high } => {
                r.problem_at(&field, &format!("{value} is out of range"), &format!("{low} to {high}"));
            }
        }
    }
    for (n, class) in settings.classes.iter().enumerate() {
        if class.objective > class.deadline {
            let field = format!("classes[{n}].objective");
            r.problem_at(&field, "longer than the class's deadline", "at most `deadline`");
        }
    }
}

fn seed(r: &mut Reader, root: &mut Section<'_>) -> u64 {
    let hex = |text: &String| u64::from_str_radix(text, 16).is_ok();
    let seed: Option<String> = root.optional(r, "seed", &only("up to 16 hex digits", hex));
    seed.and_then(|text| u64::from_str_radix(&text, 16).ok()).unwrap_or_else(rand::random)
}

fn log(r: &mut Reader, root: &mut Section<'_>) -> LogSettings {
    let mut s = root.section(r, "log");
    let default = LogSettings::default();
    let log = LogSettings {
        format: s.or(r, "format", default.format, &any("text or json")),
        level: s.or(
            r,
            "level",
            default.level,
            &only(
                "error, warn, info, debug or trace, alone or as TARGET=LEVEL, by commas",
                |level: &String| level_is_known(level),
            ),
        ),
        per_second: s.or(
            r,
            "per_second",
            DEFAULT_LOG_LINES_PER_SECOND,
            &only("1 to 1000000 lines", |n| (1..=1_000_000).contains(n)),
        ),
    };
    s.finish(r);
    log
}

/// Whether each part names a level.
fn level_is_known(text: &str) -> bool {
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    text.split(',').all(|part| {
        let level = part.rsplit_once('=').map_or(part, |(_, level)| level).trim();
        levels.iter().any(|known| level.eq_ignore_ascii_case(known))
    })
}

fn attempts(r: &mut Reader, s: &mut Section<'_>) -> Limits {
    let (yes, time) = (any("true or false"), any("a time such as 250ms"));
    Limits {
        cancelling: s.or(r, "cancelling", true, &yes),
        probes: s.or(r, "probes", false, &yes),
        peers: false,
        retry_after: s.or(r, "retry_after", true, &yes),
        max_retry_after: s.or(r, "max_retry_after", ms(1000), &time).0,
        second_copies: s.or(r, "second_copies", false, &yes),
        max_attempts: s.or(r, "max_attempts", 3, &any("1 to 1000000")),
        connect_timeout: s.or(r, "connect_timeout", ms(250), &time).0,
        streams_per_connection: 1,
        idle_close: s.or(r, "idle_close", ms(30_000), &time).0,
        open_cap: 0,
        cpu_per_s: Duration::ZERO,
        cpu_per_request: Duration::ZERO,
    }
}

fn classes(r: &mut Reader, root: &mut Section<'_>) -> (Vec<Class>, Vec<Named>) {
    let (mut classes, mut names, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for mut s in root.sections(r, "classes") {
        let path = s.path().to_owned();
        let name: String = s.required(
            r,
            "name",
            String::new(),
            &only("the first part of a path: letters, digits, - and _", |name: &String| {
                !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
            }),
        );
        if !name.is_empty() && !seen.insert(name.clone()) {
            r.problem_at(&format!("{path}.name"), &format!("`{name}` is there twice"), "one of its own");
        }
        let time = any("a time such as 1.2s");
        let repeat = s.or(r, "repeat", RepeatPolicy::Never, &any("safe, keyed or never"));
        let group = s.or(r, "group", RepeatGroup::All, &any("all, zone or group"));
        let window: Option<Span> = s.optional(r, "window", &time);
        let semantics = match repeat {
            RepeatPolicy::Safe => Semantics::Safe,
            RepeatPolicy::Never => Semantics::Unsafe,
            RepeatPolicy::Keyed => {
                if window.is_none_or(|window| window.0.is_zero()) {
                    r.problem(
                        s.line(),
                        &format!("{path}.window"),
                        "a keyed class needs one",
                        "a time such as 6s",
                    );
                }
                Semantics::Keyed {
                    group: match group {
                        RepeatGroup::All => DeduplicationScope::All,
                        RepeatGroup::Zone => DeduplicationScope::Zone,
                        RepeatGroup::Group => DeduplicationScope::Cell,
                    },
                    window: window.unwrap_or_default().0,
                }
            }
        };
        let deadline = s.or(r, "deadline", ms(2000), &time).0;
        classes.push(Class {
            objective: s.or(r, "objective", Span(deadline.min(Duration::from_millis(500))), &time).0,
            deadline,
            semantics,
            late_value: s.or(r, "late_value", 0.5, &any("0 to 1")),
            streamed: false,
            worth: s.or(r, "worth", 1.0, &any("0 or more")),
            aim_stretch: 0.0,
        });
        names.push(Named { name });
        s.finish(r);
    }
    if classes.is_empty() {
        r.problem(None, "classes", "there is none", "at least one [[classes]]");
    }
    (classes, names)
}

fn tenants(r: &mut Reader, root: &mut Section<'_>) -> (Vec<Tenant>, Vec<Named>) {
    let (mut tenants, mut names, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for mut s in root.sections(r, "tenants") {
        let path = s.path().to_owned();
        let name: String =
            s.required(r, "name", String::new(), &only("text", |name: &String| !name.is_empty()));
        if !name.is_empty() && !seen.insert(name.clone()) {
            r.problem_at(&format!("{path}.name"), &format!("`{name}` is there twice"), "one of its own");
        }
        tenants.push(Tenant {
            allowance_per_s: s.required(
                r,
                "allowance_per_s",
                0.0,
                &any("requests a second, over all balancers"),
            ),
            portion: s.required(r, "portion", 0.0, &any("0 to 1")),
        });
        names.push(Named { name });
        s.finish(r);
    }
    (tenants, names)
}

fn zone(r: &mut Reader, root: &mut Section<'_>, zones: &[String]) -> ZoneId {
    let allowed = if zones.is_empty() { "none, without `zones`".to_owned() } else { zones.join(", ") };
    let name: Option<String> = root.optional(r, "zone", &any(&allowed));
    match name.as_ref().map(|name| zones.iter().position(|zone| zone == name)) {
        Some(Some(at)) => ZoneId(at as u32),
        Some(None) => {
            r.problem_at("zone", "not among `zones`", &allowed);
            ZoneId(0)
        }
        None => {
            if zones.len() > 1 {
                r.problem(None, "zone", "missing", &allowed);
            }
            ZoneId(0)
        }
    }
}

fn discovery(r: &mut Reader, root: &mut Section<'_>) -> (Option<SocketAddr>, Discovery) {
    let mut s = root.section(r, "discovery");
    let address = s.optional(r, "address", &any("an address and port, such as 127.0.0.1:8500"));
    let mode = s.or(r, "mode", Mode::Push, &any("ask or push"));
    s.finish(r);
    match mode {
        // A list in the file comes by itself.
        Mode::Ask if address.is_some() => (address, Discovery::Ask),
        _ => (address, Discovery::Push),
    }
}

/// The fleet whose view it holds, where there is a section of it.
fn fleet(
    r: &mut Reader,
    root: &mut Section<'_>,
    name: &str,
    hall: &str,
    state_dir: &Path,
) -> Option<FleetConfig> {
    let mut s = root.section(r, "fleet");
    s.line()?;
    let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let no_key = KeyConfig { number: 0, file: PathBuf::new() };
    let (key, tables) =
        (any("{ number = 1, file = \"fleet.key\" }"), "a list of tables: [[fleet.keepers]]");
    let config = FleetConfig {
        name: name.to_owned(),
        listen: s.required(r, "listen", nowhere, &any("an address and port, such as 127.0.0.1:7411")),
        advertise: s.optional(r, "advertise", &any("an address and port")),
        zone: hall.to_owned(),
        state_dir: state_dir.to_owned(),
        key: s.required(r, "key", no_key, &key),
        other_key: s.optional(r, "other_key", &key),
        consensus_servers: s.required(r, "keepers", Vec::new(), &any(tables)),
        peers: s.or(r, "peers", Vec::new(), &any("a list of tables: [[fleet.peers]]")),
        zone_failover: s.or(r, "places", ZoneFailoverConfig::default(), &any("a table: [fleet.places]")),
        clock_ahead_ms: s.or(r, "clock_ahead_ms", 0, &any("milliseconds")),
        joins: false,
    };
    s.finish(r);
    for (field, allowed) in config.problems() {
        // What is missing has been said.
        if !(field == "keepers" && config.consensus_servers.is_empty()) {
            r.problem_at(&format!("fleet.{field}"), "makes no sense", allowed);
        }
    }
    Some(config)
}

fn endpoints(r: &mut Reader, root: &mut Section<'_>, zones: &[String]) -> (Vec<Target>, Vec<String>) {
    let (mut targets, mut kinds) = (Vec::new(), Vec::<String>::new());
    let (mut ids, mut addresses) = (HashSet::new(), HashSet::new());
    let sections = root.sections(r, "endpoints");
    if sections.len() > ENDPOINTS_MOST {
        r.problem(None, "endpoints", "too many for a file", &format!("at most {ENDPOINTS_MOST}"));
    }
    for mut s in sections {
        let path = s.path().to_owned();
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let uid: String = s.required(
            r,
            "id",
            String::new(),
            &only("text without spaces, up to 200 characters", |id: &String| {
                (1..=200).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
            }),
        );
        if !uid.is_empty() && !ids.insert(uid.clone()) {
            r.problem_at(&format!("{path}.id"), &format!("`{uid}` is there twice"), "one of its own");
        }
        let endpoint = s.required(r, "address", nowhere, &any("an address and port"));
        if endpoint != nowhere && !addresses.insert(endpoint) {
            r.problem_at(&format!("{path}.address"), "another endpoint listens there", "one of its own");
        }
        let az = s.or(r, "zone", String::new(), &any("one of `zones`"));
        if !az.is_empty() && !zones.contains(&az) {
            r.problem_at(
                &format!("{path}.zone"),
                &format!("`{az}` is not among `zones`"),
                &zones.join(", "),
            );
        }
        let model = s.or(r, "kind", String::new(), &any("text"));
        if !model.is_empty() && !kinds.contains(&model) {
            kinds.push(model.clone());
        }
        targets.push(Target {
            uid,
            endpoint,
            az,
            model,
            pod_group: s.or(r, "group", 0, &any("a whole number")),
            state: TargetState::Up,
            capacity_hint: s.or(
                r,
                "weight",
                1.0,
                &only("over 0, up to 1000000", |w| *w > 0.0 && *w <= 1e6),
            ),
            boot_ms: 0.0,
        });
        s.finish(r);
    }
    (targets, kinds)
}

fn rules(r: &mut Reader, root: &mut Section<'_>) -> Rules {
    let mut s = root.section(r, "rules");
    let (default, time) = (Rules::default(), any("a time such as 250ms"));
    let rules = Rules {
        ask_within: s.or(r, "ask_within", Span(default.ask_within), &time).0,
        cold_share: s.or(r, "cold_share", default.cold_share, &any("0 to 1")),
        warm_within: s.or(r, "warm_within", Span(default.warm_within), &time).0,
        drain_grace: s.or(r, "drain_grace", Span(default.drain_grace), &time).0,
        fall_multiple: s.or(r, "fall_multiple", default.fall_multiple, &any("0 to 1000000")),
        fall_after: s.or(r, "fall_after", Span(default.fall_after), &time).0,
        answer_grace: s.or(r, "answer_grace", Span(default.answer_grace), &time).0,
    };
    s.finish(r);
    rules
}

fn goal(r: &mut Reader, root: &mut Section<'_>) -> Goal {
    let mut s = root.section(r, "goal");
    let (default, weight) = (Goal::default(), any("a weight, 0 or more"));
    let goal = Goal {
        whole: s.or(r, "whole", default.whole, &weight),
        worst_window: s.or(r, "worst_window", default.worst_window, &weight),
        worst_class: s.or(r, "worst_class", default.worst_class, &weight),
        worst_tenant: s.or(r, "worst_tenant", default.worst_tenant, &weight),
        ..default
    };
    s.finish(r);
    goal
}

fn costs(r: &mut Reader, root: &mut Section<'_>) -> Costs {
    let mut s = root.section(r, "costs");
    let cost = || only("points of the result, 0 to 100", |cost: &f64| (0.0..=100.0).contains(cost));
    let costs = Costs {
        cross_zone: s.or(r, "cross_zone", 0.0, &cost()),
        waste: s.or(r, "waste", 0.0, &cost()),
        handshake: s.or(r, "handshake", 0.0, &cost()),
        probe: s.or(r, "probe", 0.0, &cost()),
        late_fail: s.or(r, "late_fail", 0.0, &cost()),
        ..Costs::default()
    };
    s.finish(r);
    costs
}
