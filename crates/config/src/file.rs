//! The operators' format of the configuration: a TOML file.

use crate::config::{
    Config, DEFAULT_LOG_LINES_PER_SECOND, LogSettings, MAX_ENDPOINT_CONNECTIONS, MIN_MEMORY_MB,
    MIN_SOCKETS, Named, Names,
};
use crate::fleet::{FleetConfig, KeyConfig, ZoneFailoverConfig};
use crate::list::{EndpointList, Target, TargetState};
use crate::problem::{Problem, Problems};
use crate::reader::{EffectiveValue, Override, Reader, Section, any_value, checked};
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

/// A commented example: `deploy/curlewhub.toml`.
pub const EXAMPLE: &str = include_str!("../../../deploy/curlewhub.toml");
/// The maximum number of static endpoints. More belong in a discovery service.
const MAX_ENDPOINTS: usize = 100_000;
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
enum DiscoveryMode {
    Ask,
    Push,
}

fn span_from_ms(ms: u64) -> Span {
    Span(Duration::from_millis(ms))
}

/// Reads the text of the file at this path.
pub(crate) fn read_text(path: &Path) -> Result<String, Problems> {
    std::fs::read_to_string(path).map_err(|e| {
        let (field, allowed) = Default::default();
        let source = path.display().to_string();
        Problems(vec![Problem { source, line: None, field, problem: e.to_string(), allowed }])
    })
}

/// Reads the sections that contain the fields of [`crate::live::FIELDS`].
pub(crate) fn read_live(reader: &mut Reader, root: &mut Section<'_>) {
    log(reader, root);
    discovery(reader, root);
}

/// Parses the text of a file; `source` names the file in problems and origins.
///
/// # Errors
/// Returns all errors of the file and the overrides.
pub fn parse(
    source: &str,
    text: &str,
    overrides: &[Override],
) -> Result<(Config, Vec<EffectiveValue>), Problems> {
    let (mut reader, mut root) = Reader::parse(source, text, overrides);
    let config = read_config(&mut reader, &mut root);
    root.finish(&mut reader);
    match reader.finish() {
        Ok(effective) => Ok((config, effective)),
        Err(problems) => Err(Problems(problems)),
    }
}

fn read_config(reader: &mut Reader, root: &mut Section<'_>) -> Config {
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let address = any_value("an address and port, such as 127.0.0.1:7070");
    let name = root.with_default(reader, "name", "curlewhub".to_owned(), &any_value("text"));
    let listen = root.required(reader, "listen", placeholder, &address);
    let operator = root.optional(reader, "operator", &address);
    if operator == Some(listen) {
        reader.add_field_problem("operator", "the same address as `listen`", "another address or port");
    }
    let state_dir =
        root.with_default(reader, "state_dir", std::env::temp_dir(), &any_value("a folder")) as PathBuf;
    let seed = seed(reader, root);
    let log = log(reader, root);
    let mut limits = root.section(reader, "limits");
    let memory = limits.with_default(
        reader,
        "memory",
        Size(192 * MIB),
        &checked("8MiB or more", |size: &Size| size.0 >= MIN_MEMORY_MB as u64 * MIB),
    );
    let sockets = limits.with_default(
        reader,
        "sockets",
        1024,
        &checked("64 to 1000000 descriptors", |n: &usize| (MIN_SOCKETS..=1_000_000).contains(n)),
    );
    let endpoint_connections = limits.optional(
        reader,
        "endpoint_connections",
        &checked("1 to 1000000", |n: &u32| (1..=MAX_ENDPOINT_CONNECTIONS).contains(n)),
    );
    let attempt_limits = attempt_limits(reader, &mut limits);
    limits.finish(reader);
    let (classes, class_names) = classes(reader, root);
    let (tenants, tenant_names) = tenants(reader, root);
    let zones: Vec<String> = root.with_default(reader, "zones", Vec::new(), &any_value("a list of names"));
    let zone = zone(reader, root, &zones);
    let (discovery, mode) = discovery(reader, root);
    let (targets, kinds) = endpoints(reader, root, &zones);
    if discovery.is_none() && targets.is_empty() {
        reader.add_problem(
            None,
            "endpoints",
            "there is nowhere to send to",
            "[[endpoints]] or discovery.address",
        );
    }
    let count = "1 to 1000000";
    let settings = Settings {
        balancers: root.with_default(reader, "balancers", 1, &any_value(count)),
        me: root.with_default(reader, "number", 0, &any_value("0 to one less than `balancers`")),
        zone,
        zones: zones.len().max(1) as u32,
        tier: root.with_default(
            reader,
            "tier",
            0,
            &any_value("0 for the tier that clients call, 1 for the next, and so on"),
        ),
        tiers: root.with_default(reader, "tiers", 1, &checked("1 to 16", |n| (1..=16).contains(n))),
        classes,
        tenants,
        over_share_worth: root.with_default(reader, "over_share_worth", 1.0, &any_value("0 to 1")),
        discovery: mode,
        limits: attempt_limits,
        rules: rules(reader, root),
        goal: goal(reader, root),
        costs: costs(reader, root),
        load_reports: LoadReports { via: ReportVia::Off, fields: Vec::new() },
        weights: WeightKind::Rough,
        tick: Duration::ZERO,
        passes_deadline: true,
        warm_keys: false,
        clients_mark_retries: root.with_default(
            reader,
            "clients_mark_retries",
            false,
            &any_value("true or false"),
        ),
    };
    if settings.me >= settings.balancers {
        reader.add_field_problem(
            "number",
            "there are not so many balancers",
            "0 to one less than `balancers`",
        );
    }
    if settings.tier >= settings.tiers {
        reader.add_field_problem("tier", "there are not so many tiers", "0 to one less than `tiers`");
    }
    check_settings(reader, &settings);
    let zone_name = zones.get(settings.zone.0 as usize).map_or("", |zone| zone);
    let fleet = fleet(reader, root, &name, zone_name, &state_dir);
    if fleet.is_some() && zones.iter().any(|zone| zone.contains('/')) {
        reader.add_field_problem(
            "zones",
            "a fleet names the tiers of a zone `ZONE/NUMBER`",
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

/// Checks the ranges of the balancing module, which would not start with other values, and reports them by
/// the file's field names.
fn check_settings(reader: &mut Reader, settings: &Settings) {
    for problem in settings.problems() {
        match problem {
            SettingsError::NoClasses => {} // reported where the classes are read
            SettingsError::OutOfRange { field, value, low, high } => {
                reader.add_field_problem(
                    &field,
                    &format!("{value} is out of range"),
                    &format!("{low} to {high}"),
                );
            }
        }
    }
    for (n, class) in settings.classes.iter().enumerate() {
        if class.objective > class.deadline {
            let field = format!("classes[{n}].objective");
            reader.add_field_problem(&field, "longer than the class's deadline", "at most `deadline`");
        }
    }
}

fn seed(reader: &mut Reader, root: &mut Section<'_>) -> u64 {
    let hex = |text: &String| u64::from_str_radix(text, 16).is_ok();
    let seed: Option<String> = root.optional(reader, "seed", &checked("up to 16 hex digits", hex));
    seed.and_then(|text| u64::from_str_radix(&text, 16).ok()).unwrap_or_else(rand::random)
}

fn log(reader: &mut Reader, root: &mut Section<'_>) -> LogSettings {
    let mut section = root.section(reader, "log");
    let default = LogSettings::default();
    let log = LogSettings {
        format: section.with_default(reader, "format", default.format, &any_value("text or json")),
        level: section.with_default(
            reader,
            "level",
            default.level,
            &checked(
                "error, warn, info, debug or trace, alone or as TARGET=LEVEL, separated by commas",
                |level: &String| level_is_known(level),
            ),
        ),
        per_second: section.with_default(
            reader,
            "per_second",
            DEFAULT_LOG_LINES_PER_SECOND,
            &checked("1 to 1000000 lines", |n| (1..=1_000_000).contains(n)),
        ),
    };
    section.finish(reader);
    log
}

/// Whether each part of a log filter names a known level.
fn level_is_known(text: &str) -> bool {
    let levels = ["off", "error", "warn", "info", "debug", "trace"];
    text.split(',').all(|part| {
        let level = part.rsplit_once('=').map_or(part, |(_, level)| level).trim();
        levels.iter().any(|known| level.eq_ignore_ascii_case(known))
    })
}

fn attempt_limits(reader: &mut Reader, section: &mut Section<'_>) -> Limits {
    let (boolean, duration) = (any_value("true or false"), any_value("a time such as 250ms"));
    Limits {
        cancelling: section.with_default(reader, "cancelling", true, &boolean),
        probes: section.with_default(reader, "probes", false, &boolean),
        peers: false,
        retry_after: section.with_default(reader, "retry_after", true, &boolean),
        max_retry_after: section.with_default(reader, "max_retry_after", span_from_ms(1000), &duration).0,
        second_copies: section.with_default(reader, "second_copies", false, &boolean),
        max_attempts: section.with_default(reader, "max_attempts", 3, &any_value("1 to 1000000")),
        connect_timeout: section.with_default(reader, "connect_timeout", span_from_ms(250), &duration).0,
        streams_per_connection: 1,
        idle_close: section.with_default(reader, "idle_close", span_from_ms(30_000), &duration).0,
        open_cap: 0,
        cpu_per_s: Duration::ZERO,
        cpu_per_request: Duration::ZERO,
    }
}

fn classes(reader: &mut Reader, root: &mut Section<'_>) -> (Vec<Class>, Vec<Named>) {
    let (mut classes, mut names, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for mut section in root.sections(reader, "classes") {
        let path = section.path().to_owned();
        let name: String = section.required(
            reader,
            "name",
            String::new(),
            &checked("the first part of a path: letters, digits, - and _", |name: &String| {
                !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
            }),
        );
        if !name.is_empty() && !seen.insert(name.clone()) {
            reader.add_field_problem(
                &format!("{path}.name"),
                &format!("`{name}` is there twice"),
                "a unique value",
            );
        }
        let duration = any_value("a time such as 1.2s");
        let repeat =
            section.with_default(reader, "repeat", RepeatPolicy::Never, &any_value("safe, keyed or never"));
        let group =
            section.with_default(reader, "group", RepeatGroup::All, &any_value("all, zone or group"));
        let window: Option<Span> = section.optional(reader, "window", &duration);
        let semantics = match repeat {
            RepeatPolicy::Safe => Semantics::Safe,
            RepeatPolicy::Never => Semantics::Unsafe,
            RepeatPolicy::Keyed => {
                if window.is_none_or(|window| window.0.is_zero()) {
                    reader.add_problem(
                        section.line(),
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
        let deadline = section.with_default(reader, "deadline", span_from_ms(2000), &duration).0;
        classes.push(Class {
            objective: section
                .with_default(
                    reader,
                    "objective",
                    Span(deadline.min(Duration::from_millis(500))),
                    &duration,
                )
                .0,
            deadline,
            semantics,
            late_value: section.with_default(reader, "late_value", 0.5, &any_value("0 to 1")),
            streamed: false,
            worth: section.with_default(reader, "worth", 1.0, &any_value("0 or more")),
            aim_stretch: 0.0,
        });
        names.push(Named { name });
        section.finish(reader);
    }
    if classes.is_empty() {
        reader.add_problem(None, "classes", "there is no class", "at least one [[classes]]");
    }
    (classes, names)
}

fn tenants(reader: &mut Reader, root: &mut Section<'_>) -> (Vec<Tenant>, Vec<Named>) {
    let (mut tenants, mut names, mut seen) = (Vec::new(), Vec::new(), HashSet::new());
    for mut section in root.sections(reader, "tenants") {
        let path = section.path().to_owned();
        let name: String = section.required(
            reader,
            "name",
            String::new(),
            &checked("text", |name: &String| !name.is_empty()),
        );
        if !name.is_empty() && !seen.insert(name.clone()) {
            reader.add_field_problem(
                &format!("{path}.name"),
                &format!("`{name}` is there twice"),
                "a unique value",
            );
        }
        tenants.push(Tenant {
            allowance_per_s: section.required(
                reader,
                "allowance_per_s",
                0.0,
                &any_value("requests a second, over all balancers"),
            ),
            portion: section.required(reader, "portion", 0.0, &any_value("0 to 1")),
        });
        names.push(Named { name });
        section.finish(reader);
    }
    (tenants, names)
}

fn zone(reader: &mut Reader, root: &mut Section<'_>, zones: &[String]) -> ZoneId {
    let allowed = if zones.is_empty() { "none, without `zones`".to_owned() } else { zones.join(", ") };
    let name: Option<String> = root.optional(reader, "zone", &any_value(&allowed));
    match name.as_ref().map(|name| zones.iter().position(|zone| zone == name)) {
        Some(Some(at)) => ZoneId(at as u32),
        Some(None) => {
            reader.add_field_problem("zone", "not among `zones`", &allowed);
            ZoneId(0)
        }
        None => {
            if zones.len() > 1 {
                reader.add_problem(None, "zone", "missing", &allowed);
            }
            ZoneId(0)
        }
    }
}

fn discovery(reader: &mut Reader, root: &mut Section<'_>) -> (Option<SocketAddr>, Discovery) {
    let mut section = root.section(reader, "discovery");
    let address =
        section.optional(reader, "address", &any_value("an address and port, such as 127.0.0.1:8500"));
    let mode = section.with_default(reader, "mode", DiscoveryMode::Push, &any_value("ask or push"));
    section.finish(reader);
    match mode {
        // A list in the file needs no request: it always counts as pushed.
        DiscoveryMode::Ask if address.is_some() => (address, Discovery::Ask),
        _ => (address, Discovery::Push),
    }
}

/// Reads the `[fleet]` section; `None` if it is missing.
fn fleet(
    reader: &mut Reader,
    root: &mut Section<'_>,
    name: &str,
    zone: &str,
    state_dir: &Path,
) -> Option<FleetConfig> {
    let mut section = root.section(reader, "fleet");
    section.line()?;
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let no_key = KeyConfig { number: 0, file: PathBuf::new() };
    let (key, tables) =
        (any_value("{ number = 1, file = \"fleet.key\" }"), "a list of tables: [[fleet.keepers]]");
    let config = FleetConfig {
        name: name.to_owned(),
        listen: section.required(
            reader,
            "listen",
            placeholder,
            &any_value("an address and port, such as 127.0.0.1:7411"),
        ),
        advertise: section.optional(reader, "advertise", &any_value("an address and port")),
        zone: zone.to_owned(),
        state_dir: state_dir.to_owned(),
        key: section.required(reader, "key", no_key, &key),
        other_key: section.optional(reader, "other_key", &key),
        consensus_servers: section.required(reader, "keepers", Vec::new(), &any_value(tables)),
        peers: section.with_default(
            reader,
            "peers",
            Vec::new(),
            &any_value("a list of tables: [[fleet.peers]]"),
        ),
        zone_failover: section.with_default(
            reader,
            "places",
            ZoneFailoverConfig::default(),
            &any_value("a table: [fleet.places]"),
        ),
        clock_ahead_ms: section.with_default(reader, "clock_ahead_ms", 0, &any_value("milliseconds")),
        joins: false,
    };
    section.finish(reader);
    for (field, allowed) in config.problems() {
        // Missing consensus servers have been reported already.
        if !(field == "keepers" && config.consensus_servers.is_empty()) {
            reader.add_field_problem(&format!("fleet.{field}"), "invalid value", allowed);
        }
    }
    Some(config)
}

fn endpoints(reader: &mut Reader, root: &mut Section<'_>, zones: &[String]) -> (Vec<Target>, Vec<String>) {
    let (mut targets, mut kinds) = (Vec::new(), Vec::<String>::new());
    let (mut ids, mut addresses) = (HashSet::new(), HashSet::new());
    let sections = root.sections(reader, "endpoints");
    if sections.len() > MAX_ENDPOINTS {
        reader.add_problem(
            None,
            "endpoints",
            "too many endpoints for a file",
            &format!("at most {MAX_ENDPOINTS}"),
        );
    }
    for mut section in sections {
        let path = section.path().to_owned();
        let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let uid: String = section.required(
            reader,
            "id",
            String::new(),
            &checked("text without spaces, up to 200 characters", |id: &String| {
                (1..=200).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
            }),
        );
        if !uid.is_empty() && !ids.insert(uid.clone()) {
            reader.add_field_problem(
                &format!("{path}.id"),
                &format!("`{uid}` is there twice"),
                "a unique value",
            );
        }
        let endpoint = section.required(reader, "address", placeholder, &any_value("an address and port"));
        if endpoint != placeholder && !addresses.insert(endpoint) {
            reader.add_field_problem(
                &format!("{path}.address"),
                "another endpoint has the same address",
                "a unique value",
            );
        }
        let az = section.with_default(reader, "zone", String::new(), &any_value("one of `zones`"));
        if !az.is_empty() && !zones.contains(&az) {
            reader.add_field_problem(
                &format!("{path}.zone"),
                &format!("`{az}` is not among `zones`"),
                &zones.join(", "),
            );
        }
        let model = section.with_default(reader, "kind", String::new(), &any_value("text"));
        if !model.is_empty() && !kinds.contains(&model) {
            kinds.push(model.clone());
        }
        targets.push(Target {
            uid,
            endpoint,
            az,
            model,
            pod_group: section.with_default(reader, "group", 0, &any_value("a whole number")),
            state: TargetState::Up,
            capacity_hint: section.with_default(
                reader,
                "weight",
                1.0,
                &checked("over 0, up to 1000000", |w| *w > 0.0 && *w <= 1e6),
            ),
            boot_ms: 0.0,
        });
        section.finish(reader);
    }
    (targets, kinds)
}

fn rules(reader: &mut Reader, root: &mut Section<'_>) -> Rules {
    let mut section = root.section(reader, "rules");
    let (default, duration) = (Rules::default(), any_value("a time such as 250ms"));
    let rules = Rules {
        ask_within: section.with_default(reader, "ask_within", Span(default.ask_within), &duration).0,
        cold_share: section.with_default(reader, "cold_share", default.cold_share, &any_value("0 to 1")),
        warm_within: section.with_default(reader, "warm_within", Span(default.warm_within), &duration).0,
        drain_grace: section.with_default(reader, "drain_grace", Span(default.drain_grace), &duration).0,
        fall_multiple: section.with_default(
            reader,
            "fall_multiple",
            default.fall_multiple,
            &any_value("0 to 1000000"),
        ),
        fall_after: section.with_default(reader, "fall_after", Span(default.fall_after), &duration).0,
        answer_grace: section.with_default(reader, "answer_grace", Span(default.answer_grace), &duration).0,
    };
    section.finish(reader);
    rules
}

fn goal(reader: &mut Reader, root: &mut Section<'_>) -> Goal {
    let mut section = root.section(reader, "goal");
    let (default, weight) = (Goal::default(), any_value("a weight, 0 or more"));
    let goal = Goal {
        whole: section.with_default(reader, "whole", default.whole, &weight),
        worst_window: section.with_default(reader, "worst_window", default.worst_window, &weight),
        worst_class: section.with_default(reader, "worst_class", default.worst_class, &weight),
        worst_tenant: section.with_default(reader, "worst_tenant", default.worst_tenant, &weight),
        ..default
    };
    section.finish(reader);
    goal
}

fn costs(reader: &mut Reader, root: &mut Section<'_>) -> Costs {
    let mut section = root.section(reader, "costs");
    let cost = || checked("points of the result, 0 to 100", |cost: &f64| (0.0..=100.0).contains(cost));
    let costs = Costs {
        cross_zone: section.with_default(reader, "cross_zone", 0.0, &cost()),
        waste: section.with_default(reader, "waste", 0.0, &cost()),
        handshake: section.with_default(reader, "handshake", 0.0, &cost()),
        probe: section.with_default(reader, "probe", 0.0, &cost()),
        late_fail: section.with_default(reader, "late_fail", 0.0, &cost()),
        ..Costs::default()
    };
    section.finish(reader);
    costs
}
