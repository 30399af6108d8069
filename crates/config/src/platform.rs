//! The platform's format of the configuration: the variables `ROUTER_*` and the JSON file that
//! `ROUTER_CONFIG` names.

use crate::config::{Config, LogSettings, MAX_ENDPOINT_CONNECTIONS, MIN_SOCKETS, Names};
use crate::list::EndpointList;
use crate::problem::{Problem, Problems};
use crate::settings::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The maximum number of sidecars. A larger number is a mistake.
const MAX_SIDECARS: u32 = 1_000_000;
/// The environment variable that names the platform's file.
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
    /// No platform sets this yet.
    endpoint_connections: Option<Value>,
}

/// Reads the file that `ROUTER_CONFIG` names; the other variables take precedence over it. Also returns the
/// parsed file, with which a later one is compared.
///
/// # Errors
/// Returns the first field that is missing or invalid.
pub fn from_env() -> Result<(Config, Value), Problems> {
    let var = |name: &str| std::env::var(name).ok();
    let path = var(CONFIG_VAR).ok_or_else(|| error(CONFIG_VAR, "not set"))?;
    let text = std::fs::read_to_string(&path).map_err(|e| error(CONFIG_VAR, format!("{path}: {e}")))?;
    parse(&text, var)
}

/// Compares two files. Returns the new address of the discovery service, if it has changed, and the changed
/// fields that need a restart. A changed address in the file takes precedence over the variable, which
/// can't have changed.
///
/// # Errors
/// Returns the new address of the discovery service if it is invalid.
pub(crate) fn changes(old: &Value, new: &Value) -> Result<(Option<SocketAddr>, Vec<String>), Problems> {
    let is_changed = |field: &&str| old[*field] != new[*field];
    let new_address = new["discovery"].as_str().filter(|_| is_changed(&"discovery"));
    let new_address =
        new_address.map(|text| parse_address("discovery", Some(text.to_owned()))).transpose()?;
    // The seed and the endpoint list `known` are used only at the start: the seed is new each time, and the
    // list is as old as the file.
    let restart = ["name", "listen", "operator", "limits", "settings"];
    Ok((new_address, restart.into_iter().filter(is_changed).map(str::to_owned).collect()))
}

fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<(Config, Value), Problems> {
    let raw: Value = serde_json::from_str(text).map_err(|e| error(CONFIG_VAR, e))?;
    let file: File =
        serde_path_to_error::deserialize(&raw).map_err(|e| error(&e.path().to_string(), e.inner()))?;
    let mut warnings = Vec::new();
    let corrected = with_valid_sidecar_count(&file.settings, &mut warnings);
    let settings = parse_settings(&corrected.to_string())
        .map_err(|e| error(&e.field.replacen("conf", "settings", 1), e.problem))?;
    let names: Names = serde_path_to_error::deserialize(&file.settings)
        .map_err(|e| error(&format!("settings.{}", e.path()), e.inner()))?;
    if file.limits.sockets < MIN_SOCKETS {
        return Err(error("limits.sockets", format!("at least {MIN_SOCKETS} are needed")));
    }
    let level = var("RUST_LOG").unwrap_or(LogSettings::default().level);
    let config = Config {
        name: var("ROUTER_NAME").unwrap_or(file.name),
        listen: parse_address("listen", var("ROUTER_LISTEN").or(file.listen))?,
        discovery: Some(parse_address("discovery", var("ROUTER_DISCOVERY").or(file.discovery))?),
        operator: match var("ROUTER_OPERATOR").or(file.operator) {
            None => None,
            at => Some(parse_address("operator", at)?),
        },
        seed: u64::from_str_radix(&file.seed, 16)
            .map_err(|_| error("seed", format!("`{}` is not hex", file.seed)))?,
        sockets: file.limits.sockets,
        endpoint_connections: endpoint_connections(
            file.limits.endpoint_connections.as_ref(),
            &mut warnings,
        ),
        memory_mb: file.limits.memory_mb as usize,
        state_dir: std::env::temp_dir(),
        may_take_over: true,
        initial_list: file.known,
        log: LogSettings { level, ..LogSettings::default() },
        settings,
        warnings,
        names,
        fleet: None,
    };
    Ok((config, raw))
}

/// The warning that a number is not used.
fn out_of_range_warning(field: &str, value: &Value, allowed: &str) -> Problem {
    let (source, field, allowed) = (CONFIG_VAR.to_owned(), field.to_owned(), allowed.to_owned());
    Problem { source, line: None, field, problem: format!("{value} is out of range"), allowed }
}

fn valid_count(value: &Value, max: u32) -> Option<u32> {
    value.as_u64().and_then(|n| u32::try_from(n).ok()).filter(|n| (1..=max).contains(n))
}

/// Returns the settings with an invalid number of sidecars replaced by the smallest that this sidecar's own
/// number allows. A sidecar that does not start loses all its requests; one that counts too few sidecars
/// only takes too large a share.
fn with_valid_sidecar_count(settings: &Value, warnings: &mut Vec<Problem>) -> Value {
    let mut settings = settings.clone();
    let balancers = settings["balancers"].clone();
    let me = settings["me"].as_u64().unwrap_or_default().min(u64::from(MAX_SIDECARS) - 1);
    if valid_count(&balancers, MAX_SIDECARS).is_none()
        && let Some(fields) = settings.as_object_mut()
    {
        warnings.push(out_of_range_warning("settings.balancers", &balancers, "1 to 1000000"));
        fields.insert("balancers".to_owned(), Value::from(me + 1));
    }
    settings
}

/// The number of connections that an endpoint accepts. An invalid number counts as unknown.
fn endpoint_connections(value: Option<&Value>, warnings: &mut Vec<Problem>) -> Option<u32> {
    let value = value.filter(|value| !value.is_null())?;
    let count = valid_count(value, MAX_ENDPOINT_CONNECTIONS);
    if count.is_none() {
        warnings.push(out_of_range_warning("limits.endpoint_connections", value, "1 to 1000000"));
    }
    count
}

fn parse_address(field: &str, text: Option<String>) -> Result<SocketAddr, Problems> {
    let text = text.ok_or_else(|| error(field, "missing"))?;
    text.parse().map_err(|_| error(field, format!("`{text}` is not an address and port")))
}
