//! The platform's form of the configuration: `ROUTER_*` and the JSON file that `ROUTER_CONFIG` names.

use crate::config::{Config, LogSettings, MAX_ENDPOINT_CONNECTIONS, MIN_SOCKETS, Names};
use crate::list::EndpointList;
use crate::problem::{Problem, Problems};
use crate::settings::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// More sidecars than this are a mistake.
const SIDECARS_MOST: u32 = 1_000_000;
/// The variable that names the platform's file.
pub const CONFIG_VAR: &str = "ROUTER_CONFIG";

fn error(field: &str, problem: impl ToString) -> Problems {
    Problems(vec![Problem {
        source: CONFIG_VAR.to_owned(),
        line: None,
        field: if field == CONFIG_VAR { String::new() } else { field.to_owned() },
        problem: problem.to_string().replace(['\n', '\r'], " "),
        allowed: String::new(),
    }])
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
    /// No platform says it yet.
    endpoint_connections: Option<Value>,
}

/// Reads the file that `ROUTER_CONFIG` names; the other variables win over what the file says. The file
/// itself comes with it, to tell later what another one changes.
///
/// # Errors
/// The first field that is missing or makes no sense.
pub fn from_env() -> Result<(Config, Value), Problems> {
    let var = |name: &str| std::env::var(name).ok();
    let path = var(CONFIG_VAR).ok_or_else(|| error(CONFIG_VAR, "not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| error(CONFIG_VAR, format!("{path}: {e}")))?;
    parse(&text, var)
}

/// What the new file changes: discovery's address, if it has come to name another one, and the changed
/// fields that need a restart. The file's address wins over a variable that can't have changed.
///
/// # Errors
/// As for [`from_env`].
pub(crate) fn changes(old: &Value, new: &Value) -> Result<(Option<SocketAddr>, Vec<String>), Problems> {
    let changed = |field: &&str| old[*field] != new[*field];
    let moved = new["discovery"].as_str().filter(|_| changed(&"discovery"));
    let moved = moved.map(|text| address("discovery", Some(text.to_owned()))).transpose()?;
    // The seed is new with each start and the known list as old as the file: both are for a start.
    let restart = ["name", "listen", "operator", "limits", "settings"];
    Ok((moved, restart.into_iter().filter(changed).map(str::to_owned).collect()))
}

fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<(Config, Value), Problems> {
    let raw: Value = serde_json::from_str(text).map_err(|e| error(CONFIG_VAR, e))?;
    let file: File =
        serde_path_to_error::deserialize(&raw).map_err(|e| error(&e.path().to_string(), e.inner()))?;
    let mut notes = Vec::new();
    let shared = with_a_count(&file.settings, &mut notes);
    let settings = parse_settings(&shared.to_string())
        .map_err(|e| error(&e.field.replacen("conf", "settings", 1), e.problem))?;
    let names: Names = serde_path_to_error::deserialize(&file.settings)
        .map_err(|e| error(&format!("settings.{}", e.path()), e.inner()))?;
    if file.limits.sockets < MIN_SOCKETS {
        return Err(error("limits.sockets", format!("at least {MIN_SOCKETS} are needed")));
    }
    let level = var("RUST_LOG").unwrap_or(LogSettings::default().level);
    let config = Config {
        name: var("ROUTER_NAME").unwrap_or(file.name),
        listen: address("listen", var("ROUTER_LISTEN").or(file.listen))?,
        discovery: Some(address("discovery", var("ROUTER_DISCOVERY").or(file.discovery))?),
        operator: match var("ROUTER_OPERATOR").or(file.operator) {
            None => None,
            at => Some(address("operator", at)?),
        },
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| error("seed", format!("`{}` is not hex", file.seed)))?,
        sockets: file.limits.sockets,
        endpoint_connections: connections(file.limits.endpoint_connections.as_ref(), &mut notes),
        memory_mb: file.limits.memory_mb as usize,
        state_dir: std::env::temp_dir(),
        may_take_over: true,
        initial_list: file.known,
        log: LogSettings { level, ..LogSettings::default() },
        settings,
        warnings: notes,
        names,
        fleet: None,
    };
    Ok((config, raw))
}

/// Why a number is not used.
fn note(field: &str, value: &Value, allowed: &str) -> Problem {
    let (source, field, allowed) = (CONFIG_VAR.to_owned(), field.to_owned(), allowed.to_owned());
    Problem { source, line: None, field, problem: format!("{value} is out of range"), allowed }
}

fn count(value: &Value, most: u32) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=most).contains(n))
}

/// The settings, where a count of sidecars that makes no sense is the least that this one's number allows: a
/// sidecar that does not start loses all its requests, one that counts too few only takes too large a part.
fn with_a_count(settings: &Value, notes: &mut Vec<Problem>) -> Value {
    let mut settings = settings.clone();
    let said = settings["balancers"].clone();
    let me = settings["me"].as_u64().unwrap_or_default().min(u64::from(SIDECARS_MOST) - 1);
    if count(&said, SIDECARS_MOST).is_none()
        && let Some(fields) = settings.as_object_mut()
    {
        notes.push(note("settings.balancers", &said, "1 to 1000000"));
        fields.insert("balancers".to_owned(), Value::from(me + 1));
    }
    settings
}

/// Connections that an endpoint accepts; what makes no sense is as good as unsaid.
fn connections(said: Option<&Value>, notes: &mut Vec<Problem>) -> Option<u32> {
    let said = said.filter(|value| !value.is_null())?;
    let known = count(said, MAX_ENDPOINT_CONNECTIONS);
    if known.is_none() {
        notes.push(note("limits.endpoint_connections", said, "1 to 1000000"));
    }
    known
}

fn address(field: &str, text: Option<String>) -> Result<SocketAddr, Problems> {
    let text = text.ok_or_else(|| error(field, "missing"))?;
    text.parse().map_err(|_| error(field, format!("`{text}` is not an address and port")))
}
